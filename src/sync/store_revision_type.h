/**
 * @file store_revision_type.h
 * Position in the history of the store.
 */

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chicoryhead {

/**
 * Position in the history of the store. Changes count the number up. When the store is restored
 * from a copy, the number goes back, later numbers are given out again for other changes, and the
 * era counts up: numbers of different eras can't be compared. Default-constructed for none.
 */
struct store_revision
{
    /** @param changes 0 for none. A store that sends no era is in era 0. */
    constexpr store_revision(std::uint64_t changes = 0, std::uint64_t restores = 0)
        : number(changes), era(restores)
    {
    }

    bool operator==(const store_revision &) const = default;

    std::strong_ordering operator<=>(const store_revision &other) const
    {
        const auto byEra = era <=> other.era;
        return byEra == 0 ? number <=> other.number : byEra; // NOLINT(modernize-use-nullptr)
    }

    /** Whether there is a revision. */
    explicit operator bool() const { return number > 0; }

    std::uint64_t number;
    std::uint64_t era;
};

/** Formats a revision for logs, without its era. */
inline std::string toString(const store_revision &revision)
{
    return std::to_string(revision.number);
}

} // namespace chicoryhead
