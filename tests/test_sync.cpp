/**
 * @file test_sync.cpp
 * The state and the calls that keep it in step with the store.
 */

#include "entry_support.h"
#include "sync/state_codec_func.h"
#include "sync/store_follower_base.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/// What another instance published: "i-1" and "i-2" of the service "desk".
state_snapshot makeSnapshot(store_revision revision)
{
    state_snapshot snapshot;
    snapshot.revision = revision;
    snapshot.contentRevision = revision;
    snapshot.hasConfig = true;
    snapshot.config = makeConfig(1);
    snapshot.upstreams = {makeUpstream("i-1", "desk", "a"), makeUpstream("i-2", "desk", "a")};
    return snapshot;
}

/** A follower whose store answers as a test says. */
struct follower_fixture
{
    follower_fixture()
    {
        follower.tick();
        store.answerSnapshot();
    }

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

    /// Steps until the next call is made; returns the time that took.
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

    lifecycle_state standingOf(const std::string &name) const
    {
        return directory.find(name)->lifecycle;
    }

    int sink = ::open("/dev/null", O_WRONLY);
    stepped_clock clock;
    seeded_random random {1};
    event_log log {sink, clock};
    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 3, 1}};
    fleet_state state {routes, directory, placement, log};
    scripted_store store;
    store_follower follower {store, state, clock, random, log};
};

} // namespace

TEST_CASE("The follower loads once and then watches from that revision", "[sync]")
{
    follower_fixture fixture;
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

TEST_CASE("Changes are applied, and the next watch waits for more of them", "[sync]")
{
    follower_fixture fixture;
    fixture.synchronise();
    auto draining = makeUpstream("i-1", "desk", "a");
    draining.isDraining = true;
    fixture.store.answer(fleet_changes {105, {makeConfig(2), draining}});
    CHECK(fixture.routes.version() == 2);
    CHECK(fixture.standingOf("i-1") == lifecycle_state::Draining);
    CHECK_FALSE(fixture.store.isCalled());
    CHECK(fixture.waitForCall() <= 200ms);
    CHECK(fixture.store.call().after == 105);
}

TEST_CASE("After lost history everything is loaded again", "[sync]")
{
    // Guards against a state that stays old because the changes in between were dropped.
    follower_fixture fixture;
    fixture.synchronise();
    fixture.store.answer(error::HistoryLost);
    fixture.follower.tick();
    REQUIRE(fixture.store.isCalled());
    REQUIRE(fixture.store.call().kind == scripted_store::call_kind::Load);
    fixture.store.answer(fleet_changes {200, {makeConfig(3), makeUpstream("i-2", "desk", "a")}});
    CHECK(fixture.routes.version() == 3);
    CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
    CHECK(fixture.standingOf("i-2") == lifecycle_state::Ready);
    CHECK(fixture.store.call().after == 200);
}

TEST_CASE("A store that does not answer is asked with growing pauses, at least each second",
          "[sync]")
{
    follower_fixture fixture;
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

TEST_CASE("Announcements that lapsed while the store was away may return", "[sync]")
{
    follower_fixture fixture;
    fixture.synchronise();
    fixture.store.answer(error::StoreUnavailable);
    fixture.waitForCall();
    SECTION("the watch tells of them")
    {
        fixture.store.answer(fleet_changes {110, {upstream_withdrawal {"i-1", false}}});
    }
    SECTION("the history is lost and they are missing from the list")
    {
        fixture.store.answer(error::HistoryLost);
        fixture.follower.tick();
        fixture.store.answer(
            fleet_changes {110, {makeConfig(1), makeUpstream("i-2", "desk", "a")}});
    }
    CHECK(fixture.standingOf("i-1") == lifecycle_state::Missing);
    fixture.clock.advance(2300ms);
    fixture.state.expire(fixture.clock.now());
    CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
}

TEST_CASE("An announcement that is removed while the store answers is gone at once", "[sync]")
{
    follower_fixture fixture;
    fixture.synchronise();
    fixture.store.answer(fleet_changes {110, {upstream_withdrawal {"i-1", false}}});
    CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
    fixture.waitForCall();
    fixture.store.answer(fleet_changes {111, {upstream_withdrawal {"unknown", false}}});
    CHECK(fixture.standingOf("i-2") == lifecycle_state::Ready);
}

TEST_CASE("A malformed entry takes its upstream out, whatever happened to the store", "[sync]")
{
    follower_fixture fixture;
    fixture.synchronise();
    fixture.store.answer(error::StoreUnavailable);
    fixture.waitForCall();
    fixture.store.answer(fleet_changes {110, {upstream_withdrawal {"i-1", true}}});
    CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
}

TEST_CASE("A process that was suspended abandons its watch and asks at once", "[sync]")
{
    // Guards against a connection that fell silent during a suspension.
    follower_fixture fixture;
    fixture.synchronise();
    fixture.clock.advance(5s);
    fixture.follower.refresh();
    CHECK(fixture.store.cancelled == 1);
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Watch);
}

TEST_CASE("Instances that lost the store together do not come back in one moment", "[sync]")
{
    std::set<monotonic_time> pauses;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        follower_fixture fixture;
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

TEST_CASE("An instance that need not read leaves the store alone while its state is fresh",
          "[sync]")
{
    follower_fixture fixture;
    auto role = reader_role::Primary;
    fixture.follower.setRolePolicy([&] { return role; });
    fixture.synchronise();
    REQUIRE(fixture.store.isCalled());
    role = reader_role::None;
    fixture.store.answer(fleet_changes {100, {}});
    CHECK_FALSE(fixture.store.isCalled());
    SECTION("it asks when they grow old")
    {
        // Guards against changes that nobody tells because all readers died.
        CHECK(fixture.waitForCall() <= 2050ms);
    }
    SECTION("it does not while others confirm them")
    {
        for (int i = 0; i < 100; ++i) {
            fixture.state.confirm(100, fixture.clock.now());
            fixture.step(100ms);
            CHECK_FALSE(fixture.store.isCalled());
        }
    }
    SECTION("it asks when it becomes a reader")
    {
        role = reader_role::Primary;
        CHECK(fixture.waitForCall() <= 10ms);
    }
}

TEST_CASE("A start with a snapshot: open flows go on, new ones wait for what changed since",
          "[sync]")
{
    // Guards against an upstream that left and is used again by a process that starts.
    follower_fixture fixture;
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
    SECTION("what changed is applied")
    {
        fixture.store.answer(fleet_changes {100, {upstream_withdrawal {"i-1", false}}});
        CHECK(fixture.state.isSynchronised());
        CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
        CHECK(fixture.state.revision() == 100);
    }
    SECTION("the store dropped the history since: everything is loaded")
    {
        fixture.store.answer(error::HistoryLost);
        fixture.clock.advance(10ms);
        follower.tick();
        REQUIRE(fixture.store.isCalled());
        CHECK(fixture.store.call().kind == scripted_store::call_kind::Load);
        fixture.store.answer(
            fleet_changes {100, {makeConfig(2), makeUpstream("i-2", "desk", "a")}});
        CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
        CHECK(fixture.state.isSynchronised());
    }
    SECTION("another instance tells it first")
    {
        state_snapshot newer;
        newer.baseRevision = 90;
        newer.revision = 101;
        newer.contentRevision = 101;
        newer.removedUpstreams = {"i-1"};
        CHECK(fixture.state.adopt(newer, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.state.isSynchronised());
        CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
    }
    SECTION("another instance confirms that nothing changed")
    {
        state_snapshot same;
        same.baseRevision = 90;
        same.revision = 90;
        CHECK(fixture.state.adopt(same, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.state.isSynchronised());
    }
}

TEST_CASE("A start before the first configuration waits for it in one call", "[sync]")
{
    // Guards against hundreds of instances that poll while the operators prepare the first day.
    follower_fixture fixture;
    fixture.store.answer(fleet_changes {100, {makeUpstream("i-1", "desk", "a")}});
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Watch);
    CHECK(fixture.store.lastWatchWait == follower_settings {}.watchTimeout);
    fixture.store.answer(fleet_changes {110, {makeConfig(1)}});
    CHECK(fixture.state.isSynchronised());
}

TEST_CASE("A start does not depend on the snapshot", "[sync]")
{
    follower_fixture fixture;
    store_follower follower(fixture.store, fixture.state, fixture.clock, fixture.random,
                            fixture.log);
    fixture.store.cancel();
    fixture.store.snapshot = published_snapshot {95, encodeState(makeSnapshot(90))};
    follower.tick();
    SECTION("it can't be read")
    {
        fixture.store.snapshot->bytes.resize(20);
        fixture.store.answerSnapshot();
    }
    SECTION("it is of another release")
    {
        fixture.store.snapshot->bytes[4] ^= std::byte {0x40};
        fixture.store.answerSnapshot();
    }
    SECTION("it comes late")
    {
        fixture.clock.advance(130ms);
        follower.tick();
    }
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Load);
    fixture.store.answer(fleet_changes {100, {makeConfig(1), makeUpstream("i-3", "desk", "a")}});
    CHECK(fixture.state.isSynchronised());
    if (fixture.store.snapshotDone) {
        // Older than what was loaded.
        fixture.store.answerSnapshot();
        CHECK(fixture.state.revision() == 100);
        CHECK(fixture.directory.find("i-1") == nullptr);
    }
}

TEST_CASE("Power loss of all: a few instances ask the store at once, the others each other",
          "[sync]")
{
    // Pattern: 200 instances of a domain start within a moment after a new configuration.
    std::map<int, int> instancesByDelay; // by step of 40 ms
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        follower_fixture fixture;
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

TEST_CASE("Outage of the store: an instance that is no reader asks rarely", "[sync]")
{
    // Pattern: the store refuses hundreds of instances whose state grew old, and counts each call.
    follower_fixture fixture;
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
    SECTION("it starts and has no configuration")
    {
        role = reader_role::None;
        fixture.store.answer(error::StoreUnavailable);
        CHECK(callsWithin(9s) >= 9);
    }
    SECTION("it has one")
    {
        fixture.synchronise();
        role = reader_role::None;
        fixture.store.answer(error::StoreUnavailable);
        const int calls = callsWithin(15s);
        CHECK(calls >= 8);
        CHECK(calls <= 20);
    }
    SECTION("it reads for its domain")
    {
        fixture.synchronise();
        fixture.store.answer(error::StoreUnavailable);
        CHECK(callsWithin(9s) >= 9);
    }
}

TEST_CASE("The answer of a watch that others overtook changes nothing", "[sync]")
{
    // Guards against an upstream's state that goes back and stays back until its next change.
    follower_fixture fixture;
    fixture.synchronise();
    REQUIRE(fixture.store.call().after == 100);
    auto draining = makeUpstream("i-1", "desk", "a");
    draining.isDraining = true;
    state_snapshot newer;
    newer.revision = 120;
    newer.contentRevision = 120;
    newer.upstreams = {draining, makeUpstream("i-2", "desk", "a")};
    REQUIRE(fixture.state.adopt(newer, fixture.clock.now(), fixture.clock.now()));
    fixture.store.answer(fleet_changes {110, {makeUpstream("i-1", "desk", "a")}});
    CHECK(fixture.standingOf("i-1") == lifecycle_state::Draining);
    CHECK(fixture.state.revision() == 120);
    CHECK(fixture.waitForCall() <= 200ms);
    CHECK(fixture.store.call().after == 120);
}

TEST_CASE("Warming upstreams: changes all the time cost few calls", "[sync]")
{
    // Guards against one call per change: 150 upstreams that warm up changed their announcements
    // more than a hundred times per second.
    follower_fixture fixture;
    auto role = reader_role::Primary;
    std::uint64_t maxCalls = 0;
    SECTION("the first reader")
    {
        maxCalls = 67; // ten seconds, one call each 150 ms
    }
    SECTION("the backup")
    {
        role = reader_role::Backup;
        maxCalls = 23;
    }
    fixture.follower.setRolePolicy([&] { return role; });
    fixture.synchronise();
    store_revision revision = 100;
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

TEST_CASE("After a failed call a watch is held for its whole time", "[sync]")
{
    // Guards against a backup that pays for short watches because it paused before an outage.
    follower_fixture fixture;
    fixture.follower.setRolePolicy([] { return reader_role::Backup; });
    fixture.synchronise();
    fixture.store.answer(fleet_changes {101, {makeUpstream("i-1", "desk", "a")}});
    fixture.waitForCall();
    fixture.store.answer(error::StoreUnavailable);
    fixture.waitForCall();
    CHECK(fixture.store.lastWatchWait == follower_settings().watchTimeout);
}

TEST_CASE("The pause of a backup does not lengthen the time between two answers", "[sync]")
{
    // Guards against a backup that others take for silent, so that a third instance reads.
    follower_fixture fixture;
    fixture.follower.setRolePolicy([] { return reader_role::Backup; });
    fixture.synchronise();
    const follower_settings settings;
    CHECK(fixture.store.lastWatchWait == settings.watchTimeout);
    fixture.store.answer(fleet_changes {101, {makeUpstream("i-1", "desk", "a")}});
    const auto pause = fixture.waitForCall();
    CHECK(pause + fixture.store.lastWatchWait <= settings.watchTimeout + 10ms);
    CHECK(fixture.store.lastWatchWait >= 200ms);
}

TEST_CASE("Power loss of all: upstreams are known before a large configuration is", "[sync]")
{
    // Guards against open flows that wait for a configuration they don't need: with 2,000 routes on
    // a link of 10 Mbit/s that took 0.45 s.
    follower_fixture fixture;
    fixture.step(30ms);
    CHECK_FALSE(fixture.store.upstreamsDone);
    fixture.step(20ms);
    REQUIRE(fixture.store.upstreamsDone);
    int notifications = 0;
    fixture.follower.setEarlyUpstreamsHandler([&notifications] { ++notifications; });
    const auto early = std::exchange(fixture.store.upstreamsDone, nullptr);
    SECTION("open flows find them, and the configuration is still to come")
    {
        early(fleet_changes {90, {makeUpstream("i-1", "desk", "a")}});
        CHECK(notifications == 1);
        CHECK_FALSE(fixture.state.isSynchronised());
        CHECK(fixture.state.revision() == 0);
        CHECK(fixture.standingOf("i-1") == lifecycle_state::Ready);
        fixture.store.answer(
            fleet_changes {100, {makeConfig(1), makeUpstream("i-2", "desk", "a")}});
        CHECK(fixture.state.revision() == 100);
        CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
        CHECK(fixture.standingOf("i-2") == lifecycle_state::Ready);
    }
    SECTION("an answer that comes after everything changes nothing")
    {
        fixture.synchronise();
        early(fleet_changes {90, {makeUpstream("i-9", "desk", "a")}});
        CHECK(notifications == 0);
        CHECK(fixture.directory.find("i-9") == nullptr);
    }
    SECTION("a failure is no reason to ask again")
    {
        early(error::StoreUnavailable);
        fixture.step(100ms);
        CHECK_FALSE(fixture.store.upstreamsDone);
        CHECK(notifications == 0);
    }
}

TEST_CASE("Outage of the store: what lapsed is not lost because another instance tells it",
          "[sync]")
{
    // Pattern: the store is silent and leases run out meanwhile. An instance that started at its
    // return loads a list without upstreams and tells it to those that were there before (incident
    // inc-aad3: 17 of 18 upstreams were gone at once).
    follower_fixture fixture;
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
        CHECK(fixture.standingOf("i-1") == lifecycle_state::Missing);
        // It passes on that announcements may come back.
        const auto snapshot = fixture.state.snapshot(0, 0, fixture.clock.now());
        CHECK(snapshot.outageGraceLeft > 0s);
        CHECK(snapshot.missing.size() == 2);
    }
    SECTION("without an outage they are gone")
    {
        fixture.step(500ms);
        REQUIRE(fixture.state.adopt(emptySnapshot, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
    }
    SECTION("one that said that it leaves is gone after an outage too")
    {
        auto draining = makeUpstream("i-1", "desk", "a");
        draining.isDraining = true;
        fixture.store.answer(fleet_changes {110, {draining}});
        fixture.step(6s);
        REQUIRE(fixture.state.adopt(emptySnapshot, fixture.clock.now(), fixture.clock.now()));
        CHECK(fixture.standingOf("i-1") == lifecycle_state::Gone);
    }
}

TEST_CASE("Announcements may lapse for a bounded time though changes go on", "[sync]")
{
    // Guards against a window that each change, or each instance that tells of it, opens anew: an
    // upstream that crashed would be taken for one that may come back for ever.
    follower_fixture one;
    follower_fixture other;
    one.synchronise();
    other.synchronise();
    one.state.apply({110, {}}, true, one.clock.now());
    store_revision revision = 110;
    for (int second = 0; second < 12; ++second) {
        follower_fixture &sender = second % 2 == 0 ? one : other;
        follower_fixture &receiver = second % 2 == 0 ? other : one;
        ++revision;
        sender.state.apply({revision, {makeUpstream("i-2", "desk", "a")}}, false,
                           sender.clock.now());
        receiver.state.adopt(sender.state.snapshot(1, revision - 1, sender.clock.now()),
                             receiver.clock.now(), receiver.clock.now());
        one.clock.advance(1s);
        other.clock.advance(1s);
    }
    one.state.apply({revision + 1, {upstream_withdrawal {"i-1", false}}}, false, one.clock.now());
    CHECK(one.standingOf("i-1") == lifecycle_state::Gone);
}

TEST_CASE("An instance that starts when announcements lapsed learns of them from others", "[sync]")
{
    // Guards against open flows whose upstream is unknown to an instance that started just now.
    follower_fixture before;
    before.synchronise();
    before.store.answer(error::StoreUnavailable);
    before.waitForCall();
    before.store.answer(fleet_changes {110, {upstream_withdrawal {"i-1", false}}});
    REQUIRE(before.standingOf("i-1") == lifecycle_state::Missing);

    follower_fixture started;
    started.store.answer(fleet_changes {110, {makeConfig(1), makeUpstream("i-2", "desk", "a")}});
    REQUIRE(started.directory.find("i-1") == nullptr);
    const auto snapshot = before.state.snapshot(1, 110, before.clock.now());
    CHECK(snapshot.upstreams.empty());
    started.state.adopt(snapshot, started.clock.now(), started.clock.now());
    REQUIRE(started.directory.find("i-1") != nullptr);
    CHECK(started.standingOf("i-1") == lifecycle_state::Missing);
    CHECK(started.directory.findByTag(tagOfName("i-1")) != nullptr);
    started.step(3s);
    started.state.expire(started.clock.now());
    CHECK(started.standingOf("i-1") == lifecycle_state::Gone);
}
