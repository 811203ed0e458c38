#include "endivedock/control.h"

#include "../net_support.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using endivedock::testing::anyLoopbackAddress;
using endivedock::testing::runTask;

namespace {

const std::string archiveTemplate = R"({"template":"archive","slots":4})";
const std::string bergvikParameters =
        R"({"tenant":"bergvik","zones":["a"],"services":[{"service":"q","template":"archive"}]})";

std::vector<Declaration> desired()
{
    return {{templateKey(TemplateId("archive")), archiveTemplate, "a.json"},
            {teamParametersKey(TeamId("bergvik")), bergvikParameters, "b.json"}};
}

} // namespace

class ControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlTest);
    CPPUNIT_TEST(diffComparesJsonValues);
    CPPUNIT_TEST(changeIsValidatedAsAWhole);
    CPPUNIT_TEST(unresponsiveHostsCountAsLagging);
    CPPUNIT_TEST(pageOfAFailedRequestIsNotRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void diffComparesJsonValues()
    {
        StoreSnapshot current{Revision(5), {}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, diffDeclarations(current, desired()).size());
        const std::string sameValue = "{ \"slots\": 4, \"template\": \"archive\" }";
        current.entries.push_back({templateKey(TemplateId("archive")), sameValue, Revision(3)});
        current.entries.push_back(
                {teamParametersKey(TeamId("bergvik")), bergvikParameters, Revision(4)});
        CPPUNIT_ASSERT(diffDeclarations(current, desired()).empty());
    }

    void changeIsValidatedAsAWhole()
    {
        const StoreSnapshot empty{Revision(5), {}};
        validateChange(empty, desired());
        CPPUNIT_ASSERT_THROW(validateChange(empty, {desired().back()}), ChangeError);
    }

    void pageOfAFailedRequestIsNotRead()
    {
        for (const unsigned status : {200u, 503u}) {
            asio::io_context context;
            HttpServer admin(
                    context.get_executor(), anyLoopbackAddress,
                    [status](HttpServerRequest) -> Task<HttpServerResponse> {
                        co_return HttpServerResponse{status, "application/json", R"({"hosts":[]})"};
                    });
            std::string error;
            runTask(context,
                    [](asio::any_io_executor executor, Address address,
                       std::string &result) -> Task<> {
                        try {
                            co_await readFleet(executor, address);
                        } catch (const HttpError &caught) {
                            result = caught.what();
                        }
                    }(context.get_executor(), admin.localAddress(), error));
            CPPUNIT_ASSERT_EQUAL(status == 200, error.empty());
        }
    }

    void unresponsiveHostsCountAsLagging()
    {
        const std::vector<FleetMember> fleet{
                {HostId(1), "a", "live", Revision(7), Milliseconds(0)},
                {HostId(2), "b", "suspect", Revision(6), Milliseconds(3000)},
                {HostId(3), "c", "dead", Revision(1), Milliseconds(9000)}};
        CPPUNIT_ASSERT(!checkPropagation(fleet, Revision(7)).isComplete());
        CPPUNIT_ASSERT(checkPropagation(fleet, Revision(7)).laggingHosts.at(0) == HostId(2));
        CPPUNIT_ASSERT(checkPropagation(fleet, Revision(6)).isComplete());
        CPPUNIT_ASSERT(!checkPropagation({}, Revision(0)).isComplete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);
