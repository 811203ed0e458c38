#include "endivedock/json.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

namespace endivedock {

JsonError::JsonError(std::string document, std::string pointer, std::string expected)
    : Error(document + ": " + (pointer.empty() ? "/" : pointer) + ": expected " + expected)
    , m_document(std::move(document))
    , m_pointer(std::move(pointer))
    , m_expected(std::move(expected))
{
}

JsonNode::JsonNode(const boost::json::value &value, std::string document, std::string pointer)
    : m_value(&value)
    , m_document(std::move(document))
    , m_pointer(std::move(pointer))
{
}

void JsonNode::fail(const std::string &expected) const
{
    throw JsonError(m_document, m_pointer, expected);
}

const boost::json::object &JsonNode::object() const
{
    if (!m_value->is_object())
        fail("an object");
    return m_value->get_object();
}

void JsonNode::expectOnlyFields(std::initializer_list<std::string_view> fields) const
{
    for (const auto &member : object()) {
        const std::string_view name(member.key().data(), member.key().size());
        if (std::find(fields.begin(), fields.end(), name) != fields.end())
            continue;
        std::string known;
        for (const auto field : fields)
            known += (known.empty() ? "" : ", ") + std::string(field);
        throw JsonError(m_document, m_pointer + "/" + std::string(name),
                        "no such field; known fields are " + known);
    }
}

bool JsonNode::has(std::string_view field) const
{
    return object().contains(field);
}

JsonNode JsonNode::at(std::string_view field) const
{
    const auto *value = object().if_contains(field);
    std::string pointer = m_pointer + "/" + std::string(field);
    if (value == nullptr)
        throw JsonError(m_document, pointer, "a value; the field is missing");
    return JsonNode(*value, m_document, std::move(pointer));
}

std::vector<JsonNode> JsonNode::list(std::string_view field) const
{
    const JsonNode node = at(field);
    if (!node.m_value->is_array())
        node.fail("an array");
    std::vector<JsonNode> elements;
    for (const auto &element : node.m_value->get_array())
        elements.emplace_back(element, m_document,
                              node.m_pointer + "/" + std::to_string(elements.size()));
    return elements;
}

std::vector<JsonNode> JsonNode::listOrEmpty(std::string_view field) const
{
    return has(field) ? list(field) : std::vector<JsonNode>{};
}

std::string JsonNode::asString() const
{
    if (!m_value->is_string())
        fail("a string");
    const auto &text = m_value->get_string();
    return std::string(text.data(), text.size());
}

std::vector<std::pair<std::string, JsonNode>> JsonNode::members() const
{
    std::vector<std::pair<std::string, JsonNode>> result;
    for (const auto &member : object()) {
        const std::string name(member.key().data(), member.key().size());
        result.emplace_back(name, JsonNode(member.value(), m_document, m_pointer + "/" + name));
    }
    return result;
}

std::string JsonNode::string(std::string_view field) const
{
    std::string text = at(field).asString();
    if (text.empty())
        at(field).fail("a non-empty string");
    return text;
}

std::string JsonNode::stringOr(std::string_view field, std::string_view defaultValue) const
{
    return has(field) ? string(field) : std::string(defaultValue);
}

std::int64_t JsonNode::integer(std::string_view field, IntegerRange range) const
{
    const JsonNode node = at(field);
    const std::string expected = "an integer from " + std::to_string(range.lowest) + " to " +
                                 std::to_string(range.highest);
    if (!node.m_value->is_int64())
        node.fail(expected);
    const std::int64_t number = node.m_value->get_int64();
    if (number < range.lowest || number > range.highest)
        node.fail(expected);
    return number;
}

std::int64_t JsonNode::integerOr(std::string_view field, IntegerRange range,
                                 std::int64_t defaultValue) const
{
    return has(field) ? integer(field, range) : defaultValue;
}

double JsonNode::fractionOr(std::string_view field, FractionRange range, double defaultValue) const
{
    if (!has(field))
        return defaultValue;
    const JsonNode node = at(field);
    const std::string expected = "a number from " + std::to_string(range.lowest) + " to " +
                                 std::to_string(range.highest);
    if (!node.m_value->is_number())
        node.fail(expected);
    const double number = node.m_value->to_number<double>();
    if (!(number >= range.lowest && number <= range.highest))
        node.fail(expected);
    return number;
}

bool JsonNode::booleanOr(std::string_view field, bool defaultValue) const
{
    if (!has(field))
        return defaultValue;
    const JsonNode node = at(field);
    if (!node.m_value->is_bool())
        node.fail("true or false");
    return node.m_value->get_bool();
}

boost::json::value parseJson(std::string_view text, const std::string &document)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    if (error)
        throw JsonError(document, "", "one JSON value: " + error.message());
    return value;
}

} // namespace endivedock
