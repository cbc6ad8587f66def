/**
 * @file limits.cpp
 * Token buckets and admission.
 */

#include "limits_base.h"

#include <algorithm>
#include <cmath>

namespace chicoryhead {

namespace {

/// Seconds of rate that a bucket collects; covers the unevenness of spraying within a second.
constexpr double burstSeconds = 0.5;
/// Interval of refilling the shares of all services, of which there may be thousands; a tenth of
/// what a share collects.
constexpr monotonic_time refillInterval = std::chrono::milliseconds(50);
/// Use of a resource above which some new flows are refused; at 1.0 all are.
constexpr double earlyRefusal = 0.9;
/// Retries that a budget collects, so that a quiet service may retry at all and a busy one cannot
/// save up a storm.
constexpr double maxRetryTokens = 100;

double toSeconds(monotonic_time time)
{
    return std::chrono::duration<double>(time).count();
}

double usage(std::size_t used, std::size_t limit)
{
    return limit > 0 ? static_cast<double>(used) / static_cast<double>(limit) : 0;
}

} // namespace

void token_bucket::configure(double rate, double capacity, monotonic_time now)
{
    m_rate = rate;
    m_capacity = std::max(capacity, 1.0);
    if (!m_isConfigured) {
        m_tokens = m_capacity;
        m_filled = now;
        m_isConfigured = true;
    }
    m_tokens = std::min(m_tokens, m_capacity);
}

double token_bucket::refill(monotonic_time now)
{
    const double tokens = m_tokens + m_rate * toSeconds(now - m_filled);
    m_filled = now;
    m_tokens = std::min(tokens, m_capacity);
    return tokens - m_tokens;
}

void token_bucket::add(double tokens)
{
    m_tokens = std::min(m_tokens + tokens, m_capacity);
}

bool token_bucket::take()
{
    if (!hasToken())
        return false;
    m_tokens -= 1;
    return true;
}

flow_limiter::flow_limiter(const clock_source &clock, random_source &random,
                           const blackboard &board, limiter_settings settings)
    : m_clock(clock), m_random(random), m_board(board), m_settings(settings)
{
}

bool flow_limiter::admit(const service_config &service)
{
    const auto now = m_clock.now();
    account &entry = accountOf(service, now);
    if (isUnderPressure() || !hasRoom(service))
        return false;
    const bool isLimited = service.limits.newFlowsPerSecond > 0;
    if (isLimited && !entry.limit.hasToken())
        return false;
    if (m_settings.flowsPerSecond > 0) {
        refillShares(now);
        if (!entry.guaranteed.take() && !m_pool.take())
            return false;
    }
    if (isLimited)
        entry.limit.take();
    const double earned = service.limits.retryBudgetPercent / 100.0;
    entry.retryTokens = std::min(entry.retryTokens + earned, maxRetryTokens);
    return true;
}

bool flow_limiter::admitRetry(const service_config &service)
{
    account &entry = accountOf(service, m_clock.now());
    if (entry.retryTokens < 1)
        return false;
    entry.retryTokens -= 1;
    return true;
}

std::uint32_t flow_limiter::retryAfterMs(const service_config &service)
{
    const double mean = std::max<std::uint32_t>(service.limits.retryAfterMs, 1);
    return static_cast<std::uint32_t>(std::lround(mean * (0.5 + uniform())));
}

flow_limiter::account &flow_limiter::accountOf(const service_config &service, monotonic_time now)
{
    account &entry = m_accounts[service.id];
    const double share = service.limits.newFlowsPerSecond / readyMembers();
    entry.limit.configure(share, share * burstSeconds, now);
    entry.limit.refill(now);
    return entry;
}

bool flow_limiter::isUnderPressure()
{
    const double used = std::max(usage(m_pressure.memoryBytes, m_settings.maxMemoryBytes),
                                 usage(m_pressure.queued, m_settings.maxQueued));
    if (used < earlyRefusal)
        return false;
    // The share refused grows linearly, so that callers don't all come back at the same time.
    return uniform() < (used - earlyRefusal) / (1 - earlyRefusal);
}

bool flow_limiter::hasRoom(const service_config &service) const
{
    if (service.limits.maxFlows == 0)
        return true;
    // Packets of a flow reach any instance, so each table approaches the flows of the deployment.
    std::uint64_t held = 0;
    for (const upstream_config &upstream : service.upstreams) {
        const auto state = m_board.upstreams.find(upstream.id);
        if (state != m_board.upstreams.end())
            held += state->second.openFlows;
    }
    return held < service.limits.maxFlows;
}

void flow_limiter::refillShares(monotonic_time now)
{
    const bool isDue = !m_hasShares || now - m_sharesRefilled >= refillInterval;
    if (!isDue)
        return;
    m_hasShares = true;
    m_sharesRefilled = now;
    const double capacity = m_settings.flowsPerSecond;
    const auto count =
        static_cast<double>(std::max<std::size_t>(m_board.config->services.size(), 1));
    const double share = capacity / count;
    m_pool.configure(0, capacity * burstSeconds, now);
    for (const auto &[id, service] : m_board.config->services) {
        account &entry = m_accounts[id];
        entry.guaranteed.configure(share, share * burstSeconds, now);
        m_pool.add(entry.guaranteed.refill(now));
    }
}

double flow_limiter::readyMembers()
{
    if (m_ready > 0 && m_membersRevision == m_board.membersRevision)
        return m_ready;
    const auto ready =
        std::count_if(m_board.members.begin(), m_board.members.end(),
                      [](const auto &item) { return item.second.state == member_state::Ready; });
    m_membersRevision = m_board.membersRevision;
    m_ready = static_cast<double>(std::max<std::ptrdiff_t>(ready, 1));
    return m_ready;
}

double flow_limiter::uniform()
{
    return static_cast<double>(m_random.next() >> 11) * 0x1.0p-53;
}

} // namespace chicoryhead
