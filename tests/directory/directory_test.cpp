#include "endivedock/directory.h"

#include "../net_support.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;
using endivedock::testing::runTask;

class DirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(parsesAListing);
    CPPUNIT_TEST(rejectsAnInvalidListing);
    CPPUNIT_TEST(outageIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    void parsesAListing()
    {
        const DirectoryListing listing = parseDirectoryListing(
                R"({"hosts":[{"host":3,"region":"n","zone":"a","address":"127.0.0.1:7","state":"live",
                    "addedLater":1}],
                    "targets":[{"target":"t","service":"b/q","address":"127.0.0.1:8","zone":"b",
                    "version":"v2","state":"leaving"}]})");
        CPPUNIT_ASSERT(listing.hosts.at(0).id == HostId(3));
        CPPUNIT_ASSERT(listing.targets.at(0).state == ListedState::Leaving);
        CPPUNIT_ASSERT(listing.targets.at(0).version == VersionId("v2"));
    }

    void rejectsAnInvalidListing()
    {
        CPPUNIT_ASSERT_THROW(parseDirectoryListing("{}"), JsonError);
        CPPUNIT_ASSERT_THROW(parseDirectoryListing(R"({"hosts":[],"targets":[{"target":"t"}]})"),
                             JsonError);
    }

    void outageIsAnError()
    {
        HttpServer server(m_context.get_executor(), anyLoopbackAddress,
                          [](HttpServerRequest) -> Task<HttpServerResponse> {
                              co_return HttpServerResponse{503, "text/plain", ""};
                          });
        bool failed = false;
        runTask(m_context,
                [](HttpDirectory directory, bool &result) -> Task<> {
                    try {
                        co_await directory.list();
                    } catch (const DirectoryError &) {
                        result = true;
                    }
                }(HttpDirectory(m_context.get_executor(), server.localAddress(),
                                                          Milliseconds(5000)),
                                                          failed));
        CPPUNIT_ASSERT(failed);
    }

private:
    asio::io_context m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);
