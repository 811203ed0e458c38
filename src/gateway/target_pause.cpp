#include "endivedock/gateway/target_pause.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <limits>
#include <string>

namespace endivedock {

namespace {

constexpr std::string_view pauseField = "Retry-After";
constexpr std::string_view dateField = "Date";

/** @return the Unix time of an HTTP date in the preferred form; nothing if it is malformed */
std::optional<std::int64_t> parseHttpDate(std::string_view text)
{
    std::tm time{};
    const std::string copy(text);
    const char *end = strptime(copy.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &time);
    if (end == nullptr || *end != '\0')
        return std::nullopt;
    return static_cast<std::int64_t>(timegm(&time));
}

/**
 * @return the time until the date in a field, from the date of the response, since the clocks of
 *         the target and of this host may differ
 */
std::optional<double> secondsUntil(std::string_view text, const HeaderFields &fields)
{
    const auto end = parseHttpDate(text);
    if (!end)
        return std::nullopt;
    const auto start = parseHttpDate(findField(fields, dateField).value_or(""));
    const std::int64_t now = start ? *start : unixTimeMilliseconds() / 1000;
    return static_cast<double>(std::max<std::int64_t>(*end - now, 0));
}

std::optional<double> parseSeconds(std::string_view text, SecondsForm form)
{
    const std::string_view allowed = form == SecondsForm::Whole ? "0123456789" : "0123456789.";
    if (text.empty() || text.find_first_not_of(allowed) != std::string_view::npos)
        return std::nullopt;
    double value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code == std::errc::result_out_of_range)
        return std::numeric_limits<double>::max();
    if (code != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

void readPause(const HeaderFields &fields, SecondsForm form, TargetReport &report)
{
    constexpr double maxSeconds = 3600;
    for (const auto &field : fields) {
        if (!isNamed(field, pauseField))
            continue;
        auto seconds = parseSeconds(field.value, form);
        if (!seconds)
            seconds = secondsUntil(field.value, fields);
        if (!seconds) {
            report.hasMalformedPause = true;
            continue;
        }
        const double milliseconds = std::ceil(std::min(*seconds, maxSeconds) * 1000);
        const Milliseconds pause(static_cast<std::int64_t>(milliseconds));
        report.pause = std::max(report.pause.value_or(Milliseconds(0)), pause);
    }
}

} // namespace endivedock
