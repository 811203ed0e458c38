#include "endivedock/edge/target_prober.h"

namespace endivedock {

namespace {

/** A target that does not answer within this time is no use to a caller either. */
constexpr Milliseconds probeTimeout{400};
/** Connections to targets that have left are dropped when there are more than this many. */
constexpr std::size_t mostConnections = 512;

} // namespace

void TargetProber::request(const ServiceId &service, const DueProbe &target,
                           const std::string &path)
{
    if (!m_inFlight.insert(target.id).second)
        return;
    startTask(m_executor, "probe", probe(service, target, path));
}

Task<> TargetProber::probe(ServiceId service, DueProbe target, std::string path)
{
    std::optional<ProbeResult> result;
    std::string failure;
    try {
        result = co_await exchange(target, path);
    } catch (const Error &error) {
        failure = error.what();
    }
    m_inFlight.erase(target.id);
    m_resultHandler(service, target.id, result, failure);
}

Task<ProbeResult> TargetProber::exchange(DueProbe target, std::string path)
{
    // Out of the map while in use, so that a failed one is never used again.
    std::unique_ptr<TargetConnection> connection;
    const auto kept = m_connections.find(target.id);
    if (kept != m_connections.end()) {
        connection = std::move(kept->second);
        m_connections.erase(kept);
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
    const ResponseHead answer = co_await connection->readHead();
    std::array<char, 512> piece{};
    while (co_await connection->readBody(piece) > 0) {
    }
    if (connection->isReusable()) {
        if (m_connections.size() >= mostConnections)
            m_connections.clear();
        m_connections[target.id] = std::move(connection);
    }
    co_return m_parser(answer);
}

} // namespace endivedock
