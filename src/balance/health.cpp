/**
 * @file health.cpp
 * Probing, belief in reports, and changes of upstream conditions.
 */

#include "core/log_func.h"
#include "health_base.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace chicoryhead {

namespace {

using namespace std::chrono_literals;

/// Signals count for about this long, a few probe intervals.
constexpr monotonic_time signalMemory = 3s;
/// A reply this recent shows that an upstream lives although its reports fail.
constexpr monotonic_time aliveMemory = 5s;
/// Time without a reply that confirms unanswered SYNs; they are noticed after the same time.
constexpr monotonic_time silence = 1s;
/// Share of a new report in smoothed figures: a memory of about three reports.
constexpr double smoothing = 0.3;

double toSeconds(monotonic_time time)
{
    return std::chrono::duration<double>(time).count();
}

bool isIdle(const load_report &report)
{
    return report.busySlots == 0 && report.queued == 0;
}

} // namespace

health_controller::health_controller(const clock_source &clock, random_source &random,
                                     blackboard &board, load_prober &prober, notice_outlet &outlet,
                                     health_settings settings)
    : m_clock(clock)
    , m_random(random)
    , m_board(board)
    , m_prober(prober)
    , m_outlet(outlet)
    , m_settings(settings)
{
}

void health_controller::onReport(upstream_id upstream, std::optional<load_report> report)
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end())
        return;
    record &entry = found->second;
    const auto now = m_clock.now();
    if (!report) {
        ++entry.failures;
        return evaluate(upstream, entry, now);
    }
    if (!isBelievable(entry, *report))
        return evaluate(upstream, entry, now);

    entry.failures = 0;
    const bool isRestarted = entry.hasReport && report->startedAt != entry.last.startedAt;
    if (isRestarted) {
        entry.busy = 0;
        entry.queue = 0;
        entry.idleReports = 0;
        // The notice makes every instance ramp the upstream up, also those that don't probe it.
        entry.troubleAt = now;
        change(upstream, upstream_condition::Deflected, condition_reason::Cold, now);
    }
    takeFigures(upstream, entry, *report);
    if (report->isShedding)
        startHoldOff(entry, now);
    evaluate(upstream, entry, now);
}

void health_controller::onSignal(upstream_id upstream, passive_signal signal)
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end())
        return;
    record &entry = found->second;
    const auto now = m_clock.now();
    decaySignals(entry, now);
    switch (signal) {
    case passive_signal::Refused:
        if (entry.refused < 1) {
            entry.refusedSince = now;
            entry.isRefusalProbed = false;
        }
        entry.refused += 1;
        break;
    case passive_signal::Accepted:
        entry.accepted += 1;
        entry.aliveAt = now;
        break;
    case passive_signal::Unanswered:
        entry.unanswered += 1;
        break;
    case passive_signal::Answered:
        entry.answered += 1;
        entry.aliveAt = now;
        break;
    }
}

void health_controller::onNotice(const upstream_notice &notice)
{
    upstream_state &state = m_board.upstreams[notice.upstream];
    const bool isSame = notice.incarnation == state.incarnation;
    // Two probers may raise the same incarnation at once; deflection wins on every instance.
    const bool winsTie = isSame && notice.isDeflected && state.condition == upstream_condition::Open
        && notice.incarnation > 0;
    if (notice.incarnation <= state.incarnation && !winsTie)
        return;
    const auto condition =
        notice.isDeflected ? upstream_condition::Deflected : upstream_condition::Open;
    if (state.incarnation == 0)
        state.trackedSince = m_clock.now();
    state.incarnation = notice.incarnation;
    state.reason = notice.reason;
    if (state.condition != condition) {
        state.condition = condition;
        state.changedAt = m_clock.now();
        forgetOverload(notice.upstream);
    }
    m_outlet.spread(notice);
}

void health_controller::onFlowCounts(std::span<const upstream_flow_count> counts)
{
    for (auto &[id, state] : m_board.upstreams)
        state.openFlows = 0;
    for (const auto &[id, count] : counts)
        m_board.upstreams[id].openFlows = count;
}

void health_controller::tick()
{
    const auto now = m_clock.now();
    refreshUpstreams();
    if (m_board.membersRevision != m_membersRevision)
        chooseProbers();
    startProbes(now);
    for (const upstream_id id : m_probed)
        evaluate(id, m_records.at(id), now);
}

bool health_controller::isProber(upstream_id upstream) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && found->second.isProber;
}

void health_controller::evaluate(upstream_id upstream, record &entry, monotonic_time now)
{
    if (!entry.isProber)
        return;
    decaySignals(entry, now);
    if (isShedding(entry))
        startHoldOff(entry, now);
    // Once deflected, the upstream is idle indeed; without a hold-off it would be reopened at once.
    if (m_settings.deflectOnContradiction && isContradicted(upstream, entry))
        startHoldOff(entry, now);
    updateOverload(upstream, entry, now);
    const upstream_state &state = m_board.upstreams[upstream];
    const bool hasReason = isFailing(entry, now) || now < entry.shedUntil || entry.isOverloaded;
    if (hasReason)
        entry.troubleAt = now;
    if (state.condition == upstream_condition::Open) {
        if (hasReason)
            change(upstream, upstream_condition::Deflected, reasonOf(entry, now), now);
        return;
    }
    if (state.reason != condition_reason::Unreachable && isUnreachable(entry, now))
        change(upstream, upstream_condition::Deflected, condition_reason::Unreachable, now);
    // A prober that learnt of the deflection from its partner waits for its own calm time too.
    const auto calmSince = std::max(entry.troubleAt, state.changedAt);
    const bool hasEvidence = entry.hasReport || entry.aliveAt > state.changedAt;
    if (!hasReason && hasEvidence && now - calmSince >= m_settings.recovery)
        change(upstream, upstream_condition::Open, state.reason, now);
}

bool health_controller::isBelievable(record &entry, const load_report &report)
{
    if (!entry.hasReport)
        return true;
    if (report.startedAt < entry.last.startedAt)
        return false; // from an earlier lifetime
    if (report.startedAt > entry.last.startedAt)
        return true;
    if (report.sequence > entry.last.sequence) {
        entry.repeats = 0;
        return true;
    }
    ++entry.repeats;
    return false;
}

bool health_controller::isContradicted(upstream_id upstream, const record &entry) const
{
    if (entry.repeats >= m_settings.repeatsOn)
        return true;
    if (entry.idleReports < m_settings.idleOn)
        return false;
    const auto state = m_board.upstreams.find(upstream);
    const bool hidesFlows = entry.last.openFlows == 0 && state != m_board.upstreams.end()
        && state->second.openFlows > 0;
    return hidesFlows || entry.answered >= m_settings.idleAnswers;
}

bool health_controller::isUnreachable(const record &entry, monotonic_time now) const
{
    const bool isAlive = entry.aliveAt >= monotonic_time {0} && now - entry.aliveAt < aliveMemory;
    // Only the report is missing when replies are seen.
    if (entry.failures >= m_settings.failuresOn && !isAlive)
        return true;
    // Replies are spread over all instances, so unanswered SYNs count only when no reply is seen,
    // and a probe has to confirm them.
    const bool isSilent = entry.aliveAt < now - silence;
    return entry.unanswered >= m_settings.signalFailures && isSilent && entry.failures > 0;
}

bool health_controller::isFailing(const record &entry, monotonic_time now) const
{
    const bool isUnhealthy = entry.hasReport && entry.failures == 0 && !entry.last.isHealthy;
    return isUnhealthy || isUnreachable(entry, now);
}

condition_reason health_controller::reasonOf(const record &entry, monotonic_time now) const
{
    return isUnreachable(entry, now) ? condition_reason::Unreachable : condition_reason::Load;
}

void health_controller::takeFigures(upstream_id upstream, record &entry, const load_report &report)
{
    const double busy = static_cast<double>(report.busySlots) / entry.slots;
    const double queue = static_cast<double>(report.queued) / entry.slots;
    const double share = entry.isSmoothed ? smoothing : 1.0;
    entry.isSmoothed = true;
    entry.busy += share * (busy - entry.busy);
    entry.queue += share * (queue - entry.queue);
    entry.idleReports = isIdle(report) ? entry.idleReports + 1 : 0;
    entry.hasReport = true;
    entry.takenAt = m_clock.now();
    entry.last = report;
    if (isContradicted(upstream, entry))
        return; // the figures are not used

    upstream_state &state = m_board.upstreams[upstream];
    const double load = 1000.0 * (report.busySlots + report.queued) / entry.slots;
    state.loadPermille = static_cast<std::uint16_t>(std::min(load, 65535.0));
    state.reportedAt = m_clock.now();
}

void health_controller::updateOverload(upstream_id upstream, record &entry, monotonic_time now)
{
    const auto reportedAt = m_board.upstreams[upstream].reportedAt;
    if (!entry.hasReport || now - reportedAt > m_settings.freshness) {
        entry.isOverloaded = false;
        return;
    }
    if (entry.isOverloaded) {
        entry.isOverloaded = entry.busy > m_settings.overloadOff || entry.queue > 1;
        return;
    }
    if (!isFull(entry) || entry.queue < m_settings.queueOn)
        return;
    // Deflection only moves load; it helps no one when the other upstreams have no room.
    entry.isOverloaded = hasRoomElsewhere(entry, upstream)
        && lostShare(entry.service, upstream) <= m_settings.overloadShare;
}

bool health_controller::isShedding(const record &entry) const
{
    if (entry.refused < m_settings.signalFailures || entry.refused <= entry.accepted)
        return false;
    // When most upstreams refuse, the service is overloaded and a hold-off would outlast that.
    if (isRefusalGeneral(entry.service))
        return false;
    // An upstream that refuses because it is full is overloaded; the comparison with others
    // decides.
    const bool hasAnswer = entry.failures == 0 && entry.takenAt > entry.refusedSince;
    return entry.failures > 0
        || (hasAnswer && entry.last.busySlots < entry.slots && entry.last.queued == 0);
}

void health_controller::forgetOverload(upstream_id upstream)
{
    // Figures from before the change would make one prober undo what the other has decided.
    const auto found = m_records.find(upstream);
    const upstream_state &state = m_board.upstreams[upstream];
    if (found == m_records.end() || state.condition == upstream_condition::Deflected)
        return;
    found->second.isOverloaded = false;
    found->second.isSmoothed = false;
    found->second.busy = 0;
    found->second.queue = 0;
}

void health_controller::startHoldOff(record &entry, monotonic_time now)
{
    if (now < entry.shedUntil)
        return;
    // Repeated shedding within a minute doubles the hold-off.
    const bool isRepeated = entry.holdOff.count() > 0 && now - entry.lastShed < 60s;
    entry.holdOff =
        isRepeated ? std::min(entry.holdOff * 2, m_settings.maxHoldOff) : m_settings.holdOff;
    entry.lastShed = now;
    entry.shedUntil = now + jitter(entry.holdOff);
    entry.refused = 0;
}

void health_controller::decaySignals(record &entry, monotonic_time now) const
{
    const double factor = std::exp(-toSeconds(now - entry.signalsAt) / toSeconds(signalMemory));
    entry.signalsAt = now;
    entry.refused *= factor;
    entry.unanswered *= factor;
    entry.accepted *= factor;
    entry.answered *= factor;
}

void health_controller::change(upstream_id upstream, upstream_condition condition,
                               condition_reason reason, monotonic_time now)
{
    upstream_state &state = m_board.upstreams[upstream];
    if (state.condition == condition && state.reason == reason)
        return;
    if (state.condition != condition) {
        state.changedAt = now;
        state.condition = condition;
        forgetOverload(upstream);
    }
    if (state.incarnation == 0)
        state.trackedSince = now;
    ++state.incarnation;
    state.reason = reason;
    logEvent(log_level::Info, "upstream_condition",
             {{"upstream", std::to_string(idValue(upstream))},
              {"condition", std::string(toString(condition))},
              {"incarnation", std::to_string(state.incarnation)}});
    m_outlet.spread(
        {upstream, condition == upstream_condition::Deflected, state.incarnation, reason});
}

monotonic_time health_controller::jitter(monotonic_time mean)
{
    const double uniform = static_cast<double>(m_random.next() >> 11) * 0x1.0p-53;
    return monotonic_time(static_cast<std::int64_t>(mean.count() * (0.5 + uniform)));
}

} // namespace chicoryhead
