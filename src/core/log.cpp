/**
 * @file log.cpp
 * Formatting of structured log lines.
 */

#include "log_func.h"

#include <glog/logging.h>

namespace chicoryhead {

namespace {

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \"=\\\n\r\t") != std::string::npos;
}

std::string quote(const std::string &value)
{
    std::string quoted = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            quoted += '\\';
        // A line break inside a value would let input forge log lines.
        quoted += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return quoted + '"';
}

} // namespace

std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = "event=";
    line += event;
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += needsQuotes(value) ? quote(value) : value;
    }
    return line;
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const std::string line = formatEvent(event, fields);
    switch (level) {
    case log_level::Info:
        LOG(INFO) << line;
        break;
    case log_level::Warning:
        LOG(WARNING) << line;
        break;
    case log_level::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace chicoryhead
