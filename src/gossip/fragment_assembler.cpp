/**
 * @file fragment_assembler.cpp
 * Reassembly of fragments with a bounded size.
 */

#include "fragment_assembler_base.h"

#include <algorithm>

namespace chicoryhead {

namespace {

/// 4.9 MB; the compressed state at the fleet size expected in two years has 1.6 MB.
constexpr std::size_t maxFragments = 4096;

bool isWellFormed(const gossip_state_fragment &fragment)
{
    return fragment.count > 0 && fragment.count <= maxFragments && fragment.index < fragment.count
        && !fragment.bytes.empty();
}

} // namespace

void fragment_assembler::expectResponse(const endpoint &target, std::uint64_t nonce)
{
    if (m_pendingRequests.size() == maxPendingRequests)
        m_pendingRequests.pop_front();
    m_pendingRequests.push_back({target, nonce, {}, 0});
}

bool fragment_assembler::isExpected(const endpoint &sender,
                                    const gossip_state_fragment &fragment) const
{
    return std::any_of(m_pendingRequests.begin(), m_pendingRequests.end(),
                       [&](const pending_request &request) {
                           return request.target == sender && request.nonce == fragment.nonce;
                       });
}

std::optional<std::vector<std::byte>>
fragment_assembler::addFragment(const endpoint &sender, const gossip_state_fragment &fragment)
{
    const auto request = std::find_if(
        m_pendingRequests.begin(), m_pendingRequests.end(), [&](const pending_request &candidate) {
            return candidate.target == sender && candidate.nonce == fragment.nonce;
        });
    if (request == m_pendingRequests.end() || !isWellFormed(fragment))
        return std::nullopt;
    if (request->fragments.empty()) {
        request->fragments.resize(fragment.count);
        request->missingCount = fragment.count;
    }
    if (request->fragments.size() != fragment.count || !request->fragments[fragment.index].empty())
        return std::nullopt;
    request->fragments[fragment.index] = fragment.bytes;
    if (--request->missingCount > 0)
        return std::nullopt;
    std::vector<std::byte> assembled;
    for (const auto &bytes : request->fragments) {
        for (const std::uint8_t byte : bytes)
            assembled.push_back(static_cast<std::byte>(byte));
    }
    m_pendingRequests.erase(request);
    return assembled;
}

} // namespace chicoryhead
