/**
 * @file settings_type.h
 * Settings of a daemon and the problems found in its settings file.
 */

#pragma once

#include "core/core_type.h"
#include "core/log_func.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chicoryhead {

/** Which steering policy an instance runs. */
enum class steering_choice : std::uint8_t {
    Tracked, ///< slot table with exception records
    Plain,   ///< plain_hash_policy, the baseline
};

/** Everything a daemon learns from its settings file; docs/settings.md describes each field. */
struct daemon_settings
{
    instance_id instance = noInstance;
    domain_id domain {0};
    endpoint data;           ///< UDP, tunnelled packets
    endpoint peer;           ///< UDP, peer messages and relayed packets
    endpoint http;           ///< TCP, operators, metrics and health checks
    endpoint egress;         ///< the fabric's address for packets to callers
    std::string platformUrl; ///< http://ip:port without trailing slash
    std::vector<endpoint> seeds;
    std::string peerKey;       ///< shared by all instances, secret
    std::string operatorToken; ///< secret; empty when patches need none
    std::uint32_t maxFlows = 0;
    std::uint32_t newFlowsPerSecond = 0;
    steering_choice steering = steering_choice::Tracked;
    std::chrono::milliseconds drainQuiet {0};
    std::chrono::milliseconds drainLimit {0};
    log_level logLevel = log_level::Info;
};

/** One reason to refuse a settings file. */
struct setting_problem
{
    std::string file;
    int line = 0; ///< counted from 1; 0 when the problem is not in one line
    std::string section;
    std::string key;
    std::string value;   ///< as written; hidden for secrets and unknown keys
    std::string message; ///< what is wrong and what is allowed
};

} // namespace chicoryhead
