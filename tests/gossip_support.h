/**
 * @file gossip_support.h
 * Instances that gossip over a simulated network in virtual time.
 */

#pragma once

#include "entry_support.h"
#include "gossip/gossip_base.h"

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

namespace chicoryhead::test {

/** Gossip protocol and state of one instance, without a connection to the store. */
class simulated_instance : public peer_sink
{
public:
    simulated_instance(virtual_network &network, const stepped_clock &clock, std::uint64_t seed,
                       const instance_registration &self, std::vector<endpoint> seeds)
        : m_network(network)
        , m_address(self.peerAddress)
        , m_log(::open("/dev/null", O_WRONLY), clock)
        , m_random(seed)
        , placement(directory, {self.domain, 3, seed})
        , state(routes, directory, placement, m_log)
        , health(directory, self.name, self.domain)
        , latencies(directory, placement)
        , gossip(self, std::move(seeds), state, health, latencies, *this, clock, m_random, m_log)
    {
        network.attach(m_address, [this](std::span<const std::byte> bytes, const endpoint &from) {
            gossip.receive(from, bytes);
        });
    }

    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override
    {
        ++sentDatagrams;
        sentBytes += datagram.size();
        m_network.send(m_address, peer, datagram);
    }

    std::size_t sentDatagrams = 0;
    std::size_t sentBytes = 0;
    routing_table routes;
    upstream_directory directory;

private:
    virtual_network &m_network;
    endpoint m_address;
    event_log m_log;
    seeded_random m_random;

public:
    domain_first_placement placement;
    fleet_state state;
    upstream_health health;
    latency_exchange latencies;
    gossip_node gossip;
};

/** Instances of three failure domains; the store is simulated by run(). */
struct gossip_fixture
{
    explicit gossip_fixture(std::size_t count, std::uint64_t seed = 1) : network(clock, seed)
    {
        constexpr std::array<const char *, 3> domains {"a", "b", "c"};
        for (std::size_t i = 0; i < count; ++i)
            registrations.push_back({"f-" + std::to_string(i),
                                     domains[i % 3],
                                     {static_cast<std::uint32_t>(0x0a000001 + i), 7720}});
        for (std::size_t i = 0; i < count; ++i)
            instances.push_back(std::make_unique<simulated_instance>(
                network, clock, seed * 1000 + i, registrations[i],
                std::vector<endpoint> {registrations[0].peerAddress}));
    }

    /// Content of the store: a configuration, 18 upstreams and all instances.
    fleet_changes storeContent(store_revision revision, config_version version) const
    {
        fleet_changes changes;
        changes.revision = revision;
        changes.changes.emplace_back(makeConfig(version));
        for (int i = 0; i < 18; ++i)
            changes.changes.emplace_back(makeUpstream("i-" + std::to_string(i), "desk", "a"));
        for (const auto &registration : registrations)
            changes.changes.emplace_back(registration);
        return changes;
    }

    void applyStoreContent(simulated_instance &instance, const fleet_changes &changes)
    {
        instance.state.replace(changes, false, clock.now());
        instance.gossip.onStoreResponse();
        instance.gossip.announceChanges();
    }

    /// Advances the time; the store confirms the state of readers each storeResponseInterval.
    void run(monotonic_time duration)
    {
        for (monotonic_time passed {0}; passed < duration; passed += 10ms) {
            clock.advance(10ms);
            network.deliver();
            for (auto &instance : instances) {
                if (!instance || clock.now() < pausedUntil)
                    continue;
                instance->gossip.tick();
                if (passed.count() % storeResponseInterval.count() == 0 && isStoreAvailable
                    && instance->state.isSynchronised() && instance->gossip.isReader()) {
                    instance->state.confirm(instance->state.revision(), clock.now());
                    instance->gossip.onStoreResponse();
                }
            }
        }
    }

    std::size_t countReaders(const std::string &domain) const
    {
        std::size_t readers = 0;
        for (std::size_t i = 0; i < instances.size(); ++i)
            readers +=
                registrations[i].domain == domain && instances[i] && instances[i]->gossip.isReader()
                ? 1
                : 0;
        return readers;
    }

    std::size_t countWithVersion(config_version version) const
    {
        return static_cast<std::size_t>(
            std::count_if(instances.begin(), instances.end(), [&](const auto &instance) {
                return instance && instance->state.configVersion() == version;
            }));
    }

    monotonic_time oldestStateAge() const
    {
        monotonic_time oldest {0};
        for (const auto &instance : instances) {
            if (instance)
                oldest = std::max(oldest, clock.now() - instance->state.confirmedAt());
        }
        return oldest;
    }

    stepped_clock clock;
    virtual_network network;
    std::vector<instance_registration> registrations;
    std::vector<std::unique_ptr<simulated_instance>> instances;
    bool isStoreAvailable = true;
    monotonic_time storeResponseInterval = 1s; ///< between responses of the store to readers
    monotonic_time pausedUntil {0};
};

} // namespace chicoryhead::test
