#include "fleet_agent.h"

#include <algorithm>

namespace endivedock {

namespace {

/** A host that was found not to place a service is not asked again for this long. */
constexpr Milliseconds doubtTime{300};
/** Notes of a lost holder are believed for this long. */
constexpr Milliseconds notesMemory{10'000};
/** Notes that have not changed are repeated this often. */
constexpr Milliseconds notesRepeat{3000};
/** A host that starts is ready after this, though it could not collect all run records. */
constexpr Seconds recoveryPatience{10};

} // namespace

// --- Leases ---

Task<> FleetAgent::keepLeases()
{
    // Checked often, so that a lapsed lease stops its services soon; renewed less often.
    constexpr Milliseconds checkInterval{50};
    TimePoint renewAt = SteadyClock().now();
    TimePoint retryAt = renewAt;
    while (true) {
        const TimePoint now = SteadyClock().now();
        if (now >= renewAt) {
            renewAt = now + m_leaseSettings.renewalInterval;
            retryAt = now + m_leaseSettings.takeoverRetryInterval;
            yieldShards(now);
            renewLeases(Asking::All, now);
            sendNotes(false);
        } else if (now >= retryAt) {
            retryAt = now + m_leaseSettings.takeoverRetryInterval;
            renewLeases(Asking::FreeShards, now);
        }
        followLeases(now);
        continueTakeovers(now);
        m_acceptor.tick(now);
        co_await sleepFor(checkInterval);
    }
}

bool FleetAgent::canHold(HostId host, TimePoint now) const
{
    const MemberState *member = m_members.find(host);
    return member != nullptr && m_members.isLive(host, now) && !member->leaving;
}

std::size_t FleetAgent::preferredBefore(ShardId shard, TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &replica : m_acceptor.map().replicas(shard)) {
        if (replica == m_settings.id)
            break;
        count += canHold(replica, now) ? 1 : 0;
    }
    return count;
}

void FleetAgent::renewLeases(Asking asking, TimePoint now)
{
    if (m_leaving || m_acceptor.view().number == ViewNumber(0))
        return;
    const ViewNumber view = m_acceptor.view().number;
    std::map<HostId, LeaseRequest> requests;
    for (std::size_t i = 0; i < shardCount; ++i) {
        const ShardId shard = shardAt(i);
        if (now < m_yieldedUntil[i] || (asking == Asking::FreeShards && m_holding[i]))
            continue;
        const std::size_t before = preferredBefore(shard, now);
        const LeaseAction step = m_holder.nextAction(shard, m_leaseGrantor, before, now);
        if (step == LeaseAction::Withdraw) {
            m_holder.drop(shard);
            m_leaseGrantor.release(shard, m_settings.id, m_incarnation, now);
        }
        if (step != LeaseAction::Request)
            continue;
        for (const auto &replica : m_acceptor.map().replicas(shard)) {
            if (replica != m_settings.id) {
                requests[replica].shards.push_back(shard);
                continue;
            }
            if (m_leaseGrantor.grant(shard, view, m_settings.id, m_incarnation, connected(now),
                                     now))
                m_holder.recordGrant(shard, m_settings.id, now);
        }
    }
    for (auto &[replica, request] : requests) {
        request.view = view;
        request.sentAt = now.time_since_epoch().count();
        send(replica, request);
    }
}

void FleetAgent::handle(HostId from, const LeaseRequest &request)
{
    const TimePoint now = SteadyClock().now();
    const MemberState *asking = m_members.find(from);
    LeaseAnswer answer{m_acceptor.view().number, request.sentAt, {}};
    for (const auto &shard : request.shards) {
        const bool known = asking != nullptr && shard.value() < shardCount;
        if (known && m_leaseGrantor.grant(shard, request.view, from, asking->incarnation,
                                          connected(now), now))
            answer.granted.push_back(shard);
    }
    send(from, answer);
}

void FleetAgent::handle(HostId from, const LeaseAnswer &answer)
{
    if (answer.view != m_acceptor.view().number || m_leaving)
        return;
    const TimePoint sentAt{Duration(answer.sentAt)};
    if (sentAt > SteadyClock().now())
        return;
    for (const auto &shard : answer.granted) {
        if (shard.value() < shardCount && SteadyClock().now() >= m_yieldedUntil[shard.value()])
            m_holder.recordGrant(shard, from, sentAt);
    }
}

void FleetAgent::handle(HostId from, const LeaseRelease &release)
{
    const MemberState *released = m_members.find(from);
    if (released == nullptr)
        return;
    for (const auto &shard : release.shards) {
        if (shard.value() < shardCount)
            m_leaseGrantor.release(shard, from, released->incarnation, SteadyClock().now());
    }
    // Callers wait for the next holder; the preferred one does not wait for its next turn.
    renewLeases(Asking::FreeShards, SteadyClock().now());
}

void FleetAgent::followLeases(TimePoint now)
{
    bool changed = false;
    for (std::size_t i = 0; i < shardCount; ++i) {
        const ShardId shard = shardAt(i);
        const bool holds = m_holder.holds(shard, now);
        if (holds == m_holding[i])
            continue;
        changed = true;
        m_holding[i] = holds;
        m_heldSince[i] = now;
        if (holds)
            startServices(shard, now);
        else
            stopServices(shard);
    }
    if (changed)
        tellSome(urgentGossipFanout);
}

void FleetAgent::startServices(ShardId shard, TimePoint now)
{
    if (!m_declarations)
        return;
    for (const auto &[id, service] : m_declarations->services) {
        if (shardOf(id) == shard && !m_placers.isPlacing(id))
            startTakeover(id, now);
    }
}

void FleetAgent::stopServices(ShardId shard)
{
    for (const auto &id : m_placers.services()) {
        if (shardOf(id) != shard)
            continue;
        m_placers.stop(id);
        m_takeovers.erase(id);
    }
}

void FleetAgent::startTakeover(const ServiceId &id, TimePoint now)
{
    const Service *service = m_declarations->find(id);
    // A host that does not answer may have requests on cold targets until their deadlines.
    const TimePoint coldFrom = now + service->settings.deadline;
    m_placers.start(id, coldFrom, now, unixTimeMilliseconds());
    Placer *placer = m_placers.placer(id);
    const auto notes = m_notes.find(id);
    if (notes != m_notes.end() && now - notes->second.receivedAt < notesMemory) {
        placer->assumeWarm(notes->second.notes.warmTargets);
        if (notes->second.notes.rollout)
            placer->mergeRolloutProgress(*notes->second.notes.rollout);
    }
    Takeover takeover{{}, coldFrom};
    for (const auto &member : m_acceptor.view().members)
        takeover.awaited.insert(member.id);
    for (const auto &[host, member] : m_members.others()) {
        if (m_members.isLive(host, now))
            takeover.awaited.insert(host);
    }
    takeover.awaited.erase(m_settings.id);
    placer->restoreInFlight(m_events.inFlight(id), now);
    m_takeovers[id] = std::move(takeover);
    m_metrics.count("endivedock_takeovers_total", {{"service", id.value()}});
    m_log.info("Placing a service", {field("service", id)});
    continueTakeovers(now);
}

void FleetAgent::continueTakeovers(TimePoint now)
{
    for (auto entry = m_takeovers.begin(); entry != m_takeovers.end();) {
        Takeover &takeover = entry->second;
        if (takeover.awaited.empty() || now >= takeover.until) {
            if (Placer *placer = m_placers.placer(entry->first))
                placer->endTakeover();
            entry = m_takeovers.erase(entry);
            continue;
        }
        for (const auto &host : takeover.awaited)
            send(host, InFlightQuery{entry->first});
        ++entry;
    }
}

void FleetAgent::sendNotes(bool all)
{
    const TimePoint now = SteadyClock().now();
    for (const auto &id : m_placers.services()) {
        const Placer &placer = *m_placers.placer(id);
        HolderSnapshot notes{id, placer.warmTargets(), placer.rolloutProgress()};
        Notes &sent = m_sentNotes[id];
        if (!all && sent.notes == notes && now - sent.receivedAt < notesRepeat)
            continue;
        for (const auto &replica : m_acceptor.map().replicas(shardOf(id)))
            send(replica, notes);
        sent = {std::move(notes), now};
    }
}

void FleetAgent::handle(HostId, const HolderSnapshot &notes)
{
    m_notes[notes.service] = {notes, SteadyClock().now()};
}

void FleetAgent::yieldShards(TimePoint now)
{
    for (std::size_t i = 0; i < shardCount; ++i) {
        const ShardId shard = shardAt(i);
        if (!m_holding[i] || now - m_heldSince[i] < m_leaseSettings.yieldDelay)
            continue;
        const HostId preferred = m_acceptor.map().replicas(shard).front();
        const MemberState *member = m_members.find(preferred);
        const bool able = preferred != m_settings.id && m_members.isLive(preferred, now) &&
                          member != nullptr && !member->leaving &&
                          member->activeView == m_acceptor.view().number;
        if (!able)
            continue;
        m_yieldedUntil[i] = now + m_leaseSettings.leaseDuration * 2;
        sendNotes(true);
        releaseShard(shard);
    }
}

void FleetAgent::releaseShard(ShardId shard)
{
    m_holder.drop(shard);
    m_holding[shard.value()] = false;
    stopServices(shard);
    m_leaseGrantor.release(shard, m_settings.id, m_incarnation, SteadyClock().now());
    for (const auto &replica : m_acceptor.map().replicas(shard))
        send(replica, LeaseRelease{{shard}});
}

void FleetAgent::leave()
{
    m_leaving = true;
    sendNotes(true);
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_holding[i])
            releaseShard(shardAt(i));
    }
    tellSome(urgentGossipFanout);
}

std::size_t FleetAgent::heldShards() const
{
    return static_cast<std::size_t>(std::count(m_holding.begin(), m_holding.end(), true));
}

// --- Who places a service ---

bool FleetAgent::ready() const
{
    const TimePoint now = SteadyClock().now();
    const bool votes = m_acceptor.isActive() || now - m_startedAt > recoveryPatience;
    if (!votes || !m_declarations)
        return false;
    const auto &services = m_declarations->services;
    return std::all_of(services.begin(), services.end(), [&](const auto &entry) {
        const ShardId shard = shardOf(entry.first);
        return m_holding[shard.value()] || knownHolder(shard, now);
    });
}

bool FleetAgent::doubted(ShardId shard, HostId host, TimePoint now) const
{
    const auto found = m_doubts.find({shard, host});
    return found != m_doubts.end() && now < found->second;
}

void FleetAgent::markNotPlacing(const ServiceId &service, HostId host)
{
    m_doubts[{shardOf(service), host}] = SteadyClock().now() + doubtTime;
}

std::optional<HostId> FleetAgent::knownHolder(ShardId shard, TimePoint now) const
{
    const auto witnessed = m_leaseGrantor.holder(shard, now);
    if (witnessed && *witnessed != m_settings.id)
        return witnessed;
    std::optional<HostId> newest;
    Duration newestAge = Duration::max();
    for (const auto &[id, member] : m_members.others()) {
        const bool says = (member.state.heldShards >> shard.value() & 1) != 0;
        const Duration timeSinceHeartbeat = m_members.timeSinceHeartbeat(id, now);
        if (says && m_members.isLive(id, now) && timeSinceHeartbeat < newestAge) {
            newest = id;
            newestAge = timeSinceHeartbeat;
        }
    }
    return newest;
}

std::optional<HostId> FleetAgent::placingHostOf(const ServiceId &service)
{
    const ShardId shard = shardOf(service);
    const TimePoint now = SteadyClock().now();
    if (m_holder.holds(shard, now) && m_placers.isPlacing(service))
        return m_settings.id;
    const auto known = knownHolder(shard, now);
    if (known && !doubted(shard, *known, now))
        return known;
    for (const auto &replica : m_acceptor.map().replicas(shard)) {
        if (replica != m_settings.id && m_members.isLive(replica, now) &&
            !doubted(shard, replica, now))
            return replica;
    }
    return std::nullopt;
}

std::size_t FleetAgent::entryHostCount() const
{
    return std::max(m_acceptor.view().members.size(), m_members.liveHostCount(SteadyClock().now()));
}

} // namespace endivedock
