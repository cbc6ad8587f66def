/**
 * @file store_follower.cpp
 * Schedules loads, watches and retries.
 */

#include "store_follower_base.h"

#include "state_codec_func.h"

#include <algorithm>
#include <string>

namespace chicoryhead {

namespace {

/// A shorter watch costs a call and returns hardly more changes than the one before it.
constexpr std::chrono::milliseconds minWatchTimeout {200};

} // namespace

store_follower::store_follower(fleet_store &store, fleet_state &state, const clock_source &clock,
                               random_source &random, event_log &log, follower_settings settings)
    : m_store(store)
    , m_state(state)
    , m_clock(clock)
    , m_random(random)
    , m_log(log)
    , m_settings(settings)
{
}

void store_follower::tick()
{
    if (needsSnapshot())
        readSnapshot();
    if (!m_isCallPending && !isAwaitingSnapshot() && m_clock.now() >= m_nextCallAt
        && needsStoreCall())
        startCall();
    if (needsEarlyRead())
        readEarly();
}

bool store_follower::needsSnapshot() const
{
    const bool isStarting = m_needsLoad && !m_state.isSynchronised() && !m_state.isPreloaded();
    return isStarting && !m_isReadingSnapshot && !m_isSnapshotUnavailable && !m_isCallPending
        && m_clock.now() >= m_nextCallAt;
}

bool store_follower::isAwaitingSnapshot() const
{
    return m_isReadingSnapshot
        && m_clock.now() - m_snapshotRequestedAt < m_settings.snapshotTimeout;
}

void store_follower::readSnapshot()
{
    m_isReadingSnapshot = true;
    m_snapshotRequestedAt = m_clock.now();
    ++m_calls;
    m_store.readSnapshot([this](const result<published_snapshot> &answer) {
        m_isReadingSnapshot = false;
        handleSnapshot(answer);
        tick();
    });
}

void store_follower::handleSnapshot(const result<published_snapshot> &answer)
{
    if (m_state.isSynchronised())
        return;
    if (answer) {
        preload(answer.value());
        return;
    }
    const bool isUnusable = answer.error() == error::NotFound || answer.error() == error::Malformed;
    if (isUnusable)
        m_isSnapshotUnavailable = true;
    else if (!m_isCallPending)
        handleFailure(answer.error(), m_clock.now());
}

void store_follower::preload(const published_snapshot &snapshot)
{
    const auto now = m_clock.now();
    const auto state = decodeState(snapshot.bytes);
    if (!state) {
        // Written by another release, or corrupted.
        m_isSnapshotUnavailable = true;
        m_log.write("snapshot_unusable", {{"reason", state.error().message()}});
        return;
    }
    m_state.preload(state.value(), now);
    // A snapshot without evacuations has no revision after which all changes could be watched.
    m_needsLoad = m_isCallPending || !m_state.completeRevision();
    m_nextCallAt = now + randomStartDelay();
    m_log.write("snapshot_loaded",
                {{"revision", toString(state.value().revision)},
                 {"bytes", std::to_string(snapshot.bytes.size())}});
    if (m_snapshotHandler)
        m_snapshotHandler(snapshot.revision);
    if (m_earlyUpstreamsHandler)
        m_earlyUpstreamsHandler();
}

/// Chooses a random position among the instances of the own domain; the delay follows from its
/// group.
monotonic_time store_follower::randomStartDelay()
{
    const std::size_t peers = m_peerCountProvider ? m_peerCountProvider() : 0;
    const std::size_t position = m_random.next() % (peers + 1);
    monotonic_time delay {0};
    for (std::size_t groupSize = m_settings.firstStaggerGroup; position >= groupSize;
         groupSize *= 2)
        delay += m_settings.startStaggerStep;
    return delay;
}

bool store_follower::needsEarlyRead() const
{
    return m_isCallPending && m_needsLoad && !m_hasReadEarly && !m_state.isSynchronised()
        && m_clock.now() - m_callStartedAt >= m_settings.earlyReadDelay;
}

void store_follower::readEarly()
{
    m_hasReadEarly = true;
    ++m_calls;
    m_store.loadUpstreams([this](const result<fleet_changes> &answer) {
        if (!answer) {
            m_log.write("early_read_failed", {{"reason", answer.error().message()}});
            return;
        }
        if (m_state.isSynchronised())
            return;
        m_state.preloadUpstreams(answer.value(), m_clock.now());
        if (m_earlyUpstreamsHandler)
            m_earlyUpstreamsHandler();
    });
}

bool store_follower::needsStoreCall() const
{
    const auto staleDelay = m_staleDelayPolicy ? m_staleDelayPolicy() : monotonic_time {0};
    const bool isFresh = m_state.isSynchronised()
        && m_clock.now() - m_state.confirmedAt() <= m_settings.maxStateAge + staleDelay;
    return !isFresh || role() != reader_role::None;
}

reader_role store_follower::role() const
{
    return m_rolePolicy ? m_rolePolicy() : reader_role::Primary;
}

monotonic_time store_follower::batchDelayAfter(const fleet_changes &changes, bool isLoad) const
{
    if (changes.changes.empty() || isLoad)
        return monotonic_time {0};
    return role() == reader_role::Backup ? m_settings.batchInterval * m_settings.backupBatchFactor
                                         : m_settings.batchInterval;
}

void store_follower::refresh()
{
    if (m_isCallPending)
        m_store.cancel();
    m_isCallPending = false;
    m_nextCallAt = m_clock.now();
    tick();
}

void store_follower::startCall()
{
    m_isCallPending = true;
    m_callStartedAt = m_clock.now();
    ++m_calls;
    const bool isLoad = m_needsLoad;
    auto done = [this, isLoad](const result<fleet_changes> &answer) {
        handleAnswer(answer, isLoad);
    };
    if (isLoad) {
        m_store.load(done);
    } else {
        m_watchedRevision = m_state.completeRevision();
        m_store.watch(m_watchedRevision, watchTimeout(), done);
    }
}

/// The batch delay is subtracted, so that the time between two answers stays within the same bound.
std::chrono::milliseconds store_follower::watchTimeout() const
{
    // Changes since the snapshot are needed at once.
    if (m_state.isPreloaded())
        return minWatchTimeout;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        monotonic_time(m_settings.watchTimeout) - m_batchDelay);
    return std::max(left, minWatchTimeout);
}

void store_follower::handleAnswer(const result<fleet_changes> &answer, bool isLoad)
{
    m_isCallPending = false;
    const monotonic_time now = m_clock.now();
    if (!answer) {
        handleFailure(answer.error(), now);
        return;
    }
    handleSuccess(now);
    const fleet_changes &changes = answer.value();
    if (!isLoad && changes.revision.epoch != m_watchedRevision.epoch) {
        // The changes are those of a restored store, whose state before them is not known here.
        handleHistoryLoss(now);
        tick();
        return;
    }
    const bool wasStale = m_state.isStale(now);
    applyAnswer(changes, isLoad, now);
    m_state.logConfirmation(wasStale, "store", now);
    if (changes.snapshotRevision && m_snapshotHandler)
        m_snapshotHandler(changes.snapshotRevision);
    if (!isLoad)
        m_historyLosses = 0;
    m_needsLoad = false;
    m_batchDelay = batchDelayAfter(changes, isLoad);
    m_nextCallAt = now + m_batchDelay;
    if (m_updateHandler)
        m_updateHandler();
    tick();
}

void store_follower::applyAnswer(const fleet_changes &changes, bool isLoad, monotonic_time now)
{
    // Newer changes from another instance may have been applied while the call was pending; older
    // ones would undo them until the next change.
    if (changes.revision < m_state.revision()) {
        ++m_answersIgnored;
        m_log.write("store_answer_ignored",
                    {{"call", isLoad ? "load" : "watch"},
                     {"epoch", std::to_string(changes.revision.epoch)},
                     {"revision", toString(changes.revision)},
                     {"state_epoch", std::to_string(m_state.revision().epoch)},
                     {"state_revision", toString(m_state.revision())}});
        return;
    }
    if (isLoad)
        m_state.replace(changes, isInOutageGrace(now), now);
    else
        m_state.apply(changes, isInOutageGrace(now), now);
}

void store_follower::handleSuccess(monotonic_time now)
{
    if (m_failures > 0) {
        m_hasStoreRecovered = true;
        m_storeRecoveredAt = now;
        m_log.write(
            "store_regained",
            {{"failures", std::to_string(m_failures)}, {"revision", toString(m_state.revision())}});
    }
    m_failures = 0;
}

void store_follower::handleFailure(std::error_code code, monotonic_time now)
{
    if (code == error::HistoryLost) {
        handleHistoryLoss(now);
        return;
    }
    if (m_failures == 0)
        m_log.write("store_lost",
                    {{"reason", code.message()}, {"revision", toString(m_state.revision())}});
    scheduleRetry(m_failures, now);
    ++m_failures;
}

/// The next call follows at once, unless several watches in a row were refused.
void store_follower::handleHistoryLoss(monotonic_time now)
{
    m_log.write("store_history_lost",
                {{"revision", toString(m_state.revision())},
                 {"epoch", std::to_string(m_state.revision().epoch)}});
    // Another instance may have supplied a newer state, which a watch may continue from.
    const auto revision = m_state.completeRevision();
    m_needsLoad = !revision || revision == m_watchedRevision;
    if (m_historyLosses > 1)
        scheduleRetry(m_historyLosses, now);
    else
        m_nextCallAt = now;
    ++m_historyLosses;
}

void store_follower::scheduleRetry(unsigned failures, monotonic_time now)
{
    m_batchDelay = monotonic_time {0};
    const auto delay = retryDelay(failures);
    // Instances that lost the store at the same time must not all retry at the same time.
    const auto jitter = monotonic_time {
        static_cast<std::int64_t>(m_random.next() % static_cast<std::uint64_t>(delay.count()))};
    m_nextCallAt = now + delay / 2 + jitter / 2;
}

monotonic_time store_follower::retryDelay(unsigned failures) const
{
    if (m_state.isSynchronised() && role() == reader_role::None)
        return m_settings.nonReaderRetryDelay;
    const unsigned doublings = std::min(failures, 8U);
    return std::min(m_settings.minRetryDelay * (1U << doublings), m_settings.maxRetryDelay);
}

bool store_follower::isInOutageGrace(monotonic_time now) const
{
    return m_hasStoreRecovered && now - m_storeRecoveredAt < m_settings.outageGracePeriod;
}

} // namespace chicoryhead
