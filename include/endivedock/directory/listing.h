#pragma once

#include "endivedock/core.h"
#include "endivedock/json.h"

#include <string_view>
#include <vector>

namespace endivedock {

/** State of a host or target according to the platform; may be out of date. */
enum class ListedState { Live, Leaving };

/** A host in the list. */
struct ListedHost
{
    HostId id;
    RegionId region;
    ZoneId zone;
    /** Address at which other hosts reach the host. */
    Address peerAddress;
    ListedState state = ListedState::Live;
};

/** A target in the list. */
struct ListedTarget
{
    TargetId id;
    ServiceId service;
    Address address;
    ZoneId zone;
    VersionId version;
    ListedState state = ListedState::Live;
};

/** The hosts and targets that the platform lists. */
struct DirectoryListing
{
    std::vector<ListedHost> hosts;
    std::vector<ListedTarget> targets;
};

/** The directory is unreachable or sent an invalid list. */
class DirectoryError : public Error
{
public:
    using Error::Error;
};

/**
 * Parses the JSON document of the directory.
 *
 * @throws JsonError if @p text is not a valid list of hosts and targets
 */
DirectoryListing parseDirectoryListing(std::string_view text);

} // namespace endivedock
