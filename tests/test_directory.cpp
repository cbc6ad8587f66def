/**
 * @file test_directory.cpp
 * Upstreams, their steering tags and their standings.
 */

#include "entry_support.h"

#include <catch2/catch.hpp>

#include <unordered_map>
#include <utility>

using namespace chicoryhead;
using namespace chicoryhead::test;

TEST_CASE("A steering tag names an upstream on one service address only", "[directory]")
{
    // Guards against a stale or invented tag that reaches an upstream of another service.
    upstream_directory directory;
    for (int i = 0; i < 150; ++i)
        directory.announce(makeUpstream("i-" + std::to_string(i), "desk", "a"), 0s);
    const auto *record = directory.find(std::string("i-17"));
    REQUIRE(record != nullptr);
    const steering_tag bound = bindTag(record->tag, deskAddress);
    CHECK(directory.findByTag(bindTag(bound, deskAddress)) == record);
    CHECK(directory.findByTag(bindTag(bound, proofsAddress)) == nullptr);
}

TEST_CASE("Steering tags do not change between releases", "[directory]")
{
    // Guards against a change of the digest: instances of two releases steer the same flows.
    CHECK(tagOfName("i-7f3a91c2") == tagOfName(std::string("i-7f3a91c2")));
    CHECK(tagOfName("i-7f3a91c2") == 0x07342ee8U);
    CHECK(bindTag(tagOfName("i-7f3a91c2"), deskAddress) == 0x734aff05U);
}

TEST_CASE("An upstream that announces that it leaves takes no new flows but keeps its own",
          "[directory]")
{
    upstream_directory directory;
    auto upstream = makeUpstream("i-1", "desk", "a");
    const auto id = directory.announce(upstream, 0s).id;
    REQUIRE(takesNewFlows(*directory.find(id)));
    upstream.isDraining = true;
    ++upstream.sequenceNumber;
    directory.announce(upstream, 1s);
    CHECK_FALSE(takesNewFlows(*directory.find(id)));
    CHECK(directory.findByTag(tagOfName("i-1")) == directory.find(id));
}

TEST_CASE("A record outlives its upstream by the lifetime of a flow", "[directory]")
{
    // Guards against open flows that lose their upstream when its announcement is removed first.
    upstream_directory directory({60s, 2200ms});
    directory.announce(makeUpstream("i-1", "desk", "a"), 0s);
    directory.withdraw("i-1", false, 10s);
    CHECK(directory.expire(69s).empty());
    REQUIRE(directory.findByTag(tagOfName("i-1")) != nullptr);
    CHECK(directory.expire(71s).size() == 1);
    CHECK(directory.findByTag(tagOfName("i-1")) == nullptr);
    CHECK(directory.findByService("desk").empty());
    CHECK(directory.size() == 0);
}

TEST_CASE("An announcement that lapsed during an outage may return", "[directory]")
{
    // Guards against a service that loses all upstreams because the store was away.
    upstream_directory directory({60s, 2200ms});
    const auto id = directory.announce(makeUpstream("i-1", "desk", "a"), 0s).id;
    directory.withdraw("i-1", true, 10s);
    CHECK(takesNewFlows(*directory.find(id)));
    SECTION("it is gone when it does not")
    {
        directory.expire(12201ms);
        CHECK_FALSE(takesNewFlows(*directory.find(id)));
    }
    SECTION("it is ready again when it does")
    {
        directory.announce(makeUpstream("i-1", "desk", "a"), 11s);
        directory.expire(13s);
        CHECK(directory.find(id)->lifecycle == lifecycle_state::Ready);
    }
}

TEST_CASE("The announcement of a draining upstream does not lapse without cause", "[directory]")
{
    upstream_directory directory;
    auto upstream = makeUpstream("i-1", "desk", "a");
    upstream.isDraining = true;
    const auto id = directory.announce(upstream, 0s).id;
    directory.withdraw("i-1", true, 1s);
    CHECK_FALSE(takesNewFlows(*directory.find(id)));
}

TEST_CASE("A restart under the same name is seen", "[directory]")
{
    upstream_directory directory;
    auto upstream = makeUpstream("i-1", "desk", "a");
    upstream.startedAtMs = 1000;
    upstream.sequenceNumber = 7;
    const auto first = directory.announce(upstream, 0s);
    CHECK_FALSE(first.isRestart);
    SECTION("by the time of its start")
    {
        upstream.startedAtMs = 2000;
    }
    SECTION("by its counter")
    {
        upstream.sequenceNumber = 1;
    }
    SECTION("by its address")
    {
        upstream.address.port = 9;
    }
    const auto second = directory.announce(upstream, 1s);
    CHECK(second.isRestart);
    CHECK(second.id == first.id);
}

TEST_CASE("An upstream that moves to another service leaves the first", "[directory]")
{
    upstream_directory directory;
    directory.announce(makeUpstream("i-1", "desk", "a"), 0s);
    directory.announce(makeUpstream("i-1", "proofs", "a"), 1s);
    CHECK(directory.findByService("desk").empty());
    CHECK(directory.findByService("proofs").size() == 1);
}

namespace {

/// Two names whose digests are equal, found by trying.
std::pair<std::string, std::string> findCollision()
{
    std::unordered_map<steering_tag, std::string> seen;
    for (std::uint32_t i = 0;; ++i) {
        const std::string name = "i-" + std::to_string(i);
        const auto [entry, isNew] = seen.try_emplace(tagOfName(name), name);
        if (!isNew)
            return {entry->second, name};
    }
}

} // namespace

TEST_CASE("Of two upstreams with the same tag only the first takes new flows", "[directory]")
{
    // Guards against a flow whose packets reach the other of two upstreams.
    const auto [first, second] = findCollision();
    upstream_directory directory({60s, 2200ms});
    directory.announce(makeUpstream(first, "desk", "a"), 0s);
    const auto id = directory.announce(makeUpstream(second, "desk", "a"), 0s).id;
    CHECK_FALSE(takesNewFlows(*directory.find(id)));
    CHECK(directory.findByTag(tagOfName(second))->announced.name == first);

    directory.withdraw(first, false, 1s);
    directory.expire(62s);
    CHECK(takesNewFlows(*directory.find(id)));
    CHECK(directory.findByTag(tagOfName(second))->announced.name == second);
}
