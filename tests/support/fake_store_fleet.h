/**
 * @file fake_store_fleet.h
 * Instances with their distribution, the store and the network between them, in virtual time.
 */

#pragma once

#include "config/distribution_base.h"
#include "config/store_layout_func.h"
#include "core/core_error.h"
#include "support/fake_store.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicoryhead::test {

constexpr monotonic_time tickInterval = std::chrono::milliseconds(20);
constexpr unsigned gossipFanout = 3;

class config_fleet;

/** One instance with its own view of the members. */
struct config_instance : config_messenger
{
    config_instance(config_fleet &owner, fake_store &store, std::uint32_t number, unsigned domain);

    void sendPull(instance_id to, const config_pull &pull) override;
    void sendPage(instance_id to, const config_page &page) override;
    void onApplied(config_version version);

    config_fleet &owner;
    instance_id id;
    seeded_source random;
    fake_store_client client;
    blackboard board;
    config_version lastVersion = 0;
    bool isPaused = false;
    std::unique_ptr<distribution> core;
};

/** Instances, the store and the network between them. */
class config_fleet
{
public:
    explicit config_fleet(std::uint64_t seed) : store(clock, seed), random(seed + 1) { }

    void add(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            const auto number = static_cast<std::uint32_t>(instances.size()) + 1;
            instances.push_back(
                std::make_unique<config_instance>(*this, store, number, number % 3));
        }
        updateMembers();
    }

    /** Shows each instance the members that it reaches as ready and the others as dead. */
    void updateMembers()
    {
        for (auto &item : instances) {
            for (auto &other : instances) {
                member seen = other->board.self;
                seen.state = canReach(*item, *other) ? member_state::Ready : member_state::Dead;
                item->board.members[other->id] = seen;
            }
            ++item->board.membersRevision;
        }
    }

    bool canReach(const config_instance &a, const config_instance &b) const
    {
        return a.board.self.domain == b.board.self.domain
            || (a.board.self.domain != cutDomain && b.board.self.domain != cutDomain);
    }

    /** Carries a message, which may be lost, doubled or late. */
    void carry(config_instance &from, instance_id to,
               std::function<void(config_instance &)> deliver)
    {
        for (int copy = 0; copy < 2; ++copy) {
            if (copy == 1 ? !happens(doubled) : happens(lost))
                continue;
            const monotonic_time delay =
                std::chrono::milliseconds(1) + monotonic_time(random.next() % 3000);
            clock.schedule(delay, [this, &from, to, deliver] {
                config_instance &target = *instances[idValue(to) - 1];
                if (canReach(from, target))
                    deliver(target);
            });
        }
    }

    void announce(config_instance &from, instance_id to)
    {
        const config_version version = from.board.config->version;
        carry(from, to, [id = from.id, version](config_instance &target) {
            target.core->onPeerVersion(id, version);
        });
    }

    instance_id randomPeer() { return instance_id(1 + random.next() % instances.size()); }

    void run(monotonic_time duration)
    {
        const monotonic_time end = clock.now() + duration;
        while (clock.now() < end) {
            clock.runUntil(clock.now() + tickInterval);
            for (auto &item : instances) {
                if (!item->isPaused)
                    item->core->tick();
            }
            // A ping and its acknowledgement each second, as the membership sends them.
            if (clock.now() < m_nextPing)
                continue;
            m_nextPing = clock.now() + std::chrono::seconds(1);
            for (auto &item : instances) {
                const instance_id peer = randomPeer();
                announce(*item, peer);
                announce(*instances[idValue(peer) - 1], item->id);
            }
        }
    }

    /** Submits until the operator has a definite outcome, and records it. */
    void submit(unsigned instance, config_patch patch, submit_handler handler = nullptr)
    {
        instances[instance]->core->submit(
            patch, [this, instance, patch, handler](const patch_outcome &outcome) {
                if (outcome.code == error::OutcomeUnknown) {
                    clock.schedule(std::chrono::milliseconds(500),
                                   [=, this] { submit(instance, patch, handler); });
                    return;
                }
                if (!outcome.code)
                    accepted[patch.id].insert(outcome.version);
                else
                    refused.insert(patch.id);
                if (handler)
                    handler(outcome);
            });
    }

    bool happens(unsigned percent) { return random.next() % 100 < percent; }

    /** Whether every instance has at least a version. */
    bool haveAll(config_version version) const
    {
        return std::all_of(instances.begin(), instances.end(), [version](const auto &item) {
            return item->board.config->version >= version;
        });
    }

    config_version newest() const
    {
        config_version version = 0;
        for (const auto &item : instances)
            version = std::max(version, item->board.config->version);
        return version;
    }

    /** Checks the whole history; the log must not have been trimmed. */
    void checkHistory();

    distribution_settings settings;
    event_clock clock;
    fake_store store;
    seeded_source random;
    std::vector<std::unique_ptr<config_instance>> instances;
    std::map<std::string, std::set<config_version>> accepted;
    std::set<std::string> refused;
    std::map<config_version, monotonic_time> inForceAt; ///< at the last instance that got it
    unsigned lost = 0;                                  ///< percent of messages
    unsigned doubled = 0;                               ///< percent of messages
    unsigned decreases = 0;
    std::size_t largestPage = 0;
    std::uint64_t bytes = 0; ///< of pulls and pages
    domain_id cutDomain {99};

private:
    monotonic_time m_nextPing {0};
};

/** A patch that creates the service "desk" with 14 upstreams. */
config_patch createDesk();
/** A patch that sets the weight of an upstream that follows from the weight. */
config_patch setWeight(const std::string &id, config_version base, std::uint64_t weight);
/** An operator who submits patches one after another, each based on the version seen. */
void operate(config_fleet &all, const std::string &name, unsigned patches);
/** Adds instances and waits until "desk" is in force on all of them. */
void start(config_fleet &all, unsigned instances);
/** Submits again while the store is unavailable, as an operator does. */
void submitAnyway(config_fleet &all, const config_patch &patch);
/** Submits setWeight() patches one after another until a version is in force everywhere. */
void advanceTo(config_fleet &all, unsigned instance, config_version version);
/** Calls of all instances to the store so far. */
std::uint64_t storeCalls(const config_fleet &all);

} // namespace chicoryhead::test
