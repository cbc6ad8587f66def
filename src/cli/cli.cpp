/**
 * @file cli.cpp
 * Command dispatch, usage and help.
 */

#include "cli_base.h"

#include "argument.h"
#include "command.h"
#include "table/command_table.h"

#include <algorithm>

namespace chicoryhead {

namespace {

constexpr const char *exitCodeHelp = R"(Exit codes:
  0  done
  1  refused: not the state that the change is based on
  2  usage error
  3  invalid input; nothing was changed
  4  store or file not readable; nothing was changed
  5  outcome unknown; check the version before retrying
  6  timed out
)";

std::size_t wordCount(std::string_view name)
{
    return 1 + static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

const command *findCommand(const std::vector<std::string> &positionals)
{
    for (const auto &candidate : detail::commandTable) {
        if (positionals.size() < wordCount(candidate.name))
            continue;
        const bool hasTwoWords = wordCount(candidate.name) == 2;
        if (candidate.name
            == (hasTwoWords ? positionals[0] + ' ' + positionals[1] : positionals[0]))
            return &candidate;
    }
    return nullptr;
}

std::string usageLine(const command &entry)
{
    std::string line(entry.name);
    if (!entry.operands.empty())
        line += ' ' + std::string(entry.operands);
    return line;
}

void printOverview(std::ostream &out)
{
    out << "usage: chicoryhead [--store IP:PORT] COMMAND\n\nCommands:\n";
    for (const auto &entry : detail::commandTable) {
        const std::string line = usageLine(entry);
        out << "  " << line << std::string(line.size() < 38 ? 38 - line.size() : 1, ' ')
            << entry.summary << '\n';
    }
    out << "\n\"chicoryhead COMMAND --help\" lists the flags of a command.\n\n" << exitCodeHelp;
}

void printHelp(std::ostream &out, const command &entry)
{
    out << "usage: chicoryhead " << usageLine(entry) << " [FLAGS]\n\n" << entry.summary << "\n";
    out << "\nFlags:\n";
    for (const auto &flag : entry.flags)
        out << describeFlag(flag) << '\n';
    for (const auto &flag : detail::commonFlags)
        out << describeFlag(flag) << '\n';
    out << '\n' << exitCodeHelp;
}

/** Returns the first flag that the command does not support, or an empty string. */
std::string findUnsupportedFlag(const command &entry, const std::vector<std::string> &given)
{
    const auto isSupported = [&entry](const std::string &flag) {
        return std::find(entry.flags.begin(), entry.flags.end(), flag) != entry.flags.end()
            || std::find(detail::commonFlags.begin(), detail::commonFlags.end(), flag)
            != detail::commonFlags.end();
    };
    const auto found = std::find_if_not(given.begin(), given.end(), isSupported);
    return found == given.end() ? std::string() : *found;
}

exit_code failUsage(const cli_environment &environment, const std::string &message)
{
    environment.err << "chicoryhead: " << message << "; see chicoryhead --help\n";
    return exit_code::Usage;
}

exit_code runCommand(const command &entry, const command_line &line,
                     const cli_environment &environment)
{
    const std::string unsupported = findUnsupportedFlag(entry, line.flags);
    if (!unsupported.empty())
        return failUsage(environment,
                         "\"" + std::string(entry.name) + "\" does not support --" + unsupported);
    const auto first =
        line.positionals.begin() + static_cast<std::ptrdiff_t>(wordCount(entry.name));
    const command_call call {environment, {first, line.positionals.end()}};
    if (call.operands.size() < entry.minOperands || call.operands.size() > entry.maxOperands)
        return failUsage(environment, "usage: chicoryhead " + usageLine(entry));
    return entry.run(call);
}

} // namespace

exit_code runCli(const std::vector<std::string> &arguments, const cli_environment &environment)
{
    // gflags variables are global. Restore their defaults, so that the next call starts from them.
    const gflags::FlagSaver saver;
    std::string message;
    const auto line = parseArguments(arguments, message);
    if (!line)
        return failUsage(environment, message);

    const command *entry = findCommand(line.value().positionals);
    if (entry == nullptr && (line.value().wantsHelp || line.value().positionals.empty())) {
        printOverview(line.value().wantsHelp ? environment.out : environment.err);
        return line.value().wantsHelp ? exit_code::Done : exit_code::Usage;
    }
    if (entry == nullptr)
        return failUsage(environment,
                         "unknown command \"" + line.value().positionals.front() + "\"");
    if (line.value().wantsHelp) {
        printHelp(environment.out, *entry);
        return exit_code::Done;
    }
    return runCommand(*entry, line.value(), environment);
}

} // namespace chicoryhead
