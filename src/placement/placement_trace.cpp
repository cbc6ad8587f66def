/**
 * @file placement/placement_trace.cpp
 * Names of tiers and rules on status pages.
 */

#include "placement_trace_type.h"

#include <array>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::array<std::pair<placement_rule, std::string_view>, 4> ruleNames {{
    {placement_rule::None, "none"},
    {placement_rule::RoundRobin, "round_robin_credit"},
    {placement_rule::Spillover, "spillover"},
    {placement_rule::Tier, "tier"},
}};

constexpr std::array<std::pair<upstream_tier, std::string_view>, upstreamTierCount + 1> tierNames {{
    {upstream_tier::LocalDomain, "local_domain"},
    {upstream_tier::RemoteDomain, "remote_domain"},
    {upstream_tier::SuspectedPath, "suspected_path"},
    {upstream_tier::Missing, "missing"},
    {upstream_tier::Suspected, "suspected"},
    {upstream_tier::Tried, "tried"},
    {upstream_tier::None, "none"},
}};

template<typename Value, std::size_t count>
std::string_view nameOf(const std::array<std::pair<Value, std::string_view>, count> &names,
                        Value searched)
{
    for (const auto &[value, name] : names) {
        if (value == searched)
            return name;
    }
    return "unknown";
}

} // namespace

std::string_view toString(placement_rule rule)
{
    return nameOf(ruleNames, rule);
}

std::string_view toString(upstream_tier tier)
{
    return nameOf(tierNames, tier);
}

} // namespace chicoryhead
