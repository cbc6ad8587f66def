/**
 * @file log_format.cpp
 * Formatting of structured log lines.
 */

#include "log_func.h"

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
        // Otherwise a line break in untrusted input could forge a log line.
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

std::string formatMilliseconds(monotonic_time duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace chicoryhead
