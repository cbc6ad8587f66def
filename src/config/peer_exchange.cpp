/**
 * @file peer_exchange.cpp
 * The pulling side: requests, assembly of pages, change of peer.
 */

#include "config_codec_func.h"
#include "peer_exchange_base.h"

#include <algorithm>

namespace chicoryhead {

namespace {

/// Above the largest configuration; bounds what a faulty peer can make this instance hold.
constexpr std::uint32_t maxAssemblyBytes = 16U << 20U;
constexpr std::size_t maxPiecesAhead = 16;
/// Changes that are assembled at the same time.
constexpr config_version maxChangesAhead = 64;
/// Above any number of members; bounds the memory for reports of unknown senders.
constexpr std::size_t maxPeerVersions = 16384;

} // namespace

void piece_assembly::add(const config_piece &piece)
{
    const std::size_t size = m_bytes.size();
    const std::size_t end = std::size_t {piece.offset} + piece.bytes.size();
    if (piece.total == 0 || piece.total > maxAssemblyBytes || end > piece.total || end <= size)
        return;
    if (m_total != 0 && piece.total != m_total) {
        // Two values under one version: one of them is damaged, so both are pulled again.
        *this = {};
        return;
    }
    m_total = piece.total;
    if (piece.offset > size) {
        if (m_ahead.size() < maxPiecesAhead)
            m_ahead[piece.offset] = piece.bytes;
        return;
    }
    m_bytes.append(piece.bytes.begin() + static_cast<std::ptrdiff_t>(size - piece.offset),
                   piece.bytes.end());
    const auto next = m_ahead.begin();
    if (next == m_ahead.end() || next->first > m_bytes.size())
        return;
    const config_piece follower {piece.version, piece.total, next->first, std::move(next->second)};
    m_ahead.erase(next);
    add(follower);
}

peer_exchange::peer_exchange(const blackboard &board, config_replica &replica,
                             const clock_source &clock, random_source &random,
                             config_messenger &messenger, const distribution_settings &settings)
    : m_board(board)
    , m_replica(replica)
    , m_clock(clock)
    , m_random(random)
    , m_messenger(messenger)
    , m_settings(settings)
{
}

void peer_exchange::onPeerVersion(instance_id peer, config_version version)
{
    if (version <= m_replica.version()) {
        m_versions.erase(peer);
        return;
    }
    if (m_versions.size() < maxPeerVersions || m_versions.contains(peer))
        m_versions[peer] = version;
    if (m_source == noInstance)
        startPull(peer);
}

void peer_exchange::startPull(instance_id peer)
{
    if (m_source != peer)
        m_timeout = m_settings.pullTimeout;
    m_source = peer;
    config_pull pull;
    pull.have = m_replica.version();
    pull.snapshot = m_snapshotVersion;
    const auto change = m_changes.find(pull.have + 1);
    if (m_snapshotVersion != 0)
        pull.offset = static_cast<std::uint32_t>(m_snapshot.bytes().size());
    else if (change != m_changes.end())
        pull.offset = static_cast<std::uint32_t>(change->second.bytes().size());
    m_pagesDue = static_cast<unsigned>(m_settings.pagesPerPull);
    m_lastProgress = m_clock.now();
    m_pullAgainAt = m_clock.now() + m_timeout;
    m_messenger.sendPull(peer, pull);
}

void peer_exchange::stopPull()
{
    m_source = noInstance;
    m_snapshotVersion = 0;
    m_snapshot = {};
    m_changes.clear();
}

/** A random peer that is ahead, of the own failure domain if there is one. */
instance_id peer_exchange::choosePeer()
{
    std::erase_if(m_versions,
                  [this](const auto &item) { return item.second <= m_replica.version(); });
    std::vector<instance_id> near;
    std::vector<instance_id> far;
    for (const auto &[peer, version] : m_versions) {
        const auto known = m_board.members.find(peer);
        if (known != m_board.members.end() && known->second.state == member_state::Dead)
            continue;
        const bool isNear =
            known != m_board.members.end() && known->second.domain == m_board.self.domain;
        (isNear ? near : far).push_back(peer);
    }
    auto &peers = near.empty() ? far : near;
    if (peers.size() > 1)
        std::erase(peers, m_source);
    return peers.empty() ? noInstance : peers[m_random.next() % peers.size()];
}

void peer_exchange::tick()
{
    expireServed();
    if (m_source == noInstance || m_clock.now() < m_pullAgainAt)
        return;
    const monotonic_time timeout = std::min(m_timeout * 2, m_settings.maxPullTimeout);
    const instance_id peer = choosePeer();
    if (peer == noInstance)
        return stopPull();
    startPull(peer);
    m_timeout = timeout;
    // Jitter, so that instances that lost the same peer don't ask the next one together.
    const auto half = static_cast<std::uint64_t>(timeout.count() / 2) + 1;
    m_pullAgainAt = m_clock.now() + timeout / 2
        + monotonic_time(static_cast<monotonic_time::rep>(m_random.next() % half));
}

void peer_exchange::onPage(instance_id sender, const config_page &page)
{
    const config_version before = m_replica.version();
    const bool isUseful =
        page.isSnapshot ? takeSnapshotPieces(sender, page) : takeChangePieces(page);
    onPeerVersion(sender, page.newest);
    if (!isUseful || sender != m_source)
        return;
    // Twice the time that the page took, so that a slow peer isn't asked again for nothing.
    const monotonic_time taken = m_clock.now() - m_lastProgress;
    m_timeout = std::clamp(taken * 2, m_settings.pullTimeout, m_settings.maxPullTimeout);
    m_lastProgress = m_clock.now();
    m_pullAgainAt = m_clock.now() + m_timeout;
    if (m_pagesDue > 0)
        --m_pagesDue;
    continuePull(before);
}

/** Pulls on once the pages of the last pull have arrived or a version was completed. */
void peer_exchange::continuePull(config_version before)
{
    if (m_replica.version() != before && choosePeer() == noInstance)
        return stopPull();
    if (m_pagesDue == 0)
        startPull(m_source);
}

bool peer_exchange::takeSnapshotPieces(instance_id sender, const config_page &page)
{
    bool isUseful = false;
    for (const auto &piece : page.pieces) {
        if (piece.version <= m_replica.version())
            continue;
        if (piece.version != m_snapshotVersion) {
            // Another snapshot replaces the one in transfer only from its beginning, and only
            // from the peer that is being pulled from, which doesn't have the other one then.
            if (piece.offset != 0 || (m_snapshotVersion != 0 && sender != m_source))
                continue;
            m_snapshotVersion = piece.version;
            m_snapshot = {};
        }
        m_snapshot.add(piece);
        isUseful = true;
    }
    if (m_snapshotVersion != 0 && m_snapshot.isComplete()) {
        const auto snapshot = decodeSnapshot(m_snapshot.bytes());
        m_snapshotVersion = 0;
        m_snapshot = {};
        if (snapshot)
            m_replica.replace(snapshot.value());
    }
    return isUseful;
}

bool peer_exchange::takeChangePieces(const config_page &page)
{
    bool isUseful = false;
    for (const auto &piece : page.pieces) {
        const config_version have = m_replica.version();
        if (piece.version <= have || piece.version > have + maxChangesAhead)
            continue;
        m_changes[piece.version].add(piece);
        isUseful = true;
    }
    auto at = m_changes.begin();
    while (at != m_changes.end()) {
        if (at->first > m_replica.version()
            && (at->first != m_replica.version() + 1 || !at->second.isComplete()))
            break;
        const auto change = decodeChange(at->second.bytes());
        if (change && at->first > m_replica.version())
            m_replica.advance(change.value(), at->second.bytes());
        at = m_changes.erase(at);
    }
    if (m_snapshotVersion != 0 && m_snapshotVersion <= m_replica.version()) {
        m_snapshotVersion = 0;
        m_snapshot = {};
    }
    return isUseful;
}

} // namespace chicoryhead
