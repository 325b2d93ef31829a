#include "drivers/log_writer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <glog/logging.h>
#include <string_view>

namespace lagoondeck {

namespace {

constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < firstPrintable || byte == deleteCharacter;
}

bool needsQuotes(std::string_view text)
{
    return text.empty() || std::ranges::any_of(text, [](char c) {
               return isControl(c) || c == ' ' || c == '"' || c == '=' || c == '\\';
           });
}

void appendEscaped(std::string &line, char c)
{
    if (c == '"' || c == '\\') {
        line += '\\';
        line += c;
    } else if (c == '\n') {
        line += "\\n";
    } else if (isControl(c)) {
        std::array<char, 8> escaped {};
        std::snprintf(escaped.data(), escaped.size(), "\\x%02x", static_cast<unsigned char>(c));
        line += escaped.data();
    } else {
        line += c;
    }
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        appendEscaped(line, c);
    }
    line += '"';
}

} // namespace

std::string formatLogLine(const WriteLog &log)
{
    const LogEventInfo &info = logEventInfo(log.event);
    std::string line = "event=" + std::to_string(static_cast<int>(log.event));
    line += " name=";
    line += info.name;
    for (const LogField &field : log.fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void writeLog(const WriteLog &log)
{
    switch (logEventInfo(log.event).severity) {
    case LogSeverity::Info:
        LOG(INFO) << formatLogLine(log);
        break;
    case LogSeverity::Warning:
        LOG(WARNING) << formatLogLine(log);
        break;
    case LogSeverity::Error:
        LOG(ERROR) << formatLogLine(log);
        break;
    }
}

} // namespace lagoondeck
