/**
 * @file gossip_base.h
 * How instances learn from each other what the store holds.
 *
 * A few instances of each failure domain read the store; the others learn from them. Nobody is
 * appointed: an instance reads when it knows fewer than the wanted number of readers with a lower
 * rank, and it asks the store itself when its state grows old, whoever should have told it.
 */

#pragma once

#include "core/core_base.h"
#include "eventlog/event_log_base.h"
#include "gossip_codec_func.h"
#include "health/latency_pool_base.h"
#include "health/upstream_health_base.h"
#include "part_assembler_base.h"
#include "peer_view_base.h"
#include "sync/fleet_state_base.h"
#include "sync/reader_role_type.h"
#include "transfer_queue_base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace chicoryhead {

/** Times and sizes of the gossip. */
struct gossip_settings
{
    monotonic_time period = std::chrono::milliseconds(300); ///< between digests
    std::size_t ownFanout = 2;        ///< digests to the own domain in each period
    std::size_t otherInterval = 3;    ///< periods between digests to another domain
    std::size_t readersPerDomain = 2; ///< one may die unnoticed
    /// Pause between messages about upstreams that don't answer, which go to three instances of
    /// the own domain: in six of them news reach 729 instances.
    monotonic_time reportPause = std::chrono::milliseconds(50);
    /// Longest time between two answers of the store to a reader.
    monotonic_time storeInterval {0};
    /// Time that a report about a reader takes to reach the others of its domain. At a fan-out of
    /// two the instances that have it triple in each period, so six periods reach 729; the rest is
    /// for lost digests. A reader whose store did not answer for longer than both times together
    /// does not count.
    monotonic_time propagationTime = std::chrono::milliseconds(2500);
    /// When its state is there an instance only reports that it could read; in three periods it
    /// learns whether others with a lower rank do.
    monotonic_time candidacy = period * 3;
    monotonic_time fetchRetry = std::chrono::milliseconds(250);
    /// Pause between two questions of an instance that nobody told anything lately.
    monotonic_time questionPause = std::chrono::milliseconds(500);
    /// At the start others are asked for their state only if the store did not give it by then.
    monotonic_time firstFetch = std::chrono::milliseconds(150);
    /// Pause between two questions for what changed since a snapshot.
    monotonic_time changesRetry = std::chrono::milliseconds(40);
    /// While too few readers are known, as many further ranks may read after each of these times.
    /// In an outage of the store nobody is known, and hundreds must not all begin to ask.
    monotonic_time rankStep = std::chrono::milliseconds(500);
    /// Longest time for which an instance leaves the store to lower ranks when its state is old.
    monotonic_time maxPatience {0};
    /// An instance that sent nothing for this long was probably replaced under another name.
    monotonic_time silence = std::chrono::seconds(60);
    /// In large domains instances get digests in turn; this many turns without one are silence.
    std::size_t silentTurns = 4;
};

/** Gossip of one instance, without sockets. */
class gossip : private peer_sink
{
public:
    gossip(instance_registration own, std::vector<endpoint> seeds, fleet_state &state,
           upstream_health &health, latency_pool &latencies, peer_sink &sink,
           const clock_source &clock, random_source &random, event_log &log,
           gossip_settings settings = {});

    /** Handles a datagram; returns whether the state changed. */
    bool receive(const endpoint &from, std::span<const std::byte> datagram);

    /** Sends what is due. */
    void tick();

    /** Tells some instances at once if the state changed since they were told last. */
    void announceChanges();

    /** The store answered this instance. */
    void noteStoreAnswer();

    /** Whether this instance should read the store. */
    bool isReader() const { return duty() != reader_role::None; }

    /** Uses other times from now on. */
    void setSettings(const gossip_settings &settings) { m_settings = settings; }

    /** How much this instance should read the store. */
    reader_role duty() const;

    /** Whether this instance is the first reader of its domain and the store answers it. */
    bool isFirstWorkingReader() const
    {
        return isWorkingReader() && duty() == reader_role::Primary;
    }

    /** How much longer than others this instance should wait when its state is old. */
    monotonic_time patience() const;

    /** Other registered instances of the own domain. */
    std::size_t countPeers() const { return m_view.ownDomain().size(); }

    /** Those of them with a lower rank; no two instances of a domain have as many. */
    std::size_t countPeersBefore() const { return m_view.lowerRanks().size(); }

    /** Bytes sent to other instances. */
    std::uint64_t bytesSent() const { return m_bytesSent; }

    /** States that were asked for while too many were under way. */
    std::uint64_t transfersRefused() const { return m_transfers.refused(); }

    /** Sets the bounds of transfers. */
    void setTransferLimits(const transfer_limits &limits) { m_transfers.setLimits(limits); }

    /** Registered instances of the own domain that are silent; their registrations can go. */
    std::vector<std::string> silentInstances();

    /** Messages of unknown senders, and answers to questions that were not asked. */
    std::uint64_t unexpectedMessages() const { return m_unexpected; }

    /** Messages that could not be decoded. */
    std::uint64_t malformedMessages() const { return m_malformed; }

private:
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override;

    /** A reader with the time of the store's last answer to it. */
    using reader_times = std::map<std::uint64_t, monotonic_time>;

    bool onDigest(const endpoint &from, const gossip_digest &digest);
    void onFetch(const endpoint &from, const gossip_fetch &fetch);
    bool onPart(const endpoint &from, const gossip_part &part);
    void onReports(const endpoint &from, const gossip_reports &message);
    void sendReports();
    void sendReportsTo(const endpoint &target, std::vector<silence_report> reports, bool isReply);
    void mergeReaders(const gossip_digest &digest);
    void sendDigest(const endpoint &target, bool isOwnDomain);
    void sendToOwnDomain(std::size_t count);
    void sendToOtherDomain();
    void fetch(const endpoint &target);
    void ask(const endpoint &target);
    void askAnyone();
    void fetchChanges();
    endpoint pick(const std::vector<endpoint> &peers);
    std::vector<endpoint> nextInOwnDomain(std::size_t count);
    std::uint32_t ageMs(monotonic_time at) const;
    bool isRecent(monotonic_time report) const;
    bool isCandidate() const;
    bool isWorkingReader() const;
    bool isOwnTurn(std::size_t vacancies) const;
    std::size_t countLowerRanks() const;
    std::size_t countReaders() const;
    void noteVacancies();
    bool shouldFetch(const gossip_digest &digest) const;
    bool isKnownSender(const endpoint &from) const;
    monotonic_time usualAge() const;
    /** Instances with a lower rank that read the store as far as is known. */
    std::size_t countReadersBefore() const;

    instance_registration m_own;
    std::uint64_t m_rank; ///< of this instance
    std::vector<endpoint> m_seeds;
    fleet_state &m_state;
    peer_view m_view;
    upstream_health &m_health;
    latency_pool &m_latencies;
    peer_sink &m_sink;
    const clock_source &m_clock;
    random_source &m_random;
    event_log &m_log;
    gossip_settings m_settings;
    part_assembler m_assembler;
    transfer_queue m_transfers;
    std::map<std::string, monotonic_time> m_heardAt; ///< instances of the own domain
    reader_times m_readers;                          ///< of the own domain, without this instance
    /// Instances of the own domain in a random order. They are told in turn, because with targets
    /// drawn anew each time some would hear nothing for seconds.
    std::vector<endpoint> m_turns;
    store_revision m_announced = 0;     ///< content that others were told of at once
    monotonic_time m_storeAnswerAt {0}; ///< last answer of the store; 0 for none
    monotonic_time m_startedAt;
    monotonic_time m_knownSince {0};  ///< when the state was there; 0 for not yet
    monotonic_time m_vacantSince {0}; ///< when readers became too few; 0 for enough of them
    monotonic_time m_nextDigest {0};
    monotonic_time m_nextFetch {0};
    monotonic_time m_nextReports {0};
    monotonic_time m_nextQuestion {0};
    bool m_hasAskedForMissing = false;
    std::uint64_t m_periods = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_unexpected = 0;
};

} // namespace chicoryhead
