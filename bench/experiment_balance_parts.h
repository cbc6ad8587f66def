/**
 * @file experiment_balance_parts.h
 * Parts of the model: fakes at the library's interfaces, upstreams, instances and flows.
 */

#pragma once

#include "experiment_balance_model.h"

namespace chicoryhead::experiment {

inline constexpr int instanceCount = 15;
inline constexpr int domainCount = 3;
inline constexpr std::array<int, 2> upstreamCounts {14, 4};
inline constexpr std::array<int, 2> slotCounts {256, 64};

/** Virtual time. */
struct model_clock : clock_source
{
    monotonic_time time {std::chrono::seconds(1)};
    monotonic_time now() const override { return time; }
    wall_time wallNow() const override { return {}; }
};

/** Seeded random source. */
struct model_random : random_source
{
    std::mt19937_64 engine;
    explicit model_random(std::uint64_t seed) : engine(seed) { }
    std::uint64_t next() override { return engine(); }
    double uniform() { return (static_cast<double>(engine() >> 11) + 0.5) * 0x1.0p-53; }
};

/** Kinds of events. */
enum class event_kind : std::uint8_t {
    NewFlow,  ///< a: service
    Syn,      ///< a: flow; a SYN arrives at an instance
    Arrive,   ///< a: flow; b: upstream
    Complete, ///< a: flow; b: upstream
    Report,   ///< a: index of a report
    Notice,   ///< a: index of a notice
    Lost,     ///< a: upstream; b: instance whose SYN got no answer
    Tick,     ///< a: instance
    Second,   ///< pings, and samples of load
    Fault,    ///< starts the fault
    FaultEnd, ///< ends it
    Suspect,  ///< members on the other side of a partition are suspected
    Restart,  ///< a: instance; b: step
    Apply,    ///< a: instance; applies the second configuration
};

/** One event; the order of equal times is the order of scheduling. */
struct event
{
    monotonic_time time {0};
    std::uint64_t order = 0;
    event_kind kind = event_kind::Tick;
    std::uint32_t a = 0;
    std::uint32_t b = 0;

    bool operator>(const event &other) const
    {
        return time != other.time ? time > other.time : order > other.order;
    }
};

/** A caller's flow with one request. */
struct flow
{
    int service = 0;
    flow_hash hash = 0;
    monotonic_time firstSent {0}; ///< first attempt of the request
    int attempt = 0;              ///< attempts after a refusal
    int transmission = 0;         ///< retransmissions of the SYN of this attempt
    std::uint32_t upstream = 0;   ///< upstream of the last SYN that was passed on; 0 for none
    int home = -1;                ///< home 1 of a tracked slot
    int secondHome = -1;          ///< set for an exception
    bool wasPassed = false;       ///< a SYN reached an upstream in any attempt
    std::uint32_t known = 0;      ///< instances that know the flow, as bits
};

/** Upstream with slots and a queue. */
struct fake_upstream
{
    int service = 0;
    int domain = 0;
    int slots = 0;
    int busy = 0;
    std::deque<std::uint32_t> queue;
    bool isShedding = false;
    bool isLeaving = false;
    bool isFrozen = false;
    double slowness = 1; ///< factor of service times
    monotonic_time coldUntil {0};
    std::uint64_t startedAt = 1;
    std::uint64_t sequence = 0;
    load_report frozen;
    monotonic_time lastChange {0};
    double busyTime = 0; ///< slot seconds in use, in the current window
};

/** A report on its way. */
struct pending_report
{
    int instance = 0;
    std::uint32_t epoch = 0; ///< of the instance; a restart loses the report
    upstream_id upstream = noUpstream;
    std::optional<load_report> report;
};

/** A notice on its way. */
struct pending_notice
{
    int from = 0;
    int to = 0;
    upstream_notice notice;
};

class model;

/** One instance with the library's parts; prober and outlet are the model's. */
struct fake_instance : load_prober, notice_outlet
{
    model &owner;
    int index;
    int domain;
    std::uint32_t epoch = 0;
    bool isUp = true;
    model_random random;
    blackboard board;
    std::unique_ptr<health_controller> health;
    std::unique_ptr<flow_limiter> limiter;
    std::unique_ptr<placement_policy> placement;
    monotonic_time nextAppliedAt {0}; ///< when the second configuration was applied
    std::vector<std::pair<monotonic_time, upstream_notice>> recent;

    fake_instance(model &owner_, int index_, std::uint64_t seed)
        : owner(owner_)
        , index(index_)
        , domain(index_ % domainCount)
        , random(seed + 1000 + static_cast<std::uint64_t>(index_))
    {
    }

    void probe(upstream_id upstream, const endpoint &health) override;
    void spread(const upstream_notice &notice) override;
};

/** The whole deployment. */
class model
{
public:
    model(const experiment_case &what, policy which, std::uint16_t slots, std::uint64_t seed);

    /** Runs to the end. */
    run_figures run();

    void sendProbe(fake_instance &instance, upstream_id upstream);
    void sendNotice(fake_instance &from, int to, const upstream_notice &notice);
    model_clock clock;

private:
    void buildConfigs(std::uint16_t slots);
    void buildInstance(int index);
    void schedule(monotonic_time delay, event_kind kind, std::uint32_t a = 0, std::uint32_t b = 0);
    void handle(const event &item);

    void onNewFlow(int service);
    void onSyn(std::uint32_t id);
    void onArrive(std::uint32_t id, std::uint32_t upstream);
    void onComplete(std::uint32_t id, std::uint32_t upstream);
    void onSecond();
    void onFault();
    void onFaultEnd();
    void onSuspect(bool isStart);
    void onRestart(int index, std::uint32_t step);

    void steerTracked(std::uint32_t id, int receiver, const service_config &service,
                      const slot_entry &slot);
    void pass(std::uint32_t id, int forwarder, upstream_id upstream, monotonic_time delay);
    void retransmit(std::uint32_t id);
    void refuse(std::uint32_t id);
    void startService(std::uint32_t id, std::uint32_t upstream);
    void account(fake_upstream &upstream);
    void closeWindow();
    void countPackets(flow &item);

    int pickInstance();
    int homeOf(const fake_instance &viewer, flow_hash hash, int besides) const;
    bool reaches(int domainA, int domainB) const;
    monotonic_time hop(int domainA, int domainB) const;
    void setMember(int index, member_state state);
    bool isBaseline() const;
    bool isMeasured() const;
    load_report snapshot(fake_upstream &upstream);
    run_figures figures();

    experiment_case m_case;
    policy m_policy;
    model_random m_random;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::array<double, 2> m_rates {};                        ///< new flows per second per service
    std::array<std::shared_ptr<configuration>, 2> m_configs; ///< before and after the drain
    std::vector<fake_upstream> m_upstreams;                  ///< index is id - 1
    std::vector<std::unique_ptr<fake_instance>> m_instances;
    std::vector<flow> m_flows;
    std::vector<pending_report> m_reports;
    std::vector<pending_notice> m_notices;
    bool m_isCut = false;
    bool m_isFaulty = false;
    double m_burst = 1;

    std::vector<double> m_ratios; ///< load over mean per upstream and window
    std::vector<double> m_times;  ///< answer times in ms
    std::uint64_t m_newFlows = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_refusals = 0;
    std::uint64_t m_refusalsWithRoom = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_passedFlows = 0;
    std::uint64_t m_exceptions = 0;
    std::uint64_t m_relays = 0;
    std::uint64_t m_controlBytes = 0;
};

} // namespace chicoryhead::experiment
