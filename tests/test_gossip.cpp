/**
 * @file test_gossip.cpp
 * Tests of the gossip protocol between instances, over a simulated network in virtual time.
 */

#include "gossip_support.h"
#include "sync/state_codec_func.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chicoryhead;
using namespace chicoryhead::test;

TEST_CASE("An encoded state decodes to the same content", "[gossip]")
{
    state_snapshot state;
    state.revision = 17;
    state.contentRevision = 15;
    state.ageMs = 250;
    state.outageGraceLeft = std::chrono::milliseconds(1500);
    state.hasConfig = true;
    state.config = makeConfig(9);
    state.config.warmupRates = {{"desk", 12.5}};
    state.upstreams = {makeUpstream("i-1", "desk", "a"), makeUpstream("i-2", "proofs", "b")};
    state.upstreams[1].isDraining = true;
    state.upstreams[1].warmupLeft = 300ms;
    state.instances = {{"f-1", "a", {1, 2}}};
    state.evacuations = evacuated_domains {16, {"b", "c"}};
    const auto decoded = decodeState(encodeState(state));
    REQUIRE(decoded);
    CHECK(decoded.value().revision == 17);
    CHECK(decoded.value().contentRevision == 15);
    CHECK(decoded.value().ageMs == 250);
    CHECK(decoded.value().outageGraceLeft == state.outageGraceLeft);
    CHECK(decoded.value().config.routes == state.config.routes);
    CHECK(decoded.value().config.warmupRates == state.config.warmupRates);
    CHECK(decoded.value().upstreams == state.upstreams);
    CHECK(decoded.value().instances == state.instances);
    REQUIRE(decoded.value().evacuations);
    CHECK(decoded.value().evacuations->revision == 16);
    CHECK(decoded.value().evacuations->names == state.evacuations->names);
}

TEST_CASE("Corrupted states and gossip messages are rejected or decoded without a crash",
          "[gossip][random]")
{
    std::mt19937 random(7);
    state_snapshot state;
    state.hasConfig = true;
    state.config = makeConfig(3);
    state.upstreams = {makeUpstream("i-1", "desk", "a")};
    state.evacuations = evacuated_domains {2, {"b"}};
    const auto encodedState = encodeState(state);
    gossip_digest digest;
    digest.sender = {"f-1", "a", {1, 2}};
    digest.readers = {{7, 8}};
    digest.evacuations = evacuated_domains {2, {"b"}};
    const auto encodedDigest = encodeGossip(digest);
    std::size_t refused = 0;
    for (int i = 0; i < 100'000; ++i) {
        auto bytes = i % 2 == 0 ? encodedState : encodedDigest;
        for (auto changes = random() % 4 + 1; changes > 0; --changes)
            bytes[random() % bytes.size()] = static_cast<std::byte>(random());
        if (random() % 3 == 0)
            bytes.resize(random() % bytes.size());
        const bool isRefused = i % 2 == 0 ? !decodeState(bytes) : !decodeGossip(bytes);
        refused += isRefused ? 1 : 0;
    }
    CHECK(refused > 20'000);
}

TEST_CASE("Liveness reports tell requests from opening packets, also beside a former release",
          "[gossip]")
{
    // Guards against unanswered opening packets that pass for unanswered requests.
    gossip_liveness_reports message {
        "a",
        false,
        {{0x01020304, 50U, {{1, 2, 210}, {3, 1, 220}}}, {0x01020305, std::nullopt, {{1, 3, 400}}}}};
    const auto former = encodeGossip(message);
    const auto decodedFormer = decodeGossip(former);
    REQUIRE(decodedFormer);
    CHECK(std::get<gossip_liveness_reports>(decodedFormer.value()).reports == message.reports);
    message.reports[0].reporters[1].requests = 1;
    message.reports[0].reporters[1].requestAgeMs = 220;
    auto current = encodeGossip(message);
    // The former release decodes the leading part and ignores what follows.
    REQUIRE(current.size() > former.size());
    CHECK(std::equal(former.begin(), former.end(), current.begin()));
    const auto decoded = decodeGossip(current);
    REQUIRE(decoded);
    CHECK(std::get<gossip_liveness_reports>(decoded.value()).reports == message.reports);
    current.pop_back();
    CHECK_FALSE(decodeGossip(current));
}

TEST_CASE("A change received by one instance reaches all instances within a second", "[gossip]")
{
    for (const std::size_t count : {15, 134}) {
        CAPTURE(count);
        gossip_fixture fixture(count);
        fixture.applyStoreContent(*fixture.instances[0], fixture.storeContent(100, 1));
        fixture.run(3s);
        REQUIRE(fixture.countWithVersion(1) == count);
        fixture.applyStoreContent(*fixture.instances[4], fixture.storeContent(110, 2));
        fixture.run(1s);
        CHECK(fixture.countWithVersion(2) == count);
    }
}

TEST_CASE("Two instances of each domain read the store after they have learned of each other",
          "[gossip]")
{
    // Guards against a fleet in which every instance calls the store, and one in which none does.
    gossip_fixture fixture(33);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, fixture.storeContent(100, 1));
    fixture.run(5s);
    for (const char *domain : {"a", "b", "c"})
        CHECK(fixture.countReaders(domain) == 2);
    SECTION("failed readers are replaced")
    {
        for (std::size_t i = 0; i < fixture.instances.size(); i += 3) {
            if (fixture.instances[i]->gossip.isReader()) {
                fixture.network.attach(fixture.registrations[i].peerAddress, {});
                fixture.instances[i].reset();
            }
        }
        CHECK(fixture.countReaders("a") == 0);
        fixture.run(4s);
        CHECK(fixture.countReaders("a") >= 1);
        fixture.run(3s);
        CHECK(fixture.countReaders("a") == 2);
    }
    SECTION("more instances become readers while the store does not respond")
    {
        fixture.isStoreAvailable = false;
        fixture.run(4s);
        CHECK(fixture.countReaders("a") > 2);
    }
}

TEST_CASE("No state is older than two seconds while readers work", "[gossip]")
{
    // An instance with an older state calls the store itself, which gossip is meant to avoid.
    gossip_fixture fixture(33);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, fixture.storeContent(100, 1));
    fixture.run(5s);
    for (int step = 0; step < 50; ++step) {
        fixture.run(100ms);
        CHECK(fixture.oldestStateAge() < 2s);
    }
}

TEST_CASE("An instance that starts during an outage of the store gets its state from peers",
          "[gossip]")
{
    gossip_fixture fixture(15);
    for (std::size_t i = 0; i < 14; ++i)
        fixture.applyStoreContent(*fixture.instances[i], fixture.storeContent(100, 5));
    fixture.isStoreAvailable = false;
    fixture.run(500ms);
    CHECK(fixture.instances[14]->state.isSynchronised());
    CHECK(fixture.instances[14]->state.configVersion() == 5);
    CHECK(fixture.instances[14]->directory.size() == 18);
}

TEST_CASE("An instance that stopped for good times out and can be deregistered", "[gossip]")
{
    // Guards against stale registrations that accumulate in the store as instances are replaced.
    gossip_fixture fixture(12);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, fixture.storeContent(100, 1));
    fixture.run(1s);
    gossip_node &observer = fixture.instances[0]->gossip;
    CHECK(observer.timedOutInstances().empty());
    fixture.network.attach(fixture.registrations[3].peerAddress, {});
    fixture.instances[3].reset();
    fixture.run(58s);
    CHECK(observer.timedOutInstances().empty());
    fixture.run(4s);
    CHECK(observer.timedOutInstances() == std::vector<std::string> {"f-3"});
}

TEST_CASE("Changes reach all instances with a datagram loss of 10 %", "[gossip]")
{
    gossip_fixture fixture(30, 3);
    fixture.network.lossShare = 0.1;
    fixture.applyStoreContent(*fixture.instances[0], fixture.storeContent(100, 1));
    fixture.run(4s);
    REQUIRE(fixture.countWithVersion(1) == 30);
    fixture.applyStoreContent(*fixture.instances[7], fixture.storeContent(110, 2));
    fixture.run(2s);
    CHECK(fixture.countWithVersion(2) == 30);
}

TEST_CASE("An older state of another instance is not adopted", "[gossip]")
{
    // Guards against a rollback of the configuration or of an upstream's lifecycle state.
    gossip_fixture fixture(6);
    auto newer = fixture.storeContent(200, 7);
    auto draining = makeUpstream("i-3", "desk", "a");
    draining.isDraining = true;
    newer.changes.emplace_back(draining);
    fixture.applyStoreContent(*fixture.instances[0], newer);
    fixture.applyStoreContent(*fixture.instances[3], fixture.storeContent(150, 6));
    fixture.run(2s);
    CHECK(fixture.countWithVersion(7) == 6);
    for (const auto &instance : fixture.instances)
        CHECK(instance->directory.find(std::string("i-3"))->lifecycle == lifecycle_state::Draining);
}

TEST_CASE("Each of 134 instances sends less than 2 KB/s while nothing changes", "[gossip]")
{
    // The bound is the required limit of control traffic per instance.
    gossip_fixture fixture(134);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, fixture.storeContent(100, 1));
    fixture.run(3s);
    std::vector<std::size_t> before;
    for (const auto &instance : fixture.instances)
        before.push_back(instance->sentBytes);
    fixture.run(10s);
    for (std::size_t i = 0; i < fixture.instances.size(); ++i)
        CHECK(fixture.instances[i]->sentBytes - before[i] < 20480);
}

TEST_CASE("A store watch held open for two seconds does not add readers", "[gossip]")
{
    // Guards against instances that count a reader as failed between two responses of the store to
    // it: with 113 instances each one made about nine calls a minute besides those of the readers.
    gossip_fixture fixture(99);
    fixture.storeResponseInterval = 2s;
    gossip_settings settings;
    settings.storeResponseInterval = fixture.storeResponseInterval;
    for (auto &instance : fixture.instances) {
        instance->gossip.setSettings(settings);
        fixture.applyStoreContent(*instance, fixture.storeContent(100, 1));
    }
    fixture.run(6s);
    for (int step = 0; step < 40; ++step) {
        fixture.run(2s);
        for (const char *domain : {"a", "b", "c"})
            CHECK(fixture.countReaders(domain) == 2);
    }
}

TEST_CASE("Instances that start at the same time do not all read the store", "[gossip]")
{
    // Guards against a watch by every instance when all start: 96 instances made 211 in 8 s.
    gossip_fixture fixture(99);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, fixture.storeContent(100, 1));
    std::size_t maxReaders = 0;
    for (int step = 0; step < 300; ++step) {
        fixture.run(10ms);
        for (const char *domain : {"a", "b", "c"})
            maxReaders = std::max(maxReaders, fixture.countReaders(domain));
    }
    CHECK(maxReaders <= gossip_settings().readersPerDomain);
    for (const char *domain : {"a", "b", "c"})
        CHECK(fixture.countReaders(domain) == 2);
    SECTION("an instance without peers reads the store after a second")
    {
        gossip_fixture single(1);
        single.applyStoreContent(*single.instances[0], single.storeContent(100, 1));
        single.run(1s);
        CHECK(single.countReaders("a") == 1);
    }
}

TEST_CASE("The place of an instance among its peers is valid while one of them has two names",
          "[gossip]")
{
    // Guards against instances that abort because a renamed instance has two ranks and one address.
    gossip_fixture fixture(3);
    auto &instance = *fixture.instances[0];
    fleet_changes content;
    content.revision = 100;
    content.changes.emplace_back(makeConfig(1));
    const bool isOwnAddress = GENERATE(false, true);
    const endpoint address =
        isOwnAddress ? fixture.registrations[0].peerAddress : endpoint {0x0a0000ff, 7720};
    for (int i = 0; i < 20; ++i)
        content.changes.emplace_back(
            instance_registration {"renamed-" + std::to_string(i), "a", address});
    fixture.applyStoreContent(instance, content);
    CHECK(instance.gossip.countLowerRankedPeers() > 0);
    CHECK(instance.gossip.countLowerRankedPeers() <= instance.gossip.countRegisteredPeers());
    CHECK(instance.gossip.countLocalPeers() == (isOwnAddress ? 0 : 1));
}

TEST_CASE("An instance without a registration requests the state from others", "[gossip]")
{
    // The store can refuse a third of the instances and revoke their registrations. Digests are
    // sent to registered instances only.
    gossip_fixture fixture(9);
    auto storeContent = fixture.storeContent(100, 1);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, storeContent);
    fixture.run(3s);
    fleet_changes update;
    update.revision = 110;
    update.changes.emplace_back(makeConfig(2));
    update.changes.emplace_back(instance_deregistration {"f-4"});
    for (std::size_t i = 0; i < fixture.instances.size(); ++i) {
        if (i != 4)
            fixture.instances[i]->state.apply(update, false, fixture.clock.now());
    }
    fixture.run(4s);
    CHECK(fixture.instances[4]->state.configVersion() == 2);
    CHECK(fixture.clock.now() - fixture.instances[4]->state.confirmedAt() < 3s);
}

TEST_CASE("Messages from unknown senders and unrequested states are ignored", "[gossip]")
{
    // Guards against a forged state from anyone who can send datagrams to the port of an instance.
    gossip_fixture fixture(6);
    auto storeContent = fixture.storeContent(100, 1);
    for (auto &instance : fixture.instances)
        fixture.applyStoreContent(*instance, storeContent);
    fixture.run(3s);
    auto &target = *fixture.instances[2];
    const endpoint outsider {0x0a0000ff, 7720};
    const endpoint member = fixture.registrations[5].peerAddress;
    state_snapshot forged;
    forged.revision = 900;
    forged.contentRevision = 900;
    forged.hasConfig = true;
    forged.config = makeConfig(77);
    const auto bytes = encodeState(forged);
    gossip_state_fragment fragment {42, 0, 1, {}};
    for (const std::byte byte : bytes)
        fragment.bytes.push_back(static_cast<std::uint8_t>(byte));
    gossip_digest digest;
    digest.sender = {"f-99", "c", outsider};
    digest.revision = 900;
    gossip_liveness_reports reports {"c", false, {}};
    for (const char *reporter : {"x", "y", "z"})
        reports.reports.push_back(
            {tagOfName("i-1"), std::nullopt, {{reporterIdOf(reporter), 8, 500}}});
    const auto confirmedAt = target.state.confirmedAt();
    for (const endpoint &from : {outsider, member}) {
        // A state is accepted only in response to a request, even from a registered address.
        CHECK_FALSE(target.gossip.receive(from, encodeGossip(fragment)));
        CHECK(target.state.configVersion() == 1);
    }
    CHECK_FALSE(target.gossip.receive(outsider, encodeGossip(digest)));
    CHECK_FALSE(target.gossip.receive(outsider, encodeGossip(reports)));
    target.health.evaluate(fixture.clock.now());
    CHECK(target.health.healthOf(target.directory.find("i-1")->id) == health_state::Answering);
    CHECK(target.state.confirmedAt() == confirmedAt);
    CHECK(target.gossip.unexpectedMessages() == 4);
}
