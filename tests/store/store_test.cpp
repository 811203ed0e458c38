#include "endivedock/store.h"

#include "../net_support.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::anyPort;
using endivedock::testing::runTask;

namespace {

/** A store of one key whose answers can be lost or late; counts its writes. */
class FlakyStore
{
public:
    Task<std::optional<StoreEntry>> get(std::string) { co_return m_entry; }
    Task<StoreSnapshot> list(std::string) { co_return StoreSnapshot{}; }
    Task<CompareAndSwapResult> compareAndSwap(std::vector<ConditionalPut> conditionalPuts, LeaseId)
    {
        const Revision present = m_entry ? m_entry->modRevision : Revision(0);
        const bool swapped = present == conditionalPuts.front().modRevision && !loseRequest;
        if (swapped) {
            ++writes;
            m_entry = StoreEntry{conditionalPuts.front().key, conditionalPuts.front().value,
                                 Revision(present.value() + 1)};
        }
        if (loseRequest || loseAnswer)
            throw StoreUnavailable("lost");
        co_return CompareAndSwapResult{swapped, m_entry->modRevision, m_entry};
    }
    Task<LeaseId> grantLease(Milliseconds) { co_return noLease; }
    Task<bool> renewLease(LeaseId) { co_return false; }
    Task<> revokeLease(LeaseId) { co_return; }
    Task<bool> awaitChange(std::string, Revision, Milliseconds) { co_return false; }

    bool loseAnswer = false;
    bool loseRequest = false;
    int writes = 0;

private:
    std::optional<StoreEntry> m_entry;
};

static_assert(Store<FlakyStore>);

CompareAndSwapResult swapOnce(asio::io_context &context, FlakyStore &store,
                              std::int64_t modRevision, const std::string &value)
{
    CompareAndSwapResult result;
    runTask(context,
            [](FlakyStore &flaky, std::vector<ConditionalPut> conditionalPuts,
               CompareAndSwapResult &out) -> Task<> {
                out = co_await compareAndSwapWithReadBack(flaky, std::move(conditionalPuts));
            }(store, {{"k", Revision(modRevision), value}}, result));
    return result;
}

} // namespace

class StoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(encodesBase64);
    CPPUNIT_TEST(prefixesEnd);
    CPPUNIT_TEST(lostAnswerIsReadBack);
    CPPUNIT_TEST(lostRequestIsNotTakenForDone);
    CPPUNIT_TEST(readsTheGatewaysAnswers);
    CPPUNIT_TEST(readsGoToTheNextEndpoint);
    CPPUNIT_TEST(malformedAnswersAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void encodesBase64()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYg=="), encodeBase64("foob"));
        CPPUNIT_ASSERT_EQUAL(std::string("foob"), decodeBase64("Zm9vYg=="));
        CPPUNIT_ASSERT_EQUAL(std::string(), decodeBase64(encodeBase64("")));
        CPPUNIT_ASSERT_THROW(decodeBase64("***"), StoreProtocolError);
    }

    void prefixesEnd()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/b"), prefixEnd("/a"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), prefixEnd("a\xff"));
        CPPUNIT_ASSERT_EQUAL(std::string(1, '\0'), prefixEnd("\xff"));
    }

    void lostAnswerIsReadBack()
    {
        FlakyStore store;
        store.loseAnswer = true;
        CPPUNIT_ASSERT(swapOnce(m_context, store, 0, "a").swapped);
        CPPUNIT_ASSERT_EQUAL(1, store.writes);
        // Another writer was faster, and the answer that says so is lost.
        CPPUNIT_ASSERT(!swapOnce(m_context, store, 0, "b").swapped);
        CPPUNIT_ASSERT_EQUAL(1, store.writes);
    }

    void lostRequestIsNotTakenForDone()
    {
        FlakyStore store;
        store.loseRequest = true;
        CPPUNIT_ASSERT(!swapOnce(m_context, store, 0, "a").swapped);
    }

    void readsTheGatewaysAnswers()
    {
        std::string asked;
        HttpServer server(m_context.get_executor(), anyPort,
                          [&asked](HttpServerRequest call) -> Task<HttpServerResponse> {
                              asked = call.body;
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
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"L2E=","range_end":"L2I="})"), asked);
    }

    void readsGoToTheNextEndpoint()
    {
        HttpServer down(m_context.get_executor(), anyPort,
                        [](HttpServerRequest) -> Task<HttpServerResponse> {
                            co_return HttpServerResponse{503, "text/plain", "down"};
                        });
        HttpServer up(m_context.get_executor(), anyPort,
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

    void malformedAnswersAreErrors()
    {
        for (const std::string answer :
             {"", "[]", "{}", R"({"header":1})", R"({"header":{"revision":"x"}})",
              R"({"header":{"revision":"1"},"kvs":[1]})",
              R"({"header":{"revision":"1"},"kvs":[{"key":"*"}]})"}) {
            HttpServer server(m_context.get_executor(), anyPort,
                              [answer](HttpServerRequest) -> Task<HttpServerResponse> {
                                  co_return HttpServerResponse{200, "application/json", answer};
                              });
            bool refused = false;
            runTask(m_context, [](EtcdStore store, bool &result) -> Task<> {
                try {
                    co_await store.list("/a");
                } catch (const StoreProtocolError &) {
                    result = true;
                }
            }(makeStore({server.localAddress()}), refused));
            CPPUNIT_ASSERT_MESSAGE(answer, refused);
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
