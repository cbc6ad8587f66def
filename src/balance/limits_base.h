/**
 * @file limits_base.h
 * Admission of new flows: rates, fair shares, retry budget and the instance's own protection.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "config/config_type.h"
#include "core/core_base.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace chicoryhead {

/** Token bucket in virtual time. */
class token_bucket
{
public:
    /**
     * Sets rate and capacity; tokens held are kept up to the capacity.
     * @param rate tokens per second.
     * @param capacity tokens that an idle bucket collects.
     */
    void configure(double rate, double capacity, monotonic_time now);

    /** Adds the tokens due. @return tokens that did not fit. */
    double refill(monotonic_time now);

    /** Adds tokens up to the capacity. */
    void add(double tokens);

    /** Takes one token if there is one. */
    bool take();

    /** Whether a token can be taken. */
    bool hasToken() const { return m_tokens >= 1; }

private:
    double m_rate = 0;
    double m_capacity = 0;
    double m_tokens = 0;         ///< between 0 and m_capacity
    monotonic_time m_filled {0}; ///< time of the last refill
    bool m_isConfigured = false;
};

/** Limits of one instance. */
struct limiter_settings
{
    std::uint32_t flowsPerSecond = 0; ///< new flows this instance can place; 0 for no limit
    std::size_t maxMemoryBytes = 0;   ///< for flows, records and ledger; 0 for no limit
    std::size_t maxQueued = 0;        ///< packets waiting in the instance; 0 for no limit
};

/** Use of the instance's own resources. */
struct instance_pressure
{
    std::size_t memoryBytes = 0;
    std::size_t queued = 0;
};

/** Admits or refuses new flows and retries at one instance. */
class flow_limiter
{
public:
    flow_limiter(const clock_source &clock, random_source &random, const blackboard &board,
                 limiter_settings settings = {});

    /** Whether a new flow is admitted; called once per new flow at the instance that places it. */
    bool admit(const service_config &service);

    /** Whether a retry at another upstream is within the budget; takes from the budget. */
    bool admitRetry(const service_config &service);

    /** Time that a refused caller is told to wait, in milliseconds, with jitter of ±50%. */
    std::uint32_t retryAfterMs(const service_config &service);

    /** Takes the use of the instance's resources. */
    void onPressure(const instance_pressure &pressure) { m_pressure = pressure; }

private:
    /** State of one service. */
    struct account
    {
        token_bucket limit;      ///< this instance's share of the service's limit
        token_bucket guaranteed; ///< the service's fair share of the instance's capacity
        double retryTokens = 0;  ///< retries that may be made
    };

    account &accountOf(const service_config &service, monotonic_time now);
    bool isUnderPressure();
    bool hasRoom(const service_config &service) const;
    void refillShares(monotonic_time now);
    double readyMembers();
    double uniform();

    const clock_source &m_clock;
    random_source &m_random;
    const blackboard &m_board;
    limiter_settings m_settings;
    instance_pressure m_pressure;
    std::map<service_id, account> m_accounts;
    monotonic_time m_sharesRefilled {0}; ///< last refill of all guaranteed shares
    bool m_hasShares = false;
    double m_ready = 0; ///< ready members at m_membersRevision; 0 before the first count
    std::uint64_t m_membersRevision = 0;
    token_bucket m_pool; ///< capacity that services leave unused
};

} // namespace chicoryhead
