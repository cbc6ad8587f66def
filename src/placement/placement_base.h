/**
 * @file placement/placement_base.h
 * Which upstream a new flow goes to.
 *
 * An instance sees the packets of callers only, so it judges upstreams by what callers do: a copy
 * of an opening packet means that the first one was not answered, a packet that carries a steering
 * tag means that it was.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryhead {

/** Chooses upstreams for new flows and learns from how they turn out. */
class flow_placement : public upstream_listener
{
public:
    /**
     * Chooses an upstream for a flow that is being opened.
     * @param tried upstreams that did not answer this flow; they are chosen only if no other is
     * left.
     * @return nothing if the service has no upstream that may get new flows.
     */
    virtual std::optional<upstream_id>
    choose(const std::string &service, std::span<const upstream_id> tried, monotonic_time now) = 0;

    /** An upstream did not answer an opening packet; returns whether it is avoided only now. */
    virtual bool noteUnanswered(upstream_id upstream, monotonic_time now) = 0;

    /** An upstream answered an opening packet; returns whether it had left others unanswered. */
    virtual bool noteAnswered(upstream_id upstream) = 0;

    /** A caller gave up a request after some time without an answer. */
    virtual void noteGivenUp(upstream_id upstream, monotonic_time age, monotonic_time now) = 0;

    /** An upstream answered a request after some time. */
    virtual void noteLatency(upstream_id upstream, monotonic_time latency, monotonic_time now) = 0;

    /** Other instances found that an upstream does not answer; it is avoided for a while. */
    virtual void avoid(upstream_id upstream, bool isDead, monotonic_time now) = 0;

    /** Upstreams that are avoided at this time, for metrics. */
    virtual std::size_t countSuspected(monotonic_time now) const = 0;
};

/** Times and thresholds of domain_first_placement. */
struct placement_limits
{
    /// After an unanswered opening packet, an upstream gets no new flow for this time, which
    /// doubles with each further one. Single datagrams are lost on any network, so it starts short.
    /// It weighs lost flows against the share of a good upstream; no bound of a deployment speaks
    /// of either, and an upstream that restarts is trusted at once.
    monotonic_time suspicion = std::chrono::milliseconds(500);
    monotonic_time maxSuspicion = std::chrono::seconds(8);
    /// Part of a service's slots that this instance avoids at most on its own evidence. With more
    /// the fault is likely its own link, and the upstreams that are left would be overloaded.
    double maxSuspectedPart = 0.5;
    /// Share of its weight that an upstream gets while it is slow after its start.
    double coldShare = 0.5;
    /// An upstream counts as slow when its latency is above this multiple of its service's median.
    double slowRatio = 2.0;
    /// Smallest share of its weight that a slow upstream gets; some flows must go on to measure it.
    double slowShare = 0.05;
    /// Weight of the newest latency in the moving average.
    double latencySmoothing = 0.25;
    /// Latencies that are older say nothing about the upstream of now.
    monotonic_time latencyMemory = std::chrono::seconds(4);
    /// Latencies needed before an upstream can count as slow.
    unsigned minLatencies = 4;
    /// The own domain keeps all its new flows down to this part of the mean number of slots per
    /// domain. Below it some go to other domains, so that its upstreams are at most 1/0.75 times as
    /// busy as the mean; at the usual load of 40 to 50% that leaves them room.
    double keptCapacity = 0.75;
    /// The own domain counts as crowded when the median latency of its upstreams is above this
    /// multiple of the service's best. Averages of a few requests differ by up to 1.5 without load.
    double crowdedRatio = 2.2;
    /// Part of a domain's upstreams that must be measured for their median to count.
    double measuredPart = 0.25;
    /// Pause between two looks at the best latency, which walk all upstreams of the service.
    monotonic_time bestLatencyPause = std::chrono::milliseconds(100);
    /// Growth of the best latency per second, so that it follows a service that became slower.
    double bestLatencyGrowth = 0.05;
};

/** Where an instance is. */
struct placement_position
{
    std::string domain;          ///< own failure domain
    std::size_t domainCount = 1; ///< failure domains of the deployment
    /// Differs between instances, so that they do not all begin with the same upstream while
    /// setTurn() was not called.
    std::uint64_t seed = 0;
};

/**
 * Smooth weighted round robin over the upstreams of the own failure domain, and over those of the
 * other domains when the own one has none that answers or too few. A flow that stays in its domain
 * survives when the domain is cut off, and no packet of it crosses domains.
 */
class domain_first_placement : public flow_placement
{
public:
    domain_first_placement(const upstream_directory &directory, placement_position position,
                           placement_limits limits = {});

    std::optional<upstream_id> choose(const std::string &service,
                                      std::span<const upstream_id> tried,
                                      monotonic_time now) override;
    bool noteUnanswered(upstream_id upstream, monotonic_time now) override;
    bool noteAnswered(upstream_id upstream) override;
    void noteGivenUp(upstream_id upstream, monotonic_time age, monotonic_time now) override;
    void noteLatency(upstream_id upstream, monotonic_time latency, monotonic_time now) override;
    void forget(upstream_id upstream) override;
    void avoid(upstream_id upstream, bool isDead, monotonic_time now) override;
    std::size_t countSuspected(monotonic_time now) const override;

    /**
     * Sets the place of this instance among those of its domain. All count the upstreams in the
     * same order and begin at equal distances, so that the first flows of a fleet that starts are
     * spread evenly though nobody knows of the others' flows.
     * @param place from 0 to count - 1.
     */
    void setTurn(std::size_t place, std::size_t count);

    /** Whether an upstream is avoided because it did not answer. */
    bool isSuspected(upstream_id upstream, monotonic_time now) const;

    /** Moving average of an upstream's latencies; 0 when it did not answer lately. */
    monotonic_time latencyOf(upstream_id upstream, monotonic_time now) const;

private:
    /** What was learnt of one upstream. */
    struct experience
    {
        double credit = 0;       ///< of the smooth round robin; the highest one is chosen next
        bool hasCredit = false;  ///< it took part in a turn
        unsigned unanswered = 0; ///< opening packets without answer since the last answer
        monotonic_time suspectedUntil {0};
        bool isDead = false;    ///< other instances saw the same
        double latency = 0;     ///< moving average, in microseconds
        unsigned latencies = 0; ///< in the average
        monotonic_time latencyAt {0};
    };

    /** Lowest median latency that a domain's upstreams of a service had. */
    struct best_latency
    {
        double latency = 0; ///< in microseconds; 0 for none
        monotonic_time at {0};
        monotonic_time nextCheck {0};
    };

    /** How good a choice an upstream is; a lower group is chosen only when the others are empty. */
    enum class choice_group : std::uint8_t {
        OwnDomain,
        OtherDomain,
        DoubtfulPath, ///< in a domain to which an opening packet was lost lately
        Missing,      ///< announcement lapsed
        Suspected,
        Tried,
        None,
    };
    static constexpr std::size_t groupCount = 6; ///< without None

    /** Upstreams of one service by group. */
    using grouped_upstreams = std::array<std::vector<upstream_id>, groupCount>;

    grouped_upstreams group(std::span<const upstream_id> upstreams,
                            std::span<const upstream_id> tried, monotonic_time now) const;
    bool leavesDomain(const std::string &service, const grouped_upstreams &groups, double median,
                      monotonic_time now);
    double keptShare(const std::string &service, const grouped_upstreams &groups, double median,
                     monotonic_time now) const;
    double capacityOf(std::span<const upstream_id> upstreams, double median,
                      monotonic_time now) const;
    void noteBestLatency(const upstream_record &measured, monotonic_time now);
    double usualLatency(std::span<const upstream_id> upstreams, monotonic_time now) const;
    bool isMeasured(const experience &known, monotonic_time now) const;

    /** How the path to another domain did lately. */
    struct domain_path
    {
        unsigned unanswered = 0; ///< opening packets without answer since the last answer
        monotonic_time doubtedUntil {0};
    };

    void trustSuspected(grouped_upstreams &groups) const;
    monotonic_time suspicionAfter(unsigned unanswered) const;
    bool isDoubtfulPath(const std::string &domain, monotonic_time now) const;

    choice_group groupOf(const upstream_record &record, std::span<const upstream_id> tried,
                         monotonic_time now) const;
    double weightOf(const upstream_record &record, double medianLatency, monotonic_time now) const;
    double medianLatency(std::span<const upstream_id> upstreams, monotonic_time now) const;
    void enrol(std::span<const upstream_id> options);
    upstream_id takeTurn(std::span<const upstream_id> options, double median, monotonic_time now);
    experience &experienceOf(upstream_id upstream);
    double jitterOf(upstream_id upstream, monotonic_time now) const;

    const upstream_directory &m_directory;
    placement_position m_position;
    placement_limits m_limits;
    double m_turn; ///< where this instance begins in the order of upstreams; from 0 to 1
    std::unordered_map<upstream_id, experience> m_experience;
    /// By service: part of a flow that is owed to other domains; at 1 the next flow goes there.
    std::map<std::string, double> m_owedToOthers;
    std::map<std::string, best_latency> m_best; ///< by service
    std::map<std::string, domain_path> m_paths; ///< by failure domain, without the own one
};

} // namespace chicoryhead
