/**
 * @file store_maintainer_base.h
 * Writes snapshots to the store, and trims the log after its audit entries were written.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "config_json_func.h"
#include "config_replica_base.h"
#include "distribution_type.h"
#include "store_caller_base.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicoryhead {

/**
 * All that is written is deterministic, so several instances may write it at the same time. Three
 * instances, chosen by rendezvous hashing, do so one after another; the later ones usually find
 * that it is done.
 */
class store_maintainer
{
public:
    store_maintainer(const blackboard &board, config_replica &replica, const clock_source &clock,
                     store_caller &caller, const distribution_settings &settings);

    /** Starts work that is due. */
    void tick();

private:
    void plan(const std::shared_ptr<const configuration> &due);
    void checkSnapshot();
    void fillAccepted(config_version missing);
    void fillFromSnapshot(config_version version, std::size_t part);
    void writeSnapshot();
    void writePart();
    void endSnapshot();

    void trim();
    void checkTrimmable();
    void checkSnapshotExists(config_version version);
    void listLog();
    void trimNext();
    void collectAudit();
    void writeAudit();
    void deleteNext();
    void listSnapshots();

    /** Ends the work under way; it starts again after a pause. */
    void fail();

    const blackboard &m_board;
    config_replica &m_replica;
    const clock_source &m_clock;
    store_caller &m_caller;
    const distribution_settings m_settings;

    bool m_isBusy = false;                      ///< a call is under way
    std::shared_ptr<const configuration> m_due; ///< to be written, or nullptr
    monotonic_time m_snapshotAt {0};
    std::vector<std::string> m_parts; ///< parts left to write; the first part is written last
    std::string m_loaded;             ///< parts of an older snapshot, for its accepted patches
    config_version m_trimVersion = 0; ///< version of the snapshot to trim for, or 0
    monotonic_time m_trimAt {0};
    std::vector<config_version> m_trimmed; ///< log entries to delete, descending
    std::vector<audit_entry> m_audit;      ///< collected for one audit key
    config_version m_auditedUpTo = 0;      ///< audit keys up to this version exist
    std::vector<std::string> m_deletions;  ///< keys of old snapshots to delete
};

} // namespace chicoryhead
