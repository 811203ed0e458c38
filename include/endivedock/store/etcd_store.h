#pragma once

#include "endivedock/store/store_concept.h"

#include <vector>

namespace endivedock {

/**
 * The store over the JSON gateway of the etcd v3 protocol (KV, Txn, Lease, Watch), as published in
 * that protocol's API reference. Tries its endpoints in turn.
 */
class EtcdStore
{
public:
    /** @param endpoints  at least one; @param timeout  of one call to one endpoint */
    EtcdStore(asio::any_io_executor executor, std::vector<Address> endpoints, Milliseconds timeout);

    Task<std::optional<StoreEntry>> get(std::string key);
    Task<StoreSnapshot> list(std::string prefix);
    Task<CompareAndSwapResult> compareAndSwap(std::vector<ConditionalPut> conditionalPuts,
                                              LeaseId lease);
    Task<LeaseId> grantLease(Milliseconds term);
    Task<bool> renewLease(LeaseId lease);
    Task<> revokeLease(LeaseId lease);
    Task<bool> awaitChange(std::string prefix, Revision after, Milliseconds timeout);

    /** Calls made so far, since the platform counts them; a waiting watch is one. */
    std::uint64_t calls() const { return m_calls; }

private:
    /** Reads may go to any endpoint in turn; a write goes to one only, lest it run twice. */
    enum class Retry { NextEndpoint, Never };
    Task<std::string> call(std::string path, std::string body, Retry retry);
    void useNextEndpoint();

    asio::any_io_executor m_executor;
    std::vector<Address> m_endpoints;
    std::vector<HttpClient> m_clients;
    std::size_t m_current = 0;
    Milliseconds m_timeout;
    std::uint64_t m_calls = 0;
};

static_assert(Store<EtcdStore>);

/** @return @p text in the standard base64 alphabet, padded */
std::string encodeBase64(std::string_view text);
/** @throws StoreProtocolError if @p text is not base64 */
std::string decodeBase64(std::string_view text);
/** @return the first key after all keys that start with @p prefix, as range ends need it */
std::string prefixEnd(std::string prefix);

} // namespace endivedock
