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
    using ResponseParser = ProbeResult (*)(const ResponseHead &);
    /** Takes the answer; the probe is absent, and the cause given, where none came. */
    using ResultHandler =
            std::function<void(const ServiceId &, const TargetId &,
                               const std::optional<ProbeResult> &, const std::string &)>;

    TargetProber(asio::any_io_executor executor, ResponseParser reader, ResultHandler taker)
        : m_executor(std::move(executor))
        , m_parser(reader)
        , m_resultHandler(std::move(taker))
    {
    }

    /** Starts a question unless one to this target is open. */
    void request(const ServiceId &service, const DueProbe &target, const std::string &path);

private:
    Task<> probe(ServiceId service, DueProbe target, std::string path);
    Task<ProbeResult> exchange(DueProbe target, std::string path);

    asio::any_io_executor m_executor;
    ResponseParser m_parser;
    ResultHandler m_resultHandler;
    std::map<TargetId, std::unique_ptr<TargetConnection>> m_connections;
    std::set<TargetId> m_inFlight;
};

} // namespace endivedock
