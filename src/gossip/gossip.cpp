/**
 * @file gossip.cpp
 * Digests, fetches and the choice of readers.
 */

#include "gossip_base.h"

#include "sync/state_codec_func.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace chicoryhead {

namespace {

constexpr std::size_t maxReports = 4;
/// Instances that are told of a change at once; each tells as many again.
constexpr std::size_t changeFanout = 3;

} // namespace

gossip::gossip(instance_registration own, std::vector<endpoint> seeds, fleet_state &state,
               upstream_health &health, latency_pool &latencies, peer_sink &sink,
               const clock_source &clock, random_source &random, event_log &log,
               gossip_settings settings)
    : m_own(std::move(own))
    , m_rank(rankOf(m_own.name))
    , m_seeds(std::move(seeds))
    , m_state(state)
    , m_view(state, m_own)
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
    const bool isFetch = std::holds_alternative<gossip_fetch>(message.value());
    // Instances that start are not registered yet, and they ask and are answered.
    if (!isFetch && !isKnownSender(from)) {
        ++m_unexpected;
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

/// Anybody can send datagrams to this port, so only registered instances and seeds are believed.
bool gossip::isKnownSender(const endpoint &from) const
{
    return m_view.contains(from)
        || std::find(m_seeds.begin(), m_seeds.end(), from) != m_seeds.end();
}

void gossip::tick()
{
    const auto now = m_clock.now();
    m_transfers.flush();
    if (!m_state.isSynchronised()) {
        if (now >= m_nextFetch && m_state.isPreloaded())
            fetchChanges();
        else if (now >= m_nextFetch && now - m_startedAt >= m_settings.firstFetch) {
            m_nextFetch = now + m_settings.fetchRetry;
            askAnyone();
        }
        return;
    }
    if (m_knownSince.count() == 0)
        m_knownSince = now;
    if (!m_hasAskedForMissing) {
        // The store does not list announcements that lapsed while it was away; others know them.
        m_hasAskedForMissing = true;
        askAnyone();
    }
    // Others tell registered instances only, and the registration may have been revoked.
    if (now >= m_nextQuestion && now - m_state.confirmedAt() > usualAge()) {
        m_nextQuestion = now + m_settings.questionPause;
        askAnyone();
    }
    noteVacancies();
    sendReports();
    if (now < m_nextDigest)
        return;
    m_nextDigest = now + m_settings.period;
    ++m_periods;
    sendToOwnDomain(m_settings.ownFanout);
    if (m_periods % m_settings.otherInterval == 0)
        sendToOtherDomain();
}

void gossip::sendToPeer(const endpoint &peer, std::span<const std::byte> datagram)
{
    m_bytesSent += datagram.size();
    m_sink.sendToPeer(peer, datagram);
}

/// Who of the own domain knows them already is not known, so two are asked each time.
void gossip::fetchChanges()
{
    const auto &own = m_view.ownDomain();
    for (int i = 0; i < 2 && !own.empty(); ++i)
        ask(pick(own));
    m_nextFetch = m_clock.now() + m_settings.changesRetry;
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
    if (m_knownSince.count() == 0)
        m_knownSince = m_storeAnswerAt;
}

bool gossip::isCandidate() const
{
    return m_knownSince.count() > 0 && m_clock.now() - m_knownSince < m_settings.candidacy;
}

reader_role gossip::duty() const
{
    if (isCandidate())
        return reader_role::None;
    const std::size_t before = countReadersBefore();
    if (before >= m_settings.readersPerDomain)
        return reader_role::None;
    if (!isWorkingReader() && !isOwnTurn(m_settings.readersPerDomain - before))
        return reader_role::None;
    return before == 0 ? reader_role::Primary : reader_role::Backup;
}

bool gossip::isWorkingReader() const
{
    return m_storeAnswerAt.count() > 0 && isRecent(m_storeAnswerAt);
}

/// Lower ranks come first; those that don't become readers in time are passed over.
bool gossip::isOwnTurn(std::size_t vacancies) const
{
    if (m_vacantSince.count() == 0)
        return false;
    const auto steps =
        static_cast<std::size_t>((m_clock.now() - m_vacantSince) / m_settings.rankStep);
    return countLowerRanks() < vacancies * (1 + steps);
}

/// Instances of the own domain with a lower rank that don't read as far as is known.
std::size_t gossip::countLowerRanks() const
{
    const auto &ranks = m_view.lowerRanks();
    return static_cast<std::size_t>(
        std::count_if(ranks.begin(), ranks.end(), [this](std::uint64_t rank) {
            const auto reader = m_readers.find(rank);
            return reader == m_readers.end() || !isRecent(reader->second);
        }));
}

std::size_t gossip::countReaders() const
{
    const auto others =
        std::count_if(m_readers.begin(), m_readers.end(),
                      [this](const auto &reader) { return isRecent(reader.second); });
    return static_cast<std::size_t>(others) + (isWorkingReader() ? 1 : 0);
}

void gossip::noteVacancies()
{
    if (countReaders() >= m_settings.readersPerDomain)
        m_vacantSince = monotonic_time {0};
    else if (m_vacantSince.count() == 0)
        m_vacantSince = m_clock.now();
}

monotonic_time gossip::patience() const
{
    const auto instances = std::max<std::size_t>(m_view.ownDomain().size(), 1);
    const auto rank = std::min(countLowerRanks(), instances);
    return m_settings.maxPatience * static_cast<std::int64_t>(rank)
        / static_cast<std::int64_t>(instances);
}

std::size_t gossip::countReadersBefore() const
{
    std::set<std::uint64_t> ranks;
    for (const auto &[rank, seenAt] : m_readers) {
        if (rank < m_rank && isRecent(seenAt))
            ranks.insert(rank);
    }
    // Until reports had the time to arrive, registered instances are assumed to be alive.
    if (isRecent(m_knownSince))
        ranks.insert(m_view.lowerRanks().begin(), m_view.lowerRanks().end());
    return ranks.size();
}

std::vector<std::string> gossip::silentInstances()
{
    const auto now = m_clock.now();
    const auto known = m_view.ownDomain().size();
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
        m_latencies.merge(digest.latencies, m_clock.now());
        mergeReaders(digest);
    }
    const bool isBehind =
        digest.contentRevision > m_state.revision() || digest.version > m_state.configVersion();
    if (isBehind) {
        if (m_clock.now() >= m_nextFetch && shouldFetch(digest))
            fetch(from);
        return false;
    }
    if (digest.revision >= m_state.revision())
        m_state.confirm(digest.revision, m_clock.now() - std::chrono::milliseconds(digest.ageMs));
    return false;
}

/// What the own domain's readers bring need not come from another domain, at the price of its
/// bytes.
bool gossip::shouldFetch(const gossip_digest &digest) const
{
    return digest.sender.domain == m_own.domain || digest.version > m_state.configVersion()
        || m_clock.now() - m_state.confirmedAt() > usualAge();
}

/// Age that the state of an instance reaches when readers and digests come as they should.
monotonic_time gossip::usualAge() const
{
    return m_settings.storeInterval + 3 * m_settings.period;
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
    m_transfers.add(from, fetch.nonce, encodeState(state));
}

bool gossip::onPart(const endpoint &from, const gossip_part &part)
{
    if (!m_assembler.isExpected(from, part)) {
        ++m_unexpected;
        return false;
    }
    // While parts arrive nobody else need be asked.
    m_nextFetch = std::max(m_nextFetch, m_clock.now() + m_settings.fetchRetry / 2);
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
    const auto &own = m_view.ownDomain();
    for (std::size_t i = 0; i < changeFanout && !own.empty(); ++i)
        sendReportsTo(pick(own), reports, false);
    const auto &others = m_view.otherDomains();
    const auto shared = m_health.forOtherDomains(reports);
    if (!others.empty() && !shared.empty())
        sendReportsTo(pick(others), shared, false);
}

void gossip::sendReportsTo(const endpoint &target, std::vector<silence_report> reports,
                           bool isReply)
{
    sendToPeer(target, encodeGossip(gossip_reports {m_own.domain, isReply, std::move(reports)}));
}

void gossip::sendDigest(const endpoint &target, bool isOwnDomain)
{
    gossip_digest digest;
    digest.sender = m_own;
    digest.revision = m_state.revision();
    digest.contentRevision = m_state.contentRevision();
    digest.version = m_state.configVersion();
    digest.ageMs = ageMs(m_state.confirmedAt());
    if (isOwnDomain)
        digest.latencies = m_latencies.recent(m_clock.now());
    reader_times readers = m_readers;
    if ((isReader() || isCandidate()) && m_storeAnswerAt.count() > 0)
        readers[m_rank] = m_storeAnswerAt;
    for (const auto &[rank, seenAt] : readers) {
        if (digest.readers.size() < maxReports && isRecent(seenAt))
            digest.readers.push_back({rank, ageMs(seenAt)});
    }
    sendToPeer(target, encodeGossip(digest));
}

void gossip::sendToOwnDomain(std::size_t count)
{
    for (const endpoint &target : nextInOwnDomain(count))
        sendDigest(target, true);
}

std::vector<endpoint> gossip::nextInOwnDomain(std::size_t count)
{
    const auto &known = m_view.ownDomain();
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
    const auto &targets = m_view.otherDomains();
    if (!targets.empty())
        sendDigest(pick(targets), false);
}

void gossip::fetch(const endpoint &target)
{
    m_nextFetch = m_clock.now() + m_settings.fetchRetry;
    ask(target);
}

void gossip::ask(const endpoint &target)
{
    const std::uint64_t nonce = m_random.next();
    m_assembler.expect(target, nonce);
    sendToPeer(target,
               encodeGossip(gossip_fetch {m_state.configVersion(), m_state.revision(), nonce}));
}

void gossip::askAnyone()
{
    auto targets = m_view.ownDomain();
    targets.insert(targets.end(), m_seeds.begin(), m_seeds.end());
    if (!targets.empty())
        ask(pick(targets));
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
