#include "endivedock/quarantine/crash_suspects.h"

namespace endivedock {

std::uint64_t CrashSuspects::crashNumber(const TargetId &target, TimePoint now)
{
    Crash &last = m_lastCrash[target];
    if (last.number == 0 || now - last.at > m_settings.oneCrash)
        last.number = m_nextCrash++;
    last.at = now;
    return last.number;
}

CrashSuspects::Record *CrashSuspects::fresh(const Fingerprint &request, TimePoint now)
{
    Record *record = m_records.find(request);
    if (record == nullptr || record->crashes.empty())
        return nullptr;
    if (now - record->lastCrash > m_settings.memory)
        *record = Record{};
    return record->crashes.empty() ? nullptr : record;
}

void CrashSuspects::recordCrash(const Fingerprint &request, const TargetId &target, TimePoint now)
{
    fresh(request, now);
    Record &record = m_records[request];
    record.crashes.insert(crashNumber(target, now));
    record.lastCrash = now;
}

void CrashSuspects::recordResponse(const Fingerprint &request, TimePoint now)
{
    Record *record = fresh(request, now);
    if (record != nullptr)
        ++record->answers;
}

bool CrashSuspects::isSuspect(const Fingerprint &request, TimePoint now)
{
    const Record *record = fresh(request, now);
    return record != nullptr && record->answers == 0;
}

bool CrashSuspects::isQuarantined(const Fingerprint &request, TimePoint now)
{
    const Record *record = fresh(request, now);
    if (record == nullptr || record->crashes.size() < m_settings.crashesToQuarantine)
        return false;
    return record->answers < record->crashes.size();
}

} // namespace endivedock
