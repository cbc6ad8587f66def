/**
 * @file entry_metrics_base.h
 * Metrics of an entry process.
 */

#pragma once

#include "forward/forwarder_base.h"
#include "metrics/latency_histogram_base.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** Counters and histograms that are updated while packets are processed. */
struct entry_metrics
{
    entry_metrics();

    std::array<std::uint64_t, packetReasonCount> packets {}; ///< indexed by packet_reason
    std::uint64_t resetsSent = 0;                            ///< refused attempts to open a flow
    std::uint64_t flowsEnded = 0; ///< open flows reset because their upstream is dead or stalled
    std::uint64_t stalledFlowsEnded = 0; ///< those of them whose upstream is stalled
    latency_histogram answerLatency;     ///< from a request to the acknowledgement of its answer
};

/** Number of store calls of one kind with one outcome. */
struct store_call_count
{
    std::string_view kind;
    std::string_view outcome;
    std::uint64_t count = 0;
};

/** Values that are sampled when metrics are requested. */
struct entry_gauges
{
    std::uint64_t configVersion = 0;
    std::uint64_t routes = 0;
    std::uint64_t upstreams = 0;
    std::uint64_t domainsEvacuated = 0;
    std::uint64_t upstreamsSuspected = 0;
    std::uint64_t upstreamsDead = 0;
    std::uint64_t upstreamsStalled = 0;
    std::uint64_t flowsObserved = 0;
    std::uint64_t instances = 0;
    std::uint64_t storeItemsMalformed = 0;
    std::uint64_t storeAnswersIgnored = 0;
    std::uint64_t storeEpoch = 0;
    std::uint64_t stateRevision = 0;
    std::uint64_t stateChecksum = 0;
    std::uint64_t logLinesDropped = 0;
    std::uint64_t peerBytesSent = 0;
    std::uint64_t peerMessagesMalformed = 0;
    std::uint64_t peerMessagesUnexpected = 0;
    std::uint64_t transfersRefused = 0;
    std::uint64_t policyAdmission = 0;    ///< 1 if admission control is on
    std::uint64_t policyExpectedWait = 0; ///< 1 if upstreams are weighted by expected wait
    double hedgeBudgetPercent = 0;        ///< 0 if hedging is off
    std::uint64_t hedgesRefused = 0;
    double hedgingDelaySeconds = 0; ///< 0 while hedging is off
    std::uint64_t servicesOverloaded = 0;
    double highestRefusedFraction = 0; ///< of new flows, of all services and priorities
    double stateAgeSeconds = 0;        ///< since this state was last confirmed as the newest
    bool isReady = false;
    std::vector<store_call_count> storeCalls;
};

/** Renders all metrics in the Prometheus text format 0.0.4. */
std::string renderEntryMetrics(const entry_metrics &metrics, const entry_gauges &gauges);

} // namespace chicoryhead
