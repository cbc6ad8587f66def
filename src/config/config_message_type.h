/**
 * @file config_message_type.h
 * Messages between instances that carry the configuration.
 */

#pragma once

#include "core/codec_func.h"
#include "core/core_type.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicoryhead {

/** Asks a peer for what follows the version in force. */
struct config_pull
{
    config_version have = 0;     ///< version in force at the sender
    config_version snapshot = 0; ///< snapshot that is being transferred, or 0
    std::uint32_t offset = 0;    ///< bytes held of that snapshot, or of the change have + 1

    bool operator==(const config_pull &) const = default;
};

/** Part of an encoded change or snapshot. */
struct config_piece
{
    config_version version = 0; ///< version that the change or snapshot leads to
    std::uint32_t total = 0;    ///< bytes of the whole
    std::uint32_t offset = 0;   ///< of the first byte of this part
    std::vector<std::uint8_t> bytes;

    bool operator==(const config_piece &) const = default;
};

/** Answer to a pull. */
struct config_page
{
    config_version newest = 0; ///< version in force at the sender
    bool isSnapshot = false;   ///< pieces are of a snapshot, else of changes
    std::vector<config_piece> pieces;

    bool operator==(const config_page &) const = default;
};

/// Bound of an encoded page, with room for the header and tag of a datagram of 1,200 bytes.
inline constexpr std::size_t maxPageBytes = 1100;
/// Encoded bytes of a page without pieces, and of a piece without its content.
inline constexpr std::size_t pageHeaderBytes = 16;
inline constexpr std::size_t pieceHeaderBytes = 18;

template<typename Archive>
void serialize(Archive &archive, config_pull &pull)
{
    archive(pull.have, pull.snapshot, pull.offset);
}

template<typename Archive>
void save(Archive &archive, const config_piece &piece)
{
    archive(piece.version, piece.total, piece.offset);
    saveBytes(archive, piece.bytes);
}

template<typename Archive>
void load(Archive &archive, config_piece &piece)
{
    archive(piece.version, piece.total, piece.offset);
    loadBytes(archive, piece.bytes, maxPageBytes);
}

template<typename Archive>
void save(Archive &archive, const config_page &page)
{
    archive(page.newest, static_cast<std::uint8_t>(page.isSnapshot ? 1 : 0));
    saveBounded(archive, page.pieces);
}

template<typename Archive>
void load(Archive &archive, config_page &page)
{
    // Loading a bool from a byte other than 0 and 1 is undefined behaviour.
    std::uint8_t isSnapshot = 0;
    archive(page.newest, isSnapshot);
    page.isSnapshot = isSnapshot != 0;
    loadBounded(archive, page.pieces, maxPageBytes / pieceHeaderBytes);
}

/** Sends the messages of the distribution to other instances; they may be lost. */
class config_messenger
{
public:
    virtual ~config_messenger() = default;

    virtual void sendPull(instance_id instance, const config_pull &pull) = 0;
    virtual void sendPage(instance_id instance, const config_page &page) = 0;
};

} // namespace chicoryhead
