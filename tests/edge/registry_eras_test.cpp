#include "registry_entries.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;
using namespace endivedock::testing;

namespace {

Revision first(std::int64_t number)
{
    return makeRevision(StoreEra(1), number);
}

Revision second(std::int64_t number)
{
    return makeRevision(StoreEra(2), number);
}

} // namespace

/** A store comes back at revision 10 of era 2, after revision 20 of era 1. */
class RegistryErasTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistryErasTest);
    CPPUNIT_TEST(revisionsAreOrderedByEraFirst);
    CPPUNIT_TEST(whatIsWrittenAfterTheReturnIsFollowed);
    CPPUNIT_TEST(changesOfTheEarlierEraAreIgnored);
    CPPUNIT_TEST(aNewerConfigurationStaysInForce);
    CPPUNIT_TEST(drainingTargetsStayDraining);
    CPPUNIT_TEST(targetsThatHadLeftDoNotReturn);
    CPPUNIT_TEST(lostTargetsAreRetained);
    CPPUNIT_TEST(lostEvacuationsAndOrdersAreRetained);
    CPPUNIT_TEST(anOrderThatIsWrittenAgainIsTheSameOrder);
    CPPUNIT_TEST(lostEntriesOfHostsAreWrittenAgain);
    CPPUNIT_TEST(removalsAfterTheReturnAreFollowed);
    CPPUNIT_TEST(hostsThatWereAheadRequestAllEntries);
    CPPUNIT_TEST(otherHostsFollowByDeltas);
    CPPUNIT_TEST_SUITE_END();

public:
    void revisionsAreOrderedByEraFirst()
    {
        CPPUNIT_ASSERT(second(1) > first(maxRevisionNumber));
        CPPUNIT_ASSERT(first(1) > makeRevision(StoreEra(0), maxRevisionNumber));
        const Revision largest = makeRevision(StoreEra(maxStoreEra), maxRevisionNumber);
        CPPUNIT_ASSERT(largest.value() > 0);
        CPPUNIT_ASSERT(eraOf(largest) == StoreEra(maxStoreEra));
        CPPUNIT_ASSERT_EQUAL(maxRevisionNumber, numberOf(largest));
    }

    void whatIsWrittenAfterTheReturnIsFollowed()
    {
        write(5, "config", "3");
        write(20, "target:a", "quotes");
        comeBack({{"config", "3", second(5)}});
        CPPUNIT_ASSERT(m_registry.revision() == second(10));
        writeAgain(11, "config", "4");
        CPPUNIT_ASSERT(m_registry.table()->version() == ConfigurationVersion(4));
    }

    void changesOfTheEarlierEraAreIgnored()
    {
        write(5, "config", "3");
        comeBack({{"config", "3", second(5)}});
        CPPUNIT_ASSERT(!m_registry.applySnapshot({first(30), {}}, m_now));
        write(31, "target:a", "quotes");
        RegistryDelta delta;
        delta.from = first(5);
        delta.revision = first(40);
        delta.entries = {{"target:b", "quotes", first(40)}};
        CPPUNIT_ASSERT(m_registry.applyDelta(delta, m_now));
        CPPUNIT_ASSERT(m_registry.targetsOf(ServiceId("quotes")).empty());
        CPPUNIT_ASSERT(m_registry.revision() == second(10));
    }

    /** Also for hosts that start after the return and get their copy from this one. */
    void aNewerConfigurationStaysInForce()
    {
        write(5, "config", "3");
        write(12, "config", "7");
        comeBack({{"config", "3", second(5)}});
        CPPUNIT_ASSERT(m_registry.table()->version() == ConfigurationVersion(7));
        Registry other(&parseEntry);
        CPPUNIT_ASSERT(other.applyDelta(m_registry.deltaSince(Revision(0), m_now), m_now));
        CPPUNIT_ASSERT(other.table()->version() == ConfigurationVersion(7));
        writeAgain(11, "config", "8");
        CPPUNIT_ASSERT(m_registry.table()->version() == ConfigurationVersion(8));
    }

    void drainingTargetsStayDraining()
    {
        write(5, "target:a", "quotes#4");
        write(12, "target:a", "quotes#6 draining");
        comeBack({{"target:a", "quotes#4", second(5)}});
        CPPUNIT_ASSERT(m_registry.targetsOf(ServiceId("quotes")).front().isDraining);
        writeAgain(11, "target:a", "quotes#7");
        CPPUNIT_ASSERT(!m_registry.targetsOf(ServiceId("quotes")).front().isDraining);
    }

    void targetsThatHadLeftDoNotReturn()
    {
        write(5, "target:a", "quotes#4");
        write(6, "target:b", "quotes#4");
        write(12, "target:a", "quotes#6 draining");
        write(13, "target:a", std::nullopt);
        write(14, "target:b", std::nullopt);
        comeBack({{"target:a", "quotes#4", second(5)}, {"target:b", "quotes#4", second(6)}});
        CPPUNIT_ASSERT(m_registry.targetsOf(ServiceId("quotes")).empty());
        writeAgain(11, "target:b", "quotes#5");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.targetsOf(ServiceId("quotes")).size());
    }

    void lostTargetsAreRetained()
    {
        write(12, "target:a", "quotes#1");
        write(13, "target:b", "quotes#1 draining");
        comeBack({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.targetsOf(ServiceId("quotes")).size());
        m_now += Registry::expiredTargetRetention;
        m_registry.removeExpiredEntries(m_now);
        CPPUNIT_ASSERT(m_registry.targetsOf(ServiceId("quotes")).empty());
    }

    void lostEvacuationsAndOrdersAreRetained()
    {
        write(12, "zone:a", "");
        write(13, "order:quotes", "v2");
        comeBack({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.evacuatedZones().size());
        CPPUNIT_ASSERT(m_registry.rolloutOrder(ServiceId("quotes")));
        m_now += Registry::lostEntryRetention;
        m_registry.removeExpiredEntries(m_now);
        CPPUNIT_ASSERT(m_registry.evacuatedZones().empty());
        CPPUNIT_ASSERT(!m_registry.rolloutOrder(ServiceId("quotes")));
    }

    void anOrderThatIsWrittenAgainIsTheSameOrder()
    {
        write(13, "order:quotes", "v2");
        comeBack({});
        writeAgain(11, "order:quotes", "v2");
        CPPUNIT_ASSERT(m_registry.rolloutOrder(ServiceId("quotes"))->revision == first(13));
        m_now += Registry::lostEntryRetention;
        m_registry.removeExpiredEntries(m_now);
        CPPUNIT_ASSERT(m_registry.rolloutOrder(ServiceId("quotes")));
        writeAgain(12, "order:quotes", "v3");
        CPPUNIT_ASSERT(m_registry.rolloutOrder(ServiceId("quotes"))->revision == second(12));
    }

    void lostEntriesOfHostsAreWrittenAgain()
    {
        write(4, "host:b", "1");
        write(5, "status:quotes", "v2");
        write(12, "status:quotes", "v2 done");
        write(13, "host:a", "1");
        comeBack({{"host:b", "1", second(4)}, {"status:quotes", "v2", second(5)}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_registry.hosts().size());
        CPPUNIT_ASSERT(m_registry.rolloutStatus(ServiceId("quotes"))->state == RolloutState::Done);
        const auto lost = m_registry.lostEntries(9);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), lost.size());
        CPPUNIT_ASSERT(lost[0].key == "host:a" && lost[0].modRevision == Revision(0));
        CPPUNIT_ASSERT(lost[1].key == "status:quotes" && lost[1].value == "v2 done" &&
                       lost[1].modRevision == second(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.lostEntries(1).size());
        writeAgain(11, "host:a", "1");
        writeAgain(12, "status:quotes", "v2 done");
        CPPUNIT_ASSERT(m_registry.lostEntries(9).empty());
        writeAgain(13, "status:quotes", "v2");
        CPPUNIT_ASSERT(m_registry.rolloutStatus(ServiceId("quotes"))->state ==
                       RolloutState::Running);
    }

    void removalsAfterTheReturnAreFollowed()
    {
        write(5, "zone:a", "");
        write(6, "target:a", "quotes");
        comeBack({{"zone:a", "", second(5)}, {"target:a", "quotes", second(6)}});
        m_now += Seconds(3);
        writeAgain(11, "zone:a", std::nullopt);
        writeAgain(12, "target:a", std::nullopt);
        CPPUNIT_ASSERT(m_registry.evacuatedZones().empty());
        CPPUNIT_ASSERT(m_registry.targetsOf(ServiceId("quotes")).empty());
    }

    /**
     * An entry that another host saw change may have gone back to what the reader knew all along.
     */
    void hostsThatWereAheadRequestAllEntries()
    {
        Registry ahead(&parseEntry);
        write(5, "target:a", "quotes#1");
        ahead.applyDelta(m_registry.deltaSince(Revision(0), m_now), m_now);
        ahead.applyChanges({first(6), {{"target:a", "orders#2", first(6)}}}, m_now);
        comeBack({{"target:a", "quotes#1", second(5)}});
        CPPUNIT_ASSERT(ahead.requestRevision() == first(6));
        CPPUNIT_ASSERT(!ahead.applyDelta(m_registry.deltaSince(first(6), m_now), m_now));
        CPPUNIT_ASSERT(ahead.requestRevision() == Revision(0));
        CPPUNIT_ASSERT(ahead.applyDelta(m_registry.deltaSince(Revision(0), m_now), m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ahead.targetsOf(ServiceId("quotes")).size());
        CPPUNIT_ASSERT(ahead.requestRevision() == second(10));
    }

    void otherHostsFollowByDeltas()
    {
        Registry other(&parseEntry);
        write(5, "target:a", "quotes#1");
        write(12, "host:a", "1");
        write(13, "zone:a", "");
        other.applyDelta(m_registry.deltaSince(Revision(0), m_now), m_now);
        comeBack({{"target:a", "quotes#1", second(5)}});
        const RegistryDelta delta = m_registry.deltaSince(first(13), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), delta.entries.size());
        CPPUNIT_ASSERT(other.applyDelta(delta, m_now));
        CPPUNIT_ASSERT(other.revision() == second(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.hosts().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.evacuatedZones().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.targetsOf(ServiceId("quotes")).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.lostEntries(9).size());
    }

private:
    void write(std::int64_t number, const std::string &key, std::optional<std::string> value)
    {
        m_registry.applyChanges({first(number), {{key, std::move(value), first(number)}}}, m_now);
    }

    void writeAgain(std::int64_t number, const std::string &key, std::optional<std::string> value)
    {
        m_registry.applyChanges({second(number), {{key, std::move(value), second(number)}}}, m_now);
    }

    void comeBack(std::vector<StoreEntry> entries)
    {
        CPPUNIT_ASSERT(m_registry.applySnapshot({second(10), std::move(entries)}, m_now));
    }

    TimePoint m_now{Seconds(1000)};
    Registry m_registry{&parseEntry};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryErasTest);
