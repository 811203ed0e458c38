#include "endivedock/edge/target_prober.h"

namespace endivedock {

namespace {

/** A target that does not respond within this time would be too slow for a caller as well. */
constexpr Milliseconds probeTimeout{400};
/**
 * All kept connections are closed when their number reaches this, so that connections to targets
 * that have left do not accumulate.
 */
constexpr std::size_t maxConnections = 512;

} // namespace

void TargetProber::startProbe(const ServiceId &service, const DueProbe &target,
                              const std::string &path)
{
    if (!m_inFlight.insert(target.id).second)
        return;
    startTask(m_executor, "probe", probe(service, target, path));
}

Task<> TargetProber::probe(ServiceId service, DueProbe target, std::string path)
{
    std::variant<ProbeResult, ProbeFailure> result;
    try {
        result = co_await exchange(target, path);
    } catch (const TargetConnectError &error) {
        result = ProbeFailure{error.what(), true};
    } catch (const Error &error) {
        result = ProbeFailure{error.what(), false};
    }
    m_inFlight.erase(target.id);
    m_resultHandler(service, target.id, result);
}

Task<ProbeResult> TargetProber::exchange(DueProbe target, std::string path)
{
    // Removed from the map while in use, so that a failed connection is not used again.
    std::unique_ptr<TargetConnection> connection;
    const auto found = m_connections.find(target.id);
    if (found != m_connections.end()) {
        connection = std::move(found->second);
        m_connections.erase(found);
        if (connection->isStale())
            connection.reset();
    }
    const TimePoint deadline = SteadyClock().now() + probeTimeout;
    if (!connection) {
        connection = std::make_unique<TargetConnection>(m_executor);
        co_await connection->connect(target.address, deadline);
    }
    connection->setDeadline(deadline);
    RequestHead head;
    head.method = "GET";
    head.path = path;
    head.fields.push_back({"Host", formatAddress(target.address)});
    co_await connection->sendHead(head);
    co_await connection->endRequest();
    const ResponseHead response = co_await connection->readHead();
    std::array<char, 512> buffer{};
    while (co_await connection->readBody(buffer) > 0) {
    }
    if (connection->isReusable()) {
        if (m_connections.size() >= maxConnections)
            m_connections.clear();
        m_connections[target.id] = std::move(connection);
    }
    co_return m_parser(response);
}

} // namespace endivedock
