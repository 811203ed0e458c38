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
        const Sealer sealer({m_one});
        const std::string sealed = sealer.seal("hello");
        CPPUNIT_ASSERT_EQUAL(5 + Sealer::overheadBytes, sealed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), *sealer.open(sealed));
        CPPUNIT_ASSERT(sealer.seal("hello") != sealed);
    }

    void refusesOtherKeysAndChangedBytes()
    {
        const Sealer sealer({m_one});
        std::string sealed = sealer.seal("hello");
        CPPUNIT_ASSERT(!Sealer({m_two}).open(sealed));
        for (std::size_t i = 0; i < sealed.size(); ++i) {
            sealed[i] = static_cast<char>(sealed[i] ^ 1);
            CPPUNIT_ASSERT(!sealer.open(sealed));
            sealed[i] = static_cast<char>(sealed[i] ^ 1);
        }
        CPPUNIT_ASSERT(!sealer.open(sealed.substr(0, 10)));
    }

    void keysCanBeRotated()
    {
        const Sealer before({m_one});
        const Sealer during({m_two, m_one});
        CPPUNIT_ASSERT(during.open(before.seal("x")));
        CPPUNIT_ASSERT(!before.open(during.seal("x")));
        CPPUNIT_ASSERT(Sealer({m_one, m_two}).open(during.seal("x")));
    }

    void invalidKeysKeepPreviousKeys()
    {
        Sealer sealer({m_one});
        CPPUNIT_ASSERT_THROW(sealer.setKeys({m_two, "short"}), KeyError);
        CPPUNIT_ASSERT_THROW(sealer.setKeys({}), KeyError);
        CPPUNIT_ASSERT(sealer.open(Sealer({m_one}).seal("x")));
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
    bool accept(std::uint64_t sequence, std::uint64_t life = 1)
    {
        return m_window.accept(HostId(1), Incarnation(life), sequence);
    }

    ReplayWindow m_window;
    std::string m_one = std::string(64, '1');
    std::string m_two = std::string(64, '2');
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);
