/**
 * @file stalled_requests.cpp
 * Evidence of upstreams that acknowledge requests and never answer.
 */

#include "upstream_health_base.h"

#include <algorithm>
#include <chrono>

namespace chicoryhead {

namespace {

/// Further stalled requests seen by the same instance are not counted.
constexpr unsigned maxStalledRequests = 8;

} // namespace

void upstream_health::noteStalledRequest(upstream_id upstream, monotonic_time startedAt,
                                         stall_level level, monotonic_time now)
{
    // Callers or the fabric may have stopped to send packets here in the meantime, so answers that
    // came early in the waiting time don't show that this one would have been seen. They are of
    // other upstreams: an answer of this one refutes the request.
    const bool hasOtherAnswers = m_lastLocalRequestAnswerAt >= startedAt + (now - startedAt) / 2;
    const bool wasSuspended = m_resumedAt && startedAt <= *m_resumedAt;
    if (!m_isStallDetectionEnabled || !m_isLocallyHealthy || wasSuspended || !hasOtherAnswers)
        return;
    const auto *record = m_directory.find(upstream);
    if (record == nullptr)
        return;
    const bool isStalled = level == stall_level::Stalled;
    addStall(*record, m_entries[upstream],
             {m_ownId, isStalled ? 0U : 1U, isStalled ? 1U : 0U, startedAt, startedAt});
}

void upstream_health::noteEarlierAnswer(upstream_id upstream, monotonic_time now)
{
    health_entry &entry = m_entries[upstream];
    const bool isRefutation = !entry.stalls.empty() || entry.isAvoidedForStalls;
    recordRequestAnswer(entry, now);
    if (!isRefutation)
        return;
    // Takes effect at once, so that no flows are terminated before the next evaluation.
    m_stalled.erase(upstream);
    entry.isAvoidedForStalls = false;
    m_watched.insert(upstream);
    queueReport(upstream);
}

bool upstream_health::isAvoidedForStalls(upstream_id upstream) const
{
    const auto found = m_entries.find(upstream);
    return found != m_entries.end() && found->second.isAvoidedForStalls;
}

/// Like addReporter(). Requests from before the upstream's last restart are no evidence.
void upstream_health::addStall(const upstream_record &record, health_entry &entry,
                               const stall_reporter &seen)
{
    if (seen.since <= entry.requestAnsweredAt + m_limits.ageSlack || seen.since <= record.changedAt)
        return;
    auto found =
        std::find_if(entry.stalls.begin(), entry.stalls.end(),
                     [&](const stall_reporter &other) { return other.instance == seen.instance; });
    if (found == entry.stalls.end()) {
        if (!makeRoomForStall(entry, seen))
            return;
        found = entry.stalls.insert(entry.stalls.end(),
                                    {seen.instance, 0, 0, seen.since, seen.lastAt, seen.lastAt});
    }
    const bool isOwn = seen.instance == m_ownId;
    const auto total = [isOwn](unsigned added, unsigned known) {
        return std::min(isOwn ? known + added : std::max(known, added), maxStalledRequests);
    };
    const unsigned stalled = total(seen.stalled, found->stalled);
    const unsigned waiting = std::max(stalled, total(seen.waiting, found->waiting));
    const bool mayChangeState = (waiting > found->waiting && waiting <= m_limits.stalledThreshold)
        || (stalled > found->stalled && stalled <= m_limits.stalledThreshold);
    found->waiting = waiting;
    found->stalled = stalled;
    found->since = std::min(found->since, seen.since);
    found->lastAt = std::max(found->lastAt, seen.lastAt);
    m_watched.insert(record.id);
    if (mayChangeState)
        queueReport(record.id);
    else if (found->lastAt - found->queuedAt >= m_limits.reportInterval)
        queueRepeatedReport(record.id);
    else
        return;
    found->queuedAt = found->lastAt;
}

/// Requests of other instances take the places of older ones, so that the verdict lasts for as long
/// as requests are stalled. Not of the ones that are little older: each change is reported.
bool upstream_health::makeRoomForStall(health_entry &entry, const stall_reporter &seen) const
{
    if (entry.stalls.size() < m_limits.maxStallReporters)
        return true;
    const auto oldest = std::min_element(
        entry.stalls.begin(), entry.stalls.end(),
        [](const stall_reporter &a, const stall_reporter &b) { return a.lastAt < b.lastAt; });
    const bool isReplaceable = seen.lastAt - oldest->lastAt >= m_limits.reportInterval
        && (seen.stalled > 0 || oldest->stalled == 0);
    if (isReplaceable)
        entry.stalls.erase(oldest);
    return isReplaceable;
}

void upstream_health::recordRequestAnswer(health_entry &entry, monotonic_time answeredAt)
{
    if (answeredAt <= entry.requestAnsweredAt)
        return;
    entry.requestAnsweredAt = answeredAt;
    const auto refuted = std::erase_if(entry.stalls, [&](const stall_reporter &seen) {
        return seen.since <= answeredAt + m_limits.ageSlack;
    });
    // The upstream takes new flows again at once.
    if (refuted > 0 || answeredAt > entry.stalledAt)
        entry.stalledAt = monotonic_time {0};
}

void upstream_health::mergeStall(const upstream_record &record, const failure_reporter &other,
                                 monotonic_time reportedAnswerAt, monotonic_time now)
{
    health_entry &entry = m_entries[record.id];
    const auto since = now - std::chrono::milliseconds(other.stalledSinceAgeMs);
    const auto lastAt = now - std::chrono::milliseconds(other.stalledAgeMs);
    if (now - lastAt > m_limits.maxRequestAge)
        return;
    // The sender does not know of an answer that this instance knows of.
    if (since <= entry.requestAnsweredAt + m_limits.ageSlack
        && reportedAnswerAt < entry.requestAnsweredAt)
        queueReport(record.id);
    addStall(record, entry, {other.instance, other.waiting, other.stalled, since, lastAt});
}

/// Also updates whether the upstream is avoided.
bool upstream_health::isStalledBy(health_entry &entry, const stall_summary &summary,
                                  monotonic_time now) const
{
    const bool isWaiting = m_isStallDetectionEnabled && summary.waiting >= m_limits.stalledThreshold
        && summary.waitingReporters >= m_limits.minStallReporters;
    if (!isWaiting)
        entry.waitingSince = monotonic_time {0};
    else if (entry.waitingSince.count() == 0 || hasJustResumed(now))
        entry.waitingSince = now;
    const bool isConfirmed = isWaiting && now - entry.waitingSince >= m_limits.stallRefutationTime;
    const bool wasStalled = m_isStallDetectionEnabled && entry.stalledAt.count() > 0
        && now - entry.stalledAt <= m_limits.deadRetryDelay;
    entry.isAvoidedForStalls = isConfirmed || wasStalled;
    return isConfirmed && summary.stalled >= m_limits.stalledThreshold
        && summary.stalledReporters >= m_limits.minStallReporters;
}

upstream_health::stall_summary upstream_health::summarizeStalls(const health_entry &entry)
{
    stall_summary summary;
    for (const stall_reporter &seen : entry.stalls) {
        summary.waiting += seen.waiting;
        summary.stalled += seen.stalled;
        summary.waitingReporters += seen.waiting > 0 ? 1 : 0;
        summary.stalledReporters += seen.stalled > 0 ? 1 : 0;
        summary.lastAt = std::max(summary.lastAt, seen.lastAt);
        if (summary.since.count() == 0 || seen.since < summary.since)
            summary.since = seen.since;
    }
    return summary;
}

} // namespace chicoryhead
