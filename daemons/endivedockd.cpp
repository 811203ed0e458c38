#include "endivedock/host.h"
#include "endivedock/net.h"

#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace {

constexpr int exitInvalidSettings = 2;
constexpr int exitFailure = 1;

/** Reloads the peer keys at each SIGHUP, so that the keys can change without a restart. */
void reloadKeysOnHangUp(boost::asio::signal_set &hangUpSignal, endivedock::EntryHost &host,
                        const std::string &path)
{
    hangUpSignal.async_wait([&](const boost::system::error_code &error, int) {
        if (error)
            return;
        try {
            host.setKeys(endivedock::readHostSettings(path).peerKeys);
        } catch (const endivedock::Error &settingsError) {
            endivedock::Log("host").error("Key reload failed, the old keys stay in use",
                                          {endivedock::field("error", settingsError.what())});
        }
        reloadKeysOnHangUp(hangUpSignal, host, path);
    });
}

int run(const std::string &path, bool checkOnly)
{
    const endivedock::HostSettings settings = endivedock::readHostSettings(path);
    if (checkOnly) {
        std::cout << path << ": valid\n";
        return 0;
    }
    endivedock::configureLog(settings.logLevel);
    boost::asio::io_context context(1);
    endivedock::EntryHost host(context, settings);
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    stopSignals.async_wait([&host](const boost::system::error_code &error, int) {
        if (!error)
            host.stop();
    });
    boost::asio::signal_set hangUpSignal(context, SIGHUP);
    reloadKeysOnHangUp(hangUpSignal, host, path);
    context.run();
    endivedock::exitProcess(0);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("endivedockd: one entry host of the endivedock load balancer");
    std::string path;
    bool checkOnly = false;
    app.add_option("settings", path, "JSON settings file")->required();
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        return run(path, checkOnly);
    } catch (const endivedock::SettingsError &error) {
        std::cerr << "endivedockd: " << error.what() << "\n";
        return exitInvalidSettings;
    } catch (const std::exception &error) {
        std::cerr << "endivedockd: " << error.what() << "\n";
        return exitFailure;
    }
}
