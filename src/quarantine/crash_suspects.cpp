#include "endivedock/quarantine/crash_suspects.h"

namespace endivedock {

std::uint64_t CrashSuspects::crashIdFor(const TargetId &target, TimePoint now)
{
    Crash &last = m_lastCrashes[target];
    if (last.id == 0 || now - last.at > m_settings.crashMergeWindow)
        last.id = m_nextCrashId++;
    last.at = now;
    return last.id;
}

CrashSuspects::Record *CrashSuspects::findUnexpired(const Fingerprint &request, TimePoint now)
{
    Record *record = m_records.find(request);
    if (record == nullptr || record->crashes.empty())
        return nullptr;
    if (now - record->lastCrashAt > m_settings.retention)
        *record = Record{};
    return record->crashes.empty() ? nullptr : record;
}

void CrashSuspects::recordCrash(const Fingerprint &request, const TargetId &target, TimePoint now)
{
    findUnexpired(request, now);
    Record &record = m_records[request];
    record.crashes.insert(crashIdFor(target, now));
    record.lastCrashAt = now;
}

void CrashSuspects::recordResponse(const Fingerprint &request, TimePoint now)
{
    Record *record = findUnexpired(request, now);
    if (record != nullptr)
        ++record->responses;
}

bool CrashSuspects::isSuspect(const Fingerprint &request, TimePoint now)
{
    const Record *record = findUnexpired(request, now);
    return record != nullptr && record->responses == 0;
}

std::size_t CrashSuspects::crashCount(const Fingerprint &request, TimePoint now)
{
    const Record *record = findUnexpired(request, now);
    return record == nullptr ? 0 : record->crashes.size();
}

bool CrashSuspects::isQuarantined(const Fingerprint &request, TimePoint now)
{
    const Record *record = findUnexpired(request, now);
    if (record == nullptr || record->crashes.size() < m_settings.crashesToQuarantine)
        return false;
    return record->responses < record->crashes.size();
}

} // namespace endivedock
