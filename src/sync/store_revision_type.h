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
 * epoch counts up: numbers of different epochs can't be compared. Default-constructed for none.
 */
struct store_revision
{
    /** @param changes 0 for none. A store that sends no epoch is in epoch 0. */
    constexpr store_revision(std::uint64_t changes = 0, std::uint64_t restores = 0)
        : number(changes), epoch(restores)
    {
    }

    bool operator==(const store_revision &) const = default;

    std::strong_ordering operator<=>(const store_revision &other) const
    {
        const auto byEpoch = epoch <=> other.epoch;
        return byEpoch == 0 ? number <=> other.number : byEpoch; // NOLINT(modernize-use-nullptr)
    }

    /** Whether there is a revision. */
    explicit operator bool() const { return number > 0; }

    std::uint64_t number;
    std::uint64_t epoch;
};

/** Formats a revision for logs, without its epoch. */
inline std::string toString(const store_revision &revision)
{
    return std::to_string(revision.number);
}

} // namespace chicoryhead
