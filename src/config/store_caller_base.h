/**
 * @file store_caller_base.h
 * Calls to the platform's service with a deadline, backoff and a retry budget, one at a time.
 */

#pragma once

#include "core/core_base.h"
#include "platform/key_value_base.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace chicoryhead {

/** Limits of the calls to the platform's service. */
struct store_caller_settings
{
    monotonic_time deadline = std::chrono::seconds(2);          ///< per call
    monotonic_time minBackoff = std::chrono::milliseconds(100); ///< after the first failure
    monotonic_time maxBackoff = std::chrono::seconds(30);
    double retryBudget = 10;       ///< failures that are retried with growing backoff
    double budgetPerSuccess = 0.1; ///< added to the budget by a call that succeeds
};

/** Queue of calls, of which one at a time is carried out. Handlers run exactly once. */
class store_caller
{
public:
    store_caller(key_value_store &store, const clock_source &clock, random_source &random,
                 const store_caller_settings &settings);

    /** Reads a key; error::Timeout after the deadline. */
    void get(const std::string &key, key_value_store::get_handler handler);
    /** Waits for a change of a key, up to wait; error::Timeout at the deadline after that. */
    void watch(const std::string &key, std::uint64_t afterIndex, monotonic_time wait,
               key_value_store::get_handler handler);
    /** Writes a key; error::OutcomeUnknown after the deadline. */
    void put(const std::string &key, std::string value, std::uint64_t casIndex,
             key_value_store::put_handler handler);
    /** Deletes a key; error::OutcomeUnknown after the deadline. */
    void remove(const std::string &key, key_value_store::put_handler handler);
    /** Lists keys; error::Timeout after the deadline. */
    void listKeys(const std::string &prefix, key_value_store::keys_handler handler);

    /**
     * Sets a function for reads that are answered after their deadline. Their handlers have run
     * with an error already, but what was read is still true of keys that never change.
     */
    void setLateHandler(std::function<void(const key_value &)> handler)
    {
        m_onLateRead = std::move(handler);
    }

    /** Ends calls that passed their deadline and starts the next one after a backoff. */
    void tick();

    /** Whether no call is queued or carried out. */
    bool isIdle() const { return m_queue.empty() && m_current == 0; }
    /** Whether the last call failed. */
    bool isFailing() const { return m_failures > 0; }
    /** Lets the next call start at once. */
    void resetBackoff();
    /** Drops the calls that haven't started; their handlers don't run. */
    void dropQueue() { m_queue.clear(); }
    /** Calls started so far. */
    std::uint64_t callCount() const { return m_callCount; }

private:
    struct queued_call
    {
        std::function<void(std::uint64_t token)> start;
        std::function<void()> expire;
        monotonic_time deadline;
    };

    template<typename Value>
    void enqueue(std::function<void(std::function<void(result<Value>)>)> start,
                 std::function<void(result<Value>)> handler, std::error_code timeoutCode,
                 monotonic_time deadline);
    bool finish(std::uint64_t token, bool isSuccess);
    template<typename Value>
    void takeLate(const result<Value> &value);
    void endBackoff(std::uint64_t token, bool isSuccess);
    void startNext();
    monotonic_time backoff();

    key_value_store &m_store;
    const clock_source &m_clock;
    random_source &m_random;
    const store_caller_settings m_settings;
    std::deque<queued_call> m_queue;
    std::function<void(const key_value &)> m_onLateRead;
    std::function<void()> m_expire; ///< of the call that is carried out
    std::uint64_t m_current = 0;    ///< token of the call that is carried out, or 0
    std::uint64_t m_callCount = 0;
    monotonic_time m_expiresAt {0};
    monotonic_time m_notBefore {0}; ///< end of the backoff
    unsigned m_failures = 0;        ///< in a row
    double m_budget;                ///< retries left
    /// Late answers hold a weak pointer to it, so that they don't reach a destroyed object.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace chicoryhead
