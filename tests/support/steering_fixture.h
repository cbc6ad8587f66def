/**
 * @file steering_fixture.h
 * Instances, upstreams and callers in virtual time, joined in memory, for the steering tests.
 *
 * The fabric sprays packets at random with a fixed seed. Members, versions and records reach other
 * instances with delays, as membership and the byte budget would have it.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "core/core_base.h"
#include "steering/steering_func.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryhead::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class policy_kind { Tracked, Plain };

/** Time that tests set. */
class virtual_clock : public clock_source
{
public:
    monotonic_time now() const override { return time; }
    wall_time wallNow() const override
    {
        return std::chrono::duration_cast<wall_time>(time) + wall_time {1'700'000'000};
    }
    monotonic_time time = seconds(1000);
};

/** Places new flows by unweighted rendezvous hashing over the upstreams that accept them. */
class fake_placement : public placement_policy
{
public:
    explicit fake_placement(const blackboard &board) : m_board(board) { }
    upstream_id choose(const service_config &service, const slot_entry &slot,
                       flow_hash hash) override;
    bool isDeflected(const service_config &service, upstream_id upstream) const override;
    bool wasDeflected(upstream_id upstream) const override;
    bool admit(const service_config &) override { return admits; }

    bool admits = true;

private:
    const blackboard &m_board;
};

/** What went wrong, or was seen, during a run. */
struct steering_counts
{
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;         ///< SYN answered with RST
    std::uint64_t broken = 0;          ///< flows that an RST or silence ended
    std::uint64_t strayPayload = 0;    ///< payload packets at an upstream without the flow
    std::uint64_t earlyStray = 0;      ///< those that were sent fewer than three times
    std::uint64_t unanswered = 0;      ///< flows that wait for an answer now
    std::uint64_t secondUpstream = 0;  ///< flows with payload at two upstreams
    std::uint64_t wrongService = 0;    ///< packets at an upstream of another service
    std::uint64_t retransmissions = 0; ///< by callers
    std::uint64_t relays = 0;
    std::uint64_t packets = 0; ///< from callers
};

/** State of a caller's flow. */
enum class caller_state { Idle, Opening, Open, Closing, Closed, Refused, Broken };

class steering_fixture
{
public:
    steering_fixture(policy_kind kind, std::uint64_t seed, unsigned instances = 15,
                     unsigned domains = 3);
    ~steering_fixture();

    // Configuration. Changes are made to a copy of the newest one and applied with apply().
    service_config &service(std::uint32_t id);
    void addService(std::uint32_t id, unsigned upstreams, service_protocol protocol);
    void markLeaving(std::uint32_t id, unsigned upstream);
    void removeUpstream(std::uint32_t id, unsigned upstream);
    unsigned addUpstream(std::uint32_t id);
    /** Puts the edited configuration in force at each instance after up to maxDelay. */
    void apply(monotonic_time maxDelay);
    void deflect(unsigned upstream, bool isDeflected, monotonic_time maxDelay);

    // Instances.
    void kill(instance_id instance);
    void leave(instance_id instance);
    instance_id join(domain_id domain);
    void partition(domain_id domain, bool isCut);
    std::vector<instance_id> instances() const; ///< those that are alive

    // Callers.
    std::size_t openFlow(std::uint32_t service);
    void sendData(std::size_t flow);
    void closeFlow(std::size_t flow);
    /** Opens flows at a constant rate over a time. */
    void openFlows(std::uint32_t service, std::size_t count, monotonic_time over);
    /** Lets all open flows send once at random times within a time. */
    void sendOnAll(monotonic_time over);
    /** Hands the next packets of a flow to one instance only; noInstance for any. */
    void pinNext(std::size_t flow, instance_id instance);
    upstream_id upstreamOf(std::size_t flow) const; ///< where its SYN was accepted
    caller_state stateOf(std::size_t flow) const;
    std::size_t flowCount() const;

    void run(monotonic_time duration);
    void at(monotonic_time delay, std::function<void()> action);

    /** Open flows at an upstream. */
    std::size_t openAt(unsigned upstream) const;
    /** SYNs that an upstream received. */
    std::uint64_t synsAt(unsigned upstream) const;
    steering_counts counts() const;
    std::string report(const std::string &name) const;
    steering_policy &policyOf(instance_id instance);
    blackboard &boardOf(instance_id instance);

    virtual_clock clock;
    double relayLoss = 0; ///< share of relayed packets that are lost

private:
    struct node;
    struct caller_flow;
    struct backend;
    struct wire_packet;
    struct event
    {
        monotonic_time time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    node *nodeOf(instance_id instance);
    bool isReachable(instance_id from, instance_id to) const;
    instance_id spray();
    double unit();
    monotonic_time upTo(monotonic_time limit);
    void setState(node &viewer, instance_id id, member_state state);
    void announceMember(instance_id id, member_state state, monotonic_time maxDelay);
    void noticeDeath(instance_id viewer, instance_id dead);
    void noticeLoss(instance_id viewer, instance_id other, monotonic_time delay,
                    member_state state);
    node &startNode(instance_id id, domain_id domain, member_state state);
    void transmit(std::size_t flow);
    void answered(std::size_t flow, const wire_packet &packet);
    void receive(instance_id instance, wire_packet packet);
    void carryOut(node &at, const steering_decision &decision, wire_packet packet);
    void deliver(upstream_id upstream, const wire_packet &packet);
    void reply(upstream_id upstream, const wire_packet &packet, packet_kind kind);
    void sendRecord(instance_id from, instance_id to, const flow_record &record);
    void tickAll();

    policy_kind m_kind;
    std::mt19937_64 m_random;
    std::uint64_t m_order = 0;
    std::uint32_t m_nextInstance = 1;
    std::uint32_t m_nextUpstream = 1;
    std::priority_queue<event> m_events;
    std::map<instance_id, std::unique_ptr<node>> m_nodes; ///< dead ones included
    std::vector<instance_id> m_sprayed;                   ///< instances the fabric uses
    std::set<domain_id> m_cut;
    std::vector<caller_flow> m_flows;
    std::unordered_map<upstream_id, backend> m_backends;
    std::map<std::uint32_t, service_config> m_services;
    config_version m_version = 0;
    std::map<upstream_id, upstream_state> m_conditions;
    steering_counts m_counts;
};

} // namespace chicoryhead::test
