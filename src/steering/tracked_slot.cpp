/**
 * @file tracked_slot.cpp
 * Policy with slot tables: exceptions are recorded at the two homes of a flow, and packets that
 * need a record are relayed to home 1.
 */

#include "homes_base.h"
#include "steering_detail.h"
#include "steering_func.h"

#include <algorithm>
#include <bitset>
#include <unordered_map>
#include <unordered_set>

namespace chicoryhead {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Within this time every instance that is neither suspected nor dead applies a version.
constexpr milliseconds announceDelay {2500};
/// Another instance may have placed a reused 5-tuple elsewhere; older entries ask home 1.
constexpr flow_time trustWindow = flowDuration(seconds(10));
constexpr flow_time recordIdleTimeout = flowDuration(std::chrono::hours(4));
constexpr flow_time recordClosingTimeout = flowDuration(seconds(60));
/// A record of an instance that is no longer a home is kept while the new homes receive copies.
constexpr flow_time formerHomeTimeout = flowDuration(minutes(10));
/// Home 1 sees packets that home 2 doesn't; a packet through home 2 keeps its copy from expiring.
constexpr flow_time recordRefreshInterval = flowDuration(std::chrono::hours(1));
/// Handover of records at the control budget takes some seconds; a home without a record asks the
/// other home for this long after the homes changed.
constexpr milliseconds homesSettleTime {30'000};
/// A suspicion that isn't refuted becomes a death after 3 s; only then records are copied.
constexpr milliseconds suspicionTime {3000};
constexpr monotonic_time domainLossTime = minutes(30);
/// An exception may exist 2.5 s after the version; 0.5 s is left for the next change of state.
constexpr milliseconds versionLagLimit {2000};
constexpr milliseconds pauseLimit {2000};
/// A ping and its acknowledgement bring the newer version after a pause.
constexpr milliseconds resumeTime {1500};
constexpr milliseconds memberScanInterval {100};
constexpr seconds udpTimeout = minutes(5);
constexpr std::size_t maxUnplacedFlows = 4096;
/// TCP doubles its timeout; with 10 s, a caller whose timeout has passed 5 s never gets through.
constexpr flow_time unplacedWindow = flowDuration(seconds(60));
constexpr unsigned placingTransmission = 3;
constexpr std::size_t expiredGroupsPerTick = 256;
constexpr std::size_t expiredBucketsPerTick = 1024;

/** A record as a home holds it. */
struct held_record
{
    upstream_id upstream = noUpstream;
    flow_time seenAt = 0;
    flow_time sharedAt = 0; ///< last packet that went through the other home
    bool isClosing = false; ///< FIN or RST seen; a SYN is a new flow
};

/** Slots that became tracked with a version that may not be in force everywhere. */
struct slot_announcement
{
    service_id service {0};
    config_version version = 0;
    monotonic_time appliedAt {0};
    std::vector<bool> slots; ///< by slot; true for those that were untracked before
};

/** A flow that nobody reachable may know, at a home without a record. */
struct unplaced_flow
{
    std::uint32_t sequence = 0; ///< of the packet whose transmissions are counted
    unsigned transmissions = 0; ///< at placingTransmission, the flow goes to the holder
    flow_time seenAt = 0;
    bool isRefuted = false; ///< the holder answered with RST: it doesn't have the flow
};

/**
 * Change of a bucket's homes whose records are to be copied. Views differ while several members
 * change, so the homes before the first change go on sending until the homes are settled.
 */
struct pending_handover
{
    flow_homes origin;            ///< before the first change
    flow_homes last;              ///< at the last time that records were sent
    monotonic_time due {0};       ///< when records are to be sent; max() when they were
    monotonic_time changedAt {0}; ///< last change
};

bool contains(const flow_homes &homes, instance_id id)
{
    return homes.first == id || homes.second == id;
}

std::size_t slotIndex(const service_config &service, flow_hash hash)
{
    return static_cast<std::size_t>(hash) & (service.slots.size() - 1);
}

/** Whether a slot was tracked in the table before, which may have had another size. */
bool wasTracked(const service_config &before, std::size_t slot, std::size_t slotCount)
{
    if (slotCount >= before.slots.size())
        return before.slots[slot & (before.slots.size() - 1)].isTracked();
    for (; slot < before.slots.size(); slot += slotCount) {
        if (!before.slots[slot].isTracked())
            return false;
    }
    return true;
}

class tracked_slot_policy : public steering_policy
{
public:
    tracked_slot_policy(blackboard &board, const clock_source &clock, placement_policy &placement,
                        handover_sink &handover, const steering_settings &settings)
        : m_board(board)
        , m_clock(clock)
        , m_placement(placement)
        , m_handover(handover)
        , m_maxRecords(settings.maxFlows)
        , m_flows(settings.maxFlows)
        , m_homes(board, clock, true)
        , m_config(board.config)
        , m_now(clock.now())
        , m_tickedAt(m_now)
    {
        tracked_slot_policy::onChange();
    }

    steering_decision steer(const steering_input &input) override
    {
        updateTime();
        if (input.service->slots.empty())
            return refuseFlow(input);
        if (input.needsHome)
            return throughHome(input);

        const slot_entry &slot = slotOf(input);
        const packet_kind kind = input.packet.kind;
        if (!isTracked(slot)) {
            if (!m_isDomainLost || kind == packet_kind::Open)
                return steerUntracked(input, slot);
            const flow_entry *entry = findFlow(input.hash);
            return isUsable(entry, input) ? forward(input, entry->upstream) : throughHome(input);
        }
        if (kind == packet_kind::Data) {
            flow_entry *entry = findFlow(input.hash);
            if (isTrusted(entry) && isUsable(entry, input)) {
                entry->seenAt = m_flowNow;
                return detail::forwardTo(entry->upstream);
            }
        }
        return throughHome(input);
    }

    steering_decision steerRelayed(const steering_input &input, const relay_header &header) override
    {
        updateTime();
        if (input.service->slots.empty())
            return refuseFlow(input);
        if (header.upstream != noUpstream)
            return applyDecision(input, header.upstream);

        const flow_homes homes = m_homes.flowHomes(input.hash);
        const auto record = m_records.find(input.hash);
        const bool isReopened = input.packet.kind == packet_kind::Open && record != m_records.end()
            && record->second.isClosing;
        const bool isFirst = homes.first == noInstance || homes.first == m_board.self.id;
        // With two relays done, both homes were asked; another one would only go round.
        const bool isAskedByHome = header.hops >= 2 && homes.second == m_board.self.id;
        if (isFirst || isAskedByHome || (record != m_records.end() && !isReopened))
            return decide(input, header.hops, homes);
        return detail::relayTo(homes.first, relay_direction::ToUpstream, header.hops, noUpstream);
    }

    steering_decision steerReply(const steering_input &input, upstream_id upstream) override
    {
        updateTime();
        const packet_kind kind = input.packet.kind;
        const flow_entry *entry = findFlow(input.hash);
        const auto record = m_records.find(input.hash);
        if (record != m_records.end() && record->second.upstream != upstream)
            return dropMismatch();
        const bool isReopened =
            kind == packet_kind::OpenReply && entry && entry->state == flow_state::Closing;
        if (isTrusted(entry) && entry->upstream != upstream && !isReopened)
            return dropMismatch();
        if (!detail::upstreamOf(*input.service, upstream) || input.service->slots.empty())
            return dropMismatch();

        const slot_entry &slot = slotOf(input);
        if (kind == packet_kind::Reset) {
            if (isTracked(slot) || m_isDomainLost)
                return throughHomeToCaller(input, upstream);
            if (upstream != slot.holder)
                return dropMismatch();
        }
        if (record != m_records.end())
            record->second.seenAt = m_flowNow;
        learn(input, upstream, true);
        return detail::forwardTo(upstream);
    }

    steering_decision steerRelayedReply(const steering_input &input,
                                        const relay_header &header) override
    {
        updateTime();
        if (input.service->slots.empty())
            return dropMismatch();
        return decideReply(input, header.upstream, header.hops);
    }

    void onHandover(const flow_record &record) override
    {
        updateTime();
        // An own record is newer than a copy or equal to it.
        const auto [at, isNew] = m_records.try_emplace(record.hash);
        if (!isNew)
            return;
        at->second = {record.upstream, m_flowNow, m_flowNow, false};
    }

    void onChange() override
    {
        updateTime();
        if (m_config != m_board.config)
            announceSlots();
        m_config = m_board.config;
        m_everDeflected.reset();
        for (const auto &[id, state] : m_board.upstreams) {
            if (state.incarnation > 0)
                m_everDeflected.set(deflectionBit(id));
        }
        scanMembers();
        noteHomeChanges();
        populateJoining();
        handOver();
    }

    void tick() override
    {
        const monotonic_time now = m_clock.now();
        if (now - m_tickedAt > pauseLimit)
            m_resumedUntil = now + resumeTime;
        m_tickedAt = now;
        updateTime();
        if (now - m_scannedAt >= memberScanInterval)
            scanMembers();
        handOver();
        m_flows.expire(m_flowNow, expiredGroupsPerTick);
        expireRecords();
        std::erase_if(m_unplaced, [this](const auto &one) {
            return m_flowNow - one.second.seenAt >= unplacedWindow;
        });
    }

    std::vector<upstream_flow_count> countFlows() const override { return m_flows.countFlows(); }
    std::size_t countRecords() const override { return m_records.size(); }

private:
    using record_map = std::unordered_map<flow_hash, held_record>;

    // ---- state of the packet's slot and flow

    void updateTime()
    {
        m_now = m_clock.now();
        m_flowNow = toFlowTime(m_now);
    }

    static const slot_entry &slotOf(const steering_input &input)
    {
        return input.service->slots[slotIndex(*input.service, input.hash)];
    }

    static std::size_t deflectionBit(upstream_id upstream) { return idValue(upstream) & 0xffff; }

    bool wasHolderDeflected(const slot_entry &slot) const
    {
        return m_everDeflected.test(deflectionBit(slot.holder))
            && m_placement.wasDeflected(slot.holder);
    }

    /** Whether the slot is tracked by its table entry or by the condition of its holder. */
    bool isTrackedHere(const slot_entry &slot) const
    {
        return slot.isTracked() || wasHolderDeflected(slot);
    }

    /** Whether other instances may hold records for the slot, as far as this one can tell. */
    bool isTracked(const slot_entry &slot) const
    {
        return isTrackedHere(slot) || m_isVersionLate || m_now < m_resumedUntil
            || m_now - m_tickedAt > pauseLimit;
    }

    flow_entry *findFlow(flow_hash hash)
    {
        flow_entry *entry = m_flows.find(hash);
        if (!entry || m_flowNow - entry->seenAt >= flow_table::idleTimeout(entry->state))
            return nullptr;
        return entry;
    }

    /**
     * Whether an entry is certain. While a domain is lost, no home is authoritative, and an old
     * entry is better than none: a wrong one takes a 5-tuple that was reused meanwhile.
     */
    bool isTrusted(const flow_entry *entry) const
    {
        return entry && (m_isDomainLost || m_flowNow - entry->confirmedAt < trustWindow);
    }

    /** Whether the upstream of an entry belongs to the packet's service. */
    static bool isUsable(const flow_entry *entry, const steering_input &input)
    {
        return entry && detail::upstreamOf(*input.service, entry->upstream);
    }

    /** Notes a packet of a flow whose upstream is certain. */
    void learn(const steering_input &input, upstream_id upstream, bool isReply)
    {
        const packet_kind kind = input.packet.kind;
        flow_state state = isReply ? detail::establishedState(*input.service)
                                   : detail::openingState(*input.service);
        flow_entry *entry = findFlow(input.hash);
        const bool isNew = kind == packet_kind::Open || kind == packet_kind::OpenReply;
        if (entry && !isReply && !isNew)
            state = entry->state;
        if (!entry && kind == packet_kind::Data)
            state = detail::establishedState(*input.service);
        if (entry && !isNew && entry->state == flow_state::Closing)
            state = flow_state::Closing;
        if (detail::isClosing(kind))
            state = flow_state::Closing;
        if (!entry) {
            m_flows.insert(input.hash, upstream, state, m_flowNow);
            return;
        }
        m_flows.setUpstream(*entry, upstream);
        entry->state = state;
        entry->seenAt = m_flowNow;
        entry->confirmedAt = m_flowNow;
    }

    steering_decision forward(const steering_input &input, upstream_id upstream)
    {
        learn(input, upstream, false);
        return detail::forwardTo(upstream);
    }

    steering_decision dropMismatch()
    {
        ++m_board.counters.repliesMismatched;
        return detail::drop();
    }

    steering_decision refuseFlow(const steering_input &input)
    {
        if (input.packet.kind != packet_kind::Open
            && input.service->protocol != service_protocol::Udp)
            return detail::drop();
        ++m_board.counters.flowsRefused;
        return detail::refuse();
    }

    // ---- packets of callers

    steering_decision steerUntracked(const steering_input &input, const slot_entry &slot)
    {
        if (slot.holder == noUpstream)
            return refuseFlow(input);
        switch (input.packet.kind) {
        case packet_kind::Open:
            return placeAtHolder(input, slot);
        case packet_kind::Close:
        case packet_kind::Reset:
            return forward(input, slot.holder);
        default:
            return detail::forwardTo(slot.holder);
        }
    }

    steering_decision throughHome(const steering_input &input)
    {
        const flow_homes homes = m_homes.flowHomes(input.hash);
        if (homes.first == noInstance || homes.first == m_board.self.id)
            return decide(input, 0, homes);
        return detail::relayTo(homes.first, relay_direction::ToUpstream, 0, noUpstream);
    }

    /** The home other than this instance, or noInstance. */
    instance_id otherHome(const flow_homes &homes) const
    {
        return homes.first == m_board.self.id ? homes.second : homes.first;
    }

    /** Whether the other home may hold a record that this one has not received yet. */
    bool mayAskOther(const steering_input &input, unsigned hops, const flow_homes &homes)
    {
        if (homes.first != m_board.self.id || homes.second == noInstance || hops > 1)
            return false;
        const monotonic_time changedAt = m_homes.changedAt(input.hash);
        return changedAt.count() != 0 && m_now - changedAt < homesSettleTime;
    }

    /** Decides as a home, with or without a record. */
    steering_decision decide(const steering_input &input, unsigned hops, const flow_homes &homes)
    {
        const auto record = m_records.find(input.hash);
        if (record != m_records.end()) {
            if (detail::upstreamOf(*input.service, record->second.upstream)) {
                if (input.packet.kind != packet_kind::Open || !record->second.isClosing)
                    return decideByRecord(input, record->second, hops, homes);
                m_records.erase(record);
                return place(input, hops, homes);
            }
            if (m_isVersionBehind)
                return detail::drop(); // a newer version may have added the upstream
            m_records.erase(record);
        }
        const slot_entry &slot = slotOf(input);
        if (isTrackedHere(slot) && mayAskOther(input, hops, homes))
            return detail::relayTo(homes.second, relay_direction::ToUpstream, hops, noUpstream);
        if (input.packet.kind == packet_kind::Open)
            return place(input, hops, homes);
        return decideUnrecorded(input, slot, hops, homes);
    }

    steering_decision decideByRecord(const steering_input &input, held_record &record,
                                     unsigned hops, const flow_homes &homes)
    {
        const packet_kind kind = input.packet.kind;
        record.seenAt = m_flowNow;
        if (detail::isClosing(kind))
            record.isClosing = true;
        learn(input, record.upstream, false);

        const instance_id other = otherHome(homes);
        // A retransmitted SYN passes the other home again, because the first one may have been lost
        // before that home stored the record.
        const bool concernsOther = kind != packet_kind::Data || needsSharing(input.hash, record);
        if (!concernsOther || other == noInstance || hops >= maxRelayHops)
            return detail::forwardTo(record.upstream);
        record.sharedAt = m_flowNow;
        return detail::relayTo(other, relay_direction::ToUpstream, hops, record.upstream);
    }

    /** Whether the other home may lack its copy of a record, or will let it expire. */
    bool needsSharing(flow_hash hash, const held_record &record)
    {
        if (m_flowNow - record.sharedAt >= recordRefreshInterval)
            return true;
        const monotonic_time changedAt = m_homes.changedAt(hash);
        return changedAt.count() != 0
            && m_flowNow - toFlowTime(changedAt) < m_flowNow - record.sharedAt;
    }

    /** Decides for a packet other than a SYN of which neither home has a record. */
    steering_decision decideUnrecorded(const steering_input &input, const slot_entry &slot,
                                       unsigned hops, const flow_homes &homes)
    {
        const bool isDatagram = input.service->protocol == service_protocol::Udp;
        const flow_entry *entry = findFlow(input.hash);
        if (isUsable(entry, input) && (isTrusted(entry) || isDatagram))
            return forward(input, entry->upstream);
        if (isDatagram && countsAsNew(*input.service, slot, input.hash))
            return place(input, hops, homes);
        if (slot.holder == noUpstream)
            return detail::drop();
        // Homes remember UDP flows in use, so that these don't count as new later on.
        if (isDatagram && !m_isDomainLost)
            return forward(input, slot.holder);
        if (m_isDomainLost && !isRetransmittedEnough(input)) {
            ++m_board.counters.packetsUnplaced;
            return detail::drop();
        }
        // The holder is not learnt: a wrong entry would make the reply check drop right replies.
        return detail::forwardTo(slot.holder);
    }

    /** Whether an unknown UDP flow can no longer be one of the holder's open flows. */
    bool countsAsNew(const service_config &service, const slot_entry &slot, flow_hash hash)
    {
        const upstream_config *holder = detail::upstreamOf(service, slot.holder);
        if (!holder)
            return true;
        // A home that is new to the flow knows the flows in use after one timeout only.
        const monotonic_time changedAt = m_homes.changedAt(hash);
        const bool isNewHome = changedAt.count() != 0 && m_now - changedAt < udpTimeout;
        return holder->mode == upstream_mode::Leaving && !isNewHome
            && m_clock.wallNow() - holder->leavingSince >= udpTimeout;
    }

    bool isRetransmittedEnough(const steering_input &input)
    {
        if (m_unplaced.size() >= maxUnplacedFlows && !m_unplaced.contains(input.hash))
            return false;
        unplaced_flow &flow = m_unplaced[input.hash];
        flow.seenAt = m_flowNow;
        if (flow.isRefuted)
            return false;
        if (flow.transmissions >= placingTransmission)
            return true;
        if (flow.sequence != input.packet.sequence)
            flow.transmissions = 0;
        flow.sequence = input.packet.sequence;
        return ++flow.transmissions >= placingTransmission;
    }

    /** Takes the decision of the other home. */
    steering_decision applyDecision(const steering_input &input, upstream_id upstream)
    {
        if (!detail::upstreamOf(*input.service, upstream))
            return detail::drop();
        const bool closes = detail::isClosing(input.packet.kind);
        const auto at = m_records.find(input.hash);
        if (at != m_records.end()) {
            at->second = {upstream, m_flowNow, m_flowNow,
                          closes
                              || (at->second.isClosing && input.packet.kind != packet_kind::Open)};
        } else if (!closes && m_records.size() < m_maxRecords) {
            m_records.emplace(input.hash, held_record {upstream, m_flowNow, m_flowNow, false});
            sendToNewerHomes({input.hash, upstream});
            copyToJoining({input.hash, upstream});
        }
        return forward(input, upstream);
    }

    /** Passes on a record that arrived from a member which still takes this one for a home. */
    void sendToNewerHomes(const flow_record &record)
    {
        const flow_homes homes = m_homes.flowHomes(record.hash);
        if (homes.first == m_board.self.id || homes.second == m_board.self.id)
            return;
        for (const instance_id home : {homes.first, homes.second}) {
            if (home != noInstance)
                m_handover.sendHandover(home, record);
        }
    }

    // ---- placement of new flows

    /** Whether new flows of a tracked slot may leave the holder: all instances track the slot. */
    bool isAnnounced(const service_config &service, const slot_entry &slot, flow_hash hash) const
    {
        if (!slot.isTracked()) {
            const auto state = m_board.upstreams.find(slot.holder);
            return wasHolderDeflected(slot) && state != m_board.upstreams.end()
                && m_now - state->second.changedAt >= announceDelay;
        }
        return std::none_of(
            m_announcements.begin(), m_announcements.end(), [&](const slot_announcement &one) {
                return one.service == service.id && m_now - one.appliedAt < announceDelay
                    && one.slots[static_cast<std::size_t>(hash) & (one.slots.size() - 1)];
            });
    }

    steering_decision placeAtHolder(const steering_input &input, const slot_entry &slot)
    {
        const flow_entry *entry = findFlow(input.hash);
        const bool isOpen = entry && entry->state != flow_state::Closing
            && entry->upstream == slot.holder && isTrusted(entry);
        if (!isOpen) {
            if (!m_placement.admit(*input.service))
                return refuseFlow(input);
            ++m_board.counters.flowsOpened;
        }
        return forward(input, slot.holder);
    }

    /** Places a new flow as a home; an exception is recorded before the packet goes on. */
    steering_decision place(const steering_input &input, unsigned hops, const flow_homes &homes)
    {
        const slot_entry &slot = slotOf(input);
        const flow_entry *entry = findFlow(input.hash);
        if (isTrusted(entry) && isUsable(entry, input) && entry->state != flow_state::Closing)
            return forward(input, entry->upstream);
        if (!isAnnounced(*input.service, slot, input.hash) && slot.holder != noUpstream)
            return placeAtHolder(input, slot);
        if (!m_placement.admit(*input.service))
            return refuseFlow(input);

        upstream_id upstream = m_placement.choose(*input.service, slot, input.hash);
        if (upstream != slot.holder && m_records.size() >= m_maxRecords)
            upstream = holderIfActive(*input.service, slot);
        if (upstream == noUpstream)
            return refuseFlow(input);
        ++m_board.counters.flowsOpened;
        learn(input, upstream, false);
        if (upstream == slot.holder)
            return detail::forwardTo(upstream);

        ++m_board.counters.exceptionsRecorded;
        m_records[input.hash] = {upstream, m_flowNow, m_flowNow, false};
        copyToJoining({input.hash, upstream});
        const instance_id other = otherHome(homes);
        if (other == noInstance)
            return detail::forwardTo(upstream);
        return detail::relayTo(other, relay_direction::ToUpstream, hops, upstream);
    }

    static upstream_id holderIfActive(const service_config &service, const slot_entry &slot)
    {
        const upstream_config *holder = detail::upstreamOf(service, slot.holder);
        return holder && holder->mode == upstream_mode::Active ? slot.holder : noUpstream;
    }

    // ---- resets of upstreams, which homes check

    steering_decision throughHomeToCaller(const steering_input &input, upstream_id upstream)
    {
        const flow_homes homes = m_homes.flowHomes(input.hash);
        if (homes.first == noInstance || homes.first == m_board.self.id)
            return decideReply(input, upstream, 0);
        return detail::relayTo(homes.first, relay_direction::ToCaller, 0, upstream);
    }

    steering_decision decideReply(const steering_input &input, upstream_id upstream, unsigned hops)
    {
        const flow_homes homes = m_homes.flowHomes(input.hash);
        const bool isFirst = homes.first == noInstance || homes.first == m_board.self.id;
        const auto record = m_records.find(input.hash);
        if (record != m_records.end()) {
            if (record->second.upstream != upstream)
                return dropMismatch();
            record->second.isClosing = true;
            record->second.seenAt = m_flowNow;
            learn(input, upstream, true);
            if (isFirst && homes.second != noInstance && hops <= 1)
                return detail::relayTo(homes.second, relay_direction::ToCaller, hops, upstream);
            return detail::forwardTo(upstream);
        }
        const slot_entry &slot = slotOf(input);
        if (isTrackedHere(slot) && mayAskOther(input, hops, homes))
            return detail::relayTo(homes.second, relay_direction::ToCaller, hops, upstream);
        if (!isFirst && hops <= 1)
            return detail::relayTo(homes.first, relay_direction::ToCaller, hops, upstream);

        const flow_entry *entry = findFlow(input.hash);
        const bool isKnown = isTrusted(entry) && isUsable(entry, input);
        // The holder may have got a packet of a flow that only the lost side can place; that side
        // may track the slot by a version that is not in force here.
        const auto unplaced = m_unplaced.find(input.hash);
        const bool isUnplaced = unplaced != m_unplaced.end();
        const bool isGuess = !isKnown && m_isDomainLost && (isTrackedHere(slot) || isUnplaced);
        if (isGuess && isUnplaced && upstream == slot.holder)
            unplaced->second.isRefuted = true;
        if (isGuess || upstream != (isKnown ? entry->upstream : slot.holder))
            return dropMismatch();
        learn(input, upstream, true);
        return detail::forwardTo(upstream);
    }

    // ---- changes of configuration and members

    void announceSlots()
    {
        for (const auto &[id, service] : m_board.config->services) {
            const auto before = m_config->services.find(id);
            if (before == m_config->services.end() || before->second == service)
                continue;
            announceSlotsOf(*before->second, *service);
        }
    }

    void announceSlotsOf(const service_config &before, const service_config &service)
    {
        if (before.slots.empty() || service.slots.empty())
            return;
        slot_announcement announcement {service.id, m_board.config->version, m_now,
                                        std::vector<bool>(service.slots.size())};
        bool isNeeded = false;
        for (std::size_t slot = 0; slot < service.slots.size(); ++slot) {
            if (!service.slots[slot].isTracked() || wasTracked(before, slot, service.slots.size()))
                continue;
            announcement.slots[slot] = true;
            isNeeded = true;
        }
        if (isNeeded)
            m_announcements.push_back(std::move(announcement));
    }

    /** Reads versions and losses of domains from the member list. */
    void scanMembers()
    {
        m_scannedAt = m_now;
        config_version lowest = m_board.config->version;
        config_version highest = lowest;
        std::unordered_map<domain_id, bool> lost; // by foreign domain: whether no member is heard
        std::unordered_map<domain_id, bool> lostRecently;
        for (const auto &[id, one] : m_board.members) {
            const bool isHeard =
                one.state != member_state::Suspect && one.state != member_state::Dead;
            if (isHeard && id != m_board.self.id) {
                lowest = std::min(lowest, one.version);
                highest = std::max(highest, one.version);
            }
            if (one.domain == m_board.self.domain)
                continue;
            bool &isLost = lost.try_emplace(one.domain, true).first->second;
            isLost = isLost && !isHeard;
            if (!isHeard && m_now - one.since < domainLossTime)
                lostRecently[one.domain] = true;
        }
        const bool isLostNow = std::any_of(lost.begin(), lost.end(), [&](const auto &one) {
            return one.second && lostRecently.contains(one.first);
        });
        // After the return of the first member, the records of the other side are still on the way.
        if (isLostNow)
            m_domainLostUntil = m_now + homesSettleTime;
        m_isDomainLost = m_now < m_domainLostUntil;
        std::erase_if(m_announcements, [&](const slot_announcement &one) {
            return lowest >= one.version || m_now - one.appliedAt >= announceDelay;
        });
        noteVersions(highest);
    }

    void noteVersions(config_version highest)
    {
        const bool isBehind = highest > m_board.config->version;
        if (isBehind && !m_isVersionBehind)
            m_behindSince = m_now;
        m_isVersionBehind = isBehind;
        m_isVersionLate = isBehind && m_now - m_behindSince >= versionLagLimit;
    }

    member_state stateOf(instance_id id) const
    {
        const auto at = m_board.members.find(id);
        return at == m_board.members.end() ? member_state::Dead : at->second.state;
    }

    bool isAlive(instance_id id) const
    {
        const member_state state = stateOf(id);
        return id != noInstance && state != member_state::Suspect && state != member_state::Dead;
    }

    bool isReady(instance_id id) const { return stateOf(id) == member_state::Ready; }

    void noteHomeChanges()
    {
        for (const home_change &change : m_homes.takeChanges()) {
            const bool isSuspicion = stateOf(change.before.first) == member_state::Suspect
                || stateOf(change.before.second) == member_state::Suspect;
            const monotonic_time due = isSuspicion ? m_now + suspicionTime : m_now;
            const auto [at, isNew] = m_handovers.try_emplace(change.bucket);
            if (isNew)
                at->second.origin = at->second.last = change.before;
            at->second.due = due;
            at->second.changedAt = m_now;
            m_handoverDue = std::min(m_handoverDue, due);
        }
    }

    /** Copies the records of buckets whose homes changed to the new homes. */
    void handOver()
    {
        if (m_now < m_handoverDue)
            return;
        const bool isAnyDue =
            std::any_of(m_handovers.begin(), m_handovers.end(),
                        [this](const auto &one) { return one.second.due <= m_now; });
        for (const auto &[hash, record] : m_records) {
            if (!isAnyDue)
                break;
            const auto at = m_handovers.find(homeBucket(hash));
            if (at != m_handovers.end() && at->second.due <= m_now && !record.isClosing)
                handOverRecord({hash, record.upstream}, at->second);
        }
        for (auto &[bucket, pending] : m_handovers) {
            if (pending.due > m_now)
                continue;
            pending.due = monotonic_time::max();
            pending.last = m_homes.bucketHomes(bucket);
        }
        std::erase_if(m_handovers, [this](const auto &one) {
            return one.second.due == monotonic_time::max()
                && m_now - one.second.changedAt >= homesSettleTime;
        });
        m_handoverDue = monotonic_time::max();
        for (const auto &[bucket, pending] : m_handovers) {
            m_handoverDue =
                std::min(m_handoverDue, std::min(pending.due, pending.changedAt + homesSettleTime));
        }
    }

    /** Whether this instance sends the records that a pair of homes holds. */
    bool isSenderOf(const flow_homes &homes) const
    {
        // A former home that stays ready goes first: a leaving one may receive records after it has
        // sent its own. When both are lost, whoever holds a copy sends it.
        instance_id sender = isReady(homes.first) ? homes.first : homes.second;
        if (!isReady(sender))
            sender = isAlive(homes.first) ? homes.first : homes.second;
        return sender == m_board.self.id || !isAlive(sender);
    }

    void handOverRecord(const flow_record &record, const pending_handover &pending)
    {
        // The other home of a leaving instance may have died unnoticed, and is then noticed only
        // when this instance is gone.
        const bool isLeaving = m_board.self.state == member_state::Leaving;
        if (!isLeaving && !isSenderOf(pending.origin) && !isSenderOf(pending.last))
            return;
        const flow_homes now = m_homes.flowHomes(record.hash);
        for (const instance_id home : {now.first, now.second}) {
            // A newcomer that received copies while joining gets them again: records of the moment
            // between two views would otherwise be missing.
            const bool hasIt = contains(pending.last, home) || home == m_board.self.id;
            if (!hasIt && home != noInstance)
                m_handover.sendHandover(home, record);
        }
    }

    /** Copies records to members that will be homes once they are ready. */
    void populateJoining()
    {
        std::erase_if(m_populated, [this](instance_id id) {
            const member_state state = stateOf(id);
            return state != member_state::Joining && state != member_state::Ready;
        });
        m_joining.clear();
        for (const auto &[id, one] : m_board.members) {
            if (one.state != member_state::Joining || id == m_board.self.id)
                continue;
            m_joining.push_back(one);
            if (!m_populated.insert(id).second)
                continue;
            for (const auto &[hash, record] : m_records) {
                if (!record.isClosing)
                    copyTo(one, {hash, record.upstream});
            }
        }
    }

    void copyToJoining(const flow_record &record)
    {
        for (const member &one : m_joining)
            copyTo(one, record);
    }

    void copyTo(const member &joining, const flow_record &record)
    {
        const flow_homes now = m_homes.flowHomes(record.hash);
        const instance_id sender = isAlive(now.first) ? now.first : now.second;
        if (sender != m_board.self.id)
            return;
        const flow_homes then = m_homes.homesWith(record.hash, joining);
        if (then.first == joining.id || then.second == joining.id)
            m_handover.sendHandover(joining.id, record);
    }

    void expireRecords()
    {
        std::vector<flow_hash> expired;
        const std::size_t buckets = m_records.bucket_count();
        for (std::size_t step = 0; step < std::min(buckets, expiredBucketsPerTick); ++step) {
            m_recordCursor = (m_recordCursor + 1) % buckets;
            for (auto at = m_records.begin(m_recordCursor); at != m_records.end(m_recordCursor);
                 ++at) {
                if (m_flowNow - at->second.seenAt >= timeoutOf(at->first, at->second))
                    expired.push_back(at->first);
            }
        }
        for (const flow_hash hash : expired)
            m_records.erase(hash);
    }

    flow_time timeoutOf(flow_hash hash, const held_record &record)
    {
        if (record.isClosing)
            return recordClosingTimeout;
        const flow_homes homes = m_homes.flowHomes(hash);
        const bool isHome = homes.first == m_board.self.id || homes.second == m_board.self.id;
        return isHome ? recordIdleTimeout : formerHomeTimeout;
    }

    blackboard &m_board;
    const clock_source &m_clock;
    placement_policy &m_placement;
    handover_sink &m_handover;
    std::size_t m_maxRecords;
    flow_table m_flows;
    home_table m_homes;
    record_map m_records; ///< at most m_maxRecords of own placements
    std::size_t m_recordCursor = 0;
    std::shared_ptr<const configuration> m_config; ///< as of the last onChange(); never null
    monotonic_time m_now;                          ///< of the call in progress
    flow_time m_flowNow = 0;                       ///< m_now as flow time
    monotonic_time m_tickedAt;
    monotonic_time m_scannedAt {0};
    monotonic_time m_resumedUntil {0};
    monotonic_time m_behindSince {0};
    monotonic_time m_domainLostUntil {0};
    bool m_isVersionBehind = false; ///< a member reports a higher version
    bool m_isVersionLate = false;   ///< behind for versionLagLimit
    bool m_isDomainLost = false;
    /// By low bits of the upstream id; a set bit may be a coincidence, a clear bit is certain.
    std::bitset<65'536> m_everDeflected;
    std::vector<slot_announcement> m_announcements;
    std::unordered_map<flow_hash, unplaced_flow> m_unplaced;       ///< at most maxUnplacedFlows
    std::unordered_map<std::size_t, pending_handover> m_handovers; ///< by bucket
    monotonic_time m_handoverDue = monotonic_time::max();          ///< earliest due time
    std::vector<member> m_joining;
    std::unordered_set<instance_id> m_populated; ///< received copies while joining
};

} // namespace

std::unique_ptr<steering_policy> makeTrackedSlotPolicy(blackboard &board, const clock_source &clock,
                                                       placement_policy &placement,
                                                       handover_sink &handover,
                                                       const steering_settings &settings)
{
    return std::make_unique<tracked_slot_policy>(board, clock, placement, handover, settings);
}

} // namespace chicoryhead
