#pragma once

#include "endivedock/config/messages.h"
#include "endivedock/idempotency/messages.h"
#include "endivedock/membership/messages.h"
#include "endivedock/peers.h"
#include "endivedock/placement/messages.h"
#include "endivedock/shards/messages.h"

#include <string>
#include <variant>

namespace endivedock {

/** Reply to a ConfigurationRequest: configuration and view of the host that replies. */
struct ConfigurationUpdate
{
    ConfigurationSnapshot configuration;
    View view;
};

/**
 * Every message between entry hosts. The position in the list is the type number on the wire, so
 * new messages are added at the end.
 */
using PeerMessage = std::variant<GossipMessage, ConfigurationRequest, ConfigurationUpdate,
                                 PlacementRequest, PlacementAnswer, PlacementCancel, AttemptReport,
                                 AttemptReportAck, InFlightQuery, InFlightList, LeaseRequest,
                                 LeaseAnswer, LeaseRelease, HolderSnapshot, ClaimRequest,
                                 ClaimAnswer, ClaimOutcome, RecordSyncRequest, RecordSyncAnswer>;

/** Encodes messages between hosts in cereal's portable binary format. */
struct PeerCodec
{
    using Message = PeerMessage;

    static std::string encode(const PeerHeader &header, const PeerMessage &message);
    /** @throws MessageError if @p text is not exactly one message */
    static PeerMessage decode(std::string_view text, PeerHeader &header);
};

static_assert(MessageCodec<PeerCodec>);

} // namespace endivedock
