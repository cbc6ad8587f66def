/**
 * @file instance_registrar.cpp
 * Registration writes and their retries.
 */

#include "instance_registrar_base.h"

#include <algorithm>
#include <utility>

namespace chicoryhead {

instance_registrar::instance_registrar(instance_registration own, fleet_store &store,
                                       const fleet_state &state, const clock_source &clock,
                                       random_source &random, event_log &log,
                                       registrar_settings settings)
    : m_own(std::move(own))
    , m_store(store)
    , m_state(state)
    , m_clock(clock)
    , m_random(random)
    , m_log(log)
    , m_settings(settings)
{
}

void instance_registrar::registerSelf()
{
    const auto known = m_state.instances().find(m_own.name);
    const bool isKnown = known != m_state.instances().end() && known->second == m_own;
    if (isKnown || !m_state.isSynchronised() || !isWriteDue())
        return;
    m_isWriting = true;
    m_store.registerInstance(m_own, [this](std::error_code code) {
        onWriteDone(code);
        m_log.write("instance_registered", {{"outcome", code ? code.message() : "done"}});
    });
}

void instance_registrar::removeSilentInstance(const std::vector<std::string> &silentInstances)
{
    if (silentInstances.empty() || !isWriteDue())
        return;
    m_isWriting = true;
    const std::string &name = silentInstances.front();
    m_store.removeInstance(name, [this, name](std::error_code code) {
        onWriteDone(code);
        m_log.write("instance_removed",
                    {{"removed", name}, {"outcome", code ? code.message() : "done"}});
    });
}

void instance_registrar::onStoreResponse()
{
    if (!m_wasStoreUnreachable || m_isWriting)
        return;
    m_wasStoreUnreachable = false;
    m_failures = 0;
    m_nextWriteAt = std::min(m_nextWriteAt, m_clock.now() + jitter(m_settings.initialBackoff));
}

/// Instances whose registrations were lost together must not all retry at once.
monotonic_time instance_registrar::jitter(monotonic_time bound)
{
    return monotonic_time {
        static_cast<std::int64_t>(m_random.next() % static_cast<std::uint64_t>(bound.count()))};
}

bool instance_registrar::isWriteDue() const
{
    return !m_isWriting && m_clock.now() >= m_nextWriteAt;
}

void instance_registrar::onWriteDone(std::error_code code)
{
    m_isWriting = false;
    if (!code) {
        m_failures = 0;
        m_nextWriteAt = m_clock.now() + m_settings.confirmationTime;
        return;
    }
    const unsigned doublings = std::min(m_failures, 8U);
    const auto backoff =
        std::min(m_settings.initialBackoff * (1U << doublings), m_settings.maxBackoff);
    m_nextWriteAt = m_clock.now() + backoff / 2 + jitter(backoff);
    ++m_failures;
    m_wasStoreUnreachable = code != error::Throttled && code != error::Rejected;
}

} // namespace chicoryhead
