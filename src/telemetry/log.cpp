#include "endivedock/telemetry/log.h"

#include <chrono>
#include <iostream>
#include <map>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

// The logging library is compiled as a part of this translation unit. It must not open its default
// log file, because hosts have no disks.
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#include <easylogging++.h>

#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
#pragma GCC diagnostic pop

INITIALIZE_EASYLOGGINGPP

namespace endivedock {

namespace {

/** Counts of written and dropped lines with one sentence in the current second. */
struct SentenceRate
{
    std::int64_t second = 0;
    std::uint32_t lineCount = 0;
    std::uint64_t droppedLines = 0;
};

std::int64_t steadySecond()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

/** Makes standard output non-blocking if it is a pipe: a slow reader then loses lines. */
void makePipeNonBlocking()
{
    struct stat state
    {
    };
    if (fstat(STDOUT_FILENO, &state) != 0 || !S_ISFIFO(state.st_mode))
        return;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string::npos;
}

std::string quoted(const std::string &value)
{
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            result += '\\';
        result += (c == '\n' || c == '\r' || c == '\t') ? ' ' : c;
    }
    return result + "\"";
}

} // namespace

std::string Log::formatLine(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    std::string text = std::string(m_component) + ": " + std::string(sentence);
    for (const auto &[name, value] : fields) {
        text += ' ';
        text += name;
        text += '=';
        text += needsQuotes(value) ? quoted(value) : value;
    }
    return text;
}

bool Log::admitLine(std::string_view sentence) const
{
    // Sentences are string literals, so the map stays small.
    static std::map<std::string, SentenceRate, std::less<>> rates;
    if (!std::cout)
        std::cout.clear(); // The previous line was lost because the reader was too slow.
    const std::int64_t second = steadySecond();
    auto found = rates.find(sentence);
    if (found == rates.end())
        found = rates.emplace(std::string(sentence), SentenceRate{}).first;
    SentenceRate &rate = found->second;
    if (rate.second != second) {
        if (rate.droppedLines > 0)
            LOG(INFO) << formatLine("Log lines dropped", {field("sentence", sentence),
                                                          field("lines", rate.droppedLines)});
        rate = {second, 0, 0};
    }
    if (rate.lineCount >= maxLinesPerSecond) {
        ++rate.droppedLines;
        return false;
    }
    ++rate.lineCount;
    return true;
}

void Log::debug(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (admitLine(sentence))
        LOG(DEBUG) << formatLine(sentence, fields);
}

void Log::info(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (admitLine(sentence))
        LOG(INFO) << formatLine(sentence, fields);
}

void Log::warning(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (admitLine(sentence))
        LOG(WARNING) << formatLine(sentence, fields);
}

void Log::error(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (admitLine(sentence))
        LOG(ERROR) << formatLine(sentence, fields);
}

void configureLog(LogLevel lowest)
{
    makePipeNonBlocking();
    el::Configurations settings;
    settings.setToDefault();
    // In this format, %M is the month, %m the minute and %g the millisecond.
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    const auto enable = [&](el::Level level, LogLevel from) {
        settings.set(level, el::ConfigurationType::Enabled, lowest <= from ? "true" : "false");
    };
    enable(el::Level::Debug, LogLevel::Debug);
    enable(el::Level::Info, LogLevel::Info);
    enable(el::Level::Warning, LogLevel::Warning);
    el::Loggers::reconfigureAllLoggers(settings);
}

} // namespace endivedock
