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
 * The log of one component. A line consists of the time, the level, the component with a colon, a
 * short sentence, and name=value fields. Values with spaces or quotes are quoted. Lines are written
 * to standard output, never to a file. Each sentence is limited to maxLinesPerSecond lines per
 * second; a later line reports how many lines were dropped. If the reader of the output is too
 * slow, lines are lost, but the process is never blocked.
 */
class Log
{
public:
    /** Largest number of lines with the same sentence in one second. */
    static constexpr std::uint32_t maxLinesPerSecond = 100;

    /** @param component  name of the component, the prefix of its lines; static lifetime */
    explicit Log(std::string_view component)
        : m_component(component)
    {
    }

    void debug(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;

private:
    std::string formatLine(std::string_view sentence, std::initializer_list<LogField> fields) const;
    /** Counts a line against the rate limit of @p sentence. @return whether it may be written */
    bool admitLine(std::string_view sentence) const;

    std::string_view m_component;
};

enum class LogLevel { Debug, Info, Warning, Error };

/**
 * Configures the log of the process. Must be called once, before the first line is logged.
 *
 * @param lowest  the lowest level that is written
 */
void configureLog(LogLevel lowest);

} // namespace endivedock
