/**
 * @file snapshot_publisher_base.h
 * Publishes the state of the fleet for instances that start.
 *
 * A snapshot has a tenth of the bytes of the store's items, so that hundreds of instances can start
 * at once without waiting for the store's link. It says at which revision it was true; whoever
 * starts with it asks the store or another instance what changed since, before new flows are
 * placed.
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

/** When and what is published. */
struct publisher_settings
{
    /// Pause between two snapshots; 0 for none. The store must still have all changes since the
    /// older one.
    monotonic_time interval {0};
    /// Time after which the first reader of the next domain publishes if no other one did; longer
    /// than a reader takes to learn of a snapshot.
    monotonic_time takeoverDelay = std::chrono::milliseconds(1500);
    /// Routes, upstreams and instances below which one call loads everything as fast.
    std::size_t minEntries = 150;
    /// Readers of the store get each snapshot with their watches, so its rate is bounded.
    std::uint64_t bytesPerSecond = 16384;
    std::size_t maxBytes = 0; ///< that an item of the store may have
};

/** Publishes when this instance is a first reader and the newest snapshot is old. */
class snapshot_publisher
{
public:
    /** @param domain failure domain of this instance. */
    snapshot_publisher(std::string domain, fleet_store &store, const fleet_state &state,
                       const clock_source &clock, event_log &log, publisher_settings settings);

    /** A snapshot was published, by this instance or another one. */
    void onSnapshotPublished(store_revision revision);

    /** Publishes if that is due. */
    void tick(bool isFirstReader);

    /** Uses other settings from now on. */
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
    bool m_isCallPending = false;        ///< a call is under way
    store_revision m_newestRevision = 0; ///< of the newest snapshot that is known; 0 for none
    monotonic_time m_nextPublishAt {0};
};

} // namespace chicoryhead
