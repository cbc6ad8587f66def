/**
 * @file state_snapshot_type.h
 * Copy of an instance's state, for transfer to other instances.
 */

#pragma once

#include "core/core_type.h"
#include "fleet_store_base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryhead {

/** The full state of an instance, or a delta relative to a base revision. */
struct state_snapshot
{
    store_revision baseRevision; ///< a delta has the changes after it; 0 for the full state
    store_revision revision;
    store_revision contentRevision;
    bool hasEpoch = true;               ///< false if the sender's release does not report epochs
    std::uint32_t ageMs = 0;            ///< time since the revision was confirmed
    monotonic_time outageGraceLeft {0}; ///< time in which missing upstreams may be announced again
    bool hasConfig = false;             ///< false if the requester has this configuration
    routing_config config;
    std::vector<upstream_announcement> upstreams;
    /// Upstreams whose announcements expired but may be made again; empty if outageGraceLeft is 0.
    std::vector<upstream_announcement> missing;
    std::vector<instance_registration> instances;
    std::vector<std::string> removedUpstreams; ///< no longer announced; empty for a full state
    /// Always the whole set; not present if the sender's release does not support evacuations.
    std::optional<evacuated_domains> evacuations;
    std::vector<std::string> removedInstances; ///< no longer registered; empty for a full state
};

} // namespace chicoryhead
