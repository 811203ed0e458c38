#include "fleet_agent.h"

#include <algorithm>

namespace endivedock {

namespace {

/** A host that was found not to place a service is not asked about its shard for this long. */
constexpr Milliseconds notPlacingRetryDelay{300};
/** A snapshot that is older than this is not used when a service is taken over. */
constexpr Milliseconds receivedSnapshotLifetime{10'000};
/** Unchanged snapshots are sent again this often, since messages may be lost. */
constexpr Milliseconds snapshotResendInterval{3000};
/** After this time a starting host is ready even if it could not collect all run records. */
constexpr Seconds recordRecoveryTimeout{10};

} // namespace

// --- Leases ---

Task<> FleetAgent::maintainLeases()
{
    // Checked more often than renewed, so that the services of an expired lease stop soon.
    constexpr Milliseconds checkInterval{50};
    TimePoint renewAt = SteadyClock().now();
    TimePoint retryAt = renewAt;
    while (true) {
        const TimePoint now = SteadyClock().now();
        if (now >= renewAt) {
            renewAt = now + m_leaseSettings.renewalInterval;
            retryAt = now + m_leaseSettings.takeoverRetryInterval;
            yieldShards(now);
            renewLeases(RenewalScope::All, now);
            replicateSnapshots(false);
        } else if (now >= retryAt) {
            retryAt = now + m_leaseSettings.takeoverRetryInterval;
            renewLeases(RenewalScope::UnheldShards, now);
        }
        applyLeaseChanges(now);
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

std::size_t FleetAgent::countPreferredReplicas(ShardId shard, TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &replica : m_acceptor.map().replicas(shard)) {
        if (replica == m_settings.id)
            break;
        count += canHold(replica, now) ? 1 : 0;
    }
    return count;
}

void FleetAgent::renewLeases(RenewalScope scope, TimePoint now)
{
    if (m_isLeaving || m_acceptor.view().number == ViewNumber(0))
        return;
    const ViewNumber view = m_acceptor.view().number;
    std::map<HostId, LeaseRequest> requests;
    for (std::size_t i = 0; i < shardCount; ++i) {
        const ShardId shard = shardAt(i);
        if (now < m_yieldedUntil[i] || (scope == RenewalScope::UnheldShards && m_holdsShard[i]))
            continue;
        const std::size_t preferredReplicas = countPreferredReplicas(shard, now);
        const LeaseAction action =
                m_leaseHolder.nextAction(shard, m_leaseGrantor, preferredReplicas, now);
        if (action == LeaseAction::Withdraw) {
            m_leaseHolder.drop(shard);
            m_leaseGrantor.release(shard, m_settings.id, m_incarnation, now);
        }
        if (action != LeaseAction::Request)
            continue;
        for (const auto &replica : m_acceptor.map().replicas(shard)) {
            if (replica != m_settings.id) {
                requests[replica].shards.push_back(shard);
                continue;
            }
            if (m_leaseGrantor.grant(shard, view, m_settings.id, m_incarnation, isInMajority(now),
                                     now))
                m_leaseHolder.recordGrant(shard, m_settings.id, now);
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
    const MemberState *requester = m_members.find(from);
    LeaseAnswer answer{m_acceptor.view().number, request.sentAt, {}};
    for (const auto &shard : request.shards) {
        const bool isValid = requester != nullptr && shard.value() < shardCount;
        if (isValid && m_leaseGrantor.grant(shard, request.view, from, requester->incarnation,
                                            isInMajority(now), now))
            answer.granted.push_back(shard);
    }
    send(from, answer);
}

void FleetAgent::handle(HostId from, const LeaseAnswer &answer)
{
    if (answer.view != m_acceptor.view().number || m_isLeaving)
        return;
    const TimePoint sentAt{Duration(answer.sentAt)};
    if (sentAt > SteadyClock().now())
        return;
    for (const auto &shard : answer.granted) {
        if (shard.value() < shardCount && SteadyClock().now() >= m_yieldedUntil[shard.value()])
            m_leaseHolder.recordGrant(shard, from, sentAt);
    }
}

void FleetAgent::handle(HostId from, const LeaseRelease &release)
{
    const MemberState *sender = m_members.find(from);
    if (sender == nullptr)
        return;
    for (const auto &shard : release.shards) {
        if (shard.value() < shardCount)
            m_leaseGrantor.release(shard, from, sender->incarnation, SteadyClock().now());
    }
    // Callers wait until the shard has a holder again, so this host requests the lease now and not
    // at the next renewal.
    renewLeases(RenewalScope::UnheldShards, SteadyClock().now());
}

void FleetAgent::applyLeaseChanges(TimePoint now)
{
    bool hasChanged = false;
    for (std::size_t i = 0; i < shardCount; ++i) {
        const ShardId shard = shardAt(i);
        const bool holds = m_leaseHolder.holds(shard, now);
        if (holds == m_holdsShard[i])
            continue;
        hasChanged = true;
        m_holdsShard[i] = holds;
        m_heldSince[i] = now;
        if (holds)
            startServices(shard, now);
        else
            stopServices(shard);
    }
    if (hasChanged)
        gossipToAtLeast(urgentGossipFanout);
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
    // Until the deadlines of its requests, a host that does not answer may have requests in flight
    // at cold targets. The placer therefore sends no request to a cold target before that time,
    // unless all hosts have answered earlier.
    const TimePoint coldFrom = now + service->settings.deadline;
    m_placers.start(id, coldFrom, now, unixTimeMilliseconds());
    Placer *placer = m_placers.placer(id);
    const auto snapshot = m_receivedSnapshots.find(id);
    if (snapshot != m_receivedSnapshots.end() &&
        now - snapshot->second.recordedAt < receivedSnapshotLifetime) {
        placer->assumeWarm(snapshot->second.snapshot.warmTargets);
        if (snapshot->second.snapshot.rollout)
            placer->mergeRolloutProgress(*snapshot->second.snapshot.rollout);
    }
    Takeover takeover{{}, coldFrom};
    for (const auto &member : m_acceptor.view().members)
        takeover.awaitedHosts.insert(member.id);
    for (const auto &[host, member] : m_members.others()) {
        if (m_members.isLive(host, now))
            takeover.awaitedHosts.insert(host);
    }
    takeover.awaitedHosts.erase(m_settings.id);
    placer->restoreInFlight(m_callbacks.inFlight(id), now);
    m_takeovers[id] = std::move(takeover);
    m_metrics.count("endivedock_takeovers_total", {{"service", id.value()}});
    m_log.info("Took over the placement of a service", {field("service", id)});
    continueTakeovers(now);
}

void FleetAgent::continueTakeovers(TimePoint now)
{
    for (auto entry = m_takeovers.begin(); entry != m_takeovers.end();) {
        Takeover &takeover = entry->second;
        if (takeover.awaitedHosts.empty() || now >= takeover.deadline) {
            if (Placer *placer = m_placers.placer(entry->first))
                placer->endTakeover();
            entry = m_takeovers.erase(entry);
            continue;
        }
        for (const auto &host : takeover.awaitedHosts)
            send(host, InFlightQuery{entry->first});
        ++entry;
    }
}

void FleetAgent::replicateSnapshots(bool includeUnchanged)
{
    const TimePoint now = SteadyClock().now();
    for (const auto &id : m_placers.services()) {
        const Placer &placer = *m_placers.placer(id);
        HolderSnapshot snapshot{id, placer.warmTargets(), placer.rolloutProgress()};
        TimedSnapshot &sent = m_sentSnapshots[id];
        if (!includeUnchanged && sent.snapshot == snapshot &&
            now - sent.recordedAt < snapshotResendInterval)
            continue;
        for (const auto &replica : m_acceptor.map().replicas(shardOf(id)))
            send(replica, snapshot);
        sent = {std::move(snapshot), now};
    }
}

void FleetAgent::handle(HostId, const HolderSnapshot &snapshot)
{
    m_receivedSnapshots[snapshot.service] = {snapshot, SteadyClock().now()};
}

void FleetAgent::yieldShards(TimePoint now)
{
    for (std::size_t i = 0; i < shardCount; ++i) {
        const ShardId shard = shardAt(i);
        if (!m_holdsShard[i] || now - m_heldSince[i] < m_leaseSettings.yieldDelay)
            continue;
        const HostId preferred = m_acceptor.map().replicas(shard).front();
        const MemberState *member = m_members.find(preferred);
        const bool canTakeOver = preferred != m_settings.id && m_members.isLive(preferred, now) &&
                                 member != nullptr && !member->leaving &&
                                 member->activeView == m_acceptor.view().number;
        if (!canTakeOver)
            continue;
        m_yieldedUntil[i] = now + m_leaseSettings.leaseDuration * 2;
        replicateSnapshots(true);
        releaseShard(shard);
    }
}

void FleetAgent::releaseShard(ShardId shard)
{
    m_leaseHolder.drop(shard);
    m_holdsShard[shard.value()] = false;
    stopServices(shard);
    m_leaseGrantor.release(shard, m_settings.id, m_incarnation, SteadyClock().now());
    for (const auto &replica : m_acceptor.map().replicas(shard))
        send(replica, LeaseRelease{{shard}});
}

void FleetAgent::leave()
{
    m_isLeaving = true;
    replicateSnapshots(true);
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_holdsShard[i])
            releaseShard(shardAt(i));
    }
    gossipToAtLeast(urgentGossipFanout);
}

std::size_t FleetAgent::heldShards() const
{
    return static_cast<std::size_t>(std::count(m_holdsShard.begin(), m_holdsShard.end(), true));
}

// --- Placing host of a service ---

bool FleetAgent::isReady() const
{
    const TimePoint now = SteadyClock().now();
    const bool isVotingOrTimedOut =
            m_acceptor.isActive() || now - m_startedAt > recordRecoveryTimeout;
    if (!isVotingOrTimedOut || !m_declarations)
        return false;
    const auto &services = m_declarations->services;
    return std::all_of(services.begin(), services.end(), [&](const auto &entry) {
        const ShardId shard = shardOf(entry.first);
        return m_holdsShard[shard.value()] || knownHolder(shard, now);
    });
}

bool FleetAgent::isMarkedNotPlacing(ShardId shard, HostId host, TimePoint now) const
{
    const auto found = m_notPlacingUntil.find({shard, host});
    return found != m_notPlacingUntil.end() && now < found->second;
}

void FleetAgent::markNotPlacing(const ServiceId &service, HostId host)
{
    m_notPlacingUntil[{shardOf(service), host}] = SteadyClock().now() + notPlacingRetryDelay;
}

std::optional<HostId> FleetAgent::knownHolder(ShardId shard, TimePoint now) const
{
    const auto grantedTo = m_leaseGrantor.holder(shard, now);
    if (grantedTo && *grantedTo != m_settings.id)
        return grantedTo;
    std::optional<HostId> newest;
    Duration newestAge = Duration::max();
    for (const auto &[id, member] : m_members.others()) {
        const bool claimsShard = (member.state.heldShards >> shard.value() & 1) != 0;
        const Duration timeSinceHeartbeat = m_members.timeSinceHeartbeat(id, now);
        if (claimsShard && m_members.isLive(id, now) && timeSinceHeartbeat < newestAge) {
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
    if (m_leaseHolder.holds(shard, now) && m_placers.isPlacing(service))
        return m_settings.id;
    const auto known = knownHolder(shard, now);
    if (known && !isMarkedNotPlacing(shard, *known, now))
        return known;
    for (const auto &replica : m_acceptor.map().replicas(shard)) {
        if (replica != m_settings.id && m_members.isLive(replica, now) &&
            !isMarkedNotPlacing(shard, replica, now))
            return replica;
    }
    return std::nullopt;
}

std::size_t FleetAgent::entryHostCount() const
{
    return std::max(m_acceptor.view().members.size(), m_members.liveHostCount(SteadyClock().now()));
}

} // namespace endivedock
