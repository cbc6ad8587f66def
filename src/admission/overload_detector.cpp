/**
 * @file overload_detector.cpp
 * Best latencies by route, and the median delay of an interval.
 */

#include "overload_detector_base.h"

#include <algorithm>

namespace chicoryhead {

void overload_detector::addAnswer(monotonic_time latency, monotonic_time targetLatency,
                                  monotonic_time now)
{
    if (targetLatency.count() <= 0)
        return;
    const auto microseconds = static_cast<double>(latency.count());
    if (const auto sample = measure(microseconds, targetLatency)) {
        m_calmAnswers = sample->ratio < m_settings.calmRatio ? m_calmAnswers + 1 : 0;
        addSample(*sample, now);
    }
    updateBaseline(m_baselines[targetLatency], microseconds, now);
}

/// A request that is observed in progress has on average run for half of its latency, so it counts
/// as twice its age. An age that even then is calm is ignored. While the delay is
/// constant, each request has an answer as well, and the median is the lower of two. While the
/// delay grows, ages come before the answers.
void overload_detector::addInProgress(monotonic_time age, monotonic_time targetLatency,
                                      monotonic_time now)
{
    // Below the best latency an age is no delay, whatever it is doubled to.
    const auto baseline = m_baselines.find(targetLatency);
    if (baseline != m_baselines.end() && static_cast<double>(age.count()) <= baseline->second.best)
        return;
    const auto sample = measure(2 * static_cast<double>(age.count()), targetLatency);
    if (!sample || sample->ratio < m_settings.calmRatio)
        return;
    if (sample->ratio > 1)
        m_calmAnswers = 0;
    addSample(*sample, now);
}

std::optional<overload_detector::measurement>
overload_detector::measure(double latency, monotonic_time targetLatency) const
{
    const auto found = m_baselines.find(targetLatency);
    if (found == m_baselines.end() || found->second.best <= 0)
        return std::nullopt;
    const double best = found->second.best;
    const double left = static_cast<double>(targetLatency.count()) - best;
    // The service can't reach this target even without load.
    if (left <= 0)
        return std::nullopt;
    const double delay = std::max(0.0, latency - best);
    return measurement {delay / (left * m_settings.thresholdFraction),
                        monotonic_time(static_cast<monotonic_time::rep>(delay))};
}

void overload_detector::updateBaseline(baseline &route, double latency, monotonic_time now) const
{
    route.block.at(route.count++) = latency;
    if (route.count < baseline::blockSize)
        return;
    route.count = 0;
    const auto middle = route.block.begin() + (baseline::blockSize - 1) / 2;
    std::nth_element(route.block.begin(), middle, route.block.end());
    route.lastMedian = *middle;
    if (route.best > 0) {
        const double seconds = std::chrono::duration<double>(now - route.updatedAt).count();
        const bool isLoaded = m_result.ratio > m_settings.calmRatio;
        const double growth = isLoaded ? m_settings.loadedGrowth : m_settings.bestLatencyGrowth;
        route.best = std::min(route.lastMedian, route.best * (1 + growth * seconds));
    } else {
        route.best = route.lastMedian;
    }
    route.updatedAt = now;
}

void overload_detector::addSample(const measurement &sample, monotonic_time now)
{
    if (isSilent(now))
        discardSamples();
    if (m_samples.empty())
        m_intervalStartedAt = now;
    m_samples.push_back(sample);
    m_lastSampleAt = now;
    m_delayedSamples = sample.ratio > 1 ? m_delayedSamples + 1 : 0;
    if (sample.ratio > 1)
        m_lastDelayAt = now;
}

std::optional<double> overload_detector::endInterval(monotonic_time now)
{
    if (m_calmAnswers >= m_settings.calmAnswers && m_result.ratio > m_settings.calmRatio) {
        m_samples.clear();
        m_result = {};
        return m_result.ratio;
    }
    const auto length = now - m_intervalStartedAt;
    const bool isUnanimous = m_delayedSamples >= m_settings.minUnanimousSamples;
    // The first delay that is certain ends the interval at once.
    const bool isFirst = isUnanimous && m_result.ratio <= 1;
    if (m_samples.empty() || (length < m_settings.minInterval && !isFirst))
        return std::nullopt;
    const bool isLate = length >= m_settings.maxInterval;
    const auto needed = isLate ? m_settings.minUnanimousSamples : m_settings.minSamples;
    if (isUnanimous) {
        const auto latest = std::min<std::size_t>(m_samples.size(), m_delayedSamples);
        m_samples.erase(m_samples.begin(), m_samples.end() - static_cast<std::ptrdiff_t>(latest));
    } else if (m_samples.size() < needed) {
        if (isLate)
            m_samples.clear();
        return std::nullopt;
    }
    // The lower median: of two samples per request, the answer counts.
    const auto middle = m_samples.begin() + static_cast<std::ptrdiff_t>((m_samples.size() - 1) / 2);
    std::nth_element(m_samples.begin(), middle, m_samples.end(),
                     [](const measurement &a, const measurement &b) { return a.ratio < b.ratio; });
    m_result = *middle;
    m_resultInterval = std::clamp(length, m_settings.minInterval, m_settings.maxInterval);
    m_samples.clear();
    return m_result.ratio;
}

bool overload_detector::isOverloaded(monotonic_time now) const
{
    return m_result.ratio > 1 && hasRecentDelay(now);
}

bool overload_detector::hasRecentDelay(monotonic_time now) const
{
    return now - m_lastDelayAt <= std::min(m_resultInterval, m_settings.maxDelayAge)
        && m_calmAnswers < m_settings.firstCalmAnswers;
}

void overload_detector::discardSamples()
{
    m_samples.clear();
    m_result = {};
    m_resultInterval = monotonic_time {0};
    m_calmAnswers = 0;
    m_delayedSamples = 0;
}

void overload_detector::acceptLatencies()
{
    for (auto &[target, route] : m_baselines)
        route.best = std::max(route.best, route.lastMedian);
    discardSamples();
}

} // namespace chicoryhead
