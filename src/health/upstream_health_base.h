/**
 * @file upstream_health_base.h
 * Which upstreams answer, from what callers do at all instances.
 *
 * An instance sees the packets of callers only. A caller repeats a packet that was not
 * acknowledged, and an upstream that lives acknowledges at once, however long it works on a
 * request. At hundreds of instances each one sees few packets to each upstream, so instances pool
 * what they see: a few repeated packets anywhere protect the callers of all.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "liveness_report_type.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chicoryhead {

/** What is believed of an upstream. */
enum class health_state : std::uint8_t {
    Answering,
    Silent, ///< left some packets unanswered; gets no new flows for a while
    Dead,   ///< answers nobody; its flows are ended
};

/** Name of a verdict for logs. */
std::string_view toString(health_state state);

/** Thresholds and times of upstream_health. */
struct health_limits
{
    /// A packet is unanswered when its caller sends it again this long after it was sent on.
    /// Callers wait 200 ms; packets that waited here together come with less between them.
    monotonic_time minRetransmissionDelay = std::chrono::milliseconds(150);
    /// Unanswered packets that make an upstream silent. Single datagrams are lost on any network.
    unsigned silentThreshold = 2;
    /// Unanswered packets that make an upstream dead.
    unsigned deadThreshold = 3;
    /// Instances that must have seen them: one instance behind a bad link condemns nobody.
    unsigned minDeadReporters = 2;
    /// Time for instances that got answers to object before an upstream counts as dead.
    monotonic_time refutationTime = std::chrono::milliseconds(100);
    /// An answer counts against packets that were sent up to this long after it, because the ages
    /// in reports are too small by the time that the reports travelled.
    monotonic_time ageSlack = std::chrono::milliseconds(50);
    /// Added to the age of an answer in each report. Without it an answer would seem newer with
    /// each instance that passes it on, by the time that the report travelled.
    monotonic_time relayDelayAllowance = std::chrono::milliseconds(10);
    /// Evidence that is older says nothing about now. Callers repeat at most 1.6 s apart.
    monotonic_time maxEvidenceAge = std::chrono::seconds(4);
    /// Time after which a dead upstream that is still announced is given another chance.
    monotonic_time deadRetryDelay = std::chrono::seconds(10);
    std::size_t maxReporters = 4; ///< kept for each upstream
    std::size_t maxReports = 24;  ///< in one message, so that it fits into a datagram
    /// Messages in which each news is sent on; with a fan-out of three all of a domain get it.
    unsigned reportTransmissions = 2;
};

/** A verdict that changed. */
struct health_change
{
    upstream_id upstream = noUpstream;
    health_state before = health_state::Answering;
    health_state state = health_state::Answering;
    std::size_t reporters = 0;
    unsigned retransmissions = 0; ///< of all witnesses
    monotonic_time silentFor {0}; ///< since the first unanswered packet
};

/** Pools what this instance and others see, and judges by it. */
class upstream_health : public upstream_listener
{
public:
    /** @param ownName name of this instance. */
    upstream_health(const upstream_directory &directory, const std::string &ownName,
                    const std::string &ownDomain, health_limits limits = {});

    /** A caller sent a packet again that was first sent on at a time. */
    void noteRetransmission(upstream_id upstream, monotonic_time firstSentAt, monotonic_time now);

    /** A caller acknowledged what an upstream sent just now. */
    void noteAnswered(upstream_id upstream, monotonic_time now);

    /**
     * Sets whether this instance handles packets in time. What an instance sees that is slow or
     * was suspended does not tell when the packets were really sent.
     */
    void setLocalHealth(bool isHealthy) { m_isLocallyHealthy = isHealthy; }

    /** Whether flows of an upstream are to be ended. */
    bool isDead(upstream_id upstream) const { return !m_dead.empty() && m_dead.contains(upstream); }

    health_state healthOf(upstream_id upstream) const;

    void forget(upstream_id upstream) override;

    /**
     * Takes over what another instance reports. Evidence counts if it was seen from the own domain
     * or from that of the upstream: elsewhere only the path may be cut.
     * @param isOwnDomain whether the sender is in the domain of this instance.
     */
    void merge(const std::vector<liveness_report> &reports, bool isOwnDomain, monotonic_time now);

    /** What the sender of some reports, merged before, does not know; empty for nothing. */
    std::vector<liveness_report> replyTo(const std::vector<liveness_report> &reports,
                                         monotonic_time now) const;

    /** Gone upstreams whose address has another owner are dead, whoever saw them silent. */
    void noteAddressReused(const std::vector<upstream_id> &upstreams);

    /** Judges by all evidence; returns the verdicts that changed. */
    std::vector<health_change> evaluate(monotonic_time now);

    /** Whether there are news to report. */
    bool hasPendingReports() const { return !m_pendingReports.empty(); }

    /** News for other instances of the own domain; each is returned a bounded number of times. */
    std::vector<liveness_report> takePendingReports(monotonic_time now);

    /** Those of some reports that count in other domains: about upstreams of the own domain. */
    std::vector<liveness_report> forOtherDomains(std::vector<liveness_report> reports) const;

    std::size_t countDead() const { return m_dead.size(); }

private:
    /** What one instance saw. */
    struct reporter
    {
        reporter_id instance = 0;
        unsigned retransmissions = 0;
        monotonic_time since {0};          ///< when the first unanswered packet was sent on
        monotonic_time lastReportedAt {0}; ///< when it was last seen or reported
    };

    /** What is known of one upstream. */
    struct health_entry
    {
        monotonic_time answeredAt {0};   ///< last known answer; 0 for none
        std::vector<reporter> reporters; ///< all silent since answeredAt
        health_state state = health_state::Answering;
        monotonic_time stateChangedAt {0}; ///< when the verdict was made
        bool isAddressReused = false;      ///< another upstream has its address
        bool isDeadByWithdrawal = false;   ///< dead because its announcement ended too
        monotonic_time suspectedAt {0};    ///< when there was enough evidence for death; 0 for none
    };

    /** Sums over witnesses. */
    struct failure_summary
    {
        std::size_t reporters = 0;
        unsigned retransmissions = 0;
        monotonic_time since {0}; ///< of the earliest; 0 for none
    };

    void addReporter(health_entry &entry, const reporter &seen, upstream_id upstream);
    void recordAnswer(health_entry &entry, monotonic_time answeredAt);
    void mergeReport(const upstream_record &record, const liveness_report &report,
                     monotonic_time now);
    health_state computeState(health_entry &entry, const upstream_record &record,
                              const failure_summary &summary, monotonic_time now) const;
    static failure_summary summarize(const health_entry &entry);
    void expire(health_entry &entry, monotonic_time now) const;
    void setState(upstream_id upstream, health_entry &entry, health_state state,
                  monotonic_time now);
    liveness_report makeReport(const upstream_record &record, const health_entry &entry,
                               monotonic_time now) const;
    void queueReport(upstream_id upstream)
    {
        m_pendingReports[upstream] = m_limits.reportTransmissions;
    }

    const upstream_directory &m_directory;
    reporter_id m_ownId;
    std::string m_ownDomain;
    health_limits m_limits;
    bool m_isLocallyHealthy = true;
    monotonic_time m_lastLocalAnswerAt {0}; ///< last answer of any upstream that was seen here
    std::unordered_map<upstream_id, health_entry> m_entries;
    std::unordered_set<upstream_id> m_watched; ///< with witnesses, or not answering
    std::unordered_set<upstream_id> m_dead;    ///< those with the verdict Dead
    std::unordered_map<upstream_id, unsigned> m_pendingReports; ///< with messages left to send
};

/** Number of an instance as a witness. */
reporter_id reporterIdOf(const std::string &instanceName);

} // namespace chicoryhead
