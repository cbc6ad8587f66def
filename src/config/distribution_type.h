/**
 * @file distribution_type.h
 * Settings of the distribution.
 */

#pragma once

#include "core/core_type.h"
#include "store_caller_base.h"

#include <chrono>
#include <cstddef>

namespace chicoryhead {

/** Settings of the distribution. */
struct distribution_settings
{
    store_caller_settings store;
    monotonic_time pollInterval = std::chrono::seconds(2); ///< of log/<v+1> by readers
    monotonic_time watchWait = std::chrono::seconds(30);   ///< of one blocking watch on head
    monotonic_time submitDeadline = std::chrono::seconds(10);
    /// Without any page; far above the round trip, so that a loss costs little of the 7 s.
    monotonic_time pullTimeout = std::chrono::milliseconds(250);
    /// A peer whose byte budget is used up sends a page about each 0.6 s.
    monotonic_time maxPullTimeout = std::chrono::seconds(2);
    std::size_t readersPerDomain = 2;
    std::size_t pagesPerPull = 2;
    /// Log entries stay this long after they may be deleted, so that a create that was delayed
    /// on its way still finds its key taken.
    monotonic_time trimDelay = std::chrono::minutes(30);
    /// Pause between the instances that may write a snapshot, so that usually one does.
    monotonic_time snapshotStagger = std::chrono::seconds(20);
    std::size_t auditLimit = 1000; ///< newest entries that readAudit() returns
};

} // namespace chicoryhead
