#include "endivedock/peers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class PeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeersTest);
    CPPUNIT_TEST(opensSealedMessages);
    CPPUNIT_TEST(refusesOtherKeysAndChangedBytes);
    CPPUNIT_TEST(keysCanBeRotated);
    CPPUNIT_TEST(invalidKeysKeepPreviousKeys);
    CPPUNIT_TEST(refusesReplays);
    CPPUNIT_TEST(acceptsReorderedMessages);
    CPPUNIT_TEST(refusesEarlierIncarnations);
    CPPUNIT_TEST_SUITE_END();

public:
    void opensSealedMessages()
    {
        const Sealer sealer({m_firstKey});
        const std::string sealed = sealer.seal("hello");
        CPPUNIT_ASSERT_EQUAL(5 + Sealer::overheadBytes, sealed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), *sealer.open(sealed));
        CPPUNIT_ASSERT(sealer.seal("hello") != sealed);
    }

    void refusesOtherKeysAndChangedBytes()
    {
        const Sealer sealer({m_firstKey});
        std::string sealed = sealer.seal("hello");
        CPPUNIT_ASSERT(!Sealer({m_secondKey}).open(sealed));
        for (std::size_t i = 0; i < sealed.size(); ++i) {
            sealed[i] = static_cast<char>(sealed[i] ^ 1);
            CPPUNIT_ASSERT(!sealer.open(sealed));
            sealed[i] = static_cast<char>(sealed[i] ^ 1);
        }
        CPPUNIT_ASSERT(!sealer.open(sealed.substr(0, 10)));
    }

    void keysCanBeRotated()
    {
        const Sealer beforeRotation({m_firstKey});
        const Sealer duringRotation({m_secondKey, m_firstKey});
        CPPUNIT_ASSERT(duringRotation.open(beforeRotation.seal("x")));
        CPPUNIT_ASSERT(!beforeRotation.open(duringRotation.seal("x")));
        CPPUNIT_ASSERT(Sealer({m_firstKey, m_secondKey}).open(duringRotation.seal("x")));
    }

    void invalidKeysKeepPreviousKeys()
    {
        Sealer sealer({m_firstKey});
        CPPUNIT_ASSERT_THROW(sealer.setKeys({m_secondKey, "short"}), KeyError);
        CPPUNIT_ASSERT_THROW(sealer.setKeys({}), KeyError);
        CPPUNIT_ASSERT(sealer.open(Sealer({m_firstKey}).seal("x")));
    }

    void refusesReplays()
    {
        CPPUNIT_ASSERT(accept(1));
        CPPUNIT_ASSERT(!accept(1));
        CPPUNIT_ASSERT(accept(5000));
        CPPUNIT_ASSERT(!accept(5000));
        CPPUNIT_ASSERT(!accept(5000 - ReplayWindow::windowSize));
    }

    void acceptsReorderedMessages()
    {
        Random random(3);
        std::vector<std::uint64_t> numbers;
        for (std::uint64_t i = 1; i <= 20'000; ++i)
            numbers.push_back(i);
        for (std::size_t i = 0; i + 100 < numbers.size(); ++i)
            std::swap(numbers[i], numbers[i + drawBelow(random, 100)]);
        for (const auto number : numbers)
            CPPUNIT_ASSERT(accept(number));
        for (const auto number : numbers)
            CPPUNIT_ASSERT(!accept(number));
    }

    void refusesEarlierIncarnations()
    {
        CPPUNIT_ASSERT(accept(1, 2));
        CPPUNIT_ASSERT(!accept(2, 1));
        CPPUNIT_ASSERT(accept(1, 3));
    }

private:
    bool accept(std::uint64_t sequence, std::uint64_t incarnation = 1)
    {
        return m_window.accept(HostId(1), Incarnation(incarnation), sequence);
    }

    ReplayWindow m_window;
    std::string m_firstKey = std::string(64, '1');
    std::string m_secondKey = std::string(64, '2');
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);
