/**
 * @file derived_settings.cpp
 * Fractions of the bounds.
 */

#include "derived_settings.h"

#include <algorithm>
#include <chrono>

namespace chicoryhead {

monotonic_time changeBound(const entry_settings &settings)
{
    return std::min(settings.configBound, settings.drainBound);
}

shutdown_settings deriveShutdownSettings(const entry_settings &settings)
{
    shutdown_settings made;
    made.gracePeriod = settings.stopGrace;
    made.exitReserve = settings.stopGrace / 6;
    return made;
}

directory_settings deriveDirectorySettings(const entry_settings &settings)
{
    directory_settings made;
    made.flowLifetime = settings.flowLifetime;
    return made;
}

/// A call must leave time for another one within the bound, also when its connection is dead.
platform::store_call_times deriveStoreCallTimes(const entry_settings &settings)
{
    const auto bound = std::chrono::duration_cast<std::chrono::milliseconds>(changeBound(settings));
    platform::store_call_times made;
    made.timeout = std::min(made.timeout, bound / 2);
    made.watchSlack = std::min(made.watchSlack, bound / 4);
    return made;
}

/// A reader's connection that falls silent, and readers that die, are noticed with a third of the
/// bound left for asking the store. Changes wait for a tenth of the bound at the first reader, and
/// for three tenths at the backup; gossip takes a second at most.
follower_settings deriveFollowerSettings(const entry_settings &settings)
{
    const auto bound = changeBound(settings);
    follower_settings made;
    made.watchTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(bound * 2 / 5);
    made.maxStateAge = bound * 2 / 3;
    made.batchInterval = bound / 10;
    made.nonReaderRetryDelay = bound / 2;
    return made;
}

gossip_settings deriveGossipSettings(const entry_settings &settings)
{
    gossip_settings made;
    made.storeResponseInterval = deriveFollowerSettings(settings).watchTimeout;
    made.maxStoreReadDelay = changeBound(settings) / 6;
    return made;
}

/// The store must still have what changed since the older of two snapshots, even when the newer
/// one is late by as much again.
publisher_settings derivePublisherSettings(const entry_settings &settings)
{
    publisher_settings made;
    made.interval = settings.storeHistory * 2 / 5;
    made.maxBytes = settings.maxValueBytes;
    return made;
}

/// Three quarters of the link stay for packets of callers.
transfer_limits deriveTransferLimits(const entry_settings &settings)
{
    transfer_limits made;
    made.bytesPerSecond = settings.linkBytesPerSecond / 4;
    return made;
}

} // namespace chicoryhead
