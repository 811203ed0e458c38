#pragma once

#include "endivedock/dispatch.h"

namespace endivedock {

/** The way to the other hosts; with no peers this host places every service. */
class HostLink
{
public:
    explicit HostLink(HostId self)
        : m_self(self)
    {
    }

    std::optional<HostId> holderOf(const ServiceId &) const { return m_self; }
    void send(HostId, const PlacementRequest &) {}
    void send(HostId, const AttemptReport &) {}
    void send(HostId, const PlacementCancel &) {}
    std::size_t entryHosts() const { return 1; }

private:
    HostId m_self;
};

/** Keeps the runs of this host apart. */
class HostRuns
{
public:
    Task<std::optional<Refusal>> claim(RunClaim claim, TimePoint)
    {
        if (!m_running.insert(claim.key).second)
            co_return Refusal{RefusalReason::RunInProgress, RunCertainty::MayHaveRun};
        co_return std::nullopt;
    }
    void finish(RunClaim claim, RunEnd end)
    {
        if (end == RunEnd::NotRun)
            m_running.erase(claim.key);
    }

private:
    std::set<RunKey> m_running;
};

} // namespace endivedock
