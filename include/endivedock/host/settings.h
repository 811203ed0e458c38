#pragma once

#include "endivedock/core.h"
#include "endivedock/telemetry.h"

#include <string>
#include <vector>

namespace endivedock {

/** A setting is missing, has the wrong type or is out of range. */
class SettingsError : public Error
{
public:
    using Error::Error;
};

/** Another entry host that is listed in the settings. */
struct PeerSettings
{
    HostId id;
    RegionId region;
    ZoneId zone;
    Address address;
};

/** The settings file of one entry host. */
struct HostSettings
{
    HostId id;
    RegionId region;
    ZoneId zone;
    /** Where callers connect, over HTTP. */
    Address listen;
    /** Where operators read status and metrics, over HTTP. */
    Address admin;
    /** Where other entry hosts send datagrams and open streams. */
    Address peer;
    /** Seeds of the gossip: some other entry hosts, from which this host learns of the rest. */
    std::vector<PeerSettings> peers;
    /** Endpoints of the platform's store. */
    std::vector<Address> store;
    /** The platform's host directory. */
    Address directory;
    /**
     * Keys of the peer protocol, 32 bytes each, in hexadecimal. The first key encrypts and every
     * key decrypts, so that the keys can be rotated.
     */
    std::vector<std::string> peerKeys;
    /** How long this host at least accepts requests after the signal to stop. */
    Milliseconds drainDelay{500};
    Milliseconds storeTimeout{1000};
    LogLevel logLevel = LogLevel::Info;
};

/**
 * Parses and validates the settings of an entry host.
 *
 * @param text      the settings in JSON
 * @param document  name of the document in error messages
 * @throws SettingsError with the document, the JSON pointer and the expected value
 */
HostSettings parseHostSettings(std::string_view text, const std::string &document);

/** Reads the settings file. @throws SettingsError if the file cannot be read or is not valid */
HostSettings readHostSettings(const std::string &path);

} // namespace endivedock
