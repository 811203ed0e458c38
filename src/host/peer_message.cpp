#include "peer_message.h"

#include "endivedock/config/codec.h"
#include "endivedock/membership/codec.h"
#include "endivedock/placement/codec.h"
#include "endivedock/runs/codec.h"
#include "endivedock/shards/codec.h"

#include <sstream>

namespace endivedock {

namespace {

/** Version of the message format; hosts of different versions do not talk. */
constexpr std::uint8_t formatVersion = 1;

} // namespace

template <typename Archive>
void serialize(Archive &archive, PeerHeader &header)
{
    archive(header.sender, header.incarnation, header.sequence, header.receiver);
}

template <typename Archive>
void serialize(Archive &archive, FleetCopy &copy)
{
    archive(copy.configuration, copy.view);
}

std::string PeerCodec::encode(const PeerHeader &header, const PeerMessage &message)
{
    std::ostringstream out(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(out);
    archive(formatVersion, header, message);
    return std::move(out).str();
}

PeerMessage PeerCodec::decode(std::string_view text, PeerHeader &header)
{
    try {
        std::istringstream in(std::string(text), std::ios::binary);
        cereal::PortableBinaryInputArchive archive(in);
        std::uint8_t version = 0;
        archive(version);
        if (version != formatVersion)
            throw MessageError("a message has another format version");
        PeerMessage message;
        archive(header, message);
        return message;
    } catch (const MessageError &) {
        throw;
    } catch (const std::exception &error) {
        // Whatever the encoding library throws on bad input is one error to the layers above.
        throw MessageError(error.what());
    }
}

} // namespace endivedock
