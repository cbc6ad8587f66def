/**
 * @file entry_settings_type.h
 * Settings of an entry process: identity, addresses, time bounds and limits.
 */

#pragma once

#include "core/core_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** Settings of one entry process. */
struct entry_settings
{
    std::string name;            ///< unique name of the instance
    std::string domain;          ///< failure domain of the instance
    std::size_t domainCount = 1; ///< number of failure domains in the deployment
    endpoint dataAddress;        ///< receives the packets of callers
    endpoint statusAddress;      ///< serves readiness checks
    endpoint storeAddress;
    endpoint peerAddress;           ///< receives messages of other instances
    std::vector<endpoint> seeds;    ///< peer addresses of some instances; may be out of date
    std::uint16_t metricsPort = 0;  ///< 0 to disable
    monotonic_time configBound {0}; ///< time within which a new configuration must be in force
    monotonic_time drainBound {0};  ///< time after which a draining upstream may get no new flows
    /// Time after which an evacuated failure domain may get no new flows; 0 if there is no bound.
    monotonic_time evacuationBound {0};
    /// Time after a disruption of an upstream in which its flows may be reset; 0 if unknown.
    monotonic_time disruptionWindow {0};
    monotonic_time announcementInterval {0}; ///< between announcements of an upstream; 0 if unknown
    monotonic_time stopGrace {0};    ///< time from the stop request until the process is killed
    monotonic_time flowLifetime {0}; ///< maximum age of a flow
    monotonic_time storeHistory {0}; ///< time for which the store keeps changes; 0 if unknown
    std::size_t maxValueBytes = 0;   ///< maximum size of an item in the store; 0 if unknown
    std::uint64_t linkBytesPerSecond = 0; ///< bandwidth of this instance's network link

    bool operator==(const entry_settings &) const = default;
};

} // namespace chicoryhead
