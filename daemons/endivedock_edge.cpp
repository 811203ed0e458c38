#include "endivedock/edge.h"
#include "endivedock/edge/edge_host-inl.h"
#include "endivedock/platform.h"

#include <cstdlib>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace {

using Host = endivedock::EdgeHost<endivedock::Platform>;

constexpr int exitInvalidSettings = 2;
constexpr int exitFailure = 1;

/** Reloads the settings at each SIGHUP. */
void reloadSettingsOnHangUp(boost::asio::signal_set &hangUpSignal, Host &host,
                            const std::string &path)
{
    hangUpSignal.async_wait([&](const boost::system::error_code &error, int) {
        if (error)
            return;
        try {
            host.reload(endivedock::readPlatformSettings(path));
        } catch (const endivedock::Error &settingsError) {
            endivedock::Log("host").error("Settings reload failed, the old settings stay in use",
                                          {endivedock::field("error", settingsError.what())});
        }
        reloadSettingsOnHangUp(hangUpSignal, host, path);
    });
}

int run(const std::string &path, bool checkOnly)
{
    const endivedock::EdgeSettings settings = endivedock::readPlatformSettings(path);
    if (checkOnly) {
        std::cout << path << ": valid\n";
        return 0;
    }
    endivedock::configureLog(settings.logLevel);
    boost::asio::io_context context(1);
    Host host(context, settings);
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    stopSignals.async_wait([&host](const boost::system::error_code &error, int) {
        if (!error)
            host.stop();
    });
    boost::asio::signal_set hangUpSignal(context, SIGHUP);
    reloadSettingsOnHangUp(hangUpSignal, host, path);
    context.run();
    endivedock::exitProcess(0);
}

std::string settingsPath()
{
    const char *path = std::getenv("ENDIVEDOCK_CONFIG");
    return path == nullptr ? std::string("/etc/endivedock/settings.json") : std::string(path);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("endivedock-edge: one entry host on the platform");
    std::string path = settingsPath();
    bool checkOnly = false;
    app.add_option("settings", path, "Settings file of the platform; default: $ENDIVEDOCK_CONFIG");
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        return run(path, checkOnly);
    } catch (const endivedock::PlatformSettingsError &error) {
        std::cerr << "endivedock-edge: " << error.what() << "\n";
        return exitInvalidSettings;
    } catch (const std::exception &error) {
        std::cerr << "endivedock-edge: " << error.what() << "\n";
        return exitFailure;
    }
}
