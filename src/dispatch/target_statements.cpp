#include "endivedock/dispatch/target_statements.h"

namespace endivedock {

TargetProcess TargetStatements::processOf(const Source &source) const
{
    const Newest *newest = find(source.target, source.address);
    if (!source.incarnation && newest != nullptr)
        return newest->process;
    // A target that never states its incarnation counts as one process at each address.
    const std::uint64_t incarnation = source.incarnation.value_or(Incarnation(0)).value();
    return {source.target, source.address, static_cast<std::int64_t>(incarnation)};
}

const TargetStatements::Newest *TargetStatements::find(const TargetId &target,
                                                       const Address &address) const
{
    const Newest *newest = m_newest.find(target);
    return newest != nullptr && newest->process.address == address ? newest : nullptr;
}

void TargetStatements::recordIncarnation(const Source &source)
{
    const TargetProcess process = processOf(source);
    Newest &newest = m_newest[source.target];
    if (newest.process.address == process.address && newest.process.startedAt >= process.startedAt)
        return;
    newest = {process, {}};
    m_pausedTargets.erase(source.target);
}

bool TargetStatements::recordDraining(const Source &source, TimePoint now)
{
    recordIncarnation(source);
    return m_draining.recordNotice(processOf(source), now);
}

std::optional<DrainingProcess>
TargetStatements::findDraining(const TargetId &target, const Address &address, TimePoint now) const
{
    const Newest *newest = find(target, address);
    return newest == nullptr ? std::nullopt : m_draining.find(newest->process, now);
}

void TargetStatements::startPause(const Source &source, Milliseconds time, TimePoint now)
{
    recordIncarnation(source);
    Newest &newest = m_newest[source.target];
    if (newest.process != processOf(source))
        return;
    newest.pause.start(now, time);
    m_pausedTargets.insert(source.target);
}

void TargetStatements::recordResponse(const Source &source, TimePoint sentAt, Slots slots)
{
    recordIncarnation(source);
    Newest &newest = m_newest[source.target];
    if (newest.process != processOf(source))
        return;
    newest.pause.recordResponse(sentAt, slots);
    if (!newest.pause.isActive())
        m_pausedTargets.erase(source.target);
}

void TargetStatements::forgetEndedPause(const TargetId &target, TimePoint now)
{
    Newest *newest = m_newest.find(target);
    if (newest != nullptr && now < newest->pause.until())
        return;
    if (newest != nullptr)
        newest->pause = {};
    m_pausedTargets.erase(target);
}

const TargetPause *TargetStatements::findPause(const TargetId &target, const Address &address) const
{
    const Newest *newest = find(target, address);
    return newest != nullptr && newest->pause.isActive() ? &newest->pause : nullptr;
}

} // namespace endivedock
