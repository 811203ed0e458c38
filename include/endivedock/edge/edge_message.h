#pragma once

#include "endivedock/edge/registry_messages.h"
#include "endivedock/freshness/messages.h"
#include "endivedock/loadreports/messages.h"
#include "endivedock/peers.h"
#include "endivedock/placement/messages.h"
#include "endivedock/quarantine/messages.h"
#include "endivedock/usage/messages.h"
#include "endivedock/zones/messages.h"

#include <string>
#include <variant>

namespace endivedock {

/**
 * All messages between edge hosts. The position of a type is part of the encoding, so new types
 * must be appended.
 */
using EdgeMessage = std::variant<HostLoadReport, AggregatedLoad, RegistryNotice, RegistryRequest,
                                 RegistryDelta, PlacementRequest, PlacementAnswer, AttemptReport,
                                 PlacementCancel, CrashRecords, DrainingNotice, UsageCounts,
                                 ZoneRoom, FreshnessQuestion, FreshnessAnswer>;

/** Encodes messages between edge hosts in cereal's portable binary format. */
struct EdgeCodec
{
    using Message = EdgeMessage;

    static std::string encode(const PeerHeader &header, const EdgeMessage &message);
    /**
     * Decodes a message.
     *
     * @param header  set to the header of the message
     * @throws MessageError if @p text is truncated, malformed or of another format version
     */
    static EdgeMessage decode(std::string_view text, PeerHeader &header);
};

static_assert(MessageCodec<EdgeCodec>);

} // namespace endivedock
