/**
 * @file config_replica_base.h
 * The version in force at one instance, with the changes that led to it.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "config_change_type.h"
#include "core/core_base.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chicoryhead {

/** Puts versions in force on the blackboard; the version never goes down. */
class config_replica
{
public:
    using applied_handler = std::function<void(config_version)>;

    config_replica(blackboard &board, const clock_source &clock);

    /** Called after a version was put in force. */
    void setAppliedHandler(applied_handler handler) { m_onApplied = std::move(handler); }

    config_version version() const { return m_board.config->version; }
    const std::shared_ptr<const configuration> &config() const { return m_board.config; }

    /**
     * Puts the next version in force.
     * @return false if the change doesn't follow the version in force or is malformed.
     */
    bool advance(const config_change &change, std::string encoded);

    /** Puts a snapshot in force; false if it isn't newer or is malformed. */
    bool replace(const config_snapshot &snapshot);

    /** Adds patches accepted before the version in force; ones that are known stay. */
    void addAccepted(const std::vector<accepted_patch> &patches);

    /** The accepted patch with an id, or nullptr if it isn't remembered. */
    const accepted_patch *findAccepted(const std::string &id) const;
    /** The patch accepted as a version, or nullptr if it isn't remembered. */
    const accepted_patch *findAccepted(config_version version) const;
    /** The highest version up to a limit whose patch should be remembered but isn't; 0 for none. */
    config_version missingAccepted(config_version limit) const;
    /** Patches that a snapshot of a version holds. */
    std::vector<accepted_patch> acceptedUpTo(config_version version) const;
    /** One line per version after the base, for an author whose patch is refused. */
    std::vector<std::string> changedSince(config_version base) const;

    /** Encoded change that leads to a version, or nullptr if it isn't held any more. */
    const std::string *findChange(config_version version) const;

    /** The last version that is due for a snapshot, or nullptr; given out once. */
    std::shared_ptr<const configuration> takeSnapshotDue() { return std::move(m_snapshotDue); }

private:
    void publish(std::shared_ptr<const configuration> config);

    blackboard &m_board;
    const clock_source &m_clock;
    applied_handler m_onApplied;
    std::map<config_version, accepted_patch> m_accepted;
    std::map<config_version, std::string> m_changes; ///< encoded; the last ones without a gap
    std::size_t m_changeBytes = 0;                   ///< sum of the sizes in m_changes
    std::shared_ptr<const configuration> m_snapshotDue;
};

} // namespace chicoryhead
