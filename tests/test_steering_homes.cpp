/**
 * @file test_steering_homes.cpp
 * Choice of the two homes of a flow.
 */

#include "steering/homes_base.h"
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

void setMember(blackboard &board, std::uint32_t id, std::uint16_t domain, member_state state)
{
    member &one = board.members[static_cast<instance_id>(id)];
    one.id = static_cast<instance_id>(id);
    one.domain = static_cast<domain_id>(domain);
    one.state = state;
    ++board.membersRevision;
}

bool areEqual(home_table &a, home_table &b)
{
    for (std::size_t bucket = 0; bucket < homeBucketCount; ++bucket) {
        if (a.bucketHomes(bucket) != b.bucketHomes(bucket))
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("homes that follow each change equal homes that are computed afresh", "[steering]")
{
    // Guards against instances that disagree on homes because they joined at different times.
    blackboard board;
    virtual_clock clock;
    home_table followed(board, clock);
    std::mt19937_64 random(3);
    constexpr std::array states {member_state::Ready, member_state::Ready, member_state::Joining,
                                 member_state::Suspect};
    for (unsigned step = 0; step < 60; ++step) {
        const auto id = static_cast<std::uint32_t>(random() % 24 + 1);
        setMember(board, id, static_cast<std::uint16_t>(id % 3), states[random() % states.size()]);
        followed.flowHomes(random());
        home_table fresh(board, clock);
        REQUIRE(areEqual(followed, fresh));
    }
}

TEST_CASE("homes are ready, differ, and lie in two domains when there are two", "[steering]")
{
    // Guards against both copies of a record in one domain.
    blackboard board;
    virtual_clock clock;
    for (std::uint32_t id = 1; id <= 15; ++id) {
        setMember(board, id, static_cast<std::uint16_t>(id % 3),
                  id == 4 ? member_state::Suspect : member_state::Ready);
    }
    home_table homes(board, clock);
    std::map<instance_id, std::size_t> counts;
    for (std::size_t bucket = 0; bucket < homeBucketCount; ++bucket) {
        const flow_homes both = homes.bucketHomes(bucket);
        REQUIRE(idValue(both.first) % 3 != idValue(both.second) % 3);
        ++counts[both.first];
    }
    CHECK(counts.size() == 14);
    CHECK_FALSE(counts.contains(static_cast<instance_id>(4)));
    for (const auto &[id, count] : counts)
        CHECK(count < homeBucketCount / 14 * 11 / 10);
}

TEST_CASE("a lone member and a single domain still have homes", "[steering]")
{
    // Guards against dropped packets in the smallest deployments.
    blackboard board;
    virtual_clock clock;
    home_table homes(board, clock);
    CHECK(homes.flowHomes(1) == flow_homes {});
    setMember(board, 1, 1, member_state::Ready);
    CHECK(homes.flowHomes(1) == flow_homes {static_cast<instance_id>(1), noInstance});
    setMember(board, 2, 1, member_state::Ready);
    CHECK(homes.flowHomes(1).second != noInstance);
}

TEST_CASE("one lost member keeps one of the former homes for each flow", "[steering]")
{
    // Guards against a single death that makes both homes new.
    blackboard board;
    virtual_clock clock;
    for (std::uint32_t id = 1; id <= 15; ++id)
        setMember(board, id, static_cast<std::uint16_t>(id % 3), member_state::Ready);
    home_table homes(board, clock, true);
    for (std::size_t bucket = 0; bucket < homeBucketCount; ++bucket)
        homes.bucketHomes(bucket);
    setMember(board, 9, 0, member_state::Dead);
    const std::vector<home_change> changes = homes.takeChanges();
    CHECK(changes.size() > homeBucketCount / 15);
    for (const home_change &change : changes) {
        const flow_homes now = homes.bucketHomes(change.bucket);
        const auto isHome = [&](instance_id id) {
            return now.first == id || now.second == id;
        };
        REQUIRE((isHome(change.before.first) || isHome(change.before.second)));
    }
}
