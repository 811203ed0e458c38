#include "endivedock/telemetry/log.h"

#include <chrono>
#include <iostream>
#include <map>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

// The library is compiled as a part of this unit; it must not open its default log file, since
// hosts have no disks.
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

/** What was written of one sentence in the present second. */
struct SentenceBudget
{
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t leftOut = 0;
};

std::int64_t steadySecond()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

/** A pipe whose reader is too slow refuses a line instead of holding the process up. */
void leaveBlockedPipes()
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

std::string Log::line(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    std::string text = std::string(m_part) + ": " + std::string(sentence);
    for (const auto &[name, value] : fields) {
        text += ' ';
        text += name;
        text += '=';
        text += needsQuotes(value) ? quoted(value) : value;
    }
    return text;
}

bool Log::mayWrite(std::string_view sentence) const
{
    // Sentences are literals, so there are few of them.
    static std::map<std::string, SentenceBudget, std::less<>> budgets;
    if (!std::cout)
        std::cout.clear(); // The last line was refused by a slow reader, and is lost.
    const std::int64_t second = steadySecond();
    auto found = budgets.find(sentence);
    if (found == budgets.end())
        found = budgets.emplace(std::string(sentence), SentenceBudget{}).first;
    SentenceBudget &budget = found->second;
    if (budget.second != second) {
        if (budget.leftOut > 0)
            LOG(INFO) << line("Lines left out",
                              {field("sentence", sentence), field("lines", budget.leftOut)});
        budget = {second, 0, 0};
    }
    if (budget.written >= maxLinesPerSecond) {
        ++budget.leftOut;
        return false;
    }
    ++budget.written;
    return true;
}

void Log::debug(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (mayWrite(sentence))
        LOG(DEBUG) << line(sentence, fields);
}

void Log::info(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (mayWrite(sentence))
        LOG(INFO) << line(sentence, fields);
}

void Log::warning(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (mayWrite(sentence))
        LOG(WARNING) << line(sentence, fields);
}

void Log::error(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (mayWrite(sentence))
        LOG(ERROR) << line(sentence, fields);
}

void configureLog(LogLevel lowest)
{
    leaveBlockedPipes();
    el::Configurations settings;
    settings.setToDefault();
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
