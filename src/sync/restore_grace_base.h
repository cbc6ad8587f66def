/**
 * @file restore_grace_base.h
 * What the state keeps from before a restore of the store, until its owners could write it again.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "fleet_store_base.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace chicoryhead {

/// Duration of the period if the settings do not say how often upstreams announce themselves.
inline constexpr monotonic_time defaultRestoreGracePeriod = std::chrono::seconds(5);

/** A period after a restore, with the entries that do not follow the restored store yet. */
class restore_grace
{
public:
    using announcement_map = std::map<std::string, upstream_announcement>;
    using registration_map = std::map<std::string, instance_registration>;

    /** Sets the duration of subsequent periods. */
    void setPeriod(monotonic_time period) { m_period = period; }

    /** Begins a period, or begins it again. */
    void begin(monotonic_time now)
    {
        m_hasBegun = true;
        m_end = now + m_period;
    }

    /** Whether a period ever began. */
    bool hasBegun() const { return m_hasBegun; }

    bool isRunning() const { return m_end.count() > 0; }

    /** Whether a running period is over. */
    bool isOver(monotonic_time now) const { return isRunning() && now >= m_end; }

    /** Ends the period and removes the former instances; returns the announcements held back. */
    announcement_map end()
    {
        m_end = monotonic_time {0};
        m_formerInstances.clear();
        return std::exchange(m_heldBack, {});
    }

    /** Holds back an announcement of the restored store that is older than the known one. */
    void holdBack(const upstream_announcement &announced)
    {
        m_heldBack[announced.name] = announced;
    }

    /** Removes the announcement that was held back for an upstream. */
    void discard(const std::string &upstream) { m_heldBack.erase(upstream); }

    /** Removes the announcements held back for upstreams that a condition does not accept. */
    template<typename Condition>
    void discardUnless(Condition isListed)
    {
        std::erase_if(m_heldBack, [&](const auto &entry) { return !isListed(entry.first); });
    }

    /** Announcements held back, by upstream; empty unless a period is running. */
    const announcement_map &heldBack() const { return m_heldBack; }

    /** Keeps registrations that the restored store may lack. */
    void keepInstances(registration_map instances) { m_formerInstances.merge(instances); }

    /** Removes an instance that registered again or was removed from the store. */
    void discardInstance(const std::string &name) { m_formerInstances.erase(name); }

    /** Instances that are still peers although the restored store does not list them. */
    const registration_map &formerInstances() const { return m_formerInstances; }

private:
    announcement_map m_heldBack;
    registration_map m_formerInstances;
    monotonic_time m_period = defaultRestoreGracePeriod;
    monotonic_time m_end {0}; ///< 0 if no period is running
    bool m_hasBegun = false;
};

} // namespace chicoryhead
