#pragma once

#include "endivedock/edge/edge_message.h"
#include "endivedock/edge/registry.h"
#include "endivedock/loadreports.h"
#include "endivedock/peers.h"
#include "endivedock/telemetry.h"
#include "endivedock/zones.h"

#include <map>
#include <optional>
#include <vector>

namespace endivedock {

/**
 * The other hosts: their addresses, the transport to them, and the placing host of each service.
 */
class EdgePeers
{
public:
    using Handler = DatagramTransport<EdgeCodec>::Handler;

    /** @throws boost::system::system_error if @p local cannot be bound */
    EdgePeers(asio::any_io_executor executor, const Address &local, HostId self,
              Incarnation incarnation, Sealer &sealer, Handler handler, ZoneId zone = ZoneId())
        : m_datagrams(std::move(executor), local, self, incarnation, sealer, std::move(handler))
        , m_self(self)
        , m_zone(std::move(zone))
        , m_placingHostSelector(self)
    {
    }

    /**
     * Replaces the known hosts.
     *
     * @param hosts  all registered hosts; this host may be among them
     * @param capacity  processor share of this host, in cores
     */
    void setHosts(const std::vector<RegisteredHost> &hosts, double capacity);
    /** @return the number of hosts, this one included */
    std::size_t hostCount() const { return m_addresses.size() + 1; }
    /** @return all other known hosts */
    std::vector<HostId> hosts() const;
    /** @return the peer address of the host, or nothing if the host is not known */
    std::optional<Address> address(HostId host) const;

    const ZoneId &zone() const { return m_zone; }
    /**
     * Sets how the placement of a service is divided among zones.
     *
     * @return whether the division has changed
     */
    bool setDivision(const ServiceId &service, const ZoneDivision &division);

    // Required by PlacementPeers.
    HostId placingHost(const ServiceId &service, TimePoint now) const;
    HostId placingHost(const ServiceId &service, const ZoneId &placingZone, TimePoint now) const;
    void recordTimeout(HostId host, TimePoint now);
    void send(HostId host, const EdgeMessage &message);

    /** Sends a message in as many datagrams as it needs. Unlike send(), drops none as too long. */
    template <typename Message>
    void sendDivided(HostId host, const Message &message);
    /** Sends a message to all other known hosts. */
    void broadcast(const EdgeMessage &message);
    /** Sends a message to @p count random hosts, or to all if there are fewer. */
    void sendToRandom(const EdgeMessage &message, std::size_t count, Random &random);
    // PlacingHostSelector describes these functions.
    void recordRequest(HostId host, TimePoint now)
    {
        m_placingHostSelector.recordRequest(host, now);
    }
    void recordResponse(HostId host, TimePoint now)
    {
        m_placingHostSelector.recordResponse(host, now);
    }

    const TransportCounters &counters() const { return m_datagrams.counters(); }

private:
    template <typename Message>
    void sendDivided(HostId host, const Address &address, const Message &message);

    DatagramTransport<EdgeCodec> m_datagrams;
    HostId m_self;
    /** Zone of this host. */
    ZoneId m_zone;
    std::map<ServiceId, ZoneDivision> m_divisions;
    PlacingHostSelector m_placingHostSelector;
    std::map<HostId, Address> m_addresses;
    Log m_log{"peers"};
};

template <typename Message>
void EdgePeers::sendDivided(HostId host, const Message &message)
{
    const auto found = m_addresses.find(host);
    if (found != m_addresses.end())
        sendDivided(host, found->second, message);
}

template <typename Message>
void EdgePeers::sendDivided(HostId host, const Address &address, const Message &message)
{
    if (m_datagrams.sendIfShort(host, address, message))
        return;
    if (const auto parts = divide(message)) {
        sendDivided(host, address, parts->first);
        sendDivided(host, address, parts->second);
    } else {
        m_datagrams.send(host, address, message);
    }
}

} // namespace endivedock
