/**
 * @file command_trace.cpp
 * Command that traces a flow or request through the logs of instances.
 */

#include "command.h"
#include "flow_trace.h"

#include <filesystem>
#include <sstream>

namespace chicoryhead {

exit_code runTrace(const command_call &call)
{
    std::vector<std::string> files(call.operands.begin() + 1, call.operands.end());
    if (files.empty())
        files.emplace_back("-");
    std::vector<log_line> log;
    for (const std::string &file : files) {
        const auto text = readTextFile(call, file);
        if (!text)
            return fail(call, exit_code::Unavailable, "can't read " + file);
        std::istringstream lines(text.value());
        const std::string name = std::filesystem::path(file).stem();
        for (std::string line; std::getline(lines, line);) {
            if (auto parsed = parseLogLine(line, name))
                log.push_back(std::move(*parsed));
        }
    }
    const flow_trace trace = traceFlow(log, call.operands[0]);
    if (trace.lines.empty())
        return fail(
            call, exit_code::Invalid,
            "no line about " + call.operands[0]
                + "; its packets reached none of these instances, or log lines are missing");
    if (!trace.isOrdered)
        warn(call, "some lines have no collector timestamp; the order holds within each file only");
    auto &out = call.environment.out;
    for (const log_line &line : trace.lines)
        out << (line.collectedAt ? "" : line.instance + ' ') << line.text << '\n';
    out << '\n';
    for (const std::string &finding : trace.findings)
        out << "- " << finding << '\n';
    return exit_code::Done;
}

} // namespace chicoryhead
