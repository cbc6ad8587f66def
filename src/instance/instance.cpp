/**
 * @file instance.cpp
 * Controllers of one instance and what they tell each other.
 */

#include "balance/balance_func.h"
#include "core/codec_func.h"
#include "instance_base.h"

#include <algorithm>
#include <array>

namespace chicoryhead {

namespace {

constexpr std::uint8_t payloadFormat = 1;
constexpr monotonic_time flowCountInterval = std::chrono::seconds(1);
constexpr monotonic_time listInterval = std::chrono::seconds(30);
constexpr std::size_t entriesPerPayload = 30; ///< 25 bytes each; one datagram

member selfOf(const instance_settings &settings)
{
    member self;
    self.id = settings.id;
    self.address = settings.peerAddress;
    self.domain = settings.domain;
    return self;
}

template<typename Value>
peer_payload makePayload(payload_kind kind, const Value &value)
{
    const auto bytes = encodeBinary(payloadFormat, value);
    peer_payload payload;
    payload.kind = kind;
    payload.bytes.resize(bytes.size());
    std::transform(bytes.begin(), bytes.end(), payload.bytes.begin(),
                   [](std::byte byte) { return std::to_integer<std::uint8_t>(byte); });
    return payload;
}

std::unique_ptr<steering_policy> makeSteering(const instance_settings &settings, blackboard &board,
                                              const clock_source &clock,
                                              placement_policy &placement, handover_sink &handover)
{
    const auto make = settings.isPlainPolicy ? makePlainHashPolicy : makeTrackedSlotPolicy;
    return make(board, clock, placement, handover, settings.steering);
}

} // namespace

instance::instance(const instance_settings &settings, const instance_environment &environment)
    : m_settings(settings)
    , m_environment(environment)
    , m_codec(settings.peerKey)
    , m_messenger(m_board, environment.clock, environment.peers, m_codec, settings.messenger)
    , m_limiter(environment.clock, environment.random, m_board, settings.limits)
    , m_placement(makeLoadAwarePlacement(environment.clock, m_board, m_limiter))
    , m_steering(makeSteering(settings, m_board, environment.clock, *m_placement, m_messenger))
    , m_homes(m_board, environment.clock)
    , m_ledger(environment.clock, settings.id)
    , m_health(environment.clock, environment.random, m_board, environment.prober, *this,
               settings.health)
    , m_membership(m_board, environment.clock, environment.random, m_messenger, selfOf(settings),
                   settings.membership)
    , m_distribution(m_board, environment.clock, environment.random, environment.store, *this,
                     settings.distribution)
{
    m_ledger.setSink(this);
    m_distribution.setAppliedHandler([this](config_version) { onVersionApplied(); });
}

instance::~instance()
{
    *m_isAlive = false;
}

void instance::submit(const config_patch &patch, std::function<void(const patch_outcome &)> handler)
{
    m_distribution.submit(patch, std::move(handler));
}

void instance::readAudit(std::function<void(result<std::vector<audit_entry>>)> handler)
{
    m_distribution.readAudit(std::move(handler));
}

void instance::onProbeOutcome(upstream_id upstream, std::optional<load_report> report)
{
    m_health.onReport(upstream, report);
}

void instance::onVersionApplied()
{
    m_membership.gossipVersion();
    m_steering->onChange();
}

std::set<instance_id> instance::readyMembers() const
{
    std::set<instance_id> ready;
    for (const auto &[id, peer] : m_board.members) {
        if (peer.state == member_state::Ready)
            ready.insert(id);
    }
    return ready;
}

void instance::watchMembers()
{
    if (m_board.membersRevision == m_membersRevision)
        return;
    m_membersRevision = m_board.membersRevision;
    auto ready = readyMembers();
    m_steering->onChange();
    if (ready == m_readyMembers)
        return;
    for (const instance_id id : m_readyMembers) {
        const auto found = m_board.members.find(id);
        const bool isLost =
            found != m_board.members.end() && found->second.state >= member_state::Suspect;
        if (isLost)
            m_ledger.onHomeLost(id);
    }
    m_readyMembers = std::move(ready);
    std::map<instance_id, std::vector<ledger_entry>> moved;
    for (const auto &entry : m_ledger.collect([](flow_hash) { return true; })) {
        const instance_id home = m_homes.flowHomes(entry.key.hash).first;
        if (home != noInstance && home != m_board.self.id)
            moved[home].push_back(entry);
    }
    for (const auto &[home, entries] : moved)
        queueLedgerEntries(home, entries);
}

void instance::queueLedgerEntries(instance_id target, std::span<const ledger_entry> entries)
{
    while (!entries.empty()) {
        const auto part = entries.first(std::min(entriesPerPayload, entries.size()));
        const auto bytes = encodeLedgerEntries(part);
        peer_payload payload;
        payload.kind = payload_kind::LedgerEntries;
        for (const std::byte byte : bytes)
            payload.bytes.push_back(std::to_integer<std::uint8_t>(byte));
        m_messenger.queuePayload(target, std::move(payload));
        entries = entries.subspan(part.size());
    }
}

void instance::onEntry(const ledger_entry &entry)
{
    for (const auto &[id, peer] : m_board.members) {
        if (peer.state != member_state::Joining || id == m_board.self.id)
            continue;
        if (m_homes.homesWith(entry.key.hash, peer).first == id)
            queueLedgerEntries(id, std::span(&entry, 1));
    }
}

void instance::spread(const upstream_notice &notice)
{
    m_membership.gossip(notice);
    m_steering->onChange();
}

void instance::sendPull(instance_id peer, const config_pull &pull)
{
    m_messenger.queuePayload(peer, makePayload(payload_kind::ConfigPull, pull));
}

void instance::sendPage(instance_id peer, const config_page &page)
{
    m_messenger.queuePayload(peer, makePayload(payload_kind::ConfigPage, page));
}

void instance::pollInstanceList()
{
    const monotonic_time now = m_environment.clock.now();
    const bool isDue = m_listPolledAt.count() < 0 || now - m_listPolledAt >= listInterval;
    if (m_isListPending || !isDue)
        return;
    m_isListPending = true;
    m_listPolledAt = now;
    m_environment.store.listInstances([this, alive = m_isAlive](auto listed) {
        if (!*alive)
            return;
        m_isListPending = false;
        if (listed)
            m_membership.onListed(listed.value());
    });
}

void instance::tick()
{
    const monotonic_time now = m_environment.clock.now();
    m_membership.allowReady(m_board.config->version > 0);
    m_membership.tick();
    if (!m_membership.isViewFresh() && m_pausedAt.count() == 0)
        m_pausedAt = now;
    if (m_membership.isViewFresh())
        m_pausedAt = monotonic_time {0};
    watchMembers();
    m_distribution.tick();
    pollInstanceList();
    if (now - m_flowsCountedAt >= flowCountInterval) {
        m_flowsCountedAt = now;
        m_health.onFlowCounts(m_steering->countFlows());
    }
    m_health.tick();
    m_steering->tick();
    m_ledger.tick();
    m_messenger.tick();
}

void instance::beginLeaving()
{
    if (m_leavingSince.count() != 0)
        return;
    m_leavingSince = m_environment.clock.now();
    m_lastPacketAt = m_leavingSince;
    m_membership.leave();
    watchMembers();
    m_messenger.tick();
}

bool instance::isGone() const
{
    if (m_leavingSince.count() == 0)
        return false;
    const monotonic_time now = m_environment.clock.now();
    const bool isHandedOver = m_messenger.queuedRecords() == 0;
    return (isHandedOver && now - m_lastPacketAt >= m_settings.drainQuiet)
        || now - m_leavingSince >= m_settings.drainLimit;
}

bool instance::isReady() const
{
    return m_board.self.state == member_state::Ready && m_board.config->version > 0;
}

} // namespace chicoryhead
