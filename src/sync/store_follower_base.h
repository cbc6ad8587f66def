/**
 * @file store_follower_base.h
 * Keeps the state of this instance in step with the store.
 */

#pragma once

#include "core/core_base.h"
#include "eventlog/event_log_base.h"
#include "fleet_state_base.h"
#include "fleet_store_base.h"
#include "reader_role_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace chicoryhead {

/** Times of the store follower. */
struct follower_settings
{
    /// How long the store may hold a watch open. It bounds how long a connection that fell silent
    /// goes unnoticed, so it stays below the times within which changes must be in force.
    std::chrono::milliseconds watchTimeout {1200};
    /// Age of the state at which this instance asks the store even if others should tell it.
    monotonic_time maxStateAge = std::chrono::milliseconds(2000);
    /// Pause after an answer with changes, so that one call fetches what changes together.
    /// Upstreams that warm up change their announcements every second, each at another time.
    monotonic_time batchInterval = std::chrono::milliseconds(150);
    /// Pause of a backup in units of batchInterval; with gossip it stays within half of the bound.
    int backupBatchFactor = 3;
    /// At the start, upstreams are read alone when everything takes longer: a configuration of
    /// 2,000 routes takes 0.45 s on a link of 10 Mbit/s, and open flows need upstreams only. Ten
    /// times what the store takes for an answer when nothing delays it.
    monotonic_time earlyReadDelay = std::chrono::milliseconds(40);
    /// At the start everything is loaded when a snapshot does not come within this time; thirty
    /// times what the store takes for an answer.
    monotonic_time snapshotTimeout = std::chrono::milliseconds(120);
    /// After a snapshot, instances of the own domain ask each other what changed since, and some
    /// ask the store: the first ones at once, twice as many after each of these times. It lets one
    /// instance ask another one and get an answer.
    monotonic_time startStaggerStep = std::chrono::milliseconds(40);
    /// Instances of a domain that ask the store at once. With hundreds a new configuration would
    /// fill its link.
    std::size_t firstStaggerGroup = 4;
    monotonic_time minRetryDelay = std::chrono::milliseconds(100);
    /// Longest pause between two calls to a store that does not answer.
    monotonic_time maxRetryDelay = std::chrono::milliseconds(1000);
    /// Longest pause of an instance that has a configuration and is no reader. The readers notice
    /// the store's return and tell it, so that hundreds need not all ask each second.
    monotonic_time nonReaderRetryDelay = std::chrono::milliseconds(1500);
    /// Time after the store's return within which lapsed announcements may come back.
    monotonic_time outageGracePeriod = defaultReannounceTimeout;
};

/** Loads once, then watches; loads again when the store has dropped the history. */
class store_follower
{
public:
    store_follower(fleet_store &store, fleet_state &state, const clock_source &clock,
                   random_source &random, event_log &log, follower_settings settings = {});

    /** Sets who decides how much this instance reads the store while its state is fresh. */
    void setRolePolicy(std::function<reader_role()> role) { m_rolePolicy = std::move(role); }

    /** Uses other times from the next call on. */
    void setSettings(const follower_settings &settings) { m_settings = settings; }

    /** Starts a call if one is due. */
    void tick();

    /** Abandons the call under way and asks at once; for a process that was suspended. */
    void refresh();

    /** Sets what is called after an answer was applied. */
    void setUpdateHandler(std::function<void()> handler) { m_updateHandler = std::move(handler); }

    /** Sets what is called with the revisions of published snapshots. */
    void setSnapshotHandler(std::function<void(store_revision)> handler)
    {
        m_snapshotHandler = std::move(handler);
    }

    /**
     * Sets who decides how much longer than others this instance waits when its state is old, so
     * that those of a domain do not all ask the store in one moment.
     */
    void setStaleDelayPolicy(std::function<monotonic_time()> staleDelay)
    {
        m_staleDelayPolicy = std::move(staleDelay);
    }

    /** Sets who knows how many other instances the own domain has. */
    void setPeerCountProvider(std::function<std::size_t()> count)
    {
        m_peerCountProvider = std::move(count);
    }

    /** Sets what is called when upstreams are known before everything is. */
    void setEarlyUpstreamsHandler(std::function<void()> handler)
    {
        m_earlyUpstreamsHandler = std::move(handler);
    }

    /** Whether the last call was answered. */
    bool isStoreReachable() const { return m_failures == 0; }

    std::uint64_t callsStarted() const { return m_calls; }

private:
    bool needsStoreCall() const;
    bool needsSnapshot() const;
    bool isAwaitingSnapshot() const;
    void readSnapshot();
    void handleSnapshot(const result<published_snapshot> &answer);
    void preload(const published_snapshot &snapshot);
    monotonic_time randomStartDelay();
    bool needsEarlyRead() const;
    void readEarly();
    reader_role role() const;
    monotonic_time batchDelayAfter(const fleet_changes &changes, bool isLoad) const;
    void startCall();
    std::chrono::milliseconds watchTimeout() const;
    void applyAnswer(const fleet_changes &changes, bool isLoad, monotonic_time now);
    void handleAnswer(const result<fleet_changes> &answer, bool isLoad);
    void handleSuccess(monotonic_time now);
    void handleFailure(std::error_code code, monotonic_time now);
    monotonic_time retryDelay() const;
    bool isInOutageGrace(monotonic_time now) const;

    fleet_store &m_store;
    fleet_state &m_state;
    const clock_source &m_clock;
    random_source &m_random;
    event_log &m_log;
    follower_settings m_settings;
    bool m_isCallPending = false;     ///< a call is under way
    bool m_needsLoad = true;          ///< the history after our revision is unknown
    bool m_hasStoreRecovered = false; ///< the store was away and came back at m_storeRecoveredAt
    unsigned m_failures = 0;          ///< since the last answer
    std::uint64_t m_calls = 0;
    monotonic_time m_callStartedAt {0};
    bool m_hasReadEarly = false;
    bool m_isReadingSnapshot = false;
    bool m_isSnapshotUnavailable = false; ///< there is none, or none that can be read
    monotonic_time m_snapshotRequestedAt {0};
    monotonic_time m_nextCallAt {0};
    monotonic_time m_batchDelay {0}; ///< before the next call, after the last answer
    monotonic_time m_storeRecoveredAt {0};
    std::function<void()> m_earlyUpstreamsHandler;         ///< may be empty
    std::function<void(store_revision)> m_snapshotHandler; ///< may be empty
    std::function<monotonic_time()> m_staleDelayPolicy;    ///< may be empty
    std::function<std::size_t()> m_peerCountProvider;      ///< may be empty
    std::function<void()> m_updateHandler;                 ///< may be empty
    std::function<reader_role()> m_rolePolicy;             ///< empty if this instance always reads
};

} // namespace chicoryhead
