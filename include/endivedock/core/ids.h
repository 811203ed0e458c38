#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace endivedock {

/**
 * An identifier that does not mix with identifiers of another kind.
 *
 * @tparam Tag  names the kind; never defined
 * @tparam Rep  the representation, a string or an unsigned integer
 */
template <typename Tag, typename Rep>
class StrongId
{
public:
    using Representation = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    const Rep &value() const { return m_value; }
    auto operator<=>(const StrongId &) const = default;

private:
    Rep m_value{};
};

template <typename Tag, typename Rep>
std::ostream &operator<<(std::ostream &out, const StrongId<Tag, Rep> &id)
{
    return out << id.value();
}

/** A group of zones with low latency between them. */
using RegionId = StrongId<struct RegionTag, std::string>;
/** An availability zone, unique within its region. */
using ZoneId = StrongId<struct ZoneTag, std::string>;
using TeamId = StrongId<struct TeamTag, std::string>;
/** A service with its tenant, written "tenant/service". */
using ServiceId = StrongId<struct ServiceTag, std::string>;
using TemplateId = StrongId<struct TemplateTag, std::string>;
using TargetId = StrongId<struct TargetTag, std::string>;
using VersionId = StrongId<struct VersionTag, std::string>;
/** An entry host of endivedock. */
using HostId = StrongId<struct HostTag, std::uint32_t>;
/** One caller's request on one entry host; random, so that hosts need not agree. */
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/** The right to send one attempt to one target. */
using GrantId = StrongId<struct GrantTag, std::uint64_t>;
/** One life of a process; a restart gets a greater one. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/** The store's revision of a configuration; only rises. */
using Revision = StrongId<struct RevisionTag, std::int64_t>;
/** The store's revision of a view of the entry hosts; only rises. */
using ViewNumber = StrongId<struct ViewTag, std::int64_t>;
/** A part of the services and idempotency keys that the same hosts look after. */
using ShardId = StrongId<struct ShardTag, std::uint16_t>;
/** Hash of what identifies a request's content to a target. */
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;
/** Hash of a service and an Idempotency-Key value. */
using IdempotencyKeyHash = StrongId<struct IdempotencyKeyHashTag, std::uint64_t>;

} // namespace endivedock

template <typename Tag, typename Rep>
struct std::hash<endivedock::StrongId<Tag, Rep>>
{
    std::size_t operator()(const endivedock::StrongId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
