#pragma once

#include "endivedock/store/store_concept.h"

#include <vector>

namespace endivedock {

/**
 * A client for the JSON gateway of the etcd v3 protocol (KV, Txn, Lease, Watch), as described in
 * the etcd API reference. Switches to the next endpoint when a call fails.
 */
class EtcdStore
{
public:
    /**
     * @param endpoints  addresses of the store; at least one
     * @param timeout    of one call to one endpoint
     */
    EtcdStore(asio::any_io_executor executor, std::vector<Address> endpoints, Milliseconds timeout);

    Task<std::optional<StoreEntry>> get(std::string key);
    Task<StoreSnapshot> list(std::string prefix);
    Task<CompareAndSwapResult> compareAndSwap(std::vector<ConditionalPut> conditionalPuts,
                                              LeaseId lease);
    Task<LeaseId> grantLease(Milliseconds timeToLive);
    Task<bool> renewLease(LeaseId lease);
    Task<> revokeLease(LeaseId lease);
    Task<bool> awaitChange(std::string prefix, Revision after, Milliseconds timeout);

    /** @return calls made so far, as the platform counts them; a pending watch is one call */
    std::uint64_t calls() const { return m_calls; }

private:
    /**
     * Whether a failed call is retried at the next endpoint. A call that must not run twice is
     * never retried, because the store may have run the call and only its response was lost.
     */
    enum class Retry { NextEndpoint, Never };
    Task<std::string> call(std::string path, std::string body, Retry retry);
    void useNextEndpoint();

    asio::any_io_executor m_executor;
    std::vector<Address> m_endpoints;
    std::vector<HttpClient> m_clients;
    std::size_t m_currentEndpoint = 0;
    Milliseconds m_timeout;
    std::uint64_t m_calls = 0;
};

static_assert(Store<EtcdStore>);

/** @return @p text in the standard base64 alphabet, padded */
std::string encodeBase64(std::string_view text);
/** @return the decoded bytes; @throws StoreProtocolError if @p text is not base64 */
std::string decodeBase64(std::string_view text);
/**
 * @return the first key after all keys that start with @p prefix: the end of their range; one null
 *         byte, which means no upper bound in etcd, if there is no such key
 */
std::string prefixEnd(std::string prefix);

} // namespace endivedock
