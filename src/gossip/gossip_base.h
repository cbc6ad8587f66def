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
#include "fragment_assembler_base.h"
#include "gossip_codec_func.h"
#include "health/latency_exchange_base.h"
#include "health/upstream_health_base.h"
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
    monotonic_time roundInterval = std::chrono::milliseconds(300); ///< between digests
    std::size_t localFanout = 2;           ///< digests to the own domain in each period
    std::size_t roundsPerRemoteDigest = 3; ///< periods between digests to another domain
    std::size_t readersPerDomain = 2;      ///< one may die unnoticed
    /// Pause between messages about upstreams that don't answer, which go to three instances of
    /// the own domain: in six of them news reach 729 instances.
    monotonic_time livenessReportInterval = std::chrono::milliseconds(50);
    /// Longest time between two answers of the store to a reader.
    monotonic_time storeResponseInterval {0};
    /// Time that a report about a reader takes to reach the others of its domain. At a fan-out of
    /// two the instances that have it triple in each period, so six periods reach 729; the rest is
    /// for lost digests. A reader whose store did not answer for longer than both times together
    /// does not count.
    monotonic_time propagationTime = std::chrono::milliseconds(2500);
    /// When its state is there an instance only reports that it could read; in three periods it
    /// learns whether others with a lower rank do.
    monotonic_time candidacyTime = roundInterval * 3;
    monotonic_time stateRequestInterval = std::chrono::milliseconds(250);
    /// Pause between two questions of an instance that nobody told anything lately.
    monotonic_time staleStateRequestInterval = std::chrono::milliseconds(500);
    /// At the start others are asked for their state only if the store did not give it by then.
    monotonic_time initialStateRequestDelay = std::chrono::milliseconds(150);
    /// Pause between two questions for what changed since a snapshot.
    monotonic_time deltaRequestInterval = std::chrono::milliseconds(40);
    /// While too few readers are known, as many further ranks may read after each of these times.
    /// In an outage of the store nobody is known, and hundreds must not all begin to ask.
    monotonic_time rankEscalationInterval = std::chrono::milliseconds(500);
    /// Longest time for which an instance leaves the store to lower ranks when its state is old.
    monotonic_time maxStoreReadDelay {0};
    /// An instance that sent nothing for this long was probably replaced under another name.
    monotonic_time peerTimeout = std::chrono::seconds(60);
    /// In large domains instances get digests in turn; this many turns without one are silence.
    std::size_t maxMissedCycles = 4;
};

/** Gossip of one instance, without sockets. */
class gossip_node : private peer_sink
{
public:
    gossip_node(instance_registration self, std::vector<endpoint> seeds, fleet_state &state,
                upstream_health &health, latency_exchange &latencies, peer_sink &sink,
                const clock_source &clock, random_source &random, event_log &log,
                gossip_settings settings = {});

    /** Handles a datagram; returns whether the state changed. */
    bool receive(const endpoint &from, std::span<const std::byte> datagram);

    /** Sends what is due. */
    void tick();

    /** Tells some instances at once if the state changed since they were told last. */
    void announceChanges();

    /** The store answered this instance. */
    void onStoreResponse();

    /** Whether this instance should read the store. */
    bool isReader() const { return readerRole() != reader_role::None; }

    /** Uses other times from now on. */
    void setSettings(const gossip_settings &settings) { m_settings = settings; }

    /** How much this instance should read the store. */
    reader_role readerRole() const;

    /** Whether this instance is the first reader of its domain and the store answers it. */
    bool isActivePrimaryReader() const
    {
        return isActiveReader() && readerRole() == reader_role::Primary;
    }

    /** How much longer than others this instance should wait when its state is old. */
    monotonic_time storeReadDelay() const;

    /** Other registered instances of the own domain. */
    std::size_t countLocalPeers() const { return m_view.localPeers().size(); }

    /** Those of them with a lower rank; no two instances of a domain have as many. */
    std::size_t countLowerRankedPeers() const { return m_view.lowerRanks().size(); }

    /** Bytes sent to other instances. */
    std::uint64_t bytesSent() const { return m_bytesSent; }

    /** States that were asked for while too many were under way. */
    std::uint64_t transfersRefused() const { return m_transfers.refusedCount(); }

    /** Sets the bounds of transfers. */
    void setTransferLimits(const transfer_limits &limits) { m_transfers.setLimits(limits); }

    /** Registered instances of the own domain that are silent; their registrations can go. */
    std::vector<std::string> timedOutInstances();

    /** Messages of unknown senders, and answers to questions that were not asked. */
    std::uint64_t unexpectedMessages() const { return m_unexpectedCount; }

    /** Messages that could not be decoded. */
    std::uint64_t malformedMessages() const { return m_malformedCount; }

private:
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override;

    /** A reader with the time of the store's last answer to it. */
    using reader_times = std::map<std::uint64_t, monotonic_time>;

    bool onDigest(const endpoint &from, const gossip_digest &digest);
    void onStateRequest(const endpoint &from, const gossip_state_request &request);
    bool onStateFragment(const endpoint &from, const gossip_state_fragment &fragment);
    void onLivenessReports(const endpoint &from, const gossip_liveness_reports &message);
    void sendLivenessReports();
    void sendLivenessReportsTo(const endpoint &target, std::vector<liveness_report> reports,
                               bool isReply);
    void mergeReaders(const gossip_digest &digest);
    void sendDigest(const endpoint &target, bool isLocalDomain);
    void sendLocalDigests(std::size_t count);
    void sendRemoteDigest();
    void requestState(const endpoint &target);
    void sendStateRequest(const endpoint &target);
    void requestStateFromAnyPeer();
    void requestDelta();
    endpoint pickRandomPeer(const std::vector<endpoint> &peers);
    std::vector<endpoint> nextLocalTargets(std::size_t count);
    std::uint32_t ageMs(monotonic_time at) const;
    bool isRecent(monotonic_time report) const;
    bool isCandidate() const;
    bool isActiveReader() const;
    bool isEligibleByRank(std::size_t missingReaders) const;
    std::size_t countLowerRankedNonReaders() const;
    std::size_t countReaders() const;
    void updateReaderShortage();
    bool shouldRequestState(const gossip_digest &digest) const;
    bool isKnownSender(const endpoint &from) const;
    monotonic_time expectedStateAge() const;
    /** Instances with a lower rank that read the store as far as is known. */
    std::size_t countLowerRankedReaders() const;

    instance_registration m_self;
    std::uint64_t m_rank; ///< of this instance
    std::vector<endpoint> m_seeds;
    fleet_state &m_state;
    peer_view m_view;
    upstream_health &m_health;
    latency_exchange &m_latencies;
    peer_sink &m_sink;
    const clock_source &m_clock;
    random_source &m_random;
    event_log &m_log;
    gossip_settings m_settings;
    fragment_assembler m_assembler;
    transfer_queue m_transfers;
    std::map<std::string, monotonic_time> m_lastHeardAt; ///< instances of the own domain
    reader_times m_readers; ///< of the own domain, without this instance
    /// Instances of the own domain in a random order. They are told in turn, because with targets
    /// drawn anew each time some would hear nothing for seconds.
    std::vector<endpoint> m_localTargets;
    store_revision m_announcedRevision = 0;   ///< content that others were told of at once
    monotonic_time m_lastStoreResponseAt {0}; ///< last answer of the store; 0 for none
    monotonic_time m_startedAt;
    monotonic_time m_synchronisedSince {0};   ///< when the state was there; 0 for not yet
    monotonic_time m_readerShortageSince {0}; ///< when readers became too few; 0 for enough of them
    monotonic_time m_nextRoundAt {0};
    monotonic_time m_nextStateRequestAt {0};
    monotonic_time m_nextLivenessReportsAt {0};
    monotonic_time m_nextStaleStateRequestAt {0};
    bool m_hasRequestedLapsed = false;
    std::uint64_t m_roundCount = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_malformedCount = 0;
    std::uint64_t m_unexpectedCount = 0;
};

} // namespace chicoryhead
