/**
 * @file caller.cpp
 * Stand-in of callers: opens many flows, sends requests, checks every byte of every answer and
 * reports what happened to its flows and requests.
 */

#include "common.h"
#include "packet/packet_func.h"

#include <gflags/gflags.h>

#include <boost/histogram.hpp>

#include <algorithm>
#include <iostream>
#include <set>

DEFINE_string(fabric, "127.0.0.1:6000", "address of the fabric for packets from callers");
DEFINE_string(service, "10.10.0.1:443", "address of the service");
DEFINE_string(protocol, "tcp", "tcp or request");
DEFINE_string(source, "10.1.0.0:20000", "first inner source address; later flows count up");
DEFINE_string(http, "", "HTTP address for GET /report while it runs; empty for none");
DEFINE_uint64(flows, 100, "flows to hold open");
DEFINE_double(open_rate, 500, "flows opened a second at most");
DEFINE_double(churn, 0, "flows a second that are closed and replaced");
DEFINE_double(rate, 100, "requests a second over all flows");
DEFINE_double(seconds, 10, "time until it ends by itself");
DEFINE_double(idempotent_share, 0.5, "share of idempotent requests, for request services");
DEFINE_double(cancel_share, 0.02, "share of cancelled requests, for request services");
DEFINE_uint64(request_bytes, 300, "payload of a request");
DEFINE_uint64(answer_bytes, 3000, "mean payload of an answer; uniform from 0 to twice this");
DEFINE_int32(deadline_ms, 3000, "deadline of a request, for request services");
DEFINE_int32(retransmit_ms, 500, "time to a retransmission, for request services");
DEFINE_int32(broken_ms, 10000, "time without an answer after which a TCP flow counts as broken");
DEFINE_uint64(seed, 1, "seed of the random choices");

using namespace standin;
using chicoryhead::frame_kind;
using chicoryhead::request_frame;
using chicoryhead::request_outcome;

namespace {

constexpr std::uint16_t portsPerAddress = 20000;
constexpr unsigned flowShift = 24; ///< a request id is the flow's number and a count of this width
constexpr tick openTimeout {1000};
constexpr tick closeTimeout {500};
constexpr tick closeTime {3000}; ///< a closing flow is forgotten after this time
/// Answers of requests whose deadline has just passed may still be on their way.
constexpr tick graceTime {500};
/// Wait of a refused TCP caller; a refused request caller is told how long to wait.
constexpr tick refusedWait {500};
constexpr int maxAttempts = 4;
constexpr std::size_t maxListedRequests = 10000;

enum class flow_state { Opening, Open, Closing, Over };

/** A request without a final outcome. */
struct open_request
{
    message request;
    tick started {0};
    tick deadline {0};
    tick nextSend {0};
    std::uint8_t attempt = 0;
    bool isIdempotent = false;
    bool isCancelled = false;
    std::map<std::uint16_t, byte_string> parts; ///< of the answer, by number
};

struct flow
{
    std::uint64_t number = 0;
    endpoint source;
    flow_state state = flow_state::Opening;
    std::optional<tcp_endpoint> tcp; ///< nothing for a request service
    message_reader reader;
    tick since {0};    ///< time of the last change of state
    tick nextSend {0}; ///< of an open or close frame
    std::uint64_t requestCount = 0;
    std::map<std::uint64_t, open_request> requests;
};

class caller
{
public:
    explicit caller(asio::io_context &context)
        : m_context(context)
        , m_fabric(endpointOrExit(FLAGS_fabric))
        , m_service(endpointOrExit(FLAGS_service))
        , m_source(endpointOrExit(FLAGS_source))
        , m_isTcp(FLAGS_protocol == "tcp")
        , m_random(FLAGS_seed)
        , m_latency(
              boost::histogram::make_histogram(latency_axis(600, 0.1, 60000))) // 2.2% a bin, in ms
        , m_socket(context, {INADDR_LOOPBACK, 0},
                   [this](byte_view bytes, const endpoint &) { onPacket(bytes); })
        , m_paceTimer(context, tick(5), [this] { onPace(); })
        , m_flowTimer(context, tick(50), [this] { onFlowTimer(); })
    {
        if (!FLAGS_http.empty())
            m_server = std::make_unique<http_server>(
                context, endpointOrExit(FLAGS_http),
                [this](const http_request &, const http_reply &reply) {
                    reply(jsonResponse(report()));
                });
    }

    /** Stops sending requests; the flows are closed once no request is open. */
    void end() { m_isEnding = true; }

    json report() const
    {
        json document = m_counts;
        std::map<flow_state, int> states;
        for (const auto &[source, item] : m_flows)
            ++states[item.state];
        document["flows_opening"] = states[flow_state::Opening];
        document["flows_open"] = states[flow_state::Open];
        document["requests_open"] = openRequests();
        for (const auto &[name, share] :
             {std::pair("p50_ms", 0.5), std::pair("p90_ms", 0.9), std::pair("p99_ms", 0.99)})
            document[name] = percentile(share);
        document["refused_requests"] = m_refusedList;
        return document;
    }

private:
    using latency_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    // Opening and closing

    void onPace()
    {
        const tick now = nowTick();
        const double seconds = 0.005;
        if (!m_isEnding && now - m_started > tick(static_cast<int>(FLAGS_seconds * 1000)))
            end();
        if (m_isEnding)
            return;
        m_openCredit = std::min(m_openCredit + FLAGS_open_rate * seconds, 50.0);
        std::erase_if(m_waitingUntil, [now](tick end) { return end <= now; });
        for (; m_openCredit >= 1 && m_live.size() + m_waitingUntil.size() < FLAGS_flows;
             m_openCredit -= 1)
            openFlow(now);
        m_churnCredit += FLAGS_churn * seconds;
        for (; m_churnCredit >= 1; m_churnCredit -= 1)
            if (flow *victim = randomOpenFlow(); victim != nullptr && victim->requests.empty())
                closeFlow(*victim, now);
        m_requestCredit += FLAGS_rate * seconds;
        for (; m_requestCredit >= 1; m_requestCredit -= 1)
            if (flow *chosen = randomOpenFlow())
                startRequest(*chosen, now);
    }

    void openFlow(tick now)
    {
        const std::uint64_t number = m_nextFlow++;
        const endpoint source {
            static_cast<std::uint32_t>(m_source.address + number / portsPerAddress),
            static_cast<std::uint16_t>(m_source.port + number % portsPerAddress)};
        flow &opened = m_flows[source];
        opened.number = number;
        opened.source = source;
        opened.since = now;
        m_live.push_back(source);
        count("flows_started");
        if (m_isTcp)
            opened.tcp = tcp_endpoint::connect(static_cast<std::uint32_t>(m_random()), now);
        else
            sendOpen(opened, now);
        flush(opened, now);
    }

    void sendOpen(flow &opened, tick now)
    {
        opened.nextSend = now + openTimeout;
        sendFrame(opened, makeFrame(frame_kind::Open, opened.number << flowShift));
    }

    void closeFlow(flow &closed, tick now)
    {
        leaveLive(closed);
        closed.state = flow_state::Closing;
        closed.since = now;
        count("flows_closed");
        if (closed.tcp)
            closed.tcp->close(now);
        else
            sendClose(closed, now);
        flush(closed, now);
    }

    void sendClose(flow &closed, tick now)
    {
        closed.nextSend = now + closeTimeout;
        sendFrame(closed, makeFrame(frame_kind::Close, closed.number << flowShift));
    }

    /** Ends a flow that failed; its open requests have an unknown outcome. */
    void failFlow(flow &failed, const std::string &counter)
    {
        count(counter);
        for (std::size_t i = 0; i < failed.requests.size(); ++i)
            count("lost_with_flow");
        failed.requests.clear();
        leaveLive(failed);
        failed.state = flow_state::Over;
        failed.since = nowTick();
    }

    void refuseFlow(flow &refused, tick wait)
    {
        failFlow(refused, "flows_refused");
        m_waitingUntil.push_back(nowTick() + wait);
    }

    void breakFlow(flow &broken, const std::string &reason)
    {
        count("flows_broken");
        failFlow(broken, "broken_by_" + reason);
    }

    void leaveLive(const flow &leaving) { std::erase(m_live, leaving.source); }

    flow *randomOpenFlow()
    {
        if (m_live.empty())
            return nullptr;
        flow &chosen = m_flows.at(m_live[m_random() % m_live.size()]);
        return chosen.state == flow_state::Open ? &chosen : nullptr;
    }

    void onFlowTimer()
    {
        const tick now = nowTick();
        std::vector<endpoint> over;
        for (auto &[source, item] : m_flows) {
            if (item.tcp) {
                item.tcp->onTimer(now);
                flush(item, now);
            }
            if (item.state == flow_state::Opening)
                onOpening(item, now);
            else if (item.state == flow_state::Open)
                onRequestTimer(item, now);
            else if (now - item.since > closeTime)
                over.push_back(source);
            else if (!item.tcp && item.state == flow_state::Closing && now >= item.nextSend)
                sendClose(item, now);
        }
        for (const endpoint &source : over)
            m_flows.erase(source);
        if (m_isEnding)
            endFlows(now);
    }

    void onOpening(flow &opening, tick now)
    {
        if (now - opening.since > tick(FLAGS_broken_ms))
            failFlow(opening, "flows_unanswered");
        else if (!opening.tcp && now >= opening.nextSend)
            sendOpen(opening, now);
    }

    void endFlows(tick now)
    {
        if (openRequests() > 0)
            return;
        const std::vector<endpoint> live = m_live;
        for (const endpoint &source : live)
            closeFlow(m_flows.at(source), now);
        if (m_flows.empty())
            m_context.stop();
    }

    std::size_t openRequests() const
    {
        std::size_t total = 0;
        for (const endpoint &source : m_live)
            total += m_flows.at(source).requests.size();
        return total;
    }

    // Requests

    void startRequest(flow &chosen, tick now)
    {
        std::uniform_real_distribution<double> share(0, 1);
        std::uniform_int_distribution<std::uint64_t> size(0, 2 * FLAGS_answer_bytes);
        const std::uint64_t id = chosen.number << flowShift | ++chosen.requestCount;
        open_request &started = chosen.requests[id];
        started.request = {id, static_cast<std::uint32_t>(size(m_random)),
                           makePayload(m_random(), FLAGS_request_bytes)};
        started.started = now;
        count("requests");
        if (chosen.tcp) {
            chosen.tcp->send(encodeMessage(started.request), now);
            flush(chosen, now);
            return;
        }
        started.deadline = now + tick(FLAGS_deadline_ms);
        started.isIdempotent = share(m_random) < FLAGS_idempotent_share;
        sendRequest(chosen, started, now);
        if (share(m_random) < FLAGS_cancel_share) {
            started.isCancelled = true;
            count("cancelled");
            sendCancel(chosen, started, now);
        }
    }

    void sendRequest(flow &chosen, open_request &item, tick now)
    {
        request_frame frame = makeFrame(frame_kind::Request, item.request.id);
        frame.attempt = item.attempt;
        frame.idempotent = item.isIdempotent;
        frame.remainingMs = static_cast<std::uint32_t>((item.deadline - now).count());
        frame.payload = encodeMessage(item.request);
        item.nextSend = now + tick(FLAGS_retransmit_ms);
        sendFrame(chosen, frame);
    }

    /** The header is that of the request: the home decides by its attempt and idempotent flag. */
    void sendCancel(const flow &chosen, const open_request &item, tick now)
    {
        request_frame frame = makeFrame(frame_kind::Cancel, item.request.id);
        frame.attempt = item.attempt;
        frame.idempotent = item.isIdempotent;
        frame.remainingMs = static_cast<std::uint32_t>((item.deadline - now).count());
        sendFrame(chosen, frame);
    }

    void onRequestTimer(flow &item, tick now)
    {
        for (auto i = item.requests.begin(); i != item.requests.end();) {
            auto &[id, waiting] = *i;
            if (item.tcp && now - waiting.started > tick(FLAGS_broken_ms)) {
                breakFlow(item, "silence");
                return;
            }
            if (!item.tcp && now > waiting.deadline + graceTime) {
                count("unanswered");
                i = item.requests.erase(i);
                continue;
            }
            if (!item.tcp && now >= waiting.nextSend && now < waiting.deadline
                && waiting.attempt + 1 < maxAttempts)
                retransmit(item, waiting, now);
            ++i;
        }
    }

    void retransmit(flow &item, open_request &waiting, tick now)
    {
        ++waiting.attempt;
        count("retransmissions");
        sendRequest(item, waiting, now);
        if (waiting.isCancelled)
            sendCancel(item, waiting, now);
    }

    // Packets

    void onPacket(byte_view bytes)
    {
        const auto packet = parsePacket(bytes);
        if (!packet) {
            count("damaged_packets");
            return;
        }
        const auto found = m_flows.find(packet->destination);
        if (packet->source != m_service || found == m_flows.end()) {
            count("foreign_packets");
            return;
        }
        if (found->second.tcp)
            onSegment(found->second, packet->segment);
        else
            onFrame(found->second, packet->payload);
    }

    void onSegment(flow &item, const tcp_segment &segment)
    {
        const tick now = nowTick();
        item.tcp->onSegment(segment, now);
        item.reader.append(item.tcp->takeReceived());
        while (const auto bytes = item.reader.next()) {
            const auto answer = decodeMessage(*bytes);
            const auto found = answer ? item.requests.find(answer->id) : item.requests.end();
            if (!answer)
                count("damaged");
            else if (found == item.requests.end())
                count("foreign_answers");
            else
                finish(item, found->second, *bytes);
        }
        flush(item, now);
    }

    /** Sends what the TCP endpoint has to say and follows its changes of state. */
    void flush(flow &item, tick now)
    {
        if (!item.tcp)
            return;
        for (const tcp_segment &segment : item.tcp->takeOutput())
            m_socket.send(buildPacket({item.source, m_service, transport::Tcp, segment, {}}),
                          m_fabric);
        const tcp_state state = item.tcp->state();
        if (item.state == flow_state::Over)
            return;
        if (item.state == flow_state::Opening) {
            if (state == tcp_state::Established)
                becomeOpen(item, now);
            else if (state == tcp_state::Reset)
                refuseFlow(item, refusedWait);
        } else if (state == tcp_state::Reset) {
            breakFlow(item, "reset");
        } else if (state == tcp_state::TimedOut) {
            breakFlow(item, "timeout");
        } else if (item.state == flow_state::Open && item.tcp->isPeerClosed()) {
            breakFlow(item, "close");
        } else if (item.reader.isDamaged()) {
            breakFlow(item, "damage");
        }
    }

    void becomeOpen(flow &item, tick now)
    {
        item.state = flow_state::Open;
        item.since = now;
        count("flows_opened");
    }

    void sendFrame(const flow &item, const request_frame &frame)
    {
        m_socket.send(buildFramePacket(item.source, m_service, frame), m_fabric);
    }

    void onFrame(flow &item, const byte_string &payload)
    {
        const auto decoded = chicoryhead::decodeFrame(std::as_bytes(std::span(payload)));
        if (!decoded) {
            count("damaged");
            return;
        }
        const request_frame &frame = decoded.value();
        const bool isOpening = item.state == flow_state::Opening;
        if (frame.requestId >> flowShift != item.number)
            count("foreign_answers");
        else if (isOpening && frame.kind == frame_kind::Open)
            becomeOpen(item, nowTick());
        else if (isOpening && frame.outcome == request_outcome::Refused)
            refuseFlow(item, tick(frame.retryAfterMs));
        else if (item.state == flow_state::Open && frame.kind == frame_kind::Close)
            breakFlow(item, "close");
        else if (item.state == flow_state::Closing && frame.kind == frame_kind::Close)
            item.state = flow_state::Over;
        else if (frame.kind == frame_kind::Answer || frame.kind == frame_kind::Outcome)
            onOutcome(item, frame);
    }

    void onOutcome(flow &item, const request_frame &frame)
    {
        const auto found = item.requests.find(frame.requestId);
        if (found == item.requests.end()) {
            const bool wasRun = frame.kind == frame_kind::Answer;
            count(wasRun && m_refused.contains(frame.requestId) ? "answered_after_refused"
                                                                : "late");
            return;
        }
        open_request &waiting = found->second;
        if (frame.kind == frame_kind::Answer) {
            waiting.parts[frame.part] = frame.payload;
            if (waiting.parts.size() < frame.partCount)
                return;
            byte_string answer;
            for (const auto &[number, part] : waiting.parts)
                answer.insert(answer.end(), part.begin(), part.end());
            finish(item, waiting, answer);
            return;
        }
        if (frame.outcome == request_outcome::Refused)
            noteRefused(item, waiting);
        else
            count("unknown");
        item.requests.erase(found);
    }

    void noteRefused(const flow &item, const open_request &waiting)
    {
        count("refused");
        m_refused.insert(waiting.request.id);
        if (!waiting.isIdempotent && m_refusedList.size() < maxListedRequests)
            m_refusedList.push_back({toString(item.source), waiting.request.id});
    }

    void finish(flow &item, const open_request &waiting, const byte_string &answer)
    {
        const answer_verdict verdict = checkAnswer(waiting.request, answer);
        if (verdict == answer_verdict::Good) {
            count("answered");
            m_latency(std::max(0.5, static_cast<double>((nowTick() - waiting.started).count())));
        } else {
            count(std::string(toString(verdict)));
        }
        const std::uint64_t id = waiting.request.id;
        item.requests.erase(id);
    }

    // Report

    double percentile(double share) const
    {
        const double wanted = share * boost::histogram::algorithm::sum(m_latency);
        double seen = 0;
        for (const auto &bin : boost::histogram::indexed(m_latency)) {
            seen += *bin;
            if (seen >= wanted && seen > 0)
                return bin.bin().upper();
        }
        return 0;
    }

    void count(const std::string &name) { ++m_counts[name]; }

    asio::io_context &m_context;
    endpoint m_fabric;
    endpoint m_service;
    endpoint m_source;
    bool m_isTcp = true;
    std::mt19937_64 m_random;
    std::map<endpoint, flow> m_flows; ///< by inner source
    std::vector<endpoint> m_live;     ///< sources of flows that are opening or open
    std::vector<tick> m_waitingUntil; ///< callers that were refused, by the end of their wait
    std::uint64_t m_nextFlow = 0;
    double m_openCredit = 0;
    double m_churnCredit = 0;
    double m_requestCredit = 0;
    bool m_isEnding = false;
    tick m_started = nowTick();
    std::set<std::uint64_t> m_refused;
    json m_refusedList = json::array(); ///< non-idempotent ones, for the upstreams' /runs
    std::map<std::string, std::uint64_t> m_counts {
        {"flows_started", 0}, {"flows_opened", 0},   {"flows_refused", 0}, {"flows_unanswered", 0},
        {"flows_broken", 0},  {"requests", 0},       {"answered", 0},      {"refused", 0},
        {"unknown", 0},       {"unanswered", 0},     {"incomplete", 0},    {"wrong_request", 0},
        {"damaged", 0},       {"foreign_answers", 0}};
    decltype(boost::histogram::make_histogram(latency_axis())) m_latency;
    udp_socket m_socket;
    std::unique_ptr<http_server> m_server;
    repeating_timer m_paceTimer;
    repeating_timer m_flowTimer;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context(1);
    caller self(context);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&self](const std::error_code &, int) { self.end(); });
    context.run();
    std::cout << self.report().dump(2) << '\n';
    return 0;
}
