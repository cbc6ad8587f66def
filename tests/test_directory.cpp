/**
 * @file test_directory.cpp
 * Tests of upstream_directory: records of upstreams, their steering tags and lifecycle.
 */

#include "entry_support.h"

#include <catch2/catch.hpp>

#include <unordered_map>
#include <utility>

using namespace chicoryhead;
using namespace chicoryhead::test;

TEST_CASE("A steering tag is valid for one service address only", "[directory]")
{
    // Guards against a stale or forged tag that reaches an upstream of another service.
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
    // Guards against a change of the hash: instances of two releases may handle the same flow.
    CHECK(tagOfName("i-7f3a91c2") == tagOfName(std::string("i-7f3a91c2")));
    CHECK(tagOfName("i-7f3a91c2") == 0x07342ee8U);
    CHECK(bindTag(tagOfName("i-7f3a91c2"), deskAddress) == 0x734aff05U);
}

TEST_CASE("A draining upstream gets no new flows but keeps its open ones", "[directory]")
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

TEST_CASE("A record is kept for the maximum age of a flow after its upstream is gone",
          "[directory]")
{
    // Guards against open flows that lose their upstream because its announcement was removed.
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

TEST_CASE("An upstream whose announcement expired in a store outage may be announced again",
          "[directory]")
{
    // Guards against a service that loses all its upstreams because of a store outage.
    upstream_directory directory({60s, 2200ms});
    const auto id = directory.announce(makeUpstream("i-1", "desk", "a"), 0s).id;
    directory.withdraw("i-1", true, 10s);
    CHECK(takesNewFlows(*directory.find(id)));
    SECTION("it is gone if it is not")
    {
        directory.expire(12201ms);
        CHECK_FALSE(takesNewFlows(*directory.find(id)));
    }
    SECTION("it is ready if it is")
    {
        directory.announce(makeUpstream("i-1", "desk", "a"), 11s);
        directory.expire(13s);
        CHECK(directory.find(id)->lifecycle == lifecycle_state::Ready);
    }
}

TEST_CASE("A draining upstream gets no new flows if its announcement expires in a store outage",
          "[directory]")
{
    upstream_directory directory;
    auto upstream = makeUpstream("i-1", "desk", "a");
    upstream.isDraining = true;
    const auto id = directory.announce(upstream, 0s).id;
    directory.withdraw("i-1", true, 1s);
    CHECK_FALSE(takesNewFlows(*directory.find(id)));
}

TEST_CASE("A restart under the same name is detected", "[directory]")
{
    upstream_directory directory;
    auto upstream = makeUpstream("i-1", "desk", "a");
    upstream.startedAtMs = 1000;
    upstream.sequenceNumber = 7;
    const auto first = directory.announce(upstream, 0s);
    CHECK_FALSE(first.isRestart);
    SECTION("by its start time")
    {
        upstream.startedAtMs = 2000;
    }
    SECTION("by its sequence number")
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

TEST_CASE("An upstream that changes its service is removed from the previous one", "[directory]")
{
    upstream_directory directory;
    directory.announce(makeUpstream("i-1", "desk", "a"), 0s);
    directory.announce(makeUpstream("i-1", "proofs", "a"), 1s);
    CHECK(directory.findByService("desk").empty());
    CHECK(directory.findByService("proofs").size() == 1);
}

namespace {

/// Searches for two names with the same steering tag.
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

TEST_CASE("Of two upstreams with the same steering tag only the first gets new flows",
          "[directory]")
{
    // Guards against a flow whose packets are forwarded to the wrong one of two upstreams.
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
