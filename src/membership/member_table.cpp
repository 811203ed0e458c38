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

template <typename T>
void shuffleFirst(std::vector<T> &items, std::size_t count, Random &random)
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

std::vector<HostId> MemberTable::merge(const GossipMessage &heartbeat, TimePoint now)
{
    std::vector<HostId> changed;
    for (const auto &state : heartbeat.members) {
        if (state.id != m_self.id && mergeState(state, now))
            changed.push_back(state.id);
        mergeHeartbeat(heartbeatOf(state), now);
    }
    for (const auto &heartbeatCounter : heartbeat.heartbeats)
        mergeHeartbeat(heartbeatCounter, now);
    return changed;
}

bool MemberTable::mergeState(const MemberState &state, TimePoint now)
{
    const auto [known, isNew] = m_others.try_emplace(state.id, KnownMember{state, now, now});
    if (isNew)
        return true;
    MemberState &present = known->second.state;
    if (std::tie(state.incarnation, state.version) <=
        std::tie(present.incarnation, present.version))
        return false;
    const bool sameLife = state.incarnation == present.incarnation;
    const std::uint32_t heartbeatCounter =
            sameLife ? std::max(present.heartbeatCounter, state.heartbeatCounter)
                     : state.heartbeatCounter;
    if (!sameLife || state.heartbeatCounter > present.heartbeatCounter)
        known->second.lastHeartbeatAt = now;
    present = state;
    present.heartbeatCounter = heartbeatCounter;
    known->second.changedAt = now;
    return true;
}

void MemberTable::mergeHeartbeat(const MemberHeartbeat &heartbeatCounter, TimePoint now)
{
    const auto known = m_others.find(heartbeatCounter.id);
    if (known == m_others.end())
        return;
    MemberState &present = known->second.state;
    // A new life counts when its state has come as well.
    if (heartbeatCounter.incarnation != present.incarnation ||
        heartbeatCounter.heartbeatCounter <= present.heartbeatCounter)
        return;
    present.heartbeatCounter = heartbeatCounter.heartbeatCounter;
    known->second.lastHeartbeatAt = now;
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
    // Known by hearsay only: dead until it speaks for itself.
    m_others.try_emplace(id, KnownMember{state, now - m_settings.deadAfter, TimePoint{}});
}

Liveness MemberTable::liveness(const HostId &id, TimePoint now) const
{
    if (id == m_self.id)
        return Liveness::Live;
    const auto found = m_others.find(id);
    if (found == m_others.end())
        return Liveness::Dead;
    const Duration silent = now - found->second.lastHeartbeatAt;
    if (silent >= m_settings.deadAfter)
        return Liveness::Dead;
    return silent >= m_settings.suspectAfter ? Liveness::Suspect : Liveness::Live;
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
    std::vector<HostId> silent;
    for (const auto &[id, member] : m_others)
        (liveness(id, now) == Liveness::Dead ? silent : peers).push_back(id);
    shuffleFirst(peers, m_settings.fanout, random);
    // One of the silent ones as well, so that a healed partition is noticed.
    shuffleFirst(silent, 1, random);
    peers.insert(peers.end(), silent.begin(), silent.end());
    return peers;
}

std::vector<const KnownMember *> MemberTable::selectStates(Random &random) const
{
    std::vector<const KnownMember *> known;
    for (const auto &[id, member] : m_others) {
        if (member.state.heartbeatCounter > 0)
            known.push_back(&member);
    }
    // Half of the places go to the newest changes, which spreads them quickly; half are drawn, so
    // that no state is left out for long.
    const std::size_t places = m_settings.maxStatesPerMessage - 1;
    const std::size_t newest = std::min((places + 1) / 2, known.size());
    std::partial_sort(
            known.begin(), known.begin() + static_cast<std::ptrdiff_t>(newest), known.end(),
            [](const KnownMember *a, const KnownMember *b) { return a->changedAt > b->changedAt; });
    std::vector<const KnownMember *> rest(known.begin() + static_cast<std::ptrdiff_t>(newest),
                                          known.end());
    known.resize(newest);
    shuffleFirst(rest, places - newest, random);
    known.insert(known.end(), rest.begin(), rest.end());
    return known;
}

std::vector<MemberHeartbeat> MemberTable::selectHeartbeats() const
{
    std::vector<const KnownMember *> known;
    for (const auto &[id, member] : m_others) {
        if (member.state.heartbeatCounter > 0)
            known.push_back(&member);
    }
    const std::size_t count = std::min(m_settings.maxHeartbeatsPerMessage, known.size());
    std::partial_sort(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(count),
                      known.end(), [](const KnownMember *a, const KnownMember *b) {
                          return a->lastHeartbeatAt > b->lastHeartbeatAt;
                      });
    std::vector<MemberHeartbeat> heartbeats;
    for (std::size_t i = 0; i < count; ++i)
        heartbeats.push_back(heartbeatOf(known[i]->state));
    return heartbeats;
}

GossipMessage MemberTable::makeGossipMessage(Random &random) const
{
    GossipMessage heartbeat{{m_self}, selectHeartbeats()};
    for (const auto *member : selectStates(random))
        heartbeat.members.push_back(member->state);
    return heartbeat;
}

} // namespace endivedock
