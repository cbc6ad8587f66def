/**
 * @file peer_exchange_base.h
 * Exchange of changes and snapshots between instances, page by page.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "config_message_type.h"
#include "config_replica_base.h"
#include "distribution_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryhead {

/** A change or snapshot that arrives in pieces. */
class piece_assembly
{
public:
    /** Takes a piece; doubled and reordered ones are normal. */
    void add(const config_piece &piece);
    /** Whether all bytes are there. */
    bool isComplete() const { return m_total > 0 && m_bytes.size() == m_total; }
    /** Bytes from the start without a gap. */
    const std::string &bytes() const { return m_bytes; }

private:
    std::uint32_t m_total = 0;
    std::string m_bytes;
    std::map<std::uint32_t, std::vector<std::uint8_t>> m_ahead; ///< pieces beyond a gap
};

/** Pulls newer versions from peers and answers their pulls. */
class peer_exchange
{
public:
    peer_exchange(const blackboard &board, config_replica &replica, const clock_source &clock,
                  random_source &random, config_messenger &messenger,
                  const distribution_settings &settings);

    /** A peer reports the version that it has in force. */
    void onPeerVersion(instance_id peer, config_version version);
    /** A peer asks for pages. */
    void onPull(instance_id sender, const config_pull &pull);
    /** A page arrives. */
    void onPage(instance_id sender, const config_page &page);
    /** Repeats pulls that weren't answered, at another peer. */
    void tick();

private:
    /** The snapshot that peers are pulling; changes after it bring them up to date. */
    struct served_snapshot
    {
        config_version version = 0;
        std::string bytes;
        monotonic_time lastUsed {0};
    };

    void startPull(instance_id peer);
    void stopPull();
    instance_id choosePeer();
    bool takeSnapshotPieces(instance_id sender, const config_page &page);
    bool takeChangePieces(const config_page &page);
    void continuePull(config_version before);
    bool prefersSnapshot(config_version have) const;
    const served_snapshot &serveSnapshot(config_version have);
    void expireServed();
    void sendChanges(instance_id peer, const config_pull &pull);
    void sendSnapshot(instance_id peer, const config_pull &pull);

    const blackboard &m_board;
    config_replica &m_replica;
    const clock_source &m_clock;
    random_source &m_random;
    config_messenger &m_messenger;
    const distribution_settings m_settings;

    std::map<instance_id, config_version> m_versions; ///< of peers that are ahead
    instance_id m_source = noInstance;                ///< peer that is being pulled from
    monotonic_time m_pullAgainAt {0};
    monotonic_time m_timeout {0};
    monotonic_time m_lastProgress {0};    ///< last pull or page
    unsigned m_pagesDue = 0;              ///< of the last pull
    config_version m_snapshotVersion = 0; ///< snapshot being transferred, or 0
    piece_assembly m_snapshot;
    std::map<config_version, piece_assembly> m_changes;
    served_snapshot m_served; ///< version 0 for none
};

} // namespace chicoryhead
