/**
 * @file fake_store.cpp
 * In-memory key-value service in virtual time.
 */

#include "fake_store.h"
#include "core/core_error.h"

#include <memory>

namespace chicoryhead::test {

namespace {

constexpr monotonic_time clientTimeout = std::chrono::seconds(3);

} // namespace

void event_clock::schedule(monotonic_time delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void event_clock::runUntil(monotonic_time time)
{
    while (!m_events.empty() && m_events.begin()->first <= time) {
        auto node = m_events.extract(m_events.begin());
        m_now = std::max(m_now, node.key());
        node.mapped()();
    }
    m_now = time;
}

monotonic_time fake_store::delay()
{
    // A quarter more or less than half of the latency.
    const auto half = latency.count() / 2;
    const auto spread = static_cast<std::uint64_t>(half / 2) + 1;
    return monotonic_time(half * 3 / 4 + static_cast<monotonic_time::rep>(random.next() % spread));
}

key_value fake_store::read(const std::string &key) const
{
    const auto at = values.find(key);
    return at == values.end() ? key_value {key, "", 0} : at->second;
}

bool fake_store::write(const std::string &key, std::string value, std::uint64_t casIndex)
{
    if (read(key).modifyIndex != casIndex)
        return false;
    if (casIndex == 0) {
        ++creations[key];
        createdAt[key] = clock.now();
    }
    values[key] = {key, std::move(value), ++index};
    std::vector<std::function<void()>> woken;
    const auto [first, last] = watches.equal_range(key);
    for (auto at = first; at != last; ++at)
        woken.push_back(at->second);
    watches.erase(first, last);
    if (!areWatchesDead) {
        for (const auto &wake : woken)
            wake();
    }
    return true;
}

/** Answers with an error if the service is unreachable: at once, or by the client's timeout. */
template<typename Handler>
bool fake_store_client::refuse(Handler handler)
{
    ++calls;
    if (isConnected())
        return false;
    const bool isQuick = m_store.happens(50);
    m_store.clock.schedule(isQuick ? std::chrono::milliseconds(1) : clientTimeout,
                           [handler] { handler(error::StoreUnavailable); });
    return true;
}

void fake_store_client::get(const std::string &key, get_handler handler)
{
    if (refuse(handler))
        return;
    m_store.clock.schedule(m_store.delay(), [this, key, handler] {
        m_store.clock.schedule(m_store.delay(),
                               [value = m_store.read(key), handler] { handler(value); });
    });
}

void fake_store_client::watch(const std::string &key, std::uint64_t afterIndex, monotonic_time wait,
                              get_handler handler)
{
    if (refuse(handler))
        return;
    const auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, key, handler, isAnswered] {
        if (std::exchange(*isAnswered, true))
            return;
        m_store.clock.schedule(m_store.delay(), [this, key, handler] {
            if (isConnected())
                handler(m_store.read(key));
            else
                handler(error::StoreUnavailable);
        });
    };
    m_store.clock.schedule(m_store.delay(), [this, key, afterIndex, wait, answer] {
        if (m_store.areWatchesDead)
            return;
        if (m_store.read(key).modifyIndex > afterIndex)
            return answer();
        m_store.watches.emplace(key, answer);
        m_store.clock.schedule(wait, answer);
    });
}

void fake_store_client::put(const std::string &key, std::string value, std::uint64_t casIndex,
                            put_handler handler)
{
    if (arePutsHeld) {
        m_heldPuts.push_back([=, this] { put(key, value, casIndex, handler); });
        return;
    }
    if (refuse(handler))
        return;
    m_store.clock.schedule(m_store.delay(), [this, key, value, casIndex, handler] {
        const bool isWritten = m_store.write(key, value, casIndex);
        const bool isLost = m_store.happens(m_store.lostAnswers);
        m_store.clock.schedule(isLost ? clientTimeout : m_store.delay(),
                               [handler, isWritten, isLost] {
                                   if (isLost)
                                       handler(error::OutcomeUnknown);
                                   else
                                       handler(isWritten);
                               });
    });
}

void fake_store_client::releasePuts()
{
    arePutsHeld = false;
    const auto held = std::exchange(m_heldPuts, {});
    for (const auto &put : held)
        put();
}

void fake_store_client::remove(const std::string &key, put_handler handler)
{
    if (refuse(handler))
        return;
    m_store.clock.schedule(m_store.delay(), [this, key, handler] {
        m_store.values.erase(key);
        m_store.clock.schedule(m_store.delay(), [handler] { handler(true); });
    });
}

void fake_store_client::listKeys(const std::string &prefix, keys_handler handler)
{
    if (refuse(handler))
        return;
    m_store.clock.schedule(m_store.delay(), [this, prefix, handler] {
        std::vector<std::string> keys;
        for (auto at = m_store.values.lower_bound(prefix);
             at != m_store.values.end() && at->first.starts_with(prefix); ++at)
            keys.push_back(at->first);
        m_store.clock.schedule(m_store.delay(), [keys, handler] { handler(keys); });
    });
}

void fake_store_client::listInstances(list_handler handler)
{
    if (refuse(handler))
        return;
    m_store.clock.schedule(m_store.delay(),
                           [handler] { handler(std::vector<listed_instance> {}); });
}

} // namespace chicoryhead::test
