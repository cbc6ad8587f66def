/**
 * @file fleet_state_base.h
 * This instance's copy of the configuration, the upstreams and the registered instances.
 *
 * The state has the store revision that it includes and the time when that was last confirmed. When
 * the store was restored from a copy, its state replaces this one although its changes have lower
 * numbers. Additions of the restored state apply at once. What it lacks, and announcements that are
 * older than the known ones, apply after a grace period, in which their owners write them again.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "eventlog/event_log_base.h"
#include "fleet_store_base.h"
#include "restore_grace_base.h"
#include "routing/routing_base.h"
#include "state_snapshot_type.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicoryhead {

/** Applies changes of the store to the routing table and the directory. */
class fleet_state
{
public:
    fleet_state(routing_table &routes, upstream_directory &directory, upstream_listener &listener,
                event_log &log);

    /**
     * Sets the time without confirmation that counts as an outage of the store. Announcements that
     * are missing afterwards may only have expired, whichever source reports them as missing.
     */
    void setOutageThreshold(monotonic_time threshold) { m_outageThreshold = threshold; }

    /** Sets how long the state from before a restore of the store counts if the store lacks it. */
    void setRestoreGracePeriod(monotonic_time period) { m_restoreGrace.setPeriod(period); }

    /** Adds a listener that is notified of removed upstreams; it must outlive the state. */
    void addListener(upstream_listener &listener) { m_listeners.push_back(&listener); }

    /**
     * Applies changes made after the current revision, in its epoch.
     * @param isAfterOutage whether the store was unavailable, so that a missing upstream may be
     * announced again.
     */
    void apply(const fleet_changes &changes, bool isAfterOutage, monotonic_time now);

    /** Replaces the state by the result of a full load. */
    void replace(const fleet_changes &fullState, bool isAfterOutage, monotonic_time now);

    /** Adds upstreams before the full state is known; the revision stays 0. */
    void preloadUpstreams(const fleet_changes &upstreams, monotonic_time now);

    /**
     * Installs a state that may be out of date. It serves open flows; new flows are placed once the
     * changes since then were applied or adopted.
     */
    void preload(const state_snapshot &snapshot, monotonic_time now);

    /** Records that the store or an up-to-date instance confirmed this revision as the newest. */
    void confirm(store_revision revision, monotonic_time at);

    /**
     * Takes over the state of another instance if it is newer and, for a delta, if this state
     * includes the delta's base revision.
     * @param confirmedAt when the other state was confirmed.
     * @return whether a newer revision was adopted, or a preloaded one was confirmed.
     */
    bool adopt(const state_snapshot &other, monotonic_time confirmedAt, monotonic_time now);

    /**
     * Makes a snapshot for another instance to adopt. Its upstreams are the announced ones; those
     * with expired announcements are listed as missing during the grace period after an outage.
     * @param knownVersion configuration version of the receiver; only a newer one is included.
     * @param knownRevision revision of the receiver's state. The snapshot is a delta if the history
     * covers the changes after it, else the full state.
     */
    state_snapshot snapshot(config_version knownVersion, store_revision knownRevision,
                            monotonic_time now) const;

    /**
     * Marks missing upstreams as gone when their time is over; drops those gone for long. Ends the
     * grace period after a restore of the store.
     */
    void expire(monotonic_time now);

    /**
     * Takes over the evacuations reported by another instance if they are newer.
     * @return false if its release does not report them, so that its state confirms nothing.
     */
    bool adoptEvacuations(const std::optional<evacuated_domains> &reported, monotonic_time now);

    /** Whether there is a configuration, and the state was confirmed at least once. */
    bool isSynchronised() const { return m_routes.version() > 0 && m_confirmedAt.count() > 0; }

    /** Whether the state was preloaded and not confirmed yet. */
    bool isPreloaded() const { return m_revision && m_confirmedAt.count() == 0; }

    config_version configVersion() const { return m_routes.version(); }

    store_revision revision() const { return m_revision; }

    /**
     * Revision after which changes must be read from the store. It is less than revision() if the
     * state came from an instance whose release does not report evacuations.
     */
    store_revision completeRevision() const { return std::min(m_revision, m_evacuations.revision); }

    /** Whether the store was restored while this process has been running. */
    bool hasSeenRestore() const { return m_restoreGrace.hasBegun(); }

    /** Failure domains that are being evacuated according to the store. */
    const evacuated_domains &evacuations() const { return m_evacuations; }

    /** Failure domains whose upstreams get no new flows. */
    const std::set<std::string> &evacuatedDomains() const { return m_evacuatedDomains; }

    /** Upper bound of the revision of the last change that is relevant to this system. */
    store_revision contentRevision() const { return m_contentRevision; }

    /** When the revision was last confirmed; 0 for never. */
    monotonic_time confirmedAt() const { return m_confirmedAt; }

    /** Whether the state was confirmed and that is longer ago than the outage threshold. */
    bool isStale(monotonic_time now) const
    {
        return m_confirmedAt.count() > 0 && now - m_confirmedAt > m_outageThreshold;
    }

    /**
     * Logs that the state was confirmed again, if it was stale.
     * @param wasStale isStale() before.
     * @param source what confirmed it.
     */
    void logConfirmation(bool wasStale, std::string_view source, monotonic_time now) const;

    /**
     * Checksum of the configuration's version, the announced upstreams and the evacuated domains.
     * Instances at the same revision have the same one.
     */
    std::uint32_t checksum() const;

    /** Number of routes, upstreams and instances. */
    std::size_t entryCount() const
    {
        return m_routes.config().routes.size() + m_directory.size() + m_instances.size();
    }

    /** Counter that increases whenever instances() changes. */
    std::uint64_t instancesVersion() const { return m_instancesVersion; }

    /** Registered instances by name, including this one. */
    const std::map<std::string, instance_registration> &instances() const { return m_instances; }

    /**
     * Instances whose registrations the store lost in a restore, and that are still peers until
     * they could register again.
     */
    const std::map<std::string, instance_registration> &formerInstances() const
    {
        return m_restoreGrace.formerInstances();
    }

    /** Number of instances by failure domain, former ones included. */
    std::map<std::string, std::size_t> countInstancesByDomain() const;

private:
    void applyOne(const routing_config &config, monotonic_time now);
    void applyOne(const upstream_announcement &announced, monotonic_time now);
    void applyOne(const upstream_withdrawal &withdrawal, monotonic_time now);
    void applyOne(const instance_registration &registration, monotonic_time now);
    void applyOne(const instance_deregistration &deregistration, monotonic_time now);
    void applyOne(const domain_evacuation & /*evacuation*/, monotonic_time /*now*/) { }
    void applyEvacuations(const fleet_changes &changes, std::set<std::string> previous,
                          monotonic_time now);
    void setEvacuations(const evacuated_domains &evacuations, monotonic_time now);
    void setEvacuatedDomains(const std::set<std::string> &domains);
    bool isRestoredSince(const store_revision &known, const store_revision &later) const;
    void beginRestoreGrace(monotonic_time now);
    void endRestoreGrace(monotonic_time now);
    void beginEpoch(const fleet_changes &fullState, monotonic_time now);
    void replaceEntries(const fleet_changes &fullState, bool isAfterOutage, monotonic_time now);
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

    /// Size limit of the history; a release of 59,000 upstreams in an hour makes 16 changes a
    /// second.
    static constexpr std::size_t maxHistoryEntries = 4096;

    /** Name of a changed upstream or instance. */
    struct history_entry
    {
        store_revision revision; ///< revision of a state that includes the change
        bool isUpstream = true;  ///< false for an instance
        std::string name;
    };

    routing_table &m_routes;
    upstream_directory &m_directory;
    std::vector<upstream_listener *> m_listeners;
    event_log &m_log;
    std::map<std::string, instance_registration> m_instances;
    std::uint64_t m_instancesVersion = 1;
    std::deque<history_entry> m_history; ///< all changes after m_compactedRevision, by revision
    store_revision m_compactedRevision;  ///< at most m_revision
    store_revision m_revision;           ///< never decreases
    evacuated_domains m_evacuations;     ///< its revision never decreases
    /// Equal to the names of m_evacuations except during the grace period after a restore.
    std::set<std::string> m_evacuatedDomains;
    store_revision m_contentRevision; ///< at most m_revision
    restore_grace m_restoreGrace;     ///< none of its instances is in m_instances
    monotonic_time m_confirmedAt {0};
    monotonic_time m_outageThreshold = std::chrono::seconds(2);
    monotonic_time m_outageGraceEnd {0}; ///< missing upstreams may be announced again until then
};

} // namespace chicoryhead
