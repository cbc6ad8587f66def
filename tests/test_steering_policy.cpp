/**
 * @file test_steering_policy.cpp
 * Single decisions of the tracked slot policy.
 */

#include "steering/homes_base.h"
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr upstream_id holder {1};
constexpr upstream_id exception {2};
constexpr auto self = static_cast<instance_id>(1);

/** Policy of one instance among three, with one tracked slot whose new flows go to upstream 2. */
struct lone_policy : placement_policy, handover_sink
{
    explicit lone_policy(service_protocol protocol = service_protocol::Tcp)
    {
        for (std::uint32_t id = 1; id <= 3; ++id) {
            member one;
            one.id = static_cast<instance_id>(id);
            one.domain = static_cast<domain_id>(id);
            one.state = member_state::Ready;
            one.version = 1;
            board.members[one.id] = one;
        }
        board.self = board.members[self];
        ++board.membersRevision;
        service.id = static_cast<service_id>(1);
        service.protocol = protocol;
        for (const upstream_id id : {holder, exception}) {
            upstream_config one;
            one.id = id;
            service.upstreams.push_back(one);
        }
        service.slots = {{holder, exception, true}};
        steering_settings settings;
        settings.maxFlows = maxFlows;
        policy = makeTrackedSlotPolicy(board, clock, *this, *this, settings);
        homes = std::make_unique<home_table>(board, clock);
        board.config = configOf(1);
        policy->onChange();
    }

    upstream_id choose(const service_config &, const slot_entry &, flow_hash) override
    {
        return chosen;
    }
    bool isDeflected(const service_config &, upstream_id) const override { return false; }
    bool wasDeflected(upstream_id) const override { return false; }
    bool admit(const service_config &) override { return admits; }
    void sendHandover(instance_id home, const flow_record &record) override
    {
        sent.emplace_back(home, record);
    }

    std::shared_ptr<const configuration> configOf(config_version version) const
    {
        auto config = std::make_shared<configuration>();
        config->version = version;
        config->services[service.id] = std::make_shared<const service_config>(service);
        return config;
    }

    void apply(config_version version)
    {
        board.config = configOf(version);
        policy->onChange();
    }

    /** A flow for which this instance is home 1, home 2 or, with 0, no home. */
    flow_hash flowAsHome(unsigned place, std::uint64_t skip = 0)
    {
        for (std::uint64_t bucket = 1;; ++bucket) {
            const flow_hash hash = bucket << 48 | skip;
            const flow_homes both = homes->flowHomes(hash);
            const unsigned found = both.first == self ? 1 : both.second == self ? 2 : 0;
            if (found == place)
                return hash;
        }
    }

    steering_input input(flow_hash hash, packet_kind kind, std::uint32_t sequence = 0) const
    {
        steering_input one;
        one.hash = hash;
        one.packet.kind = kind;
        one.packet.sequence = sequence;
        one.service = &service;
        return one;
    }

    steering_decision steer(flow_hash hash, packet_kind kind, std::uint32_t sequence = 0)
    {
        return policy->steer(input(hash, kind, sequence));
    }

    steering_decision relayed(flow_hash hash, packet_kind kind, unsigned hops,
                              upstream_id upstream = noUpstream)
    {
        relay_header header;
        header.hops = static_cast<std::uint8_t>(hops);
        header.upstream = upstream;
        return policy->steerRelayed(input(hash, kind), header);
    }

    void wait(monotonic_time duration)
    {
        const monotonic_time end = clock.time + duration;
        while (clock.time < end) {
            clock.time += milliseconds(100);
            policy->tick();
        }
    }

    static constexpr std::size_t maxFlows = 64;
    virtual_clock clock;
    blackboard board;
    service_config service;
    upstream_id chosen = exception;
    bool admits = true;
    std::vector<std::pair<instance_id, flow_record>> sent;
    std::unique_ptr<steering_policy> policy;
    std::unique_ptr<home_table> homes;
};

} // namespace

TEST_CASE("home 1 records an exception and sends the SYN through home 2", "[steering]")
{
    // Guards against a record that exists once when the upstream sees the SYN.
    lone_policy one;
    const flow_hash hash = one.flowAsHome(1);
    const steering_decision decision = one.steer(hash, packet_kind::Open);
    CHECK(decision.verdict == steering_verdict::Relay);
    CHECK(decision.relayTo == one.homes->flowHomes(hash).second);
    CHECK(decision.relay.upstream == exception);
    CHECK(decision.relay.hops == 1);
    CHECK(one.policy->countRecords() == 1);

    // A retransmission goes the same way, because the first relay may have been lost.
    one.chosen = holder;
    CHECK(one.steer(hash, packet_kind::Open).relay == decision.relay);
    CHECK(one.steer(hash, packet_kind::Data).upstream == exception);
}

TEST_CASE("home 2 stores the record that comes with a relayed SYN", "[steering]")
{
    // Guards against a second home that answers without the record.
    lone_policy one;
    const flow_hash hash = one.flowAsHome(2);
    const steering_decision decision = one.relayed(hash, packet_kind::Open, 2, exception);
    CHECK(decision.verdict == steering_verdict::Forward);
    CHECK(decision.upstream == exception);
    CHECK(one.policy->countRecords() == 1);
    one.wait(seconds(20));
    CHECK(one.relayed(hash, packet_kind::Data, 1).upstream == exception);
}

TEST_CASE("a packet is relayed three times at most", "[steering]")
{
    // Guards against packets that circle among instances with different views.
    lone_policy one;
    const flow_hash hash = one.flowAsHome(0);
    for (unsigned hops = 0; hops < 3; ++hops) {
        const steering_decision decision = one.relayed(hash, packet_kind::Data, hops);
        CHECK(decision.verdict == steering_verdict::Relay);
        CHECK(decision.relay.hops == hops + 1);
    }
    CHECK(one.relayed(hash, packet_kind::Data, 3).verdict == steering_verdict::Drop);
}

TEST_CASE("a SYN after FIN or RST is a new flow, one before is a retransmission", "[steering]")
{
    // Guards against a reused 5-tuple that sticks to the upstream of the former flow.
    for (const packet_kind end : {packet_kind::Close, packet_kind::Reset}) {
        lone_policy one;
        const flow_hash hash = one.flowAsHome(1);
        one.steer(hash, packet_kind::Open);
        const steering_decision closing = one.steer(hash, end);
        CHECK(closing.verdict == steering_verdict::Relay);
        CHECK(closing.relay.upstream == exception);
        // Late packets of the closing flow still reach its upstream.
        CHECK(one.steer(hash, packet_kind::Data).upstream == exception);
        one.chosen = holder;
        CHECK(one.steer(hash, packet_kind::Open).upstream == holder);
        CHECK(one.policy->countRecords() == 0);
    }
}

TEST_CASE("records end 60 s after the flow and after 4 h of silence", "[steering]")
{
    // Guards against records that fill the memory, and ones that idle flows lose.
    lone_policy one;
    const flow_hash closed = one.flowAsHome(1, 1);
    const flow_hash idle = one.flowAsHome(1, 2);
    one.steer(closed, packet_kind::Open);
    one.steer(idle, packet_kind::Open);
    one.steer(closed, packet_kind::Close);
    one.wait(seconds(61));
    CHECK(one.policy->countRecords() == 1);
    one.wait(std::chrono::hours(3));
    CHECK(one.policy->countRecords() == 1);
    one.wait(std::chrono::hours(1));
    CHECK(one.policy->countRecords() == 0);
}

TEST_CASE("an entry in a tracked slot is trusted for 10 s", "[steering]")
{
    // Guards against old knowledge about a 5-tuple that another instance placed again.
    lone_policy one;
    const flow_hash hash = one.flowAsHome(0);
    CHECK(one.policy->steerReply(one.input(hash, packet_kind::OpenReply), exception).verdict
          == steering_verdict::Forward);
    one.wait(milliseconds(9900));
    CHECK(one.steer(hash, packet_kind::Data).upstream == exception);
    CHECK(one.steer(hash, packet_kind::Close).verdict == steering_verdict::Relay);
    one.wait(milliseconds(200));
    CHECK(one.steer(hash, packet_kind::Data).verdict == steering_verdict::Relay);
}

TEST_CASE("replies of another upstream than the flow's are dropped", "[steering]")
{
    // Guards against the RST that answers a wrong placement by an instance with an old version.
    lone_policy one;
    const flow_hash hash = one.flowAsHome(1);
    one.steer(hash, packet_kind::Open);
    for (const packet_kind kind : {packet_kind::Reset, packet_kind::Data, packet_kind::Close}) {
        CHECK(one.policy->steerReply(one.input(hash, kind), holder).verdict
              == steering_verdict::Drop);
    }
    CHECK(one.board.counters.repliesMismatched == 3);
    const steering_decision reset =
        one.policy->steerReply(one.input(hash, packet_kind::Reset), exception);
    CHECK(reset.verdict == steering_verdict::Relay);
    CHECK(reset.relay.direction == relay_direction::ToCaller);
}

TEST_CASE("a RST from an upstream passes home 1", "[steering]")
{
    // Guards against a RST that ends a flow although only a home could tell that it is wrong.
    lone_policy one;
    const flow_hash hash = one.flowAsHome(0);
    const steering_decision reset =
        one.policy->steerReply(one.input(hash, packet_kind::Reset), holder);
    CHECK(reset.verdict == steering_verdict::Relay);
    CHECK(reset.relayTo == one.homes->flowHomes(hash).first);
    CHECK(reset.relay.upstream == holder);
}

TEST_CASE("new flows leave the holder once the version is announced", "[steering]")
{
    // Guards against exceptions that an instance with the old version takes for the holder's.
    lone_policy one;
    one.service.slots = {{holder, holder, false}};
    one.apply(2);
    one.service.slots = {{holder, exception, false}};
    one.apply(3);
    one.wait(milliseconds(2400));
    CHECK(one.steer(one.flowAsHome(1, 1), packet_kind::Open).upstream == holder);

    SECTION("2.5 s after it was applied")
    {
        one.wait(milliseconds(200));
        CHECK(one.steer(one.flowAsHome(1, 2), packet_kind::Open).relay.upstream == exception);
    }
    SECTION("when all members that are not suspected report it")
    {
        for (auto &[id, peer] : one.board.members)
            peer.version = 3;
        one.policy->onChange();
        CHECK(one.steer(one.flowAsHome(1, 2), packet_kind::Open).relay.upstream == exception);
    }
}

TEST_CASE("an instance that stays behind treats each slot as tracked", "[steering]")
{
    // Guards against packets that an instance with an old version sends to the old holder.
    lone_policy one;
    one.service.slots = {{holder, holder, false}};
    one.apply(2);
    const flow_hash hash = one.flowAsHome(0);
    CHECK(one.steer(hash, packet_kind::Data).upstream == holder);
    one.board.members[static_cast<instance_id>(2)].version = 3;
    one.wait(milliseconds(2200));
    CHECK(one.steer(hash, packet_kind::Data).verdict == steering_verdict::Relay);
}

TEST_CASE("an instance that was paused treats each slot as tracked at first", "[steering]")
{
    // Guards against packets placed by a version that became old during the pause.
    lone_policy one;
    one.service.slots = {{holder, holder, false}};
    one.apply(2);
    one.wait(seconds(1));
    const flow_hash hash = one.flowAsHome(0);
    one.clock.time += seconds(3);
    CHECK(one.steer(hash, packet_kind::Data).verdict == steering_verdict::Relay);
    one.policy->tick();
    CHECK(one.steer(hash, packet_kind::Data).verdict == steering_verdict::Relay);
    one.wait(seconds(2));
    CHECK(one.steer(hash, packet_kind::Data).upstream == holder);
}

TEST_CASE("opaque UDP flows count as new 5 min after a leaving mark", "[steering]")
{
    // Guards against UDP flows that move while open, and ones that stay at a leaving upstream.
    lone_policy one(service_protocol::Udp);
    one.service.upstreams[0].mode = upstream_mode::Leaving;
    one.service.upstreams[0].leavingSince = one.clock.wallNow();
    one.apply(2);
    CHECK(one.steer(one.flowAsHome(1, 1), packet_kind::Data).upstream == holder);
    one.wait(seconds(301));
    const steering_decision placed = one.steer(one.flowAsHome(1, 2), packet_kind::Data);
    CHECK(placed.relay.upstream == exception);
    CHECK(one.policy->countRecords() == 1);
}

TEST_CASE("non-idempotent requests go to home 1 in untracked slots too", "[steering]")
{
    // Guards against two instances that each pass the same request.
    lone_policy one(service_protocol::Request);
    one.service.slots = {{holder, holder, false}};
    one.apply(2);
    steering_input request = one.input(one.flowAsHome(0), packet_kind::Data);
    request.needsHome = true;
    CHECK(one.policy->steer(request).verdict == steering_verdict::Relay);
    request.hash = one.flowAsHome(1);
    CHECK(one.policy->steer(request).upstream == holder);
    CHECK(one.policy->steerRelayed(request, {}).upstream == holder);
}

TEST_CASE("flows are refused without room, admission or upstream", "[steering]")
{
    // Guards against unrecorded exceptions and against work beyond the limits.
    lone_policy one;
    SECTION("limits")
    {
        one.admits = false;
        CHECK(one.steer(one.flowAsHome(1), packet_kind::Open).verdict == steering_verdict::Refuse);
    }
    SECTION("no upstream accepts new flows")
    {
        one.chosen = noUpstream;
        CHECK(one.steer(one.flowAsHome(1), packet_kind::Open).verdict == steering_verdict::Refuse);
        CHECK(one.steer(one.flowAsHome(1), packet_kind::Data).upstream == holder);
    }
    SECTION("records at their bound, with a leaving holder")
    {
        one.service.upstreams[0].mode = upstream_mode::Leaving;
        one.apply(2);
        for (std::uint64_t flow = 0; flow < lone_policy::maxFlows; ++flow)
            one.steer(one.flowAsHome(1, flow), packet_kind::Open);
        CHECK(one.steer(one.flowAsHome(1, 1000), packet_kind::Open).verdict
              == steering_verdict::Refuse);
        CHECK(one.policy->countRecords() == lone_policy::maxFlows);
    }
    CHECK(one.board.counters.flowsRefused == 1);
}

TEST_CASE("records go to joining members and to new homes", "[steering]")
{
    // Guards against a home that answers "not recorded" before it has the records.
    lone_policy one;
    std::vector<flow_hash> flows;
    for (std::uint64_t flow = 0; flow < 60; ++flow) {
        flows.push_back((flow + 1) << 48);
        if (one.homes->flowHomes(flows.back()).first == self)
            one.steer(flows.back(), packet_kind::Open);
    }
    member joining;
    joining.id = static_cast<instance_id>(4);
    joining.domain = static_cast<domain_id>(4);
    joining.state = member_state::Joining;
    one.board.members[joining.id] = joining;
    ++one.board.membersRevision;
    one.policy->onChange();
    CHECK_FALSE(one.sent.empty());
    for (const auto &[home, record] : one.sent) {
        CHECK(home == joining.id);
        const flow_homes then = one.homes->homesWith(record.hash, joining);
        CHECK((then.first == home || then.second == home));
    }

    one.sent.clear();
    one.board.members[static_cast<instance_id>(2)].state = member_state::Leaving;
    ++one.board.membersRevision;
    one.policy->onChange();
    CHECK_FALSE(one.sent.empty());
    for (const auto &[home, record] : one.sent)
        CHECK(home == one.homes->flowHomes(record.hash).second);
}

TEST_CASE("with a domain lost, unknown flows wait for their third transmission", "[steering]")
{
    // Guards against a guess at the holder while the other side may have placed the flow.
    lone_policy one;
    one.wait(seconds(40));
    one.board.members[static_cast<instance_id>(2)].state = member_state::Dead;
    one.board.members[static_cast<instance_id>(2)].since = one.clock.time;
    ++one.board.membersRevision;
    one.policy->onChange();
    one.wait(seconds(40));
    const flow_hash hash = one.flowAsHome(1);
    CHECK(one.steer(hash, packet_kind::Data, 7).verdict == steering_verdict::Drop);
    // Another packet of the flow is no retransmission.
    CHECK(one.steer(hash, packet_kind::Data, 8).verdict == steering_verdict::Drop);
    CHECK(one.steer(hash, packet_kind::Data, 8).verdict == steering_verdict::Drop);
    CHECK(one.steer(hash, packet_kind::Data, 8).upstream == holder);
    CHECK(one.board.counters.packetsUnplaced == 3);

    // The holder's RST says that the guess was wrong; it neither ends the flow nor is repeated.
    CHECK(one.policy->steerReply(one.input(hash, packet_kind::Reset), holder).verdict
          == steering_verdict::Drop);
    CHECK(one.steer(hash, packet_kind::Data, 8).verdict == steering_verdict::Drop);

    one.wait(std::chrono::minutes(31));
    CHECK(one.steer(one.flowAsHome(1, 9), packet_kind::Data, 1).upstream == holder);
}

TEST_CASE("a record that the other home decided reaches newer and joining homes", "[steering]")
{
    // Guards against records stored in the moment in which two homes have different views.
    lone_policy one;
    SECTION("this instance is no home any more")
    {
        const flow_hash hash = one.flowAsHome(0);
        one.relayed(hash, packet_kind::Open, 3, exception);
        const flow_homes homes = one.homes->flowHomes(hash);
        REQUIRE(one.sent.size() == 2);
        CHECK(one.sent[0] == std::pair(homes.first, flow_record {hash, exception}));
        CHECK(one.sent[1] == std::pair(homes.second, flow_record {hash, exception}));
    }
    SECTION("a member is joining")
    {
        member joining;
        joining.id = static_cast<instance_id>(4);
        joining.domain = static_cast<domain_id>(4);
        joining.state = member_state::Joining;
        one.board.members[joining.id] = joining;
        ++one.board.membersRevision;
        one.policy->onChange();
        std::size_t copies = 0;
        for (std::uint64_t bucket = 1; bucket < 60; ++bucket) {
            const flow_hash hash = bucket << 48;
            if (one.homes->flowHomes(hash).first != self)
                continue;
            one.relayed(hash, packet_kind::Open, 3, exception);
            const flow_homes then = one.homes->homesWith(hash, joining);
            copies += then.first == joining.id || then.second == joining.id ? 1 : 0;
        }
        CHECK(copies > 0);
        CHECK(one.sent.size() == copies);
    }
}

TEST_CASE("a leaving home hands its records over itself", "[steering]")
{
    // Guards against records that are lost because the other home, which would have sent them, died
    // unnoticed just before.
    lone_policy one;
    std::size_t placed = 0;
    for (std::uint64_t flow = 0; flow < 60; ++flow) {
        const flow_hash hash = (flow + 1) << 48;
        if (one.homes->flowHomes(hash).first != self)
            continue;
        one.steer(hash, packet_kind::Open);
        ++placed;
    }
    REQUIRE(one.policy->countRecords() == placed);
    REQUIRE(placed > 0);
    one.sent.clear();
    one.board.self.state = member_state::Leaving;
    one.board.members[self].state = member_state::Leaving;
    ++one.board.membersRevision;
    one.policy->onChange();
    CHECK(one.sent.size() == placed);
}

TEST_CASE("with a domain lost, a refuted guess in an untracked slot ends no flow", "[steering]")
{
    // Guards against a RST that reaches the caller although only the version of the other side of a
    // partition tracks the slot of the flow.
    lone_policy one;
    one.service.slots = {{holder, holder, false}};
    one.apply(2);
    one.wait(seconds(40));
    one.board.members[static_cast<instance_id>(2)].state = member_state::Dead;
    one.board.members[static_cast<instance_id>(2)].since = one.clock.time;
    ++one.board.membersRevision;
    one.policy->onChange();
    one.wait(seconds(40));
    const flow_hash hash = one.flowAsHome(1);
    one.steer(hash, packet_kind::Data, 8);
    one.steer(hash, packet_kind::Data, 8);
    REQUIRE(one.steer(hash, packet_kind::Data, 8).upstream == holder);
    CHECK(one.policy->steerReply(one.input(hash, packet_kind::Reset), holder).verdict
          == steering_verdict::Drop);
    CHECK(one.steer(hash, packet_kind::Data, 8).verdict == steering_verdict::Drop);
}
