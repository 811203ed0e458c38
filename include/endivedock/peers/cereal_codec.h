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
 * Encodes a variant of messages in cereal's portable binary format. Include this header only in
 * files that encode messages, after the codecs of all message types.
 *
 * @param formatVersion  version of the encoding; hosts refuse messages of another version
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

/**
 * Decodes the result of encodeMessage().
 *
 * @param header  set to the header of the message
 * @throws MessageError if @p text is not exactly one message of this format version
 */
template <typename Message>
Message decodeMessage(std::uint8_t formatVersion, std::string_view text, PeerHeader &header)
{
    try {
        std::istringstream in(std::string(text), std::ios::binary);
        cereal::PortableBinaryInputArchive archive(in);
        std::uint8_t version = 0;
        archive(version);
        if (version != formatVersion)
            throw MessageError("peer message has another format version than this host");
        Message message;
        archive(header, message);
        if (in.peek() != std::istringstream::traits_type::eof())
            throw MessageError("peer message has bytes after its end");
        return message;
    } catch (const MessageError &) {
        throw;
    } catch (const std::exception &error) {
        // This function throws only MessageError, whatever cereal throws on malformed input.
        throw MessageError(error.what());
    }
}

} // namespace endivedock
