#include "endivedock/store.h"

#include "../net_support.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;
using endivedock::testing::runTask;

namespace {

/** A store of one key that can lose requests and responses. Counts its writes. */
class LossyStore
{
public:
    Task<std::optional<StoreEntry>> get(std::string) { co_return m_entry; }
    Task<StoreSnapshot> list(std::string) { co_return StoreSnapshot{}; }
    Task<CompareAndSwapResult> compareAndSwap(std::vector<ConditionalPut> conditionalPuts, LeaseId)
    {
        const Revision present = m_entry ? m_entry->modRevision : Revision(0);
        const bool swapped = present == conditionalPuts.front().modRevision && !losesRequests;
        if (swapped) {
            ++writes;
            m_entry = StoreEntry{conditionalPuts.front().key, conditionalPuts.front().value,
                                 Revision(present.value() + 1)};
        }
        if (losesRequests || losesResponses)
            throw StoreUnavailable("lost");
        co_return CompareAndSwapResult{swapped, m_entry->modRevision, m_entry};
    }
    Task<LeaseId> grantLease(Milliseconds) { co_return noLease; }
    Task<bool> renewLease(LeaseId) { co_return false; }
    Task<> revokeLease(LeaseId) { co_return; }
    Task<bool> awaitChange(std::string, Revision, Milliseconds) { co_return false; }

    bool losesResponses = false;
    bool losesRequests = false;
    int writes = 0;

private:
    std::optional<StoreEntry> m_entry;
};

static_assert(Store<LossyStore>);

CompareAndSwapResult swapOnce(asio::io_context &context, LossyStore &store,
                              std::int64_t modRevision, const std::string &value)
{
    CompareAndSwapResult result;
    runTask(context,
            [](LossyStore &lossy, std::vector<ConditionalPut> conditionalPuts,
               CompareAndSwapResult &out) -> Task<> {
                out = co_await compareAndSwapWithReadBack(lossy, std::move(conditionalPuts));
            }(store, {{"k", Revision(modRevision), value}}, result));
    return result;
}

} // namespace

class StoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(encodesBase64);
    CPPUNIT_TEST(computesPrefixEnds);
    CPPUNIT_TEST(lostResponseIsReadBack);
    CPPUNIT_TEST(lostRequestIsNotReportedAsWritten);
    CPPUNIT_TEST(parsesGatewayResponses);
    CPPUNIT_TEST(readsAreRetriedAtTheNextEndpoint);
    CPPUNIT_TEST(malformedResponsesAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void encodesBase64()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYg=="), encodeBase64("foob"));
        CPPUNIT_ASSERT_EQUAL(std::string("foob"), decodeBase64("Zm9vYg=="));
        CPPUNIT_ASSERT_EQUAL(std::string(), decodeBase64(encodeBase64("")));
        CPPUNIT_ASSERT_THROW(decodeBase64("***"), StoreProtocolError);
    }

    void computesPrefixEnds()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/b"), prefixEnd("/a"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), prefixEnd("a\xff"));
        CPPUNIT_ASSERT_EQUAL(std::string(1, '\0'), prefixEnd("\xff"));
    }

    void lostResponseIsReadBack()
    {
        LossyStore store;
        store.losesResponses = true;
        CPPUNIT_ASSERT(swapOnce(m_context, store, 0, "a").swapped);
        CPPUNIT_ASSERT_EQUAL(1, store.writes);
        // Another writer came first, and the response that reports the conflict is lost.
        CPPUNIT_ASSERT(!swapOnce(m_context, store, 0, "b").swapped);
        CPPUNIT_ASSERT_EQUAL(1, store.writes);
    }

    void lostRequestIsNotReportedAsWritten()
    {
        LossyStore store;
        store.losesRequests = true;
        CPPUNIT_ASSERT(!swapOnce(m_context, store, 0, "a").swapped);
    }

    void parsesGatewayResponses()
    {
        std::string receivedBody;
        HttpServer server(m_context.get_executor(), anyLoopbackAddress,
                          [&receivedBody](HttpServerRequest call) -> Task<HttpServerResponse> {
                              receivedBody = call.body;
                              co_return HttpServerResponse{
                                      200, "application/json",
                                      R"({"header":{"revision":"12"},"kvs":[{"key":"L2E=",)"
                                      R"("value":"eA==","mod_revision":"9"}],"count":"1"})"};
                          });
        runTask(m_context, [](EtcdStore store) -> Task<> {
            const StoreSnapshot snapshot = co_await store.list("/a");
            CPPUNIT_ASSERT(snapshot.revision == Revision(12));
            CPPUNIT_ASSERT_EQUAL(std::string("/a"), snapshot.entries.at(0).key);
            CPPUNIT_ASSERT_EQUAL(std::string("x"), snapshot.entries.at(0).value);
            CPPUNIT_ASSERT(snapshot.entries.at(0).modRevision == Revision(9));
        }(makeStore({server.localAddress()})));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"L2E=","range_end":"L2I="})"), receivedBody);
    }

    void readsAreRetriedAtTheNextEndpoint()
    {
        HttpServer down(m_context.get_executor(), anyLoopbackAddress,
                        [](HttpServerRequest) -> Task<HttpServerResponse> {
                            co_return HttpServerResponse{503, "text/plain", "down"};
                        });
        HttpServer up(m_context.get_executor(), anyLoopbackAddress,
                      [](HttpServerRequest) -> Task<HttpServerResponse> {
                          co_return HttpServerResponse{200, "application/json",
                                                       R"({"header":{"revision":"1"}})"};
                      });
        runTask(m_context, [](EtcdStore store) -> Task<> {
            const auto entry = co_await store.get("/a");
            CPPUNIT_ASSERT(!entry);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.calls());
        }(makeStore({down.localAddress(), up.localAddress()})));
    }

    void malformedResponsesAreErrors()
    {
        for (const std::string response :
             {"", "[]", "{}", R"({"header":1})", R"({"header":{"revision":"x"}})",
              R"({"header":{"revision":"1"},"kvs":[1]})",
              R"({"header":{"revision":"1"},"kvs":[{"key":"*"}]})"}) {
            HttpServer server(m_context.get_executor(), anyLoopbackAddress,
                              [response](HttpServerRequest) -> Task<HttpServerResponse> {
                                  co_return HttpServerResponse{200, "application/json", response};
                              });
            bool isRejected = false;
            runTask(m_context, [](EtcdStore store, bool &result) -> Task<> {
                try {
                    co_await store.list("/a");
                } catch (const StoreProtocolError &) {
                    result = true;
                }
            }(makeStore({server.localAddress()}), isRejected));
            CPPUNIT_ASSERT_MESSAGE(response, isRejected);
        }
    }

private:
    EtcdStore makeStore(std::vector<Address> endpoints)
    {
        return EtcdStore(m_context.get_executor(), std::move(endpoints), Milliseconds(5000));
    }

    asio::io_context m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);
