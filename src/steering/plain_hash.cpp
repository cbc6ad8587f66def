/**
 * @file plain_hash.cpp
 * Baseline policy: weighted rendezvous hashing with a local flow table.
 */

#include "homes_base.h"
#include "steering_detail.h"
#include "steering_func.h"

#include <cmath>

namespace chicoryhead {

namespace {

/** Flow table groups that one tick looks at for expired entries. */
constexpr std::size_t expiredGroupsPerTick = 256;

class plain_hash_policy : public steering_policy
{
public:
    plain_hash_policy(blackboard &board, const clock_source &clock, placement_policy &placement,
                      const steering_settings &settings)
        : m_board(board)
        , m_clock(clock)
        , m_placement(placement)
        , m_flows(settings.maxFlows)
        , m_homes(board, clock)
    {
    }

    steering_decision steer(const steering_input &input) override
    {
        if (input.needsHome) {
            const instance_id home = m_homes.flowHomes(input.hash).first;
            if (home != noInstance && home != m_board.self.id)
                return detail::relayTo(home, relay_direction::ToUpstream, 0, noUpstream);
        }
        return place(input);
    }

    steering_decision steerRelayed(const steering_input &input, const relay_header &) override
    {
        return place(input);
    }

    steering_decision steerReply(const steering_input &input, upstream_id upstream) override
    {
        const flow_time now = toFlowTime(m_clock.now());
        flow_entry *entry = m_flows.find(input.hash);
        if (entry && entry->upstream != upstream) {
            ++m_board.counters.repliesMismatched;
            return detail::drop();
        }
        if (!entry)
            entry = &m_flows.insert(input.hash, upstream, detail::establishedState(*input.service),
                                    now);
        touch(*entry, input, now);
        if (entry->state == flow_state::Opening)
            entry->state = flow_state::Established;
        return detail::forwardTo(upstream);
    }

    steering_decision steerRelayedReply(const steering_input &input,
                                        const relay_header &header) override
    {
        return steerReply(input, header.upstream);
    }

    void onHandover(const flow_record &) override { }
    void onChange() override { }
    void tick() override { m_flows.expire(toFlowTime(m_clock.now()), expiredGroupsPerTick); }
    std::vector<upstream_flow_count> countFlows() const override { return m_flows.countFlows(); }
    std::size_t countRecords() const override { return 0; }

private:
    static void touch(flow_entry &entry, const steering_input &input, flow_time now)
    {
        entry.seenAt = now;
        if (detail::isClosing(input.packet.kind))
            entry.state = flow_state::Closing;
    }

    steering_decision place(const steering_input &input)
    {
        const flow_time now = toFlowTime(m_clock.now());
        flow_entry *entry = m_flows.find(input.hash);
        const bool opens = input.packet.kind == packet_kind::Open;
        const bool isKnown = entry && !(opens && entry->state == flow_state::Closing)
            && detail::upstreamOf(*input.service, entry->upstream);
        if (isKnown) {
            touch(*entry, input, now);
            return detail::forwardTo(entry->upstream);
        }
        if (opens && !m_placement.admit(*input.service)) {
            ++m_board.counters.flowsRefused;
            return detail::refuse();
        }
        const upstream_id upstream = choose(*input.service, input.hash);
        if (upstream == noUpstream) {
            m_board.counters.flowsRefused += opens ? 1 : 0;
            return opens ? detail::refuse() : detail::drop();
        }
        m_board.counters.flowsOpened += opens ? 1 : 0;
        touch(m_flows.insert(input.hash, upstream, detail::openingState(*input.service), now),
              input, now);
        return detail::forwardTo(upstream);
    }

    upstream_id choose(const service_config &service, flow_hash hash) const
    {
        upstream_id best = noUpstream;
        double bestScore = 0;
        bool bestIsOpen = false;
        for (const upstream_config &one : service.upstreams) {
            if (one.mode != upstream_mode::Active)
                continue;
            const bool isOpen = !m_placement.isDeflected(service, one.id);
            const double unit =
                (static_cast<double>(mixHash(hash, idValue(one.id)) >> 11) + 0.5) * 0x1p-53;
            const double score = -one.weight / std::log(unit);
            if (isOpen == bestIsOpen ? score > bestScore : isOpen) {
                best = one.id;
                bestScore = score;
                bestIsOpen = isOpen;
            }
        }
        return best;
    }

    blackboard &m_board;
    const clock_source &m_clock;
    placement_policy &m_placement;
    flow_table m_flows;
    home_table m_homes;
};

} // namespace

std::unique_ptr<steering_policy> makePlainHashPolicy(blackboard &board, const clock_source &clock,
                                                     placement_policy &placement, handover_sink &,
                                                     const steering_settings &settings)
{
    return std::make_unique<plain_hash_policy>(board, clock, placement, settings);
}

} // namespace chicoryhead
