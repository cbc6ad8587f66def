/**
 * @file policy_table.h
 * Keys of the policy file by section, with the functions that check and set their values.
 */

#pragma once

#include "policy/traffic_policy_type.h"

#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace chicoryhead::detail {

/// Maximum extra work in percent; more would add to an overload instead of shortening answers.
inline constexpr double maxBudgetPercent = 10;

inline std::optional<bool> parseSwitch(std::string_view text)
{
    if (text != "true" && text != "false")
        return std::nullopt;
    return text == "true";
}

inline std::optional<double> parsePercent(std::string_view text)
{
    double percent = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), percent);
    if (code != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    // The comparison is false for NaN, which from_chars accepts.
    if (!(percent >= 0 && percent <= maxBudgetPercent))
        return std::nullopt;
    return percent;
}

/** Assigns a parsed value; false if there is none. */
template<typename T>
bool assign(T &target, const std::optional<T> &value)
{
    if (value)
        target = *value;
    return value.has_value();
}

/** A key of the policy file. */
struct policy_key
{
    std::string_view section;
    std::string_view key;
    std::string_view expected; ///< valid values, for error messages
    bool (*set)(traffic_policy &policy, std::string_view text); ///< false if the value is invalid
};

inline constexpr std::array<policy_key, 3> policyKeys {{
    {"admission", "enabled", "true or false",
     [](traffic_policy &policy, std::string_view text) {
         return assign(policy.admission.isEnabled, parseSwitch(text));
     }},
    {"balancing", "expected_wait", "true or false",
     [](traffic_policy &policy, std::string_view text) {
         return assign(policy.balancing.usesExpectedWait, parseSwitch(text));
     }},
    {"hedging", "budget_percent", "a number from 0 to 10",
     [](traffic_policy &policy, std::string_view text) {
         return assign(policy.hedging.budgetPercent, parsePercent(text));
     }},
}};

} // namespace chicoryhead::detail
