#pragma once

#include "endivedock/core.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace endivedock {

/**
 * A document or one of its values is invalid. Holds the name of the document, the JSON pointer of
 * the value, and a phrase for the expected value.
 */
class JsonError : public Error
{
public:
    JsonError(std::string document, std::string pointer, std::string expected);

    const std::string &document() const { return m_document; }
    const std::string &pointer() const { return m_pointer; }
    const std::string &expected() const { return m_expected; }

private:
    std::string m_document;
    std::string m_pointer;
    std::string m_expected;
};

/** Bounds of an integer field, both included. */
struct IntegerRange
{
    std::int64_t lowest;
    std::int64_t highest;
};

/** Bounds of a fraction field, both included. */
struct FractionRange
{
    double lowest;
    double highest;
};

/**
 * One value of a JSON document, with strict accessors: wrong types and values out of range are
 * errors, and expectOnlyFields() rejects unknown fields. Refers to the parsed document, which must
 * outlive the node.
 */
class JsonNode
{
public:
    /**
     * @param document  name of the document in error messages
     * @param pointer   JSON pointer of @p value in the document
     */
    JsonNode(const boost::json::value &value, std::string document, std::string pointer = "");

    /** @throws JsonError if the value is not an object or has a field that is not in @p fields */
    void expectOnlyFields(std::initializer_list<std::string_view> fields) const;

    bool has(std::string_view field) const;
    /**
     * @return the value of @p field
     * @throws JsonError if the field is missing; list(), string() and integer() throw it as well
     */
    JsonNode at(std::string_view field) const;
    std::vector<JsonNode> list(std::string_view field) const;
    /** @return the elements of @p field; empty if the field is absent */
    std::vector<JsonNode> listOrEmpty(std::string_view field) const;

    /** @return the string in @p field; @throws JsonError if the string is empty */
    std::string string(std::string_view field) const;
    std::string stringOr(std::string_view field, std::string_view defaultValue) const;
    std::int64_t integer(std::string_view field, IntegerRange range) const;
    std::int64_t integerOr(std::string_view field, IntegerRange range,
                           std::int64_t defaultValue) const;
    double fractionOr(std::string_view field, FractionRange range, double defaultValue) const;
    bool booleanOr(std::string_view field, bool defaultValue) const;

    /** @return the value as a string; @throws JsonError if the value is not a string */
    std::string asString() const;
    /** @return the members of the object; @throws JsonError if the value is not an object */
    std::vector<std::pair<std::string, JsonNode>> members() const;

    /** @throws JsonError for the value, always */
    [[noreturn]] void fail(const std::string &expected) const;

private:
    const boost::json::object &object() const;

    const boost::json::value *m_value;
    std::string m_document;
    std::string m_pointer;
};

/**
 * Parses JSON text.
 *
 * @param document  name of the document in error messages
 * @throws JsonError if the text is not one JSON value
 */
boost::json::value parseJson(std::string_view text, const std::string &document);

} // namespace endivedock
