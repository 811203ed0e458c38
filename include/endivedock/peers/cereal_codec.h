#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/peers/transport.h"

#include <sstream>
#include <string>
#include <string_view>

namespace endivedock {

template <typename Archive>
void serialize(Archive &archive, PeerHeader &header)
{
    archive(header.sender, header.incarnation, header.sequence, header.receiver);
}

/**
 * Encodes a variant of messages in cereal's portable binary form. Included only where messages are
 * encoded, after the codecs of all messages.
 *
 * @param formatVersion  hosts of different versions do not talk
 */
template <typename Message>
std::string encodeMessage(std::uint8_t formatVersion, const PeerHeader &header,
                          const Message &message)
{
    std::ostringstream out(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(out);
    archive(formatVersion, header, message);
    return std::move(out).str();
}

/** @throws MessageError if @p text is not one whole message of this version */
template <typename Message>
Message decodeMessage(std::uint8_t formatVersion, std::string_view text, PeerHeader &header)
{
    try {
        std::istringstream in(std::string(text), std::ios::binary);
        cereal::PortableBinaryInputArchive archive(in);
        std::uint8_t version = 0;
        archive(version);
        if (version != formatVersion)
            throw MessageError("a message has another format version");
        Message message;
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
