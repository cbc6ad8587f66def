/**
 * @file instance_registrar_base.h
 * Keeps the registrations of instances in the store up to date.
 */

#pragma once

#include "core/core_base.h"
#include "eventlog/event_log_base.h"
#include "sync/fleet_state_base.h"
#include "sync/fleet_store_base.h"

#include <chrono>
#include <string>
#include <vector>

namespace chicoryhead {

/** Retry and confirmation times of the registrar. */
struct registrar_settings
{
    /// Delay after a failed write; doubles with each further failure.
    monotonic_time initialBackoff = std::chrono::seconds(1);
    monotonic_time maxBackoff = std::chrono::seconds(8);
    /// Time for a successful write to become visible in the state of this instance. No write is
    /// started before that.
    monotonic_time confirmationTime = std::chrono::seconds(2);
};

/**
 * Registers this instance, and removes registrations of silent instances. At most one write is in
 * flight. A missing registration only delays gossip to this instance, so failed writes are retried
 * with exponential backoff.
 */
class instance_registrar
{
public:
    instance_registrar(instance_registration own, fleet_store &store, const fleet_state &state,
                       const clock_source &clock, random_source &random, event_log &log,
                       registrar_settings settings = {});

    /** Registers this instance if its registration is missing or outdated and a write is due. */
    void registerSelf();

    /**
     * Records that the store answered another call. A write that failed because the store could not
     * be reached is repeated soon, so that an instance is not without registration for the rest of
     * a long backoff.
     */
    void onStoreResponse();

    /** Removes the registration of the first silent instance if a write is due. */
    void removeSilentInstance(const std::vector<std::string> &silentInstances);

private:
    bool isWriteDue() const;
    void onWriteDone(std::error_code code);
    monotonic_time jitter(monotonic_time bound);

    instance_registration m_own;
    fleet_store &m_store;
    const fleet_state &m_state;
    const clock_source &m_clock;
    random_source &m_random;
    event_log &m_log;
    registrar_settings m_settings;
    bool m_isWriting = false;
    bool m_wasStoreUnreachable = false; ///< at the last failed write
    unsigned m_failures = 0;            ///< since the last successful write
    monotonic_time m_nextWriteAt {0};
};

} // namespace chicoryhead
