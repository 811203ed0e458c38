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

constexpr int exitSettings = 2;
constexpr int exitFailure = 1;

/** Reads the settings again at each hang-up signal. */
void followHangUp(boost::asio::signal_set &hangUp, Host &host, const std::string &path)
{
    hangUp.async_wait([&](const boost::system::error_code &error, int) {
        if (error)
            return;
        try {
            host.reload(endivedock::readPlatformSettings(path));
        } catch (const endivedock::Error &failure) {
            endivedock::Log("host").error("The old settings stay",
                                          {endivedock::field("error", failure.what())});
        }
        followHangUp(hangUp, host, path);
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
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&host](const boost::system::error_code &error, int) {
        if (!error)
            host.stop();
    });
    boost::asio::signal_set hangUp(context, SIGHUP);
    followHangUp(hangUp, host, path);
    context.run();
    return 0;
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
        return exitSettings;
    } catch (const std::exception &error) {
        std::cerr << "endivedock-edge: " << error.what() << "\n";
        return exitFailure;
    }
}
