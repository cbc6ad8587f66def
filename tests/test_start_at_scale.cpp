/**
 * @file test_start_at_scale.cpp
 * What the start of a whole fleet costs: snapshots, transfers and who reads.
 */

#include "core/compress_func.h"
#include "gossip/transfer_queue_base.h"
#include "gossip_support.h"
#include "platform/standin_codec.h"
#include "sync/snapshot_publisher_base.h"
#include "sync/state_codec_func.h"

#include <catch2/catch.hpp>

#include <fcntl.h>

#include <random>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/// A fleet with a thousand routes more than it needs.
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

/** A first reader of domain "b" that knows a fleet. */
struct publisher_fixture
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

    /// Lets time pass and answers each write; returns how many there were.
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

    stepped_clock clock;
    event_log log {::open("/dev/null", O_WRONLY), clock};
    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"b", 2, 7}};
    fleet_state state {routes, directory, placement, log};
    scripted_store store;
    publisher_settings settings;
    snapshot_publisher publisher {"b", store, state, clock, log, settings};
};

/** Takes what is sent and counts it. */
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

TEST_CASE("Compressed bytes are restored, damaged and oversized ones refused", "[start]")
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
    // A size that the input only claims must not be allocated beyond the bound.
    auto oversized = compressed;
    for (std::size_t i = 0; i < 4; ++i)
        oversized[i] = std::byte {0xff};
    CHECK(decompressBytes(oversized, 1U << 20U).error() == error::Malformed);
}

TEST_CASE("A snapshot has at most a fifth of the bytes of the store's items", "[start]")
{
    // Pattern: 231 instances start at once behind one link of the store.
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

TEST_CASE("Snapshots are published at a steady rate by one reader", "[start]")
{
    publisher_fixture fixture;
    SECTION("alone, after the domains before had their time")
    {
        CHECK(fixture.countPublishedWithin(60s, {}) == 7);
    }
    SECTION("not while others publish")
    {
        std::size_t published = 0;
        for (store_revision revision = 501; revision < 510; ++revision) {
            fixture.publisher.onSnapshotPublished(revision);
            published += fixture.countPublishedWithin(8500ms, {});
        }
        CHECK(published == 0);
    }
    SECTION("not by an instance that is no reader")
    {
        CHECK(fixture.countPublishedWithin(60s, {}, false) == 0);
    }
    SECTION("a conflict teaches the revision of the newest one")
    {
        fixture.store.snapshot = published_snapshot {777, {}};
        CHECK(fixture.countPublishedWithin(200ms, error::VersionConflict) == 1);
        CHECK(fixture.countPublishedWithin(12s, {}) == 1);
        CHECK(fixture.store.published.back().first == 777);
    }
}

TEST_CASE("Nothing is published that is too small to help or too large to afford", "[start]")
{
    publisher_fixture fixture;
    SECTION("one call loads it as fast")
    {
        fleet_changes small;
        small.revision = 600;
        small.changes.emplace_back(makeConfig(4));
        fixture.state.replace(small, false, fixture.clock.now());
        fixture.state.expire(fixture.clock.now() + 100s);
    }
    SECTION("an item of the store can't hold it")
    {
        fixture.settings.maxBytes = 1000;
        fixture.publisher.setSettings(fixture.settings);
    }
    SECTION("readers would get too many bytes")
    {
        fixture.settings.bytesPerSecond = 100;
        fixture.publisher.setSettings(fixture.settings);
    }
    SECTION("the store's history is not known")
    {
        fixture.settings.interval = 0s;
        fixture.publisher.setSettings(fixture.settings);
    }
    CHECK(fixture.countPublishedWithin(60s, {}) == 0);
}

TEST_CASE("Transfers share a bounded rate and all arrive whole", "[start]")
{
    // Pattern: a joiner takes the state of 59,000 upstreams beside others that ask.
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
    REQUIRE(queue.enqueue({1, 1}, 12, large)); // the same instance asks again
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

TEST_CASE("Outage of the store: no more than a few instances become readers at once", "[start]")
{
    // Pattern: hundreds whose readers all fall silent. Each must not begin to ask.
    gossip_fixture fixture(60);
    const auto fullState = fixture.storeContent(10, 1);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, fullState);
    fixture.run(10s);
    REQUIRE(fixture.countReaders("a") == 2);
    fixture.isStoreAvailable = false;
    // The last answers came within a second before; two more ranks follow for each step after they
    // are too old.
    const gossip_settings settings;
    const auto outageTime = 4s - (settings.propagationTime - fixture.storeResponseInterval);
    const auto takeoverSteps =
        static_cast<std::size_t>(outageTime / settings.rankEscalationInterval);
    fixture.run(4s);
    CHECK(fixture.countReaders("a") <= settings.readersPerDomain * (1 + takeoverSteps));
    SECTION("they take over one after the other")
    {
        fixture.run(10s);
        CHECK(fixture.countReaders("a") == 20);
    }
    SECTION("after the store's return the lowest ranks read alone")
    {
        fixture.isStoreAvailable = true;
        fixture.run(8s);
        CHECK(fixture.countReaders("a") == 2);
    }
}
