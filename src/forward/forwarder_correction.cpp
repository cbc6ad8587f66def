/**
 * @file forwarder_correction.cpp
 * Opening packets that give an upstream the tag of the one that the flow is open at.
 */

#include "forwarder_base.h"

#include <utility>

namespace chicoryhead {

void forwarder::keepOpening(const flow_key &flow, std::uint32_t sequence,
                            std::span<const std::byte> bytes, monotonic_time now)
{
    m_duplicateOpenings.add(flow, sequence, bytes, now);
}

std::vector<tag_correction> forwarder::takeCorrections()
{
    return std::exchange(m_corrections, {});
}

/// Also for upstreams that look dead or full: they may have accepted the flow before. One that has
/// not opens it at most for the time that it repeats its answer.
void forwarder::correctOthers(const flow_key &key, const flow_entry &flow)
{
    for (const upstream_id tried : flow.triedUpstreams()) {
        if (tried != flow.upstream)
            correctTag(key, flow, tried);
    }
}

void forwarder::correctTag(const flow_key &key, const flow_entry &flow, upstream_id other)
{
    const upstream_record *holder = m_directory.find(flow.upstream);
    const upstream_record *corrected = m_directory.find(other);
    const route *selected = m_routes.find(key.service);
    // An upstream that has not accepted the flow takes the packet for a new one.
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
