#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace endivedock {

/**
 * An identifier that cannot be confused with identifiers of another kind.
 *
 * @tparam Tag  distinguishes the kind; never defined
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
/** A customer, who owns services. */
using TeamId = StrongId<struct TeamTag, std::string>;
/** A service with its team, written "team/service". */
using ServiceId = StrongId<struct ServiceTag, std::string>;
/** A template of service settings to which services refer. */
using TemplateId = StrongId<struct TemplateTag, std::string>;
/** A back end: one process that runs requests of a service. */
using TargetId = StrongId<struct TargetTag, std::string>;
/** A version of a service, run by some or all of its targets. */
using VersionId = StrongId<struct VersionTag, std::string>;
/** A host that runs an endivedock process. */
using HostId = StrongId<struct HostTag, std::uint32_t>;
/** One caller's request on one host. Drawn at random, so that hosts need no coordination. */
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/** Identifies a grant: the permission to send one attempt to one target. */
using GrantId = StrongId<struct GrantTag, std::uint64_t>;
/** Number of one run of a process, from its start to its end; greater after each restart. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/** Revision of a configuration in the store; increases monotonically. */
using Revision = StrongId<struct RevisionTag, std::int64_t>;
/** Revision in the store of the membership view, the set of hosts; increases monotonically. */
using ViewNumber = StrongId<struct ViewTag, std::int64_t>;
/** Number of a shard: the services and idempotency keys that are assigned to the same hosts. */
using ShardId = StrongId<struct ShardTag, std::uint16_t>;
/** Hash of a request's authority, method, path and the start of its body. */
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
