/**
 * @file membership.cpp
 * Probing and dissemination.
 */

#include "core/log_func.h"
#include "membership_base.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace chicoryhead {

namespace {

constexpr std::size_t pushFanOut = 3; ///< members that news is pushed to at once
constexpr std::size_t indirectProbes = 2;
constexpr std::size_t maxUpdatesPerMessage = 8;
constexpr std::size_t maxNoticesPerMessage = 12;
constexpr std::size_t maxVersionsPerMessage = 8;
constexpr std::size_t syncPageMembers = 40;
constexpr std::size_t syncPageNotices = 40;
/// Above this number, versions are only learnt from the members themselves: passing on a report
/// of each member for each version would cost bytes in proportion to the square of the members.
constexpr std::size_t maxMembersForVersionGossip = 64;
constexpr unsigned repeatFactor = 3;
/// All members are looked through, so at 5,100 of them this must not happen at each tick.
constexpr monotonic_time expiryInterval = std::chrono::milliseconds(250);

member_update updateOf(const member &peer)
{
    return {peer.id, peer.address, peer.domain, peer.incarnation, peer.state};
}

bool isNewer(const member_update &update, const member &known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

} // namespace

membership::membership(blackboard &board, const clock_source &clock, random_source &random,
                       messenger &messages, const member &self, const membership_settings &settings)
    : m_board(board)
    , m_clock(clock)
    , m_random(random)
    , m_messages(messages)
    , m_settings(settings)
    , m_contacts(settings.seeds)
    , m_startedAt(clock.now())
    , m_tickedAt(clock.now())
{
    m_board.self = self;
    // A restarted instance must outrank what others remember of its predecessor.
    m_board.self.incarnation = static_cast<std::uint32_t>(clock.wallNow().count());
    m_board.self.state = member_state::Joining;
    m_board.self.since = clock.now();
    touch();
    queue(updateOf(m_board.self));
    for (const auto &address : m_contacts)
        contact(address);
}

void membership::touch()
{
    m_board.members[m_board.self.id] = m_board.self;
    ++m_board.membersRevision;
}

unsigned membership::repeatLimit() const
{
    return repeatFactor * static_cast<unsigned>(std::bit_width(m_board.members.size()));
}

void membership::queue(const member_update &update)
{
    m_updates[update.id] = {update, 0};
    m_hasNews = true;
}

void membership::queueVersion(const version_report &report)
{
    if (m_board.members.size() <= maxMembersForVersionGossip)
        m_versions[report.id] = {report, 0};
}

void membership::gossip(const upstream_notice &notice)
{
    const auto found = m_notices.find(notice.upstream);
    if (found != m_notices.end() && found->second.notice.incarnation >= notice.incarnation)
        return;
    m_notices[notice.upstream] = {notice, 0};
    m_hasNews = true;
}

void membership::gossipVersion()
{
    m_board.self.version = m_board.config->version;
    m_board.members[m_board.self.id].version = m_board.self.version;
    queueVersion({m_board.self.id, m_board.self.version});
    m_hasNews = true;
}

void membership::setSelfState(member_state state)
{
    ++m_board.self.incarnation;
    m_board.self.state = state;
    m_board.self.since = m_clock.now();
    touch();
    queue(updateOf(m_board.self));
    logEvent(log_level::Info, "member_state",
             {{"instance", std::to_string(idValue(m_board.self.id))},
              {"state", std::string(toString(state))}});
}

void membership::allowReady(bool isAllowed)
{
    m_isReadyAllowed = isAllowed;
}

void membership::leave()
{
    if (m_isLeaving)
        return;
    m_isLeaving = true;
    setSelfState(member_state::Leaving);
    pushNews();
}

void membership::enter(member &peer, member_state state)
{
    if (state == member_state::Suspect && peer.state != member_state::Suspect)
        peer.stateBeforeSuspicion = peer.state;
    peer.state = state;
    peer.since = m_clock.now();
    ++m_board.membersRevision;
    logEvent(
        log_level::Info, "member_state",
        {{"instance", std::to_string(idValue(peer.id))}, {"state", std::string(toString(state))}});
}

void membership::applyToSelf(const member_update &update)
{
    const bool isRefutable =
        update.state == member_state::Suspect || update.state == member_state::Dead;
    const bool isNewerIncarnation = update.incarnation > m_board.self.incarnation;
    if (!isNewerIncarnation && !(isRefutable && update.incarnation == m_board.self.incarnation))
        return;
    m_board.self.incarnation = std::max(update.incarnation, m_board.self.incarnation) + 1;
    touch();
    queue(updateOf(m_board.self));
}

void membership::apply(const member_update &update)
{
    if (update.id == m_board.self.id) {
        applyToSelf(update);
        return;
    }
    const auto found = m_board.members.find(update.id);
    if (found == m_board.members.end()) {
        if (update.state == member_state::Dead) {
            if (!m_isSynced)
                addLostMember(update);
            return;
        }
        member peer;
        peer.id = update.id;
        peer.address = update.address;
        peer.domain = update.domain;
        peer.incarnation = update.incarnation;
        peer.wasAlive = true;
        enter(m_board.members[update.id] = peer, update.state);
        queue(update);
        return;
    }
    member &known = found->second;
    if (!isNewer(update, known))
        return;
    known.address = update.address;
    known.domain = update.domain;
    known.incarnation = update.incarnation;
    known.wasAlive = known.wasAlive || update.state != member_state::Dead;
    if (known.state != update.state)
        enter(known, update.state);
    queue(update);
}

/** Takes a dead member from a sync page: its failure domain is cut off, or was lost. */
void membership::addLostMember(const member_update &update)
{
    member &peer = m_board.members[update.id];
    peer.id = update.id;
    peer.address = update.address;
    peer.domain = update.domain;
    peer.incarnation = update.incarnation;
    enter(peer, member_state::Dead);
}

void membership::onMessage(const peer_message &message, const endpoint &from)
{
    if (message.sender.id == m_board.self.id)
        return;
    m_isViewFresh = true;
    apply(message.sender);
    for (const auto &update : message.updates)
        apply(update);
    const auto found = m_board.members.find(message.sender.id);
    if (found != m_board.members.end() && message.version > found->second.version) {
        found->second.version = message.version;
        queueVersion({message.sender.id, message.version});
    }
    for (const auto &report : message.versions) {
        const auto known = m_board.members.find(report.id);
        if (known == m_board.members.end() || report.version <= known->second.version)
            continue;
        known->second.version = report.version;
        queueVersion(report);
    }
    if (message.probe)
        onProbe(message, from);
}

void membership::onProbe(const peer_message &message, const endpoint &from)
{
    const peer_probe &probe = *message.probe;
    peer_message answer;
    switch (probe.kind) {
    case probe_kind::Ping: {
        answer.probe = {probe_kind::Ack, probe.sequence, m_board.self.id};
        // A sender that is held for suspect or dead learns of it, so that it can refute.
        const auto found = m_board.members.find(message.sender.id);
        if (found != m_board.members.end() && found->second.state >= member_state::Suspect)
            answer.updates.push_back(updateOf(found->second));
        piggyback(answer);
        m_messages.sendTo(from, std::move(answer));
        return;
    }
    case probe_kind::Ack:
        onAck(message);
        return;
    case probe_kind::PingRequest: {
        const std::uint32_t sequence = m_nextSequence++;
        m_relayed[sequence] = {message.sender.id, probe.sequence, probe.target, m_clock.now()};
        answer.probe = {probe_kind::Ping, sequence, probe.target};
        m_messages.send(probe.target, std::move(answer));
        return;
    }
    case probe_kind::Sync:
        answerSync(message.sender.id, probe.target);
        return;
    case probe_kind::SyncPage:
        m_syncedUpTo = probe.target;
        m_isSynced = probe.target == noInstance;
        m_syncedAt.reset();
        requestSync(message.sender.id);
        return;
    }
}

void membership::onAck(const peer_message &message)
{
    const peer_probe &probe = *message.probe;
    requestSync(message.sender.id);
    const auto sender = m_board.members.find(message.sender.id);
    if (sender != m_board.members.end() && sender->second.state >= member_state::Suspect) {
        // It is alive, but only a higher incarnation of its own refutes what others were told.
        peer_message ping;
        ping.probe = {probe_kind::Ping, m_nextSequence++, sender->first};
        ping.updates.push_back(updateOf(sender->second));
        m_messages.send(sender->first, std::move(ping));
    }
    if (probe.sequence == m_probe.sequence) {
        m_probe.isAcked = true;
        return;
    }
    const auto found = m_relayed.find(probe.sequence);
    if (found != m_relayed.end()) {
        peer_message answer;
        answer.probe = {probe_kind::Ack, found->second.askerSequence, found->second.target};
        m_messages.send(found->second.asker, std::move(answer));
        m_relayed.erase(found);
    }
}

void membership::requestSync(instance_id source)
{
    const monotonic_time now = m_clock.now();
    if (m_isSynced || (m_syncedAt && now - *m_syncedAt < m_settings.period))
        return;
    m_syncedAt = now;
    peer_message request;
    request.probe = {probe_kind::Sync, m_nextSequence++, m_syncedUpTo};
    m_messages.send(source, std::move(request));
}

void membership::answerSync(instance_id asker, instance_id above)
{
    peer_message page;
    peer_probe probe {probe_kind::SyncPage, 0, noInstance};
    auto next = m_board.members.upper_bound(above);
    while (next != m_board.members.end() && page.updates.size() < syncPageMembers) {
        if (next->second.state != member_state::Dead || isLastOfLostDomain(next->second))
            page.updates.push_back(updateOf(next->second));
        probe.target = next->first;
        ++next;
    }
    if (next == m_board.members.end())
        probe.target = noInstance;
    if (above == noInstance)
        appendNotices(page);
    page.probe = probe;
    m_messages.send(asker, std::move(page));
}

/**
 * Whether a dead member tells a newcomer of a failure domain that nobody reaches. Only members that
 * this instance knew alive are passed on, else newcomers would tell each other of them for ever.
 */
bool membership::isLastOfLostDomain(const member &dead) const
{
    if (!dead.wasAlive)
        return false;
    return std::none_of(m_board.members.begin(), m_board.members.end(), [&](const auto &entry) {
        const member &one = entry.second;
        return one.domain == dead.domain && one.state != member_state::Dead;
    });
}

void membership::appendNotices(peer_message &message) const
{
    for (const auto &[id, state] : m_board.upstreams) {
        if (message.notices.size() == syncPageNotices)
            return;
        const bool isDeflected = state.condition == upstream_condition::Deflected;
        if (state.incarnation > 0)
            message.notices.push_back({id, isDeflected, state.incarnation, state.reason});
    }
}

void membership::piggyback(peer_message &message)
{
    const unsigned limit = repeatLimit();
    const auto take = [limit](auto &items, std::size_t count, auto &&append) {
        for (auto item = items.begin(); item != items.end() && count > 0; --count) {
            append(item->second);
            // Notices stay known after their repeats; entries that are done are removed.
            item = ++item->second.sent >= limit ? items.erase(item) : std::next(item);
        }
    };
    take(m_updates, maxUpdatesPerMessage,
         [&](const outgoing_update &item) { message.updates.push_back(item.update); });
    take(m_notices, maxNoticesPerMessage,
         [&](const outgoing_notice &item) { message.notices.push_back(item.notice); });
    take(m_versions, maxVersionsPerMessage,
         [&](const outgoing_version &item) { message.versions.push_back(item.report); });
}

void membership::pushNews()
{
    m_hasNews = false;
    for (const instance_id target : randomMembers(pushFanOut, m_board.self.id)) {
        peer_message message;
        piggyback(message);
        m_messages.send(target, std::move(message));
    }
}

std::vector<instance_id> membership::randomMembers(std::size_t count, instance_id except)
{
    std::vector<instance_id> candidates;
    for (const auto &[id, peer] : m_board.members) {
        const bool isCandidate = id != m_board.self.id && id != except
            && peer.state != member_state::Dead && peer.state != member_state::Suspect;
        if (isCandidate)
            candidates.push_back(id);
    }
    count = std::min(count, candidates.size());
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t other = index + m_random.next() % (candidates.size() - index);
        std::swap(candidates[index], candidates[other]);
    }
    candidates.resize(count);
    return candidates;
}

std::optional<instance_id> membership::nextTarget()
{
    while (true) {
        if (m_order.empty()) {
            m_order = randomMembers(m_board.members.size(), noInstance);
            if (m_order.empty())
                return std::nullopt;
        }
        const instance_id target = m_order.back();
        m_order.pop_back();
        const auto found = m_board.members.find(target);
        if (found != m_board.members.end() && found->second.state != member_state::Dead)
            return target;
    }
}

void membership::startProbe()
{
    m_periodStartedAt = m_clock.now();
    m_probe = {};
    const auto target = nextTarget();
    if (!target)
        return;
    m_probe = {*target, m_nextSequence++, m_clock.now(), false, false};
    peer_message message;
    message.probe = {probe_kind::Ping, m_probe.sequence, *target};
    piggyback(message);
    m_messages.send(*target, std::move(message));
}

void membership::askOthers()
{
    m_probe.isIndirect = true;
    for (const instance_id helper : randomMembers(indirectProbes, m_probe.target)) {
        peer_message message;
        message.probe = {probe_kind::PingRequest, m_probe.sequence, m_probe.target};
        m_messages.send(helper, std::move(message));
    }
}

void membership::finishProbe()
{
    if (m_probe.target == noInstance || m_probe.isAcked)
        return;
    const auto found = m_board.members.find(m_probe.target);
    if (found == m_board.members.end() || found->second.state >= member_state::Suspect)
        return;
    enter(found->second, member_state::Suspect);
    queue(updateOf(found->second));
}

void membership::expireStates()
{
    const monotonic_time now = m_clock.now();
    m_expiredAt = now;
    std::erase_if(m_board.members, [&](const auto &entry) {
        const member &peer = entry.second;
        return peer.state == member_state::Dead && now - peer.since > m_settings.forget;
    });
    std::erase_if(m_relayed,
                  [&](const auto &entry) { return now - entry.second.sentAt > m_settings.period; });
    for (auto &[id, peer] : m_board.members) {
        if (peer.state != member_state::Suspect || now - peer.since < m_settings.suspicion)
            continue;
        enter(peer, member_state::Dead);
        queue(updateOf(peer));
    }
}

void membership::contact(const endpoint &address)
{
    if (address == m_board.self.address)
        return;
    peer_message message;
    message.probe = {probe_kind::Ping, m_nextSequence++, noInstance};
    m_messages.sendTo(address, std::move(message));
}

void membership::reconnectOne()
{
    m_reconnectedAt = m_clock.now();
    std::vector<endpoint> addresses;
    for (const auto &[id, peer] : m_board.members) {
        if (peer.state == member_state::Dead)
            addresses.push_back(peer.address);
    }
    const auto isKnown = [this](const endpoint &address) {
        return std::any_of(m_board.members.begin(), m_board.members.end(),
                           [&](const auto &entry) { return entry.second.address == address; });
    };
    for (const auto &address : m_contacts) {
        if (!isKnown(address))
            addresses.push_back(address);
    }
    if (!addresses.empty())
        contact(addresses[m_random.next() % addresses.size()]);
}

void membership::onListed(const std::vector<listed_instance> &listed)
{
    m_contacts = m_settings.seeds;
    for (const auto &entry : listed)
        m_contacts.push_back(entry.peerAddress);
}

void membership::detectPause()
{
    const monotonic_time now = m_clock.now();
    // After a pause others may have declared this instance dead and gone on without it.
    if (now - m_tickedAt > m_settings.pause && m_board.members.size() > 1) {
        m_isViewFresh = false;
        logEvent(log_level::Warning, "process_paused",
                 {{"milliseconds", std::to_string((now - m_tickedAt).count() / 1000)}});
        // Probes sent before the pause prove nothing about their targets.
        m_probe = {};
    }
    m_tickedAt = now;
}

void membership::tick()
{
    detectPause();
    const monotonic_time now = m_clock.now();
    if (now - m_expiredAt >= expiryInterval)
        expireStates();
    const bool isOldEnough = now - m_startedAt >= m_settings.joining;
    if (m_board.self.state == member_state::Joining && m_isReadyAllowed && isOldEnough)
        setSelfState(member_state::Ready);
    const bool isWaiting = m_probe.target != noInstance && !m_probe.isAcked && !m_probe.isIndirect;
    if (isWaiting && now - m_probe.sentAt >= m_settings.ackTimeout)
        askOthers();
    if (now - m_periodStartedAt >= m_settings.period) {
        finishProbe();
        startProbe();
    }
    if (now - m_reconnectedAt >= m_settings.reconnect)
        reconnectOne();
    if (m_hasNews)
        pushNews();
    assert(m_board.members.count(m_board.self.id) == 1);
}

} // namespace chicoryhead
