/**
 * @file test_standin_tcp.cpp
 * The stand-ins' minimal TCP endpoint, in virtual time over a path that loses, doubles and
 * reorders.
 */

#include "standin/common_tcp.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace standin;

namespace {

/** Two endpoints and the path between them. */
class connection
{
public:
    explicit connection(unsigned faultPercent, std::uint64_t seed = 1)
        : m_faultPercent(faultPercent)
        , m_random(seed)
        // The sequence numbers wrap within the first kilobyte.
        , m_caller(tcp_endpoint::connect(0xffffff00U, m_now))
    {
    }

    /** Lets virtual time pass in steps of 10 ms. */
    void run(tick duration)
    {
        for (const tick end = m_now + duration; m_now < end; m_now += tick(10)) {
            move(m_caller, m_toUpstream);
            for (const tcp_segment &segment : std::exchange(m_toUpstream, {}))
                deliverToUpstream(segment);
            if (!m_upstream)
                continue;
            move(*m_upstream, m_toCaller);
            for (const tcp_segment &segment : std::exchange(m_toCaller, {}))
                m_caller.onSegment(segment, m_now);
        }
    }

    tcp_endpoint &caller() { return m_caller; }
    tcp_endpoint &upstream() { return m_upstream.value(); }
    tick now() const { return m_now; }
    void setFaultPercent(unsigned percent) { m_faultPercent = percent; }

private:
    void deliverToUpstream(const tcp_segment &segment)
    {
        if (!m_upstream && segment.syn)
            m_upstream = tcp_endpoint::accept(segment, 0xfffffff0U, m_now);
        else if (m_upstream)
            m_upstream->onSegment(segment, m_now);
    }

    void move(tcp_endpoint &from, std::vector<tcp_segment> &path)
    {
        from.onTimer(m_now);
        for (const tcp_segment &segment : from.takeOutput()) {
            const auto hasFault = [this] {
                return m_random() % 100 < m_faultPercent;
            };
            if (hasFault())
                continue;
            path.push_back(segment);
            if (hasFault())
                path.push_back(segment);
        }
        if (m_faultPercent > 0)
            std::shuffle(path.begin(), path.end(), m_random);
    }

    unsigned m_faultPercent = 0;
    std::mt19937_64 m_random;
    tick m_now {0};
    tcp_endpoint m_caller;
    std::optional<tcp_endpoint> m_upstream;
    std::vector<tcp_segment> m_toUpstream;
    std::vector<tcp_segment> m_toCaller;
};

} // namespace

TEST_CASE("bytes arrive whole and in order in both directions", "[standin]")
{
    const unsigned faultPercent = GENERATE(0U, 5U, 20U);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    connection both(faultPercent, seed);
    both.run(tick(10000));
    REQUIRE(both.caller().state() == tcp_state::Established);
    const byte_string request = makePayload(1, 5000);
    const byte_string answer = makePayload(2, 20000);
    both.caller().send(request, both.now());
    both.upstream().send(answer, both.now());
    both.run(tick(60000));
    REQUIRE(both.upstream().takeReceived() == request);
    REQUIRE(both.caller().takeReceived() == answer);
    REQUIRE((both.caller().retransmissions() + both.upstream().retransmissions() > 0)
            == (faultPercent > 0));
}

TEST_CASE("both ends close in order after the last byte", "[standin]")
{
    connection both(GENERATE(0U, 10U));
    both.run(tick(10000));
    both.caller().send(makePayload(1, 3000), both.now());
    both.caller().close(both.now());
    both.run(tick(20000));
    REQUIRE(both.upstream().takeReceived().size() == 3000);
    REQUIRE(both.upstream().isPeerClosed());
    both.upstream().close(both.now());
    both.run(tick(20000));
    REQUIRE(both.caller().state() == tcp_state::Closed);
    REQUIRE(both.upstream().state() == tcp_state::Closed);
}

TEST_CASE("a path that loses everything ends in a timeout", "[standin]")
{
    connection both(0);
    both.run(tick(100));
    both.setFaultPercent(100);
    both.caller().send(makePayload(1, 10), both.now());
    both.run(tick(60000));
    REQUIRE(both.caller().state() == tcp_state::TimedOut);
}

TEST_CASE("a refused SYN resets the connection", "[standin]")
{
    tcp_endpoint caller = tcp_endpoint::connect(100, tick(0));
    caller.onSegment(resetFor(caller.takeOutput().at(0)), tick(1));
    REQUIRE(caller.state() == tcp_state::Reset);
}

TEST_CASE("data of an unknown flow is answered by a reset that its sender takes", "[standin]")
{
    connection both(0);
    both.run(tick(100));
    both.caller().send(makePayload(1, 10), both.now());
    const auto output = both.caller().takeOutput();
    REQUIRE(output.size() == 1);
    both.caller().onSegment(resetFor(output[0]), both.now());
    REQUIRE(both.caller().state() == tcp_state::Reset);
}

TEST_CASE("a reset with a sequence number outside the connection is ignored", "[standin]")
{
    connection both(0);
    both.run(tick(100));
    tcp_segment reset;
    reset.rst = true;
    reset.sequence = 12345;
    both.caller().onSegment(reset, both.now());
    REQUIRE(both.caller().state() == tcp_state::Established);
}

TEST_CASE("a SYN that is lost is sent again after a second", "[standin]")
{
    tcp_endpoint caller = tcp_endpoint::connect(100, tick(0));
    REQUIRE(caller.takeOutput().size() == 1);
    caller.onTimer(tick(999));
    REQUIRE(caller.takeOutput().empty());
    caller.onTimer(tick(1000));
    const auto again = caller.takeOutput();
    REQUIRE(again.size() == 1);
    REQUIRE(again[0].syn);
    REQUIRE(again[0].sequence == 100);
}

TEST_CASE("a connection that was reset sends nothing more", "[standin]")
{
    // It would send its SYN again, now as a SYN-ACK, and count the reset that answers it as
    // foreign.
    tcp_endpoint caller = tcp_endpoint::connect(100, tick(0));
    caller.onSegment(resetFor(caller.takeOutput().at(0)), tick(1));
    caller.send(makePayload(1, 10), tick(2));
    caller.close(tick(2));
    caller.onTimer(tick(5000));
    REQUIRE(caller.takeOutput().empty());
}
