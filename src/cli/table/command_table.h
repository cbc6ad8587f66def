/**
 * @file command_table.h
 * Table of the client's commands, used for usage, help and argument checks.
 */

#pragma once

#include "cli/command.h"

#include <array>
#include <string_view>

namespace chicoryhead::detail {

/// Flags that every command supports.
inline constexpr std::array<std::string_view, 1> commonFlags {"store"};

inline constexpr std::array<std::string_view, 1> jsonFlags {"json"};
inline constexpr std::array<std::string_view, 2> waitFlags {"pages_port", "timeout"};
inline constexpr std::array<std::string_view, 1> checkFlags {"policy"};
inline constexpr std::array<std::string_view, 1> putFlags {"base"};
inline constexpr std::array<std::string_view, 5> evacuateFlags {"end", "force", "wait", "timeout",
                                                                "pages_port"};
inline constexpr std::array<std::string_view, 1> pageFlags {"pages_port"};

inline constexpr std::array<std::string_view, 5> explainFlags {"instance", "service_address",
                                                               "caller", "sequence", "pages_port"};

/// Maximum number of log files per invocation; there is one per instance.
inline constexpr std::size_t maxLogFiles = 8192;

inline constexpr std::array<command, 14> commandTable {{
    {"config show", "", 0, 0, jsonFlags, "prints the current configuration of the store",
     runConfigShow},
    {"config version", "", 0, 0, {}, "prints the current version", runConfigVersion},
    {"config wait", "VERSION", 1, 1, waitFlags,
     "waits until a version is in force on every instance, and lists those that lag",
     runConfigWait},
    {"config check", "[FILE]", 0, 1, checkFlags,
     "checks the format of a configuration file, or of a policy file with --policy",
     runConfigCheck},
    {"config put", "FILE", 1, 1, putFlags,
     "replaces the configuration, unless it was changed concurrently", runConfigPut},
    {"instances", "", 0, 0, pageFlags, "lists instances with state, version and age of their state",
     runInstances},
    {"domains", "", 0, 0, pageFlags,
     "summarises instances by failure domain, for fleets of hundreds", runDomains},
    {"unhealthy", "[SERVICE]", 0, 1, pageFlags,
     "lists upstreams that some instances avoid, and how many do", runUnhealthy},
    {"upstreams", "[SERVICE]", 0, 1, {}, "lists the announced upstreams", runUpstreams},
    {"flows", "[SERVICE]", 0, 1, pageFlags,
     "lists recently observed flows by instance and upstream, with latency", runFlows},
    {"evacuate", "DOMAIN", 1, 1, evacuateFlags,
     "evacuates a failure domain: its upstreams get no new flows until it ends", runEvacuate},
    {"evacuations", "", 0, 0, pageFlags,
     "lists the evacuated failure domains and the flows that are left in them", runEvacuations},
    {"explain", "", 0, 0, explainFlags,
     "asks an instance where a new flow would go now and why; changes nothing", runExplain},
    {"trace",
     "FLOW|REQUEST [FILE...]",
     1,
     maxLogFiles,
     {},
     "prints the log lines about one flow in order of time, with findings",
     runTrace},
}};

} // namespace chicoryhead::detail
