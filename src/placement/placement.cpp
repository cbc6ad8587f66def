/**
 * @file placement/placement.cpp
 * Round robin that prefers the own failure domain.
 */

#include "placement_base.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace chicoryhead {

namespace {

/// Spreads hashes evenly between 0 and 1.
double toFraction(std::uint64_t hash)
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(hash % steps) / static_cast<double>(steps);
}

} // namespace

domain_first_placement::domain_first_placement(const upstream_directory &directory,
                                               placement_position position, placement_limits limits)
    : m_directory(directory)
    , m_position(std::move(position))
    , m_limits(limits)
    , m_turn(toFraction(mixHash(m_position.seed, 0)))
{
}

void domain_first_placement::setTurn(std::size_t place, std::size_t count)
{
    assert(place < count);
    m_turn = static_cast<double>(place) / static_cast<double>(count);
}

std::optional<upstream_id> domain_first_placement::choose(const std::string &service,
                                                          std::span<const upstream_id> tried,
                                                          monotonic_time now)
{
    const auto upstreams = m_directory.ofService(service);
    const auto groups = group(upstreams, tried, now);
    const auto best = std::find_if(groups.begin(), groups.end(),
                                   [](const auto &options) { return !options.empty(); });
    if (best == groups.end())
        return std::nullopt;
    const double median = medianLatency(upstreams, now);
    const bool leaves = best == groups.begin() && leavesDomain(service, groups, median, now);
    const auto &options =
        leaves ? groups.at(static_cast<std::size_t>(choice_group::OtherDomain)) : *best;
    return takeTurn(options, median, now);
}

domain_first_placement::grouped_upstreams
domain_first_placement::group(std::span<const upstream_id> upstreams,
                              std::span<const upstream_id> tried, monotonic_time now) const
{
    grouped_upstreams groups;
    for (const upstream_id id : upstreams) {
        const auto group = groupOf(*m_directory.find(id), tried, now);
        if (group != choice_group::None)
            groups.at(static_cast<std::size_t>(group)).push_back(id);
    }
    trustSuspected(groups);
    return groups;
}

/// Moves upstreams that only this instance suspects back to the others when they are too many.
void domain_first_placement::trustSuspected(grouped_upstreams &groups) const
{
    const auto slotsOf = [this](const std::vector<upstream_id> &upstreams) {
        unsigned slots = 0;
        for (const upstream_id id : upstreams)
            slots += m_directory.find(id)->announced.slots;
        return slots;
    };
    auto &suspected = groups.at(static_cast<std::size_t>(choice_group::Suspected));
    unsigned total = 0;
    for (const auto &upstreams : groups)
        total += slotsOf(upstreams);
    if (slotsOf(suspected) <= m_limits.maxSuspectedPart * total)
        return;
    std::erase_if(suspected, [&](upstream_id id) {
        if (m_experience.find(id)->second.isDead)
            return false;
        const bool isOwn = m_directory.find(id)->announced.domain == m_position.domain;
        const auto group = isOwn ? choice_group::OwnDomain : choice_group::OtherDomain;
        groups.at(static_cast<std::size_t>(group)).push_back(id);
        return true;
    });
}

bool domain_first_placement::leavesDomain(const std::string &service,
                                          const grouped_upstreams &groups, double median,
                                          monotonic_time now)
{
    if (groups.at(static_cast<std::size_t>(choice_group::OtherDomain)).empty())
        return false;
    double &owed = m_owedToOthers[service];
    owed += 1 - keptShare(service, groups, median, now);
    if (owed < 1)
        return false;
    owed -= 1;
    return true;
}

double domain_first_placement::keptShare(const std::string &service,
                                         const grouped_upstreams &groups, double median,
                                         monotonic_time now) const
{
    const auto &ownUpstreams = groups.at(static_cast<std::size_t>(choice_group::OwnDomain));
    const auto &others = groups.at(static_cast<std::size_t>(choice_group::OtherDomain));
    const double own = capacityOf(ownUpstreams, median, now);
    const double mean =
        (own + capacityOf(others, median, now)) / static_cast<double>(m_position.domainCount);
    const double byCapacity = std::min(1.0, own / (m_limits.keptCapacity * mean));

    const auto best = m_best.find(service);
    const double ownLatency = usualLatency(ownUpstreams, now);
    if (best == m_best.end() || best->second.latency <= 0
        || ownLatency <= m_limits.crowdedRatio * best->second.latency)
        return byCapacity;
    // The share falls with the square, so that it settles where latency is a little above the
    // ratio.
    const double crowding = ownLatency / (m_limits.crowdedRatio * best->second.latency);
    return byCapacity / (crowding * crowding);
}

double domain_first_placement::capacityOf(std::span<const upstream_id> upstreams, double median,
                                          monotonic_time now) const
{
    double capacity = 0;
    for (const upstream_id id : upstreams)
        capacity += weightOf(*m_directory.find(id), median, now);
    return capacity;
}

/// The best latency is that of a whole domain: a single upstream of hundreds always had some short
/// requests lately, and beside it each domain would seem crowded.
void domain_first_placement::noteBestLatency(const upstream_record &measured, monotonic_time now)
{
    best_latency &best = m_best[measured.announced.service];
    if (now < best.nextCheck)
        return;
    best.nextCheck = now + m_limits.bestLatencyPause;
    std::vector<upstream_id> sameDomain;
    for (const upstream_id id : m_directory.ofService(measured.announced.service)) {
        const auto *record = m_directory.find(id);
        if (record->announced.domain == measured.announced.domain && takesNewFlows(*record))
            sameDomain.push_back(id);
    }
    const double latency = usualLatency(sameDomain, now);
    if (latency <= 0)
        return;
    if (best.latency > 0) {
        const double seconds = std::chrono::duration<double>(now - best.at).count();
        best.latency *= 1 + m_limits.bestLatencyGrowth * seconds;
    }
    best.at = now;
    if (best.latency <= 0 || latency < best.latency)
        best.latency = latency;
}

/// Median latency of some upstreams; 0 if too few of them were measured lately to speak for all.
double domain_first_placement::usualLatency(std::span<const upstream_id> upstreams,
                                            monotonic_time now) const
{
    const auto measured = std::count_if(upstreams.begin(), upstreams.end(), [&](upstream_id id) {
        const auto found = m_experience.find(id);
        return found != m_experience.end() && isMeasured(found->second, now);
    });
    const bool isEnough = static_cast<double>(measured)
        >= m_limits.measuredPart * static_cast<double>(upstreams.size());
    return isEnough ? medianLatency(upstreams, now) : 0;
}

bool domain_first_placement::isMeasured(const experience &known, monotonic_time now) const
{
    return known.latencies >= m_limits.minLatencies
        && now - known.latencyAt <= m_limits.latencyMemory;
}

bool domain_first_placement::noteUnanswered(upstream_id upstream, monotonic_time now)
{
    experience &known = experienceOf(upstream);
    const bool wasSuspected = known.suspectedUntil > now;
    known.suspectedUntil = now + suspicionAfter(known.unanswered);
    ++known.unanswered;
    const auto *record = m_directory.find(upstream);
    if (record != nullptr && record->announced.domain != m_position.domain) {
        domain_path &path = m_paths[record->announced.domain];
        path.doubtedUntil = now + suspicionAfter(path.unanswered);
        ++path.unanswered;
    }
    return !wasSuspected;
}

monotonic_time domain_first_placement::suspicionAfter(unsigned unanswered) const
{
    const unsigned doublings = std::min(unanswered, 8U);
    return std::min(m_limits.suspicion * (1U << doublings), m_limits.maxSuspicion);
}

bool domain_first_placement::isDoubtfulPath(const std::string &domain, monotonic_time now) const
{
    const auto found = m_paths.find(domain);
    return found != m_paths.end() && found->second.doubtedUntil > now;
}

bool domain_first_placement::noteAnswered(upstream_id upstream)
{
    const auto *record = m_directory.find(upstream);
    if (record != nullptr)
        m_paths.erase(record->announced.domain);
    const auto found = m_experience.find(upstream);
    if (found == m_experience.end())
        return false;
    found->second.suspectedUntil = monotonic_time {0};
    found->second.isDead = false;
    return std::exchange(found->second.unanswered, 0) > 0;
}

void domain_first_placement::avoid(upstream_id upstream, bool isDead, monotonic_time now)
{
    experience &known = experienceOf(upstream);
    auto duration = m_limits.suspicion;
    if (isDead) {
        // Instances that learnt of it together must not all try it again in one moment.
        const double share = jitterOf(upstream, now);
        duration = monotonic_time(static_cast<monotonic_time::rep>(
            static_cast<double>(m_limits.maxSuspicion.count()) * (0.5 + share / 2)));
    }
    known.suspectedUntil = std::max(known.suspectedUntil, now + duration);
    known.unanswered = std::max(known.unanswered, 1U);
    known.isDead = known.isDead || isDead;
}

/// Differs between instances, upstreams and times; from 0 to 1.
double domain_first_placement::jitterOf(upstream_id upstream, monotonic_time now) const
{
    return toFraction(
        mixHash(m_position.seed ^ static_cast<std::uint64_t>(now.count()), idValue(upstream)));
}

void domain_first_placement::noteGivenUp(upstream_id upstream, monotonic_time age,
                                         monotonic_time now)
{
    const auto found = m_experience.find(upstream);
    const bool isSlower =
        found == m_experience.end() || static_cast<double>(age.count()) > found->second.latency;
    if (isSlower)
        noteLatency(upstream, age, now);
}

void domain_first_placement::noteLatency(upstream_id upstream, monotonic_time latency,
                                         monotonic_time now)
{
    experience &known = experienceOf(upstream);
    const auto sample = static_cast<double>(latency.count());
    const bool isStale = now - known.latencyAt > m_limits.latencyMemory;
    if (known.latencies == 0 || isStale) {
        known.latency = sample;
        known.latencies = 1;
    } else {
        known.latency += m_limits.latencySmoothing * (sample - known.latency);
        ++known.latencies;
    }
    known.latencyAt = now;
    const auto *record = m_directory.find(upstream);
    if (record != nullptr && known.latencies >= m_limits.minLatencies)
        noteBestLatency(*record, now);
}

void domain_first_placement::forget(upstream_id upstream)
{
    m_experience.erase(upstream);
}

std::size_t domain_first_placement::countSuspected(monotonic_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_experience.begin(), m_experience.end(),
                      [&](const auto &entry) { return entry.second.suspectedUntil > now; }));
}

bool domain_first_placement::isSuspected(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_experience.find(upstream);
    return found != m_experience.end() && found->second.suspectedUntil > now;
}

monotonic_time domain_first_placement::latencyOf(upstream_id upstream, monotonic_time now) const
{
    const auto found = m_experience.find(upstream);
    if (found == m_experience.end() || now - found->second.latencyAt > m_limits.latencyMemory)
        return monotonic_time {0};
    return monotonic_time(static_cast<monotonic_time::rep>(found->second.latency));
}

domain_first_placement::choice_group
domain_first_placement::groupOf(const upstream_record &record, std::span<const upstream_id> tried,
                                monotonic_time now) const
{
    if (!takesNewFlows(record))
        return choice_group::None;
    if (std::find(tried.begin(), tried.end(), record.id) != tried.end())
        return choice_group::Tried;
    if (isSuspected(record.id, now))
        return choice_group::Suspected;
    if (record.standing == upstream_standing::Missing)
        return choice_group::Missing;
    if (record.announced.domain == m_position.domain)
        return choice_group::OwnDomain;
    return isDoubtfulPath(record.announced.domain, now) ? choice_group::DoubtfulPath
                                                        : choice_group::OtherDomain;
}

double domain_first_placement::weightOf(const upstream_record &record, double medianLatency,
                                        monotonic_time now) const
{
    double weight = record.announced.slots;
    if (record.warmUntil > now)
        weight *= m_limits.coldShare;
    const auto found = m_experience.find(record.id);
    if (found == m_experience.end() || medianLatency <= 0)
        return weight;
    const experience &known = found->second;
    const double ratio = known.latency / medianLatency;
    if (isMeasured(known, now) && ratio > m_limits.slowRatio)
        weight *= std::max(m_limits.slowShare, 1 / (ratio * ratio));
    return weight;
}

double domain_first_placement::medianLatency(std::span<const upstream_id> upstreams,
                                             monotonic_time now) const
{
    std::vector<double> latencies;
    for (const upstream_id id : upstreams) {
        const auto found = m_experience.find(id);
        if (found != m_experience.end() && isMeasured(found->second, now))
            latencies.push_back(found->second.latency);
    }
    if (latencies.empty())
        return 0;
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

upstream_id domain_first_placement::takeTurn(std::span<const upstream_id> options, double median,
                                             monotonic_time now)
{
    assert(!options.empty());
    enrol(options);
    double total = 0;
    experience *chosen = nullptr;
    upstream_id chosenId = noUpstream;
    for (const upstream_id id : options) {
        const double weight = weightOf(*m_directory.find(id), median, now);
        experience &known = experienceOf(id);
        known.credit += weight;
        total += weight;
        if (chosen == nullptr || known.credit > chosen->credit) {
            chosen = &known;
            chosenId = id;
        }
    }
    assert(chosen != nullptr);
    chosen->credit -= total;
    return chosenId;
}

/// Gives upstreams that are new here their first credits: the highest to the one at which this
/// instance begins, lower ones to those that follow in the common order.
void domain_first_placement::enrol(std::span<const upstream_id> options)
{
    const bool isComplete = std::all_of(options.begin(), options.end(), [this](upstream_id id) {
        const auto found = m_experience.find(id);
        return found != m_experience.end() && found->second.hasCredit;
    });
    if (isComplete)
        return;
    std::vector<const upstream_record *> ordered;
    for (const upstream_id id : options)
        ordered.push_back(m_directory.find(id));
    std::sort(ordered.begin(), ordered.end(),
              [](const auto *one, const auto *other) { return one->tag < other->tag; });
    for (std::size_t i = 0; i < ordered.size(); ++i) {
        experience &known = experienceOf(ordered[i]->id);
        if (known.hasCredit)
            continue;
        const double place = static_cast<double>(i) / static_cast<double>(ordered.size());
        const double distance = place < m_turn ? place - m_turn + 1 : place - m_turn;
        known.credit = 1 - distance;
        known.hasCredit = true;
    }
}

domain_first_placement::experience &domain_first_placement::experienceOf(upstream_id upstream)
{
    return m_experience[upstream];
}

} // namespace chicoryhead
