#pragma once

/**
 * Serialization of the core types with cereal. Included only by code that encodes messages, never
 * by code that takes decisions. Lengths are checked before memory is allocated, so that a malformed
 * message cannot exhaust memory.
 */

#include "endivedock/core.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>

namespace endivedock {

/** A message contains a value out of range, or a string or a list longer than maxEncodedLength. */
class CodecError : public Error
{
public:
    using Error::Error;
};

/** Largest number of elements of a list, and of bytes of a string, in a message. */
constexpr std::uint32_t maxEncodedLength = 1u << 20;

/**
 * A value of an enumeration whose values begin with 0 and have no gaps; decoding refuses a value
 * above the highest one. Encoded as the representation of the enumeration.
 */
template <typename E>
struct Enumerator
{
    E &value;
    std::underlying_type_t<E> highest;
};

/** @return @p value for an archive, with the highest value of its enumeration */
template <typename E>
Enumerator<E> enumerator(E &value, E highest)
{
    return {value, static_cast<std::underlying_type_t<E>>(highest)};
}

template <typename Archive, typename E>
void save(Archive &archive, const Enumerator<E> &bounded)
{
    archive(static_cast<std::underlying_type_t<E>>(bounded.value));
}

template <typename Archive, typename E>
void load(Archive &archive, Enumerator<E> &bounded)
{
    std::underlying_type_t<E> value{};
    archive(value);
    if (std::cmp_less(value, 0) || value > bounded.highest)
        throw CodecError("value of an enumeration in a message is out of range");
    bounded.value = static_cast<E>(value);
}

template <typename Archive, typename Tag, typename Rep>
void save(Archive &archive, const StrongId<Tag, Rep> &id)
{
    archive(id.value());
}

template <typename Archive, typename Tag, typename Rep>
void load(Archive &archive, StrongId<Tag, Rep> &id)
{
    Rep value{};
    archive(value);
    id = StrongId<Tag, Rep>(std::move(value));
}

template <typename Archive, typename Tag, typename Rep>
void save(Archive &archive, const Quantity<Tag, Rep> &quantity)
{
    archive(quantity.value());
}

template <typename Archive, typename Tag, typename Rep>
void load(Archive &archive, Quantity<Tag, Rep> &quantity)
{
    Rep value{};
    archive(value);
    quantity = Quantity<Tag, Rep>(value);
}

template <typename Archive>
void serialize(Archive &archive, Address &address)
{
    archive(address.ip, address.port);
}

template <typename Archive>
void serialize(Archive &archive, Refusal &refusal)
{
    archive(enumerator(refusal.reason, RefusalReason::Internal),
            enumerator(refusal.certainty, RunCertainty::MayHaveRun), refusal.retryAfter);
}

} // namespace endivedock

namespace cereal {

/** Refuses other bytes than 0 and 1, which are no values of a bool. */
inline void load(PortableBinaryInputArchive &archive, bool &value)
{
    std::uint8_t byte = 0;
    archive(byte);
    if (byte > 1)
        throw endivedock::CodecError("bool in a message is neither 0 nor 1");
    value = byte == 1;
}

template <typename Archive, typename Rep, typename Period>
void save(Archive &archive, const std::chrono::duration<Rep, Period> &duration)
{
    archive(static_cast<std::int64_t>(duration.count()));
}

template <typename Archive, typename Rep, typename Period>
void load(Archive &archive, std::chrono::duration<Rep, Period> &duration)
{
    std::int64_t count = 0;
    archive(count);
    duration = std::chrono::duration<Rep, Period>(count);
}

template <typename Archive>
void save(Archive &archive, const std::string &text)
{
    archive(static_cast<std::uint32_t>(text.size()));
    archive(binary_data(text.data(), text.size()));
}

template <typename Archive>
void load(Archive &archive, std::string &text)
{
    std::uint32_t size = 0;
    archive(size);
    if (size > endivedock::maxEncodedLength)
        throw endivedock::CodecError("string in a message is longer than maxEncodedLength bytes");
    // The string grows with the decoded bytes: with a false length, decoding fails at the end of
    // the data, before much memory is allocated.
    constexpr std::size_t chunkBytes = 4096;
    text.clear();
    while (text.size() < size) {
        const std::size_t begin = text.size();
        text.resize(std::min<std::size_t>(size, begin + std::max(begin, chunkBytes)));
        archive(binary_data(text.data() + begin, text.size() - begin));
    }
}

template <typename Archive, typename T>
void save(Archive &archive, const std::vector<T> &list)
{
    archive(static_cast<std::uint32_t>(list.size()));
    for (const auto &element : list)
        archive(element);
}

template <typename Archive, typename T>
void load(Archive &archive, std::vector<T> &list)
{
    std::uint32_t size = 0;
    archive(size);
    if (size > endivedock::maxEncodedLength)
        throw endivedock::CodecError("list in a message has more than maxEncodedLength elements");
    // The list grows with the decoded elements, as a string does with its bytes.
    list.clear();
    for (std::uint32_t i = 0; i < size; ++i) {
        list.emplace_back();
        archive(list.back());
    }
}

} // namespace cereal
