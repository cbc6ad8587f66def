/**
 * @file forwarder_support.h
 * Data path without sockets, for the tests of forwarding decisions.
 */

#pragma once

#include "entry_support.h"
#include "forward/forwarder_base.h"

#include <string>
#include <utility>

namespace chicoryhead::test {

/** Data path of one instance in domain "a", without sockets. */
struct forwarder_fixture
{
    forwarder_fixture()
    {
        routes.apply(makeConfig(1), 0s);
        for (int i = 0; i < 4; ++i)
            directory.announce(makeUpstream("i-d" + std::to_string(i), "desk", "a"), 0s);
        for (int i = 0; i < 2; ++i)
            directory.announce(makeUpstream("i-e" + std::to_string(i), "proofs", "a"), 0s);
    }

    packet_decision decide(const caller_packet &packet, monotonic_time now, bool isFresh = true)
    {
        return dataPath.decide(packet, isFresh, now);
    }

    /** Two upstreams that got the opening packet of the flow on port 1, from 1 s on. */
    std::pair<packet_decision, packet_decision> placeAtTwo()
    {
        const auto first = decide(makeOpening(1), 1s);
        // Another flow's opening packet is unanswered, so that a second upstream is tried.
        placement.recordConnectFailure(first.upstream->id, 1100ms);
        return {first, decide(makeOpening(1, 1), 1200ms)};
    }

    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 3, 7}};
    upstream_health health {directory, "f-1", "a"};
    latency_exchange latencies {directory, placement};
    forwarder dataPath {routes, directory, placement, health, latencies};
};

} // namespace chicoryhead::test
