#pragma once

#include "endivedock/edge/registry.h"
#include "endivedock/gateway.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace endivedock {

/** A probe without a response. */
struct ProbeFailure
{
    std::string cause;
    /** Whether no connection could be opened. */
    bool isConnectFailure = false;
};

/**
 * Probes the health of targets. Keeps one connection open to each target, since new connections
 * are costly for targets, and the platform charges for them. At most one probe of a target is in
 * flight.
 */
class TargetProber
{
public:
    /** Parses the response to a probe. */
    using ResponseParser = ProbeResult (*)(const ResponseHead &);
    /** Receives the outcome of a probe. */
    using ResultHandler = std::function<void(const ServiceId &, const TargetId &,
                                             const std::variant<ProbeResult, ProbeFailure> &)>;

    TargetProber(asio::any_io_executor executor, ResponseParser parser, ResultHandler resultHandler)
        : m_executor(std::move(executor))
        , m_parser(parser)
        , m_resultHandler(std::move(resultHandler))
    {
    }

    /** Starts a probe of the target unless a probe of this target is already in flight. */
    void startProbe(const ServiceId &service, const DueProbe &target, const std::string &path);

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
