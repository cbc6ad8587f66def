/**
 * @file fake_store.h
 * In-memory key-value service in virtual time, with the faults of a real one.
 */

#pragma once

#include "core/core_base.h"
#include "platform/key_value_base.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chicoryhead::test {

/** Virtual clock with a queue of events. */
class event_clock : public clock_source
{
public:
    monotonic_time now() const override { return m_now; }
    wall_time wallNow() const override { return std::chrono::duration_cast<wall_time>(m_now); }

    /** Runs an event after a delay. */
    void schedule(monotonic_time delay, std::function<void()> event);
    /** Runs all events up to a time and sets the clock to it. */
    void runUntil(monotonic_time time);

private:
    monotonic_time m_now {1};
    std::multimap<monotonic_time, std::function<void()>> m_events;
};

/** Seeded random bits. */
class seeded_source : public random_source
{
public:
    explicit seeded_source(std::uint64_t seed) : m_engine(seed) { }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

/** The service; clients share it. */
struct fake_store
{
    fake_store(event_clock &clock, std::uint64_t seed) : clock(clock), random(seed) { }

    /** Whether something with a probability in percent happens. */
    bool happens(unsigned percent) { return random.next() % 100 < percent; }
    /** One way of a call. */
    monotonic_time delay();
    /** Writes a key and wakes its watches. */
    bool write(const std::string &key, std::string value, std::uint64_t casIndex);
    key_value read(const std::string &key) const;

    event_clock &clock;
    seeded_source random;
    monotonic_time latency = std::chrono::milliseconds(4); ///< of a call, both ways
    bool isReachable = true;
    unsigned lostAnswers = 0;    ///< percent of writes that take effect without an answer
    bool areWatchesDead = false; ///< waiting watches never answer
    std::uint64_t index = 0;
    std::map<std::string, key_value> values;
    std::map<std::string, unsigned> creations; ///< how often each key was created
    std::map<std::string, monotonic_time> createdAt;
    std::multimap<std::string, std::function<void()>> watches;
};

/** Access of one instance to the service. */
class fake_store_client : public key_value_store
{
public:
    explicit fake_store_client(fake_store &store) : m_store(store) { }

    bool isReachable = true;
    bool arePutsHeld = false; ///< writes wait until releasePuts(), as in a paused process
    std::uint64_t calls = 0;

    void get(const std::string &key, get_handler handler) override;
    void watch(const std::string &key, std::uint64_t afterIndex, monotonic_time wait,
               get_handler handler) override;
    void put(const std::string &key, std::string value, std::uint64_t casIndex,
             put_handler handler) override;
    /** Carries out the writes that were held. */
    void releasePuts();
    void remove(const std::string &key, put_handler handler) override;
    void listKeys(const std::string &prefix, keys_handler handler) override;
    void listInstances(list_handler handler) override;

private:
    bool isConnected() const { return isReachable && m_store.isReachable; }
    template<typename Handler>
    bool refuse(Handler handler);

    fake_store &m_store;
    std::vector<std::function<void()>> m_heldPuts;
};

} // namespace chicoryhead::test
