#pragma once

#include "endivedock/host/settings.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace endivedock {

/**
 * One entry host. It serves callers, keeps the newest configuration and the list of targets, and
 * places the services that fall to it. Runs on one thread.
 */
class EntryHost
{
public:
    /**
     * Listens and starts all tasks.
     *
     * @throws Error if an address cannot be bound or a key is unusable
     */
    EntryHost(boost::asio::io_context &context, HostSettings settings);
    ~EntryHost();

    /** Shuts down gracefully: finishes what is open, then stops the context. */
    void stop();
    /** Replaces the keys of the peer protocol; @throws KeyError and keeps the old ones */
    void setKeys(const std::vector<std::string> &keys);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace endivedock
