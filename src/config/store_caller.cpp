/**
 * @file store_caller.cpp
 * Deadlines, backoff and retry budget of the calls to the platform's service.
 */

#include "core/core_error.h"
#include "store_caller_base.h"

#include <algorithm>
#include <type_traits>

namespace chicoryhead {

namespace {

/// From this exponent on, any backoff is above its maximum.
constexpr unsigned maxExponent = 20;

} // namespace

store_caller::store_caller(key_value_store &store, const clock_source &clock, random_source &random,
                           const store_caller_settings &settings)
    : m_store(store)
    , m_clock(clock)
    , m_random(random)
    , m_settings(settings)
    , m_budget(settings.retryBudget)
{
}

template<typename Value>
void store_caller::takeLate(const result<Value> &value)
{
    if constexpr (std::is_same_v<Value, key_value>) {
        if (m_onLateRead && value && value.value().modifyIndex != 0)
            m_onLateRead(value.value());
    }
}

/** A late success shows that the service works, only slowly: a long pause would help nobody. */
void store_caller::endBackoff(std::uint64_t token, bool isSuccess)
{
    if (!isSuccess || token != m_callCount)
        return;
    m_failures = 0;
    m_budget = std::min(m_budget + 1, m_settings.retryBudget);
    m_notBefore = std::min(m_notBefore, m_clock.now() + m_settings.minBackoff);
}

template<typename Value>
void store_caller::enqueue(std::function<void(std::function<void(result<Value>)>)> start,
                           std::function<void(result<Value>)> handler, std::error_code timeoutCode,
                           monotonic_time deadline)
{
    queued_call call;
    call.deadline = deadline;
    call.expire = [handler, timeoutCode] {
        handler(timeoutCode);
    };
    call.start = [this, start = std::move(start), handler](std::uint64_t token) {
        const std::weak_ptr<int> alive = m_alive;
        start([this, alive, token, handler](result<Value> value) {
            if (alive.expired())
                return;
            if (!finish(token, value.has_value())) {
                endBackoff(token, value.has_value());
                return takeLate(value);
            }
            handler(std::move(value));
            if (!alive.expired())
                startNext();
        });
    };
    m_queue.push_back(std::move(call));
    startNext();
}

void store_caller::get(const std::string &key, key_value_store::get_handler handler)
{
    enqueue<key_value>([this, key](auto done) { m_store.get(key, std::move(done)); },
                       std::move(handler), error::Timeout, m_settings.deadline);
}

void store_caller::watch(const std::string &key, std::uint64_t afterIndex, monotonic_time wait,
                         key_value_store::get_handler handler)
{
    enqueue<key_value>([this, key, afterIndex,
                        wait](auto done) { m_store.watch(key, afterIndex, wait, std::move(done)); },
                       std::move(handler), error::Timeout, wait + m_settings.deadline);
}

void store_caller::put(const std::string &key, std::string value, std::uint64_t casIndex,
                       key_value_store::put_handler handler)
{
    enqueue<bool>([this, key, value = std::move(value),
                   casIndex](auto done) { m_store.put(key, value, casIndex, std::move(done)); },
                  std::move(handler), error::OutcomeUnknown, m_settings.deadline);
}

void store_caller::remove(const std::string &key, key_value_store::put_handler handler)
{
    enqueue<bool>([this, key](auto done) { m_store.remove(key, std::move(done)); },
                  std::move(handler), error::OutcomeUnknown, m_settings.deadline);
}

void store_caller::listKeys(const std::string &prefix, key_value_store::keys_handler handler)
{
    enqueue<std::vector<std::string>>(
        [this, prefix](auto done) { m_store.listKeys(prefix, std::move(done)); },
        std::move(handler), error::Timeout, m_settings.deadline);
}

void store_caller::tick()
{
    const std::weak_ptr<int> alive = m_alive;
    if (m_current != 0 && m_clock.now() > m_expiresAt) {
        const auto expire = std::move(m_expire);
        finish(m_current, false);
        expire();
    }
    if (!alive.expired())
        startNext();
}

void store_caller::resetBackoff()
{
    m_notBefore = monotonic_time(0);
    m_failures = 0;
    m_budget = std::max(m_budget, 1.0);
}

bool store_caller::finish(std::uint64_t token, bool isSuccess)
{
    // An answer after the deadline: the handler has run already.
    if (token != m_current)
        return false;
    m_current = 0;
    m_expire = nullptr;
    if (isSuccess) {
        m_failures = 0;
        m_budget = std::min(m_budget + m_settings.budgetPerSuccess, m_settings.retryBudget);
        return true;
    }
    m_budget = std::max(m_budget - 1, 0.0);
    m_notBefore = m_clock.now() + backoff();
    ++m_failures;
    return true;
}

monotonic_time store_caller::backoff()
{
    // Without budget the service is given the longest pause at once.
    const auto exponent = std::min(m_failures, maxExponent);
    const auto longest = m_budget < 1
        ? m_settings.maxBackoff
        : std::min(m_settings.maxBackoff, m_settings.minBackoff * (1 << exponent));
    // Jitter of the upper half, so that instances that failed together don't return together.
    const auto half = static_cast<std::uint64_t>(longest.count() / 2);
    const std::uint64_t jitter = half == 0 ? 0 : m_random.next() % half;
    return std::max(m_settings.minBackoff,
                    longest - monotonic_time(static_cast<monotonic_time::rep>(jitter)));
}

void store_caller::startNext()
{
    if (m_current != 0 || m_queue.empty() || m_clock.now() < m_notBefore)
        return;
    queued_call call = std::move(m_queue.front());
    m_queue.pop_front();
    m_current = ++m_callCount;
    m_expire = std::move(call.expire);
    m_expiresAt = m_clock.now() + call.deadline;
    call.start(m_current);
}

} // namespace chicoryhead
