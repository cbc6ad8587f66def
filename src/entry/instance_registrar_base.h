/**
 * @file instance_registrar_base.h
 * Keeps the registrations of instances in the store true.
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

/** Times of the registrar. */
struct registrar_settings
{
    /// Pause after a write that was not done; doubles with each further one.
    monotonic_time initialBackoff = std::chrono::seconds(1);
    monotonic_time maxBackoff = std::chrono::seconds(8);
    /// Time for a write that was done to come back through the state of this instance.
    monotonic_time confirmationTime = std::chrono::seconds(2);
};

/**
 * Registers this instance, and removes registrations of instances that are silent. One write is
 * under way at most. A registration that is missing only delays what others tell this instance, so
 * a store that refuses is asked ever less often.
 */
class instance_registrar
{
public:
    instance_registrar(instance_registration own, fleet_store &store, const fleet_state &state,
                       const clock_source &clock, random_source &random, event_log &log,
                       registrar_settings settings = {});

    /** Registers this instance if it is not registered and a write is due. */
    void registerSelf();

    /** Removes one of some silent instances if a write is due. */
    void removeSilentInstance(const std::vector<std::string> &silentInstances);

private:
    bool isWriteDue() const;
    void onWriteDone(std::error_code code);

    instance_registration m_own;
    fleet_store &m_store;
    const fleet_state &m_state;
    const clock_source &m_clock;
    random_source &m_random;
    event_log &m_log;
    registrar_settings m_settings;
    bool m_isWriting = false;
    unsigned m_failures = 0; ///< since the last write that was done
    monotonic_time m_nextWriteAt {0};
};

} // namespace chicoryhead
