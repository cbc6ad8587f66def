/**
 * @file fragment_assembler_base.h
 * Puts the answers to questions of this instance together.
 */

#pragma once

#include "core/core_type.h"
#include "gossip_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace chicoryhead {

/**
 * Takes parts that answer a question of this instance and no others: whoever does not see the
 * question can't know its nonce, so nobody can hand over a state that was not asked for.
 */
class fragment_assembler
{
public:
    /** Questions whose answers are taken; a further one takes the place of the oldest. */
    static constexpr std::size_t maxPendingRequests = 4;

    /** Notes a question. */
    void expectResponse(const endpoint &target, std::uint64_t nonce);

    /** Adds a part; returns the whole when it was the last that was missing. */
    std::optional<std::vector<std::byte>> addFragment(const endpoint &sender,
                                                      const gossip_state_fragment &fragment);

    /** Whether a part belongs to a question whose answer is not complete. */
    bool isExpected(const endpoint &sender, const gossip_state_fragment &fragment) const;

private:
    /** A question and what came of its answer. */
    struct pending_request
    {
        endpoint target;
        std::uint64_t nonce = 0;
        std::vector<std::vector<std::uint8_t>> fragments; ///< empty while missing; no part is empty
        std::size_t missingCount = 0;
    };

    std::deque<pending_request> m_pendingRequests; ///< oldest first
};

} // namespace chicoryhead
