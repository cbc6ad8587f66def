/**
 * @file budget_base.h
 * Byte budget of control traffic.
 */

#pragma once

#include "core/core_type.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace chicoryhead {

/**
 * Token bucket in bytes. Urgent messages are always sent and may drive the balance below zero;
 * deferrable ones wait until it is positive, so the mean stays within the rate.
 */
class byte_budget
{
public:
    /**
     * @param bytesPerSecond rate of refill.
     * @param burstBytes most that can be saved up.
     */
    byte_budget(std::int64_t bytesPerSecond, std::int64_t burstBytes)
        : m_rate(bytesPerSecond), m_burst(burstBytes), m_balance(burstBytes)
    {
    }

    /** Adds what the time since the last call allows. */
    void refill(monotonic_time now)
    {
        const auto elapsed = (now - m_refilledAt).count();
        if (elapsed <= 0)
            return;
        // Whole bytes only; the remainder of the time is kept for the next call.
        const std::int64_t bytes = elapsed * m_rate / microsPerSecond;
        if (bytes == 0)
            return;
        m_balance = std::min(m_burst, m_balance + bytes);
        m_refilledAt = now;
    }

    /** Takes bytes, if need be below zero. */
    void spend(std::size_t bytes) { m_balance -= static_cast<std::int64_t>(bytes); }

    /** Whether a deferrable message may be sent. */
    bool hasRoom() const { return m_balance > 0; }

private:
    static constexpr std::int64_t microsPerSecond = 1'000'000;

    std::int64_t m_rate;
    std::int64_t m_burst;
    std::int64_t m_balance; ///< at most m_burst
    monotonic_time m_refilledAt {0};
};

} // namespace chicoryhead
