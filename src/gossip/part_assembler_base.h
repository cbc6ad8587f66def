/**
 * @file part_assembler_base.h
 * Puts parts of a transfer together.
 */

#pragma once

#include "core/core_type.h"
#include "gossip_type.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace chicoryhead {

/** One transfer at a time; parts of another one replace it. */
class part_assembler
{
public:
    /** Adds a part; returns the whole when it was the last that was missing. */
    std::optional<std::vector<std::byte>> add(const endpoint &sender, const gossip_part &part);

private:
    endpoint m_sender;
    std::uint32_t m_transfer = 0;
    std::vector<std::vector<std::uint8_t>> m_parts; ///< empty while missing; no part is empty
    std::size_t m_missing = 0;
};

} // namespace chicoryhead
