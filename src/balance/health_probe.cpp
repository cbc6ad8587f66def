/**
 * @file health_probe.cpp
 * Choice of probers, probes, and comparison of an upstream with the others of its service.
 */

#include "health_base.h"

#include <algorithm>
#include <map>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::size_t probersPerUpstream = 2;
/// Other upstreams that are probed while one seems overloaded; a prober's own may be too few.
/// One of them is probed each half interval, so that overload adds at most two probes a second.
constexpr std::size_t comparisons = 4;
constexpr int minComparisons = 3; ///< fresh reports of others that a comparison needs

} // namespace

void health_controller::refreshUpstreams()
{
    if (m_config == m_board.config)
        return;
    // Versions share the services that they don't change, so equal pointers need no work; at 59,000
    // upstreams a whole rebuild took most of the time of a change.
    const auto &services = m_board.config->services;
    for (const auto &[id, service] : m_config->services) {
        const auto now = services.find(id);
        if (now == services.end())
            removeService(*service);
        else if (now->second != service)
            replaceService(*service, *now->second);
    }
    for (const auto &[id, service] : services) {
        if (!m_config->services.contains(id))
            addUpstreams(*service);
    }
    m_config = m_board.config;
    dropStrayStates();
    chooseProbers();
}

void health_controller::removeService(const service_config &service)
{
    for (const upstream_config &upstream : service.upstreams) {
        m_records.erase(upstream.id);
        m_board.upstreams.erase(upstream.id);
    }
    m_services.erase(service.id);
}

void health_controller::replaceService(const service_config &before, const service_config &service)
{
    for (const upstream_config &upstream : before.upstreams) {
        if (service.findUpstream(upstream.id))
            continue;
        m_records.erase(upstream.id);
        m_board.upstreams.erase(upstream.id);
    }
    addUpstreams(service);
}

void health_controller::addUpstreams(const service_config &service)
{
    auto &ids = m_services[service.id];
    ids.clear();
    for (const upstream_config &upstream : service.upstreams) {
        record &entry = m_records[upstream.id];
        entry.service = service.id;
        entry.domain = upstream.domain;
        entry.health = upstream.health;
        entry.weight = upstream.weight;
        entry.isLeaving = upstream.mode == upstream_mode::Leaving;
        entry.slots = std::max<std::uint16_t>(upstream.slots, 1);
        ids.push_back(upstream.id);
        m_board.upstreams.try_emplace(upstream.id);
    }
}

void health_controller::dropStrayStates()
{
    if (m_board.upstreams.size() <= m_records.size())
        return;
    // A notice may concern an upstream that only a later version contains; without its state, the
    // slots of that upstream would count as untracked once the version arrives.
    std::erase_if(m_board.upstreams, [this](const auto &item) {
        return idValue(item.first) <= m_config->lastUpstreamId && !m_records.contains(item.first);
    });
}

void health_controller::chooseProbers()
{
    m_membersRevision = m_board.membersRevision;
    std::map<domain_id, std::vector<instance_id>> ready;
    std::vector<instance_id> allReady;
    for (const auto &[id, candidate] : m_board.members) {
        if (candidate.state != member_state::Ready)
            continue;
        ready[candidate.domain].push_back(id);
        allReady.push_back(id);
    }
    m_probed.clear();
    for (auto &[id, entry] : m_records) {
        const auto local = ready.find(entry.domain);
        const bool isChosen = choosesSelf(id, local != ready.end() ? local->second : allReady);
        if (isChosen && !entry.isProber) {
            // A random first probe spreads the probes of all instances over the interval.
            entry.probeDue = m_clock.now() + jitter(m_settings.probeInterval / 2);
            entry.failures = 0;
            entry.repeats = 0;
        }
        entry.isProber = isChosen;
        if (isChosen)
            m_probed.push_back(id);
    }
}

bool health_controller::choosesSelf(upstream_id upstream,
                                    const std::vector<instance_id> &candidates) const
{
    const instance_id self = m_board.self.id;
    if (!std::binary_search(candidates.begin(), candidates.end(), self))
        return false;
    const auto own = mixHash(idValue(upstream), idValue(self));
    std::size_t ahead = 0;
    for (const instance_id id : candidates) {
        if (id != self && mixHash(idValue(upstream), idValue(id)) > own
            && ++ahead == probersPerUpstream)
            return false;
    }
    return true;
}

void health_controller::startProbes(monotonic_time now)
{
    for (const upstream_id id : m_probed) {
        record &entry = m_records.at(id);
        if (entry.refused >= m_settings.signalFailures && !entry.isRefusalProbed) {
            entry.isRefusalProbed = true; // the report tells a full upstream from a shedding one
            entry.probeDue = now;
        }
        startProbe(id, entry, now);
        if (isSuspicious(entry))
            probeOthers(id, entry, now);
        else
            entry.suspectSince = monotonic_time {0};
    }
}

bool health_controller::startProbe(upstream_id upstream, record &entry, monotonic_time now)
{
    if (entry.health.port == 0 || entry.probeDue > now)
        return false;
    entry.probeDue = now + m_settings.probeInterval;
    m_prober.probe(upstream, entry.health);
    return true;
}

void health_controller::probeOthers(upstream_id upstream, record &entry, monotonic_time now)
{
    if (entry.suspectSince.count() == 0) {
        entry.suspectSince = now;
        entry.isCompared = false;
    }
    if (now < m_comparisonDue)
        return;
    std::vector<std::pair<std::uint64_t, upstream_id>> others;
    for (const upstream_id id : m_services.at(entry.service)) {
        if (id != upstream && isAccepting(id, m_records.at(id)))
            others.emplace_back(mixHash(idValue(upstream), idValue(id)), id);
    }
    const auto count = std::min(others.size(), comparisons);
    const auto last = others.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(others.begin(), last, others.end());
    std::sort(others.begin(), last, [this](const auto &a, const auto &b) {
        return m_records.at(a.second).probeDue < m_records.at(b.second).probeDue;
    });
    // The first comparison needs several reports at once; its probes are saved up afterwards.
    const std::size_t wanted = entry.isCompared ? 1 : static_cast<std::size_t>(minComparisons);
    entry.isCompared = true;
    m_comparisonDue = now;
    for (std::size_t i = 0; i < std::min(wanted, count); ++i) {
        record &other = m_records.at(others[i].second);
        if (wanted > 1)
            other.probeDue = now;
        if (startProbe(others[i].second, other, now))
            m_comparisonDue += m_settings.probeInterval / 2;
    }
}

bool health_controller::isSuspicious(const record &entry) const
{
    return isFull(entry) && entry.queue >= m_settings.queueOn / 2;
}

bool health_controller::isFull(const record &entry) const
{
    // The smoothed share takes six reports from 70% to 95%; the smoothed queue guards against
    // noise.
    const double last = static_cast<double>(entry.last.busySlots) / entry.slots;
    return entry.hasReport && std::max(entry.busy, last) >= m_settings.overloadOn;
}

bool health_controller::isComparable(upstream_id upstream, const record &entry,
                                     monotonic_time since) const
{
    if (!isAccepting(upstream, entry) || !entry.hasReport)
        return false;
    const upstream_state &state = m_board.upstreams.at(upstream);
    return state.reportedAt.count() > 0 && state.reportedAt >= since;
}

bool health_controller::isAccepting(upstream_id upstream, const record &entry) const
{
    // A leaving or deflected upstream is idle for want of flows.
    const auto found = m_board.upstreams.find(upstream);
    return !entry.isLeaving && found != m_board.upstreams.end()
        && found->second.condition == upstream_condition::Open;
}

double health_controller::lostShare(service_id service, upstream_id added) const
{
    const auto now = m_clock.now();
    double total = 0;
    double lost = 0;
    for (const upstream_id id : m_services.at(service)) {
        const record &entry = m_records.at(id);
        if (entry.isLeaving)
            continue;
        total += entry.weight;
        const auto found = m_board.upstreams.find(id);
        if (id == added) {
            lost += entry.weight;
        } else if (found != m_board.upstreams.end() && found->second.incarnation > 0) {
            const upstream_state &state = found->second;
            const bool isRamping = now - state.changedAt < m_settings.rampTime;
            const bool isOpen = state.condition == upstream_condition::Open;
            lost += !isOpen ? entry.weight : isRamping ? entry.weight / 2.0 : 0;
        }
    }
    return total > 0 ? lost / total : 0;
}

bool health_controller::hasRoomElsewhere(const record &entry, upstream_id upstream) const
{
    if (entry.suspectSince.count() == 0)
        return false;
    // Reports from before the overload would show room in a burst that fills all upstreams.
    const auto since = std::max(m_clock.now() - m_settings.freshness, entry.suspectSince);
    double busy = 0;
    double queue = 0;
    int count = 0;
    int others = 0;
    for (const upstream_id id : m_services.at(entry.service)) {
        const record &other = m_records.at(id);
        if (id == upstream)
            continue;
        others += isAccepting(id, other) ? 1 : 0;
        if (!isComparable(id, other, since))
            continue;
        busy += other.busy;
        queue += other.queue;
        ++count;
    }
    // One sample of a few slots is mostly noise.
    const bool isEnough = count > 0 && count >= std::min(others, minComparisons);
    if (!isEnough)
        return false;
    // The others take over the whole load of the deflected upstream.
    return busy / count + 1.0 / others <= m_settings.overloadOn && queue < count;
}

bool health_controller::isRefusalGeneral(service_id service) const
{
    int upstreams = 0;
    int refusing = 0;
    for (const upstream_id id : m_services.at(service)) {
        const record &entry = m_records.at(id);
        ++upstreams;
        refusing += entry.refused >= 1 ? 1 : 0;
    }
    return 2 * refusing > upstreams;
}

} // namespace chicoryhead
