/**
 * @file test_evacuation.cpp
 * Evacuation of a failure domain: its upstreams get no new flows at any instance until operators
 * end it, also beside instances of a release that does not support evacuations.
 */

#include "core/compress_func.h"
#include "forward/forwarder_base.h"
#include "gossip_support.h"
#include "health/latency_exchange_base.h"
#include "platform/record_codec.h"
#include "sync/state_codec_func.h"
#include "sync/store_follower_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/** Instances whose store holds upstreams in three failure domains. */
struct evacuation_fixture : gossip_fixture
{
    explicit evacuation_fixture(std::size_t count) : gossip_fixture(count)
    {
        for (auto &instance : instances)
            applyStoreContent(*instance, content(100));
        run(3s);
    }

    fleet_changes content(store_revision revision) const
    {
        auto changes = storeContent(revision, 1);
        for (const char *domain : {"a", "b", "c"})
            changes.changes.emplace_back(
                makeUpstream(std::string("i-local-") + domain, "desk", domain));
        return changes;
    }

    /// A reader of the store receives a change.
    void change(simulated_instance &reader, store_revision revision, domain_evacuation evacuation)
    {
        reader.state.apply({revision, {std::move(evacuation)}}, false, clock.now());
        reader.gossip.onStoreResponse();
        reader.gossip.announceChanges();
    }

    std::size_t countEvacuating(const std::string &domain) const
    {
        return static_cast<std::size_t>(
            std::count_if(instances.begin(), instances.end(), [&](const auto &instance) {
                return instance->state.evacuations().names.contains(domain);
            }));
    }
};

/// The state that an instance of a release without evacuations sends.
state_snapshot makeOldReleaseState(store_revision revision)
{
    state_snapshot state;
    state.revision = revision;
    state.contentRevision = revision;
    state.hasConfig = true;
    state.config = makeConfig(1);
    state.upstreams = {makeUpstream("i-1", "desk", "a")};
    return decodeState(encodeState(state)).value();
}

std::vector<std::byte> decompressed(const std::vector<std::byte> &bytes)
{
    constexpr std::size_t maxBytes = 65536;
    return decompressBytes(bytes, maxBytes).value();
}

/** State of one instance, without gossip. */
struct state_fixture
{
    stepped_clock clock;
    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 3, 42}};
    event_log log {::open("/dev/null", O_WRONLY), clock};
    fleet_state state {routes, directory, placement, log};
};

} // namespace

TEST_CASE("An evacuated domain gets no new flows until the evacuation ends", "[evacuation]")
{
    // Guards against new flows to upstreams that operators want empty.
    state_fixture fixture;
    fixture.state.replace({100,
                           {makeConfig(1), makeUpstream("i-1", "desk", "a"),
                            makeUpstream("i-2", "desk", "b"), domain_evacuation {"a"}}},
                          false, 1s);
    const auto place = [&] {
        const auto chosen = fixture.placement.choose("desk", {}, 2s);
        return chosen ? fixture.directory.find(*chosen)->announced.name : std::string();
    };
    for (int i = 0; i < 20; ++i)
        CHECK(place() == "i-2");
    SECTION("an upstream that is announced meanwhile gets none either")
    {
        fixture.state.apply({101, {makeUpstream("i-3", "desk", "a")}}, false, 2s);
        for (int i = 0; i < 20; ++i)
            CHECK(place() == "i-2");
    }
    SECTION("without another domain new flows are refused")
    {
        fixture.state.apply({101, {domain_evacuation {"b"}}}, false, 2s);
        CHECK(place().empty());
    }
    SECTION("after its end the domain gets new flows again")
    {
        fixture.state.apply({101, {domain_evacuation {"a", true}}}, false, 2s);
        for (int i = 0; i < 20; ++i)
            CHECK(place() == "i-1");
    }
    SECTION("a full load without it ends it")
    {
        fixture.state.replace(
            {101,
             {makeConfig(1), makeUpstream("i-1", "desk", "a"), makeUpstream("i-2", "desk", "b")}},
            false, 2s);
        CHECK(place() == "i-1");
    }
}

TEST_CASE("A retransmitted opening packet leaves an evacuated domain, an open flow stays",
          "[evacuation]")
{
    state_fixture fixture;
    upstream_health health {fixture.directory, "f-1", "a"};
    latency_exchange latencies {fixture.directory, fixture.placement};
    forwarder packetForwarder {fixture.routes, fixture.directory, fixture.placement, health,
                               latencies};
    fixture.state.replace(
        {100, {makeConfig(1), makeUpstream("i-1", "desk", "a"), makeUpstream("i-2", "desk", "b")}},
        false, 1s);
    caller_packet opening;
    opening.flow = {{0x64400001, 4000}, fixture.routes.config().routes.front().address};
    opening.isOpening = true;
    opening.sequence = 7;
    const auto placed = packetForwarder.decide(opening, true, 1s);
    REQUIRE(placed.upstream != nullptr);
    REQUIRE(placed.upstream->announced.name == "i-1");
    fixture.state.apply({101, {domain_evacuation {"a"}}}, false, 1s);
    // Within the time in which an unchanged upstream would get the copy as well.
    const auto repeated = packetForwarder.decide(opening, true, 1s + 10ms);
    REQUIRE(repeated.upstream != nullptr);
    CHECK(repeated.upstream->announced.name == "i-2");
    caller_packet data = opening;
    data.isOpening = false;
    data.tag = placed.tag;
    data.dataBytes = 10;
    const auto steered = packetForwarder.decide(data, true, 1s + 20ms);
    REQUIRE(steered.upstream != nullptr);
    CHECK(steered.upstream->announced.name == "i-1");
}

TEST_CASE("An evacuation received by one reader reaches all instances within a second",
          "[evacuation]")
{
    for (const std::size_t count : {15, 134}) {
        CAPTURE(count);
        evacuation_fixture fixture(count);
        fixture.change(*fixture.instances[0], 110, {"b"});
        fixture.run(1s);
        CHECK(fixture.countEvacuating("b") == count);
        fixture.change(*fixture.instances[4], 111, {"b", true});
        fixture.run(1s);
        CHECK(fixture.countEvacuating("b") == 0);
    }
}

TEST_CASE("An older set of evacuated domains never replaces a newer one", "[evacuation]")
{
    // Guards against an evacuation that returns with a late message or a slow read of the store.
    state_fixture fixture;
    fixture.state.replace({100, {makeConfig(1), domain_evacuation {"a"}}}, false, 1s);
    fixture.state.adoptEvacuations(evacuated_domains {110, {}}, 1s);
    CHECK(fixture.state.evacuations().names.empty());
    fixture.state.adoptEvacuations(evacuated_domains {105, {"a"}}, 1s);
    CHECK(fixture.state.evacuations().names.empty());
    fixture.state.apply({107, {domain_evacuation {"a"}}}, false, 1s);
    CHECK(fixture.state.evacuations().names.empty());
    fixture.state.apply(
        {112, {domain_evacuation {"b"}, domain_evacuation {"c"}, domain_evacuation {"b", true}}},
        false, 1s);
    CHECK(fixture.state.evacuations().names == std::set<std::string> {"c"});
}

TEST_CASE("An instance that starts takes the evacuations over with the state", "[evacuation]")
{
    evacuation_fixture fixture(6);
    fixture.change(*fixture.instances[0], 110, {"b"});
    fixture.run(1s);
    const auto now = fixture.clock.now();
    const auto state = decodeState(encodeState(fixture.instances[5]->state.snapshot(0, 0, now)));
    REQUIRE(state);
    state_fixture starting;
    SECTION("from another instance")
    {
        CHECK(starting.state.adopt(state.value(), now, now));
    }
    SECTION("from the published snapshot")
    {
        starting.state.preload(state.value(), now);
    }
    CHECK(starting.state.evacuations().names == std::set<std::string> {"b"});
    REQUIRE(starting.directory.find("i-local-b") != nullptr);
    CHECK_FALSE(takesNewFlows(*starting.directory.find("i-local-b")));
    CHECK(takesNewFlows(*starting.directory.find("i-local-c")));
}

TEST_CASE("Two releases side by side: a state without evacuations is used but confirms nothing",
          "[evacuation]")
{
    // Guards against missing an evacuation when all readers of a domain run the former release.
    state_fixture fixture;
    SECTION("an instance that starts serves with it, and still reads the store")
    {
        CHECK(fixture.state.adopt(makeOldReleaseState(100), 5s, 5s));
        CHECK(fixture.state.isSynchronised());
        CHECK(fixture.state.revision() == 100);
        CHECK(fixture.state.completeRevision() == 0);
        CHECK(5s - fixture.state.confirmedAt() > 4s);
    }
    SECTION("a running instance reads the changes since its last complete revision")
    {
        fixture.state.replace({90, {makeConfig(1), makeUpstream("i-1", "desk", "a")}}, false, 4s);
        CHECK(fixture.state.adopt(makeOldReleaseState(100), 5s, 5s));
        CHECK(fixture.state.revision() == 100);
        CHECK(fixture.state.completeRevision() == 90);
        CHECK(fixture.state.confirmedAt() == 4s);
        fixture.state.apply({101, {domain_evacuation {"a"}}}, false, 6s);
        CHECK(fixture.state.completeRevision() == 101);
        CHECK(fixture.state.confirmedAt() == 6s);
        CHECK(fixture.state.evacuations().names.contains("a"));
    }
}

TEST_CASE("Two releases side by side: the former release reads states and digests of this one",
          "[evacuation]")
{
    state_snapshot state = makeOldReleaseState(100);
    const auto former = decompressed(encodeState(state));
    state.evacuations = evacuated_domains {100, {"b"}};
    const auto current = decompressed(encodeState(state));
    // The former release decodes the leading part and ignores what follows.
    REQUIRE(current.size() > former.size());
    CHECK(std::equal(former.begin(), former.end(), current.begin()));
    gossip_digest digest;
    digest.sender = {"f-1", "a", {1, 2}};
    const auto formerDigest = encodeGossip(digest);
    digest.evacuations = evacuated_domains {100, {"b"}};
    const auto currentDigest = encodeGossip(digest);
    REQUIRE(currentDigest.size() > formerDigest.size());
    CHECK(std::equal(formerDigest.begin(), formerDigest.end(), currentDigest.begin()));
    const auto decoded = decodeGossip(formerDigest);
    REQUIRE(decoded);
    CHECK_FALSE(std::get<gossip_digest>(decoded.value()).evacuations);
}

TEST_CASE("Evacuations are decoded from the platform's store", "[evacuation][platform]")
{
    const auto reply = platform::decodeReply(
        R"({"at_rev":9,"events":[)"
        R"({"key":"op/evacuate/north","value":"e30=","revision":7,"created_rev":7,"lease_id":0},)"
        R"({"key":"op/evacuate/south","revision":8,"deleted":true},)"
        R"({"key":"op/evacuate/west","value":"?","revision":9,"created_rev":9,"lease_id":0},)"
        R"({"key":"op/evacuate/","value":"e30=","revision":9,"created_rev":9,"lease_id":0}]})",
        "events");
    REQUIRE(reply);
    const auto &changes = reply.value().changes.changes;
    REQUIRE(changes.size() == 3);
    CHECK(std::get<domain_evacuation>(changes[0]).domain == "north");
    CHECK_FALSE(std::get<domain_evacuation>(changes[0]).isEnded);
    CHECK(std::get<domain_evacuation>(changes[1]).domain == "south");
    CHECK(std::get<domain_evacuation>(changes[1]).isEnded);
    // The key alone counts, as its value has no meaning.
    CHECK(std::get<domain_evacuation>(changes[2]).domain == "west");
}
