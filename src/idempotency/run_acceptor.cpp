#include "endivedock/idempotency/run_acceptor.h"

#include <algorithm>

namespace endivedock {

bool RunAcceptor::restartedSinceView() const
{
    const ViewMember *self = findMember(m_view.members, m_self);
    return self != nullptr && self->incarnation != m_incarnation;
}

bool RunAcceptor::firstViewEver() const
{
    return m_view.previousNumber == ViewNumber(0);
}

void RunAcceptor::activate(Shard &shard)
{
    shard.state = ShardState::Active;
    shard.intactUntil = m_view.number;
    shard.collected.clear();
}

void RunAcceptor::installView(const View &view, TimePoint now)
{
    if (view.number <= m_view.number)
        return;
    const ViewNumber before = m_view.number;
    m_view = view;
    m_map = ShardMap(view.members);
    m_previousMap = ShardMap(view.previous);
    for (std::size_t i = 0; i < shardCount; ++i) {
        Shard &shard = m_shards[i];
        if (!m_map.isReplica(shardAt(i), m_self)) {
            shard.state = ShardState::Foreign;
            continue;
        }
        const bool continues = shard.state == ShardState::Active && before == view.previousNumber;
        const bool nothingBefore = firstViewEver() && !restartedSinceView();
        if (continues || nothingBefore) {
            activate(shard);
            continue;
        }
        shard.state = ShardState::Recovering;
        shard.recoveringSince = now;
        shard.collected.clear();
    }
}

ClaimAnswer RunAcceptor::claim(const ClaimRequest &request, bool connected, TimePoint now)
{
    ClaimAnswer answer;
    answer.key = request.key;
    answer.claim = request.claim;
    answer.view = m_view.number;
    answer.incarnation = m_incarnation;
    for (const auto &[replica, incarnation] : shardState(shardOf(request.key)).incarnations)
        answer.knownIncarnations.push_back({replica, incarnation});
    if (request.view != m_view.number) {
        answer.verdict = ClaimVerdict::DifferentView;
        return answer;
    }
    tick(now);
    const bool isActive = shardState(shardOf(request.key)).state == ShardState::Active;
    const auto found = m_records.find(request.key);
    if (found != m_records.end()) {
        const bool own =
                found->second.claim == request.claim && found->second.state == RunState::Claimed;
        answer.state = found->second.state;
        answer.verdict = ClaimVerdict::Taken;
        // A copy of the claim's own record, collected from another replica, is that one's vote;
        // this host has none until it knows that no other claim was before.
        if (own)
            answer.verdict = isActive ? ClaimVerdict::Accepted : ClaimVerdict::NotReady;
        return answer;
    }
    if (!connected || !isActive)
        return answer;
    // The run begins up to the claim's time after this vote.
    const TimePoint forgetAt = now + m_settings.recordRetention + m_settings.claimTimeout;
    m_records.emplace(request.key, Stored{request.claim, RunState::Claimed, forgetAt});
    m_forget.emplace(forgetAt, request.key);
    answer.verdict = ClaimVerdict::Accepted;
    return answer;
}

void RunAcceptor::finish(const ClaimOutcome &finish, TimePoint)
{
    const auto found = m_records.find(finish.key);
    if (found == m_records.end() || found->second.claim != finish.claim)
        return;
    if (finish.notRun)
        m_records.erase(found);
    else
        found->second.state = finish.state;
}

void RunAcceptor::tick(TimePoint now)
{
    while (!m_forget.empty() && m_forget.begin()->first <= now) {
        const auto found = m_records.find(m_forget.begin()->second);
        if (found != m_records.end() && found->second.forgetAt <= now)
            m_records.erase(found);
        m_forget.erase(m_forget.begin());
    }
    for (auto &shard : m_shards) {
        const bool waited =
                now - shard.recoveringSince >= m_settings.recordRetention + m_settings.claimTimeout;
        if (shard.state == ShardState::Recovering && waited)
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
    // After a restart within a view, this host may have voted in it; the others of the view know.
    // A new replica has not, so the replicas of the view before know all there is.
    const bool sameView = restartedSinceView();
    const auto &members = sameView ? m_view.members : m_view.previous;
    const Replicas &replicas = (sameView ? m_map : m_previousMap).replicas(shard);
    std::vector<ViewMember> result;
    for (const auto &id : replicas) {
        const ViewMember *member = findMember(members, id);
        if (member != nullptr && id != m_self)
            result.push_back(*member);
    }
    return result;
}

std::size_t RunAcceptor::answersNeeded(ShardId shard) const
{
    // Any two accepting votes must meet a source: all others after a restart, else a majority.
    if (restartedSinceView())
        return m_map.replicas(shard).size() - 1;
    return majorityOf(m_previousMap.replicas(shard));
}

RecordSyncAnswer RunAcceptor::handleSyncRequest(const RecordSyncRequest &request,
                                                const ReplicaIncarnation &asker, TimePoint now)
{
    installView(request.view, now);
    tick(now);
    RecordSyncAnswer answer{m_view.number, {}};
    std::map<ShardId, std::size_t> positions;
    for (const auto &id : request.shards) {
        if (id.value() >= shardCount)
            continue;
        Shard &shard = shardState(id);
        // From now on a vote of an earlier life of the asker does not count beside one of this
        // host.
        Incarnation &incarnation = shard.incarnations[asker.replica];
        incarnation = std::max(incarnation, asker.incarnation);
        positions[id] = answer.shards.size();
        ShardRecords records;
        records.shard = id;
        records.isCompleteForView =
                shard.state == ShardState::Active && m_view.number == request.view.number;
        // What this host accepted up to the view before; it accepts nothing in that view any more.
        records.isCompleteForPreviousView = shard.intactUntil >= request.view.previousNumber &&
                                            shard.intactUntil > ViewNumber(0) &&
                                            m_view.number >= request.view.number;
        answer.shards.push_back(std::move(records));
    }
    for (const auto &[key, stored] : m_records) {
        const auto position = positions.find(shardOf(key));
        if (position == positions.end())
            continue;
        const Milliseconds remaining = toMilliseconds(stored.forgetAt - now);
        answer.shards[position->second].records.push_back(
                {key, stored.claim, stored.state, remaining});
    }
    return answer;
}

void RunAcceptor::absorbRecord(const RunRecord &record, TimePoint now)
{
    const TimePoint forgetAt = now + record.remaining;
    const auto [known, isNew] =
            m_records.emplace(record.key, Stored{record.claim, record.state, forgetAt});
    m_forget.emplace(forgetAt, record.key);
    if (isNew)
        return;
    known->second.forgetAt = std::max(known->second.forgetAt, forgetAt);
    if (known->second.claim != record.claim) {
        // Two claims met, and the vote that decided between them is lost with this host's last
        // life.
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
            absorbRecord(record, now);
        const bool counts = restartedSinceView() ? records.isCompleteForView
                                                 : records.isCompleteForPreviousView;
        if (counts)
            shard.collected.insert(source);
        if (shard.collected.size() >= answersNeeded(records.shard))
            activate(shard);
    }
}

} // namespace endivedock
