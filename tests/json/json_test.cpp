#include "endivedock/json.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace endivedock;

class JsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(errorsNamePointerAndExpectation);
    CPPUNIT_TEST(readsPresentFields);
    CPPUNIT_TEST_SUITE_END();

public:
    void errorsNamePointerAndExpectation()
    {
        const auto value = parseJson(R"({"a":{"b":[1,"x"]},"n":1.5})", "doc");
        const JsonNode node(value, "doc");
        try {
            node.at("a").list("b")[1].expectOnlyFields({});
            CPPUNIT_FAIL("a string was accepted as an object");
        } catch (const JsonError &error) {
            CPPUNIT_ASSERT_EQUAL(std::string("/a/b/1"), error.pointer());
            CPPUNIT_ASSERT_EQUAL(std::string("an object"), error.expected());
        }
        CPPUNIT_ASSERT_THROW(node.integer("n", {0, 9}), JsonError);
        CPPUNIT_ASSERT_THROW(node.string("missing"), JsonError);
        CPPUNIT_ASSERT_THROW(node.fractionOr("n", {0, 1}, 0), JsonError);
    }

    void readsPresentFields()
    {
        const auto value = parseJson(R"({"s":"x","i":7,"f":0.5,"b":true,"l":[]})", "doc");
        const JsonNode node(value, "doc");
        CPPUNIT_ASSERT_EQUAL(std::string("x"), node.string("s"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, node.integer("i", {7, 7}));
        CPPUNIT_ASSERT_EQUAL(0.5, node.fractionOr("f", {0, 1}, 0));
        CPPUNIT_ASSERT(node.booleanOr("b", false));
        CPPUNIT_ASSERT(node.list("l").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("z"), node.stringOr("none", "z"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);
