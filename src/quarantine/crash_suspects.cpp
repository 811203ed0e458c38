#include "endivedock/quarantine/crash_suspects.h"

#include <algorithm>

namespace endivedock {

namespace {

/** Losses that are kept of one target until it is known whether the target has ended. */
constexpr std::size_t maxLossesOfTarget = 64;
/** Records in one message, so that it fits a datagram. */
constexpr std::size_t maxReportedRecords = 16;
/** A store holds at least this many crashes of a request, if there were as many. */
constexpr std::size_t sufficientStoredCrashes = 4;
/** Events that are kept until they are taken. */
constexpr std::size_t maxEvents = 256;
/** Crashes that are kept of one request; more do not change a decision. */
constexpr std::size_t maxCrashes = 8;

const CrashRecord *find(const std::vector<CrashRecord> &records, const Fingerprint &request)
{
    const auto found = std::find_if(records.begin(), records.end(), [&](const CrashRecord &record) {
        return record.request == request;
    });
    return found == records.end() ? nullptr : &*found;
}

} // namespace

CrashRecords aged(CrashRecords records, Milliseconds elapsed)
{
    for (auto &record : records.records) {
        for (auto &crash : record.crashes) {
            crash.startAge += elapsed;
            crash.age += elapsed;
        }
        if (record.answerAge)
            *record.answerAge += elapsed;
        if (record.trialAge)
            *record.trialAge += elapsed;
    }
    return records;
}

std::string_view name(CrashEvent::Kind kind)
{
    switch (kind) {
    case CrashEvent::Kind::AttemptLost:
        return "attempt-lost";
    case CrashEvent::Kind::TargetAlive:
        return "target-alive";
    case CrashEvent::Kind::TargetEnded:
        return "target-ended";
    case CrashEvent::Kind::RecentlyAnswered:
        return "recently-answered";
    case CrashEvent::Kind::Quarantined:
        return "quarantined";
    case CrashEvent::Kind::Learned:
        return "learned";
    case CrashEvent::Kind::Trial:
        return "trial";
    case CrashEvent::Kind::Cleared:
        return "cleared";
    }
    return "unknown";
}

void CrashSuspects::recordLoss(const LostAttempt &attempt)
{
    const TimePoint now = attempt.lostAt;
    purgeExpiredLosses(now);
    if (isRecentlyAnswered(attempt.request, now)) {
        if (!attempt.isSilent)
            addEvent(CrashEvent::Kind::RecentlyAnswered, attempt.request, attempt.target, now);
        return;
    }
    auto &losses = m_unverifiedLosses[attempt.target];
    if (losses.size() >= maxLossesOfTarget)
        losses.erase(losses.begin());
    const TimePoint nextProbeAt = attempt.isSilent ? now + m_settings.silenceDelay : now;
    losses.push_back({attempt, TargetFate::Unknown, 0, nextProbeAt});
    if (attempt.isSilent)
        return;
    addEvent(CrashEvent::Kind::AttemptLost, attempt.request, attempt.target, now);
    addCrash(attempt.request, {attempt.target, attempt.zone, attempt.startedAt, now, false});
}

bool CrashSuspects::isRecentlyAnswered(const Fingerprint &request, TimePoint at)
{
    const TimePoint *answeredAt = m_lastAnswers.find(request);
    return answeredAt != nullptr && at - *answeredAt <= m_settings.recentAnswerWindow;
}

void CrashSuspects::recordCrash(const Fingerprint &request, const TargetId &target, TimePoint now)
{
    addCrash(request, {target, ZoneId(), now, now, true});
    m_changed.insert(request);
}

bool CrashSuspects::addCrash(const Fingerprint &request, const Crash &crash)
{
    findUnexpired(request, crash.at); // Resets an expired record.
    Record &record = m_records[request];
    for (auto &known : record.crashes) {
        if (known.target != crash.target || crash.at - known.at > m_settings.crashMergeWindow ||
            known.at - crash.at > m_settings.crashMergeWindow)
            continue;
        known.isVerified = known.isVerified || crash.isVerified;
        return false;
    }
    const std::size_t countBefore = countCrashes(record);
    if (record.crashes.size() >= maxCrashes)
        record.crashes.erase(record.crashes.begin());
    record.crashes.push_back(crash);
    if (countBefore < m_settings.crashesToQuarantine &&
        countCrashes(record) >= m_settings.crashesToQuarantine)
        addEvent(CrashEvent::Kind::Quarantined, request, crash.target, crash.at);
    return true;
}

void CrashSuspects::removeCrash(const LostAttempt &attempt)
{
    Record *record = m_records.find(attempt.request);
    if (record == nullptr)
        return;
    std::erase_if(record->crashes, [&attempt](const Crash &crash) {
        return crash.target == attempt.target && crash.at == attempt.lostAt && !crash.isVerified;
    });
}

void CrashSuspects::recordResponse(const Fingerprint &request, TimePoint now)
{
    m_lastAnswers[request] = now;
    Record *record = findUnexpired(request, now);
    if (record == nullptr)
        return;
    const bool wasSuspect = countCrashes(*record) > 0;
    record->lastAnsweredAt = now;
    if (!wasSuspect)
        return;
    m_changed.insert(request);
    addEvent(CrashEvent::Kind::Cleared, request, TargetId(), now);
}

void CrashSuspects::recordTargetAlive(const TargetId &target, TimePoint since)
{
    const auto found = m_unverifiedLosses.find(target);
    if (found == m_unverifiedLosses.end())
        return;
    for (auto &loss : found->second) {
        const LostAttempt &attempt = loss.attempt;
        if (loss.fate == TargetFate::Alive || since < attempt.lostAt)
            continue;
        // The loss is kept, since the target may have been restarted under its id.
        loss.fate = TargetFate::Alive;
        if (attempt.isSilent)
            continue;
        removeCrash(attempt);
        addEvent(CrashEvent::Kind::TargetAlive, attempt.request, target, since);
    }
}

void CrashSuspects::recordTargetUnresponsive(const TargetId &target, bool isRefused, TimePoint now)
{
    const auto found = m_unverifiedLosses.find(target);
    if (found == m_unverifiedLosses.end())
        return;
    bool hasEnded = false;
    for (auto &loss : found->second) {
        if (loss.fate == TargetFate::Alive)
            continue;
        ++loss.unansweredProbes;
        hasEnded = hasEnded || (isRefused && !loss.attempt.isSilent) ||
                   loss.unansweredProbes >= m_settings.probesToVerify;
    }
    if (hasEnded)
        recordTargetEnded(target, now);
}

void CrashSuspects::recordTargetEnded(const TargetId &target, TimePoint now)
{
    const auto found = m_unverifiedLosses.find(target);
    if (found == m_unverifiedLosses.end())
        return;
    const std::vector<UnverifiedLoss> losses = std::move(found->second);
    m_unverifiedLosses.erase(found);
    for (const auto &[attempt, fate, unansweredProbes, nextProbeAt] : losses) {
        if (isExpired(attempt, now) || isRecentlyAnswered(attempt.request, attempt.lostAt))
            continue;
        addCrash(attempt.request,
                 {attempt.target, attempt.zone, attempt.startedAt, attempt.lostAt, true});
        m_changed.insert(attempt.request);
        addEvent(CrashEvent::Kind::TargetEnded, attempt.request, target, now);
    }
}

bool CrashSuspects::isExpired(const LostAttempt &attempt, TimePoint now) const
{
    return now - attempt.lostAt > m_settings.verificationWindow;
}

void CrashSuspects::purgeExpiredLosses(TimePoint now)
{
    if (now < m_nextPurgeAt)
        return;
    m_nextPurgeAt = now + m_settings.verificationWindow;
    for (auto each = m_unverifiedLosses.begin(); each != m_unverifiedLosses.end();) {
        std::erase_if(each->second,
                      [&](const UnverifiedLoss &loss) { return isExpired(loss.attempt, now); });
        each = each->second.empty() ? m_unverifiedLosses.erase(each) : std::next(each);
    }
}

bool CrashSuspects::needsVerification(const TargetId &target, TimePoint now)
{
    const auto found = m_unverifiedLosses.find(target);
    if (found == m_unverifiedLosses.end())
        return false;
    bool isDue = false;
    for (auto &loss : found->second) {
        if (loss.fate == TargetFate::Alive || now < loss.nextProbeAt ||
            isExpired(loss.attempt, now))
            continue;
        loss.nextProbeAt = now + m_settings.verificationInterval;
        isDue = true;
    }
    return isDue;
}

CrashSuspects::Record *CrashSuspects::findUnexpired(const Fingerprint &request, TimePoint now)
{
    Record *record = m_records.find(request);
    if (record == nullptr || record->crashes.empty())
        return nullptr;
    if (now - lastCrashAt(*record) > m_settings.retention)
        *record = Record{};
    return record->crashes.empty() ? nullptr : record;
}

TimePoint CrashSuspects::lastCrashAt(const Record &record)
{
    return std::max_element(record.crashes.begin(), record.crashes.end(),
                            [](const Crash &a, const Crash &b) { return a.at < b.at; })
            ->at;
}

std::size_t CrashSuspects::countCrashes(const Record &record) const
{
    std::vector<const Crash *> counted;
    for (const auto &crash : record.crashes) {
        if (record.lastAnsweredAt &&
            crash.at <= *record.lastAnsweredAt + m_settings.recentAnswerWindow)
            continue;
        const bool isSameEvent =
                std::any_of(counted.begin(), counted.end(), [&crash](const Crash *other) {
                    return !crash.zone.value().empty() && crash.zone == other->zone &&
                           crash.startedAt < other->at && other->startedAt < crash.at;
                });
        if (!isSameEvent)
            counted.push_back(&crash);
    }
    return counted.size();
}

std::size_t CrashSuspects::crashCount(const Fingerprint &request, TimePoint now)
{
    const Record *record = findUnexpired(request, now);
    return record == nullptr ? 0 : countCrashes(*record);
}

bool CrashSuspects::isSuspect(const Fingerprint &request, TimePoint now)
{
    return crashCount(request, now) > 0;
}

bool CrashSuspects::isQuarantined(const Fingerprint &request, TimePoint now)
{
    return crashCount(request, now) >= m_settings.crashesToQuarantine;
}

TimePoint CrashSuspects::nextTrialAt(const Record &record) const
{
    const std::size_t furtherCrashes = countCrashes(record) - m_settings.crashesToQuarantine;
    const Duration delay =
            furtherCrashes == 0
                    ? Duration(m_settings.firstTrialDelay)
                    : std::min<Duration>(m_settings.trialDelay * (1 << (furtherCrashes - 1)),
                                         m_settings.retention);
    const TimePoint crashedAt = lastCrashAt(record);
    return std::max(crashedAt, record.lastTrialAt.value_or(crashedAt)) + delay;
}

bool CrashSuspects::tryAdmit(const Fingerprint &request, TimePoint now)
{
    if (!isQuarantined(request, now))
        return true;
    Record &record = *m_records.find(request);
    if (now < nextTrialAt(record))
        return false;
    record.lastTrialAt = now;
    m_changed.insert(request);
    addEvent(CrashEvent::Kind::Trial, request, TargetId(), now);
    return true;
}

CrashRecord CrashSuspects::report(const Fingerprint &request, const Record &record, TimePoint now)
{
    CrashRecord result;
    result.request = request;
    for (const auto &crash : record.crashes) {
        if (crash.isVerified)
            result.crashes.push_back(
                    {crash.target, crash.zone,
                     std::chrono::duration_cast<Microseconds>(now - crash.startedAt),
                     std::chrono::duration_cast<Microseconds>(now - crash.at)});
    }
    if (record.lastAnsweredAt)
        result.answerAge = toMilliseconds(now - *record.lastAnsweredAt);
    if (record.lastTrialAt)
        result.trialAge = toMilliseconds(now - *record.lastTrialAt);
    return result;
}

CrashRecords CrashSuspects::takeChanges(TimePoint now)
{
    CrashRecords result;
    while (!m_changed.empty() && result.records.size() < maxReportedRecords) {
        const Fingerprint request = *m_changed.begin();
        m_changed.erase(m_changed.begin());
        const Record *record = findUnexpired(request, now);
        if (record == nullptr)
            continue;
        // Without a verified crash there is nothing that other hosts have to know.
        CrashRecord changed = report(request, *record, now);
        if (!changed.crashes.empty())
            result.records.push_back(std::move(changed));
    }
    return result;
}

CrashRecords CrashSuspects::records(TimePoint now)
{
    CrashRecords result;
    for (const auto &[request, record] : m_records) {
        if (!record.crashes.empty() && now - lastCrashAt(record) <= m_settings.retention)
            result.records.push_back(report(request, record, now));
    }
    std::erase_if(result.records, [](const CrashRecord &record) { return record.crashes.empty(); });
    if (result.records.size() <= maxReportedRecords)
        return result;
    std::sort(result.records.begin(), result.records.end(),
              [](const CrashRecord &a, const CrashRecord &b) {
                  return a.crashes.size() > b.crashes.size();
              });
    result.records.resize(maxReportedRecords);
    return result;
}

std::vector<CrashRecord> CrashSuspects::quarantinedRecords(TimePoint now)
{
    std::vector<CrashRecord> result;
    for (const auto &[request, record] : m_records) {
        if (record.crashes.empty() || now - lastCrashAt(record) > m_settings.retention ||
            countCrashes(record) < m_settings.crashesToQuarantine)
            continue;
        CrashRecord reported = report(request, record, now);
        if (reported.crashes.size() >= m_settings.crashesToQuarantine)
            result.push_back(std::move(reported));
    }
    return result;
}

std::optional<CrashRecords> CrashSuspects::recordsToStore(const CrashRecords &stored, TimePoint now)
{
    const std::vector<CrashRecord> quarantined = quarantinedRecords(now);
    CrashRecords result;
    bool isChanged = false;
    // Stored records come first, so that hosts with different records agree on those that are kept.
    for (const auto &record : stored.records) {
        const CrashRecord *known = find(quarantined, record.request);
        const bool isExpired = std::all_of(
                record.crashes.begin(), record.crashes.end(),
                [this](const CrashReport &crash) { return crash.age >= m_settings.retention; });
        if (known != nullptr)
            result.records.push_back(*known);
        if (known != nullptr ? record.crashes.size() <
                                       std::min(known->crashes.size(), sufficientStoredCrashes)
                             : !isExpired)
            isChanged = true;
    }
    for (const auto &record : quarantined) {
        if (result.records.size() >= maxReportedRecords)
            break;
        if (find(stored.records, record.request) != nullptr)
            continue;
        result.records.push_back(record);
        isChanged = true;
    }
    return isChanged ? std::optional(std::move(result)) : std::nullopt;
}

void CrashSuspects::merge(const CrashRecords &message, TimePoint now)
{
    for (const auto &record : message.records)
        mergeRecord(record, now);
}

void CrashSuspects::mergeRecord(const CrashRecord &reported, TimePoint now)
{
    for (const auto &crash : reported.crashes) {
        const TimePoint at = now - crash.age;
        if (now - at <= m_settings.retention &&
            addCrash(reported.request, {crash.target, crash.zone, now - crash.startAge, at, true}))
            addEvent(CrashEvent::Kind::Learned, reported.request, crash.target, now);
    }
    Record *record = findUnexpired(reported.request, now);
    if (record == nullptr)
        return;
    // Times that only the transfer has shifted are not newer.
    const auto isNewer = [this](const std::optional<TimePoint> &known, TimePoint at) {
        return !known || at > *known + m_settings.crashMergeWindow;
    };
    if (reported.trialAge && isNewer(record->lastTrialAt, now - *reported.trialAge))
        record->lastTrialAt = now - *reported.trialAge;
    if (reported.answerAge && isNewer(record->lastAnsweredAt, now - *reported.answerAge))
        record->lastAnsweredAt = now - *reported.answerAge;
    // An answer that this host saw excuses the request on all hosts.
    const TimePoint *answeredAt = m_lastAnswers.find(reported.request);
    if (answeredAt == nullptr || !isNewer(record->lastAnsweredAt, *answeredAt))
        return;
    record->lastAnsweredAt = *answeredAt;
    m_changed.insert(reported.request);
}

void CrashSuspects::addEvent(CrashEvent::Kind kind, const Fingerprint &request,
                             const TargetId &target, TimePoint now)
{
    if (m_events.size() >= maxEvents)
        m_events.erase(m_events.begin());
    m_events.push_back({kind, request, target, crashCount(request, now)});
}

} // namespace endivedock
