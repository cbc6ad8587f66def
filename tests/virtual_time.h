/**
 * @file virtual_time.h
 * Clock, random source and datagram network in virtual time, for tests of several instances.
 */

#pragma once

#include "core/core_base.h"
#include "standin/seeded_random.h"

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace chicoryhead::test {

using standin::seeded_random;

/** Clock that is advanced by the test. */
class stepped_clock : public clock_source
{
public:
    monotonic_time now() const override { return m_now; }

    /** Advances the clock. */
    void advance(monotonic_time step) { m_now += step; }

private:
    monotonic_time m_now = std::chrono::seconds(1);
};

/** Simulated datagram network with delay, loss, duplication and partitions. */
class virtual_network
{
public:
    using receiver = std::function<void(std::span<const std::byte>, const endpoint &from)>;

    virtual_network(const clock_source &clock, std::uint64_t seed) : m_clock(clock), m_random(seed)
    {
    }

    /** Registers the receiver of an address; an empty one disconnects the address. */
    void attach(const endpoint &address, receiver handler)
    {
        m_receivers[address] = std::move(handler);
    }

    /** Sends one datagram. */
    void send(const endpoint &from, const endpoint &to, std::span<const std::byte> bytes)
    {
        if (isPartitioned(from, to) || draw() < lossShare)
            return;
        const int copies = draw() < duplicateShare ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto extra = std::chrono::microseconds(m_random() % 1000);
            m_queue.emplace(m_clock.now() + delay + extra,
                            datagram {from, to, {bytes.begin(), bytes.end()}});
        }
    }

    /** Delivers the datagrams that are due. */
    void deliver()
    {
        while (!m_queue.empty() && m_queue.begin()->first <= m_clock.now()) {
            const datagram next = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            const auto found = m_receivers.find(next.to);
            if (found != m_receivers.end() && found->second)
                found->second(next.bytes, next.from);
        }
    }

    /** Assigns an endpoint to a partition; datagrams between partitions are lost. */
    void setPartition(const endpoint &address, int partition) { m_partitions[address] = partition; }

    double lossShare = 0;
    double duplicateShare = 0;
    monotonic_time delay = std::chrono::microseconds(1000); ///< up to 1 ms of random delay is added

private:
    struct datagram
    {
        endpoint from;
        endpoint to;
        std::vector<std::byte> bytes;
    };

    bool isPartitioned(const endpoint &from, const endpoint &to)
    {
        return m_partitions[from] != m_partitions[to];
    }

    double draw() { return std::uniform_real_distribution<double>()(m_random); }

    const clock_source &m_clock;
    std::mt19937_64 m_random;
    std::map<endpoint, receiver> m_receivers;
    std::map<endpoint, int> m_partitions;
    std::multimap<monotonic_time, datagram> m_queue;
};

} // namespace chicoryhead::test
