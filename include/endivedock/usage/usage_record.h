#pragma once

#include "endivedock/usage/usage_window.h"

#include <map>
#include <string>
#include <string_view>

namespace endivedock {

/** The record in the store is malformed. */
class UsageRecordError : public Error
{
public:
    using Error::Error;
};

/**
 * What the holder writes to the store before it sends a report: a window's counts, once written,
 * never change, and each later holder sends the same ones.
 */
struct UsageRecord
{
    /** Token of the term in which this was written. */
    FencingToken token;
    HostId holder;
    /** The holder of the term before; equal to @ref holder if no other host held the duty yet. */
    HostId previousHolder;
    /** Unix time at which the term began. */
    Milliseconds termStartedAt{0};
    /** All windows up to this one are recorded, or were given up. */
    UsageWindow through;
    /** Recorded windows whose report the receiver has not confirmed. */
    std::map<UsageWindow, TeamCounts> unconfirmed;

    bool operator==(const UsageRecord &) const = default;
};

std::string encodeUsageRecord(const UsageRecord &record);
/** @throws UsageRecordError if @p text is no record */
UsageRecord decodeUsageRecord(std::string_view text);

/**
 * Returns the token of a new term: greater than the stored one, and than each token that was drawn
 * earlier by the time of day, in case the store has come back from an older copy. Contains some
 * bits of the host, so that two hosts do not draw the same token from such a copy.
 */
FencingToken nextToken(FencingToken stored, Milliseconds timeOfDay, HostId host);

} // namespace endivedock
