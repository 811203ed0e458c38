#include "endivedock/host.h"

#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace {

constexpr int exitSettings = 2;
constexpr int exitFailure = 1;

/** Reads the peer keys again at each hang-up signal, so that keys change without a stop. */
void followKeyChanges(boost::asio::signal_set &hangUp, endivedock::EntryHost &host,
                      const std::string &path)
{
    hangUp.async_wait([&](const boost::system::error_code &error, int) {
        if (error)
            return;
        try {
            host.setKeys(endivedock::readHostSettings(path).peerKeys);
        } catch (const endivedock::Error &failure) {
            endivedock::Log("host").error("The old keys stay",
                                          {endivedock::field("error", failure.what())});
        }
        followKeyChanges(hangUp, host, path);
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
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&host](const boost::system::error_code &error, int) {
        if (!error)
            host.stop();
    });
    boost::asio::signal_set hangUp(context, SIGHUP);
    followKeyChanges(hangUp, host, path);
    context.run();
    return 0;
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
        return exitSettings;
    } catch (const std::exception &error) {
        std::cerr << "endivedockd: " << error.what() << "\n";
        return exitFailure;
    }
}
