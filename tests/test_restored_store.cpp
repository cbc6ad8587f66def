/**
 * @file test_restored_store.cpp
 * Instances as processes with a store that is restored from a copy: its revisions go back and are
 * given out again.
 */

#include "process_deployment.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

TEST_CASE("Changes made after the store was restored are in force within the bound", "[restore]")
{
    // Guards against instances that compare revisions of the restored store with revisions from
    // before: they discard its state, or take another state for their own.
    process_deployment processes(restoredStoreSlot);
    auto &deployment = processes.deployment();
    auto &store = deployment.store();
    const auto upstream = deployment.upstreamsOf(0).front();
    REQUIRE(processes.awaitInForce(10s, deployment.config().version, upstream, "ready"));
    const auto copy = store.copy();
    constexpr int lostChanges = 4;
    for (int i = 0; i < lostChanges; ++i)
        deployment.putConfig();
    REQUIRE(processes.awaitInForce(3s, deployment.config().version, upstream, "ready"));

    // The new revisions end below, at, or above the last one from before.
    const int newChanges = GENERATE(2, 4, 6);
    CAPTURE(newChanges);
    store.setBehaviour(standin::store_behaviour::Busy);
    processes.runFor(500ms);
    store.restore(copy);
    deployment.drainUpstream(upstream);
    for (int i = 1; i < newChanges; ++i)
        deployment.putConfig();
    store.setBehaviour(standin::store_behaviour::Serving);
    // The bound for changes, and the time that the platform allows after a fault of the store.
    CHECK(processes.awaitInForce(3s + 4s, deployment.config().version, upstream, "draining"));
}
