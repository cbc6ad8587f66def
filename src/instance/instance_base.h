/**
 * @file instance_base.h
 * One entry instance as a core without I/O: joins steering, requests, balance, membership and
 * configuration.
 *
 * Whoever drives it hands in datagrams, probe outcomes and ticks, and implements the interfaces of
 * instance_environment. Everything runs in one thread. The inputs are virtual so that
 * recorded_instance (src/replay) can write them to a trace.
 */

#pragma once

#include "balance/balance_base.h"
#include "balance/health_base.h"
#include "balance/limits_base.h"
#include "blackboard/blackboard_type.h"
#include "config/config_json_func.h"
#include "config/distribution_base.h"
#include "core/core_base.h"
#include "membership/membership_base.h"
#include "packet/packet_type.h"
#include "peer/messenger_base.h"
#include "platform/key_value_base.h"
#include "request/ledger_base.h"
#include "steering/homes_base.h"
#include "steering/steering_base.h"
#include "steering/steering_func.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace chicoryhead {

/** What an instance needs from its surroundings; the references outlive it. */
struct instance_environment
{
    const clock_source &clock;
    random_source &random;
    packet_sink &packets;
    peer_sink &peers;
    load_prober &prober;
    key_value_store &store;
};

/** Settings of an instance. */
struct instance_settings
{
    instance_id id = noInstance;
    domain_id domain {0};
    endpoint peerAddress; ///< where peers reach this instance
    std::string peerKey;
    bool isPlainPolicy = false; ///< baseline policy instead of tracked slots
    monotonic_time drainQuiet = std::chrono::seconds(2);  ///< without packets, then gone
    monotonic_time drainLimit = std::chrono::seconds(30); ///< longest time to leave
    membership_settings membership;
    messenger_settings messenger;
    steering_settings steering;
    limiter_settings limits;
    distribution_settings distribution;
    health_settings health;
};

/** Why a packet was dropped. */
enum class drop_reason : std::uint8_t {
    Malformed,
    NoService,     ///< no service at the address
    NotReady,      ///< no configuration in force, or just woken from a pause
    Unplaced,      ///< no decision possible
    WrongUpstream, ///< reply from an upstream that doesn't hold the flow
    Expired,       ///< deadline over
    Duplicate,     ///< copy of a request
    NoUpstream,    ///< upstream is no longer in the configuration
};

/** Name of a drop reason for metrics and traces. */
std::string_view toString(drop_reason reason);

/** One entry instance. */
class instance : private config_messenger, private notice_outlet, private ledger_sink
{
public:
    instance(const instance_settings &settings, const instance_environment &environment);
    ~instance() override;
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    /**
     * Takes an IP packet from the fabric.
     * @param outerSource sender of the tunnel datagram; names the upstream of a reply.
     */
    virtual void onFabricPacket(std::span<const std::byte> bytes, const endpoint &outerSource);

    /** Takes a datagram from another instance. */
    virtual void onPeerDatagram(std::span<const std::byte> datagram, const endpoint &from);

    /** Takes the outcome of a probe that the prober was asked for; none when it failed. */
    virtual void onProbeOutcome(upstream_id upstream, std::optional<load_report> report);

    /** Runs all controllers; called every 10 ms to 50 ms. */
    virtual void tick();

    /** Submits a patch; the handler runs later in the core's thread. */
    virtual void submit(const config_patch &patch,
                        std::function<void(const patch_outcome &)> handler);

    /** Reads the audit trail; the handler runs later in the core's thread. */
    virtual void readAudit(std::function<void(result<std::vector<audit_entry>>)> handler);

    /** Tells the peers that this instance leaves; it goes on serving until isGone(). */
    virtual void beginLeaving();

    /**
     * Whether a leaving instance may stop: no packet for drainQuiet and all records handed over, or
     * drainLimit passed.
     */
    bool isGone() const;

    /** Whether the fabric may send packets here. */
    bool isReady() const;

    /** Shared state, for metrics and operators' documents. */
    const blackboard &board() const { return m_board; }

    /** Steering policy, for its flow counts. */
    const steering_policy &steering() const { return *m_steering; }

    /** Packets dropped for a reason. */
    std::uint64_t dropped(drop_reason reason) const
    {
        return m_dropped[static_cast<std::size_t>(reason)];
    }

private:
    /** A packet with the service it belongs to and its request frame, if it carries one. */
    struct classified_packet
    {
        steering_input input;
        std::optional<request_frame> frame;
    };

    void sendPull(instance_id peer, const config_pull &pull) override;
    void sendPage(instance_id peer, const config_page &page) override;
    void spread(const upstream_notice &notice) override;
    void onEntry(const ledger_entry &entry) override;

    void onCallerPacket(const packet_view &packet, const service_config &service);
    void onReply(const packet_view &packet, const service_config &service,
                 const endpoint &outerSource);
    void onRelay(std::span<const std::byte> datagram);
    void onMessage(const peer_message &message, const endpoint &from);
    void onNotice(const upstream_notice &notice);
    void onPayload(instance_id sender, const peer_payload &payload);
    std::optional<classified_packet> classify(const packet_view &packet,
                                              const service_config &service, bool isReply);
    void carryOut(const classified_packet &packet, const steering_decision &decision,
                  bool isAdmitted);
    void relay(const classified_packet &packet, const steering_decision &decision, bool isAdmitted);
    void carryOutReply(const packet_view &packet, const steering_decision &decision);
    void forward(const classified_packet &packet, upstream_id upstream, bool isAdmitted);
    bool passesLedger(const classified_packet &packet);
    void refuse(const classified_packet &packet);
    void answer(const classified_packet &packet, request_outcome outcome);
    void notePassiveSignal(const packet_view &packet, const service_config &service,
                           upstream_id upstream);
    void drop(drop_reason reason);
    void queueLedgerEntries(instance_id target, std::span<const ledger_entry> entries);
    void onVersionApplied();
    void watchMembers();
    std::set<instance_id> readyMembers() const;
    void pollInstanceList();

    instance_settings m_settings;
    instance_environment m_environment;
    blackboard m_board;
    peer_codec m_codec;
    messenger m_messenger;
    flow_limiter m_limiter;
    std::unique_ptr<placement_policy> m_placement;
    std::unique_ptr<steering_policy> m_steering;
    home_table m_homes;
    request_ledger m_ledger;
    health_controller m_health;
    membership m_membership;
    distribution m_distribution;
    std::array<std::uint64_t, 8> m_dropped {}; ///< by drop_reason
    std::set<instance_id> m_readyMembers;      ///< as of m_membersRevision
    std::uint64_t m_membersRevision = 0;
    monotonic_time m_leavingSince {0}; ///< 0 while not leaving
    monotonic_time m_lastPacketAt {0};
    monotonic_time m_flowsCountedAt {0};
    monotonic_time m_listPolledAt {-1};
    monotonic_time m_pausedAt {0};
    bool m_isListPending = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< false for late handlers
};

} // namespace chicoryhead
