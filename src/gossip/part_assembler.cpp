/**
 * @file part_assembler.cpp
 * Bounded reassembly.
 */

#include "part_assembler_base.h"

namespace chicoryhead {

namespace {

/// 4.9 MB; the compressed state at the size of two years has 1.6 MB.
constexpr std::size_t maxParts = 4096;

} // namespace

std::optional<std::vector<std::byte>> part_assembler::add(const endpoint &sender,
                                                          const gossip_part &part)
{
    const bool isValid =
        part.count > 0 && part.count <= maxParts && part.index < part.count && !part.bytes.empty();
    if (!isValid)
        return std::nullopt;
    if (sender != m_sender || part.transfer != m_transfer || m_parts.size() != part.count) {
        m_sender = sender;
        m_transfer = part.transfer;
        m_parts.assign(part.count, {});
        m_missing = part.count;
    }
    auto &slot = m_parts[part.index];
    if (!slot.empty())
        return std::nullopt;
    slot = part.bytes;
    if (--m_missing > 0)
        return std::nullopt;
    std::vector<std::byte> whole;
    for (const auto &bytes : m_parts) {
        for (const std::uint8_t byte : bytes)
            whole.push_back(static_cast<std::byte>(byte));
    }
    m_parts.clear();
    return whole;
}

} // namespace chicoryhead
