/**
 * @file placement/domain_first_placement.cpp
 * Puts the rules together.
 */

#include "domain_first_placement_base.h"

#include "domain_share_base.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryhead {

namespace {

/** Gives upstreams that are slow after their start less. */
class cold_start_weight : public weight_rule
{
public:
    explicit cold_start_weight(const placement_limits &limits) : m_limits(limits) { }

    double factorOf(const upstream_record &record, double /*median*/,
                    monotonic_time now) const override
    {
        return record.warmupEndsAt > now ? m_limits.coldShare : 1;
    }

private:
    const placement_limits &m_limits;
};

} // namespace

double toFraction(std::uint64_t hash)
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(hash % steps) / static_cast<double>(steps);
}

domain_first_placement::domain_first_placement(const upstream_directory &directory,
                                               placement_position position, placement_limits limits)
    : m_directory(directory)
    , m_position(std::move(position))
    , m_limits(limits)
    , m_suspicion(directory, m_position, m_limits)
    , m_paths(m_position, m_limits)
    , m_latencies(directory, m_limits)
    , m_rotation(directory, toFraction(mixHash(m_position.seed, 0)))
{
    m_groupRules.push_back(&m_paths);
    m_groupRules.push_back(&m_suspicion);
    m_weightRules.push_back(std::make_unique<cold_start_weight>(m_limits));
    m_weightRules.push_back(std::make_unique<slow_upstream_weight>(m_latencies, m_limits));
    m_shareRules.push_back(std::make_unique<capacity_share>(m_position, m_limits));
    m_shareRules.push_back(std::make_unique<crowding_share>(m_latencies, m_limits));
}

void domain_first_placement::setTurn(std::size_t place, std::size_t count)
{
    assert(place < count);
    m_rotation.setStart(static_cast<double>(place) / static_cast<double>(count));
}

std::optional<upstream_id> domain_first_placement::choose(const std::string &service,
                                                          std::span<const upstream_id> tried,
                                                          monotonic_time now)
{
    const auto upstreams = m_directory.findByService(service);
    const auto groups = group(upstreams, tried, now);
    const auto best = std::find_if(groups.begin(), groups.end(),
                                   [](const auto &options) { return !options.empty(); });
    if (best == groups.end())
        return std::nullopt;
    const double median = m_latencies.median(upstreams, now);
    const bool leaves = best == groups.begin() && leavesDomain(service, groups, median, now);
    const auto &options = leaves ? groups.of(choice_group::OtherDomain) : *best;
    return m_rotation.take(options, [&](upstream_id id) { return weightOf(id, median, now); });
}

grouped_upstreams domain_first_placement::group(std::span<const upstream_id> upstreams,
                                                std::span<const upstream_id> tried,
                                                monotonic_time now) const
{
    grouped_upstreams groups;
    for (const upstream_id id : upstreams) {
        const auto group = groupOf(*m_directory.find(id), tried, now);
        if (group != choice_group::None)
            groups.of(group).push_back(id);
    }
    m_suspicion.trustSome(groups);
    return groups;
}

choice_group domain_first_placement::groupOf(const upstream_record &record,
                                             std::span<const upstream_id> tried,
                                             monotonic_time now) const
{
    if (!takesNewFlows(record))
        return choice_group::None;
    if (std::find(tried.begin(), tried.end(), record.id) != tried.end())
        return choice_group::Tried;
    auto group = record.announced.domain == m_position.domain ? choice_group::OwnDomain
                                                              : choice_group::OtherDomain;
    if (record.lifecycle == lifecycle_state::Missing)
        group = choice_group::Missing;
    for (const group_rule *rule : m_groupRules)
        group = std::max(group, rule->groupOf(record, group, now));
    return group;
}

bool domain_first_placement::leavesDomain(const std::string &service,
                                          const grouped_upstreams &groups, double median,
                                          monotonic_time now)
{
    const auto &own = groups.of(choice_group::OwnDomain);
    const auto &others = groups.of(choice_group::OtherDomain);
    if (others.empty())
        return false;
    const domain_options options {service, own, others, capacityOf(own, median, now),
                                  capacityOf(others, median, now)};
    double kept = 1;
    for (const auto &rule : m_shareRules)
        kept *= rule->keptShare(options, now);
    double &owed = m_owedToOthers[service];
    owed += 1 - kept;
    if (owed < 1)
        return false;
    owed -= 1;
    return true;
}

double domain_first_placement::weightOf(upstream_id upstream, double median,
                                        monotonic_time now) const
{
    const upstream_record &record = *m_directory.find(upstream);
    double weight = record.announced.slots;
    for (const auto &rule : m_weightRules)
        weight *= rule->factorOf(record, median, now);
    return weight;
}

double domain_first_placement::capacityOf(std::span<const upstream_id> upstreams, double median,
                                          monotonic_time now) const
{
    double capacity = 0;
    for (const upstream_id id : upstreams)
        capacity += weightOf(id, median, now);
    return capacity;
}

bool domain_first_placement::noteUnanswered(upstream_id upstream, monotonic_time now)
{
    const auto *record = m_directory.find(upstream);
    if (record != nullptr)
        m_paths.noteUnanswered(record->announced.domain, now);
    return m_suspicion.noteUnanswered(upstream, now);
}

bool domain_first_placement::noteAnswered(upstream_id upstream)
{
    const auto *record = m_directory.find(upstream);
    if (record != nullptr)
        m_paths.noteAnswered(record->announced.domain);
    return m_suspicion.noteAnswered(upstream);
}

void domain_first_placement::noteGivenUp(upstream_id upstream, monotonic_time age,
                                         monotonic_time now)
{
    m_latencies.noteAtLeast(upstream, age, now);
}

void domain_first_placement::noteLatency(upstream_id upstream, monotonic_time latency,
                                         monotonic_time now)
{
    m_latencies.note(upstream, latency, now);
}

void domain_first_placement::forget(upstream_id upstream)
{
    m_suspicion.forget(upstream);
    m_latencies.forget(upstream);
    m_rotation.forget(upstream);
}

void domain_first_placement::avoid(upstream_id upstream, bool isDead, monotonic_time now)
{
    m_suspicion.avoid(upstream, isDead, now);
}

std::size_t domain_first_placement::countSuspected(monotonic_time now) const
{
    return m_suspicion.count(now);
}

bool domain_first_placement::isSuspected(upstream_id upstream, monotonic_time now) const
{
    return m_suspicion.isSuspected(upstream, now);
}

monotonic_time domain_first_placement::latencyOf(upstream_id upstream, monotonic_time now) const
{
    return m_latencies.latencyOf(upstream, now);
}

} // namespace chicoryhead
