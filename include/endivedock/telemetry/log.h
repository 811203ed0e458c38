#pragma once

#include <cstdint>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace endivedock {

/** One name=value pair of a log line. */
struct LogField
{
    std::string_view name;
    std::string value;
};

/** @return the field @p name with @p value as text */
template <typename T>
LogField field(std::string_view name, const T &value)
{
    std::ostringstream text;
    text << value;
    return {name, text.str()};
}

/**
 * The log of one part. A line is: time, level, "part:", a short sentence, name=value fields.
 * Values with spaces or quotes are quoted. Lines go to standard output; no file is written. Of each
 * sentence only so many lines are written in a second, and a line tells how many were left out; a
 * reader that is too slow loses lines, but never holds up the process.
 */
class Log
{
public:
    /** Lines of one sentence in a second. */
    static constexpr std::uint32_t maxLinesPerSecond = 100;

    /** @param part  the fixed prefix; static lifetime */
    explicit Log(std::string_view part)
        : m_part(part)
    {
    }

    void debug(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;

private:
    std::string line(std::string_view sentence, std::initializer_list<LogField> fields) const;
    bool mayWrite(std::string_view sentence) const;

    std::string_view m_part;
};

enum class LogLevel { Debug, Info, Warning, Error };

/** Sets up the log of the process; call once, before the first line. */
void configureLog(LogLevel lowest);

} // namespace endivedock
