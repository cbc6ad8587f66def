/**
 * @file command_table.h
 * The commands of the client. Usage, help and the check of arguments follow from it.
 */

#pragma once

#include "cli/command.h"

#include <array>
#include <string_view>

namespace chicoryhead::detail {

/// Flags that every command takes.
inline constexpr std::array<std::string_view, 3> commonFlags {"server", "token", "json"};

/// Flags of every command that submits one patch.
inline constexpr std::array<std::string_view, 4> changeFlags {"reason", "author", "id", "base"};

/// Flags of changes that are not sent while they would break flows.
inline constexpr std::array<std::string_view, 5> guardedFlags {"force", "reason", "author", "id",
                                                               "base"};
inline constexpr std::array<std::string_view, 1> waitFlags {"timeout"};
inline constexpr std::array<std::string_view, 7> createFlags {
    "address", "protocol", "upstreams", "reason", "author", "id", "base"};
inline constexpr std::array<std::string_view, 8> limitFlags {"new_flows_per_second",
                                                             "max_flows",
                                                             "retry_budget_percent",
                                                             "retry_after_ms",
                                                             "reason",
                                                             "author",
                                                             "id",
                                                             "base"};
inline constexpr std::array<std::string_view, 10> addFlags {
    "address",   "health", "domain", "weight", "slots",
    "max_flows", "reason", "author", "id",     "base"};
inline constexpr std::array<std::string_view, 6> leaveFlags {"leaving_at", "final_time", "reason",
                                                             "author",     "id",         "base"};

inline constexpr std::array<command, 20> commandTable {{
    {"config show", "", 0, 0, {}, "the configuration in force", runConfigShow},
    {"config version", "", 0, 0, {}, "the version in force", runConfigVersion},
    {"config wait", "VERSION", 1, 1, waitFlags,
     "waits until a version is in force on every instance, and says which ones lag", runConfigWait},
    {"patch submit", "FILE", 1, 1, changeFlags,
     "submits a patch; flags replace what the file says, a missing base version is read",
     runPatchSubmit},
    {"patch check",
     "FILE",
     1,
     1,
     {},
     "checks the form of a patch without sending it",
     runPatchCheck},
    {"service create", "NAME", 1, 1, createFlags, "creates a service", runServiceCreate},
    {"service limits", "NAME", 1, 1, limitFlags,
     "sets limits of a service; those without a flag stay", runServiceLimits},
    {"service settle", "NAME", 1, 1, guardedFlags,
     "ends the tracking of slots whose exceptions have ended", runServiceSettle},
    {"service remove", "NAME", 1, 1, guardedFlags, "removes a service", runServiceRemove},
    {"upstream add", "SERVICE NAME", 2, 2, addFlags, "adds an upstream", runUpstreamAdd},
    {"upstream leave", "SERVICE NAME", 2, 2, leaveFlags,
     "lets an upstream keep its flows and get no new ones", runUpstreamLeave},
    {"upstream weight", "SERVICE NAME WEIGHT", 3, 3, changeFlags,
     "sets the share of new flows, 1 to 1000", runUpstreamWeight},
    {"upstream remove", "SERVICE NAME", 2, 2, guardedFlags, "removes an upstream",
     runUpstreamRemove},
    {"instances", "", 0, 0, {}, "instances with state and version", runInstances},
    {"upstreams", "[SERVICE]", 0, 1, {}, "upstreams with mode, condition and load", runUpstreams},
    {"flows", "[SERVICE]", 0, 1, {}, "flows that each instance asked holds, by upstream", runFlows},
    {"audit", "", 0, 0, {}, "accepted patches", runAudit},
    {"settings check",
     "FILE",
     1,
     1,
     {},
     "checks a settings file of chicoryheadd",
     runSettingsCheck},
    {"settings page", "", 0, 0, {}, "prints docs/settings.md", runSettingsPage},
    {"settings example", "", 0, 0, {}, "prints an example settings file", runSettingsExample},
}};

} // namespace chicoryhead::detail
