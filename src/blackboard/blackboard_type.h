/**
 * @file blackboard_type.h
 * What the controllers of one instance share: each field has one writer and many readers.
 */

#pragma once

#include "balance/balance_base.h"
#include "config/config_type.h"
#include "core/core_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chicoryhead {

/** Life of a member as this instance sees it. */
enum class member_state : std::uint8_t { Joining, Ready, Leaving, Suspect, Dead };

/** Name of a member state for logs and the HTTP interface. */
std::string_view toString(member_state state);

/** One instance of the system, this one included. */
struct member
{
    instance_id id = noInstance;
    endpoint address; ///< where it receives peer messages
    domain_id domain {0};
    std::uint32_t incarnation = 0; ///< raised by the member itself to refute a suspicion
    member_state state = member_state::Joining;
    /// State before Suspect; a suspected member keeps its role until it is declared dead.
    member_state stateBeforeSuspicion = member_state::Joining;
    config_version version = 0; ///< last version that it reported in force
    monotonic_time since {0};   ///< when the state was entered
    bool wasAlive = false;      ///< false if this instance only learnt that it is dead
};

/** Whether new flows are placed on an upstream, apart from the configuration. */
enum class upstream_condition : std::uint8_t {
    Open,
    Deflected, ///< overloaded, shedding, failing or not believable: new flows go elsewhere
};

/** Name of an upstream condition for logs and the HTTP interface. */
std::string_view toString(upstream_condition condition);

/** What is known about an upstream's health and load. */
struct upstream_state
{
    upstream_condition condition = upstream_condition::Open;
    std::uint32_t incarnation = 0;                    ///< raised at each change of condition
    condition_reason reason = condition_reason::Load; ///< of the last deflection
    monotonic_time changedAt {0};                     ///< when the condition was learnt here
    monotonic_time trackedSince {0}; ///< when the first deflection was learnt here; 0 for never
    std::uint16_t loadPermille = 0;  ///< slots in use, in thousandths, as last reported
    monotonic_time reportedAt {0};   ///< when loadPermille was measured; 0 for never
    std::uint32_t openFlows = 0;     ///< flows of this upstream in the local flow table
};

/** Counters of one instance; names appear as they are in the metrics. */
struct instance_counters
{
    std::uint64_t packetsForwarded = 0;
    std::uint64_t packetsDropped = 0;
    std::uint64_t packetsMalformed = 0;
    std::uint64_t packetsRelayed = 0;  ///< sent to another instance
    std::uint64_t packetsUnplaced = 0; ///< dropped because no instance reached knows the flow
    std::uint64_t repliesForwarded = 0;
    std::uint64_t repliesMismatched = 0; ///< dropped: from an upstream without the flow
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsRefused = 0;
    std::uint64_t exceptionsRecorded = 0;
    std::uint64_t requestsPassed = 0;
    std::uint64_t requestsRefused = 0;
    std::uint64_t requestsUnknown = 0;
    std::uint64_t requestCopiesDropped = 0;
    std::uint64_t relayBytesSent = 0; ///< data traffic between instances
    std::uint64_t peerBytesSent = 0;  ///< control traffic between instances
    std::uint64_t peerMessagesSent = 0;
    std::uint64_t peerMessagesRejected = 0; ///< malformed or not authenticated
};

/** Shared state of one instance. */
struct blackboard
{
    member self;                           ///< written by membership
    std::map<instance_id, member> members; ///< written by membership; self included
    std::uint64_t membersRevision = 0;     ///< raised by membership when members or states change
    /// In force here; never null, its version never goes down. Written by distribution.
    std::shared_ptr<const configuration> config = std::make_shared<const configuration>();
    monotonic_time configAppliedAt {0}; ///< when the version in force was applied
    std::unordered_map<upstream_id, upstream_state> upstreams; ///< written by the health controller
    instance_counters counters;
};

} // namespace chicoryhead
