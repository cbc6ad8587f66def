/**
 * @file store_follower_base.h
 * Keeps the state of this instance synchronised with the store.
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

/** Intervals, timeouts and group sizes of the store follower. */
struct follower_settings
{
    /// How long the store may hold a watch open. It bounds the time until a dead connection is
    /// detected, so it stays below the times within which changes must be in force.
    std::chrono::milliseconds watchTimeout {1200};
    /// Age of the state at which this instance reads the store, whatever its reader role.
    monotonic_time maxStateAge = std::chrono::milliseconds(2000);
    /// Delay after an answer with changes, so that one call fetches several changes. Upstreams
    /// update their announcements every second while they warm up, each at another time.
    monotonic_time batchInterval = std::chrono::milliseconds(150);
    /// Delay of a backup reader in units of batchInterval; together with gossip it stays within
    /// half of the bound for changes.
    int backupBatchFactor = 3;
    /// Duration of the first load after which upstreams are also read alone: a configuration of
    /// 2,000 routes takes 0.45 s on a link of 10 Mbit/s, and open flows need upstreams only. It is
    /// ten times the response time of a store without load.
    monotonic_time earlyReadDelay = std::chrono::milliseconds(40);
    /// Time to wait for a snapshot at the start before the store is loaded instead; thirty times
    /// the response time of the store.
    monotonic_time snapshotTimeout = std::chrono::milliseconds(120);
    /// Instances that started from a snapshot fetch later changes from each other, and some from
    /// the store. The calls to the store are staggered: a first group calls at once, and one of
    /// twice the size after each further step. A step is enough for a request to another instance.
    monotonic_time startStaggerStep = std::chrono::milliseconds(40);
    /// Size of the first group in each domain. If hundreds called at once, a new configuration
    /// would saturate the store's link.
    std::size_t firstStaggerGroup = 4;
    monotonic_time minRetryDelay = std::chrono::milliseconds(100);
    /// Upper limit of the retry delay while the store does not answer.
    monotonic_time maxRetryDelay = std::chrono::milliseconds(1000);
    /// Retry delay of an instance that has a configuration and is no reader. It learns from the
    /// readers that the store has recovered, so that hundreds need not call it each second.
    monotonic_time nonReaderRetryDelay = std::chrono::milliseconds(1500);
    /// Time after the store recovered in which expired announcements may be made again.
    monotonic_time outageGracePeriod = defaultReannounceTimeout;
};

/** Loads the state once, then watches it; loads it again when the store dropped the history. */
class store_follower
{
public:
    store_follower(fleet_store &store, fleet_state &state, const clock_source &clock,
                   random_source &random, event_log &log, follower_settings settings = {});

    /** Sets the function that gives the reader role; not used while the state is stale. */
    void setRolePolicy(std::function<reader_role()> role) { m_rolePolicy = std::move(role); }

    /** Replaces the settings, from the next call on. */
    void setSettings(const follower_settings &settings) { m_settings = settings; }

    /** Starts a call if one is due. */
    void tick();

    /** Cancels the pending call and makes a new one at once; for a process that was suspended. */
    void refresh();

    /** Sets the handler called after an answer was applied. */
    void setUpdateHandler(std::function<void()> handler) { m_updateHandler = std::move(handler); }

    /** Sets the handler called with the revisions of published snapshots. */
    void setSnapshotHandler(std::function<void(store_revision)> handler)
    {
        m_snapshotHandler = std::move(handler);
    }

    /**
     * Sets the function that gives an extra delay before this instance reads the store because its
     * state is stale, so that the instances of a domain do not all call it at the same time.
     */
    void setStaleDelayPolicy(std::function<monotonic_time()> staleDelay)
    {
        m_staleDelayPolicy = std::move(staleDelay);
    }

    /** Sets the function that counts the other instances of the own domain. */
    void setPeerCountProvider(std::function<std::size_t()> count)
    {
        m_peerCountProvider = std::move(count);
    }

    /** Sets the handler called when upstreams are known before the state is synchronised. */
    void setEarlyUpstreamsHandler(std::function<void()> handler)
    {
        m_earlyUpstreamsHandler = std::move(handler);
    }

    /** Whether the last call was answered. */
    bool isStoreReachable() const { return m_failures == 0; }

    std::uint64_t callsStarted() const { return m_calls; }

    /** Answers of the store that were older than the state, so that they were not applied. */
    std::uint64_t answersIgnored() const { return m_answersIgnored; }

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
    void handleHistoryLoss(monotonic_time now);
    void scheduleRetry(unsigned failures, monotonic_time now);
    monotonic_time retryDelay(unsigned failures) const;
    bool isInOutageGrace(monotonic_time now) const;

    fleet_store &m_store;
    fleet_state &m_state;
    const clock_source &m_clock;
    random_source &m_random;
    event_log &m_log;
    follower_settings m_settings;
    bool m_isCallPending = false;     ///< a load or watch is pending
    bool m_needsLoad = true;          ///< a watch cannot continue from the current revision
    bool m_hasStoreRecovered = false; ///< an outage ended, at m_storeRecoveredAt
    unsigned m_failures = 0;          ///< since the last answer
    std::uint64_t m_calls = 0;
    std::uint64_t m_answersIgnored = 0;
    monotonic_time m_callStartedAt {0};
    store_revision m_watchedRevision; ///< that the last watch started from
    unsigned m_historyLosses = 0;     ///< watches refused since one was answered
    bool m_hasReadEarly = false;
    bool m_isReadingSnapshot = false;
    bool m_isSnapshotUnavailable = false; ///< there is none, or it can't be decoded
    monotonic_time m_snapshotRequestedAt {0};
    monotonic_time m_nextCallAt {0};
    monotonic_time m_batchDelay {0}; ///< between the last answer and the next call
    monotonic_time m_storeRecoveredAt {0};
    std::function<void()> m_earlyUpstreamsHandler;         ///< may be empty
    std::function<void(store_revision)> m_snapshotHandler; ///< may be empty
    std::function<monotonic_time()> m_staleDelayPolicy;    ///< may be empty
    std::function<std::size_t()> m_peerCountProvider;      ///< may be empty
    std::function<void()> m_updateHandler;                 ///< may be empty
    std::function<reader_role()> m_rolePolicy;             ///< empty if this instance always reads
};

} // namespace chicoryhead
