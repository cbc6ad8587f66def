/**
 * @file log.cpp
 * Structured log lines written by glog.
 */

#include "log_func.h"

#include <glog/logging.h>

namespace chicoryhead {

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
