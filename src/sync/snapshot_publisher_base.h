/**
 * @file snapshot_publisher_base.h
 * Publishes snapshots of the fleet's state for instances that start.
 *
 * A snapshot has a tenth of the bytes of the store's items, so that hundreds of instances can start
 * at once without saturating the store's link. It contains the revision that it was taken at. An
 * instance that starts from it fetches later changes from the store or another instance before it
 * places new flows.
 */

#pragma once

#include "core/core_base.h"
#include "eventlog/event_log_base.h"
#include "fleet_state_base.h"
#include "fleet_store_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chicoryhead {

/** When snapshots are published, and their size limits. */
struct publisher_settings
{
    /// Time between two snapshots; 0 disables them. The store's history must cover it, so that the
    /// changes since the older snapshot can still be read.
    monotonic_time interval {0};
    /// Time after which the primary reader of the next domain publishes if no other one did; longer
    /// than a reader takes to see that a snapshot was published.
    monotonic_time takeoverDelay = std::chrono::milliseconds(1500);
    /// Number of routes, upstreams and instances below which a snapshot is not published, because
    /// one load of the store is as fast.
    std::size_t minEntries = 150;
    /// Limits the mean rate, since watches deliver each snapshot to all readers of the store.
    std::uint64_t bytesPerSecond = 16384;
    std::size_t maxBytes = 0; ///< largest item that the store accepts
};

/** Publishes a snapshot when this instance is a primary reader and the newest one is old. */
class snapshot_publisher
{
public:
    /** @param domain failure domain of this instance. */
    snapshot_publisher(std::string domain, fleet_store &store, const fleet_state &state,
                       const clock_source &clock, event_log &log, publisher_settings settings);

    /** Records that this instance or another one published a snapshot. */
    void onSnapshotPublished(store_revision revision);

    /** Publishes a snapshot if one is due. */
    void tick(bool isPrimaryReader);

    /** Replaces the settings. */
    void setSettings(const publisher_settings &settings) { m_settings = settings; }

private:
    bool hasEnoughEntries() const;
    void publish();
    void handlePublished(std::error_code code, std::size_t bytes);
    void fetchNewestRevision();
    void schedule(monotonic_time delay);
    std::size_t domainRank() const;

    std::string m_domain;
    fleet_store &m_store;
    const fleet_state &m_state;
    const clock_source &m_clock;
    event_log &m_log;
    publisher_settings m_settings;
    bool m_isCallPending = false;    ///< a publication or a read of the snapshot is pending
    store_revision m_newestRevision; ///< of the newest known snapshot; 0 for none
    std::uint64_t m_epoch = 0;       ///< of the state at the last tick
    monotonic_time m_nextPublishAt {0};
};

} // namespace chicoryhead
