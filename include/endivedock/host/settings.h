#pragma once

#include "endivedock/admission/admission_limits.h"
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
    /** Address that callers connect to, over HTTP. */
    Address listen;
    /** Address that serves status and metrics to operators, over HTTP. */
    Address admin;
    /** Address that other entry hosts send datagrams and open streams to. */
    Address peer;
    /** Gossip seeds: some other entry hosts, from which this host learns of the rest. */
    std::vector<PeerSettings> peers;
    /** Addresses of the platform's store. */
    std::vector<Address> store;
    /** Address of the platform's host directory, which lists all entry hosts and targets. */
    Address directory;
    /**
     * Keys of the peer protocol, 32 bytes each, in hexadecimal. The first key encrypts and every
     * key decrypts, so that the keys can be rotated.
     */
    std::vector<std::string> peerKeys;
    /** Minimum time for which this host still accepts requests after a stop signal. */
    Milliseconds drainDelay{500};
    /** Time limit of one call to the store or to the host directory. */
    Milliseconds storeTimeout{1000};
    /** Memory and descriptors of the process. */
    MachineLimits machine;
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
