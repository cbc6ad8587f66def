/**
 * @file upstream_health.cpp
 * Merging of evidence, verdicts and reports.
 */

#include "upstream_health_base.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::array<std::pair<health_state, std::string_view>, 3> stateNames {{
    {health_state::Answering, "answering"},
    {health_state::Silent, "silent"},
    {health_state::Dead, "dead"},
}};

/// More repeated packets of one instance add nothing.
constexpr unsigned maxRetransmissions = 8;

std::uint32_t ageMs(monotonic_time at, monotonic_time now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
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
    : m_directory(directory), m_own(reporterIdOf(ownName)), m_ownDomain(ownDomain), m_limits(limits)
{
}

void upstream_health::noteRetransmission(upstream_id upstream, monotonic_time firstSentAt,
                                         monotonic_time now)
{
    // An instance that got no answer from anybody since then may have lost its own link.
    const bool isOwnFault = !m_isSteady || m_answerAt < firstSentAt;
    if (isOwnFault || now - firstSentAt < m_limits.minRetransmissionDelay)
        return;
    evidence &known = m_evidence[upstream];
    addReporter(known, {m_own, 1, firstSentAt, now}, upstream);
}

void upstream_health::noteAnswered(upstream_id upstream, monotonic_time now)
{
    m_answerAt = now;
    evidence &known = m_evidence[upstream];
    const bool isObjection = !known.reporters.empty() || known.state != health_state::Answering;
    addAnswer(known, now);
    if (!isObjection)
        return;
    // Its flows must not be ended until the next judgement.
    m_dead.erase(upstream);
    m_watched.insert(upstream);
    tell(upstream);
}

void upstream_health::noteReplaced(const std::vector<upstream_id> &upstreams)
{
    for (const upstream_id upstream : upstreams) {
        evidence &known = m_evidence[upstream];
        if (known.state != health_state::Dead)
            m_watched.insert(upstream);
        known.isReplaced = true;
    }
}

health_state upstream_health::healthOf(upstream_id upstream) const
{
    const auto found = m_evidence.find(upstream);
    return found == m_evidence.end() ? health_state::Answering : found->second.state;
}

void upstream_health::forget(upstream_id upstream)
{
    m_evidence.erase(upstream);
    m_watched.erase(upstream);
    m_dead.erase(upstream);
    m_news.erase(upstream);
}

/// Adds up what this instance sees itself; of what another instance reports the most counts.
void upstream_health::addReporter(evidence &known, const reporter &seen, upstream_id upstream)
{
    if (seen.since <= known.answeredAt + m_limits.ageSlack)
        return;
    const auto found =
        std::find_if(known.reporters.begin(), known.reporters.end(),
                     [&](const reporter &other) { return other.instance == seen.instance; });
    if (found == known.reporters.end()) {
        if (known.reporters.size() >= m_limits.maxReporters)
            return;
        known.reporters.push_back(seen);
        m_watched.insert(upstream);
        tell(upstream);
        return;
    }
    const unsigned retransmissions = seen.instance == m_own
        ? found->retransmissions + seen.retransmissions
        : seen.retransmissions;
    found->heardAt = std::max(found->heardAt, seen.heardAt);
    if (std::min(retransmissions, maxRetransmissions) <= found->retransmissions)
        return;
    found->retransmissions = std::min(retransmissions, maxRetransmissions);
    // Beyond the threshold more packets change no verdict.
    if (found->retransmissions <= m_limits.deadThreshold)
        tell(upstream);
}

void upstream_health::addAnswer(evidence &known, monotonic_time answeredAt)
{
    if (answeredAt <= known.answeredAt)
        return;
    known.answeredAt = answeredAt;
    std::erase_if(known.reporters, [&](const reporter &silent) {
        return silent.since <= answeredAt + m_limits.ageSlack;
    });
}

void upstream_health::merge(const std::vector<liveness_report> &reports, bool isOwnDomain,
                            monotonic_time now)
{
    for (const liveness_report &report : reports) {
        const auto *record = m_directory.findByTag(report.upstream);
        if (record == nullptr)
            continue;
        if (isOwnDomain || record->announced.domain != m_ownDomain)
            mergeOne(*record, report, now);
    }
}

void upstream_health::mergeOne(const upstream_record &record, const liveness_report &report,
                               monotonic_time now)
{
    evidence &known = m_evidence[record.id];
    monotonic_time heardAnswer {0};
    if (report.answeredAgeMs) {
        heardAnswer = now - std::chrono::milliseconds(*report.answeredAgeMs);
        const bool isObjection = heardAnswer > known.answeredAt + m_limits.ageSlack
            && (!known.reporters.empty() || known.state != health_state::Answering);
        addAnswer(known, heardAnswer);
        if (isObjection)
            tell(record.id);
    }
    for (const failure_reporter &other : report.reporters) {
        if (other.instance == m_own)
            continue;
        const auto since = now - std::chrono::milliseconds(other.ageMs);
        if (now - since > m_limits.memory)
            continue;
        // The sender does not know of an answer that is known here.
        if (since <= known.answeredAt + m_limits.ageSlack && heardAnswer < known.answeredAt)
            tell(record.id);
        addReporter(known, {other.instance, other.retransmissions, since, now}, record.id);
    }
}

std::vector<health_change> upstream_health::evaluate(monotonic_time now)
{
    std::vector<health_change> changes;
    std::vector<upstream_id> settled;
    for (const upstream_id upstream : m_watched) {
        const auto *record = m_directory.find(upstream);
        if (record == nullptr) {
            settled.push_back(upstream);
            continue;
        }
        evidence &known = m_evidence[upstream];
        expire(known, now);
        const auto sum = summarize(known);
        const auto before = known.state;
        setState(upstream, known, computeState(known, *record, sum, now), now);
        if (known.state != before)
            changes.push_back({upstream, before, known.state, sum.reporters, sum.retransmissions,
                               sum.since.count() > 0 ? now - sum.since : monotonic_time {0}});
        if (known.reporters.empty() && known.state == health_state::Answering)
            settled.push_back(upstream);
    }
    for (const upstream_id upstream : settled)
        m_watched.erase(upstream);
    return changes;
}

health_state upstream_health::computeState(evidence &known, const upstream_record &record,
                                           const silence &sum, monotonic_time now) const
{
    const bool isGone = record.standing == upstream_standing::Gone;
    const bool hasAnsweredSince = known.answeredAt > known.stateChangedAt;
    if (known.state == health_state::Dead && !hasAnsweredSince) {
        const bool isOver = now - known.stateChangedAt > m_limits.deadTime || known.isDeadByAbsence;
        if (isGone || !isOver)
            return health_state::Dead;
    }
    // Its announcement ended too, so one unanswered packet is enough.
    known.isDeadByAbsence = isGone && (known.isReplaced || sum.reporters > 0);
    if (known.isDeadByAbsence)
        return health_state::Dead;
    const bool isEnough =
        sum.retransmissions >= m_limits.deadThreshold && sum.reporters >= m_limits.minDeadReporters;
    if (!isEnough)
        known.suspectedAt = monotonic_time {0};
    else if (known.suspectedAt.count() == 0)
        known.suspectedAt = now;
    if (isEnough && now - known.suspectedAt >= m_limits.objectionTime)
        return health_state::Dead;
    return sum.retransmissions >= m_limits.silentThreshold ? health_state::Silent
                                                           : health_state::Answering;
}

upstream_health::silence upstream_health::summarize(const evidence &known)
{
    silence sum;
    sum.reporters = known.reporters.size();
    for (const reporter &silent : known.reporters) {
        sum.retransmissions += silent.retransmissions;
        if (sum.since.count() == 0 || silent.since < sum.since)
            sum.since = silent.since;
    }
    return sum;
}

void upstream_health::expire(evidence &known, monotonic_time now) const
{
    std::erase_if(known.reporters,
                  [&](const reporter &silent) { return now - silent.heardAt > m_limits.memory; });
}

void upstream_health::setState(upstream_id upstream, evidence &known, health_state state,
                               monotonic_time now)
{
    if (state == known.state)
        return;
    known.state = state;
    known.stateChangedAt = now;
    if (state == health_state::Dead)
        m_dead.insert(upstream);
    else
        m_dead.erase(upstream);
}

std::vector<liveness_report> upstream_health::takeNews(monotonic_time now)
{
    std::vector<liveness_report> reports;
    for (auto news = m_news.begin(); news != m_news.end();) {
        const auto *record = m_directory.find(news->first);
        const auto known = m_evidence.find(news->first);
        if (record != nullptr && known != m_evidence.end()) {
            if (reports.size() >= m_limits.maxReports)
                break;
            reports.push_back(makeReport(*record, known->second, now));
        }
        news = --news->second == 0 ? m_news.erase(news) : std::next(news);
    }
    return reports;
}

liveness_report upstream_health::makeReport(const upstream_record &record, const evidence &known,
                                            monotonic_time now) const
{
    liveness_report report;
    report.upstream = record.tag;
    if (known.answeredAt.count() > 0)
        report.answeredAgeMs = ageMs(known.answeredAt - m_limits.relayAllowance, now);
    for (const reporter &silent : known.reporters)
        report.reporters.push_back({silent.instance,
                                    static_cast<std::uint8_t>(silent.retransmissions),
                                    ageMs(silent.since, now)});
    return report;
}

std::vector<liveness_report> upstream_health::replyTo(const std::vector<liveness_report> &reports,
                                                      monotonic_time now) const
{
    std::vector<liveness_report> replies;
    for (const liveness_report &report : reports) {
        const auto *record = m_directory.findByTag(report.upstream);
        if (record == nullptr || report.reporters.empty())
            continue;
        const auto known = m_evidence.find(record->id);
        if (known == m_evidence.end())
            continue;
        const bool isObjection = std::any_of(
            report.reporters.begin(), report.reporters.end(), [&](const failure_reporter &silent) {
                const auto since = now - std::chrono::milliseconds(silent.ageMs);
                return since <= known->second.answeredAt + m_limits.ageSlack;
            });
        const bool isConfirmation = known->second.state == health_state::Dead
            && report.reporters.size() < m_limits.minDeadReporters;
        if (isObjection || isConfirmation)
            replies.push_back(makeReport(*record, known->second, now));
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
