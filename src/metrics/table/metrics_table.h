/**
 * @file metrics_table.h
 * Counters with their names and help texts, and the bounds of histograms.
 */

#pragma once

#include "blackboard/blackboard_type.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace chicoryhead::detail {

/** A counter and how it appears. */
struct counter_row
{
    std::string_view name; ///< without prefix "chicoryhead_" and suffix "_total"
    std::string_view help;
    std::uint64_t instance_counters::*member;
};

inline constexpr std::array<counter_row, 18> counterTable {{
    {"packets_forwarded", "Packets sent to upstreams.", &instance_counters::packetsForwarded},
    {"packets_dropped", "Packets dropped for any reason.", &instance_counters::packetsDropped},
    {"packets_malformed", "Packets that could not be parsed.",
     &instance_counters::packetsMalformed},
    {"packets_relayed", "Packets sent to another instance.", &instance_counters::packetsRelayed},
    {"packets_unplaced", "Packets dropped because no instance reached knows the flow.",
     &instance_counters::packetsUnplaced},
    {"replies_forwarded", "Replies sent to callers.", &instance_counters::repliesForwarded},
    {"replies_mismatched", "Replies dropped because their upstream does not hold the flow.",
     &instance_counters::repliesMismatched},
    {"flows_opened", "New flows placed.", &instance_counters::flowsOpened},
    {"flows_refused", "New flows refused; they were not passed on.",
     &instance_counters::flowsRefused},
    {"exceptions_recorded", "Flows recorded because they are not at their slot's holder.",
     &instance_counters::exceptionsRecorded},
    {"requests_passed", "Requests passed to upstreams.", &instance_counters::requestsPassed},
    {"requests_refused", "Requests refused; they were not run.",
     &instance_counters::requestsRefused},
    {"requests_unknown", "Requests answered with outcome unknown.",
     &instance_counters::requestsUnknown},
    {"request_copies_dropped", "Copies of requests that were dropped.",
     &instance_counters::requestCopiesDropped},
    {"relay_bytes_sent", "Bytes of data traffic to other instances.",
     &instance_counters::relayBytesSent},
    {"peer_bytes_sent", "Bytes of control traffic to other instances.",
     &instance_counters::peerBytesSent},
    {"peer_messages_sent", "Control messages to other instances.",
     &instance_counters::peerMessagesSent},
    {"peer_messages_rejected", "Peer messages that were malformed or not authenticated.",
     &instance_counters::peerMessagesRejected},
}};

static_assert(sizeof(instance_counters) == counterTable.size() * sizeof(std::uint64_t),
              "each counter has a row");

/// A decision takes well under 1 us; more than 100 us means that the thread was interrupted.
inline constexpr std::array<std::chrono::nanoseconds, 12> decisionBounds {
    std::chrono::nanoseconds {125}, std::chrono::nanoseconds {250},
    std::chrono::nanoseconds {500}, std::chrono::microseconds {1},
    std::chrono::microseconds {2},  std::chrono::microseconds {4},
    std::chrono::microseconds {8},  std::chrono::microseconds {16},
    std::chrono::microseconds {64}, std::chrono::microseconds {256},
    std::chrono::milliseconds {1},  std::chrono::milliseconds {10}};

/// The way to an upstream and back takes 3 ms to 6 ms; callers give up after seconds.
inline constexpr std::array<std::chrono::nanoseconds, 16> answerBounds {
    std::chrono::milliseconds {2},    std::chrono::milliseconds {4},
    std::chrono::milliseconds {6},    std::chrono::milliseconds {8},
    std::chrono::milliseconds {12},   std::chrono::milliseconds {16},
    std::chrono::milliseconds {25},   std::chrono::milliseconds {50},
    std::chrono::milliseconds {100},  std::chrono::milliseconds {200},
    std::chrono::milliseconds {400},  std::chrono::milliseconds {800},
    std::chrono::milliseconds {1600}, std::chrono::milliseconds {3200},
    std::chrono::milliseconds {6400}, std::chrono::milliseconds {12800}};

} // namespace chicoryhead::detail
