/**
 * @file entry_settings_type.h
 * What an entry process is told about its place and its bounds.
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
    std::string name;            ///< of the instance, unique
    std::string domain;          ///< failure domain of the instance
    std::size_t domainCount = 1; ///< failure domains of the deployment
    endpoint dataAddress;        ///< receives the packets of callers
    endpoint statusAddress;      ///< answers whether the instance is ready
    endpoint storeAddress;
    endpoint peerAddress;            ///< receives messages of other instances
    std::vector<endpoint> seeds;     ///< peer addresses of some instances; they may be out of date
    std::uint16_t metricsPort = 0;   ///< 0 for none
    monotonic_time configBound {0};  ///< within which a configuration must be in force
    monotonic_time drainBound {0};   ///< after which a leaving upstream may get no new flows
    monotonic_time stopGrace {0};    ///< from the request to stop until the process is killed
    monotonic_time flowLifetime {0}; ///< longest age of a flow
    monotonic_time storeHistory {0}; ///< for which the store keeps changes; 0 if unknown
    std::size_t maxValueBytes = 0;   ///< that an item of the store may have; 0 if unknown
    std::uint64_t linkBytesPerSecond = 0; ///< of this instance's link

    bool operator==(const entry_settings &) const = default;
};

} // namespace chicoryhead
