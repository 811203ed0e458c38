#pragma once

#include "endivedock/edge/registry_messages.h"
#include "endivedock/loadreports/messages.h"
#include "endivedock/peers.h"
#include "endivedock/placement/messages.h"

#include <string>
#include <variant>

namespace endivedock {

/** Every message between edge hosts. New ones go to the end. */
using EdgeMessage =
        std::variant<HostLoadReport, AggregatedLoad, RegistryNotice, RegistryRequest, RegistryDelta,
                     PlacementRequest, PlacementAnswer, AttemptReport, PlacementCancel>;

/** The encoding of messages between edge hosts: cereal's portable binary form. */
struct EdgeCodec
{
    using Message = EdgeMessage;

    static std::string encode(const PeerHeader &header, const EdgeMessage &message);
    /** @throws MessageError if @p text is not one whole message */
    static EdgeMessage decode(std::string_view text, PeerHeader &header);
};

static_assert(MessageCodec<EdgeCodec>);

} // namespace endivedock
