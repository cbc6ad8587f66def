/**
 * @file gossip_base.h
 * Gossip protocol that replicates the content of the store between instances.
 *
 * A few instances of each failure domain read the store, and the others learn from them. Readers
 * are not elected: an instance reads when it knows of fewer readers with a lower rank than the
 * domain should have. Any instance whose state becomes too old reads the store itself.
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

/** Intervals, time-outs and fan-outs of the gossip protocol. */
struct gossip_settings
{
    monotonic_time roundInterval = std::chrono::milliseconds(300); ///< between gossip rounds
    std::size_t localFanout = 2;           ///< digests per round to the local domain
    std::size_t roundsPerRemoteDigest = 3; ///< one digest to a remote domain per so many rounds
    std::size_t readersPerDomain = 2;      ///< two, so that one can fail without effect
    /// Interval between liveness reports. Each goes to three instances of the local domain, so a
    /// report reaches 729 instances in six intervals.
    monotonic_time livenessReportInterval = std::chrono::milliseconds(50);
    /// Longest time between two responses of the store to a reader.
    monotonic_time storeResponseInterval {0};
    /// Time that a reader report takes to reach all instances of the domain. At a fan-out of two
    /// the number of instances that have it triples in each round, so six rounds reach 729; the
    /// rest allows for lost digests. A reader that got no response from the store for longer than
    /// storeResponseInterval plus this time is not counted.
    monotonic_time propagationTime = std::chrono::milliseconds(2500);
    /// Time after synchronisation in which an instance only announces itself as a candidate; in
    /// three rounds it learns whether instances with a lower rank read.
    monotonic_time candidacyTime = roundInterval * 3;
    /// Pause between two requests for the state of another instance.
    monotonic_time stateRequestInterval = std::chrono::milliseconds(250);
    /// Pause between two state requests of an instance that received no recent digest.
    monotonic_time staleStateRequestInterval = std::chrono::milliseconds(500);
    /// Delay after the start before other instances are asked for their state, so that the store
    /// can deliver it first.
    monotonic_time initialStateRequestDelay = std::chrono::milliseconds(150);
    /// Pause between two requests for the changes after a snapshot that was loaded at the start.
    monotonic_time deltaRequestInterval = std::chrono::milliseconds(40);
    /// While readers are missing, as many further ranks as are missing become eligible after each
    /// such interval. In an outage of the store no readers are known, and hundreds of instances
    /// must not all start to call it.
    monotonic_time rankEscalationInterval = std::chrono::milliseconds(500);
    /// Longest time for which an instance with an old state lets lower ranks read the store first.
    monotonic_time maxStoreReadDelay {0};
    /// An instance that sent nothing for this long was probably replaced by one with another name.
    monotonic_time peerTimeout = std::chrono::seconds(60);
    /// In large domains each peer gets a digest only once in a cycle of rounds; the time-out is at
    /// least this many cycles.
    std::size_t maxMissedCycles = 4;
};

/** Gossip protocol of one instance; datagrams are sent through a sink. */
class gossip_node : private peer_sink
{
public:
    gossip_node(instance_registration self, std::vector<endpoint> seeds, fleet_state &state,
                upstream_health &health, latency_exchange &latencies, peer_sink &sink,
                const clock_source &clock, random_source &random, event_log &log,
                gossip_settings settings = {});

    /** Handles a datagram; returns whether the state of this instance changed. */
    bool receive(const endpoint &from, std::span<const std::byte> datagram);

    /** Sends the messages that are due. */
    void tick();

    /** Sends digests to some instances at once if the state changed since the last announcement. */
    void announceChanges();

    /** Records a response of the store to this instance. */
    void onStoreResponse();

    /** Whether this instance should read the store. */
    bool isReader() const { return readerRole() != reader_role::None; }

    /** Replaces the settings. */
    void setSettings(const gossip_settings &settings) { m_settings = settings; }

    /** Role of this instance as a reader of the store. */
    reader_role readerRole() const;

    /** Whether this instance is the primary reader of its domain and the store responds to it. */
    bool isActivePrimaryReader() const
    {
        return isActiveReader() && readerRole() == reader_role::Primary;
    }

    /** How long this instance should leave the store to lower ranks when its state is old. */
    monotonic_time storeReadDelay() const;

    /** Number of other instances of the local domain, by address. */
    std::size_t countLocalPeers() const { return m_view.localPeers().size(); }

    /**
     * Number of other registrations in the local domain. An instance that was renamed has two until
     * the former one is removed.
     */
    std::size_t countRegisteredPeers() const { return m_view.countLocalRegistrations(); }

    /**
     * Number of other registrations in the local domain with a lower rank; no two instances of a
     * domain have the same.
     */
    std::size_t countLowerRankedPeers() const { return m_view.lowerRanks().size(); }

    /** Bytes sent to other instances. */
    std::uint64_t bytesSent() const { return m_bytesSent; }

    /** State requests refused because too many transfers were in progress. */
    std::uint64_t transfersRefused() const { return m_transfers.refusedCount(); }

    /** Sets the limits of state transfers. */
    void setTransferLimits(const transfer_limits &limits) { m_transfers.setLimits(limits); }

    /** Registered instances of the local domain that timed out; they can be deregistered. */
    std::vector<std::string> timedOutInstances();

    /** Messages of unknown senders, and state fragments that were not requested. */
    std::uint64_t unexpectedMessages() const { return m_unexpectedCount; }

    /** Messages that could not be decoded. */
    std::uint64_t malformedMessages() const { return m_malformedCount; }

private:
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override;

    /** Readers by rank, with the time of the last response of the store to each. */
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
    /** Number of instances with a lower rank that are known or assumed to read the store. */
    std::size_t countLowerRankedReaders() const;

    instance_registration m_self;
    std::uint64_t m_rank; ///< of this instance, from its name
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
    std::map<std::string, monotonic_time> m_lastHeardAt; ///< by name, in the local domain
    reader_times m_readers; ///< of the local domain, without this instance
    /// Local peers still to get a digest in this cycle, in random order. They are served in turn,
    /// because with independent random targets some peers would get none for seconds.
    std::vector<endpoint> m_localTargets;
    store_revision m_announcedRevision;       ///< last content revision that was announced at once
    monotonic_time m_lastStoreResponseAt {0}; ///< 0 for none
    monotonic_time m_startedAt;
    monotonic_time m_synchronisedSince {0};   ///< 0 for not yet
    monotonic_time m_readerShortageSince {0}; ///< 0 while there are enough readers
    monotonic_time m_nextRoundAt {0};
    monotonic_time m_nextStateRequestAt {0};
    monotonic_time m_nextLivenessReportsAt {0};
    monotonic_time m_nextStaleStateRequestAt {0};
    bool m_hasRequestedLapsed = false; ///< announcements that lapsed in an outage of the store
    std::uint64_t m_roundCount = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_malformedCount = 0;
    std::uint64_t m_unexpectedCount = 0;
};

} // namespace chicoryhead
