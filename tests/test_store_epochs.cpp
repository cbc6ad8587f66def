/**
 * @file test_store_epochs.cpp
 * State, store follower, snapshots and gossip when the store was restored from a copy.
 */

#include "entry/instance_registrar_base.h"
#include "gossip/gossip_codec_func.h"
#include "gossip_support.h"
#include "state_support.h"
#include "sync/snapshot_publisher_base.h"
#include "sync/state_codec_func.h"

#include <catch2/catch.hpp>

#include <fcntl.h>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/// An announcement of an upstream that started once.
upstream_announcement announcementOf(const std::string &name, std::uint64_t sequence,
                                     bool isDraining = false)
{
    auto announced = makeUpstream(name, "desk", "a");
    announced.startedAtMs = 1000;
    announced.sequenceNumber = sequence;
    announced.isDraining = isDraining;
    return announced;
}

/** A follower with a scripted store, whose state is at number 100 of epoch 1. */
struct epoch_fixture : follower_fixture
{
    epoch_fixture()
    {
        store.answer(
            fleet_changes {{100, 1},
                           {makeConfig(5), announcementOf("i-1", 7), announcementOf("i-2", 9),
                            domain_evacuation {"b"}, peers.at(0), peers.at(1)}});
        REQUIRE(state.isSynchronised());
    }

    void step(monotonic_time duration)
    {
        for (monotonic_time passed {0}; passed < duration; passed += 10ms) {
            clock.advance(10ms);
            follower.tick();
            state.expire(clock.now());
        }
    }

    /// The watch is refused, and the restored store is loaded.
    void restore(std::vector<fleet_change> content, std::uint64_t number = 60)
    {
        store.answer(error::HistoryLost);
        follower.tick();
        REQUIRE(store.call().kind == scripted_store::call_kind::Load);
        store.answer(fleet_changes {{number, 2}, std::move(content)});
    }

    const std::vector<instance_registration> peers {{"f-1", "a", {0x0a000001, 7720}},
                                                    {"f-2", "a", {0x0a000002, 7720}}};
};

} // namespace

TEST_CASE("Revisions of different epochs are ordered by their epoch", "[restore]")
{
    CHECK(store_revision {5, 2} > store_revision {100, 1});
    CHECK(store_revision {100, 1} < store_revision {100, 2});
    CHECK(store_revision {100, 1} != store_revision {100, 2});
    CHECK_FALSE(store_revision {0, 3});
}

TEST_CASE("The state of a restored store replaces one with a higher number", "[restore]")
{
    // Guards against an instance that discards what the restored store has until its numbers have
    // caught up.
    epoch_fixture fixture;
    fixture.restore({makeConfig(6), announcementOf("i-2", 9), announcementOf("i-3", 1)});
    CHECK(fixture.state.revision() == store_revision {60, 2});
    CHECK(fixture.routes.version() == 6);
    CHECK(fixture.lifecycleOf("i-3") == lifecycle_state::Ready);
    REQUIRE(fixture.store.call().kind == scripted_store::call_kind::Watch);
    CHECK(fixture.store.call().after == store_revision {60, 2});
    fixture.store.answer(fleet_changes {{61, 2}, {makeConfig(7)}});
    CHECK(fixture.routes.version() == 7);
}

TEST_CASE("Changes of a restored store are not applied to a state from before", "[restore]")
{
    // Guards against a watch that goes on after a number that was given out again: the changes
    // before it would be missing for good.
    epoch_fixture fixture;
    fixture.store.answer(fleet_changes {{103, 2}, {announcementOf("i-9", 1)}});
    CHECK(fixture.directory.find("i-9") == nullptr);
    CHECK(fixture.state.revision() == store_revision {100, 1});
    fixture.follower.tick();
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Load);
}

TEST_CASE("An older configuration in a restored store does not replace the one in force",
          "[restore]")
{
    epoch_fixture fixture;
    fixture.restore({makeConfig(3)});
    CHECK(fixture.routes.version() == 5);
    fixture.store.answer(fleet_changes {{61, 2}, {makeConfig(5)}});
    CHECK(fixture.routes.version() == 5);
    fixture.step(400ms);
    fixture.store.answer(fleet_changes {{62, 2}, {makeConfig(6)}});
    CHECK(fixture.routes.version() == 6);
}

TEST_CASE("An upstream that leaves stays draining when the store returns to an older announcement",
          "[restore]")
{
    // Guards against new flows to an upstream that said it leaves before the store was restored.
    epoch_fixture fixture;
    fixture.store.answer(fleet_changes {{101, 1}, {announcementOf("i-1", 8, true)}});
    fixture.step(400ms);
    fixture.restore({announcementOf("i-1", 7), announcementOf("i-2", 9)});
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Draining);
    SECTION("it writes its state again")
    {
        fixture.store.answer(fleet_changes {{61, 2}, {announcementOf("i-1", 10, true)}});
        fixture.step(6s);
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Draining);
    }
    SECTION("its announcement expires")
    {
        fixture.store.answer(fleet_changes {{61, 2}, {upstream_withdrawal {"i-1"}}});
        fixture.step(6s);
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
    }
    SECTION("it started again meanwhile")
    {
        auto restarted = announcementOf("i-1", 1);
        restarted.startedAtMs = 2000;
        fixture.store.answer(fleet_changes {{61, 2}, {restarted}});
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Ready);
    }
    SECTION("the store keeps the older announcement after the grace period")
    {
        fixture.step(6s);
        CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Ready);
    }
}

TEST_CASE("An upstream that is gone is not used again because a restored store lists it",
          "[restore]")
{
    epoch_fixture fixture;
    fixture.store.answer(fleet_changes {{101, 1}, {announcementOf("i-1", 8, true)}});
    fixture.step(400ms);
    fixture.store.answer(fleet_changes {{102, 1}, {upstream_withdrawal {"i-1"}}});
    fixture.step(400ms);
    REQUIRE(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
    fixture.restore({announcementOf("i-1", 7), announcementOf("i-2", 9)});
    CHECK(fixture.lifecycleOf("i-1") == lifecycle_state::Gone);
}

TEST_CASE("Upstreams that a restored store lacks are missing until they could announce again",
          "[restore]")
{
    epoch_fixture fixture;
    fixture.restore({announcementOf("i-1", 7)});
    CHECK(fixture.lifecycleOf("i-2") == lifecycle_state::Missing);
    fixture.step(4s);
    CHECK(fixture.lifecycleOf("i-2") == lifecycle_state::Gone);
}

TEST_CASE("Evacuations that a restored store lacks end with the grace period", "[restore]")
{
    // Guards against flows to an evacuated domain until the operator writes the evacuation again,
    // and against evacuations that the restored store adds later than others.
    epoch_fixture fixture;
    REQUIRE(fixture.state.evacuatedDomains() == std::set<std::string> {"b"});
    fixture.restore({domain_evacuation {"c"}});
    CHECK(fixture.state.evacuatedDomains() == std::set<std::string> {"b", "c"});
    CHECK(fixture.state.evacuations().names == std::set<std::string> {"c"});
    SECTION("it is not written again")
    {
        fixture.step(6s);
        CHECK(fixture.state.evacuatedDomains() == std::set<std::string> {"c"});
    }
    SECTION("it is written again")
    {
        fixture.store.answer(fleet_changes {{61, 2}, {domain_evacuation {"b"}}});
        fixture.step(6s);
        CHECK(fixture.state.evacuatedDomains() == std::set<std::string> {"b", "c"});
    }
    SECTION("an evacuation ends while the grace period is running")
    {
        fixture.store.answer(fleet_changes {{61, 2}, {domain_evacuation {"c", true}}});
        CHECK(fixture.state.evacuatedDomains() == std::set<std::string> {"b"});
    }
}

TEST_CASE("Instances whose registrations were lost stay peers until they could register again",
          "[restore]")
{
    // Guards against gossip that stops because the restored store lists no instance.
    epoch_fixture fixture;
    fixture.restore({makeConfig(5), fixture.peers.at(0)});
    CHECK(fixture.state.instances().size() == 1);
    CHECK(fixture.state.formerInstances().contains("f-2"));
    const instance_registration self {"f-0", "a", {0x0a000009, 7720}};
    const peer_view view(fixture.state, self);
    CHECK(view.localPeers().size() == 2);
    SECTION("it registers")
    {
        fixture.store.answer(fleet_changes {{61, 2}, {fixture.peers.at(1)}});
        CHECK(fixture.state.formerInstances().empty());
        fixture.step(6s);
        CHECK(view.localPeers().size() == 2);
    }
    SECTION("it does not register")
    {
        fixture.step(6s);
        CHECK(view.localPeers().size() == 1);
    }
}

TEST_CASE("Watches that are refused again and again do not make the store calls faster",
          "[restore]")
{
    // Guards against a load and a watch every 50 ms from each instance while the store refuses to
    // continue from what it has just returned.
    epoch_fixture fixture;
    const auto before = fixture.follower.callsStarted();
    for (monotonic_time passed {0}; passed < 10s; passed += 10ms) {
        fixture.step(10ms);
        if (!fixture.store.isCalled())
            continue;
        if (fixture.store.call().kind == scripted_store::call_kind::Load)
            fixture.store.answer(fleet_changes {{100, 1}, {makeConfig(5)}});
        else
            fixture.store.answer(error::HistoryLost);
    }
    CHECK(fixture.follower.callsStarted() - before < 50);
}

TEST_CASE("After a refused watch, a state from another instance replaces the load", "[restore]")
{
    // Guards against one load per instance after a restore, when a few in each domain are enough.
    epoch_fixture fixture;
    epoch_fixture other;
    other.restore({makeConfig(6), announcementOf("i-1", 7)});
    fixture.state.adopt(other.state.snapshot(5, {100, 1}, other.clock.now()), fixture.clock.now(),
                        fixture.clock.now());
    CHECK(fixture.state.revision() == store_revision {60, 2});
    fixture.store.answer(error::HistoryLost);
    fixture.follower.tick();
    REQUIRE(fixture.store.isCalled());
    CHECK(fixture.store.call().kind == scripted_store::call_kind::Watch);
    CHECK(fixture.store.call().after == store_revision {60, 2});
}

TEST_CASE("A receiver at the same number of an older epoch gets the full state", "[restore]")
{
    // Guards against a delta after a number that stands for another state.
    epoch_fixture fixture;
    fixture.restore({makeConfig(6), announcementOf("i-1", 7)}, 100);
    const auto snapshot = fixture.state.snapshot(5, {100, 1}, fixture.clock.now());
    CHECK_FALSE(snapshot.baseRevision);
    CHECK(snapshot.upstreams.size() == 1);
    CHECK(fixture.state.snapshot(5, {100, 2}, fixture.clock.now()).baseRevision
          == store_revision {100, 2});
}

TEST_CASE("A digest of another epoch confirms nothing, and a newer one leads to a state request",
          "[restore]")
{
    // Guards against a state that counts as current although another instance has a different one
    // at the same number.
    gossip_fixture fixture(2);
    const auto load = [&](std::size_t i, store_revision revision, config_version version) {
        auto content = fixture.storeContent(revision, version);
        content.changes.emplace_back(instance_registration {"f-1", "a", {0x0a000002, 7720}});
        fixture.applyStoreContent(*fixture.instances[i], content);
    };
    load(0, {100, 1}, 1);
    load(1, {100, 1}, 1);
    fixture.isStoreAvailable = false;
    fixture.run(1s);
    load(1, {100, 2}, 1);
    fixture.run(1s);
    CHECK(fixture.instances[0]->state.revision() == store_revision {100, 2});
}

TEST_CASE("Messages carry epochs, and those of releases without them are recognized", "[restore]")
{
    gossip_digest digest;
    digest.sender = {"f-1", "a", {1, 1}};
    digest.revision = {100, 3};
    digest.contentRevision = {90, 3};
    digest.evacuations = evacuated_domains {{95, 3}, {"b"}};
    const auto decoded = std::get<gossip_digest>(decodeGossip(encodeGossip(digest)).value());
    CHECK(decoded.revision == digest.revision);
    CHECK(decoded.contentRevision == digest.contentRevision);
    CHECK(decoded.evacuations->revision == digest.evacuations->revision);
    CHECK(decoded.hasEpoch);
    digest.hasEpoch = false;
    const auto older = std::get<gossip_digest>(decodeGossip(encodeGossip(digest)).value());
    CHECK_FALSE(older.hasEpoch);
    CHECK(older.revision == store_revision {100});

    const gossip_state_request request {4, {100, 3}, 77};
    const auto decodedRequest =
        std::get<gossip_state_request>(decodeGossip(encodeGossip(request)).value());
    CHECK(decodedRequest.revision == request.revision);
    CHECK(decodedRequest.nonce == 77);

    state_snapshot snapshot;
    snapshot.baseRevision = {80, 3};
    snapshot.revision = {100, 3};
    snapshot.contentRevision = {100, 3};
    snapshot.evacuations = evacuated_domains {{100, 3}, {}};
    const auto state = decodeState(encodeState(snapshot)).value();
    CHECK(state.baseRevision == snapshot.baseRevision);
    CHECK(state.revision == snapshot.revision);
    snapshot.hasEpoch = false;
    CHECK_FALSE(decodeState(encodeState(snapshot)).value().hasEpoch);
}

TEST_CASE("A release without epochs gets changes, and after a restore the full state", "[restore]")
{
    // Guards against full states for each change while releases run side by side, and against a
    // delta after a number that was given out again.
    gossip_fixture fixture(2);
    auto &sender = *fixture.instances[0];
    const auto countUpstreams = [&] {
        std::optional<state_snapshot> received;
        fragment_assembler assembler;
        assembler.expectResponse(fixture.registrations[0].peerAddress, 5);
        fixture.network.attach(fixture.registrations[1].peerAddress,
                               [&](std::span<const std::byte> bytes, const endpoint &from) {
                                   const auto message = decodeGossip(bytes);
                                   const auto *fragment =
                                       std::get_if<gossip_state_fragment>(&message.value());
                                   if (fragment == nullptr || fragment->nonce != 5)
                                       return;
                                   if (const auto state = assembler.addFragment(from, *fragment))
                                       received = decodeState(*state).value();
                               });
        gossip_state_request request {1, 100, 5, false};
        sender.gossip.receive(fixture.registrations[1].peerAddress, encodeGossip(request));
        fixture.run(300ms);
        REQUIRE(received);
        return received->upstreams.size();
    };
    fixture.applyStoreContent(sender, fixture.storeContent({100, 3}, 1));
    sender.state.apply({{101, 3}, {announcementOf("i-3", 5)}}, false, fixture.clock.now());
    CHECK(countUpstreams() == 1);
    fixture.applyStoreContent(sender, fixture.storeContent({100, 4}, 1));
    sender.state.apply({{101, 4}, {announcementOf("i-3", 6)}}, false, fixture.clock.now());
    CHECK(countUpstreams() == 18);
}

TEST_CASE("A state of a release without epochs is used, but confirms nothing", "[restore]")
{
    // Guards against a state of unknown epoch that keeps an instance from reading the store.
    epoch_fixture source;
    auto snapshot = source.state.snapshot(0, {}, source.clock.now());
    snapshot.hasEpoch = false;
    const auto decoded = decodeState(encodeState(snapshot)).value();
    stepped_clock clock;
    clock.advance(60s);
    routing_table routes;
    upstream_directory directory;
    event_log log(::open("/dev/null", O_WRONLY), clock);
    domain_first_placement placement(directory, {"a", 3, 1});
    fleet_state state(routes, directory, placement, log);
    state.adopt(decoded, clock.now(), clock.now());
    CHECK(state.isSynchronised());
    CHECK(state.isStale(clock.now()));
    CHECK(routes.version() == 5);
    // The store's answer replaces it without a grace period: whether the store was restored is not
    // known.
    state.replace({{50, 4}, {makeConfig(5), announcementOf("i-1", 7)}}, false, clock.now());
    CHECK(state.revision() == store_revision {50, 4});
    CHECK(state.formerInstances().empty());
}

TEST_CASE("A snapshot is published soon after a restore, whatever the store has", "[restore]")
{
    // Guards against instances that start from a snapshot of the former epoch and all load the
    // store, and against a publisher that expects a snapshot which the store has lost.
    epoch_fixture fixture;
    publisher_settings settings;
    settings.interval = 8s;
    settings.minEntries = 1;
    settings.maxBytes = 1048576;
    snapshot_publisher publisher("a", fixture.store, fixture.state, fixture.clock, fixture.log,
                                 settings);
    publisher.tick(true);
    fixture.store.publishDone({});
    publisher.onSnapshotPublished({90, 1});
    publisher.tick(true);
    const auto before = fixture.store.published.size();
    fixture.restore({makeConfig(5), announcementOf("i-1", 7)});
    publisher.tick(true);
    REQUIRE(fixture.store.published.size() == before + 1);
    CHECK(decodeState(fixture.store.published.back().second).value().revision
          == store_revision {60, 2});
    // The store lost the snapshot that is to be replaced.
    fixture.store.publishDone(error::VersionConflict);
    fixture.store.answerSnapshot();
    fixture.step(10s);
    publisher.tick(true);
    REQUIRE(fixture.store.published.size() == before + 2);
    CHECK_FALSE(fixture.store.published.back().first);
}
