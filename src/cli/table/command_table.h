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
inline constexpr std::array<std::string_view, 1> commonFlags {"store"};

inline constexpr std::array<std::string_view, 1> jsonFlags {"json"};
inline constexpr std::array<std::string_view, 2> waitFlags {"pages_port", "timeout"};
inline constexpr std::array<std::string_view, 1> putFlags {"base"};
inline constexpr std::array<std::string_view, 1> pageFlags {"pages_port"};

/// Most log files that one call reads; each instance has one.
inline constexpr std::size_t maxLogFiles = 8192;

inline constexpr std::array<command, 11> commandTable {{
    {"config show", "", 0, 0, jsonFlags, "the newest configuration of the store", runConfigShow},
    {"config version", "", 0, 0, {}, "its version", runConfigVersion},
    {"config wait", "VERSION", 1, 1, waitFlags,
     "waits until a version is in force on every instance, and says which ones lag", runConfigWait},
    {"config check", "FILE", 1, 1, {}, "checks the form of a configuration", runConfigCheck},
    {"config put", "FILE", 1, 1, putFlags,
     "replaces the configuration, unless somebody else did so meanwhile", runConfigPut},
    {"instances", "", 0, 0, pageFlags, "instances with state, version and age of what they know",
     runInstances},
    {"domains", "", 0, 0, pageFlags, "instances by failure domain, for fleets of hundreds",
     runDomains},
    {"unhealthy", "[SERVICE]", 0, 1, pageFlags,
     "upstreams that some instance avoids, and how many do", runUnhealthy},
    {"upstreams", "[SERVICE]", 0, 1, {}, "upstreams as they announce themselves", runUpstreams},
    {"flows", "[SERVICE]", 0, 1, pageFlags,
     "flows that instances saw lately, by upstream, with its latency", runFlows},
    {"trace",
     "FLOW|REQUEST [FILE...]",
     1,
     maxLogFiles,
     {},
     "what the logs of instances say of one flow, in order of time",
     runTrace},
}};

} // namespace chicoryhead::detail
