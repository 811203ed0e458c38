#include "endivedock/host/settings.h"

#include "endivedock/json.h"

#include <fstream>
#include <sstream>

namespace endivedock {

namespace {

constexpr IntegerRange hostIdRange{1, 0xffff'ffff};
constexpr IntegerRange drainDelayMsRange{0, 600'000};
constexpr IntegerRange storeTimeoutMsRange{10, 60'000};
constexpr IntegerRange memoryMbRange{32, 16 * 1024 * 1024};
constexpr IntegerRange maxDescriptorsRange{64, 10'000'000};
constexpr std::size_t keyHexDigits = 64;

Address toAddress(const JsonNode &node)
{
    try {
        return parseAddress(node.asString());
    } catch (const AddressError &) {
        node.fail("an IP address with a port, such as 127.0.0.1:80");
    }
}

HostId parseHostId(const JsonNode &node)
{
    return HostId(static_cast<std::uint32_t>(node.integer("host", hostIdRange)));
}

PeerSettings parsePeer(const JsonNode &node)
{
    node.expectOnlyFields({"host", "region", "zone", "address"});
    return {parseHostId(node), RegionId(node.string("region")), ZoneId(node.string("zone")),
            toAddress(node.at("address"))};
}

std::string parseKey(const JsonNode &node)
{
    std::string key = node.asString();
    const bool isHexadecimal = key.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!isHexadecimal || key.size() != keyHexDigits)
        node.fail("64 lower-case hexadecimal digits");
    return key;
}

MachineLimits parseMachineLimits(const JsonNode &node)
{
    // Absent limits are those of the system.
    MachineLimits limits;
    if (const auto megabytes = node.integerOr("memoryMb", memoryMbRange, 0))
        limits.memory = Bytes(static_cast<std::uint64_t>(megabytes) << 20);
    if (const auto descriptors = node.integerOr("maxDescriptors", maxDescriptorsRange, 0))
        limits.descriptors = static_cast<int>(descriptors);
    return limits;
}

LogLevel parseLogLevel(const JsonNode &node)
{
    const std::string name = node.stringOr("logLevel", "info");
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "info")
        return LogLevel::Info;
    if (name == "warning")
        return LogLevel::Warning;
    if (name == "error")
        return LogLevel::Error;
    node.at("logLevel").fail("debug, info, warning or error");
}

HostSettings parseSettings(const JsonNode &node)
{
    node.expectOnlyFields({"host", "region", "zone", "listen", "admin", "peer", "peers", "store",
                           "directory", "peerKeys", "drainDelayMs", "storeTimeoutMs", "memoryMb",
                           "maxDescriptors", "logLevel"});
    HostSettings settings;
    settings.id = parseHostId(node);
    settings.region = RegionId(node.string("region"));
    settings.zone = ZoneId(node.string("zone"));
    settings.listen = toAddress(node.at("listen"));
    settings.admin = toAddress(node.at("admin"));
    settings.peer = toAddress(node.at("peer"));
    for (const auto &peer : node.listOrEmpty("peers"))
        settings.peers.push_back(parsePeer(peer));
    for (const auto &endpoint : node.list("store"))
        settings.store.push_back(toAddress(endpoint));
    if (settings.store.empty())
        node.at("store").fail("at least one address");
    settings.directory = toAddress(node.at("directory"));
    for (const auto &key : node.list("peerKeys"))
        settings.peerKeys.push_back(parseKey(key));
    if (settings.peerKeys.empty())
        node.at("peerKeys").fail("at least one key");
    settings.drainDelay = Milliseconds(node.integerOr("drainDelayMs", drainDelayMsRange, 500));
    settings.storeTimeout =
            Milliseconds(node.integerOr("storeTimeoutMs", storeTimeoutMsRange, 1000));
    settings.machine = parseMachineLimits(node);
    settings.logLevel = parseLogLevel(node);
    return settings;
}

} // namespace

HostSettings parseHostSettings(std::string_view text, const std::string &document)
{
    try {
        const boost::json::value value = parseJson(text, document);
        return parseSettings(JsonNode(value, document));
    } catch (const JsonError &error) {
        throw SettingsError(error.what());
    }
}

HostSettings readHostSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw SettingsError(path + ": the settings file cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return parseHostSettings(text.str(), path);
}

} // namespace endivedock
