#include "endivedock/control.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

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
    CPPUNIT_TEST_SUITE_END();

public:
    void diffComparesJsonValues()
    {
        StoreSnapshot present{Revision(5), {}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, diffDeclarations(present, desired()).size());
        const std::string sameValue = "{ \"slots\": 4, \"template\": \"archive\" }";
        present.entries.push_back({templateKey(TemplateId("archive")), sameValue, Revision(3)});
        present.entries.push_back(
                {teamParametersKey(TeamId("bergvik")), bergvikParameters, Revision(4)});
        CPPUNIT_ASSERT(diffDeclarations(present, desired()).empty());
    }

    void changeIsValidatedAsAWhole()
    {
        const StoreSnapshot empty{Revision(5), {}};
        validateChange(empty, desired());
        CPPUNIT_ASSERT_THROW(validateChange(empty, {desired().back()}), ChangeError);
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
