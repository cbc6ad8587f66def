/**
 * @file latency_report_type.h
 * A latency measurement that instances exchange.
 */

#pragma once

#include "core/caller_packet_type.h"

#include <cstdint>

namespace chicoryhead {

/** Latency of one request to an upstream. */
struct latency_report
{
    steering_tag upstream = noTag;
    std::uint16_t latencyMs = 0;

    bool operator==(const latency_report &) const = default;
};

} // namespace chicoryhead
