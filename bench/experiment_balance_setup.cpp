/**
 * @file experiment_balance_setup.cpp
 * Construction of the model, its faults, members and reports.
 */

#include "experiment_balance_parts.h"

#include <algorithm>

namespace chicoryhead::experiment {

using namespace std::chrono_literals;

namespace {

constexpr double serviceSeconds = 0.010;
constexpr monotonic_time faultStart = 10s; ///< after the start of the clock at 1 s
constexpr monotonic_time faultEnd = 40s;
constexpr monotonic_time burstEnd = 15s;
constexpr monotonic_time reportDelay = 50ms;
constexpr monotonic_time lateDelay = 5s;
constexpr monotonic_time probeTimeout = 500ms;
constexpr std::uint64_t probeBytes = 400; ///< HTTP request and response
constexpr int cutDomain = 2;
constexpr std::array<std::uint32_t, 3> shedding {1, 6, 11};
constexpr std::uint32_t faultyUpstream = 1;

instance_id idOf(int index)
{
    return instance_id {static_cast<std::uint32_t>(index + 1)};
}

} // namespace

void fake_instance::probe(upstream_id upstream, const endpoint &)
{
    owner.sendProbe(*this, upstream);
}

void fake_instance::spread(const upstream_notice &notice)
{
    recent.emplace_back(owner.clock.time, notice);
    for (int copy = 0; copy < 3; ++copy) {
        const int to = static_cast<int>(random.next() % instanceCount);
        if (to != index)
            owner.sendNotice(*this, to, notice);
    }
}

model::model(const experiment_case &what, policy which, std::uint16_t slots, std::uint64_t seed)
    : m_case(what), m_policy(which), m_random(seed)
{
    buildConfigs(slots);
    for (int i = 0; i < instanceCount; ++i) {
        m_instances.push_back(std::make_unique<fake_instance>(*this, i, seed));
        buildInstance(i);
    }
    for (int i = 0; i < instanceCount; ++i) {
        setMember(i, member_state::Ready);
        schedule(monotonic_time(i * 6667), event_kind::Tick, i);
    }
    for (std::uint32_t service = 0; service < 2; ++service)
        schedule(0ms, event_kind::NewFlow, service);
    schedule(1s, event_kind::Second);
    schedule(faultStart, event_kind::Fault);
    schedule(what.kind == fault::Burst ? burstEnd : faultEnd, event_kind::FaultEnd);
}

void model::buildConfigs(std::uint16_t slots)
{
    for (int version = 0; version < 2; ++version) {
        m_configs[version] = std::make_shared<configuration>();
        m_configs[version]->version = version + 1;
    }
    std::uint32_t nextId = 0;
    for (int index = 0; index < 2; ++index) {
        const int count = upstreamCounts[index];
        service_config service;
        service.id = service_id {static_cast<std::uint32_t>(index + 1)};
        const double capacity = count * slots / serviceSeconds;
        m_rates[index] = m_case.load * capacity;
        service.limits.newFlowsPerSecond = static_cast<std::uint32_t>(capacity);
        for (int i = 0; i < count; ++i) {
            upstream_config upstream;
            upstream.id = upstream_id {++nextId};
            upstream.domain = domain_id(i % domainCount);
            upstream.health = {nextId, 80};
            upstream.slots = slots;
            service.upstreams.push_back(upstream);
            fake_upstream fake;
            fake.service = index;
            fake.domain = i % domainCount;
            fake.slots = slots;
            m_upstreams.push_back(fake);
        }
        const bool isTracked = m_policy == policy::TrackedMode;
        for (int i = 0; i < slotCounts[index]; ++i) {
            const upstream_id holder = service.upstreams[i % count].id;
            service.slots.push_back({holder, holder, isTracked});
        }
        m_configs[0]->services[service.id] = std::make_shared<service_config>(service);
        // In the second version the first half of the upstreams is leaving.
        const int leaving = count / 2;
        for (int i = 0; i < leaving; ++i)
            service.upstreams[i].mode = upstream_mode::Leaving;
        int next = leaving;
        for (slot_entry &slot : service.slots) {
            if (service.upstreams[idValue(slot.holder) - idValue(service.upstreams[0].id)].mode
                == upstream_mode::Active)
                continue;
            slot.next = service.upstreams[next].id;
            next = next + 1 < count ? next + 1 : leaving;
        }
        m_configs[1]->services[service.id] = std::make_shared<service_config>(service);
    }
}

void model::buildInstance(int index)
{
    fake_instance &instance = *m_instances[index];
    instance.board.config = m_configs[0];
    instance.board.configAppliedAt = clock.time;
    instance.board.self.id = idOf(index);
    instance.board.self.domain = domain_id(instance.domain);
    instance.health = std::make_unique<health_controller>(clock, instance.random, instance.board,
                                                          instance, instance);
    instance.limiter = std::make_unique<flow_limiter>(clock, instance.random, instance.board);
    switch (m_policy) {
    case policy::Uniform:
        instance.placement = makeUniformPlacement();
        break;
    case policy::WeightedHash:
        instance.placement = makeWeightedHashPlacement();
        break;
    default:
        instance.placement = makeLoadAwarePlacement(clock, instance.board, *instance.limiter);
    }
}

void model::sendProbe(fake_instance &instance, upstream_id upstream)
{
    if (isBaseline())
        return; // baselines use no reports
    m_controlBytes += isMeasured() ? probeBytes : 0;
    fake_upstream &target = m_upstreams[idValue(upstream) - 1];
    pending_report report {instance.index, instance.epoch, upstream, std::nullopt};
    auto delay = probeTimeout;
    const bool isGone = m_isFaulty && m_case.kind == fault::NoReports;
    if (!isGone && reaches(instance.domain, target.domain)) {
        report.report = snapshot(target);
        const bool isLate = m_isFaulty && m_case.kind == fault::LateReports;
        delay = (isLate ? lateDelay : reportDelay) + 2 * hop(instance.domain, target.domain);
    }
    m_reports.push_back(report);
    schedule(delay, event_kind::Report, static_cast<std::uint32_t>(m_reports.size() - 1));
}

load_report model::snapshot(fake_upstream &upstream)
{
    if (upstream.isFrozen)
        return upstream.frozen;
    load_report report;
    report.isHealthy = true;
    report.isShedding = upstream.isShedding;
    report.busySlots = static_cast<std::uint32_t>(upstream.busy);
    report.queued = static_cast<std::uint32_t>(upstream.queue.size());
    report.openFlows = report.busySlots + report.queued;
    report.startedAt = upstream.startedAt;
    report.sequence = ++upstream.sequence;
    return report;
}

void model::onFault()
{
    m_isFaulty = true;
    fake_upstream &faulty = m_upstreams[faultyUpstream - 1];
    switch (m_case.kind) {
    case fault::HalfSpeed:
        faulty.slowness = 2;
        break;
    case fault::Cold:
        faulty.coldUntil = clock.time + 20s;
        faulty.startedAt = 2;
        break;
    case fault::Shedding:
        for (const std::uint32_t id : shedding)
            m_upstreams[id - 1].isShedding = true;
        break;
    case fault::FrozenReport:
        faulty.frozen = snapshot(faulty);
        faulty.frozen.busySlots = 0;
        faulty.frozen.queued = 0;
        faulty.isFrozen = true;
        break;
    case fault::Burst:
        m_burst = 5;
        break;
    case fault::Draining:
        for (fake_upstream &upstream : m_upstreams) {
            const auto index = static_cast<int>(&upstream - m_upstreams.data());
            const int inService = upstream.service == 0 ? index : index - upstreamCounts[0];
            upstream.isLeaving = inService < upstreamCounts[upstream.service] / 2;
        }
        for (int i = 0; i < instanceCount; ++i)
            schedule(monotonic_time(i * 130000), event_kind::Apply, i);
        break;
    case fault::CutOff:
        m_isCut = true;
        schedule(1s, event_kind::Suspect, 1);
        break;
    case fault::RollingRestart:
        for (int i = 0; i < instanceCount; ++i)
            schedule(i * 2s, event_kind::Restart, i, 0);
        break;
    default:
        break;
    }
}

void model::onFaultEnd()
{
    m_isFaulty = false;
    m_isCut = false;
    m_burst = 1;
    for (fake_upstream &upstream : m_upstreams) {
        upstream.isShedding = false;
        upstream.isFrozen = false;
        upstream.slowness = 1;
    }
    if (m_case.kind == fault::CutOff)
        schedule(1s, event_kind::Suspect, 0);
}

void model::onSuspect(bool isStart)
{
    for (auto &instance : m_instances) {
        for (auto &[id, item] : instance->board.members) {
            const bool isOther =
                (item.domain == domain_id {cutDomain}) != (instance->domain == cutDomain);
            if (isOther)
                item.state = isStart ? member_state::Suspect : member_state::Ready;
        }
        ++instance->board.membersRevision;
    }
}

void model::onRestart(int index, std::uint32_t step)
{
    fake_instance &instance = *m_instances[index];
    switch (step) {
    case 0:
        setMember(index, member_state::Leaving);
        return schedule(2s, event_kind::Restart, index, 1);
    case 1:
        instance.isUp = false;
        return schedule(1s, event_kind::Restart, index, 2);
    case 2: {
        ++instance.epoch;
        const fake_instance &peer = *m_instances[(index + 1) % instanceCount];
        instance.board = blackboard {};
        instance.recent.clear();
        buildInstance(index);
        instance.board.members = peer.board.members;
        instance.board.upstreams = peer.board.upstreams;
        for (auto &[id, state] : instance.board.upstreams)
            state.reportedAt = monotonic_time {0};
        instance.isUp = true;
        setMember(index, member_state::Joining);
        return schedule(3s, event_kind::Restart, index, 3);
    }
    default:
        setMember(index, member_state::Ready);
    }
}

void model::setMember(int index, member_state state)
{
    for (auto &instance : m_instances) {
        member &item = instance->board.members[idOf(index)];
        item.id = idOf(index);
        item.domain = domain_id(m_instances[index]->domain);
        item.state = state;
        ++instance->board.membersRevision;
    }
}

int model::pickInstance()
{
    while (true) {
        const int index = static_cast<int>(m_random.next() % instanceCount);
        if (m_instances[index]->isUp)
            return index;
    }
}

int model::homeOf(const fake_instance &viewer, flow_hash hash, int besides) const
{
    int best = viewer.index;
    std::uint64_t bestScore = 0;
    for (const bool otherDomain : {true, false}) {
        for (const auto &[id, item] : viewer.board.members) {
            const int index = static_cast<int>(idValue(id)) - 1;
            if (item.state != member_state::Ready || index == besides)
                continue;
            const bool isOther =
                besides < 0 || m_instances[besides]->domain != m_instances[index]->domain;
            if (otherDomain && !isOther)
                continue;
            const auto score = mixHash(hash, idValue(id));
            if (score > bestScore) {
                bestScore = score;
                best = index;
            }
        }
        if (bestScore > 0)
            return best;
    }
    return best;
}

bool model::reaches(int domainA, int domainB) const
{
    return !m_isCut || (domainA == cutDomain) == (domainB == cutDomain);
}

monotonic_time model::hop(int domainA, int domainB) const
{
    return domainA == domainB ? 200us : 1500us;
}

bool model::isBaseline() const
{
    return m_policy == policy::Uniform || m_policy == policy::WeightedHash;
}

} // namespace chicoryhead::experiment
