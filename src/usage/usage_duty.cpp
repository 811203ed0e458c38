#include "endivedock/usage/usage_duty.h"

#include <algorithm>
#include <utility>

namespace endivedock {

namespace {

/** Longest time between two decisions; the copy of the store may name another holder meanwhile. */
constexpr Milliseconds pollInterval{100};
/** Time without a holder after which the first host stands; a change of the store spreads in it. */
constexpr Milliseconds firstStandDelay{500};
/** Each further host in the ranking stands this much later. */
constexpr Milliseconds standStep{300};
/** Hosts after this rank stand after maxRank steps and their jitter. */
constexpr std::size_t maxRank = 10;
constexpr Milliseconds claimRetryDelay{2000};
constexpr Milliseconds storeRetryDelay{300};
/** Delay before a report that got no answer, or was throttled, is sent again. */
constexpr Milliseconds sendRetryDelay{700};
/** A lease is renewed this many times while it runs. */
constexpr int renewalsPerLease = 3;
/** A host whose term ended stands again after this many leases, so that no two hosts take turns. */
constexpr int leasesBetweenTerms = 4;

} // namespace

std::string_view name(UnreportedCause cause)
{
    switch (cause) {
    case UnreportedCause::CountsLost:
        return "counts lost";
    case UnreportedCause::RecordedTooLate:
        return "no holder recorded it in time";
    case UnreportedCause::MayBeReported:
        return "it may have been reported before";
    case UnreportedCause::NotConfirmed:
        break;
    }
    return "its report may not have arrived";
}

std::string_view name(UsageAnswer answer)
{
    switch (answer) {
    case UsageAnswer::Accepted:
        return "accepted";
    case UsageAnswer::Fenced:
        return "fenced";
    case UsageAnswer::Throttled:
        return "throttled";
    case UsageAnswer::Unknown:
        break;
    }
    return "unknown";
}

void UsageDuty::observe(const UsageRecord &record)
{
    if (std::pair(m_newest.token, m_newest.through) < std::pair(record.token, record.through))
        m_newest = record;
}

UsageStep UsageDuty::next(const UsageView &view)
{
    if (view.record)
        observe(view.record->record);
    const bool mustEndLease = m_hasLease && (m_isStopping || m_phase == Phase::Follower);
    if (mustEndLease) {
        endTerm(view.now);
        m_hasLease = false;
        return usage_step::EndLease{};
    }
    if (m_phase == Phase::Follower)
        return nextAsFollower(view);
    return nextAsHolder(view);
}

UsageStep UsageDuty::nextAsFollower(const UsageView &view)
{
    const usage_step::Wait wait{pollInterval};
    if (view.holder) {
        m_vacantSince.reset();
        return wait;
    }
    if (!view.canStand || m_isStopping)
        return wait;
    m_vacantSince = m_vacantSince.value_or(view.now);
    const Milliseconds delay = firstStandDelay +
                               standStep * static_cast<int>(std::min(view.rank, maxRank)) +
                               (view.rank > maxRank ? m_jitter : Milliseconds(0));
    if (view.now < *m_vacantSince + delay || view.now < m_standAgainAt)
        return wait;
    // Also a host that has started again since its last term, and no longer knows of it.
    const bool wasHolderBefore = m_newest.holder != m_self && m_newest.previousHolder == m_self;
    if (wasHolderBefore &&
        view.timeOfDay < m_newest.termStartedAt + leasesBetweenTerms * m_settings.lease)
        return wait;
    return usage_step::Claim{};
}

void UsageDuty::recordClaimed(TimePoint sentAt)
{
    m_hasLease = true;
    m_leaseSentAt = sentAt;
    m_nextRenewalAt = sentAt + m_settings.lease / renewalsPerLease;
    m_phase = Phase::Opening;
    m_writing.reset();
    m_nextWriteAt = {};
    m_recordRevision = Revision(0);
    m_record = {};
    m_isRestored = false;
    m_vacantSince.reset();
}

void UsageDuty::recordClaimFailed(TimePoint now)
{
    m_standAgainAt = now + claimRetryDelay;
}

void UsageDuty::recordRenewed(TimePoint sentAt)
{
    m_leaseSentAt = sentAt;
    m_nextRenewalAt = sentAt + m_settings.lease / renewalsPerLease;
}

void UsageDuty::recordRenewalUnknown(TimePoint now)
{
    m_nextRenewalAt = now + storeRetryDelay;
}

void UsageDuty::recordLeaseEnded(TimePoint now)
{
    m_hasLease = false;
    endTerm(now);
}

void UsageDuty::endTerm(TimePoint now)
{
    if (m_phase != Phase::Follower)
        m_standAgainAt = now + leasesBetweenTerms * m_settings.lease;
    m_phase = Phase::Follower;
    m_writing.reset();
    m_confirmed.clear();
    m_givenUp.clear();
}

UsageStep UsageDuty::nextAsHolder(const UsageView &view)
{
    if (view.now >= m_nextRenewalAt)
        return usage_step::RenewLease{};
    const usage_step::Wait wait{pollInterval};
    // A host that was paused wakes here with a lease that may have run out meanwhile.
    const Milliseconds room = std::min(callRoom, m_settings.lease / 4);
    if (view.now + room >= m_leaseSentAt + m_settings.lease)
        return wait;
    if (view.now >= m_nextWriteAt) {
        if (auto step = nextRecord(view))
            return std::move(*step);
    }
    if (m_phase != Phase::Holding || view.now < m_nextSendAt)
        return wait;
    for (const auto &[window, counts] : m_record.unconfirmed) {
        const bool isInTime = view.timeOfDay <= endOf(window) + m_settings.lateAfter;
        if (isInTime && !m_confirmed.contains(window))
            return usage_step::Send{{window, m_record.token, counts}};
    }
    return wait;
}

std::optional<UsageStep> UsageDuty::nextRecord(const UsageView &view)
{
    if (m_writing)
        return usage_step::WriteRecord{*m_writing, m_recordRevision};
    if (m_phase == Phase::Opening) {
        openTerm(view);
        return usage_step::WriteRecord{*m_writing, m_recordRevision};
    }
    UsageRecord record = m_record;
    if (!closeWindows(record, view))
        return std::nullopt;
    m_writing = std::move(record);
    return usage_step::WriteRecord{*m_writing, m_recordRevision};
}

void UsageDuty::openTerm(const UsageView &view)
{
    // After a conflict, m_recordRevision is newer than this host's copy of the store.
    if (view.record && view.record->revision > m_recordRevision) {
        m_record = view.record->record;
        m_recordRevision = view.record->revision;
        m_isRestored = view.record->isRestored;
    }
    observe(m_record);
    // The store may have come back from an older copy.
    UsageRecord record = m_newest;
    m_isFirstTerm = record.token == FencingToken(0);
    if (m_isFirstTerm) {
        const UsageWindow current = windowAt(view.timeOfDay, m_settings.windowLength);
        // Windows that ended before this host started may have been reported by a holder whose
        // record the store has lost.
        const UsageWindow oldest = std::max(windowAt(m_startedAt, m_settings.windowLength),
                                            view.tally.firstWindow().value_or(current));
        record.holder = m_self;
        record.through = after(std::min(current, oldest), -1);
    }
    if (record.holder != m_self || m_isFirstTerm)
        record.previousHolder = record.holder;
    record.holder = m_self;
    record.token = nextToken(record.token, view.timeOfDay, m_self);
    record.termStartedAt = view.timeOfDay;
    closeWindows(record, view);
    m_writing = std::move(record);
}

bool UsageDuty::isCovered(UsageWindow window, const UsageView &view) const
{
    const Milliseconds begin = beginOf(window, m_settings.windowLength);
    const Milliseconds start =
            std::min(m_startedAt, view.tally.earliestStart().value_or(m_startedAt));
    return start <= begin || m_isFirstTerm;
}

bool UsageDuty::closeWindows(UsageRecord &record, const UsageView &view)
{
    m_givenUp.clear();
    const Milliseconds delay(static_cast<std::int64_t>(
            recordAfter * static_cast<double>(m_settings.lateAfter.count())));
    bool isChanged = false;
    // Windows long ago are skipped at once.
    const UsageWindow oldest =
            after(windowAt(view.timeOfDay, m_settings.windowLength), -2 * keptWindows(m_settings));
    if (record.through < oldest) {
        record.through = oldest;
        isChanged = true;
    }
    for (UsageWindow window = after(record.through); view.timeOfDay >= endOf(window) + delay;
         window = after(window)) {
        record.through = window;
        isChanged = true;
        if (view.timeOfDay > endOf(window) + m_settings.lateAfter)
            m_givenUp.push_back({window, UnreportedCause::RecordedTooLate});
        else if (m_isRestored && endOf(window) <= m_startedAt)
            m_givenUp.push_back({window, UnreportedCause::MayBeReported});
        else if (!isCovered(window, view))
            m_givenUp.push_back({window, UnreportedCause::CountsLost});
        else
            record.unconfirmed[window] = view.tally.totals(window);
    }
    if (!isChanged && m_phase == Phase::Holding)
        return false;
    std::erase_if(record.unconfirmed, [&](const auto &entry) {
        if (m_confirmed.contains(entry.first))
            return true;
        const bool isLate = view.timeOfDay > endOf(entry.first) + m_settings.lateAfter;
        if (isLate)
            m_givenUp.push_back({entry.first, UnreportedCause::NotConfirmed});
        return isLate;
    });
    return isChanged;
}

void UsageDuty::recordWritten(Revision revision)
{
    if (!m_writing)
        return;
    m_record = std::move(*m_writing);
    observe(m_record);
    m_recordRevision = revision;
    m_writing.reset();
    std::erase_if(m_confirmed,
                  [&](UsageWindow window) { return !m_record.unconfirmed.contains(window); });
    m_unreported.insert(m_unreported.end(), m_givenUp.begin(), m_givenUp.end());
    m_givenUp.clear();
    m_phase = Phase::Holding;
}

void UsageDuty::recordConflict(std::optional<StoredUsageRecord> stored, TimePoint now)
{
    if (stored && m_writing && stored->record == *m_writing) {
        recordWritten(stored->revision); // An earlier try, whose answer was lost.
        return;
    }
    if (m_phase != Phase::Opening) {
        endTerm(now);
        return;
    }
    m_writing.reset();
    m_record = stored ? std::move(stored->record) : UsageRecord{};
    m_recordRevision = stored ? stored->revision : Revision(0);
    m_isRestored = stored && stored->isRestored;
    if (!stored) // This host's copy of the store has yet to show that the record is gone.
        m_nextWriteAt = now + storeRetryDelay;
}

void UsageDuty::recordWriteUnknown(TimePoint now)
{
    m_nextWriteAt = now + storeRetryDelay;
}

void UsageDuty::recordAnswer(UsageWindow window, UsageAnswer answer, TimePoint now)
{
    switch (answer) {
    case UsageAnswer::Accepted:
        m_confirmed.insert(window);
        break;
    case UsageAnswer::Fenced:
        endTerm(now);
        break;
    case UsageAnswer::Throttled:
    case UsageAnswer::Unknown:
        m_nextSendAt = now + sendRetryDelay;
        break;
    }
}

std::vector<UnreportedWindow> UsageDuty::takeUnreported()
{
    return std::exchange(m_unreported, {});
}

} // namespace endivedock
