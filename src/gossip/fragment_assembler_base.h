/**
 * @file fragment_assembler_base.h
 * Reassembly of the responses to state requests of this instance.
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
 * Accepts only fragments that answer a pending request of this instance. The nonce is known only
 * to those who see the request, so nobody else can inject a state.
 */
class fragment_assembler
{
public:
    /** Requests that can be pending; a further one replaces the oldest. */
    static constexpr std::size_t maxPendingRequests = 4;

    /** Registers a request, so that its response is accepted. */
    void expectResponse(const endpoint &target, std::uint64_t nonce);

    /** Adds a fragment; returns the encoded state when it was the last missing one. */
    std::optional<std::vector<std::byte>> addFragment(const endpoint &sender,
                                                      const gossip_state_fragment &fragment);

    /** Whether a fragment answers a pending request. */
    bool isExpected(const endpoint &sender, const gossip_state_fragment &fragment) const;

private:
    /** A request and the fragments of its response that have arrived. */
    struct pending_request
    {
        endpoint target;
        std::uint64_t nonce = 0;
        /// Empty while missing; senders never send an empty one.
        std::vector<std::vector<std::uint8_t>> fragments;
        std::size_t missingCount = 0;
    };

    std::deque<pending_request> m_pendingRequests; ///< oldest first
};

} // namespace chicoryhead
