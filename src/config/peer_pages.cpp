/**
 * @file peer_pages.cpp
 * The answering side: pages with changes since a version, or with a whole snapshot.
 */

#include "config_apply_func.h"
#include "config_codec_func.h"
#include "peer_exchange_base.h"

#include <algorithm>

namespace chicoryhead {

namespace {

/// Changes up to this size are sent without comparing them with a snapshot.
constexpr std::size_t smallChangeBytes = 4000;
/// Rough encoded sizes for that comparison.
constexpr std::size_t serviceBytes = 80;
constexpr std::size_t upstreamBytes = 55;
constexpr std::size_t slotBytes = 2;
constexpr monotonic_time servedFor = std::chrono::seconds(60);

std::size_t estimateSnapshot(const configuration &config)
{
    std::size_t bytes = 0;
    for (const auto &[id, service] : config.services)
        bytes += serviceBytes + service->upstreams.size() * upstreamBytes
            + service->slots.size() * slotBytes;
    return bytes;
}

/** Adds as much of an encoded value as fits; returns the offset behind it. */
std::size_t addPiece(config_page &page, std::size_t &room, config_version version,
                     const std::string &bytes, std::size_t offset)
{
    if (room <= pieceHeaderBytes || offset >= bytes.size())
        return offset;
    const std::size_t size = std::min(room - pieceHeaderBytes, bytes.size() - offset);
    const auto first = bytes.begin() + static_cast<std::ptrdiff_t>(offset);
    page.pieces.push_back({version,
                           static_cast<std::uint32_t>(bytes.size()),
                           static_cast<std::uint32_t>(offset),
                           {first, first + static_cast<std::ptrdiff_t>(size)}});
    room -= size + pieceHeaderBytes;
    return offset + size;
}

} // namespace

void peer_exchange::onPull(instance_id sender, const config_pull &pull)
{
    if (pull.have >= m_replica.version())
        return;
    if (pull.snapshot > pull.have || prefersSnapshot(pull.have))
        sendSnapshot(sender, pull);
    else
        sendChanges(sender, pull);
}

/** Whether the changes since a version are not held any more, or larger than a snapshot. */
bool peer_exchange::prefersSnapshot(config_version have) const
{
    std::size_t bytes = 0;
    for (config_version next = have + 1; next <= m_replica.version(); ++next) {
        const std::string *change = m_replica.findChange(next);
        if (change == nullptr)
            return true;
        bytes += change->size();
    }
    return bytes > smallChangeBytes && bytes > estimateSnapshot(*m_replica.config());
}

void peer_exchange::sendChanges(instance_id peer, const config_pull &pull)
{
    config_version version = pull.have + 1;
    std::size_t offset = pull.offset;
    for (std::size_t i = 0; i < m_settings.pagesPerPull && version <= m_replica.version(); ++i) {
        config_page page;
        page.newest = m_replica.version();
        std::size_t room = maxPageBytes - pageHeaderBytes;
        while (version <= m_replica.version() && room > pieceHeaderBytes) {
            const std::string &bytes = *m_replica.findChange(version);
            offset = addPiece(page, room, version, bytes, offset);
            if (offset < bytes.size())
                break;
            ++version;
            offset = 0;
        }
        m_messenger.sendPage(peer, page);
    }
}

/** Encodes a snapshot, unless one is held that the changes after it can bring up to date. */
const peer_exchange::served_snapshot &peer_exchange::serveSnapshot(config_version have)
{
    const bool isCurrent = m_served.version == m_replica.version();
    const bool leadsOn = isCurrent || m_replica.findChange(m_served.version + 1) != nullptr;
    if (m_served.version <= have || !leadsOn) {
        // Without the accepted patches, which the joiner reads from the store when it needs them.
        m_served.version = m_replica.version();
        m_served.bytes = encodeSnapshot({computeChange({}, *m_replica.config()), {}});
    }
    m_served.lastUsed = m_clock.now();
    return m_served;
}

/** Frees the snapshot when no peer has pulled for a while. */
void peer_exchange::expireServed()
{
    if (m_served.version != 0 && m_served.lastUsed + servedFor < m_clock.now())
        m_served = {};
}

void peer_exchange::sendSnapshot(instance_id peer, const config_pull &pull)
{
    const served_snapshot &snapshot = serveSnapshot(pull.have);
    std::size_t offset = snapshot.version == pull.snapshot ? pull.offset : 0;
    for (std::size_t i = 0; i < m_settings.pagesPerPull; ++i) {
        config_page page;
        page.newest = m_replica.version();
        page.isSnapshot = true;
        std::size_t room = maxPageBytes - pageHeaderBytes;
        offset = addPiece(page, room, snapshot.version, snapshot.bytes, offset);
        if (page.pieces.empty())
            return;
        m_messenger.sendPage(peer, page);
    }
}

} // namespace chicoryhead
