/**
 * @file test_sync.cpp
 * Tests of the store follower and of the state that it keeps synchronised with the store.
 */

#include "state_support.h"
#include "sync/state_codec_func.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/// A snapshot of another instance, with upstreams "i-1" and "i-2" of the service "desk".
state_snapshot makeSnapshot(store_revision revision)
{
    state_snapshot snapshot;
    snapshot.revision = revision;
    snapshot.contentRevision = revision;
    snapshot.evacuations = evacuated_domains {revision, {}};
    snapshot.hasConfig = true;
    snapshot.config = makeConfig(1);
    snapshot.upstreams = {makeUpstream("i-1", "desk", "a"), makeUpstream("i-2", "desk", "a")};
    return snapshot;
}

/** A follower whose steps are as long as a test needs. */
struct sync_fixture : follower_fixture
{
    void step(monotonic_time duration)
    {
        clock.advance(duration);
        follower.tick();
    }

    void synchronise()
    {
        store.answer(fleet_changes {
            100,
            {makeConfig(1), makeUpstream("i-1", "desk", "a"), makeUpstream("i-2", "desk", "a")}});
    }

    /// Advances the clock until the next call is made; returns the time that took.
    monotonic_time waitForCall()
    {
        monotonic_time waited {0};
        while (!store.isCalled()) {
            step(10ms);
            waited += 10ms;
            REQUIRE(waited < 10s);
        }
        return waited;
    }
};

} // namespace

TEST_CASE("The follower loads the state once, then watches from its revision", "[sync]")
{
    sync_fixture fixture;
    REQUIRE(fixture.store.call().kind == scripted_store::call_kind::Load);
    CHECK_FALSE(fixture.state.isSynchronised());
    fixture.synchronise();
    CHECK(fixture.state.isSynchronised());
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Watch);
    CHECK(fixture.store.call().after == 100);
    fixture.store.answer(fleet_changes {100, {}});
    CHECK(fixture.store.call().after == 100);
}

TEST_CASE("Changes are applied, and the next watch is delayed to batch more of them", "[sync]")
{
    sync_fixture fixture;
    fixture.synchronise();
    auto draining = makeUpstream("i-1", "desk", "a");
    draining.isDraining = true;
    fixture.store.answer(fleet_changes {105, {makeConfig(2), draining}});
    CHECK(fixture.routes.version() == 2);
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Draining);
    CHECK_FALSE(fixture.store.isCalled());
    CHECK(fixture.waitForCall() <= 200ms);
    CHECK(fixture.store.call().after == 105);
}

TEST_CASE("The state is loaded again when the store dropped the history", "[sync]")
{
    // Guards against a state that stays old because the store dropped the changes in between.
    sync_fixture fixture;
    fixture.synchronise();
    fixture.store.answer(error::HistoryLost);
    fixture.follower.tick();
    REQUIRE(fixture.store.isCalled());
    REQUIRE(fixture.store.call().kind == scripted_store::call_kind::Load);
    fixture.store.answer(fleet_changes {200, {makeConfig(3), makeUpstream("i-2", "desk", "a")}});
    CHECK(fixture.routes.version() == 3);
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
    CHECK(fixture.lifecycleOf("i-2") == lifecycle_state::Ready);
    CHECK(fixture.store.call().after == 200);
}

TEST_CASE("Calls to an unresponsive store back off to one per second", "[sync]")
{
    sync_fixture fixture;
    fixture.synchronise();
    monotonic_time total {0};
    int calls = 0;
    while (total < 9s) {
        fixture.store.answer(error::Timeout);
        CHECK_FALSE(fixture.follower.isStoreReachable());
        const auto pause = fixture.waitForCall();
        CHECK(pause <= 1050ms);
        total += pause;
        ++calls;
    }
    CHECK(calls < 25);
    CHECK(fixture.state.isSynchronised());
    fixture.store.answer(fleet_changes {100, {}});
    CHECK(fixture.follower.isStoreReachable());
}

TEST_CASE("Upstreams whose announcements expired in an outage of the store are missing, not gone",
          "[sync]")
{
    sync_fixture fixture;
    fixture.synchronise();
    fixture.store.answer(error::StoreUnavailable);
    fixture.waitForCall();
    SECTION("the watch reports them as removed")
    {
        fixture.store.answer(fleet_changes {110, {upstream_withdrawal {"i-1", false}}});
    }
    SECTION("the history is lost and the load does not contain them")
    {
        fixture.store.answer(error::HistoryLost);
        fixture.follower.tick();
        fixture.store.answer(
            fleet_changes {110, {makeConfig(1), makeUpstream("i-2", "desk", "a")}});
    }
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Missing);
    fixture.clock.advance(2300ms);
    fixture.state.expire(fixture.clock.now());
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
}

TEST_CASE("An upstream whose announcement is removed without an outage is gone at once", "[sync]")
{
    sync_fixture fixture;
    fixture.synchronise();
    fixture.store.answer(fleet_changes {110, {upstream_withdrawal {"i-1", false}}});
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
    fixture.waitForCall();
    fixture.store.answer(fleet_changes {111, {upstream_withdrawal {"unknown", false}}});
    CHECK(fixture.lifecycleOf("i-2") == lifecycle_state::Ready);
}

TEST_CASE("A malformed announcement removes its upstream, also after an outage", "[sync]")
{
    sync_fixture fixture;
    fixture.synchronise();
    fixture.store.answer(error::StoreUnavailable);
    fixture.waitForCall();
    fixture.store.answer(fleet_changes {110, {upstream_withdrawal {"i-1", true}}});
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
}

TEST_CASE("A process that was suspended cancels its watch and calls the store at once", "[sync]")
{
    // Guards against waiting on a connection that died during the suspension.
    sync_fixture fixture;
    fixture.synchronise();
    fixture.clock.advance(5s);
    fixture.follower.refresh();
    CHECK(fixture.store.cancelled == 1);
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Watch);
}

TEST_CASE("Instances that lost the store at the same time retry at different times", "[sync]")
{
    std::set<monotonic_time> pauses;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        sync_fixture fixture;
        fixture.random = seeded_random(seed);
        for (int failure = 0; failure < 5; ++failure) {
            fixture.store.answer(error::Throttled);
            const auto pause = fixture.waitForCall();
            if (failure == 4)
                pauses.insert(pause);
        }
    }
    CHECK(pauses.size() > 5);
}

TEST_CASE("An instance that is no reader does not call the store while its state is fresh",
          "[sync]")
{
    sync_fixture fixture;
    auto role = reader_role::Primary;
    fixture.follower.setRolePolicy([&] { return role; });
    fixture.synchronise();
    REQUIRE(fixture.store.isCalled());
    role = reader_role::None;
    fixture.store.answer(fleet_changes {100, {}});
    CHECK_FALSE(fixture.store.isCalled());
    SECTION("it calls the store when its state is stale")
    {
        // Guards against missing changes because all readers have failed.
        CHECK(fixture.waitForCall() <= 2050ms);
    }
    SECTION("it does not while other instances confirm its state")
    {
        for (int i = 0; i < 100; ++i) {
            fixture.state.confirm(100, fixture.clock.now());
            fixture.step(100ms);
            CHECK_FALSE(fixture.store.isCalled());
        }
    }
    SECTION("it calls the store when it becomes a reader")
    {
        role = reader_role::Primary;
        CHECK(fixture.waitForCall() <= 10ms);
    }
}

TEST_CASE("A start from a snapshot serves open flows, and later changes bring the state in force",
          "[sync]")
{
    // Guards against new flows to an upstream that was removed after the snapshot was taken.
    sync_fixture fixture;
    store_follower follower(fixture.store, fixture.state, fixture.clock, fixture.random,
                            fixture.log);
    fixture.store.cancel();
    fixture.store.snapshot = published_snapshot {95, encodeState(makeSnapshot(90))};
    follower.tick();
    REQUIRE(fixture.store.snapshotDone);
    fixture.store.answerSnapshot();
    CHECK(fixture.state.isPreloaded());
    CHECK_FALSE(fixture.state.isSynchronised());
    CHECK(fixture.directory.find("i-1") != nullptr);
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Watch);
    CHECK(fixture.store.call().after == 90);
    SECTION("the watch returns the later changes")
    {
        fixture.store.answer(fleet_changes {100, {upstream_withdrawal {"i-1", false}}});
        CHECK(fixture.state.isSynchronised());
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
        CHECK(fixture.state.revision() == 100);
    }
    SECTION("the store dropped the later changes: the full state is loaded")
    {
        fixture.store.answer(error::HistoryLost);
        fixture.clock.advance(10ms);
        follower.tick();
        REQUIRE(fixture.store.isCalled());
        CHECK(fixture.store.call().kind == scripted_store::call_kind::Load);
        fixture.store.answer(
            fleet_changes {100, {makeConfig(2), makeUpstream("i-2", "desk", "a")}});
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
        CHECK(fixture.state.isSynchronised());
    }
    SECTION("another instance sends the later changes first")
    {
        state_snapshot newer;
        newer.baseRevision = 90;
        newer.revision = 101;
        newer.contentRevision = 101;
        newer.evacuations = evacuated_domains {101, {}};
        newer.removedUpstreams = {"i-1"};
        CHECK(fixture.state.adopt(newer, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.state.isSynchronised());
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
    }
    SECTION("another instance confirms the revision of the snapshot")
    {
        state_snapshot same;
        same.baseRevision = 90;
        same.revision = 90;
        same.evacuations = evacuated_domains {90, {}};
        CHECK(fixture.state.adopt(same, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.state.isSynchronised());
    }
}

TEST_CASE("An instance that starts before the first configuration waits for it in one watch",
          "[sync]")
{
    // Guards against polling by hundreds of instances until operators store a configuration.
    sync_fixture fixture;
    fixture.store.answer(fleet_changes {100, {makeUpstream("i-1", "desk", "a")}});
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Watch);
    CHECK(fixture.store.lastWatchWait == follower_settings {}.watchTimeout);
    fixture.store.answer(fleet_changes {110, {makeConfig(1)}});
    CHECK(fixture.state.isSynchronised());
}

TEST_CASE("Without a usable snapshot a start loads the full state", "[sync]")
{
    sync_fixture fixture;
    store_follower follower(fixture.store, fixture.state, fixture.clock, fixture.random,
                            fixture.log);
    fixture.store.cancel();
    fixture.store.snapshot = published_snapshot {95, encodeState(makeSnapshot(90))};
    follower.tick();
    SECTION("it is truncated")
    {
        fixture.store.snapshot->bytes.resize(20);
        fixture.store.answerSnapshot();
    }
    SECTION("it can't be decoded, as one of another release")
    {
        fixture.store.snapshot->bytes[4] ^= std::byte {0x40};
        fixture.store.answerSnapshot();
    }
    SECTION("it arrives after the timeout")
    {
        fixture.clock.advance(130ms);
        follower.tick();
    }
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Load);
    fixture.store.answer(fleet_changes {100, {makeConfig(1), makeUpstream("i-3", "desk", "a")}});
    CHECK(fixture.state.isSynchronised());
    if (fixture.store.snapshotDone) {
        // The snapshot is older than the loaded state.
        fixture.store.answerSnapshot();
        CHECK(fixture.state.revision() == 100);
        CHECK(fixture.directory.find("i-1") == nullptr);
    }
}

TEST_CASE("Power loss of all: the instances of a domain call the store in staggered groups",
          "[sync]")
{
    // Guards against a burst of calls when 200 instances of a domain start at the same time,
    // shortly after a new configuration.
    std::map<int, int> instancesByDelay; // by step of 40 ms
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        sync_fixture fixture;
        seeded_random random(seed + 77);
        store_follower follower(fixture.store, fixture.state, fixture.clock, random, fixture.log);
        follower.setPeerCountProvider([] { return std::size_t {199}; });
        fixture.store.cancel();
        fixture.store.snapshot = published_snapshot {95, encodeState(makeSnapshot(90))};
        follower.tick();
        fixture.store.answerSnapshot();
        int steps = 0;
        while (!fixture.store.isCalled()) {
            fixture.clock.advance(40ms);
            follower.tick();
            ++steps;
            REQUIRE(steps < 10);
        }
        ++instancesByDelay[steps];
    }
    CHECK(instancesByDelay[0] <= 10);
    CHECK(instancesByDelay[1] <= 14);
    CHECK(instancesByDelay[2] <= 24);
    CHECK(instancesByDelay.rbegin()->first <= 6);
}

TEST_CASE("Outage of the store: an instance that is no reader retries rarely", "[sync]")
{
    // Guards against many calls by hundreds of instances whose state is stale because the store
    // refuses them; the store counts each call.
    sync_fixture fixture;
    auto role = reader_role::Primary;
    fixture.follower.setRolePolicy([&] { return role; });
    const auto callsWithin = [&](monotonic_time duration) {
        int calls = 0;
        for (monotonic_time passed {0}; passed < duration; passed += 10ms) {
            fixture.step(10ms);
            while (fixture.store.isCalled()) {
                fixture.store.answer(error::StoreUnavailable);
                ++calls;
            }
        }
        return calls;
    };
    SECTION("a starting instance without a configuration retries often")
    {
        role = reader_role::None;
        fixture.store.answer(error::StoreUnavailable);
        CHECK(callsWithin(9s) >= 9);
    }
    SECTION("an instance with a configuration retries rarely")
    {
        fixture.synchronise();
        role = reader_role::None;
        fixture.store.answer(error::StoreUnavailable);
        const int calls = callsWithin(15s);
        CHECK(calls >= 8);
        CHECK(calls <= 20);
    }
    SECTION("the primary reader retries often")
    {
        fixture.synchronise();
        fixture.store.answer(error::StoreUnavailable);
        CHECK(callsWithin(9s) >= 9);
    }
}

TEST_CASE("A watch answer that is older than the adopted state changes nothing", "[sync]")
{
    // Guards against an upstream's state that reverts to an older one until its next change.
    sync_fixture fixture;
    fixture.synchronise();
    REQUIRE(fixture.store.call().after == 100);
    auto draining = makeUpstream("i-1", "desk", "a");
    draining.isDraining = true;
    state_snapshot newer;
    newer.revision = 120;
    newer.contentRevision = 120;
    newer.evacuations = evacuated_domains {120, {}};
    newer.upstreams = {draining, makeUpstream("i-2", "desk", "a")};
    REQUIRE(fixture.state.adopt(newer, fixture.clock.now(), fixture.clock.now()));
    fixture.store.answer(fleet_changes {110, {makeUpstream("i-1", "desk", "a")}});
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Draining);
    CHECK(fixture.state.revision() == 120);
    CHECK(fixture.waitForCall() <= 200ms);
    CHECK(fixture.store.call().after == 120);
}

TEST_CASE("Continual changes of upstreams that warm up are batched into few calls", "[sync]")
{
    // Guards against one call per change: 150 upstreams that warmed up changed their announcements
    // more than a hundred times per second.
    sync_fixture fixture;
    auto role = reader_role::Primary;
    std::uint64_t maxCalls = 0;
    SECTION("the primary reader")
    {
        maxCalls = 67; // ten seconds with one call per 150 ms
    }
    SECTION("the backup reader")
    {
        role = reader_role::Backup;
        maxCalls = 23;
    }
    fixture.follower.setRolePolicy([&] { return role; });
    fixture.synchronise();
    std::uint64_t revision = 100;
    const auto before = fixture.follower.callsStarted();
    for (int i = 0; i < 1000; ++i) {
        fixture.step(10ms);
        ++revision;
        if (fixture.store.isCalled())
            fixture.store.answer(fleet_changes {revision, {makeUpstream("i-1", "desk", "a")}});
    }
    const auto calls = fixture.follower.callsStarted() - before;
    CHECK(calls <= maxCalls);
    CHECK(calls >= maxCalls / 2);
}

TEST_CASE("A watch after a failed call has the full timeout", "[sync]")
{
    // Guards against a backup reader with short watches, because the batch delay from before the
    // outage is still subtracted from the timeout.
    sync_fixture fixture;
    fixture.follower.setRolePolicy([] { return reader_role::Backup; });
    fixture.synchronise();
    fixture.store.answer(fleet_changes {101, {makeUpstream("i-1", "desk", "a")}});
    fixture.waitForCall();
    fixture.store.answer(error::StoreUnavailable);
    fixture.waitForCall();
    CHECK(fixture.store.lastWatchWait == follower_settings().watchTimeout);
}

TEST_CASE("The batch delay of a backup does not extend the time between two answers", "[sync]")
{
    // Guards against a third instance that becomes a reader because it takes the backup for failed.
    sync_fixture fixture;
    fixture.follower.setRolePolicy([] { return reader_role::Backup; });
    fixture.synchronise();
    const follower_settings settings;
    CHECK(fixture.store.lastWatchWait == settings.watchTimeout);
    fixture.store.answer(fleet_changes {101, {makeUpstream("i-1", "desk", "a")}});
    const auto pause = fixture.waitForCall();
    CHECK(pause + fixture.store.lastWatchWait <= settings.watchTimeout + 10ms);
    CHECK(fixture.store.lastWatchWait >= 200ms);
}

TEST_CASE("Power loss of all: upstreams are known before a large configuration is loaded", "[sync]")
{
    // Guards against open flows that wait for a configuration that they do not need: with 2,000
    // routes on a link of 10 Mbit/s loading it took 0.45 s.
    sync_fixture fixture;
    fixture.step(30ms);
    CHECK_FALSE(fixture.store.upstreamsDone);
    fixture.step(20ms);
    REQUIRE(fixture.store.upstreamsDone);
    int notifications = 0;
    fixture.follower.setEarlyUpstreamsHandler([&notifications] { ++notifications; });
    const auto early = std::exchange(fixture.store.upstreamsDone, nullptr);
    SECTION("upstreams are known, and the configuration follows")
    {
        early(fleet_changes {90, {makeUpstream("i-1", "desk", "a")}});
        CHECK(notifications == 1);
        CHECK_FALSE(fixture.state.isSynchronised());
        CHECK(fixture.state.revision() == 0);
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Ready);
        fixture.store.answer(
            fleet_changes {100, {makeConfig(1), makeUpstream("i-2", "desk", "a")}});
        CHECK(fixture.state.revision() == 100);
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
        CHECK(fixture.lifecycleOf("i-2") == lifecycle_state::Ready);
    }
    SECTION("an answer that arrives after the load changes nothing")
    {
        fixture.synchronise();
        early(fleet_changes {90, {makeUpstream("i-9", "desk", "a")}});
        CHECK(notifications == 0);
        CHECK(fixture.directory.find("i-9") == nullptr);
    }
    SECTION("a failed read is not retried")
    {
        early(error::StoreUnavailable);
        fixture.step(100ms);
        CHECK_FALSE(fixture.store.upstreamsDone);
        CHECK(notifications == 0);
    }
}

TEST_CASE("Outage of the store: a state without the expired upstreams does not make them gone",
          "[sync]")
{
    // Guards against losing upstreams whose leases expired while the store did not answer: an
    // instance that starts when the store recovers loads a list without them and sends it to
    // instances that ran before (incident inc-aad3: 17 of 18 upstreams were gone at once).
    sync_fixture fixture;
    fixture.synchronise();
    state_snapshot emptySnapshot;
    emptySnapshot.revision = 120;
    emptySnapshot.contentRevision = 120;
    emptySnapshot.hasConfig = true;
    emptySnapshot.config = makeConfig(1);
    SECTION("after an outage of six seconds")
    {
        fixture.step(6s);
        REQUIRE(fixture.state.adopt(emptySnapshot, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Missing);
        // The snapshot passes on that they may be announced again.
        const auto snapshot = fixture.state.snapshot(0, 0, fixture.clock.now());
        CHECK(snapshot.outageGraceLeft > 0s);
        CHECK(snapshot.missing.size() == 2);
    }
    SECTION("without an outage they are gone at once")
    {
        fixture.step(500ms);
        REQUIRE(fixture.state.adopt(emptySnapshot, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
    }
    SECTION("a draining upstream is gone after an outage too")
    {
        auto draining = makeUpstream("i-1", "desk", "a");
        draining.isDraining = true;
        fixture.store.answer(fleet_changes {110, {draining}});
        fixture.step(6s);
        REQUIRE(fixture.state.adopt(emptySnapshot, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
    }
}

TEST_CASE("Continual changes do not extend the grace period after an outage", "[sync]")
{
    // Guards against a grace period that each change or each message of another instance restarts:
    // an upstream that crashed would stay missing and never be gone.
    sync_fixture one;
    sync_fixture other;
    one.synchronise();
    other.synchronise();
    one.state.apply({110, {}}, true, one.clock.now());
    std::uint64_t revision = 110;
    for (int second = 0; second < 12; ++second) {
        sync_fixture &sender = second % 2 == 0 ? one : other;
        sync_fixture &receiver = second % 2 == 0 ? other : one;
        ++revision;
        sender.state.apply({revision, {makeUpstream("i-2", "desk", "a")}}, false,
                           sender.clock.now());
        receiver.state.adopt(sender.state.snapshot(1, revision - 1, sender.clock.now()),
                             receiver.clock.now(), receiver.clock.now());
        one.clock.advance(1s);
        other.clock.advance(1s);
    }
    one.state.apply({revision + 1, {upstream_withdrawal {"i-1", false}}}, false, one.clock.now());
    CHECK(one.lifecycleOf("i-1") == lifecycle_state::Gone);
}

TEST_CASE("An instance that starts after announcements expired learns of the missing upstreams",
          "[sync]")
{
    // Guards against open flows whose upstream is unknown to an instance that has just started.
    sync_fixture before;
    before.synchronise();
    before.store.answer(error::StoreUnavailable);
    before.waitForCall();
    before.store.answer(fleet_changes {110, {upstream_withdrawal {"i-1", false}}});
    REQUIRE(before.lifecycleOf("i-1") == lifecycle_state::Missing);

    sync_fixture started;
    started.store.answer(fleet_changes {110, {makeConfig(1), makeUpstream("i-2", "desk", "a")}});
    REQUIRE(started.directory.find("i-1") == nullptr);
    const auto snapshot = before.state.snapshot(1, 110, before.clock.now());
    CHECK(snapshot.upstreams.empty());
    started.state.adopt(snapshot, started.clock.now(), started.clock.now());
    REQUIRE(started.directory.find("i-1") != nullptr);
    CHECK(started.lifecycleOf("i-1") == lifecycle_state::Missing);
    CHECK(started.directory.findByTag(tagOfName("i-1")) != nullptr);
    started.step(3s);
    started.state.expire(started.clock.now());
    CHECK(started.lifecycleOf("i-1") == lifecycle_state::Gone);
}
