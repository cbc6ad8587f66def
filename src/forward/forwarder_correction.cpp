/**
 * @file forwarder_correction.cpp
 * Opening packets that give an upstream the tag of the one that the flow is open at.
 */

#include "forwarder_base.h"

#include <utility>

namespace chicoryhead {

void forwarder::keepOpening(const caller_packet &packet, std::span<const std::byte> bytes,
                            monotonic_time now)
{
    m_duplicateOpenings.add(packet.flow, packet.sequence, bytes, now);
}

std::vector<tag_correction> forwarder::takeCorrections()
{
    return std::exchange(m_corrections, {});
}

void forwarder::correctUnopened(const flow_key &key, const flow_entry &flow, monotonic_time now)
{
    for (const upstream_id tried : flow.triedUpstreams()) {
        if (tried != flow.upstream && m_unopened.size() < duplicate_openings::maxEntries)
            m_unopened.push_back({key, flow.openingSequence, tried, now});
    }
    correctReliable(now);
}

/// An upstream that left opening packets unanswered lately is dead or full, and may accept the flow
/// only now. If it has accepted it before, that can wait until it answers again.
void forwarder::correctReliable(monotonic_time now)
{
    std::erase_if(m_unopened, [&](const unopened_upstream &unopened) {
        const flow_entry *flow = m_flowTable.find(unopened.flow);
        const bool isOutdated = now - unopened.since > duplicate_openings::maxAge || flow == nullptr
            || flow->openingSequence != unopened.openingSequence;
        const bool isReliable = !m_placement.isUnreliable(unopened.upstream, now)
            && m_health.healthOf(unopened.upstream) == health_state::Answering;
        if (!isOutdated && isReliable)
            correctTag(unopened.flow, *flow, unopened.upstream);
        return isOutdated || isReliable;
    });
}

void forwarder::correctTag(const flow_key &key, const flow_entry &flow, upstream_id other)
{
    const upstream_record *holder = m_directory.find(flow.upstream);
    const upstream_record *corrected = m_directory.find(other);
    const route *selected = m_routes.find(key.service);
    // To an upstream that has not accepted the flow, the packet opens one.
    if (holder == nullptr || corrected == nullptr || selected == nullptr
        || !takesNewFlows(*corrected) || m_health.isDead(other)
        || serviceOf(*selected, key, flow.openingSequence) != corrected->announced.service)
        return;
    const opening_bytes *bytes = m_duplicateOpenings.takeCorrection(key, flow.openingSequence);
    if (bytes == nullptr)
        return;
    caller_packet packet;
    packet.flow = key;
    packet.isOpening = true;
    packet.sequence = flow.openingSequence;
    tag_correction correction {packet, *bytes,
                               forwardTo(packet, *corrected, packet_reason::TagCorrected), holder};
    correction.decision.tag = bindTag(holder->tag, key.service);
    m_corrections.push_back(correction);
}

} // namespace chicoryhead
