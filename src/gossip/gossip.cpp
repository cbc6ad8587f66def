/**
 * @file gossip.cpp
 * Digests, state requests and the choice of readers.
 */

#include "gossip_base.h"

#include "sync/state_codec_func.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace chicoryhead {

namespace {

constexpr std::size_t maxReaderReports = 4;
/// Instances that a change is sent to at once; each of them forwards it to as many again.
constexpr std::size_t changeFanout = 3;

} // namespace

gossip_node::gossip_node(instance_registration self, std::vector<endpoint> seeds,
                         fleet_state &state, upstream_health &health, latency_exchange &latencies,
                         peer_sink &sink, const clock_source &clock, random_source &random,
                         event_log &log, gossip_settings settings)
    : m_self(std::move(self))
    , m_rank(rankOf(m_self.name))
    , m_seeds(std::move(seeds))
    , m_state(state)
    , m_view(state, m_self)
    , m_health(health)
    , m_latencies(latencies)
    , m_sink(sink)
    , m_clock(clock)
    , m_random(random)
    , m_log(log)
    , m_settings(settings)
    , m_transfers(*this, clock)
    , m_startedAt(clock.now())
{
    std::erase(m_seeds, m_self.peerAddress);
}

bool gossip_node::receive(const endpoint &from, std::span<const std::byte> datagram)
{
    const auto message = decodeGossip(datagram);
    if (!message) {
        ++m_malformedCount;
        m_log.write("gossip_malformed",
                    {{"from", toString(from)}, {"reason", message.error().message()}});
        return false;
    }
    const bool isStateRequest = std::holds_alternative<gossip_state_request>(message.value());
    // Starting instances are not registered yet, but their state requests are answered.
    if (!isStateRequest && !isKnownSender(from)) {
        ++m_unexpectedCount;
        return false;
    }
    if (const auto *digest = std::get_if<gossip_digest>(&message.value()))
        return onDigest(from, *digest);
    if (const auto *fragment = std::get_if<gossip_state_fragment>(&message.value()))
        return onStateFragment(from, *fragment);
    if (const auto *reports = std::get_if<gossip_liveness_reports>(&message.value()))
        onLivenessReports(from, *reports);
    else
        onStateRequest(from, std::get<gossip_state_request>(message.value()));
    return false;
}

/// Anyone can send datagrams to this port, so only registered instances and seeds are trusted.
bool gossip_node::isKnownSender(const endpoint &from) const
{
    return m_view.contains(from)
        || std::find(m_seeds.begin(), m_seeds.end(), from) != m_seeds.end();
}

void gossip_node::tick()
{
    const auto now = m_clock.now();
    m_transfers.flush();
    if (!m_state.isSynchronised()) {
        if (now >= m_nextStateRequestAt && m_state.isPreloaded())
            requestDelta();
        else if (now >= m_nextStateRequestAt
                 && now - m_startedAt >= m_settings.initialStateRequestDelay) {
            m_nextStateRequestAt = now + m_settings.stateRequestInterval;
            requestStateFromAnyPeer();
        }
        return;
    }
    if (m_synchronisedSince.count() == 0)
        m_synchronisedSince = now;
    if (!m_hasRequestedLapsed) {
        // The store does not list announcements that lapsed in an outage, but other instances do.
        m_hasRequestedLapsed = true;
        requestStateFromAnyPeer();
    }
    // Others send digests to registered instances only, and the registration may have been revoked.
    if (now >= m_nextStaleStateRequestAt && now - m_state.confirmedAt() > expectedStateAge()) {
        m_nextStaleStateRequestAt = now + m_settings.staleStateRequestInterval;
        requestStateFromAnyPeer();
    }
    updateReaderShortage();
    sendLivenessReports();
    if (now < m_nextRoundAt)
        return;
    m_nextRoundAt = now + m_settings.roundInterval;
    ++m_roundCount;
    sendLocalDigests(m_settings.localFanout);
    if (m_roundCount % m_settings.roundsPerRemoteDigest == 0)
        sendRemoteDigest();
}

void gossip_node::sendToPeer(const endpoint &peer, std::span<const std::byte> datagram)
{
    m_bytesSent += datagram.size();
    m_sink.sendToPeer(peer, datagram);
}

/// It is not known which local peers have the changes already, so two are asked each time.
void gossip_node::requestDelta()
{
    const auto &localPeers = m_view.localPeers();
    for (int i = 0; i < 2 && !localPeers.empty(); ++i)
        sendStateRequest(pickRandomPeer(localPeers));
    m_nextStateRequestAt = m_clock.now() + m_settings.deltaRequestInterval;
}

void gossip_node::announceChanges()
{
    if (m_state.contentRevision() <= m_announcedRevision)
        return;
    m_announcedRevision = m_state.contentRevision();
    sendLocalDigests(changeFanout);
    sendRemoteDigest();
}

bool gossip_node::isRecent(monotonic_time report) const
{
    return m_clock.now() - report <= m_settings.storeResponseInterval + m_settings.propagationTime;
}

void gossip_node::onStoreResponse()
{
    m_lastStoreResponseAt = m_clock.now();
    if (m_synchronisedSince.count() == 0)
        m_synchronisedSince = m_lastStoreResponseAt;
}

bool gossip_node::isCandidate() const
{
    return m_synchronisedSince.count() > 0
        && m_clock.now() - m_synchronisedSince < m_settings.candidacyTime;
}

reader_role gossip_node::readerRole() const
{
    if (isCandidate())
        return reader_role::None;
    const std::size_t lowerRankedReaders = countLowerRankedReaders();
    if (lowerRankedReaders >= m_settings.readersPerDomain)
        return reader_role::None;
    if (!isActiveReader() && !isEligibleByRank(m_settings.readersPerDomain - lowerRankedReaders))
        return reader_role::None;
    return lowerRankedReaders == 0 ? reader_role::Primary : reader_role::Backup;
}

bool gossip_node::isActiveReader() const
{
    return m_lastStoreResponseAt.count() > 0 && isRecent(m_lastStoreResponseAt);
}

/// Lower ranks are eligible first; those that do not become readers in time are passed over.
bool gossip_node::isEligibleByRank(std::size_t missingReaders) const
{
    if (m_readerShortageSince.count() == 0)
        return false;
    const auto steps = static_cast<std::size_t>((m_clock.now() - m_readerShortageSince)
                                                / m_settings.rankEscalationInterval);
    return countLowerRankedNonReaders() < missingReaders * (1 + steps);
}

/// Local peers with a lower rank that are not known to read the store.
std::size_t gossip_node::countLowerRankedNonReaders() const
{
    const auto &ranks = m_view.lowerRanks();
    return static_cast<std::size_t>(
        std::count_if(ranks.begin(), ranks.end(), [this](std::uint64_t rank) {
            const auto reader = m_readers.find(rank);
            return reader == m_readers.end() || !isRecent(reader->second);
        }));
}

std::size_t gossip_node::countReaders() const
{
    const auto otherReaders =
        std::count_if(m_readers.begin(), m_readers.end(),
                      [this](const auto &reader) { return isRecent(reader.second); });
    return static_cast<std::size_t>(otherReaders) + (isActiveReader() ? 1 : 0);
}

void gossip_node::updateReaderShortage()
{
    if (countReaders() >= m_settings.readersPerDomain)
        m_readerShortageSince = monotonic_time {0};
    else if (m_readerShortageSince.count() == 0)
        m_readerShortageSince = m_clock.now();
}

monotonic_time gossip_node::storeReadDelay() const
{
    const auto instances = std::max<std::size_t>(m_view.localPeers().size(), 1);
    const auto rank = std::min(countLowerRankedNonReaders(), instances);
    return m_settings.maxStoreReadDelay * static_cast<std::int64_t>(rank)
        / static_cast<std::int64_t>(instances);
}

std::size_t gossip_node::countLowerRankedReaders() const
{
    std::set<std::uint64_t> ranks;
    for (const auto &[rank, respondedAt] : m_readers) {
        if (rank < m_rank && isRecent(respondedAt))
            ranks.insert(rank);
    }
    // Until reader reports had time to arrive, all lower ranks are assumed to be alive and to read.
    if (isRecent(m_synchronisedSince))
        ranks.insert(m_view.lowerRanks().begin(), m_view.lowerRanks().end());
    return ranks.size();
}

std::vector<std::string> gossip_node::timedOutInstances()
{
    const auto now = m_clock.now();
    const auto localPeers = m_view.localPeers().size();
    const auto cycle = m_settings.roundInterval
        * static_cast<std::int64_t>(localPeers / std::max<std::size_t>(m_settings.localFanout, 1)
                                    + 1);
    const auto timeout = std::max(m_settings.peerTimeout,
                                  cycle * static_cast<std::int64_t>(m_settings.maxMissedCycles));
    std::vector<std::string> timedOut;
    for (const auto &[name, registration] : m_state.instances()) {
        if (name == m_self.name || registration.domain != m_self.domain)
            continue;
        // The time-out of an instance never heard from starts when its registration is first seen.
        const auto lastHeardAt = m_lastHeardAt.try_emplace(name, now).first->second;
        if (now - lastHeardAt > timeout)
            timedOut.push_back(name);
    }
    std::erase_if(m_lastHeardAt,
                  [&](const auto &entry) { return !m_state.instances().contains(entry.first); });
    return timedOut;
}

bool gossip_node::onDigest(const endpoint &from, const gossip_digest &digest)
{
    const auto now = m_clock.now();
    if (digest.sender.domain == m_self.domain) {
        m_lastHeardAt[digest.sender.name] = now;
        m_latencies.merge(digest.latencies, now);
        mergeReaders(digest);
    }
    const bool isComplete = m_state.adoptEvacuations(digest.evacuations, now) && digest.hasEpoch;
    const bool isBehind = digest.contentRevision > m_state.revision()
        || digest.configVersion > m_state.configVersion();
    if (isBehind) {
        if (now >= m_nextStateRequestAt && shouldRequestState(digest))
            requestState(from);
        return false;
    }
    const bool isSameEpoch = digest.revision.epoch == m_state.revision().epoch;
    if (isSameEpoch && digest.revision >= m_state.revision() && isComplete) {
        const bool wasStale = m_state.isStale(now);
        m_state.confirm(digest.revision, now - std::chrono::milliseconds(digest.ageMs));
        m_state.logConfirmation(wasStale, toString(from), now);
    }
    return false;
}

/// Changes usually arrive through the readers of the local domain, so the state of a remote domain
/// is requested only for a newer configuration or when the own state is old; this saves traffic.
bool gossip_node::shouldRequestState(const gossip_digest &digest) const
{
    return digest.sender.domain == m_self.domain || digest.configVersion > m_state.configVersion()
        || m_clock.now() - m_state.confirmedAt() > expectedStateAge();
}

/// Highest age of the state while readers and digests work as intended.
monotonic_time gossip_node::expectedStateAge() const
{
    return m_settings.storeResponseInterval + 3 * m_settings.roundInterval;
}

void gossip_node::mergeReaders(const gossip_digest &digest)
{
    const auto now = m_clock.now();
    for (const reader_report &report : digest.readers) {
        if (report.rank == m_rank)
            continue;
        auto &respondedAt = m_readers[report.rank];
        respondedAt = std::max(respondedAt, now - std::chrono::milliseconds(report.ageMs));
    }
    std::erase_if(m_readers, [this](const auto &reader) { return !isRecent(reader.second); });
}

void gossip_node::onStateRequest(const endpoint &from, const gossip_state_request &request)
{
    if (!m_state.isSynchronised())
        return;
    store_revision known = request.revision;
    // Unless the store was restored, a requester of another release can only be in the same epoch.
    if (!request.hasEpoch && !m_state.hasSeenRestore())
        known.epoch = m_state.revision().epoch;
    auto state = m_state.snapshot(request.configVersion, known, m_clock.now());
    state.ageMs = ageMs(m_state.confirmedAt());
    m_transfers.enqueue(from, request.nonce, encodeState(state));
}

bool gossip_node::onStateFragment(const endpoint &from, const gossip_state_fragment &fragment)
{
    if (!m_assembler.isExpected(from, fragment)) {
        ++m_unexpectedCount;
        return false;
    }
    // While fragments arrive, no other instance needs to be asked.
    m_nextStateRequestAt =
        std::max(m_nextStateRequestAt, m_clock.now() + m_settings.stateRequestInterval / 2);
    const auto assembled = m_assembler.addFragment(from, fragment);
    if (!assembled)
        return false;
    const auto state = decodeState(*assembled);
    if (!state) {
        ++m_malformedCount;
        m_log.write("gossip_malformed",
                    {{"from", toString(from)}, {"reason", state.error().message()}});
        return false;
    }
    const auto now = m_clock.now();
    const bool wasStale = m_state.isStale(now);
    const bool hasChanged =
        m_state.adopt(state.value(), now - std::chrono::milliseconds(state.value().ageMs), now);
    m_state.logConfirmation(wasStale, toString(from), now);
    if (!hasChanged)
        return false;
    m_log.write("state_adopted",
                {{"from", toString(from)},
                 {"revision", toString(state.value().revision)},
                 {"epoch", std::to_string(state.value().revision.epoch)},
                 {"base", toString(state.value().baseRevision)},
                 {"age_ms", std::to_string(state.value().ageMs)},
                 {"checksum", std::to_string(m_state.checksum())}});
    announceChanges();
    return true;
}

void gossip_node::onLivenessReports(const endpoint &from, const gossip_liveness_reports &message)
{
    const auto now = m_clock.now();
    m_health.merge(message.reports, message.domain == m_self.domain, now);
    if (message.isReply)
        return;
    auto replies = m_health.replyTo(message.reports, now);
    if (message.domain != m_self.domain)
        replies = m_health.forOtherDomains(std::move(replies));
    if (!replies.empty())
        sendLivenessReportsTo(from, std::move(replies), true);
}

void gossip_node::sendLivenessReports()
{
    const auto now = m_clock.now();
    if (now < m_nextLivenessReportsAt || !m_health.hasPendingReports())
        return;
    m_nextLivenessReportsAt = now + m_settings.livenessReportInterval;
    const auto reports = m_health.takePendingReports(now);
    if (reports.empty())
        return;
    const auto &localPeers = m_view.localPeers();
    for (std::size_t i = 0; i < changeFanout && !localPeers.empty(); ++i)
        sendLivenessReportsTo(pickRandomPeer(localPeers), reports, false);
    const auto &remotePeers = m_view.remotePeers();
    const auto shareable = m_health.forOtherDomains(reports);
    if (!remotePeers.empty() && !shareable.empty())
        sendLivenessReportsTo(pickRandomPeer(remotePeers), shareable, false);
}

void gossip_node::sendLivenessReportsTo(const endpoint &target,
                                        std::vector<liveness_report> reports, bool isReply)
{
    sendToPeer(target,
               encodeGossip(gossip_liveness_reports {m_self.domain, isReply, std::move(reports)}));
}

void gossip_node::sendDigest(const endpoint &target, bool isLocalDomain)
{
    gossip_digest digest;
    digest.sender = m_self;
    digest.revision = m_state.revision();
    digest.contentRevision = m_state.contentRevision();
    digest.configVersion = m_state.configVersion();
    digest.ageMs = ageMs(m_state.confirmedAt());
    digest.evacuations = m_state.evacuations();
    if (isLocalDomain)
        digest.latencies = m_latencies.recentReports(m_clock.now());
    reader_times readers = m_readers;
    if ((isReader() || isCandidate()) && m_lastStoreResponseAt.count() > 0)
        readers[m_rank] = m_lastStoreResponseAt;
    for (const auto &[rank, respondedAt] : readers) {
        if (digest.readers.size() < maxReaderReports && isRecent(respondedAt))
            digest.readers.push_back({rank, ageMs(respondedAt)});
    }
    sendToPeer(target, encodeGossip(digest));
}

void gossip_node::sendLocalDigests(std::size_t count)
{
    for (const endpoint &target : nextLocalTargets(count))
        sendDigest(target, true);
}

std::vector<endpoint> gossip_node::nextLocalTargets(std::size_t count)
{
    const auto &localPeers = m_view.localPeers();
    std::vector<endpoint> next;
    while (next.size() < std::min(count, localPeers.size())) {
        if (m_localTargets.empty()) {
            m_localTargets = localPeers;
            for (std::size_t i = m_localTargets.size(); i > 1; --i)
                std::swap(m_localTargets[i - 1], m_localTargets[m_random.next() % i]);
        }
        const endpoint target = m_localTargets.back();
        m_localTargets.pop_back();
        const bool isStillRegistered =
            std::find(localPeers.begin(), localPeers.end(), target) != localPeers.end();
        const bool isAlreadyChosen = std::find(next.begin(), next.end(), target) != next.end();
        if (isStillRegistered && !isAlreadyChosen)
            next.push_back(target);
    }
    return next;
}

void gossip_node::sendRemoteDigest()
{
    const auto &targets = m_view.remotePeers();
    if (!targets.empty())
        sendDigest(pickRandomPeer(targets), false);
}

void gossip_node::requestState(const endpoint &target)
{
    m_nextStateRequestAt = m_clock.now() + m_settings.stateRequestInterval;
    sendStateRequest(target);
}

void gossip_node::sendStateRequest(const endpoint &target)
{
    const std::uint64_t nonce = m_random.next();
    m_assembler.expectResponse(target, nonce);
    sendToPeer(
        target,
        encodeGossip(gossip_state_request {m_state.configVersion(), m_state.revision(), nonce}));
}

void gossip_node::requestStateFromAnyPeer()
{
    auto targets = m_view.localPeers();
    targets.insert(targets.end(), m_seeds.begin(), m_seeds.end());
    if (!targets.empty())
        sendStateRequest(pickRandomPeer(targets));
}

endpoint gossip_node::pickRandomPeer(const std::vector<endpoint> &peers)
{
    return peers[m_random.next() % peers.size()];
}

std::uint32_t gossip_node::ageMs(monotonic_time at) const
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

} // namespace chicoryhead
