/**
 * @file part_assembler.cpp
 * Bounded reassembly.
 */

#include "part_assembler_base.h"

#include <algorithm>

namespace chicoryhead {

namespace {

/// 4.9 MB; the compressed state at the size of two years has 1.6 MB.
constexpr std::size_t maxParts = 4096;

bool isWellFormed(const gossip_part &part)
{
    return part.count > 0 && part.count <= maxParts && part.index < part.count
        && !part.bytes.empty();
}

} // namespace

void part_assembler::expect(const endpoint &target, std::uint64_t nonce)
{
    if (m_questions.size() == maxQuestions)
        m_questions.pop_front();
    m_questions.push_back({target, nonce, {}, 0});
}

bool part_assembler::isExpected(const endpoint &sender, const gossip_part &part) const
{
    return std::any_of(m_questions.begin(), m_questions.end(), [&](const question &asked) {
        return asked.target == sender && asked.nonce == part.nonce;
    });
}

std::optional<std::vector<std::byte>> part_assembler::add(const endpoint &sender,
                                                          const gossip_part &part)
{
    const auto asked =
        std::find_if(m_questions.begin(), m_questions.end(), [&](const question &candidate) {
            return candidate.target == sender && candidate.nonce == part.nonce;
        });
    if (asked == m_questions.end() || !isWellFormed(part))
        return std::nullopt;
    if (asked->parts.empty()) {
        asked->parts.resize(part.count);
        asked->missing = part.count;
    }
    if (asked->parts.size() != part.count || !asked->parts[part.index].empty())
        return std::nullopt;
    asked->parts[part.index] = part.bytes;
    if (--asked->missing > 0)
        return std::nullopt;
    std::vector<std::byte> whole;
    for (const auto &bytes : asked->parts) {
        for (const std::uint8_t byte : bytes)
            whole.push_back(static_cast<std::byte>(byte));
    }
    m_questions.erase(asked);
    return whole;
}

} // namespace chicoryhead
