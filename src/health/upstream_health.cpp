/**
 * @file upstream_health.cpp
 * Evaluation of upstream health from local observations and peer reports.
 */

#include "upstream_health_base.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::array<std::pair<health_state, std::string_view>, 4> stateNames {{
    {health_state::Answering, "answering"},
    {health_state::Silent, "silent"},
    {health_state::Dead, "dead"},
    {health_state::Stalled, "stalled"},
}};

/// Further retransmissions seen by the same instance are not counted.
constexpr unsigned maxRetransmissions = 8;

std::uint32_t ageMs(monotonic_time at, monotonic_time now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

/// Time since an event; 0 if it has not happened.
monotonic_time elapsedSince(monotonic_time at, monotonic_time now)
{
    return at.count() > 0 ? now - at : monotonic_time {0};
}

} // namespace

std::string_view toString(health_state state)
{
    for (const auto &[value, name] : stateNames) {
        if (value == state)
            return name;
    }
    return "unknown";
}

reporter_id reporterIdOf(const std::string &instanceName)
{
    return static_cast<reporter_id>(XXH3_64bits(instanceName.data(), instanceName.size()));
}

upstream_health::upstream_health(const upstream_directory &directory, const std::string &ownName,
                                 const std::string &ownDomain, health_limits limits)
    : m_directory(directory)
    , m_ownId(reporterIdOf(ownName))
    , m_ownDomain(ownDomain)
    , m_limits(limits)
{
}

void upstream_health::noteRetransmission(upstream_id upstream, const unanswered_packet &packet,
                                         monotonic_time now)
{
    // If no upstream has answered this instance since then, its own link may be down.
    const bool isLocalFault = !m_isLocallyHealthy || m_lastLocalAnswerAt < packet.firstSentAt;
    if (isLocalFault || now - packet.lastSentAt < m_limits.minRetransmissionDelay)
        return;
    const bool isRequest = packet.kind == packet_kind::Request;
    health_entry &entry = m_entries[upstream];
    addReporter(entry,
                {m_ownId, 1, isRequest ? 1U : 0U, packet.firstSentAt,
                 isRequest ? packet.lastSentAt : monotonic_time {0}, now},
                upstream);
}

void upstream_health::noteAnswered(upstream_id upstream, monotonic_time now)
{
    m_lastLocalRequestAnswerAt = now;
    noteEarlierAnswer(upstream, now);
    noteAccepted(upstream, now);
}

void upstream_health::noteAccepted(upstream_id upstream, monotonic_time now)
{
    m_lastLocalAnswerAt = now;
    health_entry &entry = m_entries[upstream];
    const bool isRefutation = !entry.reporters.empty() || entry.state != health_state::Answering;
    recordAnswer(entry, now);
    if (!isRefutation)
        return;
    // Takes effect at once, so that no flows are terminated before the next evaluation.
    m_dead.erase(upstream);
    m_watched.insert(upstream);
    queueReport(upstream);
}

void upstream_health::noteResumed(monotonic_time now)
{
    m_isLocallyHealthy = false;
    m_resumedAt = now;
    m_areVerdictsOutdated = true;
}

/// For as long as queued reports are read, and others may refute what was known before.
bool upstream_health::hasJustResumed(monotonic_time now) const
{
    return m_resumedAt && now - *m_resumedAt < m_limits.refutationTime;
}

void upstream_health::noteAddressReused(const std::vector<upstream_id> &upstreams)
{
    for (const upstream_id upstream : upstreams) {
        health_entry &entry = m_entries[upstream];
        if (entry.state != health_state::Dead)
            m_watched.insert(upstream);
        entry.isAddressReused = true;
    }
}

health_state upstream_health::healthOf(upstream_id upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? health_state::Answering : found->second.state;
}

monotonic_time upstream_health::requestAgeOf(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end()
        ? monotonic_time {0}
        : elapsedSince(summarize(found->second, now).lastRequestAt, now);
}

monotonic_time upstream_health::stalledAgeOf(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? monotonic_time {0}
                                    : elapsedSince(summarizeStalls(found->second).lastAt, now);
}

void upstream_health::forget(upstream_id upstream)
{
    m_stalled.erase(upstream);
    m_entries.erase(upstream);
    m_watched.erase(upstream);
    m_dead.erase(upstream);
    m_pendingReports.erase(upstream);
}

/// Adds up this instance's own observations. Reports of another instance are cumulative, so the
/// highest count is used.
void upstream_health::addReporter(health_entry &entry, const reporter &seen, upstream_id upstream)
{
    if (seen.since <= entry.answeredAt + m_limits.ageSlack)
        return;
    const auto found =
        std::find_if(entry.reporters.begin(), entry.reporters.end(),
                     [&](const reporter &other) { return other.instance == seen.instance; });
    if (found == entry.reporters.end()) {
        if (!makeRoomFor(entry, seen))
            return;
        entry.reporters.push_back(seen);
        entry.reporters.back().queuedRequestAt = seen.lastRequestAt;
        m_watched.insert(upstream);
        queueReport(upstream);
        return;
    }
    const bool isOwn = seen.instance == m_ownId;
    const unsigned retransmissions =
        std::min(seen.retransmissions + (isOwn ? found->retransmissions : 0), maxRetransmissions);
    const unsigned requests =
        std::min(seen.requests + (isOwn ? found->requests : 0), maxRetransmissions);
    found->lastReportedAt = std::max(found->lastReportedAt, seen.lastReportedAt);
    found->lastRequestAt = std::max(found->lastRequestAt, seen.lastRequestAt);
    // Retransmissions beyond the thresholds don't change the state.
    const bool mayChangeState =
        (retransmissions > found->retransmissions && retransmissions <= m_limits.silentThreshold)
        || (requests > found->requests && requests <= m_limits.deadThreshold);
    const bool isRenewed = found->lastRequestAt - found->queuedRequestAt >= m_limits.reportInterval;
    found->retransmissions = std::max(found->retransmissions, retransmissions);
    found->requests = std::max(found->requests, requests);
    if (mayChangeState)
        queueReport(upstream);
    else if (isRenewed)
        queueRepeatedReport(upstream);
    else
        return;
    found->queuedRequestAt = found->lastRequestAt;
}

/// The number of reporters is limited. Those of unanswered requests take the places of others.
bool upstream_health::makeRoomFor(health_entry &entry, const reporter &seen) const
{
    if (entry.reporters.size() < m_limits.maxReporters)
        return true;
    if (seen.requests == 0)
        return false;
    const auto replaceable =
        std::find_if(entry.reporters.begin(), entry.reporters.end(),
                     [](const reporter &other) { return other.requests == 0; });
    if (replaceable == entry.reporters.end())
        return false;
    entry.reporters.erase(replaceable);
    return true;
}

void upstream_health::recordAnswer(health_entry &entry, monotonic_time answeredAt)
{
    if (answeredAt <= entry.answeredAt)
        return;
    entry.answeredAt = answeredAt;
    std::erase_if(entry.reporters, [&](const reporter &seen) {
        return seen.since <= answeredAt + m_limits.ageSlack;
    });
}

void upstream_health::merge(const std::vector<liveness_report> &reports, bool isOwnDomain,
                            monotonic_time now)
{
    if (hasJustResumed(now))
        return;
    for (const liveness_report &report : reports) {
        const auto *record = m_directory.findByTag(report.upstream);
        if (record == nullptr)
            continue;
        if (isOwnDomain || record->announced.domain != m_ownDomain)
            mergeReport(*record, report, now);
    }
}

void upstream_health::mergeReport(const upstream_record &record, const liveness_report &report,
                                  monotonic_time now)
{
    health_entry &entry = m_entries[record.id];
    monotonic_time reportedAnswerAt {0};
    if (report.answeredAgeMs) {
        reportedAnswerAt = now - std::chrono::milliseconds(*report.answeredAgeMs);
        const bool isRefutation = reportedAnswerAt > entry.answeredAt + m_limits.ageSlack
            && (!entry.reporters.empty() || entry.state != health_state::Answering);
        recordAnswer(entry, reportedAnswerAt);
        if (isRefutation)
            queueReport(record.id);
    }
    monotonic_time requestAnswerAt {0};
    if (const auto &age =
            report.tellsRequestAnswers ? report.requestAnsweredAgeMs : report.answeredAgeMs) {
        requestAnswerAt = now - std::chrono::milliseconds(*age);
        const bool isRefutation = requestAnswerAt > entry.requestAnsweredAt + m_limits.ageSlack
            && (!entry.stalls.empty() || entry.isAvoidedForStalls);
        recordRequestAnswer(entry, requestAnswerAt);
        if (entry.stalls.empty())
            m_stalled.erase(record.id);
        if (isRefutation)
            queueReport(record.id);
    }
    for (const failure_reporter &other : report.reporters) {
        if (other.instance == m_ownId)
            continue;
        if (other.waiting > 0 || other.stalled > 0)
            mergeStall(record, other, requestAnswerAt, now);
        // Reporters of stalled requests only.
        if (other.retransmissions == 0)
            continue;
        const auto since = now - std::chrono::milliseconds(other.ageMs);
        const auto lastRequestAt = other.requests > 0
            ? now - std::chrono::milliseconds(other.requestAgeMs)
            : monotonic_time {0};
        if (now - std::max(since, lastRequestAt) > m_limits.maxEvidenceAge)
            continue;
        // The sender does not know of an answer that this instance knows of.
        if (since <= entry.answeredAt + m_limits.ageSlack && reportedAnswerAt < entry.answeredAt)
            queueReport(record.id);
        addReporter(
            entry,
            {other.instance, other.retransmissions, other.requests, since, lastRequestAt, now},
            record.id);
    }
}

std::vector<health_change> upstream_health::evaluate(monotonic_time now)
{
    m_areVerdictsOutdated = false;
    std::vector<health_change> changes;
    std::vector<upstream_id> idle;
    for (const upstream_id upstream : m_watched) {
        const auto *record = m_directory.find(upstream);
        if (record == nullptr) {
            idle.push_back(upstream);
            continue;
        }
        health_entry &entry = m_entries[upstream];
        expire(entry, now);
        const auto summary = summarize(entry, now);
        const auto before = entry.state;
        const bool wasAvoidedForStalls = entry.isAvoidedForStalls;
        setState(*record, entry, computeState(entry, *record, summary, now), now);
        // Each answer is seen by one instance. Reports of single requests miss it now and then, so
        // every instance that is about to decide asks again.
        if (entry.waitingSince == now)
            queueReport(upstream);
        const bool isDisputable = (entry.state == health_state::Dead && !entry.reporters.empty())
            || (entry.state == health_state::Stalled && !entry.stalls.empty());
        if (isDisputable && now >= entry.nextReportAt) {
            entry.nextReportAt = now + m_limits.reportInterval;
            queueRepeatedReport(upstream);
        }
        if (entry.state != before || (entry.isAvoidedForStalls && !wasAvoidedForStalls)) {
            changes.push_back(makeChange(upstream, entry, summary, now));
            changes.back().before = before;
        }
        if (entry.reporters.empty() && entry.stalls.empty()
            && entry.state == health_state::Answering)
            idle.push_back(upstream);
    }
    for (const upstream_id upstream : idle)
        m_watched.erase(upstream);
    return changes;
}

/// A verdict for stalled requests is described by these, any other by unanswered packets.
health_change upstream_health::makeChange(upstream_id upstream, const health_entry &entry,
                                          const failure_summary &summary, monotonic_time now)
{
    const auto stalls = summarizeStalls(entry);
    const bool isForStalls = entry.isAvoidedForStalls && entry.state != health_state::Dead;
    health_change change;
    change.upstream = upstream;
    change.state = entry.state;
    change.reporters = isForStalls ? stalls.waitingReporters : summary.reporters;
    change.retransmissions = summary.retransmissions;
    change.requests = summary.requests;
    change.silentFor = elapsedSince(isForStalls ? stalls.since : summary.since, now);
    change.requestAge = elapsedSince(isForStalls ? stalls.lastAt : summary.lastRequestAt, now);
    change.waitingRequests = stalls.waiting;
    change.stalledRequests = stalls.stalled;
    change.isAvoidedForStalls = entry.isAvoidedForStalls;
    return change;
}

health_state upstream_health::computeState(health_entry &entry, const upstream_record &record,
                                           const failure_summary &summary, monotonic_time now) const
{
    const bool isGone = record.lifecycle == lifecycle_state::Gone;
    const bool hasAnswered = entry.answeredAt > entry.diedAt;
    // An upstream that was cut off announces itself again once it is reachable, so one whose
    // announcement lapses while it is dead stays dead until then.
    const bool hasLapsed =
        entry.state == health_state::Dead && entry.hadAnnouncement && !hasAnswered;
    if (isGone && (entry.isAddressReused || hasLapsed))
        return health_state::Dead;
    if (!isDeadBy(summary, isGone)) {
        entry.suspectedAt = monotonic_time {0};
    } else {
        if (entry.suspectedAt.count() == 0 || hasJustResumed(now))
            entry.suspectedAt = now;
        if (now - entry.suspectedAt >= m_limits.refutationTime)
            return health_state::Dead;
    }
    return computeLiveState(entry, summary, now);
}

/// The state of an upstream that is not dead.
health_state upstream_health::computeLiveState(health_entry &entry, const failure_summary &summary,
                                               monotonic_time now) const
{
    if (isStalledBy(entry, summarizeStalls(entry), now))
        return health_state::Stalled;
    const bool wasDead = entry.diedAt.count() > 0 && entry.answeredAt <= entry.diedAt
        && now - entry.diedAt <= m_limits.deadRetryDelay;
    const bool isSilent =
        wasDead || entry.isAvoidedForStalls || summary.retransmissions >= m_limits.silentThreshold;
    return isSilent ? health_state::Silent : health_state::Answering;
}

bool upstream_health::isDeadBy(const failure_summary &summary, bool isGone) const
{
    // The removal of the announcement stands for a second reporter.
    if (isGone)
        return summary.recentRequests >= m_limits.unannouncedDeadThreshold;
    return summary.recentRequests >= m_limits.deadThreshold
        && summary.recentReporters >= m_limits.minDeadReporters;
}

upstream_health::failure_summary upstream_health::summarize(const health_entry &entry,
                                                            monotonic_time now) const
{
    failure_summary summary;
    summary.reporters = entry.reporters.size();
    for (const reporter &seen : entry.reporters) {
        summary.retransmissions += seen.retransmissions;
        summary.requests += seen.requests;
        summary.lastRequestAt = std::max(summary.lastRequestAt, seen.lastRequestAt);
        if (summary.since.count() == 0 || seen.since < summary.since)
            summary.since = seen.since;
        if (seen.requests > 0 && now - seen.lastRequestAt <= m_limits.maxRequestAge) {
            ++summary.recentReporters;
            summary.recentRequests += seen.requests;
        }
    }
    return summary;
}

void upstream_health::expire(health_entry &entry, monotonic_time now) const
{
    std::erase_if(entry.stalls, [&](const stall_reporter &seen) {
        return now - seen.lastAt > m_limits.maxRequestAge;
    });
    std::erase_if(entry.reporters, [&](const reporter &seen) {
        return now - seen.lastReportedAt > m_limits.maxEvidenceAge;
    });
}

void upstream_health::setState(const upstream_record &record, health_entry &entry,
                               health_state state, monotonic_time now)
{
    if (state == entry.state)
        return;
    entry.state = state;
    if (state == health_state::Dead) {
        m_dead.insert(record.id);
        entry.diedAt = now;
        entry.hadAnnouncement = record.lifecycle != lifecycle_state::Gone;
        entry.nextReportAt = now + m_limits.reportInterval;
    } else {
        m_dead.erase(record.id);
    }
    if (state == health_state::Stalled) {
        m_stalled.insert(record.id);
        entry.stalledAt = now;
        entry.nextReportAt = now + m_limits.reportInterval;
    } else {
        m_stalled.erase(record.id);
    }
}

std::vector<liveness_report> upstream_health::takePendingReports(monotonic_time now)
{
    std::vector<liveness_report> reports;
    std::size_t reporters = 0;
    bool hasStalls = false;
    for (auto pending = m_pendingReports.begin(); pending != m_pendingReports.end();) {
        const auto *record = m_directory.find(pending->first);
        const auto entry = m_entries.find(pending->first);
        if (record != nullptr && entry != m_entries.end()) {
            reporters += entry->second.reporters.size() + entry->second.stalls.size();
            hasStalls = hasStalls || !entry->second.stalls.empty();
            if (reports.size() >= m_limits.maxReports
                || (hasStalls && reporters > m_limits.maxReportersWithStalls))
                break;
            reports.push_back(makeReport(*record, entry->second, now));
        }
        pending = --pending->second == 0 ? m_pendingReports.erase(pending) : std::next(pending);
    }
    return reports;
}

liveness_report upstream_health::makeReport(const upstream_record &record,
                                            const health_entry &entry, monotonic_time now) const
{
    liveness_report report;
    report.upstream = record.tag;
    if (entry.answeredAt.count() > 0)
        report.answeredAgeMs = ageMs(entry.answeredAt - m_limits.relayDelayAllowance, now);
    for (const reporter &seen : entry.reporters) {
        failure_reporter sent {seen.instance, static_cast<std::uint8_t>(seen.retransmissions),
                               ageMs(seen.since, now)};
        if (seen.requests > 0) {
            sent.requests = static_cast<std::uint8_t>(seen.requests);
            sent.requestAgeMs = ageMs(seen.lastRequestAt, now);
        }
        report.reporters.push_back(sent);
    }
    for (const stall_reporter &seen : entry.stalls) {
        auto sent = std::find_if(
            report.reporters.begin(), report.reporters.end(),
            [&](const failure_reporter &other) { return other.instance == seen.instance; });
        if (sent == report.reporters.end())
            sent = report.reporters.insert(sent, {seen.instance, 0, ageMs(seen.since, now)});
        sent->waiting = static_cast<std::uint8_t>(seen.waiting);
        sent->stalled = static_cast<std::uint8_t>(seen.stalled);
        sent->stalledAgeMs = ageMs(seen.lastAt, now);
        sent->stalledSinceAgeMs = ageMs(seen.since, now);
    }
    report.tellsRequestAnswers = m_isStallDetectionEnabled || !entry.stalls.empty();
    if (report.tellsRequestAnswers && entry.requestAnsweredAt.count() > 0)
        report.requestAnsweredAgeMs =
            ageMs(entry.requestAnsweredAt - m_limits.relayDelayAllowance, now);
    return report;
}

std::vector<liveness_report> upstream_health::replyTo(const std::vector<liveness_report> &reports,
                                                      monotonic_time now) const
{
    std::vector<liveness_report> replies;
    std::size_t reporters = 0;
    for (const liveness_report &report : reports) {
        const auto *record = m_directory.findByTag(report.upstream);
        if (record == nullptr || report.reporters.empty() || reporters > maxReplyReporters())
            continue;
        const auto entry = m_entries.find(record->id);
        if (entry == m_entries.end())
            continue;
        const bool isRefutation = std::any_of(
            report.reporters.begin(), report.reporters.end(), [&](const failure_reporter &seen) {
                const auto since = now - std::chrono::milliseconds(seen.ageMs);
                const auto stalledSince = now - std::chrono::milliseconds(seen.stalledSinceAgeMs);
                return (seen.retransmissions > 0
                        && since <= entry->second.answeredAt + m_limits.ageSlack)
                    || (seen.waiting > 0
                        && stalledSince <= entry->second.requestAnsweredAt + m_limits.ageSlack);
            });
        const auto stallReporters = static_cast<std::size_t>(
            std::count_if(report.reporters.begin(), report.reporters.end(),
                          [](const failure_reporter &seen) { return seen.stalled > 0; }));
        const auto requestReporters = static_cast<std::size_t>(
            std::count_if(report.reporters.begin(), report.reporters.end(),
                          [](const failure_reporter &seen) { return seen.requests > 0; }));
        const bool isConfirmation = (entry->second.state == health_state::Dead
                                     && requestReporters < m_limits.minDeadReporters)
            || (entry->second.state == health_state::Stalled
                && stallReporters < m_limits.minStallReporters);
        if (isRefutation || isConfirmation) {
            replies.push_back(makeReport(*record, entry->second, now));
            reporters += replies.back().reporters.size();
        }
    }
    return replies;
}

std::vector<liveness_report>
upstream_health::forOtherDomains(std::vector<liveness_report> reports) const
{
    std::erase_if(reports, [this](const liveness_report &report) {
        const auto *record = m_directory.findByTag(report.upstream);
        return record == nullptr || record->announced.domain != m_ownDomain;
    });
    return reports;
}

} // namespace chicoryhead
