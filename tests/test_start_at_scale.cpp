/**
 * @file test_start_at_scale.cpp
 * Load limits when a whole fleet starts: snapshots, transfers between instances, number of readers.
 */

#include "core/compress_func.h"
#include "gossip/transfer_queue_base.h"
#include "gossip_support.h"
#include "platform/standin_codec.h"
#include "state_support.h"
#include "sync/snapshot_publisher_base.h"
#include "sync/state_codec_func.h"

#include <catch2/catch.hpp>

#include <fcntl.h>

#include <random>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/// The full state of a fleet with upstreams in two domains and additional routes.
fleet_changes largeFleet(std::size_t upstreams, std::size_t routes)
{
    fleet_changes fullState;
    fullState.revision = 500;
    auto config = makeConfig(3);
    for (std::size_t i = 0; i < routes; ++i) {
        auto added = config.routes.front();
        added.name = "r-" + std::to_string(mixHash(i, 5));
        added.address.address += static_cast<std::uint32_t>(i);
        config.routes.push_back(added);
    }
    fullState.changes.emplace_back(config);
    for (std::size_t i = 0; i < upstreams; ++i) {
        const char *domain = i % 2 == 0 ? "a" : "b";
        fullState.changes.emplace_back(
            makeUpstream("i-" + std::to_string(mixHash(i, 7)), "desk", domain));
    }
    return fullState;
}

/** A primary reader of domain "b" with the state of a large fleet. */
struct publisher_fixture : state_fixture
{
    publisher_fixture()
    {
        settings.interval = 8s;
        settings.maxBytes = 1048576;
        publisher.setSettings(settings);
        auto fullState = largeFleet(300, 1000);
        fullState.changes.emplace_back(instance_registration {"f-a", "a", {1, 1}});
        fullState.changes.emplace_back(instance_registration {"f-b", "b", {2, 1}});
        state.replace(fullState, false, clock.now());
    }

    /// Advances the clock and answers each publication; returns their number.
    std::size_t countPublishedWithin(monotonic_time duration, std::error_code outcome,
                                     bool isReader = true)
    {
        std::size_t count = 0;
        for (monotonic_time passed {0}; passed < duration; passed += 100ms) {
            clock.advance(100ms);
            publisher.tick(isReader);
            if (auto done = std::exchange(store.publishDone, nullptr)) {
                done(outcome);
                ++count;
            }
            if (store.snapshotDone)
                store.answerSnapshot();
        }
        return count;
    }

    publisher_settings settings;
    snapshot_publisher publisher {"b", store, state, clock, log, settings};
};

/** Records the datagrams sent to peers. */
struct counting_sink : peer_sink
{
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override
    {
        bytes += datagram.size();
        sent.emplace_back(peer, std::vector<std::byte>(datagram.begin(), datagram.end()));
    }

    std::size_t bytes = 0;
    std::vector<std::pair<endpoint, std::vector<std::byte>>> sent;
};

} // namespace

TEST_CASE("Compressed bytes are restored, corrupted and oversized ones are rejected", "[start]")
{
    std::vector<std::byte> bytes;
    for (int i = 0; i < 5000; ++i)
        bytes.push_back(static_cast<std::byte>(i % 7));
    const auto compressed = compressBytes(bytes);
    CHECK(compressed.size() < bytes.size() / 10);
    REQUIRE(decompressBytes(compressed, 5000));
    CHECK(decompressBytes(compressed, 5000).value() == bytes);
    CHECK(decompressBytes(compressed, 4999).error() == error::Malformed);
    CHECK(decompressBytes(std::span(compressed).first(compressed.size() - 3), 5000).error()
          == error::Malformed);
    CHECK(decompressBytes(std::span(compressed).first(3), 5000).error() == error::Malformed);
    const auto shortInput = std::span(bytes).first(10);
    CHECK(decompressBytes(compressBytes(shortInput), 10).value().size() == 10);
    // The size field of the input must not cause an allocation beyond the limit.
    auto oversized = compressed;
    for (std::size_t i = 0; i < 4; ++i)
        oversized[i] = std::byte {0xff};
    CHECK(decompressBytes(oversized, 1U << 20U).error() == error::Malformed);
}

TEST_CASE("A snapshot has at most a fifth of the bytes of the store's items", "[start]")
{
    // Guards against a saturated link of the store when 231 instances start at once.
    publisher_fixture fixture;
    const auto fullState = largeFleet(300, 1000);
    std::size_t itemBytes = 0;
    for (const auto &change : fullState.changes) {
        if (const auto *config = std::get_if<routing_config>(&change))
            itemBytes += platform::encodeConfig(*config).size() * 4 / 3;
        else
            itemBytes +=
                platform::encodeAnnouncement(std::get<upstream_announcement>(change)).size() * 4
                / 3;
    }
    const auto snapshot = encodeState(fixture.state.snapshot(0, 0, fixture.clock.now()));
    INFO(snapshot.size() * 4 / 3 << " of " << itemBytes << " bytes");
    CHECK(snapshot.size() * 4 / 3 < itemBytes / 5);
}

TEST_CASE("Only one primary reader publishes snapshots, at a steady rate", "[start]")
{
    publisher_fixture fixture;
    SECTION("it takes over if the domains ranked before do not publish")
    {
        CHECK(fixture.countPublishedWithin(60s, {}) == 7);
    }
    SECTION("it does not publish while other instances do")
    {
        std::size_t published = 0;
        for (std::uint64_t revision = 501; revision < 510; ++revision) {
            fixture.publisher.onSnapshotPublished(revision);
            published += fixture.countPublishedWithin(8500ms, {});
        }
        CHECK(published == 0);
    }
    SECTION("an instance that is no primary reader does not publish")
    {
        CHECK(fixture.countPublishedWithin(60s, {}, false) == 0);
    }
    SECTION("after a version conflict it replaces the newest snapshot")
    {
        fixture.store.snapshot = published_snapshot {777, {}};
        CHECK(fixture.countPublishedWithin(200ms, error::VersionConflict) == 1);
        CHECK(fixture.countPublishedWithin(12s, {}) == 1);
        CHECK(fixture.store.published.back().first == 777);
    }
}

TEST_CASE("Snapshots that are too small, too large or without an interval are not published",
          "[start]")
{
    publisher_fixture fixture;
    SECTION("the state has too few entries")
    {
        fleet_changes small;
        small.revision = 600;
        small.changes.emplace_back(makeConfig(4));
        fixture.state.replace(small, false, fixture.clock.now());
        fixture.state.expire(fixture.clock.now() + 100s);
    }
    SECTION("the snapshot exceeds the size limit of the store's items")
    {
        fixture.settings.maxBytes = 1000;
        fixture.publisher.setSettings(fixture.settings);
    }
    SECTION("the snapshot exceeds the byte rate to readers")
    {
        fixture.settings.bytesPerSecond = 100;
        fixture.publisher.setSettings(fixture.settings);
    }
    SECTION("snapshots are disabled because the store's history is not known")
    {
        fixture.settings.interval = 0s;
        fixture.publisher.setSettings(fixture.settings);
    }
    CHECK(fixture.countPublishedWithin(60s, {}) == 0);
}

TEST_CASE("Concurrent transfers share a bounded rate and arrive complete", "[start]")
{
    // An instance that joins fetches the state of 59,000 upstreams while others fetch it too.
    stepped_clock clock;
    counting_sink sink;
    transfer_limits limits;
    transfer_queue queue(sink, clock, limits);
    std::mt19937 random(3);
    std::vector<std::byte> large(1'600'000);
    for (auto &byte : large)
        byte = static_cast<std::byte>(random());
    const std::vector<std::byte> small(500, std::byte {7});
    REQUIRE(queue.enqueue({1, 1}, 11, small));
    REQUIRE(queue.enqueue({1, 1}, 12, large)); // a second request of the same instance
    CHECK(queue.enqueue({2, 1}, 13, small));
    for (std::uint32_t other = 3; other <= 8; ++other)
        REQUIRE(queue.enqueue({other, 1}, 14, large));
    CHECK_FALSE(queue.enqueue({10, 1}, 15, small));
    CHECK(queue.refusedCount() == 1);
    monotonic_time passed {0};
    for (; !queue.isEmpty(); passed += 50ms) {
        clock.advance(50ms);
        queue.flush();
        REQUIRE(passed < 60s);
    }
    const double seconds = std::chrono::duration<double>(passed).count();
    CHECK(static_cast<double>(sink.bytes)
          < seconds * static_cast<double>(limits.bytesPerSecond) * 1.05 + 65536);
    fragment_assembler assembler;
    assembler.expectResponse({5, 5}, 12);
    std::optional<std::vector<std::byte>> whole;
    for (const auto &[target, datagram] : sink.sent) {
        if (target.address == 1) {
            const auto message = decodeGossip(datagram).value();
            if (auto done = assembler.addFragment({5, 5}, std::get<gossip_state_fragment>(message)))
                whole = done;
        }
    }
    REQUIRE(whole);
    CHECK(*whole == large);
}

TEST_CASE("Outage of the store: only a few instances become readers at the same time", "[start]")
{
    // Guards against hundreds of instances that all start to call the store because no reader has
    // an up-to-date state any more.
    gossip_fixture fixture(60);
    const auto fullState = fixture.storeContent(10, 1);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, fullState);
    fixture.run(10s);
    REQUIRE(fixture.countReaders("a") == 2);
    fixture.isStoreAvailable = false;
    // The last answers arrived within the second before the outage. After they are too old, two
    // more ranks become readers per step.
    const gossip_settings settings;
    const auto outageTime = 4s - (settings.propagationTime - fixture.storeResponseInterval);
    const auto takeoverSteps =
        static_cast<std::size_t>(outageTime / settings.rankEscalationInterval);
    fixture.run(4s);
    CHECK(fixture.countReaders("a") <= settings.readersPerDomain * (1 + takeoverSteps));
    SECTION("further instances take over one after the other")
    {
        fixture.run(10s);
        CHECK(fixture.countReaders("a") == 20);
    }
    SECTION("after the store recovered only the lowest ranks are readers")
    {
        fixture.isStoreAvailable = true;
        fixture.run(8s);
        CHECK(fixture.countReaders("a") == 2);
    }
}
