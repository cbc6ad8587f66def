/**
 * @file fleet_state_base.h
 * What this instance knows of configuration, upstreams and other instances.
 *
 * The state has the store's revision that it includes and the time when that was last confirmed.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "eventlog/event_log_base.h"
#include "fleet_store_base.h"
#include "routing/routing_base.h"
#include "state_snapshot_type.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace chicoryhead {

/** Applies changes to the routing table and the directory. */
class fleet_state
{
public:
    fleet_state(routing_table &routes, upstream_directory &directory, upstream_listener &listener,
                event_log &log);

    /**
     * Sets the time without confirmation after which the store was away for this instance:
     * announcements that are missing then may have lapsed, whoever tells it.
     */
    void setOutageThreshold(monotonic_time threshold) { m_outageThreshold = threshold; }

    /** Adds another one that keeps something about upstreams; it outlives the state. */
    void addListener(upstream_listener &listener) { m_listeners.push_back(&listener); }

    /**
     * Applies changes that follow what is known.
     * @param isAfterOutage the store was away, so a missing announcement may come back.
     */
    void apply(const fleet_changes &changes, bool isAfterOutage, monotonic_time now);

    /** Replaces what is known by a full reading. */
    void replace(const fleet_changes &fullState, bool isAfterOutage, monotonic_time now);

    /** Takes over upstreams before everything is known; the state stays without a revision. */
    void preloadUpstreams(const fleet_changes &upstreams, monotonic_time now);

    /**
     * Takes over a state that may be out of date. Open flows can go on with it; it is in force when
     * what changed since is applied or adopted.
     */
    void preload(const state_snapshot &snapshot, monotonic_time now);

    /** The store or an instance that follows it confirmed that nothing is newer. */
    void confirm(store_revision revision, monotonic_time at);

    /**
     * Takes over the state of another instance, if it is newer and, for a difference, if its base
     * is included here.
     * @param confirmedAt when that was confirmed.
     * @return whether anything was newer.
     */
    bool adopt(const state_snapshot &other, monotonic_time confirmedAt, monotonic_time now);

    /**
     * What another instance can adopt. Lapsed announcements are left out.
     * @param knownVersion configuration that the other one has; it is not repeated.
     * @param knownRevision that the other one's state includes. Only what changed after it is
     * included, if that is known; else everything.
     */
    state_snapshot snapshot(config_version knownVersion, store_revision knownRevision,
                            monotonic_time now) const;

    /** Lets time pass for announcements that lapsed. */
    void expire(monotonic_time now);

    /** Whether a configuration is in force that was confirmed at some time. */
    bool isSynchronised() const { return m_routes.version() > 0 && m_confirmedAt.count() > 0; }

    /** Whether a state was preloaded that nobody confirmed yet. */
    bool isPreloaded() const { return m_revision > 0 && m_confirmedAt.count() == 0; }

    config_version configVersion() const { return m_routes.version(); }

    store_revision revision() const { return m_revision; }

    /** Revision of the last change that meant something to this system, or one after it. */
    store_revision contentRevision() const { return m_contentRevision; }

    /** When the revision was last confirmed; 0 for never. */
    monotonic_time confirmedAt() const { return m_confirmedAt; }

    /** Routes, upstreams and instances that are known. */
    std::size_t entryCount() const
    {
        return m_routes.config().routes.size() + m_directory.size() + m_instances.size();
    }

    /** Changes whenever instances() does. */
    std::uint64_t instancesVersion() const { return m_instancesVersion; }

    /** Registered instances by name; this one included. */
    const std::map<std::string, instance_registration> &instances() const { return m_instances; }

private:
    void applyOne(const routing_config &config, monotonic_time now);
    void applyOne(const upstream_announcement &announced, monotonic_time now);
    void applyOne(const upstream_withdrawal &withdrawal, monotonic_time now);
    void applyOne(const instance_registration &registration, monotonic_time now);
    void applyOne(const instance_deregistration &deregistration, monotonic_time now);
    void notifyRemoved(upstream_id upstream);
    void withdraw(const std::string &name, std::string_view cause, bool mayReturn,
                  monotonic_time now);
    void recordHistory(const fleet_changes &changes);
    void detectOutage(bool isAfterOutage, monotonic_time now);
    bool isInOutageGrace(monotonic_time now) const { return now < m_outageGraceEnd; }
    void applyAll(const fleet_changes &changes, monotonic_time now);
    void addMissing(const state_snapshot &other, monotonic_time now);
    void addFullState(state_snapshot &snapshot, monotonic_time now) const;
    void addDelta(state_snapshot &snapshot, monotonic_time now) const;
    bool addUpstream(state_snapshot &snapshot, const std::string &name, monotonic_time now) const;

    /// Changes that are remembered; a release of 59,000 upstreams in an hour makes 16 a second.
    static constexpr std::size_t maxHistoryEntries = 4096;

    /** Something that changed. */
    struct history_entry
    {
        store_revision revision = 0; ///< of a state that includes the change
        bool isUpstream = true;      ///< else an instance
        std::string name;
    };

    routing_table &m_routes;
    upstream_directory &m_directory;
    std::vector<upstream_listener *> m_listeners;
    event_log &m_log;
    std::map<std::string, instance_registration> m_instances;
    std::uint64_t m_instancesVersion = 1;
    std::deque<history_entry> m_history;    ///< all changes after m_compactedRevision, by revision
    store_revision m_compactedRevision = 0; ///< at most m_revision
    store_revision m_revision = 0;          ///< never goes down
    store_revision m_contentRevision = 0;   ///< at most m_revision
    monotonic_time m_confirmedAt {0};
    monotonic_time m_outageThreshold = std::chrono::seconds(2);
    monotonic_time m_outageGraceEnd {
        0}; ///< announcements that are missing may come back until then
};

} // namespace chicoryhead
