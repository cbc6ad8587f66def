/**
 * @file forwarder_hedging.cpp
 * Opening packets that are sent once more because their flow has not opened.
 */

#include "forwarder_base.h"

#include <algorithm>
#include <utility>

namespace chicoryhead {

void forwarder::setHedgingPolicy(const hedging_policy &policy)
{
    m_hedgeBudget.setPercent(policy.budgetPercent);
    m_hedger.setEnabled(policy.isEnabled());
    m_health.setStallDetection(policy.isEnabled());
}

void forwarder::scheduleHedge(const caller_packet &packet, upstream_id first,
                              std::span<const std::byte> bytes, monotonic_time now)
{
    if (bytes.size() != openingPacketBytes)
        return;
    pending_hedge opening {packet.flow, packet.sequence, first, now, {}};
    std::copy(bytes.begin(), bytes.end(), opening.bytes.begin());
    m_hedger.add(opening);
}

std::optional<monotonic_time> forwarder::nextHedgeDueAt()
{
    m_hedger.discardWhile(
        [this](const pending_hedge &opening) { return findUnopened(opening) == nullptr; });
    return m_hedger.nextDueAt();
}

std::optional<hedged_opening> forwarder::takeHedge(bool isTimingReliable, monotonic_time now)
{
    while (const auto opening = m_hedger.takeDue(now)) {
        flow_entry *flow = findUnopened(*opening);
        if (!isTimingReliable || flow == nullptr)
            continue;
        const upstream_record *second = chooseHedgeTarget(*opening, *flow, now);
        if (second == nullptr)
            continue;
        // flow->upstream, placedAt and openingSentAt still describe the first upstream: the
        // caller's next copy is the same evidence against it as without the hedge, and none against
        // the second.
        flow->tried.at(flow->triedCount++) = second->id;
        flow->isHedged = true;
        caller_packet packet;
        packet.flow = opening->flow;
        packet.isOpening = true;
        packet.sequence = opening->openingSequence;
        return hedged_opening {*opening, m_directory.find(opening->first),
                               forwardTo(packet, *second, packet_reason::Hedged),
                               now - opening->placedAt};
    }
    return std::nullopt;
}

/// The entry of a flow that is still waiting for its first upstream; null if it has opened, ended
/// or was replaced by another flow, or a copy of its opening packet was forwarded.
flow_entry *forwarder::findUnopened(const pending_hedge &opening)
{
    flow_entry *flow = m_flowTable.find(opening.flow);
    const bool isWaiting = flow != nullptr && !flow->isOpen
        && flow->openingSequence == opening.openingSequence && flow->triedCount == 1
        && flow->tried.front() == opening.first && !flow->isRepeated;
    return isWaiting ? flow : nullptr;
}

const upstream_record *forwarder::chooseHedgeTarget(const pending_hedge &opening,
                                                    const flow_entry &flow, monotonic_time now)
{
    const route *selected = m_routes.find(opening.flow.service);
    const upstream_record *first = m_directory.find(opening.first);
    if (selected == nullptr || !selected->isIdempotent || first == nullptr
        || !m_hedger.mayHedge(first->id))
        return nullptr;
    const std::string &service = serviceOf(*selected, opening.flow, opening.openingSequence);
    if (first->announced.service != service || (m_isOverloaded && m_isOverloaded(service)))
        return nullptr;
    // Before the selection, as that counts as a placement on the upstream that it returns.
    if (!m_hedgeBudget.hasToken()) {
        ++m_hedgesRefused;
        return nullptr;
    }
    const auto chosen = m_placement.chooseUnsuspected(service, flow.triedUpstreams(), now);
    if (!chosen)
        return nullptr;
    m_hedgeBudget.tryTake();
    m_hedger.recordHedge(first->id);
    return m_directory.find(*chosen);
}

} // namespace chicoryhead
