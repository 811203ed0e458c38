#pragma once

#include "endivedock/core.h"
#include "endivedock/json.h"

#include <string_view>
#include <vector>

namespace endivedock {

/** What the platform says of a machine; the list lags. */
enum class ListedState { Live, Leaving };

/** An entry host as listed. */
struct ListedHost
{
    HostId id;
    RegionId region;
    ZoneId zone;
    /** Where its peers reach it. */
    Address peerAddress;
    ListedState state = ListedState::Live;
};

/** A target as listed. */
struct ListedTarget
{
    TargetId id;
    ServiceId service;
    Address address;
    ZoneId zone;
    VersionId version;
    ListedState state = ListedState::Live;
};

struct DirectoryListing
{
    std::vector<ListedHost> hosts;
    std::vector<ListedTarget> targets;
};

/** The directory could not be reached or sent something else than a listing. */
class DirectoryError : public Error
{
public:
    using Error::Error;
};

/** @throws JsonError if @p text is not a listing */
DirectoryListing parseDirectoryListing(std::string_view text);

} // namespace endivedock
