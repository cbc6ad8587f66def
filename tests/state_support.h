/**
 * @file state_support.h
 * The state of an instance with a scripted store, for tests of what reads or writes that store.
 */

#pragma once

#include "entry_support.h"
#include "sync/fleet_state_base.h"
#include "sync/store_follower_base.h"

#include <fcntl.h>

namespace chicoryhead::test {

/** State of an instance in domain "a", one of three domains. */
struct state_fixture
{
    stepped_clock clock;
    seeded_random random {1};
    event_log log {::open("/dev/null", O_WRONLY), clock};
    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 3, 7}};
    fleet_state state {routes, directory, placement, log};
    scripted_store store;
};

/** A follower of the store; its first read of a snapshot has found none. */
struct follower_fixture : state_fixture
{
    follower_fixture()
    {
        follower.tick();
        store.answerSnapshot();
    }

    lifecycle_state lifecycleOf(const std::string &name) const
    {
        return directory.find(name)->lifecycle;
    }

    store_follower follower {store, state, clock, random, log};
};

} // namespace chicoryhead::test
