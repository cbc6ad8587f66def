/**
 * @file health_base.h
 * Health controller: probes upstreams and decides whether new flows are placed on them.
 */

#pragma once

#include "balance_base.h"
#include "blackboard/blackboard_type.h"
#include "core/core_base.h"
#include "steering/steering_base.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicoryhead {

/** Takes notices that have to be spread to the other instances. */
class notice_outlet
{
public:
    virtual ~notice_outlet() = default;

    /** Queues a notice for dissemination; a higher incarnation replaces a lower one. */
    virtual void spread(const upstream_notice &notice) = 0;
};

/** Times and thresholds of the health controller. */
struct health_settings
{
    monotonic_time probeInterval = std::chrono::seconds(1);
    monotonic_time freshness = std::chrono::seconds(3); ///< age at which a report counts as absent
    monotonic_time recovery = std::chrono::seconds(3); ///< calm time before an upstream is reopened
    monotonic_time holdOff = std::chrono::seconds(5);  ///< mean hold-off of a shedding upstream
    monotonic_time maxHoldOff = std::chrono::seconds(30);
    double overloadOn = 0.95;  ///< share of slots in use, last or smoothed, with queue
    double overloadOff = 0.80; ///< smoothed share of slots in use
    /// Smoothed queue in slots. Eight slots of queue are rare at 70% load by chance.
    double queueOn = 8.0;
    /// Time for which a reopened upstream counts half as deflected, because it ramps up.
    monotonic_time rampTime = std::chrono::seconds(30);
    /// Weight that may be deflected for overload; beyond it the rest would be overloaded too.
    double overloadShare = 0.25;
    std::uint32_t failuresOn = 3; ///< consecutive probe failures
    std::uint32_t repeatsOn = 3;  ///< repeated sequence numbers that make a report frozen
    std::uint32_t idleOn = 5;     ///< consecutive idle reports that are compared with traffic
    double idleAnswers = 30;      ///< decayed count of answers that contradicts idle reports
    double signalFailures = 5;    ///< decayed failure signals that make an upstream failing
    bool deflectOnContradiction = true;
};

/**
 * Decides conditions of upstreams. Probers evaluate reports and signals and spread changes; all
 * other instances only adopt notices. Writes blackboard::upstreams.
 */
class health_controller
{
public:
    health_controller(const clock_source &clock, random_source &random, blackboard &board,
                      load_prober &prober, notice_outlet &outlet, health_settings settings = {});

    /**
     * Takes the outcome of a probe.
     * @param report none when the probe failed or timed out.
     */
    void onReport(upstream_id upstream, std::optional<load_report> report);

    /** Takes an event that was seen in the packets of an upstream's flows. */
    void onSignal(upstream_id upstream, passive_signal signal);

    /** Takes a notice of another instance; an older incarnation is ignored. */
    void onNotice(const upstream_notice &notice);

    /** Takes the numbers of flows in the local table; for upstreams left out the number is 0. */
    void onFlowCounts(std::span<const upstream_flow_count> counts);

    /** Starts probes that are due and evaluates conditions; called every 10 ms to 100 ms. */
    void tick();

    /** Whether this instance is one of the two probers of an upstream now. */
    bool isProber(upstream_id upstream) const;

private:
    /** What is remembered about one upstream. */
    struct record
    {
        service_id service {0};
        domain_id domain {0};
        endpoint health;
        std::uint16_t weight = 0;
        std::uint16_t slots = 1;
        bool isLeaving = false;
        bool isProber = false;
        monotonic_time probeDue {0};
        monotonic_time shedUntil {0};    ///< hold-off after shedding
        monotonic_time lastShed {0};     ///< last start of a hold-off
        monotonic_time holdOff {0};      ///< length of the last hold-off before jitter
        monotonic_time troubleAt {0};    ///< last time a reason for deflection held
        monotonic_time aliveAt {-1};     ///< last reply seen; negative for never
        monotonic_time refusedSince {0}; ///< first of the current refusals
        monotonic_time suspectSince {0}; ///< when it began to seem overloaded; 0 when not
        bool isCompared = false;         ///< first comparison probes were started
        monotonic_time takenAt {0};      ///< arrival of the last believable report
        bool isRefusalProbed = false;    ///< a probe was started for the current refusals
        monotonic_time signalsAt {0};    ///< time to which the signal figures are decayed
        double refused = 0;              ///< decayed count of refused SYNs
        double unanswered = 0;           ///< decayed count of unanswered SYNs
        double accepted = 0;             ///< decayed count of accepted SYNs
        double answered = 0;             ///< decayed count of answers
        double busy = 0;                 ///< smoothed share of slots in use
        double queue = 0;                ///< smoothed queue, in slots
        std::uint32_t failures = 0;      ///< consecutive failed probes
        std::uint32_t repeats = 0;       ///< consecutive reports with the same sequence number
        std::uint32_t idleReports = 0;   ///< consecutive idle reports
        bool hasReport = false;          ///< figures below are valid
        bool isSmoothed = false;         ///< busy and queue hold at least one report
        bool isOverloaded = false;       ///< state of the hysteresis
        load_report last;                ///< last believable report
    };

    void refreshUpstreams();
    void removeService(const service_config &service);
    void replaceService(const service_config &before, const service_config &service);
    void addUpstreams(const service_config &service);
    void dropStrayStates();
    void chooseProbers();
    bool choosesSelf(upstream_id upstream, const std::vector<instance_id> &candidates) const;
    void startProbes(monotonic_time now);
    bool startProbe(upstream_id upstream, record &entry, monotonic_time now);
    void probeOthers(upstream_id upstream, record &entry, monotonic_time now);
    bool isFull(const record &entry) const;
    bool isSuspicious(const record &entry) const;
    bool isAccepting(upstream_id upstream, const record &entry) const;
    bool isComparable(upstream_id upstream, const record &entry, monotonic_time since) const;
    void evaluate(upstream_id upstream, record &entry, monotonic_time now);
    bool isBelievable(record &entry, const load_report &report);
    bool isContradicted(upstream_id upstream, const record &entry) const;
    bool isFailing(const record &entry, monotonic_time now) const;
    void takeFigures(upstream_id upstream, record &entry, const load_report &report);
    void updateOverload(upstream_id upstream, record &entry, monotonic_time now);
    bool isShedding(const record &entry) const;
    void forgetOverload(upstream_id upstream);
    void startHoldOff(record &entry, monotonic_time now);
    void decaySignals(record &entry, monotonic_time now) const;
    double lostShare(service_id service, upstream_id added) const;
    bool hasRoomElsewhere(const record &entry, upstream_id upstream) const;
    bool isRefusalGeneral(service_id service) const;
    void change(upstream_id upstream, upstream_condition condition, condition_reason reason,
                monotonic_time now);
    condition_reason reasonOf(const record &entry, monotonic_time now) const;
    bool isUnreachable(const record &entry, monotonic_time now) const;
    monotonic_time jitter(monotonic_time mean);

    const clock_source &m_clock;
    random_source &m_random;
    blackboard &m_board;
    load_prober &m_prober;
    notice_outlet &m_outlet;
    health_settings m_settings;
    std::unordered_map<upstream_id, record> m_records; ///< one per upstream of the configuration
    std::unordered_map<service_id, std::vector<upstream_id>> m_services; ///< keys of m_records
    std::vector<upstream_id> m_probed;  ///< upstreams of which this instance is a prober
    monotonic_time m_comparisonDue {0}; ///< earliest time of the next comparison probe
    /// Configuration that m_records was built from; never null.
    std::shared_ptr<const configuration> m_config = std::make_shared<const configuration>();
    std::uint64_t m_membersRevision = ~std::uint64_t {0};
};

} // namespace chicoryhead
