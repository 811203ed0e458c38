#include "endivedock/edge/edge_message.h"

#include "endivedock/edge/registry_codec.h"
#include "endivedock/freshness/codec.h"
#include "endivedock/loadreports/codec.h"
#include "endivedock/peers/cereal_codec.h"
#include "endivedock/placement/codec.h"
#include "endivedock/quarantine/codec.h"
#include "endivedock/selection/codec.h"
#include "endivedock/usage/codec.h"
#include "endivedock/zones/codec.h"

namespace endivedock {

namespace {

constexpr std::uint8_t formatVersion = 3;

} // namespace

std::string EdgeCodec::encode(const PeerHeader &header, const EdgeMessage &message)
{
    return encodeMessage(formatVersion, header, message);
}

EdgeMessage EdgeCodec::decode(std::string_view text, PeerHeader &header)
{
    return decodeMessage<EdgeMessage>(formatVersion, text, header);
}

} // namespace endivedock
