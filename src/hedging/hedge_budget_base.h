/**
 * @file hedge_budget_base.h
 * Limit on the extra work that hedging causes at the upstreams.
 */

#pragma once

#include "core/core_type.h"

#include <algorithm>

namespace chicoryhead {

/**
 * Token bucket that is filled by requests, not by time: the extra work stays below a percentage of
 * the work that callers ask for, and it stops when they stop.
 */
class hedge_budget
{
public:
    /// Tokens that may be saved up. A failure hits all flows of an upstream within a second, so an
    /// instance must be able to act on more than one of them.
    static constexpr double maxTokens = 10;

    /** @param percent extra work in percent of the requests; 0 grants nothing. */
    void setPercent(double percent)
    {
        m_percent = percent;
        if (percent <= 0)
            m_tokens = 0;
    }

    /** Records a request that may be repeated. */
    void recordRequest() { m_tokens = std::min(maxTokens, m_tokens + m_percent / 100); }

    /** Takes a token for one extra opening packet or repeated request; false if there is none. */
    bool tryTake()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    bool isEnabled() const { return m_percent > 0; }
    double percent() const { return m_percent; }

private:
    double m_percent = 0;
    double m_tokens = 0; ///< from 0 to maxTokens
};

} // namespace chicoryhead
