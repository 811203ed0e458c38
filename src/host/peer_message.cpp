#include "peer_message.h"

#include "endivedock/config/codec.h"
#include "endivedock/idempotency/codec.h"
#include "endivedock/membership/codec.h"
#include "endivedock/peers/cereal_codec.h"
#include "endivedock/placement/codec.h"
#include "endivedock/shards/codec.h"

namespace endivedock {

namespace {

/** Version of the message format. A host rejects messages of any other version. */
constexpr std::uint8_t formatVersion = 4;

} // namespace

template <typename Archive>
void serialize(Archive &archive, ConfigurationUpdate &update)
{
    archive(update.configuration, update.view);
}

std::string PeerCodec::encode(const PeerHeader &header, const PeerMessage &message)
{
    return encodeMessage(formatVersion, header, message);
}

PeerMessage PeerCodec::decode(std::string_view text, PeerHeader &header)
{
    return decodeMessage<PeerMessage>(formatVersion, text, header);
}

} // namespace endivedock
