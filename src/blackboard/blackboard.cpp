/**
 * @file blackboard.cpp
 * Tables of names for the states on the blackboard.
 */

#include "blackboard_type.h"

#include <array>
#include <string_view>

namespace chicoryhead {

namespace {

constexpr std::array<std::string_view, 5> memberStateNames {"joining", "ready", "leaving",
                                                            "suspect", "dead"};
constexpr std::array<std::string_view, 2> conditionNames {"open", "deflected"};

} // namespace

std::string_view toString(member_state state)
{
    return memberStateNames[static_cast<std::size_t>(state)];
}

std::string_view toString(upstream_condition condition)
{
    return conditionNames[static_cast<std::size_t>(condition)];
}

} // namespace chicoryhead
