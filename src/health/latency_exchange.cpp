/**
 * @file latency_exchange.cpp
 * Recording, reporting and merging of latency samples.
 */

#include "latency_exchange_base.h"

#include <algorithm>

namespace chicoryhead {

void latency_exchange::noteAnswered(upstream_id upstream, monotonic_time latency,
                                    monotonic_time now)
{
    m_placement.recordLatency(upstream, latency, now);
    addSample({upstream, latency, now});
}

void latency_exchange::noteUnanswered(upstream_id upstream, monotonic_time age, monotonic_time now)
{
    if (m_placement.recordUnansweredRequest(upstream, age, now))
        addSample({upstream, age, now});
}

void latency_exchange::addSample(const sample &measured)
{
    m_samples.push_front(measured);
    if (m_samples.size() > m_limits.maxReports)
        m_samples.pop_back();
}

std::vector<latency_report> latency_exchange::recentReports(monotonic_time now) const
{
    std::vector<latency_report> reports;
    for (const sample &measured : m_samples) {
        if (now - measured.at > m_limits.maxSampleAge)
            break;
        const auto *record = m_directory.find(measured.upstream);
        if (record == nullptr)
            continue;
        const auto latency = std::min(measured.latency, m_limits.maxLatency);
        const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(latency).count();
        reports.push_back({record->tag, static_cast<std::uint16_t>(milliseconds)});
    }
    return reports;
}

void latency_exchange::merge(const std::vector<latency_report> &reports, monotonic_time now)
{
    for (const latency_report &report : reports) {
        const auto *record = m_directory.findByTag(report.upstream);
        if (record != nullptr)
            m_placement.recordLatency(record->id, std::chrono::milliseconds(report.latencyMs), now);
    }
}

} // namespace chicoryhead
