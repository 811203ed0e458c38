#include "endivedock/gateway/http_message.h"

#include <algorithm>
#include <charconv>

namespace endivedock {

namespace {

constexpr std::string_view textFormatPrefix = "TEXT ";
constexpr std::string_view inFlightMetric = "named_metrics.in_flight=";

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

template <typename T>
std::optional<T> parseNumber(std::string_view text)
{
    T number{};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc{})
        return std::nullopt;
    return number;
}

/** @return the in-flight requests in a load report of the form "TEXT name=value, name=value" */
std::optional<Slots> parseInFlight(std::string_view report)
{
    if (!report.starts_with(textFormatPrefix))
        return std::nullopt;
    const std::size_t found = report.find(inFlightMetric);
    if (found == std::string_view::npos)
        return std::nullopt;
    const auto number = parseNumber<int>(report.substr(found + inFlightMetric.size()));
    if (!number || *number < 0)
        return std::nullopt;
    return Slots(*number);
}

} // namespace

bool isNamed(const HeaderField &field, std::string_view name)
{
    return equalIgnoringCase(field.name, name);
}

std::optional<std::string_view> findField(const HeaderFields &fields, std::string_view name)
{
    for (const auto &field : fields) {
        if (isNamed(field, name))
            return field.value;
    }
    return std::nullopt;
}

std::optional<std::string_view> bearerToken(const HeaderFields &fields)
{
    std::optional<std::string_view> result;
    for (const auto &field : fields) {
        if (!isNamed(field, authorizationField))
            continue;
        if (result)
            return std::nullopt;
        result = field.value;
    }
    if (!result || result->size() <= bearerScheme.size() ||
        !equalIgnoringCase(result->substr(0, bearerScheme.size()), bearerScheme))
        return std::nullopt;
    result->remove_prefix(bearerScheme.size());
    const std::size_t spaces = result->find_first_not_of(' ');
    if (spaces == 0 || spaces == std::string_view::npos)
        return std::nullopt;
    return result->substr(spaces);
}

TargetReport parseTargetReport(const HeaderFields &fields)
{
    TargetReport report;
    if (const auto value = findField(fields, incarnationField)) {
        if (const auto number = parseNumber<std::uint64_t>(*value))
            report.incarnation = Incarnation(*number);
    }
    if (const auto value = findField(fields, loadReportField))
        report.inFlight = parseInFlight(*value);
    report.notRun = findField(fields, notRunField) == "true";
    report.isDraining = findField(fields, targetStateField) == "draining";
    return report;
}

} // namespace endivedock
