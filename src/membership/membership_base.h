/**
 * @file membership_base.h
 * Which instances exist and in which state they are, after the SWIM protocol.
 *
 * Each period one member is pinged, directly and then through others, so that the cost per instance
 * doesn't depend on their number. What changes is pushed to a few members at once and repeated on
 * later messages a number of times that grows with the logarithm of the members.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "core/core_base.h"
#include "peer/messenger_base.h"
#include "peer/peer_type.h"
#include "platform/key_value_base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chicoryhead {

/** Intervals of the membership protocol. */
struct membership_settings
{
    std::vector<endpoint> seeds;                                ///< addresses to contact at start
    monotonic_time period = std::chrono::seconds(1);            ///< one probe each
    monotonic_time ackTimeout = std::chrono::milliseconds(300); ///< then others are asked to ping
    monotonic_time suspicion = std::chrono::seconds(3);         ///< from suspect to dead
    monotonic_time reconnect = std::chrono::seconds(2); ///< one dead member or seed is contacted
    monotonic_time forget = std::chrono::minutes(30);   ///< dead members are kept that long
    monotonic_time joining = std::chrono::seconds(3);   ///< least time between start and ready
    monotonic_time pause = std::chrono::seconds(2);     ///< longer gaps between ticks are a pause
};

/**
 * Controller that owns the members on the blackboard.
 *
 * Invariant: the own entry is in the members, is never Suspect or Dead, and its incarnation is the
 * highest that any instance has.
 */
class membership
{
public:
    /** @param self id, address and domain are set; the rest is filled here. */
    membership(blackboard &board, const clock_source &clock, random_source &random,
               messenger &messages, const member &self, const membership_settings &settings);

    /** Probes, suspects, repeats; called every 10 ms to 100 ms. */
    void tick();

    /** Takes the membership part of any message. */
    void onMessage(const peer_message &message, const endpoint &from);

    /** Takes the platform's list: only addresses to contact. */
    void onListed(const std::vector<listed_instance> &listed);

    /** Lets this instance become ready once it has been a member long enough. */
    void allowReady(bool isAllowed);

    /** Announces that this instance is leaving; it doesn't become ready again. */
    void leave();

    /** Adds a notice about an upstream to what is gossiped. */
    void gossip(const upstream_notice &notice);

    /** Adds the own version to what is gossiped; called when a version was applied. */
    void gossipVersion();

    /** Whether a peer was heard since the last pause of this process, or there is none. */
    bool isViewFresh() const { return m_isViewFresh; }

private:
    struct outgoing_update
    {
        member_update update;
        unsigned sent = 0;
    };
    struct outgoing_notice
    {
        upstream_notice notice;
        unsigned sent = 0;
    };
    struct outgoing_version
    {
        version_report report;
        unsigned sent = 0;
    };
    /** The probe of the current period. */
    struct probe_state
    {
        instance_id target = noInstance;
        std::uint32_t sequence = 0;
        monotonic_time sentAt {0};
        bool isIndirect = false; ///< others were asked
        bool isAcked = false;
    };
    /** A ping sent on behalf of another instance. */
    struct relayed_probe
    {
        instance_id asker = noInstance;
        std::uint32_t askerSequence = 0;
        instance_id target = noInstance;
        monotonic_time sentAt {0};
    };

    void onProbe(const peer_message &message, const endpoint &from);
    void onAck(const peer_message &message);
    void apply(const member_update &update);
    void addLostMember(const member_update &update);
    bool isLastOfLostDomain(const member &dead) const;
    void applyToSelf(const member_update &update);
    void setSelfState(member_state state);
    void enter(member &peer, member_state state);
    void touch();
    void queue(const member_update &update);
    void queueVersion(const version_report &report);
    void pushNews();
    void appendNotices(peer_message &message) const;
    void piggyback(peer_message &message);
    void requestSync(instance_id source);
    void answerSync(instance_id asker, instance_id above);
    void startProbe();
    void finishProbe();
    void askOthers();
    void expireStates();
    void reconnectOne();
    void detectPause();
    void contact(const endpoint &address);
    unsigned repeatLimit() const;
    std::optional<instance_id> nextTarget();
    std::vector<instance_id> randomMembers(std::size_t count, instance_id except);

    blackboard &m_board;
    const clock_source &m_clock;
    random_source &m_random;
    messenger &m_messages;
    membership_settings m_settings;
    std::vector<endpoint> m_contacts; ///< seeds and listed addresses
    std::vector<instance_id> m_order; ///< shuffled targets of this round
    probe_state m_probe;
    std::map<std::uint32_t, relayed_probe> m_relayed;
    std::map<instance_id, outgoing_update> m_updates;
    std::map<upstream_id, outgoing_notice> m_notices;
    std::map<instance_id, outgoing_version> m_versions;
    std::uint32_t m_nextSequence = 1;
    instance_id m_syncedUpTo = noInstance;    ///< members up to this id were listed by a peer
    std::optional<monotonic_time> m_syncedAt; ///< when the next page was asked for
    bool m_isSynced = false;
    bool m_hasNews = false; ///< something learnt since the last push
    bool m_isReadyAllowed = false;
    bool m_isLeaving = false;
    bool m_isViewFresh = true;
    monotonic_time m_startedAt;
    monotonic_time m_periodStartedAt {0};
    monotonic_time m_reconnectedAt {0};
    monotonic_time m_expiredAt {0};
    monotonic_time m_tickedAt;
};

} // namespace chicoryhead
