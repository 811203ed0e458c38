#include "endivedock/membership/member_table.h"

#include <algorithm>
#include <tuple>

namespace endivedock {

namespace {

bool hasSameContent(const MemberState &a, const MemberState &b)
{
    return a.incarnation == b.incarnation && a.leaving == b.leaving &&
           a.configuration == b.configuration && a.view == b.view && a.activeView == b.activeView &&
           a.heldShards == b.heldShards;
}

MemberHeartbeat heartbeatOf(const MemberState &state)
{
    return {state.id, state.incarnation, state.heartbeatCounter};
}

/** Keeps @p count randomly drawn items and removes the other items. */
template <typename T>
void keepRandomSample(std::vector<T> &items, std::size_t count, Random &random)
{
    for (std::size_t i = 0; i < std::min(count, items.size()); ++i)
        std::swap(items[i], items[i + drawBelow(random, items.size() - i)]);
    items.resize(std::min(count, items.size()));
}

} // namespace

std::string_view name(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Live:
        return "live";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Dead:
        return "dead";
    }
    return "unknown";
}

MemberTable::MemberTable(MemberState self, GossipSettings settings, TimePoint now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_startedAt(now)
{
}

void MemberTable::updateSelf(MemberState self)
{
    self.version = m_self.version + (hasSameContent(self, m_self) ? 0 : 1);
    self.heartbeatCounter = m_self.heartbeatCounter;
    m_self = std::move(self);
}

std::vector<HostId> MemberTable::merge(const GossipMessage &message, TimePoint now)
{
    std::vector<HostId> changed;
    for (const auto &state : message.members) {
        if (state.id != m_self.id && mergeState(state, now))
            changed.push_back(state.id);
        mergeHeartbeat(heartbeatOf(state), now);
    }
    for (const auto &heartbeat : message.heartbeats)
        mergeHeartbeat(heartbeat, now);
    return changed;
}

bool MemberTable::mergeState(const MemberState &state, TimePoint now)
{
    const auto [found, isNew] = m_others.try_emplace(state.id, KnownMember{state, now, now});
    if (isNew)
        return true;
    MemberState &current = found->second.state;
    if (std::tie(state.incarnation, state.version) <=
        std::tie(current.incarnation, current.version))
        return false;
    const bool isSameIncarnation = state.incarnation == current.incarnation;
    const std::uint32_t heartbeatCounter =
            isSameIncarnation ? std::max(current.heartbeatCounter, state.heartbeatCounter)
                              : state.heartbeatCounter;
    if (!isSameIncarnation || state.heartbeatCounter > current.heartbeatCounter)
        found->second.lastHeartbeatAt = now;
    current = state;
    current.heartbeatCounter = heartbeatCounter;
    found->second.changedAt = now;
    return true;
}

void MemberTable::mergeHeartbeat(const MemberHeartbeat &heartbeat, TimePoint now)
{
    const auto found = m_others.find(heartbeat.id);
    if (found == m_others.end())
        return;
    MemberState &current = found->second.state;
    // A heartbeat of a new incarnation counts only after the state of that incarnation has arrived.
    if (heartbeat.incarnation != current.incarnation ||
        heartbeat.heartbeatCounter <= current.heartbeatCounter)
        return;
    current.heartbeatCounter = heartbeat.heartbeatCounter;
    found->second.lastHeartbeatAt = now;
}

void MemberTable::addSeed(const HostId &id, const RegionId &region, const ZoneId &zone,
                          const Address &address, TimePoint now)
{
    if (id == m_self.id)
        return;
    MemberState state;
    state.id = id;
    state.region = region;
    state.zone = zone;
    state.address = address;
    // The host is known only from the platform's list, so it is dead until its own state arrives.
    m_others.try_emplace(id, KnownMember{state, now - m_settings.deadAfter, TimePoint{}});
}

Liveness MemberTable::liveness(const HostId &id, TimePoint now) const
{
    if (id == m_self.id)
        return Liveness::Live;
    const auto found = m_others.find(id);
    if (found == m_others.end())
        return Liveness::Dead;
    const Duration heartbeatAge = now - found->second.lastHeartbeatAt;
    if (heartbeatAge >= m_settings.deadAfter)
        return Liveness::Dead;
    return heartbeatAge >= m_settings.suspectAfter ? Liveness::Suspect : Liveness::Live;
}

bool MemberTable::isLive(const HostId &id, TimePoint now) const
{
    return liveness(id, now) == Liveness::Live;
}

const MemberState *MemberTable::find(const HostId &id) const
{
    if (id == m_self.id)
        return &m_self;
    const auto found = m_others.find(id);
    return found == m_others.end() ? nullptr : &found->second.state;
}

Duration MemberTable::timeSinceHeartbeat(const HostId &id, TimePoint now) const
{
    const auto found = m_others.find(id);
    return found == m_others.end() ? Duration::zero() : now - found->second.lastHeartbeatAt;
}

std::size_t MemberTable::liveHostCount(TimePoint now) const
{
    const auto count = std::count_if(m_others.begin(), m_others.end(),
                                     [&](const auto &entry) { return isLive(entry.first, now); });
    return static_cast<std::size_t>(count) + 1;
}

void MemberTable::advanceHeartbeat(TimePoint now)
{
    ++m_self.heartbeatCounter;
    std::erase_if(m_others, [&](const auto &entry) {
        return now - entry.second.lastHeartbeatAt >= m_settings.forgetAfter;
    });
}

std::vector<HostId> MemberTable::selectGossipPeers(TimePoint now, Random &random) const
{
    std::vector<HostId> peers;
    std::vector<HostId> deadMembers;
    for (const auto &[id, member] : m_others)
        (liveness(id, now) == Liveness::Dead ? deadMembers : peers).push_back(id);
    keepRandomSample(peers, m_settings.fanout, random);
    // One dead member is sent a message as well, so that the end of a network partition is noticed.
    keepRandomSample(deadMembers, 1, random);
    peers.insert(peers.end(), deadMembers.begin(), deadMembers.end());
    return peers;
}

std::vector<const KnownMember *> MemberTable::selectStates(Random &random) const
{
    std::vector<const KnownMember *> candidates;
    for (const auto &[id, member] : m_others) {
        if (member.state.heartbeatCounter > 0)
            candidates.push_back(&member);
    }
    // Half of the states are the most recently changed ones, so that changes spread quickly. The
    // other half is drawn at random, so that every state is sent within a few intervals.
    const std::size_t otherStateCount = m_settings.maxStatesPerMessage - 1;
    const std::size_t newestCount = std::min((otherStateCount + 1) / 2, candidates.size());
    std::partial_sort(
            candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(newestCount),
            candidates.end(),
            [](const KnownMember *a, const KnownMember *b) { return a->changedAt > b->changedAt; });
    std::vector<const KnownMember *> remaining(
            candidates.begin() + static_cast<std::ptrdiff_t>(newestCount), candidates.end());
    candidates.resize(newestCount);
    keepRandomSample(remaining, otherStateCount - newestCount, random);
    candidates.insert(candidates.end(), remaining.begin(), remaining.end());
    return candidates;
}

std::vector<MemberHeartbeat> MemberTable::selectHeartbeats() const
{
    std::vector<const KnownMember *> candidates;
    for (const auto &[id, member] : m_others) {
        if (member.state.heartbeatCounter > 0)
            candidates.push_back(&member);
    }
    const std::size_t count = std::min(m_settings.maxHeartbeatsPerMessage, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const KnownMember *a, const KnownMember *b) {
                          return a->lastHeartbeatAt > b->lastHeartbeatAt;
                      });
    std::vector<MemberHeartbeat> heartbeats;
    for (std::size_t i = 0; i < count; ++i)
        heartbeats.push_back(heartbeatOf(candidates[i]->state));
    return heartbeats;
}

GossipMessage MemberTable::makeGossipMessage(Random &random) const
{
    GossipMessage message{{m_self}, selectHeartbeats()};
    for (const auto *member : selectStates(random))
        message.members.push_back(member->state);
    return message;
}

} // namespace endivedock
