#pragma once

#include "endivedock/core/codec.h"
#include "endivedock/loadreports/messages.h"
#include "endivedock/rollout/codec.h"
#include "endivedock/servicetime/codec.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace endivedock {

namespace loadreports_detail {

/** @return the position after the written value */
template <typename T>
char *writeLittleEndian(char *position, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        *position++ = static_cast<char>(value >> (8 * i));
    return position;
}

template <typename T>
T takeLittleEndian(std::string_view &bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= std::uint64_t(static_cast<std::uint8_t>(bytes[i])) << (8 * i);
    bytes.remove_prefix(sizeof(T));
    return static_cast<T>(value);
}

/** Bytes of one encoded TargetLoad. */
constexpr std::size_t targetLoadBytes = 4 + 2 + 2 + 2;

} // namespace loadreports_detail

// A load report contains an entry for each of hundreds of targets, so all entries are encoded as
// one string, which is faster than the encoding of single fields. Ages are encoded in 16 bits, in
// milliseconds; longer ages are encoded as 65,535 ms.
template <typename Archive>
void save(Archive &archive, const std::vector<TargetLoad> &entries)
{
    std::string bytes(entries.size() * loadreports_detail::targetLoadBytes, '\0');
    char *position = bytes.data();
    for (const auto &entry : entries) {
        const auto age = std::clamp<std::int64_t>(entry.age.count(), 0, 65'535);
        position = loadreports_detail::writeLittleEndian(position, entry.target.value());
        position = loadreports_detail::writeLittleEndian(position, entry.inFlight);
        position = loadreports_detail::writeLittleEndian(position, entry.slowdown);
        position = loadreports_detail::writeLittleEndian(position, static_cast<std::uint16_t>(age));
    }
    archive(bytes);
}

template <typename Archive>
void load(Archive &archive, std::vector<TargetLoad> &entries)
{
    std::string bytes;
    archive(bytes);
    if (bytes.size() % loadreports_detail::targetLoadBytes != 0)
        throw CodecError("list of target loads ends within an entry");
    entries.clear();
    entries.reserve(bytes.size() / loadreports_detail::targetLoadBytes);
    for (std::string_view left = bytes; !left.empty();) {
        TargetLoad entry;
        entry.target = TargetHash(loadreports_detail::takeLittleEndian<std::uint32_t>(left));
        entry.inFlight = loadreports_detail::takeLittleEndian<std::uint16_t>(left);
        entry.slowdown = loadreports_detail::takeLittleEndian<std::uint16_t>(left);
        entry.age = Milliseconds(loadreports_detail::takeLittleEndian<std::uint16_t>(left));
        entries.push_back(entry);
    }
}

template <typename Archive>
void serialize(Archive &archive, RolloutSample &sample)
{
    archive(enumerator(sample.role, VersionRole::New), sample.route, sample.isFailure, sample.time);
}

template <typename Archive>
void serialize(Archive &archive, ServiceLoadReport &report)
{
    archive(report.service, report.targets, report.rolloutSamples, report.rollout);
}

template <typename Archive>
void serialize(Archive &archive, HostLoadReport &report)
{
    archive(report.services);
}

template <typename Archive>
void serialize(Archive &archive, TargetRange &range)
{
    archive(range.first, range.last);
}

template <typename Archive>
void serialize(Archive &archive, AggregatedServiceLoad &aggregated)
{
    archive(aggregated.service, aggregated.range, aggregated.targets, aggregated.rollout,
            aggregated.serviceTimes);
}

template <typename Archive>
void serialize(Archive &archive, AggregatedLoad &aggregated)
{
    archive(aggregated.services);
}

} // namespace endivedock
