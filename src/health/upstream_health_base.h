/**
 * @file upstream_health_base.h
 * Passive health checks: detects failed upstreams from caller traffic seen by all instances.
 *
 * An instance sees only the packets that callers send, not those of upstreams. A caller retransmits
 * a packet that was not acknowledged, and a live upstream acknowledges a request at once, however
 * long it takes to process it. Opening packets say less: an upstream that takes no further flows
 * ignores them. With hundreds of instances, each one sees few packets to each upstream, so
 * instances share their observations: a few retransmissions seen anywhere are enough to protect the
 * callers of every instance.
 *
 * An upstream that hangs acknowledges requests and answers none, so nothing is retransmitted. It is
 * recognised by requests that wait for longer than they should while no instance sees an answer.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "liveness_report_type.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chicoryhead {

/** Health of an upstream as judged by this instance. */
enum class health_state : std::uint8_t {
    Answering,
    Silent,  ///< left some packets or requests without an answer; gets no new flows for a while
    Dead,    ///< acknowledges no caller's requests; its flows are terminated
    Stalled, ///< acknowledges requests and answers none; flows with requests may be terminated
};

/** Name of a health state in logs and on status pages. */
std::string_view toString(health_state state);

/** Kind of a packet that its caller sent again. */
enum class packet_kind : std::uint8_t {
    Opening, ///< opens a flow, or is sent on one that the upstream may not have accepted
    Request, ///< sent on an open flow
};

/** A packet that its caller sent again because it was not acknowledged. */
struct unanswered_packet
{
    packet_kind kind = packet_kind::Opening;
    monotonic_time firstSentAt {0}; ///< when this instance first forwarded it
    monotonic_time lastSentAt {0};  ///< when it was last forwarded before it was sent again
};

/** How long a request has waited for its answer. */
enum class stall_level : std::uint8_t {
    Waiting, ///< half of its target latency
    Stalled, ///< its target latency
};

/** Thresholds and timeouts of upstream_health. */
struct health_limits
{
    /// A packet counts as unanswered if its caller retransmits it at least this long after it was
    /// last forwarded. Callers wait 200 ms before they retransmit; packets that were queued
    /// together at this instance arrive closer together than that.
    monotonic_time minRetransmissionDelay = std::chrono::milliseconds(150);
    /// Unanswered packets after which an upstream is Silent. One is not enough, as every network
    /// loses single datagrams.
    unsigned silentThreshold = 2;
    /// Unanswered requests after which an upstream is Dead. Unanswered opening packets don't count:
    /// an upstream that takes no further flows ignores them, and serves its open flows.
    unsigned deadThreshold = 3;
    /// The same for an upstream whose announcement was removed. It may still live: announcements
    /// lapse in outages of the store.
    unsigned unannouncedDeadThreshold = 2;
    /// Instances that must have reported unanswered requests, so that a single instance behind a
    /// bad link cannot declare an upstream dead.
    unsigned minDeadReporters = 2;
    /// How long instances that saw answers may refute the suspicion before an upstream is declared
    /// dead.
    monotonic_time refutationTime = std::chrono::milliseconds(100);
    /// An answer refutes reports about packets forwarded up to this long after it. Ages in reports
    /// don't include the transit time of the report, so they are too small.
    monotonic_time ageSlack = std::chrono::milliseconds(50);
    /// Added to the age of an answer in each report to cover the transit time of the report.
    /// Without it, an answer would appear more recent with each instance that relays it.
    monotonic_time relayDelayAllowance = std::chrono::milliseconds(10);
    /// Older observations are discarded as outdated. Callers retransmit at most 1.6 s apart.
    monotonic_time maxEvidenceAge = std::chrono::seconds(4);
    /// An upstream is dead only while the unanswered requests were forwarded at most this long ago.
    /// Less than the time after a disruption in which flows may be reset for it, as the upstream
    /// may be reachable again since the latest of them.
    monotonic_time maxRequestAge = std::chrono::seconds(3);
    /// Time for which an upstream that was dead gets no new flows unless it answers.
    monotonic_time deadRetryDelay = std::chrono::seconds(10);
    /// Pause between two reports about the same dead upstream, in which an instance asks others for
    /// answers that they saw, and between reports about further unanswered requests.
    monotonic_time reportInterval = std::chrono::seconds(1);
    /// Requests that wait or are stalled after which an upstream gets no new flows or is Stalled.
    unsigned stalledThreshold = 3;
    /// Instances that must have reported such requests, so that a single instance whose callers
    /// have gone cannot declare an upstream stalled.
    unsigned minStallReporters = 2;
    /// How long answers may refute these requests. Longer than refutationTime: a slow upstream
    /// answers rarely, and many instances must receive it. In trials with 50 instances per failure
    /// domain and an answer every 500 ms, 200 ms gave false verdicts, 300 ms none.
    monotonic_time stallRefutationTime = std::chrono::milliseconds(300);
    std::size_t maxReporters = 4;      ///< of unanswered packets, kept per upstream
    std::size_t maxStallReporters = 3; ///< of stalled requests, kept per upstream
    std::size_t maxReports = 16;       ///< per message, so that a message fits into one datagram
    /// Reporters per message with stalled requests; up to 24 bytes each.
    std::size_t maxReportersWithStalls = 40;
    /// Number of messages in which each update is sent. With a fan-out of three, this reaches all
    /// instances of a failure domain.
    unsigned reportTransmissions = 2;
};

/** A change of an upstream's health state. */
struct health_change
{
    upstream_id upstream = noUpstream;
    health_state before = health_state::Answering;
    health_state state = health_state::Answering;
    std::size_t reporters = 0;
    unsigned retransmissions = 0;  ///< sum over all reporters
    unsigned requests = 0;         ///< retransmissions of requests, sum over all reporters
    monotonic_time silentFor {0};  ///< since the first unanswered packet was forwarded
    monotonic_time requestAge {0}; ///< since the latest unanswered request was forwarded
    unsigned waitingRequests = 0;  ///< acknowledged, without an answer, sum over all reporters
    unsigned stalledRequests = 0;  ///< those that have waited for their target latency
    /// It is avoided because requests wait at it, also if the state was Silent before.
    bool isAvoidedForStalls = false;
};

/** Failure detector that combines observations of this instance with reports from its peers. */
class upstream_health : public upstream_listener
{
public:
    /**
     * @param ownName name of this instance.
     * @param ownDomain failure domain of this instance.
     */
    upstream_health(const upstream_directory &directory, const std::string &ownName,
                    const std::string &ownDomain, health_limits limits = {});

    /** Records that a caller retransmitted a packet. */
    void noteRetransmission(upstream_id upstream, const unanswered_packet &packet,
                            monotonic_time now);

    /** Records that a caller has just acknowledged data from an upstream. */
    void noteAnswered(upstream_id upstream, monotonic_time now);

    /**
     * Records that an upstream has just accepted a flow. It acknowledges packets, which does not
     * tell whether it answers requests.
     */
    void noteAccepted(upstream_id upstream, monotonic_time now);

    /**
     * Records that a packet with data acknowledges an answer. The answer may be from long before,
     * so it only discards evidence that the upstream is stalled.
     */
    void noteEarlierAnswer(upstream_id upstream, monotonic_time now);

    /**
     * Records a request without an answer that was forwarded once, and so was acknowledged. Each
     * request is recorded at most once for each level.
     */
    void noteStalledRequest(upstream_id upstream, monotonic_time startedAt, stall_level level,
                            monotonic_time now);

    /** Sets whether upstreams may become Stalled. */
    void setStallDetection(bool isEnabled) { m_isStallDetectionEnabled = isEnabled; }

    /**
     * Sets whether this instance processes packets on time. If it is slow or was suspended, the
     * times at which it sees packets don't tell when they were sent, so its own observations are
     * ignored.
     */
    void setLocalHealth(bool isHealthy) { m_isLocallyHealthy = isHealthy; }

    /**
     * Records that the process was suspended until now. Verdicts from before don't hold until the
     * next evaluation, and reports that were queued meanwhile are ignored, as they look recent.
     */
    void noteResumed(monotonic_time now);

    /** Replaces the thresholds and timeouts. */
    void setLimits(const health_limits &limits) { m_limits = limits; }

    /** Whether the flows of an upstream are to be terminated. */
    bool isDead(upstream_id upstream) const
    {
        return !m_areVerdictsOutdated && m_dead.contains(upstream);
    }

    /** Whether flows of an upstream may be terminated because it answers no requests. */
    bool isStalled(upstream_id upstream) const
    {
        return !m_areVerdictsOutdated && m_stalled.contains(upstream);
    }

    /** The upstreams in state Stalled. */
    const std::unordered_set<upstream_id> &stalledUpstreams() const { return m_stalled; }

    /**
     * Whether an upstream is avoided because requests wait at it or waited lately. An accepted flow
     * does not end that, only an answer does.
     */
    bool isAvoidedForStalls(upstream_id upstream) const;

    /** Since the latest stalled request was forwarded; 0 if none is known. */
    monotonic_time stalledAgeOf(upstream_id upstream, monotonic_time now) const;

    health_state healthOf(upstream_id upstream) const;

    /** Time since the latest unanswered request was forwarded; 0 if none is known. */
    monotonic_time requestAgeOf(upstream_id upstream, monotonic_time now) const;

    void forget(upstream_id upstream) override;

    /**
     * Merges reports from another instance. Reports count if the sender is in the failure domain of
     * this instance or in that of the upstream: to any other sender, the upstream may merely be
     * unreachable because the path between the domains is cut. forOtherDomains() is the sender's
     * part of this rule.
     * @param isOwnDomain whether the sender is in the failure domain of this instance.
     */
    void merge(const std::vector<liveness_report> &reports, bool isOwnDomain, monotonic_time now);

    /**
     * Returns refutations and confirmations that the sender of some reports does not have yet.
     * @param reports must have been merged before.
     */
    std::vector<liveness_report> replyTo(const std::vector<liveness_report> &reports,
                                         monotonic_time now) const;

    /** Marks Gone upstreams whose address was reused; they are dead without further evidence. */
    void noteAddressReused(const std::vector<upstream_id> &upstreams);

    /** Re-evaluates all upstreams with open reports; returns the changes of state. */
    std::vector<health_change> evaluate(monotonic_time now);

    /** Whether there are updates to send. */
    bool hasPendingReports() const { return !m_pendingReports.empty(); }

    /**
     * Takes the updates for other instances of the own failure domain. Each update is returned in
     * reportTransmissions calls.
     */
    std::vector<liveness_report> takePendingReports(monotonic_time now);

    /**
     * Selects the reports about upstreams of the own failure domain; instances of other domains
     * accept only these.
     */
    std::vector<liveness_report> forOtherDomains(std::vector<liveness_report> reports) const;

    std::size_t countDead() const { return m_dead.size(); }

private:
    /** Unanswered packets seen by one instance. */
    struct reporter
    {
        reporter_id instance = 0;
        unsigned retransmissions = 0;
        unsigned requests = 0;              ///< retransmissions of requests
        monotonic_time since {0};           ///< when the first unanswered packet was forwarded
        monotonic_time lastRequestAt {0};   ///< when the latest unanswered request was forwarded
        monotonic_time lastReportedAt {0};  ///< last observation or report
        monotonic_time queuedRequestAt {0}; ///< lastRequestAt when an update was last queued
    };

    /** Requests without an answer seen by one instance. */
    struct stall_reporter
    {
        reporter_id instance = 0;
        unsigned waiting = 0;
        unsigned stalled = 0;        ///< at most `waiting`
        monotonic_time since {0};    ///< when the first of them was forwarded
        monotonic_time lastAt {0};   ///< when the latest of them was forwarded
        monotonic_time queuedAt {0}; ///< lastAt when an update was last queued
    };

    /** Health data of one upstream. */
    struct health_entry
    {
        monotonic_time requestAnsweredAt {0}; ///< last known answer to a request; 0 for none
        std::vector<stall_reporter> stalls;   ///< those without an answer since requestAnsweredAt
        monotonic_time waitingSince {0};      ///< when stalls reached the thresholds; 0 if not
        monotonic_time stalledAt {0};         ///< when it last became Stalled; 0 for never
        bool isAvoidedForStalls = false;
        monotonic_time answeredAt {0};   ///< last known answer; 0 if there is none
        std::vector<reporter> reporters; ///< those without an answer since answeredAt
        health_state state = health_state::Answering;
        monotonic_time diedAt {0};       ///< when it last became Dead; 0 for never
        bool hadAnnouncement = false;    ///< it was announced when it last became Dead
        bool isAddressReused = false;    ///< another upstream announced its address
        monotonic_time suspectedAt {0};  ///< when the thresholds for Dead were reached; 0 if not
        monotonic_time nextReportAt {0}; ///< of a dead upstream
    };

    /** Totals over all reporters of an upstream. */
    struct failure_summary
    {
        std::size_t reporters = 0;
        unsigned retransmissions = 0;
        unsigned requests = 0;
        monotonic_time since {0};         ///< earliest of all reporters; 0 if there is none
        monotonic_time lastRequestAt {0}; ///< latest of all reporters; 0 if there is none
        /// Reporters whose latest unanswered request is not older than maxRequestAge, and their
        /// requests.
        std::size_t recentReporters = 0;
        unsigned recentRequests = 0;
    };

    /** Totals over all reporters of stalled requests. */
    struct stall_summary
    {
        unsigned waiting = 0;
        unsigned stalled = 0;
        std::size_t waitingReporters = 0;
        std::size_t stalledReporters = 0;
        monotonic_time since {0};  ///< earliest of all reporters; 0 if there is none
        monotonic_time lastAt {0}; ///< latest of all reporters; 0 if there is none
    };

    /// A report has at most maxReporters + maxStallReporters, so that replies stay below the limit
    /// of a message.
    std::size_t maxReplyReporters() const
    {
        return m_limits.maxReportersWithStalls - m_limits.maxReporters - m_limits.maxStallReporters;
    }
    static stall_summary summarizeStalls(const health_entry &entry);
    void addStall(const upstream_record &record, health_entry &entry, const stall_reporter &seen);
    bool makeRoomForStall(health_entry &entry, const stall_reporter &seen) const;
    void recordRequestAnswer(health_entry &entry, monotonic_time answeredAt);
    void mergeStall(const upstream_record &record, const failure_reporter &other,
                    monotonic_time reportedAnswerAt, monotonic_time now);
    bool isStalledBy(health_entry &entry, const stall_summary &summary, monotonic_time now) const;
    static health_change makeChange(upstream_id upstream, const health_entry &entry,
                                    const failure_summary &summary, monotonic_time now);
    void addReporter(health_entry &entry, const reporter &seen, upstream_id upstream);
    bool makeRoomFor(health_entry &entry, const reporter &seen) const;
    void recordAnswer(health_entry &entry, monotonic_time answeredAt);
    void mergeReport(const upstream_record &record, const liveness_report &report,
                     monotonic_time now);
    health_state computeState(health_entry &entry, const upstream_record &record,
                              const failure_summary &summary, monotonic_time now) const;
    health_state computeLiveState(health_entry &entry, const failure_summary &summary,
                                  monotonic_time now) const;
    bool isDeadBy(const failure_summary &summary, bool isGone) const;
    bool hasJustResumed(monotonic_time now) const;
    failure_summary summarize(const health_entry &entry, monotonic_time now) const;
    void expire(health_entry &entry, monotonic_time now) const;
    void setState(const upstream_record &record, health_entry &entry, health_state state,
                  monotonic_time now);
    liveness_report makeReport(const upstream_record &record, const health_entry &entry,
                               monotonic_time now) const;
    void queueReport(upstream_id upstream)
    {
        m_pendingReports[upstream] = m_limits.reportTransmissions;
    }
    /// Queues a report that is repeated later on, so that one transmission is enough.
    void queueRepeatedReport(upstream_id upstream) { m_pendingReports.try_emplace(upstream, 1); }

    const upstream_directory &m_directory;
    reporter_id m_ownId;
    std::string m_ownDomain;
    health_limits m_limits;
    bool m_isLocallyHealthy = true;
    monotonic_time m_lastLocalAnswerAt {0}; ///< last answer of any upstream seen by this instance
    std::optional<monotonic_time> m_resumedAt; ///< when the process last resumed
    bool m_areVerdictsOutdated = false; ///< the process was suspended since the last evaluation
    bool m_isStallDetectionEnabled = false;
    monotonic_time m_lastLocalRequestAnswerAt {0}; ///< of any upstream, seen by this instance
    std::unordered_map<upstream_id, health_entry> m_entries;
    std::unordered_set<upstream_id> m_watched; ///< have reporters, or are not Answering
    std::unordered_set<upstream_id> m_dead;    ///< in state Dead
    std::unordered_set<upstream_id> m_stalled; ///< in state Stalled
    /// Upstreams with an update to send, and the number of messages it still goes into.
    std::unordered_map<upstream_id, unsigned> m_pendingReports;
};

/** Identifier of an instance in liveness reports. */
reporter_id reporterIdOf(const std::string &instanceName);

} // namespace chicoryhead
