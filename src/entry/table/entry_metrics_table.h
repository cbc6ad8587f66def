/**
 * @file entry_metrics_table.h
 * Bucket bounds of histograms, and names and help texts of gauges.
 */

#pragma once

#include "entry/entry_metrics_base.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace chicoryhead::detail {

/// From a round trip to an upstream, a few milliseconds, to callers' deadlines of seconds.
inline constexpr std::array<std::chrono::nanoseconds, 12> answerLatencyBounds {
    std::chrono::milliseconds {5},    std::chrono::milliseconds {10},
    std::chrono::milliseconds {20},   std::chrono::milliseconds {50},
    std::chrono::milliseconds {100},  std::chrono::milliseconds {200},
    std::chrono::milliseconds {400},  std::chrono::milliseconds {800},
    std::chrono::milliseconds {1600}, std::chrono::milliseconds {3200},
    std::chrono::milliseconds {6400}, std::chrono::milliseconds {12800}};

/** Name and help text of a gauge, and the value it shows. */
struct gauge_descriptor
{
    std::string_view name;
    std::string_view help;
    std::uint64_t entry_gauges::*member;
};

inline constexpr std::array<gauge_descriptor, 23> gaugeTable {{
    {"config_version", "Version of the configuration in force.", &entry_gauges::configVersion},
    {"routes", "Routes in force.", &entry_gauges::routes},
    {"upstreams", "Upstreams known, gone ones with open flows included.", &entry_gauges::upstreams},
    {"domains_evacuated", "Failure domains whose upstreams get no new flows.",
     &entry_gauges::domainsEvacuated},
    {"upstreams_suspected", "Upstreams that get no new flows because they did not answer.",
     &entry_gauges::upstreamsSuspected},
    {"upstreams_dead", "Upstreams that answer nobody; their flows are ended.",
     &entry_gauges::upstreamsDead},
    {"upstreams_stalled", "Upstreams that acknowledge requests and answer none.",
     &entry_gauges::upstreamsStalled},
    {"services_overloaded", "Services whose requests wait for too long.",
     &entry_gauges::servicesOverloaded},
    {"flows_observed", "Flows seen lately.", &entry_gauges::flowsObserved},
    {"instances", "Instances known to this one.", &entry_gauges::instances},
    {"store_items_malformed", "Items of the store that could not be decoded, since the start.",
     &entry_gauges::storeItemsMalformed},
    {"store_answers_ignored",
     "Answers of the store that were older than the state, since the start.",
     &entry_gauges::storeAnswersIgnored},
    {"store_epoch", "Epoch of the store that the state is from; counts restores from a copy.",
     &entry_gauges::storeEpoch},
    {"state_revision", "Revision of the store that the state includes.",
     &entry_gauges::stateRevision},
    {"state_checksum", "Checksum of the state; equal on instances at the same revision.",
     &entry_gauges::stateChecksum},
    {"peer_bytes_sent", "Bytes sent to other instances, since the start.",
     &entry_gauges::peerBytesSent},
    {"peer_messages_malformed", "Messages that could not be decoded, since the start.",
     &entry_gauges::peerMessagesMalformed},
    {"peer_messages_unexpected",
     "Messages of unknown senders and answers to no question, since the start.",
     &entry_gauges::peerMessagesUnexpected},
    {"transfers_refused", "States not sent because too many were under way, since the start.",
     &entry_gauges::transfersRefused},
    {"hedges_refused", "Hedges that the budget refused, since the start.",
     &entry_gauges::hedgesRefused},
    {"log_lines_dropped", "Log lines that were left out, since the start.",
     &entry_gauges::logLinesDropped},
    {"policy_admission", "Whether the policy turns admission control on.",
     &entry_gauges::policyAdmission},
    {"policy_expected_wait", "Whether the policy weights upstreams by their expected wait.",
     &entry_gauges::policyExpectedWait},
}};

} // namespace chicoryhead::detail
