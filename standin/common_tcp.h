/**
 * @file common_tcp.h
 * Minimal TCP endpoint for one connection, without sockets and clock.
 *
 * It has what shows a load balancer's faults: handshake, in-order delivery with reordering,
 * acknowledgement, retransmission, orderly close and reset. It has no congestion control, no window
 * and no options.
 */

#pragma once

#include "common_payload.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace standin {

/** Time since an arbitrary start. */
using tick = std::chrono::milliseconds;

/** The fields of a TCP segment that the endpoint uses. */
struct tcp_segment
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    byte_string payload;

    /** Sequence numbers that the segment takes up. */
    std::uint32_t length() const
    {
        return static_cast<std::uint32_t>(payload.size()) + (syn ? 1 : 0) + (fin ? 1 : 0);
    }
};

/** The RST with which a kernel answers a segment of a connection it doesn't hold (RFC 9293). */
tcp_segment resetFor(const tcp_segment &segment);

/** State of a connection, with the closing states joined. */
enum class tcp_state {
    SynSent,
    SynReceived,
    Established,
    Closed,   ///< both directions ended in order
    Reset,    ///< RST received
    TimedOut, ///< a segment stayed unacknowledged through all retransmissions
};

/** One end of a connection. */
class tcp_endpoint
{
public:
    /** Active open: takeOutput() holds the SYN. */
    static tcp_endpoint connect(std::uint32_t initialSequence, tick now);

    /** Passive open by a received SYN: takeOutput() holds the SYN-ACK. */
    static tcp_endpoint accept(const tcp_segment &syn, std::uint32_t initialSequence, tick now);

    /** Handles a received segment. */
    void onSegment(const tcp_segment &segment, tick now);

    /** Retransmits the oldest unacknowledged segments when their time has come. */
    void onTimer(tick now);

    /** Queues bytes for the other end. */
    void send(std::span<const std::uint8_t> bytes, tick now);

    /** Ends this direction after the queued bytes. */
    void close(tick now);

    /** Segments to put on the wire now. */
    std::vector<tcp_segment> takeOutput() { return std::exchange(m_output, {}); }

    /** Bytes received in order since the last call. */
    byte_string takeReceived() { return std::exchange(m_received, {}); }

    tcp_state state() const { return m_state; }
    bool isPeerClosed() const { return m_isPeerClosed; }
    std::uint64_t retransmissions() const { return m_retransmissions; }

private:
    explicit tcp_endpoint(std::uint32_t initialSequence) : m_sendNext(initialSequence) { }

    void queue(tcp_segment segment, tick now);
    void emit(tcp_segment segment);
    void takeAcknowledgement(std::uint32_t acknowledgement, tick now);
    void takeData(const tcp_segment &segment);
    void deliverInOrder();

    tcp_state m_state = tcp_state::SynSent;
    std::uint32_t m_sendNext = 0;    ///< sequence number of the next new segment
    std::uint32_t m_receiveNext = 0; ///< sequence number of the next byte expected
    std::deque<tcp_segment> m_unacknowledged;
    std::map<std::uint32_t, tcp_segment> m_early; ///< by distance from the initial sequence
    std::uint32_t m_peerInitial = 0;
    byte_string m_received;
    std::vector<tcp_segment> m_output;
    tick m_retransmitAt {0};
    tick m_timeout {0};
    int m_tries = 0;
    std::uint64_t m_retransmissions = 0;
    bool m_isClosing = false;
    bool m_isPeerClosed = false;
};

} // namespace standin
