#pragma once

#include "endivedock/host/settings.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace endivedock {

/**
 * One entry host. Forwards the callers' requests to targets, keeps the newest configuration and the
 * list of targets up to date, and places the requests of the services whose shards it holds: it
 * chooses a target for each of these requests, whichever entry host received the request. All tasks
 * run on the thread that runs the given context.
 */
class EntryHost
{
public:
    /**
     * Binds the addresses of the settings and starts all tasks.
     *
     * @throws Error if an address cannot be bound or a peer key is not valid
     */
    EntryHost(boost::asio::io_context &context, HostSettings settings);
    ~EntryHost();

    /**
     * Starts a graceful shutdown: finishes the open requests, then stops the context. A second call
     * has no effect.
     */
    void stop();
    /**
     * Replaces the keys of the peer protocol.
     *
     * @param keys  in the form of HostSettings::peerKeys
     * @throws KeyError if a key is not valid; the old keys then stay in use
     */
    void setKeys(const std::vector<std::string> &keys);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace endivedock
