/**
 * @file experiment_balance_model.cpp
 * Events of the model: flows, relays, upstreams and figures.
 */

#include "experiment_balance_parts.h"

#include <algorithm>
#include <cmath>

namespace chicoryhead::experiment {

using namespace std::chrono_literals;

namespace {

/// Mean time of a request in a slot. With 3 slots and 70% load, 18 upstreams get 3,780 flows/s.
constexpr double serviceSeconds = 0.010;
constexpr std::size_t maxQueue = 64; ///< upstreams refuse when so many requests wait
constexpr monotonic_time callerDelay = 3ms;
constexpr monotonic_time retransmitDelay = 1s; ///< TCP's first; doubled each time
constexpr int maxTransmissions = 3;
constexpr int maxAttempts = 3; ///< further attempts after refusals
constexpr double retryAfterSeconds = 0.5;
constexpr monotonic_time warmUp = 11s; ///< the clock starts at 1 s
constexpr monotonic_time endOfFlows = 51s;
constexpr monotonic_time endOfRun = 62s;
constexpr int windowSeconds = 10; ///< load is averaged over about the reaction time of health
constexpr std::uint64_t noticeBytes = 74; ///< header 48, tag 16, item 10

} // namespace

void model::schedule(monotonic_time delay, event_kind kind, std::uint32_t a, std::uint32_t b)
{
    m_events.push({clock.time + delay, ++m_order, kind, a, b});
}

run_figures model::run()
{
    while (!m_events.empty() && m_events.top().time < endOfRun) {
        const event item = m_events.top();
        m_events.pop();
        clock.time = item.time;
        handle(item);
    }
    return figures();
}

void model::handle(const event &item)
{
    switch (item.kind) {
    case event_kind::NewFlow:
        return onNewFlow(static_cast<int>(item.a));
    case event_kind::Syn:
        return onSyn(item.a);
    case event_kind::Arrive:
        return onArrive(item.a, item.b);
    case event_kind::Complete:
        return onComplete(item.a, item.b);
    case event_kind::Report: {
        const pending_report &report = m_reports[item.a];
        fake_instance &instance = *m_instances[report.instance];
        if (instance.isUp && instance.epoch == report.epoch)
            instance.health->onReport(report.upstream, report.report);
        return;
    }
    case event_kind::Notice: {
        const pending_notice notice = m_notices[item.a];
        fake_instance &instance = *m_instances[notice.to];
        if (instance.isUp && reaches(m_instances[notice.from]->domain, instance.domain))
            instance.health->onNotice(notice.notice);
        return;
    }
    case event_kind::Lost:
        if (m_instances[item.b]->isUp)
            m_instances[item.b]->health->onSignal(upstream_id {item.a}, passive_signal::Unanswered);
        return;
    case event_kind::Tick:
        if (m_instances[item.a]->isUp)
            m_instances[item.a]->health->tick();
        return schedule(100ms, event_kind::Tick, item.a);
    case event_kind::Second:
        return onSecond();
    case event_kind::Fault:
        return onFault();
    case event_kind::FaultEnd:
        return onFaultEnd();
    case event_kind::Suspect:
        return onSuspect(item.a != 0);
    case event_kind::Restart:
        return onRestart(static_cast<int>(item.a), item.b);
    case event_kind::Apply:
        m_instances[item.a]->board.config = m_configs[1];
        m_instances[item.a]->board.configAppliedAt = clock.time;
        m_instances[item.a]->nextAppliedAt = clock.time;
        return;
    }
}

void model::onNewFlow(int service)
{
    if (clock.time < endOfFlows) {
        const double gap = -std::log(m_random.uniform()) / (m_rates[service] * m_burst);
        schedule(monotonic_time(static_cast<std::int64_t>(gap * 1e6)), event_kind::NewFlow,
                 service);
    }
    flow item;
    item.service = service;
    item.hash = m_random.next();
    item.firstSent = clock.time;
    m_flows.push_back(item);
    m_newFlows += isMeasured() ? 1 : 0;
    schedule(callerDelay, event_kind::Syn, static_cast<std::uint32_t>(m_flows.size() - 1));
}

void model::onSyn(std::uint32_t id)
{
    flow &item = m_flows[id];
    const int receiver = pickInstance();
    fake_instance &instance = *m_instances[receiver];
    const auto &service = *instance.board.config->services.at(
        service_id {static_cast<std::uint32_t>(item.service + 1)});
    const slot_entry &slot = service.slots[item.hash & (service.slots.size() - 1)];
    if (isBaseline()) {
        const upstream_id chosen = instance.placement->choose(service, slot, item.hash);
        return pass(id, receiver, chosen, 0ms);
    }
    if (slot.isTracked() || instance.placement->wasDeflected(slot.holder))
        return steerTracked(id, receiver, service, slot);
    item.home = -1;
    if (item.transmission == 0 && !instance.placement->admit(service))
        return refuse(id);
    pass(id, receiver, slot.holder, 0ms);
}

void model::steerTracked(std::uint32_t id, int receiver, const service_config &service,
                         const slot_entry &slot)
{
    flow &item = m_flows[id];
    const int home = homeOf(*m_instances[receiver], item.hash, -1);
    fake_instance &instance = *m_instances[home];
    if (home != receiver && isMeasured())
        ++m_relays;
    if (!instance.isUp || !reaches(m_instances[receiver]->domain, instance.domain))
        return retransmit(id);
    auto delay = hop(m_instances[receiver]->domain, instance.domain);
    item.home = home;
    item.secondHome = -1;

    upstream_id chosen = noUpstream;
    const bool isRetry = item.upstream != 0;
    if (isRetry && !instance.limiter->admitRetry(service)) {
        chosen = upstream_id {item.upstream}; // the retransmission follows the record
    } else if (!isRetry && !instance.placement->admit(service)) {
        return refuse(id);
    } else if (slot.next != slot.holder && clock.time - instance.nextAppliedAt < 2500ms) {
        chosen = slot.holder; // announced, but not yet known to every instance
    } else {
        const flow_hash hash = isRetry ? mixHash(item.hash, item.transmission) : item.hash;
        chosen = instance.placement->choose(service, slot, hash);
    }
    if (chosen == noUpstream)
        return refuse(id);
    int forwarder = home;
    if (chosen != slot.holder) {
        forwarder = item.secondHome = homeOf(instance, item.hash, home);
        m_exceptions += isMeasured() ? 1 : 0;
        m_relays += isMeasured() ? 1 : 0;
        if (!m_instances[forwarder]->isUp
            || !reaches(instance.domain, m_instances[forwarder]->domain))
            return retransmit(id);
        delay += hop(instance.domain, m_instances[forwarder]->domain);
    }
    pass(id, forwarder, chosen, delay);
}

void model::pass(std::uint32_t id, int forwarder, upstream_id upstream, monotonic_time delay)
{
    flow &item = m_flows[id];
    if (upstream == noUpstream)
        return refuse(id);
    item.upstream = idValue(upstream);
    item.known |= 1U << forwarder;
    const fake_upstream &target = m_upstreams[idValue(upstream) - 1];
    const int domain = m_instances[forwarder]->domain;
    if (!reaches(domain, target.domain)) {
        schedule(retransmitDelay, event_kind::Lost, idValue(upstream), forwarder);
        return retransmit(id);
    }
    schedule(delay + hop(domain, target.domain), event_kind::Arrive, id, idValue(upstream));
}

void model::retransmit(std::uint32_t id)
{
    flow &item = m_flows[id];
    const auto delay = retransmitDelay * (1 << item.transmission);
    if (++item.transmission > maxTransmissions) {
        m_failed += isMeasured() ? 1 : 0;
        return;
    }
    m_retries += isMeasured() ? 1 : 0;
    schedule(delay, event_kind::Syn, id);
}

void model::refuse(std::uint32_t id)
{
    flow &item = m_flows[id];
    const bool hasRoom =
        std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const fake_upstream &upstream) {
            return upstream.service == item.service && !upstream.isLeaving && !upstream.isShedding
                && upstream.busy < upstream.slots;
        });
    if (isMeasured()) {
        ++m_refusals;
        m_refusalsWithRoom += hasRoom ? 1 : 0;
    }
    if (item.attempt == maxAttempts) {
        m_failed += isMeasured() ? 1 : 0;
        return;
    }
    m_retries += isMeasured() ? 1 : 0;
    ++item.attempt;
    item.transmission = 0;
    item.upstream = 0;
    item.known = 0;
    item.hash = m_random.next(); // a new connection has a new port
    const double wait = retryAfterSeconds * (0.5 + m_random.uniform());
    schedule(monotonic_time(static_cast<std::int64_t>(wait * 1e6)), event_kind::Syn, id);
}

void model::onArrive(std::uint32_t id, std::uint32_t upstream)
{
    flow &item = m_flows[id];
    fake_upstream &target = m_upstreams[upstream - 1];
    if (isMeasured()) {
        ++m_arrivals;
        m_passedFlows += item.wasPassed ? 0 : 1;
    }
    item.wasPassed = true;
    const int observer = pickInstance();
    fake_instance &instance = *m_instances[observer];
    const bool isSeen = reaches(instance.domain, target.domain);
    if (target.isShedding || target.queue.size() >= maxQueue) {
        if (isSeen)
            instance.health->onSignal(upstream_id {upstream}, passive_signal::Refused);
        // In a tracked slot, home 1 holds the RST back and the caller's retransmission is placed
        // elsewhere, within the retry budget, which is taken when the retransmission arrives.
        if (!isBaseline() && item.home >= 0 && item.transmission == 0)
            return retransmit(id);
        return refuse(id);
    }
    if (isSeen) {
        instance.health->onSignal(upstream_id {upstream}, passive_signal::Accepted);
        item.known |= 1U << observer;
    }
    if (target.busy < target.slots)
        return startService(id, upstream);
    target.queue.push_back(id);
}

void model::startService(std::uint32_t id, std::uint32_t upstream)
{
    fake_upstream &target = m_upstreams[upstream - 1];
    account(target);
    ++target.busy;
    double factor = target.slowness;
    if (clock.time < target.coldUntil)
        factor += 2 * std::chrono::duration<double>(target.coldUntil - clock.time).count() / 20;
    const double seconds = -std::log(m_random.uniform()) * serviceSeconds * factor;
    schedule(monotonic_time(static_cast<std::int64_t>(seconds * 1e6)), event_kind::Complete, id,
             upstream);
}

void model::onComplete(std::uint32_t id, std::uint32_t upstream)
{
    fake_upstream &target = m_upstreams[upstream - 1];
    account(target);
    --target.busy;
    if (!target.queue.empty()) {
        const auto next = target.queue.front();
        target.queue.pop_front();
        startService(next, upstream);
    }
    flow &item = m_flows[id];
    const int observer = pickInstance();
    fake_instance &instance = *m_instances[observer];
    if (reaches(instance.domain, target.domain)) {
        instance.health->onSignal(upstream_id {upstream}, passive_signal::Answered);
        item.known |= 1U << observer;
    }
    const auto arrival = clock.time + hop(instance.domain, target.domain) + callerDelay;
    if (item.firstSent >= warmUp)
        m_times.push_back(
            std::chrono::duration<double, std::milli>(arrival - item.firstSent).count());
    countPackets(item);
}

void model::countPackets(flow &item)
{
    if (isBaseline() || item.home < 0 || !isMeasured())
        return;
    item.known |= 1U << item.home;
    if (item.secondHome >= 0)
        item.known |= 1U << item.secondHome;
    // The caller's ACK and request arrive anywhere; an instance that doesn't know the flow relays.
    for (int packet = 0; packet < 2; ++packet) {
        const auto bit = 1U << pickInstance();
        m_relays += (item.known & bit) == 0 ? 1 : 0;
        item.known |= bit;
    }
    m_relays += pickInstance() != item.home ? 1 : 0; // FIN
    m_relays += item.secondHome >= 0 ? 1 : 0;
}

void model::account(fake_upstream &upstream)
{
    upstream.busyTime +=
        upstream.busy * std::chrono::duration<double>(clock.time - upstream.lastChange).count();
    upstream.lastChange = clock.time;
}

void model::closeWindow()
{
    for (int service = 0; service < 2; ++service) {
        std::vector<double> loads;
        double sum = 0;
        for (fake_upstream &upstream : m_upstreams) {
            if (upstream.service != service)
                continue;
            account(upstream);
            // An upstream that drains is not meant to carry its share.
            if (!upstream.isLeaving) {
                loads.push_back(upstream.busyTime);
                sum += upstream.busyTime;
            }
            upstream.busyTime = 0;
        }
        const double mean = sum / static_cast<double>(loads.size());
        if (clock.time <= warmUp || clock.time > endOfFlows || mean <= 0)
            continue;
        for (const double load : loads)
            m_ratios.push_back(load / mean);
    }
}

void model::onSecond()
{
    schedule(1s, event_kind::Second);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(clock.time).count();
    if (seconds % windowSeconds == 1)
        closeWindow();
    for (auto &instance : m_instances) {
        // Pings repeat recent notices, which repairs losses.
        std::erase_if(instance->recent,
                      [&](const auto &item) { return clock.time - item.first > 10s; });
        const int to = static_cast<int>(m_random.next() % instanceCount);
        if (!instance->isUp || to == instance->index)
            continue;
        for (const auto &[time, notice] : instance->recent)
            sendNotice(*instance, to, notice);
    }
}

void model::sendNotice(fake_instance &from, int to, const upstream_notice &notice)
{
    m_controlBytes += isMeasured() ? noticeBytes : 0;
    m_notices.push_back({from.index, to, notice});
    schedule(hop(from.domain, m_instances[to]->domain), event_kind::Notice,
             static_cast<std::uint32_t>(m_notices.size() - 1));
}

bool model::isMeasured() const
{
    return clock.time >= warmUp && clock.time < endOfFlows;
}

run_figures model::figures()
{
    const auto quantile = [](std::vector<double> &values, double q) {
        if (values.empty())
            return 0.0;
        std::sort(values.begin(), values.end());
        return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
    };
    const double flows = static_cast<double>(std::max<std::uint64_t>(m_newFlows, 1));
    const double seconds = std::chrono::duration<double>(endOfFlows - warmUp).count();
    run_figures out;
    out.peakOverMean = quantile(m_ratios, 1);
    out.p99OverMean = quantile(m_ratios, 0.99);
    out.medianMs = quantile(m_times, 0.5);
    out.p99Ms = quantile(m_times, 0.99);
    out.p999Ms = quantile(m_times, 0.999);
    out.refusedPercent = 100 * static_cast<double>(m_refusals) / flows;
    out.failedPercent = 100 * static_cast<double>(m_failed) / flows;
    out.refusedWithRoomPercent = 100 * static_cast<double>(m_refusalsWithRoom) / flows;
    out.retriesPerFlow = static_cast<double>(m_retries) / flows;
    out.amplification = static_cast<double>(m_arrivals)
        / static_cast<double>(std::max<std::uint64_t>(m_passedFlows, 1));
    out.exceptionsPerSecond = static_cast<double>(m_exceptions) / seconds;
    out.relaysPerFlow = static_cast<double>(m_relays) / flows;
    out.controlBytesPerSecond = static_cast<double>(m_controlBytes) / seconds / instanceCount;
    return out;
}

run_figures runCase(const experiment_case &what, policy which, std::uint16_t slots,
                    std::uint64_t seed)
{
    return model(what, which, slots, seed).run();
}

} // namespace chicoryhead::experiment
