#include "endivedock/idempotency/run_acceptor.h"

#include <algorithm>

namespace endivedock {

bool RunAcceptor::hasRestartedInView() const
{
    const ViewMember *self = findMember(m_view.members, m_self);
    return self != nullptr && self->incarnation != m_incarnation;
}

bool RunAcceptor::isFirstView() const
{
    return m_view.previousNumber == ViewNumber(0);
}

void RunAcceptor::activate(Shard &shard)
{
    shard.state = ShardState::Active;
    shard.completeUntilView = m_view.number;
    shard.syncedSources.clear();
}

void RunAcceptor::installView(const View &view, TimePoint now)
{
    if (view.number <= m_view.number)
        return;
    const ViewNumber installedNumber = m_view.number;
    m_view = view;
    m_map = ShardMap(view.members);
    m_previousMap = ShardMap(view.previous);
    for (std::size_t i = 0; i < shardCount; ++i) {
        Shard &shard = m_shards[i];
        if (!m_map.isReplica(shardAt(i), m_self)) {
            shard.state = ShardState::NotReplica;
            continue;
        }
        const bool wasActiveBefore =
                shard.state == ShardState::Active && installedNumber == view.previousNumber;
        const bool hasNoEarlierRecords = isFirstView() && !hasRestartedInView();
        if (wasActiveBefore || hasNoEarlierRecords) {
            activate(shard);
            continue;
        }
        shard.state = ShardState::Recovering;
        shard.recoveringSince = now;
        shard.syncedSources.clear();
    }
}

ClaimAnswer RunAcceptor::claim(const ClaimRequest &request, bool isConnected, TimePoint now)
{
    ClaimAnswer answer;
    answer.key = request.key;
    answer.claim = request.claim;
    answer.view = m_view.number;
    answer.incarnation = m_incarnation;
    for (const auto &[replica, incarnation] : shardState(shardOf(request.key)).incarnations)
        answer.knownIncarnations.push_back({replica, incarnation});
    if (request.view != m_view.number) {
        answer.result = ClaimResult::DifferentView;
        return answer;
    }
    tick(now);
    const bool isActive = shardState(shardOf(request.key)).state == ShardState::Active;
    const auto found = m_records.find(request.key);
    if (found != m_records.end()) {
        const bool isOwnClaim =
                found->second.claim == request.claim && found->second.state == RunState::Claimed;
        answer.state = found->second.state;
        answer.result = ClaimResult::Taken;
        // This host may have copied the record from another replica, so that the record is that
        // replica's vote. This host votes for a shard only when the shard is active, that is, when
        // this host has the records of all earlier claims.
        if (isOwnClaim)
            answer.result = isActive ? ClaimResult::Accepted : ClaimResult::NotReady;
        return answer;
    }
    if (!isConnected || !isActive)
        return answer;
    // The run may start up to claimTimeout after this vote.
    const TimePoint expiresAt = now + m_settings.recordRetention + m_settings.claimTimeout;
    m_records.emplace(request.key, StoredRecord{request.claim, RunState::Claimed, expiresAt});
    m_expiries.emplace(expiresAt, request.key);
    answer.result = ClaimResult::Accepted;
    return answer;
}

void RunAcceptor::finish(const ClaimOutcome &outcome, TimePoint)
{
    const auto found = m_records.find(outcome.key);
    if (found == m_records.end() || found->second.claim != outcome.claim)
        return;
    if (outcome.notRun)
        m_records.erase(found);
    else
        found->second.state = outcome.state;
}

void RunAcceptor::tick(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto found = m_records.find(m_expiries.begin()->second);
        if (found != m_records.end() && found->second.expiresAt <= now)
            m_records.erase(found);
        m_expiries.erase(m_expiries.begin());
    }
    for (auto &shard : m_shards) {
        const bool hasWaited =
                now - shard.recoveringSince >= m_settings.recordRetention + m_settings.claimTimeout;
        if (shard.state == ShardState::Recovering && hasWaited)
            activate(shard);
    }
}

std::vector<ShardId> RunAcceptor::recoveringShards() const
{
    std::vector<ShardId> result;
    for (std::size_t i = 0; i < shardCount; ++i) {
        if (m_shards[i].state == ShardState::Recovering)
            result.push_back(shardAt(i));
    }
    return result;
}

bool RunAcceptor::isActive() const
{
    return m_view.number > ViewNumber(0) && recoveringShards().empty();
}

std::vector<ViewMember> RunAcceptor::syncSources(ShardId shard) const
{
    // After a restart within a view, this host may have voted in that view, and the other replicas
    // in the same view have the records. A new replica has not voted, so the replicas in the
    // previous view have all records.
    const bool hasRestarted = hasRestartedInView();
    const auto &members = hasRestarted ? m_view.members : m_view.previous;
    const Replicas &replicas = (hasRestarted ? m_map : m_previousMap).replicas(shard);
    std::vector<ViewMember> result;
    for (const auto &id : replicas) {
        const ViewMember *member = findMember(members, id);
        if (member != nullptr && id != m_self)
            result.push_back(*member);
    }
    return result;
}

std::size_t RunAcceptor::requiredSources(ShardId shard) const
{
    // Any majority that accepted a claim must include a source. After a restart, such a majority
    // may consist of this host and any one other replica, so all other replicas are needed.
    if (hasRestartedInView())
        return m_map.replicas(shard).size() - 1;
    return majorityOf(m_previousMap.replicas(shard));
}

RecordSyncAnswer RunAcceptor::handleSyncRequest(const RecordSyncRequest &request,
                                                const ReplicaIncarnation &requester, TimePoint now)
{
    installView(request.view, now);
    tick(now);
    RecordSyncAnswer answer{m_view.number, {}};
    std::map<ShardId, std::size_t> positions;
    for (const auto &id : request.shards) {
        if (id.value() >= shardCount)
            continue;
        Shard &shard = shardState(id);
        // If this host answers a claim from now on, ClaimTally ignores the votes of earlier
        // incarnations of the requester for that claim.
        Incarnation &incarnation = shard.incarnations[requester.replica];
        incarnation = std::max(incarnation, requester.incarnation);
        positions[id] = answer.shards.size();
        ShardRecords records;
        records.shard = id;
        records.isCompleteForView =
                shard.state == ShardState::Active && m_view.number == request.view.number;
        // This host has all records that it accepted in the requester's previous view, and accepts
        // no more claims in that view.
        records.isCompleteForPreviousView =
                shard.completeUntilView >= request.view.previousNumber &&
                shard.completeUntilView > ViewNumber(0) && m_view.number >= request.view.number;
        answer.shards.push_back(std::move(records));
    }
    for (const auto &[key, stored] : m_records) {
        const auto position = positions.find(shardOf(key));
        if (position == positions.end())
            continue;
        const Milliseconds remaining = toMilliseconds(stored.expiresAt - now);
        answer.shards[position->second].records.push_back(
                {key, stored.claim, stored.state, remaining});
    }
    return answer;
}

void RunAcceptor::mergeRecord(const RunRecord &record, TimePoint now)
{
    const TimePoint expiresAt = now + record.remaining;
    const auto [known, isNew] =
            m_records.emplace(record.key, StoredRecord{record.claim, record.state, expiresAt});
    m_expiries.emplace(expiresAt, record.key);
    if (isNew)
        return;
    known->second.expiresAt = std::max(known->second.expiresAt, expiresAt);
    if (known->second.claim != record.claim) {
        // Other replicas accepted different claims of the key. This host's own vote, which may have
        // decided between the two claims, was lost in the restart, so this host votes for neither.
        known->second.claim = ClaimId{};
        known->second.state = RunState::MayHaveRun;
    } else if (record.state != RunState::Claimed) {
        known->second.state = record.state;
    }
}

void RunAcceptor::mergeRecords(HostId source, const RecordSyncAnswer &answer, TimePoint now)
{
    if (answer.view != m_view.number)
        return;
    for (const auto &records : answer.shards) {
        if (records.shard.value() >= shardCount)
            continue;
        Shard &shard = shardState(records.shard);
        if (shard.state != ShardState::Recovering)
            continue;
        for (const auto &record : records.records)
            mergeRecord(record, now);
        const bool isComplete = hasRestartedInView() ? records.isCompleteForView
                                                     : records.isCompleteForPreviousView;
        if (isComplete)
            shard.syncedSources.insert(source);
        if (shard.syncedSources.size() >= requiredSources(records.shard))
            activate(shard);
    }
}

} // namespace endivedock
