/**
 * @file gossip.cpp
 * Digests, fetches and the choice of readers.
 */

#include "gossip_base.h"

#include "sync/state_codec_func.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace chicoryhead {

namespace {

constexpr std::size_t maxReports = 4;
/// Instances that are told of a change at once; each tells as many again.
constexpr std::size_t changeFanout = 3;

std::uint64_t rankOf(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

gossip::gossip(instance_registration own, std::vector<endpoint> seeds, fleet_state &state,
               upstream_health &health, peer_sink &sink, const clock_source &clock,
               random_source &random, event_log &log, gossip_settings settings)
    : m_own(std::move(own))
    , m_rank(rankOf(m_own.name))
    , m_seeds(std::move(seeds))
    , m_state(state)
    , m_health(health)
    , m_sink(sink)
    , m_clock(clock)
    , m_random(random)
    , m_log(log)
    , m_settings(settings)
{
    std::erase(m_seeds, m_own.peerAddress);
}

bool gossip::receive(const endpoint &from, std::span<const std::byte> datagram)
{
    const auto message = decodeGossip(datagram);
    if (!message) {
        ++m_malformed;
        m_log.write("gossip_malformed",
                    {{"from", toString(from)}, {"reason", message.error().message()}});
        return false;
    }
    if (const auto *digest = std::get_if<gossip_digest>(&message.value()))
        return onDigest(from, *digest);
    if (const auto *part = std::get_if<gossip_part>(&message.value()))
        return onPart(from, *part);
    if (const auto *reports = std::get_if<gossip_reports>(&message.value()))
        onReports(from, *reports);
    else
        onFetch(from, std::get<gossip_fetch>(message.value()));
    return false;
}

void gossip::tick()
{
    const auto now = m_clock.now();
    if (!m_state.isSynchronised()) {
        if (now >= m_nextFetch)
            fetchFromAnyone();
        return;
    }
    sendReports();
    if (now < m_nextDigest)
        return;
    m_nextDigest = now + m_settings.period;
    ++m_periods;
    sendToOwnDomain(m_settings.ownFanout);
    if (m_periods % m_settings.otherInterval == 0)
        sendToOtherDomain();
}

void gossip::announceChanges()
{
    if (m_state.contentRevision() <= m_announced)
        return;
    m_announced = m_state.contentRevision();
    sendToOwnDomain(changeFanout);
    sendToOtherDomain();
}

bool gossip::isRecent(monotonic_time report) const
{
    return m_clock.now() - report <= m_settings.storeInterval + m_settings.propagationTime;
}

void gossip::noteStoreAnswer()
{
    m_storeAnswerAt = m_clock.now();
    if (m_firstStoreAnswerAt.count() == 0)
        m_firstStoreAnswerAt = m_storeAnswerAt;
}

bool gossip::isCandidate() const
{
    return m_firstStoreAnswerAt.count() > 0
        && m_clock.now() - m_firstStoreAnswerAt < m_settings.candidacy;
}

reader_duty gossip::duty() const
{
    if (isCandidate())
        return reader_duty::None;
    const std::size_t before = countReadersBefore();
    if (before == 0)
        return reader_duty::First;
    return before < m_settings.readersPerDomain ? reader_duty::Backup : reader_duty::None;
}

std::size_t gossip::countReadersBefore() const
{
    std::set<std::uint64_t> ranks;
    for (const auto &[rank, seenAt] : m_readers) {
        if (rank < m_rank && isRecent(seenAt))
            ranks.insert(rank);
    }
    // Until reports had the time to arrive, registered instances are assumed to be alive.
    if (isRecent(m_firstStoreAnswerAt)) {
        for (const auto &[name, registration] : m_state.instances()) {
            const std::uint64_t rank = rankOf(name);
            if (registration.domain == m_own.domain && rank < m_rank)
                ranks.insert(rank);
        }
    }
    return ranks.size();
}

std::vector<std::string> gossip::silentInstances()
{
    const auto now = m_clock.now();
    const auto known = peers(true).size();
    const auto turn = m_settings.period
        * static_cast<std::int64_t>(known / std::max<std::size_t>(m_settings.ownFanout, 1) + 1);
    const auto limit =
        std::max(m_settings.silence, turn * static_cast<std::int64_t>(m_settings.silentTurns));
    std::vector<std::string> silent;
    for (const auto &[name, registration] : m_state.instances()) {
        if (name == m_own.name || registration.domain != m_own.domain)
            continue;
        // A registration counts from when it was first seen here.
        const auto heardAt = m_heardAt.try_emplace(name, now).first->second;
        if (now - heardAt > limit)
            silent.push_back(name);
    }
    std::erase_if(m_heardAt,
                  [&](const auto &entry) { return !m_state.instances().contains(entry.first); });
    return silent;
}

bool gossip::onDigest(const endpoint &from, const gossip_digest &digest)
{
    if (digest.sender.domain == m_own.domain) {
        m_heardAt[digest.sender.name] = m_clock.now();
        mergeReaders(digest);
    }
    const bool isBehind =
        digest.contentRevision > m_state.revision() || digest.version > m_state.configVersion();
    if (isBehind) {
        if (m_clock.now() >= m_nextFetch)
            fetch(from);
        return false;
    }
    if (digest.revision >= m_state.revision())
        m_state.confirm(digest.revision, m_clock.now() - std::chrono::milliseconds(digest.ageMs));
    return false;
}

void gossip::mergeReaders(const gossip_digest &digest)
{
    const auto now = m_clock.now();
    for (const reader_report &report : digest.readers) {
        if (report.rank == m_rank)
            continue;
        auto &seenAt = m_readers[report.rank];
        seenAt = std::max(seenAt, now - std::chrono::milliseconds(report.ageMs));
    }
    std::erase_if(m_readers, [this](const auto &reader) { return !isRecent(reader.second); });
}

void gossip::onFetch(const endpoint &from, const gossip_fetch &fetch)
{
    if (!m_state.isSynchronised())
        return;
    auto state = m_state.snapshot(fetch.version, fetch.revision, m_clock.now());
    state.ageMs = ageMs(m_state.confirmedAt());
    const auto bytes = encodeState(state);
    ++m_transfers;
    const std::size_t count = (bytes.size() + maxPartBytes - 1) / maxPartBytes;
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t begin = index * maxPartBytes;
        const std::size_t size = std::min(maxPartBytes, bytes.size() - begin);
        gossip_part part {
            m_transfers, static_cast<std::uint16_t>(index), static_cast<std::uint16_t>(count), {}};
        const auto *first = reinterpret_cast<const std::uint8_t *>(bytes.data()) + begin;
        part.bytes.assign(first, first + size);
        m_sink.sendToPeer(from, encodeGossip(part));
    }
}

bool gossip::onPart(const endpoint &from, const gossip_part &part)
{
    const auto whole = m_assembler.add(from, part);
    if (!whole)
        return false;
    const auto state = decodeState(*whole);
    if (!state) {
        ++m_malformed;
        m_log.write("gossip_malformed",
                    {{"from", toString(from)}, {"reason", state.error().message()}});
        return false;
    }
    const auto now = m_clock.now();
    const bool hasChanged =
        m_state.adopt(state.value(), now - std::chrono::milliseconds(state.value().ageMs), now);
    if (!hasChanged)
        return false;
    m_log.write("state_adopted",
                {{"from", toString(from)},
                 {"revision", std::to_string(state.value().revision)},
                 {"age_ms", std::to_string(state.value().ageMs)}});
    announceChanges();
    return true;
}

void gossip::onReports(const endpoint &from, const gossip_reports &message)
{
    const auto now = m_clock.now();
    m_health.merge(message.reports, message.domain == m_own.domain, now);
    if (message.isReply)
        return;
    auto replies = m_health.replyTo(message.reports, now);
    if (message.domain != m_own.domain)
        replies = m_health.forOtherDomains(std::move(replies));
    if (!replies.empty())
        sendReportsTo(from, std::move(replies), true);
}

void gossip::sendReports()
{
    const auto now = m_clock.now();
    if (now < m_nextReports || !m_health.hasNews())
        return;
    m_nextReports = now + m_settings.reportPause;
    const auto reports = m_health.takeNews(now);
    if (reports.empty())
        return;
    const auto own = peers(true);
    for (std::size_t i = 0; i < changeFanout && !own.empty(); ++i)
        sendReportsTo(pick(own), reports, false);
    const auto others = peers(false);
    const auto shared = m_health.forOtherDomains(reports);
    if (!others.empty() && !shared.empty())
        sendReportsTo(pick(others), shared, false);
}

void gossip::sendReportsTo(const endpoint &target, std::vector<silence_report> reports,
                           bool isReply)
{
    m_sink.sendToPeer(target,
                      encodeGossip(gossip_reports {m_own.domain, isReply, std::move(reports)}));
}

void gossip::sendDigest(const endpoint &target)
{
    gossip_digest digest;
    digest.sender = m_own;
    digest.revision = m_state.revision();
    digest.contentRevision = m_state.contentRevision();
    digest.version = m_state.configVersion();
    digest.ageMs = ageMs(m_state.confirmedAt());
    reader_times readers = m_readers;
    if ((isReader() || isCandidate()) && m_storeAnswerAt.count() > 0)
        readers[m_rank] = m_storeAnswerAt;
    for (const auto &[rank, seenAt] : readers) {
        if (digest.readers.size() < maxReports && isRecent(seenAt))
            digest.readers.push_back({rank, ageMs(seenAt)});
    }
    m_sink.sendToPeer(target, encodeGossip(digest));
}

void gossip::sendToOwnDomain(std::size_t count)
{
    for (const endpoint &target : nextInOwnDomain(count))
        sendDigest(target);
}

std::vector<endpoint> gossip::nextInOwnDomain(std::size_t count)
{
    const auto known = peers(true);
    std::vector<endpoint> next;
    while (next.size() < std::min(count, known.size())) {
        if (m_turns.empty()) {
            m_turns = known;
            for (std::size_t i = m_turns.size(); i > 1; --i)
                std::swap(m_turns[i - 1], m_turns[m_random.next() % i]);
        }
        const endpoint target = m_turns.back();
        m_turns.pop_back();
        const bool isKnown = std::find(known.begin(), known.end(), target) != known.end();
        const bool isChosen = std::find(next.begin(), next.end(), target) != next.end();
        if (isKnown && !isChosen)
            next.push_back(target);
    }
    return next;
}

void gossip::sendToOtherDomain()
{
    const auto targets = peers(false);
    if (!targets.empty())
        sendDigest(pick(targets));
}

void gossip::fetch(const endpoint &target)
{
    m_nextFetch = m_clock.now() + m_settings.fetchRetry;
    m_sink.sendToPeer(target,
                      encodeGossip(gossip_fetch {m_state.configVersion(), m_state.revision()}));
}

void gossip::fetchFromAnyone()
{
    auto targets = peers(true);
    targets.insert(targets.end(), m_seeds.begin(), m_seeds.end());
    if (!targets.empty())
        fetch(pick(targets));
}

std::vector<endpoint> gossip::peers(bool isOwnDomain) const
{
    std::vector<endpoint> found;
    for (const auto &[name, registration] : m_state.instances()) {
        if (name != m_own.name && (registration.domain == m_own.domain) == isOwnDomain)
            found.push_back(registration.peerAddress);
    }
    // The registration of an instance that is gone may have the address of another one.
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

endpoint gossip::pick(const std::vector<endpoint> &peers)
{
    return peers[m_random.next() % peers.size()];
}

std::uint32_t gossip::ageMs(monotonic_time at) const
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

} // namespace chicoryhead
