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

/** What a host gives to another one that has an older configuration or view. */
struct ConfigurationUpdate
{
    ConfigurationSnapshot configuration;
    View view;
};

/** Every message between entry hosts. New ones go to the end, so that old numbers keep their
 * meaning. */
using PeerMessage = std::variant<GossipMessage, ConfigurationRequest, ConfigurationUpdate,
                                 PlacementRequest, PlacementAnswer, PlacementCancel, AttemptReport,
                                 AttemptReportAck, InFlightQuery, InFlightList, LeaseRequest,
                                 LeaseAnswer, LeaseRelease, HolderSnapshot, ClaimRequest,
                                 ClaimAnswer, ClaimOutcome, RecordSyncRequest, RecordSyncAnswer>;

/** The encoding of messages between hosts: cereal's portable binary form. */
struct PeerCodec
{
    using Message = PeerMessage;

    static std::string encode(const PeerHeader &header, const PeerMessage &message);
    /** @throws MessageError if @p text is not one whole message */
    static PeerMessage decode(std::string_view text, PeerHeader &header);
};

static_assert(MessageCodec<PeerCodec>);

} // namespace endivedock
