#include "endivedock/directory/listing.h"

namespace endivedock {

namespace {

constexpr std::string_view documentName = "host directory";

ListedState parseState(const JsonNode &node)
{
    const std::string state = node.string("state");
    if (state == "live")
        return ListedState::Live;
    if (state == "leaving")
        return ListedState::Leaving;
    node.at("state").fail("live or leaving");
}

Address parseAddressField(const JsonNode &node)
{
    try {
        return parseAddress(node.string("address"));
    } catch (const AddressError &) {
        node.at("address").fail("an IP address with a port");
    }
}

ListedHost parseHost(const JsonNode &node)
{
    ListedHost host;
    host.id = HostId(static_cast<std::uint32_t>(node.integer("host", {1, 0xffff'ffff})));
    host.region = RegionId(node.string("region"));
    host.zone = ZoneId(node.string("zone"));
    host.peerAddress = parseAddressField(node);
    host.state = parseState(node);
    return host;
}

ListedTarget parseTarget(const JsonNode &node)
{
    ListedTarget target;
    target.id = TargetId(node.string("target"));
    target.service = ServiceId(node.string("service"));
    target.address = parseAddressField(node);
    target.zone = ZoneId(node.string("zone"));
    target.version = VersionId(node.string("version"));
    target.state = parseState(node);
    return target;
}

} // namespace

DirectoryListing parseDirectoryListing(std::string_view text)
{
    const std::string document(documentName);
    const boost::json::value value = parseJson(text, document);
    // Unknown fields are allowed, so that the platform can add fields.
    const JsonNode node(value, document);
    DirectoryListing listing;
    for (const auto &host : node.list("hosts"))
        listing.hosts.push_back(parseHost(host));
    for (const auto &target : node.list("targets"))
        listing.targets.push_back(parseTarget(target));
    return listing;
}

} // namespace endivedock
