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
            m_credit = 0;
    }

    /** Records a request that may be repeated. */
    void recordRequest() { m_credit = std::min(maxTokens * creditPerToken, m_credit + m_percent); }

    /** Whether tryTake() would succeed. */
    bool hasToken() const { return m_credit >= creditPerToken; }

    /** Takes a token for one extra opening packet or repeated request; false if there is none. */
    bool tryTake()
    {
        if (!hasToken())
            return false;
        m_credit -= creditPerToken;
        return true;
    }

    bool isEnabled() const { return m_percent > 0; }
    double percent() const { return m_percent; }

private:
    /// Credit is counted in percent: ten requests at 10% are exactly one token, but ten times 0.1
    /// is less than 1 in binary.
    static constexpr double creditPerToken = 100;

    double m_percent = 0;
    double m_credit = 0; ///< from 0 to maxTokens * creditPerToken
};

} // namespace chicoryhead
