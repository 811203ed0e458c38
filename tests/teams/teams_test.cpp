#include "endivedock/teams.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class TeamDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TeamDirectoryTest);
    CPPUNIT_TEST(eachKeyOfATeamNamesIt);
    CPPUNIT_TEST(otherTextsNameNoTeam);
    CPPUNIT_TEST(aTeamWithoutKeysStillMakesKeysNecessary);
    CPPUNIT_TEST(digestsAndTagsDoNotShowTheKey);
    CPPUNIT_TEST(keysOfTwoTeamsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachKeyOfATeamNamesIt()
    {
        const TeamDirectory teams({{{TeamId("a"), 1}, {"k1", "k2"}}, {{TeamId("b"), {}}, {"k3"}}});
        CPPUNIT_ASSERT(teams.find("k1")->id == TeamId("a"));
        CPPUNIT_ASSERT(teams.find("k2")->id == TeamId("a"));
        CPPUNIT_ASSERT(teams.find("k2")->rank == 1);
        CPPUNIT_ASSERT(teams.find("k3")->id == TeamId("b"));
        CPPUNIT_ASSERT(!teams.find("k3")->rank);
    }

    void otherTextsNameNoTeam()
    {
        const TeamDirectory teams({{{TeamId("a"), {}}, {"key"}}});
        for (const std::string_view text : {"", "ke", "key ", "keyy", "KEY", "a"})
            CPPUNIT_ASSERT(teams.find(text) == nullptr);
        CPPUNIT_ASSERT(TeamDirectory().find("key") == nullptr);
    }

    void aTeamWithoutKeysStillMakesKeysNecessary()
    {
        CPPUNIT_ASSERT(TeamDirectory().empty());
        const std::vector<TeamKeys> teams{{{TeamId("a"), {}}, {}}};
        CPPUNIT_ASSERT(!TeamDirectory(teams).empty());
    }

    void digestsAndTagsDoNotShowTheKey()
    {
        const std::string key = drawKey();
        CPPUNIT_ASSERT_EQUAL(std::size_t(64), key.size());
        CPPUNIT_ASSERT(key != drawKey());
        CPPUNIT_ASSERT(isDigest(digestOf(key)) && digestOf(key) != key);
        CPPUNIT_ASSERT(!isDigest("k") && !isDigest(std::string(64, 'X')));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), TeamDirectory::tagOf(key).size());
        CPPUNIT_ASSERT(TeamDirectory::tagOf(key) != TeamDirectory::tagOf("k"));
        const TeamDirectory teams({{{TeamId("a"), {}}, {digestOf(key)}}}, KeyForm::Digest);
        CPPUNIT_ASSERT(teams.find(key)->id == TeamId("a"));
        CPPUNIT_ASSERT(teams.find(digestOf(key)) == nullptr);
    }

    void keysOfTwoTeamsAreRefused()
    {
        CPPUNIT_ASSERT_THROW(
                TeamDirectory({{{TeamId("a"), {}}, {"k"}}, {{TeamId("b"), {}}, {"k"}}}),
                TeamKeyError);
        CPPUNIT_ASSERT_THROW(TeamDirectory({{{TeamId("a"), {}}, {""}}}), TeamKeyError);
        CPPUNIT_ASSERT(TeamDirectory({{{TeamId("a"), {}}, {"k", "k"}}}).find("k") != nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamDirectoryTest);
