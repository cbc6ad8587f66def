/**
 * @file test_instance_registrar.cpp
 * Registrations of instances: retries, and when no write is made.
 */

#include "entry/instance_registrar_base.h"
#include "state_support.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/** The registrar of an instance that has a configuration. */
struct registrar_fixture : state_fixture
{
    registrar_fixture() { setRegistrations({}); }

    /// Replaces the registrations in the state of the instance.
    void setRegistrations(const std::vector<instance_registration> &registrations)
    {
        fleet_changes changes;
        changes.revision = ++revision;
        changes.changes.emplace_back(makeConfig(1));
        for (const auto &registration : registrations)
            changes.changes.emplace_back(registration);
        state.replace(changes, false, clock.now());
    }

    /// Advances the clock and completes each write with an outcome; returns the number of writes.
    std::size_t countWritesWithin(monotonic_time duration, std::error_code outcome)
    {
        std::size_t count = 0;
        for (monotonic_time passed {0}; passed < duration; passed += 100ms) {
            clock.advance(100ms);
            registrar.registerSelf();
            while (!store.writes.empty()) {
                const auto done = std::move(store.writes.back());
                store.writes.pop_back();
                done(outcome);
                ++count;
            }
        }
        return count;
    }

    std::uint64_t revision = 0;
    const instance_registration own {"f-1", "a", {0x0a000001, 7720}};
    instance_registrar registrar {own, store, state, clock, random, log};
};

} // namespace

TEST_CASE("Failed registrations are retried with increasing delays", "[registrar]")
{
    // Guards against one write per second from every instance whose registration was revoked.
    registrar_fixture fixture;
    CHECK(fixture.countWritesWithin(20s, error::StoreUnavailable) <= 8);
    CHECK(fixture.countWritesWithin(13s, error::StoreUnavailable) >= 1);
}

TEST_CASE("After an outage of the store, a lost registration is written again at once",
          "[registrar]")
{
    // Guards against an instance that gets no messages of others for the rest of a long backoff,
    // seen as "does not know all instances" in the fleet model with restored stores.
    registrar_fixture fixture;
    fixture.countWritesWithin(20s, error::Timeout);
    SECTION("the store can be reached again")
    {
        fixture.registrar.onStoreResponse();
        CHECK(fixture.countWritesWithin(1100ms, {}) == 1);
    }
    SECTION("the store limits the rate of writes")
    {
        fixture.countWritesWithin(20s, error::Throttled);
        std::size_t writes = 0;
        for (int second = 0; second < 20; ++second) {
            fixture.registrar.onStoreResponse();
            writes += fixture.countWritesWithin(1s, error::Throttled);
        }
        CHECK(writes <= 4);
    }
}

TEST_CASE("A registration is not written again before the first write can be visible",
          "[registrar]")
{
    registrar_fixture fixture;
    CHECK(fixture.countWritesWithin(1900ms, {}) == 1);
    fixture.setRegistrations({fixture.own});
    CHECK(fixture.countWritesWithin(30s, {}) == 0);
}

TEST_CASE("A registration that is missing or has another address is written again", "[registrar]")
{
    registrar_fixture fixture;
    fixture.setRegistrations({fixture.own});
    REQUIRE(fixture.countWritesWithin(3s, {}) == 0);
    SECTION("it was removed")
    {
        fixture.setRegistrations({});
    }
    SECTION("an earlier process of this name had another address")
    {
        fixture.setRegistrations({{"f-1", "a", {0x0a000009, 7720}}});
    }
    CHECK(fixture.countWritesWithin(1s, {}) == 1);
}

TEST_CASE("An instance without configuration does not register", "[registrar]")
{
    registrar_fixture fixture;
    routing_table routes;
    fleet_state state(routes, fixture.directory, fixture.placement, fixture.log);
    instance_registrar registrar(fixture.own, fixture.store, state, fixture.clock, fixture.random,
                                 fixture.log);
    registrar.registerSelf();
    CHECK(fixture.store.registered.empty());
}

TEST_CASE("At most one write is in flight", "[registrar]")
{
    registrar_fixture fixture;
    fixture.registrar.registerSelf();
    fixture.registrar.removeSilentInstance({"f-2"});
    fixture.registrar.registerSelf();
    CHECK(fixture.store.registered.size() == 1);
    CHECK(fixture.store.removed.empty());
}
