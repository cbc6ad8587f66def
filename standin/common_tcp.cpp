/**
 * @file common_tcp.cpp
 * Minimal TCP endpoint.
 */

#include "common_tcp.h"

#include <algorithm>

namespace standin {

namespace {

constexpr std::size_t maxSegmentBytes = 1200;
/// As Linux does for a SYN, so that a lost SYN costs a caller what it costs in production.
constexpr tick synTimeout {1000};
constexpr tick dataTimeout {200};
constexpr tick maxTimeout {2000};
constexpr int maxTries = 10;

/** Whether a comes before b in sequence number arithmetic. */
bool isBefore(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) < 0;
}

} // namespace

tcp_segment resetFor(const tcp_segment &segment)
{
    tcp_segment reset;
    reset.rst = true;
    if (segment.ack) {
        reset.sequence = segment.acknowledgement;
    } else {
        reset.ack = true;
        reset.acknowledgement = segment.sequence + segment.length();
    }
    return reset;
}

tcp_endpoint tcp_endpoint::connect(std::uint32_t initialSequence, tick now)
{
    tcp_endpoint self(initialSequence);
    tcp_segment syn;
    syn.syn = true;
    self.queue(std::move(syn), now);
    return self;
}

tcp_endpoint tcp_endpoint::accept(const tcp_segment &syn, std::uint32_t initialSequence, tick now)
{
    tcp_endpoint self(initialSequence);
    self.m_state = tcp_state::SynReceived;
    self.m_peerInitial = syn.sequence;
    self.m_receiveNext = syn.sequence + 1;
    tcp_segment reply;
    reply.syn = true;
    self.queue(std::move(reply), now);
    return self;
}

void tcp_endpoint::onSegment(const tcp_segment &segment, tick now)
{
    if (segment.rst) {
        // A RST outside the window is forged or stale (RFC 5961); in SynSent it must acknowledge
        // the SYN.
        const bool isExpected = m_state == tcp_state::SynSent
            ? segment.ack && segment.acknowledgement == m_sendNext
            : segment.sequence == m_receiveNext;
        if (isExpected && m_state != tcp_state::Closed) {
            m_state = tcp_state::Reset;
            m_unacknowledged.clear();
        }
        return;
    }
    if (m_state == tcp_state::Reset || m_state == tcp_state::TimedOut)
        return;
    if (m_state == tcp_state::SynSent) {
        if (!segment.syn || !segment.ack || segment.acknowledgement != m_sendNext)
            return;
        m_peerInitial = segment.sequence;
        m_receiveNext = segment.sequence + 1;
        m_state = tcp_state::Established;
        takeAcknowledgement(segment.acknowledgement, now);
        emit({});
        return;
    }
    if (segment.syn) {
        // A repeated SYN or SYN-ACK: the other end missed the answer to it.
        emit(m_unacknowledged.empty() ? tcp_segment {} : m_unacknowledged.front());
        return;
    }
    if (segment.ack)
        takeAcknowledgement(segment.acknowledgement, now);
    if (segment.length() > 0)
        takeData(segment);
    if (m_isClosing && m_isPeerClosed && m_unacknowledged.empty())
        m_state = tcp_state::Closed;
}

void tcp_endpoint::onTimer(tick now)
{
    if (m_unacknowledged.empty() || now < m_retransmitAt)
        return;
    if (++m_tries > maxTries) {
        m_state = tcp_state::TimedOut;
        m_unacknowledged.clear();
        return;
    }
    m_timeout = std::min(2 * m_timeout, maxTimeout);
    m_retransmitAt = now + m_timeout;
    ++m_retransmissions;
    emit(m_unacknowledged.front());
}

void tcp_endpoint::send(std::span<const std::uint8_t> bytes, tick now)
{
    if (m_state == tcp_state::Reset || m_state == tcp_state::TimedOut)
        return;
    while (!bytes.empty()) {
        const auto part = bytes.first(std::min(bytes.size(), maxSegmentBytes));
        bytes = bytes.subspan(part.size());
        tcp_segment segment;
        segment.payload.assign(part.begin(), part.end());
        queue(std::move(segment), now);
    }
}

void tcp_endpoint::close(tick now)
{
    if (m_isClosing || m_state == tcp_state::Reset || m_state == tcp_state::TimedOut)
        return;
    m_isClosing = true;
    tcp_segment segment;
    segment.fin = true;
    queue(std::move(segment), now);
}

void tcp_endpoint::queue(tcp_segment segment, tick now)
{
    segment.sequence = m_sendNext;
    m_sendNext += segment.length();
    if (m_unacknowledged.empty()) {
        m_tries = 0;
        m_timeout = segment.syn ? synTimeout : dataTimeout;
        m_retransmitAt = now + m_timeout;
    }
    m_unacknowledged.push_back(segment);
    emit(std::move(segment));
}

void tcp_endpoint::emit(tcp_segment segment)
{
    if (segment.length() == 0)
        segment.sequence = m_sendNext;
    segment.ack = m_state != tcp_state::SynSent;
    segment.acknowledgement = segment.ack ? m_receiveNext : 0;
    m_output.push_back(std::move(segment));
}

void tcp_endpoint::takeAcknowledgement(std::uint32_t acknowledgement, tick now)
{
    bool hasProgress = false;
    while (!m_unacknowledged.empty()) {
        const tcp_segment &oldest = m_unacknowledged.front();
        if (isBefore(acknowledgement, oldest.sequence + oldest.length()))
            break;
        m_unacknowledged.pop_front();
        hasProgress = true;
    }
    if (!hasProgress)
        return;
    if (m_state == tcp_state::SynReceived)
        m_state = tcp_state::Established;
    m_tries = 0;
    m_timeout = dataTimeout;
    m_retransmitAt = now + m_timeout;
}

void tcp_endpoint::takeData(const tcp_segment &segment)
{
    if (!isBefore(segment.sequence, m_receiveNext))
        m_early.emplace(segment.sequence - m_peerInitial, segment);
    deliverInOrder();
    emit({});
}

void tcp_endpoint::deliverInOrder()
{
    // Segments are cut once and retransmitted unchanged, so they never overlap in part.
    while (!m_early.empty() && m_early.begin()->second.sequence == m_receiveNext) {
        const tcp_segment &segment = m_early.begin()->second;
        m_received.insert(m_received.end(), segment.payload.begin(), segment.payload.end());
        m_isPeerClosed = m_isPeerClosed || segment.fin;
        m_receiveNext += segment.length();
        m_early.erase(m_early.begin());
    }
}

} // namespace standin
