#pragma once

#include "endivedock/edge/registry.h"
#include "endivedock/gateway.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace endivedock {

/**
 * Asks targets for their health, each over a connection of its own that is kept, since targets and
 * the platform charge for new ones. One question to a target at a time.
 */
class TargetProber
{
public:
    /** Reads what a health answer tells. */
    using Reader = TargetProbe (*)(const AnswerHead &);
    /** Takes the answer; the probe is absent, and the cause given, where none came. */
    using Taker = std::function<void(const ServiceId &, const TargetId &,
                                     const std::optional<TargetProbe> &, const std::string &)>;

    TargetProber(asio::any_io_executor executor, Reader reader, Taker taker)
        : m_executor(std::move(executor))
        , m_reader(reader)
        , m_taker(std::move(taker))
    {
    }

    /** Starts a question unless one to this target is open. */
    void ask(const ServiceId &service, const ProbeTarget &target, const std::string &path);

private:
    Task<> probe(ServiceId service, ProbeTarget target, std::string path);
    Task<TargetProbe> exchange(ProbeTarget target, std::string path);

    asio::any_io_executor m_executor;
    Reader m_reader;
    Taker m_taker;
    std::map<TargetId, std::unique_ptr<TargetConnection>> m_connections;
    std::set<TargetId> m_open;
};

} // namespace endivedock
