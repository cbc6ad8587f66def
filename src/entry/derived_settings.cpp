/**
 * @file derived_settings.cpp
 * Module settings as fractions of the configured bounds.
 */

#include "derived_settings.h"

#include "sync/restore_grace_base.h"

#include <algorithm>
#include <chrono>

namespace chicoryhead {

monotonic_time propagationBound(const entry_settings &settings)
{
    const auto bound = std::min(settings.configBound, settings.drainBound);
    return settings.evacuationBound.count() > 0 ? std::min(bound, settings.evacuationBound) : bound;
}

shutdown_settings deriveShutdownSettings(const entry_settings &settings)
{
    shutdown_settings derived;
    derived.gracePeriod = settings.stopGrace;
    derived.exitReserve = settings.stopGrace / 6;
    return derived;
}

directory_settings deriveDirectorySettings(const entry_settings &settings)
{
    directory_settings derived;
    derived.flowLifetime = settings.flowLifetime;
    return derived;
}

/// A call that times out, also on a dead connection, must leave time for another one within the
/// bound.
platform::store_call_timeouts deriveStoreCallTimes(const entry_settings &settings)
{
    const auto bound =
        std::chrono::duration_cast<std::chrono::milliseconds>(propagationBound(settings));
    platform::store_call_timeouts derived;
    derived.timeout = std::min(derived.timeout, bound / 2);
    derived.watchMargin = std::min(derived.watchMargin, bound / 4);
    return derived;
}

/// A dead connection of a reader, and the loss of readers, are detected with a third of the bound
/// left for a call to the store. Changes are batched for a tenth of the bound at the primary
/// reader, and for three tenths at the backup; gossip takes a second at most.
follower_settings deriveFollowerSettings(const entry_settings &settings)
{
    const auto bound = propagationBound(settings);
    follower_settings derived;
    derived.watchTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(bound * 2 / 5);
    derived.maxStateAge = bound * 2 / 3;
    derived.batchInterval = bound / 10;
    derived.nonReaderRetryDelay = bound / 2;
    return derived;
}

gossip_settings deriveGossipSettings(const entry_settings &settings)
{
    gossip_settings derived;
    derived.storeResponseInterval = deriveFollowerSettings(settings).watchTimeout;
    derived.maxStoreReadDelay = propagationBound(settings) / 6;
    return derived;
}

/// The store must still hold all changes since the previous snapshot, even if the next one is late
/// by a whole interval.
publisher_settings derivePublisherSettings(const entry_settings &settings)
{
    publisher_settings derived;
    derived.interval = settings.storeHistory * 2 / 5;
    derived.maxBytes = settings.maxValueBytes;
    return derived;
}

/// A quarter of the window is left for reports in transit and for the reset itself.
health_limits deriveHealthLimits(const entry_settings &settings)
{
    health_limits derived;
    if (settings.disruptionWindow.count() > 0)
        derived.maxRequestAge = std::min(derived.maxEvidenceAge, settings.disruptionWindow * 3 / 4);
    return derived;
}

/// Three quarters of the link rate are left for caller packets.
transfer_limits deriveTransferLimits(const entry_settings &settings)
{
    transfer_limits derived;
    derived.bytesPerSecond = settings.linkBytesPerSecond / 4;
    return derived;
}

/// The store removes the announcement of an upstream that is gone after three intervals.
monotonic_time deriveRestoreGracePeriod(const entry_settings &settings)
{
    return settings.announcementInterval.count() > 0 ? settings.announcementInterval * 4
                                                     : defaultRestoreGracePeriod;
}

} // namespace chicoryhead
