#pragma once

#include "endivedock/core.h"
#include "endivedock/telemetry.h"

#include <string>
#include <vector>

namespace endivedock {

/** Settings that are missing, of the wrong type or out of range. */
class SettingsError : public Error
{
public:
    using Error::Error;
};

/** Another entry host that is known from the settings. */
struct PeerSettings
{
    HostId id;
    RegionId region;
    ZoneId zone;
    Address address;
};

/** What one entry host is told at its start. */
struct HostSettings
{
    HostId id;
    RegionId region;
    ZoneId zone;
    /** For callers, over HTTP. */
    Address listen;
    /** For operators: status and metrics, over HTTP. */
    Address admin;
    /** For other entry hosts: datagrams and streams. */
    Address peer;
    /** Some other hosts, to begin with; the rest are learned from them. */
    std::vector<PeerSettings> peers;
    std::vector<Address> store;
    Address directory;
    /** Keys of the peer protocol, 32 bytes each, in hexadecimal; the first one seals, all open. */
    std::vector<std::string> peerKeys;
    /** How long this host still takes requests after it was told to stop. */
    Milliseconds drainDelay{500};
    Milliseconds storeTimeout{1000};
    LogLevel logLevel = LogLevel::Info;
};

/**
 * @param text      JSON
 * @param document  its name in errors
 * @throws SettingsError naming the document, the JSON pointer and what was expected
 */
HostSettings parseHostSettings(std::string_view text, const std::string &document);

/** @throws SettingsError if the file cannot be read or is not valid */
HostSettings readHostSettings(const std::string &path);

} // namespace endivedock
