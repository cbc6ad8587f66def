/**
 * @file admission_controller.cpp
 * Control of the refused fraction, and its distribution over priorities.
 */

#include "admission_controller_base.h"

#include <algorithm>
#include <iterator>

namespace chicoryhead {

void admission_controller::setPolicy(const admission_policy &policy)
{
    if (policy == m_policy)
        return;
    m_policy = policy;
    for (auto &[service, state] : m_services)
        state.clearLevel();
}

void admission_controller::recordLatency(const std::string &service, monotonic_time latency,
                                         monotonic_time targetLatency, monotonic_time now)
{
    if (now - latency < m_resumedAt)
        return;
    service_state &state = stateOf(service);
    state.detector.addAnswer(latency, targetLatency, now);
    updateLevel(service, state, now);
}

void admission_controller::recordInProgress(const std::string &service, monotonic_time age,
                                            monotonic_time targetLatency, monotonic_time now)
{
    if (now - age < m_resumedAt)
        return;
    service_state &state = stateOf(service);
    state.detector.addInProgress(age, targetLatency, now);
    updateLevel(service, state, now);
}

void admission_controller::noteResumed(monotonic_time now)
{
    m_resumedAt = now;
    for (auto &[service, state] : m_services) {
        state.detector.discardSamples();
        state.clearLevel();
    }
}

bool admission_controller::isOverloaded(const std::string &service, monotonic_time now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.detector.isOverloaded(now);
}

bool admission_controller::admits(const std::string &service, unsigned priority, monotonic_time now)
{
    if (!m_policy.isEnabled)
        return true;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return true;
    service_state &state = found->second;
    updateLevel(service, state, now);
    const auto &priorities = prioritiesOf(service);
    const auto lower = std::distance(priorities.upper_bound(priority), priorities.end());
    double &credit = state.credits.try_emplace(priority, initialCredit).first->second;
    credit += fractionOf(state, static_cast<std::size_t>(lower), now);
    if (credit < 1)
        return true;
    credit -= 1;
    return false;
}

service_load admission_controller::loadOf(const std::string &service, monotonic_time now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return {};
    const service_state &state = found->second;
    return {state.detector.isOverloaded(now), state.detector.queueingDelay(),
            fractionOf(state, 0, now)};
}

std::size_t admission_controller::countOverloaded(monotonic_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_services.begin(), m_services.end(),
                      [&](const auto &entry) { return entry.second.detector.isOverloaded(now); }));
}

double admission_controller::highestFraction(monotonic_time now) const
{
    double highest = 0;
    for (const auto &[service, state] : m_services)
        highest = std::max(highest, fractionOf(state, 0, now));
    return highest;
}

admission_controller::service_state &admission_controller::stateOf(const std::string &service)
{
    return m_services.try_emplace(service, m_settings.overload).first->second;
}

void admission_controller::updateLevel(const std::string &service, service_state &state,
                                       monotonic_time now)
{
    if (state.detector.isSilent(now)) {
        state.clearLevel();
        return;
    }
    const auto ratio = state.detector.endInterval(now);
    if (!ratio || !m_policy.isEnabled)
        return;
    const double maxLevel =
        m_settings.maxFraction * static_cast<double>(prioritiesOf(service).size());
    if (*ratio > 1)
        state.level =
            std::min(maxLevel, state.level + m_settings.maxGrowth * std::min(1.0, *ratio - 0.5));
    else if (*ratio > m_settings.overload.calmRatio)
        state.level /= 2;
    else
        state.level =
            state.level < m_settings.minLevel ? 0 : state.level * m_settings.calmLevelFactor;
    const bool isFull = state.level > 0 && state.level >= maxLevel;
    if (!isFull) {
        state.fullSince = monotonic_time {0};
    } else if (state.fullSince.count() == 0) {
        state.fullSince = now;
    } else if (now - state.fullSince > m_settings.maxFullRefusal) {
        state.detector.acceptLatencies();
        state.clearLevel();
    }
}

/// Refused fraction of a priority: lower priorities are refused up to the limit first.
double admission_controller::fractionOf(const service_state &state, std::size_t lowerPriorities,
                                        monotonic_time now) const
{
    if (!m_policy.isEnabled || !state.detector.hasRecentDelay(now))
        return 0;
    const double taken = m_settings.maxFraction * static_cast<double>(lowerPriorities);
    return std::clamp(state.level - taken, 0.0, m_settings.maxFraction);
}

const std::set<unsigned> &admission_controller::prioritiesOf(const std::string &service)
{
    if (m_prioritiesVersion != m_routes.version()) {
        m_prioritiesVersion = m_routes.version();
        m_priorities.clear();
        for (const route &entry : m_routes.config().routes) {
            for (const route_target &target : entry.targets)
                m_priorities[target.service].insert(entry.priority);
        }
    }
    return m_priorities[service];
}

} // namespace chicoryhead
