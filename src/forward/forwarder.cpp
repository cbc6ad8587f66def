/**
 * @file forwarder.cpp
 * Steering of open flows by tag, and placement of new flows.
 */

#include "forwarder_base.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::array<std::pair<packet_reason, std::string_view>, packetReasonCount> reasonNames {{
    {packet_reason::Steered, "steered"},
    {packet_reason::TagReplaced, "tag_replaced"},
    {packet_reason::Placed, "placed"},
    {packet_reason::PlacedAgain, "placed_again"},
    {packet_reason::Hedged, "hedged"},
    {packet_reason::Repeated, "repeated"},
    {packet_reason::TagCorrected, "tag_corrected"},
    {packet_reason::NoRoute, "no_route"},
    {packet_reason::NoUpstream, "no_upstream"},
    {packet_reason::NoCapacity, "no_capacity"},
    {packet_reason::NoTag, "no_tag"},
    {packet_reason::UnknownTag, "unknown_tag"},
    {packet_reason::FromUpstream, "from_upstream"},
    {packet_reason::StaleOpening, "stale_opening"},
    {packet_reason::UpstreamDead, "upstream_dead"},
    {packet_reason::UpstreamStalled, "upstream_stalled"},
    {packet_reason::NotSynchronised, "not_synchronised"},
    {packet_reason::Malformed, "malformed"},
}};

packet_decision makeDrop(packet_reason reason)
{
    return {packet_action::Drop, reason, nullptr, noTag};
}

/// Refuses a new flow with a reset if the state is fresh: the caller then retries at once or gives
/// up. Otherwise drops the packet, and the caller retransmits it.
packet_decision makeRefusal(packet_reason reason, bool isStateFresh)
{
    return {isStateFresh ? packet_action::Reset : packet_action::Drop, reason, nullptr, noTag};
}

/// Whether a 32-bit sequence number comes after another one, with wraparound.
bool isSequenceAfter(std::uint32_t sequence, std::uint32_t other)
{
    return static_cast<std::int32_t>(sequence - other) > 0;
}

} // namespace

std::string_view toString(packet_reason reason)
{
    for (const auto &[value, name] : reasonNames) {
        if (value == reason)
            return name;
    }
    return "unknown";
}

forwarder::forwarder(const routing_table &routes, const upstream_directory &directory,
                     flow_placement &placement, upstream_health &health,
                     latency_exchange &latencies, forwarder_settings settings)
    : m_routes(routes)
    , m_directory(directory)
    , m_placement(placement)
    , m_health(health)
    , m_latencies(latencies)
    , m_settings(settings)
    , m_flowTable(settings.maxTrackedFlows)
    , m_admission(routes)
{
}

packet_decision forwarder::decide(const caller_packet &packet, bool isStateFresh,
                                  monotonic_time now)
{
    if (packet.isFromUpstream)
        return makeDrop(packet_reason::FromUpstream);
    if (packet.isOpening)
        return decideOpening(packet, isStateFresh, now);
    return decideOpenFlow(packet, now);
}

bool forwarder::isSteerable(const caller_packet &packet) const
{
    return !packet.isFromUpstream && !packet.isOpening && packet.tag != noTag
        && m_directory.findByTag(bindTag(packet.tag, packet.flow.service)) != nullptr;
}

void forwarder::expire(monotonic_time now)
{
    m_flowTable.expire(m_settings.flowIdleTimeout, now);
    m_refusedOpenings.expire(now);
    m_duplicateOpenings.expire(now);
}

void forwarder::setAdmissionPolicy(const admission_policy &policy)
{
    m_admission.setPolicy(policy);
    if (!policy.isEnabled)
        m_refusedOpenings = {};
    m_placement.setFlowCount(policy.isEnabled ? &m_flowTable.flowCount() : nullptr);
}

packet_decision forwarder::decideOpening(const caller_packet &packet, bool isStateFresh,
                                         monotonic_time now)
{
    const route *selected = m_routes.find(packet.flow.service);
    if (selected == nullptr)
        return makeRefusal(packet_reason::NoRoute, isStateFresh);

    const std::string &service = serviceOf(*selected, packet.flow, packet.sequence);
    flow_entry *flow = m_flowTable.find(packet.flow);
    const bool isRetransmission =
        flow != nullptr && flow->openingSequence == packet.sequence && flow->triedCount > 0;
    // A copy whose first transmission was not seen here was admitted by another instance.
    const bool isFirst = !isRetransmission && packet.acknowledged == 0;
    if (m_refusedOpenings.contains(packet.flow, packet.sequence, now))
        return refuseForCapacity(packet, service, now);
    const upstream_record *unansweredBy = nullptr;
    bool isNewlySuspected = false;
    if (isRetransmission) {
        flow->lastSeenAt = now;
        if (const upstream_record *upstream = retransmissionTarget(*flow, now))
            return forwardTo(packet, *upstream, packet_reason::Repeated);
        const bool isRepeated = mayRepeatOpening(*flow, now);
        isNewlySuspected = m_placement.recordConnectFailure(flow->upstream, now);
        m_health.noteRetransmission(
            flow->upstream, {packet_kind::Opening, flow->placedAt, flow->openingSentAt}, now);
        unansweredBy = m_directory.find(flow->upstream);
        if (isRepeated) {
            flow->isRepeated = true;
            flow->openingSentAt = now;
            auto decision = forwardTo(packet, *unansweredBy, packet_reason::Repeated);
            decision.unansweredBy = unansweredBy;
            decision.isNewlySuspected = isNewlySuspected;
            return decision;
        }
    }
    const auto chosen = chooseUpstream(service, isRetransmission ? flow : nullptr, now);
    if (!chosen && m_placement.hasReachedConnectionLimit(service)) {
        // An upstream may have accepted an earlier transmission.
        const upstream_record *earlier =
            isRetransmission ? m_directory.find(flow->upstream) : nullptr;
        return earlier != nullptr ? forwardTo(packet, *earlier, packet_reason::Repeated)
                                  : refuseForCapacity(packet, service, now);
    }
    if (!chosen)
        return makeRefusal(packet_reason::NoUpstream, isStateFresh);
    // The observed load is mostly that of the local domain. Flows that spill over leave it because
    // remote upstreams answer faster.
    const bool isAdmitted = !isFirst || !m_placement.isLocal(*chosen)
        || m_admission.admits(service, selected->priority, now);
    if (!isAdmitted)
        return refuseForCapacity(packet, service, now);

    if (!isRetransmission) {
        m_flowTable.remove(packet.flow);
        flow = m_flowTable.add(packet.flow, now);
    }
    const bool isFirstCopy = flow != nullptr && !isRetransmission && packet.acknowledged == 0;
    if (isFirstCopy)
        flow->openingSeenAt = now;
    if (flow != nullptr) {
        flow->openingSequence = packet.sequence;
        flow->lastSeenAt = now;
        flow->placedAt = now;
        flow->openingSentAt = now;
        m_flowTable.assign(*flow, *chosen);
        if (flow->triedCount < flow->maxTriedCount())
            flow->tried[flow->triedCount++] = *chosen;
    }
    const auto *upstream = m_directory.find(*chosen);
    assert(upstream != nullptr);
    auto decision = forwardTo(
        packet, *upstream, isRetransmission ? packet_reason::PlacedAgain : packet_reason::Placed);
    decision.unansweredBy = unansweredBy;
    decision.isNewlySuspected = isNewlySuspected;
    decision.isHedgeable = isFirstCopy && selected->isIdempotent && m_hedger.isEnabled();
    return decision;
}

/// All transmissions of an opening packet go to the same service.
const std::string &forwarder::serviceOf(const route &selected, const flow_key &flow,
                                        std::uint32_t openingSequence)
{
    return routing_table::selectService(selected, mixHash(hashFlow(flow), openingSequence));
}

/// Selects an upstream for a new flow, or for one whose opening packet was retransmitted.
std::optional<upstream_id> forwarder::chooseUpstream(const std::string &service,
                                                     const flow_entry *retried, monotonic_time now)
{
    const auto tried =
        retried != nullptr ? retried->triedUpstreams() : std::span<const upstream_id> {};
    const auto chosen = m_placement.choose(service, tried, now);
    const bool isFirstRetry = retried != nullptr && retried->isHedged && tried.size() == 2;
    if (!chosen || !isFirstRetry || !retried->hasTried(*chosen))
        return chosen;
    // There is no third upstream. The hedge's target had less time to answer than the first one.
    return m_placement.choose(service, tried.first(1), now);
}

packet_decision forwarder::refuseForCapacity(const caller_packet &packet,
                                             const std::string &service, monotonic_time now)
{
    m_refusedOpenings.add(packet.flow, packet.sequence, now);
    // Unlike a missing route or upstream, the load doesn't depend on the age of the state.
    packet_decision decision {packet_action::Reset, packet_reason::NoCapacity, nullptr, noTag};
    decision.service = &service;
    decision.load = m_admission.loadOf(service, now);
    return decision;
}

const upstream_record *forwarder::retransmissionTarget(const flow_entry &flow,
                                                       monotonic_time now) const
{
    const upstream_record *upstream = m_directory.find(flow.upstream);
    if (upstream == nullptr || flow.isOpen)
        return upstream;
    const bool mayAnswer = now - flow.openingSentAt < m_settings.connectTimeout;
    return mayAnswer && takesNewFlows(*upstream) ? upstream : nullptr;
}

/// Whether the upstream of an unanswered opening packet gets the caller's copy as well. If only its
/// answer was lost, another upstream would be a second one that accepts the flow, and the caller
/// sends the tag of whichever answered last. Unanswered packets of other flows show that it is the
/// upstream that does not answer.
bool forwarder::mayRepeatOpening(const flow_entry &flow, monotonic_time now) const
{
    const upstream_record *upstream = m_directory.find(flow.upstream);
    return upstream != nullptr && takesNewFlows(*upstream) && flow.triedCount == 1
        && !flow.isRepeated && !m_placement.isUnreliable(flow.upstream, now)
        && m_health.healthOf(flow.upstream) == health_state::Answering;
}

packet_decision forwarder::decideOpenFlow(const caller_packet &packet, monotonic_time now)
{
    if (packet.tag == noTag)
        return makeDrop(packet_reason::NoTag);
    const upstream_record *upstream =
        m_directory.findByTag(bindTag(packet.tag, packet.flow.service));
    if (upstream == nullptr)
        return makeDrop(packet_reason::UnknownTag);
    auto reason = packet_reason::Steered;
    const flow_entry *flow = m_flowTable.find(packet.flow);
    const upstream_record *holder =
        flow != nullptr ? findOtherHolder(packet, *flow, upstream->id) : nullptr;
    if (holder != nullptr) {
        if (flow->isConfirmed)
            correctTag(packet.flow, *flow, upstream->id);
        upstream = holder;
        reason = packet_reason::TagReplaced;
    }
    auto decision = forwardTo(packet, *upstream, reason);
    const bool isStalled = m_hedgeBudget.isEnabled() && m_health.isStalled(upstream->id);
    trackOpenFlow(packet, now, decision);
    // A flow that another instance handled before needs no token either: a stalled upstream
    // acknowledges requests, so its data starts a new one unless a packet was lost or the flow
    // moved in the middle of a request.
    if (isStalled && decision.isFirstRequestPacket && isRepeatable(packet.flow)
        && m_health.isStalled(upstream->id) && hasAlternative(*upstream, now)) {
        m_flowTable.remove(packet.flow);
        return endStalled(upstream, now);
    }
    if (packet.isReset || !m_health.isDead(upstream->id))
        return decision;
    m_flowTable.remove(packet.flow);
    packet_decision ended {packet_action::Reset, packet_reason::UpstreamDead, nullptr, noTag};
    ended.unansweredBy = upstream;
    ended.evidenceAge = m_health.requestAgeOf(upstream->id, now);
    return ended;
}

/// If the answer to an opening packet was lost, two upstreams may answer its copies, and each
/// repeats its answer until it is acknowledged. A caller sends the tag of the answer that it
/// received last, but acknowledges the data of the upstream that the flow is open at. Until that is
/// confirmed, the first packet tells best where the flow is open; it may be wrong if both answers
/// arrived before it.
const upstream_record *forwarder::findOtherHolder(const caller_packet &packet,
                                                  const flow_entry &flow, upstream_id tagged) const
{
    if (!flow.isOpen || flow.upstream == tagged || !isContinuation(packet, flow))
        return nullptr;
    const bool isLikelyHolder =
        flow.triedCount > 0 && !flow.isDisputed && flow.repeatedData < m_settings.maxRepeatedData;
    return flow.isConfirmed || isLikelyHolder ? m_directory.find(flow.upstream) : nullptr;
}

bool forwarder::isContinuation(const caller_packet &packet, const flow_entry &flow) const
{
    const auto isNear = [&](std::uint32_t sequence, std::uint32_t other) {
        const auto distance = static_cast<std::int32_t>(sequence - other);
        return distance <= m_settings.maxSequenceDistance
            && distance >= -m_settings.maxSequenceDistance;
    };
    return isNear(packet.acknowledged, flow.acknowledged) && isNear(packet.sequence, flow.dataEnd);
}

/// Called for a packet that acknowledges new data. If all data went to one upstream, that one has
/// answered. Otherwise a packet without data tells: the caller sends it when it receives an answer,
/// whose tag it has.
void forwarder::confirmHolder(const caller_packet &packet, flow_entry &flow,
                              const packet_decision &decision)
{
    if (flow.isConfirmed)
        return;
    const bool isOnlyHolder = flow.triedCount > 0 && !flow.isDisputed;
    const bool isTagOfAnswer = packet.dataBytes == 0 && decision.reason == packet_reason::Steered;
    flow.isConfirmed = isOnlyHolder || isTagOfAnswer;
    if (flow.isConfirmed)
        correctOthers(packet.flow, flow);
}

std::vector<caller_packet> forwarder::extractFlowsOf(upstream_id upstream)
{
    std::vector<caller_packet> extracted;
    for (const auto &[key, flow] : m_flowTable.extractOpenFlows(upstream)) {
        caller_packet packet;
        packet.flow = key;
        packet.acknowledged = flow.acknowledged;
        extracted.push_back(packet);
    }
    return extracted;
}

std::vector<stalled_flow> forwarder::extractStalledFlows(monotonic_time now)
{
    std::vector<stalled_flow> extracted;
    std::erase_if(m_stalledRequests, [&](const watched_request &request) {
        const flow_entry *flow = findInProgress(request);
        if (flow == nullptr || m_isStopping
            || now - request.startedAt > m_settings.maxStalledRequestAge)
            return true;
        const bool isEnded = m_hedgeBudget.isEnabled() && m_health.isStalled(flow->upstream)
            && isRepeatable(request.flow) && hasAlternative(*m_directory.find(flow->upstream), now)
            && m_hedgeBudget.tryTake();
        if (!isEnded)
            return false;
        stalled_flow ended;
        ended.packet.flow = request.flow;
        ended.packet.acknowledged = flow->acknowledged;
        ended.decision = endStalled(m_directory.find(flow->upstream), now);
        extracted.push_back(ended);
        m_flowTable.remove(request.flow);
        return true;
    });
    return extracted;
}

packet_decision forwarder::endStalled(const upstream_record *upstream, monotonic_time now) const
{
    packet_decision ended {packet_action::Reset, packet_reason::UpstreamStalled, nullptr, noTag};
    ended.unansweredBy = upstream;
    if (upstream != nullptr)
        ended.evidenceAge = m_health.stalledAgeOf(upstream->id, now);
    return ended;
}

bool forwarder::isRepeatable(const flow_key &flow) const
{
    const route *selected = m_routes.find(flow.service);
    return selected != nullptr && selected->isIdempotent;
}

packet_decision forwarder::forwardTo(const caller_packet &packet, const upstream_record &upstream,
                                     packet_reason reason) const
{
    return {packet_action::Forward, reason, &upstream, bindTag(upstream.tag, packet.flow.service)};
}

void forwarder::trackOpenFlow(const caller_packet &packet, monotonic_time now,
                              packet_decision &decision)
{
    const upstream_id upstream = decision.upstream->id;
    flow_entry *flow = m_flowTable.find(packet.flow);
    if (packet.isReset || packet.isClosing) {
        if (flow != nullptr) {
            trackClosing(packet, *flow, now, decision);
            m_flowTable.remove(packet.flow);
        }
        return;
    }
    if (flow == nullptr) {
        m_lastTakeoverAt = now;
        flow = m_flowTable.add(packet.flow, now);
        if (flow == nullptr)
            return;
        flow->acknowledged = packet.acknowledged;
        flow->isAccepted = true;
    }
    // The caller reused its port, and this is a late packet of the former flow or the first packet
    // seen of the new one.
    if (flow->isOpen && flow->upstream != upstream && !isContinuation(packet, *flow)) {
        m_flowTable.reset(*flow);
        flow->acknowledged = packet.acknowledged;
    } else if (flow->isOpen && flow->upstream != upstream) {
        flow->isDisputed = true;
        flow->requestStartedAt = monotonic_time {0};
        flow->requestSequence = 0;
    }
    flow->lastSeenAt = now;
    if (!flow->isOpen && flow->triedCount > 0) {
        // An upstream that hangs accepts flows nevertheless.
        if (!m_health.isAvoidedForStalls(upstream))
            decision.isNewlyTrusted = m_placement.recordConnectSuccess(upstream);
        m_health.noteAccepted(upstream, now);
        m_hedger.recordOpened(upstream);
        if (flow->openingSeenAt.count() > 0)
            m_hedger.recordOpeningTime(now - flow->openingSeenAt);
    }
    const std::uint32_t dataEnd = packet.sequence + packet.dataBytes;
    if (!flow->isOpen) {
        flow->acknowledged = packet.acknowledged;
        flow->dataEnd = dataEnd;
    } else if (isSequenceAfter(dataEnd, flow->dataEnd)) {
        flow->dataEnd = dataEnd;
        flow->repeatedData = 0;
    } else if (packet.dataBytes > 0) {
        ++flow->repeatedData;
    }
    flow->isOpen = true;
    m_flowTable.assign(*flow, upstream);
    trackAcknowledgement(packet, *flow, now, decision);
    trackRequest(packet, *flow, now, decision);
}

void forwarder::trackAcknowledgement(const caller_packet &packet, flow_entry &flow,
                                     monotonic_time now, packet_decision &decision)
{
    if (!isSequenceAfter(packet.acknowledged, flow.acknowledged))
        return;
    confirmHolder(packet, flow, decision);
    const upstream_id upstream = decision.upstream->id;
    flow.acknowledged = packet.acknowledged;
    flow.repeatedData = 0;
    flow.isAccepted = true;
    m_lastAnswerAt = now;
    // Only a packet without data is a timely answer: the acknowledgement in a new request may refer
    // to an answer from long before.
    if (packet.dataBytes == 0) {
        m_health.noteAnswered(upstream, now);
        if (m_hedgeBudget.isEnabled())
            m_answerHistory.add(now, flow.trackedSince);
    } else {
        m_health.noteEarlierAnswer(upstream, now);
    }
    const auto latency = now - flow.requestStartedAt;
    if (flow.requestStartedAt.count() > 0 && latency < m_settings.maxLatency) {
        m_latencies.noteAnswered(upstream, latency, now);
        if (const route *selected = m_routes.find(packet.flow.service))
            m_admission.recordLatency(decision.upstream->announced.service, latency,
                                      selected->targetLatency, now);
        decision.latency = latency;
    }
    flow.requestStartedAt = monotonic_time {0};
}

void forwarder::trackClosing(const caller_packet &packet, flow_entry &flow, monotonic_time now,
                             packet_decision &decision)
{
    if (!flow.isOpen || flow.upstream != decision.upstream->id)
        return;
    const auto age = now - flow.requestStartedAt;
    const bool isWaiting = flow.requestStartedAt.count() > 0;
    trackAcknowledgement(packet, flow, now, decision);
    if (isWaiting && flow.requestStartedAt.count() > 0 && age >= m_settings.minAbortedRequestAge)
        m_latencies.noteUnanswered(flow.upstream, age, now);
}

void forwarder::trackRequest(const caller_packet &packet, flow_entry &flow, monotonic_time now,
                             packet_decision &decision)
{
    if (packet.dataBytes == 0)
        return;
    const bool isWaiting = flow.requestStartedAt.count() > 0;
    if (isWaiting && packet.sequence == flow.requestSequence) {
        decision.unansweredFor = now - flow.requestStartedAt;
        const auto kind = flow.isAccepted ? packet_kind::Request : packet_kind::Opening;
        m_health.noteRetransmission(decision.upstream->id,
                                    {kind, flow.requestStartedAt, flow.requestSentAt}, now);
        flow.requestSentAt = now;
    }
    flow.isRequestSentOnce = flow.isRequestSentOnce && !isWaiting;
    decision.isFirstRequestPacket = !isWaiting
        && (flow.requestSequence == 0 || isSequenceAfter(packet.sequence, flow.requestSequence));
    if (decision.isFirstRequestPacket) {
        flow.requestStartedAt = now;
        flow.requestSentAt = now;
        flow.requestSequence = packet.sequence;
        flow.isRequestSentOnce = true;
        watchRequest(packet, now);
    }
}

void forwarder::watchRequest(const caller_packet &packet, monotonic_time now)
{
    const route *selected = m_routes.find(packet.flow.service);
    if (selected == nullptr)
        return;
    if (selected->isIdempotent)
        m_hedgeBudget.recordRequest();
    if (m_hedgeBudget.isEnabled() && selected->targetLatency.count() > 0
        && m_possiblyStalled.size() < m_settings.maxTrackedFlows) {
        const auto ageAt = [&](monotonic_time age) {
            return std::max(age, m_settings.minStalledRequestAge);
        };
        m_possiblyStalled.add(
            {packet.flow, now, ageAt(selected->targetLatency / 2), ageAt(selected->targetLatency)});
    }
    if (m_requestsInProgress.size() >= m_settings.maxTrackedFlows)
        return;
    const auto firstAge = monotonic_time(static_cast<monotonic_time::rep>(
        m_settings.firstSampleFraction * static_cast<double>(selected->targetLatency.count())));
    if (firstAge.count() > 0)
        m_requestsInProgress.add({packet.flow, now, firstAge, selected->targetLatency});
}

void forwarder::recordRequestInProgress(const watched_request &request, upstream_id upstream,
                                        monotonic_time now)
{
    const auto age = now - request.startedAt;
    m_latencies.noteUnanswered(upstream, age, now);
    const upstream_record *record = m_directory.find(upstream);
    if (record != nullptr)
        m_admission.recordInProgress(record->announced.service, age, request.maxAge, now);
}

void forwarder::sampleRequestsInProgress(monotonic_time now)
{
    while (auto request = m_requestsInProgress.takeDue(now)) {
        const flow_entry *flow = m_flowTable.find(request->flow);
        const bool isInProgress = flow != nullptr && flow->requestStartedAt == request->startedAt
            && request->startedAt >= m_lastTakeoverAt;
        if (!isInProgress)
            continue;
        // Without any answer since the request this instance's own link may be down.
        if (m_lastAnswerAt > request->startedAt)
            recordRequestInProgress(*request, flow->upstream, now);
        request->nextAge *= 2;
        if (request->nextAge <= request->maxAge)
            m_requestsInProgress.add(*request);
    }
    noteStalledRequests(now);
}

void forwarder::noteStalledRequests(monotonic_time now)
{
    while (auto request = m_possiblyStalled.takeDue(now)) {
        const flow_entry *flow = findInProgress(*request);
        if (flow == nullptr)
            continue;
        const bool isStalled = request->nextAge >= request->maxAge;
        const bool isEvidence =
            flow->isRequestSentOnce && !m_isStopping && !mayHaveMoved(*request, now);
        if (isEvidence)
            m_health.noteStalledRequest(flow->upstream, request->startedAt,
                                        isStalled ? stall_level::Stalled : stall_level::Waiting,
                                        now);
        if (!isStalled) {
            request->nextAge = request->maxAge;
            m_possiblyStalled.add(*request);
        } else if (isEvidence && m_stalledRequests.size() < m_settings.maxTrackedFlows) {
            m_stalledRequests.push_back(*request);
        }
    }
}

/// Whether the caller of a flow that is reset finds another upstream. If all upstreams of a service
/// are stalled, its requests may still be answered late.
bool forwarder::hasAlternative(const upstream_record &upstream, monotonic_time now) const
{
    return m_placement.hasUnsuspected(upstream.announced.service, now);
}

/// Whether the fabric may have moved the flow of a request to another instance, which then sees the
/// acknowledgement of the answer. Packets of flows from elsewhere show that it moves flows. In a
/// rolling restart they arrive for seconds after each move, so the request counts nevertheless if a
/// flow from before it got an answer here in the second half of its waiting time.
bool forwarder::mayHaveMoved(const watched_request &request, monotonic_time now) const
{
    const auto middle = request.startedAt + (now - request.startedAt) / 2;
    return request.startedAt <= m_lastTakeoverAt
        && !m_answerHistory.hasAnswer(request.startedAt, middle);
}

const flow_entry *forwarder::findInProgress(const watched_request &request)
{
    const flow_entry *flow = m_flowTable.find(request.flow);
    return flow != nullptr && flow->requestStartedAt == request.startedAt ? flow : nullptr;
}

} // namespace chicoryhead
