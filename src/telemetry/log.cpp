#include "endivedock/telemetry/log.h"

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

void Log::debug(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    LOG(DEBUG) << line(sentence, fields);
}

void Log::info(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    LOG(INFO) << line(sentence, fields);
}

void Log::warning(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    LOG(WARNING) << line(sentence, fields);
}

void Log::error(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    LOG(ERROR) << line(sentence, fields);
}

void configureLog(LogLevel lowest)
{
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
