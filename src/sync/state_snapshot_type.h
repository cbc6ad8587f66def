/**
 * @file state_snapshot_type.h
 * What an instance knows, in the form in which it is handed to another one.
 */

#pragma once

#include "core/core_type.h"
#include "fleet_store_base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryhead {

/** The state of an instance, or what changed in it since a revision. */
struct state_snapshot
{
    store_revision baseRevision = 0; ///< only what changed after it; 0 for everything
    store_revision revision = 0;
    store_revision contentRevision = 0;
    std::uint32_t ageMs = 0;            ///< since the revision was confirmed
    monotonic_time outageGraceLeft {0}; ///< for which missing announcements may come back
    bool hasConfig = false;             ///< left out when the asker has it
    routing_config config;
    std::vector<upstream_announcement> upstreams;
    /// Not announced any more, but their announcements may come back; empty if outageGraceLeft is
    /// 0.
    std::vector<upstream_announcement> missing;
    std::vector<instance_registration> instances;
    std::vector<std::string>
        removedUpstreams; ///< not announced any more; empty if baseRevision is 0
    std::vector<std::string>
        removedInstances; ///< not registered any more; empty if baseRevision is 0
};

} // namespace chicoryhead
