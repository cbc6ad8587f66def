/**
 * @file setting_table.h
 * The table of settings. Parsing, validation, docs/settings.md and the example file follow from it.
 */

#pragma once

#include "settings/setting_description.h"

#include <array>
#include <string_view>

namespace chicoryhead::detail {

inline constexpr std::array<std::string_view, 2> steeringNames {"tracked", "plain"};
inline constexpr std::array<std::string_view, 3> logLevelNames {"info", "warning", "error"};

inline constexpr std::uint64_t uint32Max = 0xffffffff;

inline constexpr std::array<setting_description, 16> settingTable {{
    {"instance",
     "id",
     setting_kind::Integer,
     1,
     uint32Max,
     {},
     "",
     "",
     true,
     "1",
     "Identifies the instance. A replacement gets a new id, because the other instances remember "
     "the old one as dead.",
     [](daemon_settings &s, const setting_value &v) {
         s.instance = static_cast<instance_id>(v.number);
     }},
    {"instance",
     "domain",
     setting_kind::Integer,
     0,
     0xffff,
     {},
     "",
     "",
     true,
     "1",
     "Failure domain of the instance. Homes of a flow are chosen in two domains.",
     [](daemon_settings &s, const setting_value &v) {
         s.domain = static_cast<domain_id>(v.number);
     }},
    {"listen",
     "data",
     setting_kind::Endpoint,
     0,
     0,
     {},
     "",
     "",
     true,
     "10.1.0.1:6080",
     "UDP address for packets from the fabric and the upstreams.",
     [](daemon_settings &s, const setting_value &v) {
         s.data = v.address;
     }},
    {"listen",
     "peer",
     setting_kind::Endpoint,
     0,
     0,
     {},
     "",
     "",
     true,
     "10.1.0.1:6081",
     "UDP address for messages and relayed packets from other instances. They reach the instance "
     "at exactly this address.",
     [](daemon_settings &s, const setting_value &v) {
         s.peer = v.address;
     }},
    {"listen",
     "http",
     setting_kind::Endpoint,
     0,
     0,
     {},
     "",
     "127.0.0.1:8080",
     false,
     "127.0.0.1:8080",
     "TCP address for operators, metrics and health checks. The interface is not encrypted.",
     [](daemon_settings &s, const setting_value &v) {
         s.http = v.address;
     }},
    {"fabric",
     "egress",
     setting_kind::Endpoint,
     0,
     0,
     {},
     "",
     "",
     true,
     "10.1.255.1:6080",
     "UDP address of the fabric for packets to callers.",
     [](daemon_settings &s, const setting_value &v) {
         s.egress = v.address;
     }},
    {"platform",
     "url",
     setting_kind::Url,
     0,
     0,
     {},
     "",
     "",
     true,
     "http://10.1.255.2:8500",
     "The platform's key-value service.",
     [](daemon_settings &s, const setting_value &v) {
         s.platformUrl = v.text;
     }},
    {"peers",
     "seeds",
     setting_kind::EndpointList,
     0,
     0,
     {},
     "",
     "",
     false,
     "10.1.0.2:6081, 10.2.0.1:6081",
     "Peer addresses of other instances to contact first, besides the platform's list. The list "
     "may go on in indented lines. A seed that does not answer is not taken for dead.",
     [](daemon_settings &s, const setting_value &v) {
         s.seeds = v.addresses;
     }},
    {"peers",
     "key",
     setting_kind::Secret,
     16,
     128,
     {},
     "",
     "",
     true,
     "replace-this-shared-key",
     "Key that all instances share; authenticates messages and relayed packets between them.",
     [](daemon_settings &s, const setting_value &v) {
         s.peerKey = v.text;
     }},
    {"operator",
     "token",
     setting_kind::Secret,
     16,
     128,
     {},
     "",
     "",
     false,
     "",
     "Token that a patch needs as \"Authorization: Bearer <token>\". Without it, whoever reaches "
     "the HTTP address can change the configuration.",
     [](daemon_settings &s, const setting_value &v) {
         s.operatorToken = v.text;
     }},
    {"limits",
     "flows",
     setting_kind::Integer,
     1024,
     16'777'216,
     {},
     "flows",
     "400000",
     false,
     "400000",
     "Flows in the local flow table, at 64 bytes each. When it is full, the longest idle flow of "
     "a group is evicted.",
     [](daemon_settings &s, const setting_value &v) {
         s.maxFlows = static_cast<std::uint32_t>(v.number);
     }},
    {"limits",
     "new_flows_per_second",
     setting_kind::Integer,
     0,
     10'000'000,
     {},
     "flows/s",
     "0",
     false,
     "20000",
     "New flows that this instance admits, over all services; more are refused. 0 for no limit.",
     [](daemon_settings &s, const setting_value &v) {
         s.newFlowsPerSecond = static_cast<std::uint32_t>(v.number);
     }},
    {"steering", "policy", setting_kind::Choice, 0, 0, steeringNames, "", "tracked", false,
     "tracked",
     "\"tracked\" keeps open flows through changes of upstreams and instances. \"plain\" is "
     "weighted rendezvous hashing, for comparison; it must be the same on every instance.",
     [](daemon_settings &s, const setting_value &v) {
         s.steering = static_cast<steering_choice>(v.number);
     }},
    {"drain",
     "quiet_ms",
     setting_kind::Integer,
     100,
     600'000,
     {},
     "ms",
     "2000",
     false,
     "2000",
     "A leaving instance ends when no packet has arrived for this time.",
     [](daemon_settings &s, const setting_value &v) {
         s.drainQuiet = std::chrono::milliseconds(v.number);
     }},
    {"drain",
     "limit_ms",
     setting_kind::Integer,
     100,
     3'600'000,
     {},
     "ms",
     "30000",
     false,
     "30000",
     "A leaving instance ends after this time at the latest. At least drain.quiet_ms.",
     [](daemon_settings &s, const setting_value &v) {
         s.drainLimit = std::chrono::milliseconds(v.number);
     }},
    {"log", "level", setting_kind::Choice, 0, 0, logLevelNames, "", "info", false, "info",
     "Events below this severity are not logged.",
     [](daemon_settings &s, const setting_value &v) {
         s.logLevel = static_cast<log_level>(v.number);
     }},
}};

} // namespace chicoryhead::detail
