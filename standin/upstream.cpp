/**
 * @file upstream.cpp
 * Stand-in of a service's upstreams: several in one process, each with a tunnel port and an HTTP
 * port for health, load, faults and reports.
 */

#include "common.h"
#include "packet/packet_func.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <set>

DEFINE_string(tunnels, "127.0.0.1:7000", "tunnel addresses, one for each upstream");
DEFINE_string(loads, "127.0.0.1:7100", "HTTP addresses, as many as tunnels");
DEFINE_string(service, "10.10.0.1:443", "address of the service");
DEFINE_string(protocol, "tcp", "tcp or request");
DEFINE_string(fabric, "http://127.0.0.1:6002", "URL of the fabric's control");
DEFINE_uint64(slots, 3, "requests that an upstream processes concurrently");
DEFINE_uint64(queue, 20, "requests that may wait for a slot");
DEFINE_uint64(max_flows, 4300, "connections that an upstream holds");
DEFINE_double(work_ms, 10, "mean time to process a request, exponentially distributed");
DEFINE_uint64(seed, 1, "seed of the random choices");

using namespace standin;
using chicoryhead::frame_kind;
using chicoryhead::request_frame;
using chicoryhead::request_outcome;

namespace {

constexpr std::size_t partBytes = 1000;
constexpr std::uint32_t meanRetryAfterMs = 200;
/// An ended connection still answers a repeated FIN for this long.
constexpr tick lingerTime {2000};

/** A request of a caller: ids are unique for each caller address. */
using request_key = std::pair<endpoint, std::uint64_t>;

/** Runs of one request. */
struct run_count
{
    tick first {0};
    int runs = 0;
    bool isIdempotent = false;
};

/** Runs of all requests over all upstreams of the process. */
using run_counts = std::map<request_key, run_count>;

/** Faults that a test switches on. */
struct upstream_faults
{
    double slow = 1;           ///< factor on the processing time
    bool deaf = false;         ///< drops every packet, while HTTP answers
    bool dead = false;         ///< drops packets and HTTP requests and has lost its flows
    bool sheds = false;        ///< refuses new flows and requests although it has room
    std::string load = "true"; ///< "true", "frozen", "lying" (always idle) or "silent" (hangs)
};

/** Counters for reports. */
struct upstream_counts
{
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsOpenedAfterMark = 0;
    std::uint64_t flowsRefused = 0;
    std::uint64_t wrongService = 0;    ///< packets for another address than the service's
    std::uint64_t damagedPackets = 0;  ///< malformed or with a wrong checksum
    std::uint64_t damagedMessages = 0; ///< requests that fail their checksum
    std::uint64_t strayBytes = 0;      ///< payload of flows that it never held
    std::uint64_t runs = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
};

class upstream
{
public:
    upstream(asio::io_context &context, const endpoint &tunnel, const endpoint &load,
             run_counts &runCounts, std::uint64_t seed)
        : m_context(context)
        , m_service(endpointOrExit(FLAGS_service))
        , m_runCounts(runCounts)
        , m_random(seed)
        , m_sprayer(context, seed + 1)
        , m_socket(context, tunnel, [this](byte_view bytes, const endpoint &) { onPacket(bytes); })
        , m_server(context, load,
                   [this](const http_request &request, const http_reply &reply) {
                       onHttp(request, reply);
                   })
        , m_timer(context, tick(50), [this] { onTimer(); })
    {
    }

    /** Takes the list of instances from the fabric. */
    void configureSpray(const json &document) { m_sprayer.configure(document); }

private:
    struct flow
    {
        std::optional<tcp_endpoint> tcp; ///< nothing for a request service
        message_reader reader;
        tick endedAt {0}; ///< 0 while open
    };

    struct job
    {
        request_key key;
        message request;
        tick deadline {0}; ///< 0 for none
        bool isIdempotent = false;
    };

    // Packets

    void onPacket(byte_view bytes)
    {
        if (m_faults.deaf || m_faults.dead)
            return;
        const auto packet = parsePacket(bytes);
        if (!packet) {
            ++m_counts.damagedPackets;
            return;
        }
        const auto expected = FLAGS_protocol == "tcp" ? transport::Tcp : transport::Udp;
        if (packet->destination != m_service || packet->protocol != expected) {
            ++m_counts.wrongService;
            return;
        }
        if (packet->protocol == transport::Tcp)
            onSegment(packet->source, packet->segment);
        else
            onDatagram(packet->source, packet->payload);
    }

    void onSegment(const endpoint &caller, const tcp_segment &segment)
    {
        const bool isOpening = segment.syn && !segment.ack;
        auto found = m_flows.find(caller);
        if (isOpening && (found == m_flows.end() || found->second.endedAt != tick::zero())) {
            if (!openFlow(caller)) {
                sendSegment(caller, resetFor(segment));
                return;
            }
            found = m_flows.find(caller);
            found->second.tcp = tcp_endpoint::accept(segment, std::uint32_t(m_random()), nowTick());
            flush(caller, found->second);
            return;
        }
        if (found == m_flows.end()) {
            if (!m_ended.contains(caller))
                m_counts.strayBytes += segment.payload.size();
            if (!segment.rst)
                sendSegment(caller, resetFor(segment));
            return;
        }
        flow &held = found->second;
        held.tcp->onSegment(segment, nowTick());
        held.reader.append(held.tcp->takeReceived());
        while (const auto bytes = held.reader.next())
            onMessage({caller, 0}, *bytes, {}, false);
        if (held.tcp->isPeerClosed())
            held.tcp->close(nowTick());
        flush(caller, held);
    }

    void onDatagram(const endpoint &caller, const byte_string &payload)
    {
        const auto decoded = chicoryhead::decodeFrame(std::as_bytes(std::span(payload)));
        if (!decoded) {
            ++m_counts.damagedMessages;
            return;
        }
        const request_frame &frame = decoded.value();
        const bool isHeld = m_flows.contains(caller);
        if (frame.kind == frame_kind::Open) {
            const bool isOpen = isHeld || openFlow(caller);
            if (isOpen)
                sendFrame(caller, makeFrame(frame_kind::Open, frame.requestId));
            else
                refuse({caller, frame.requestId});
        } else if (!isHeld) {
            if (!m_ended.contains(caller))
                m_counts.strayBytes += frame.payload.size();
            // The reset of an unknown flow, or the repeated answer to a repeated close.
            sendFrame(caller, makeFrame(frame_kind::Close, frame.requestId));
        } else if (frame.kind == frame_kind::Close) {
            endFlow(caller);
            sendFrame(caller, makeFrame(frame_kind::Close, frame.requestId));
        } else if (frame.kind == frame_kind::Cancel) {
            cancel({caller, frame.requestId});
        } else if (frame.kind == frame_kind::Request) {
            onMessage({caller, frame.requestId}, frame.payload, nowTick() + tick(frame.remainingMs),
                      frame.idempotent);
        }
    }

    void sendSegment(const endpoint &caller, const tcp_segment &segment)
    {
        m_sprayer.send(m_socket, buildPacket({m_service, caller, transport::Tcp, segment, {}}));
    }

    void sendFrame(const endpoint &caller, const request_frame &frame)
    {
        m_sprayer.send(m_socket, buildFramePacket(m_service, caller, frame));
    }

    void refuse(const request_key &key)
    {
        std::uniform_int_distribution<std::uint32_t> jitter(meanRetryAfterMs / 2,
                                                            meanRetryAfterMs * 3 / 2);
        request_frame frame = makeFrame(frame_kind::Outcome, key.second);
        // A copy of the request may have run, and "refused" promises that none has.
        const bool wasRun = m_runCounts.contains(key);
        frame.outcome = wasRun ? request_outcome::Unknown : request_outcome::Refused;
        frame.retryAfterMs = wasRun ? 0 : jitter(m_random);
        m_counts.refused += wasRun ? 0 : 1;
        sendFrame(key.first, frame);
    }

    void flush(const endpoint &caller, flow &held)
    {
        for (const tcp_segment &segment : held.tcp->takeOutput())
            sendSegment(caller, segment);
        const tcp_state state = held.tcp->state();
        const bool isOver =
            state == tcp_state::Closed || state == tcp_state::Reset || state == tcp_state::TimedOut;
        if (isOver && held.endedAt == tick::zero())
            held.endedAt = nowTick();
    }

    // Flows

    bool openFlow(const endpoint &caller)
    {
        if (m_faults.sheds || m_flows.size() >= FLAGS_max_flows || m_queue.size() >= FLAGS_queue) {
            ++m_counts.flowsRefused;
            return false;
        }
        ++m_counts.flowsOpened;
        if (m_mark != tick::zero() && nowTick() > m_mark)
            ++m_counts.flowsOpenedAfterMark;
        m_flows[caller] = {};
        m_ended.erase(caller);
        return true;
    }

    void endFlow(const endpoint &caller)
    {
        m_flows.erase(caller);
        m_ended.insert(caller);
    }

    void onTimer()
    {
        const tick now = nowTick();
        std::vector<endpoint> over;
        for (auto &[caller, held] : m_flows) {
            if (!held.tcp)
                continue;
            held.tcp->onTimer(now);
            flush(caller, held);
            if (held.endedAt != tick::zero() && now - held.endedAt > lingerTime)
                over.push_back(caller);
        }
        for (const endpoint &caller : over)
            endFlow(caller);
    }

    // Requests

    void onMessage(request_key key, const byte_string &bytes, tick deadline, bool isIdempotent)
    {
        auto request = decodeMessage(bytes);
        if (!request || (deadline != tick::zero() && request->id != key.second)) {
            ++m_counts.damagedMessages;
            return;
        }
        key.second = request->id;
        const bool isFrame = deadline != tick::zero();
        // A second copy of a non-idempotent request is run, so that it is seen in the report.
        if (isIdempotent && isInHand(key))
            return;
        const bool isFull = m_running.size() >= FLAGS_slots && m_queue.size() >= FLAGS_queue;
        if (isFrame && (isFull || m_faults.sheds || m_cancelled.contains(key))) {
            refuse(key);
            return;
        }
        m_queue.push_back({key, std::move(*request), deadline, isIdempotent});
        startJobs();
    }

    void startJobs()
    {
        while (m_running.size() < FLAGS_slots && !m_queue.empty()) {
            job next = std::move(m_queue.front());
            m_queue.pop_front();
            if (next.deadline != tick::zero() && next.deadline <= nowTick()) {
                ++m_counts.expired;
                refuse(next.key);
                continue;
            }
            run(std::move(next));
        }
    }

    void run(job next)
    {
        ++m_counts.runs;
        run_count &counted = m_runCounts[next.key];
        if (counted.runs == 0)
            counted.first = nowTick();
        ++counted.runs;
        if (counted.runs > 1 && !next.isIdempotent)
            std::cerr << "event=run_twice caller=" << toString(next.key.first)
                      << " request=" << next.key.second << " first_ms=" << counted.first.count()
                      << " now_ms=" << nowTick().count() << '\n';
        counted.isIdempotent = next.isIdempotent;
        std::exponential_distribution<double> workMs(1 / FLAGS_work_ms);
        const auto duration = std::chrono::microseconds(
            static_cast<std::int64_t>(1000 * workMs(m_random) * m_faults.slow));
        const std::uint64_t number = ++m_lastJob;
        auto timer = std::make_unique<asio::steady_timer>(m_context, duration);
        timer->async_wait([this, number](const std::error_code &error) {
            if (!error)
                finish(number);
        });
        m_running.emplace(number, std::pair(std::move(next), std::move(timer)));
    }

    void finish(std::uint64_t number)
    {
        const auto running = m_running.find(number);
        // A timer that has expired may call back although the job was cancelled since.
        if (running == m_running.end())
            return;
        const job done = std::move(running->second.first);
        m_running.erase(running);
        const endpoint &caller = done.key.first;
        const byte_string answer = encodeMessage(makeAnswer(done.request));
        const auto found = m_flows.find(caller);
        if (found != m_flows.end() && found->second.tcp && !found->second.tcp->isPeerClosed()) {
            found->second.tcp->send(answer, nowTick());
            flush(caller, found->second);
        } else if (found != m_flows.end() && !found->second.tcp) {
            sendParts(done, answer);
        }
        startJobs();
    }

    void sendParts(const job &done, const byte_string &answer)
    {
        const std::size_t count = (answer.size() + partBytes - 1) / partBytes;
        for (std::size_t i = 0; i < count; ++i) {
            const auto part = std::span(answer)
                                  .subspan(i * partBytes)
                                  .first(std::min(partBytes, answer.size() - i * partBytes));
            request_frame frame = makeFrame(frame_kind::Answer, done.key.second);
            frame.part = static_cast<std::uint16_t>(i);
            frame.partCount = static_cast<std::uint16_t>(count);
            frame.outcome = request_outcome::Answered;
            frame.payload.assign(part.begin(), part.end());
            sendFrame(done.key.first, frame);
        }
    }

    bool isInHand(const request_key &key) const
    {
        const auto isQueued = [&key](const job &item) {
            return item.key == key;
        };
        const auto isRunning = [&key](const auto &item) {
            return item.second.first.key == key;
        };
        return std::any_of(m_queue.begin(), m_queue.end(), isQueued)
            || std::any_of(m_running.begin(), m_running.end(), isRunning);
    }

    void cancel(const request_key &key)
    {
        ++m_counts.cancelled;
        std::erase_if(m_queue, [&key](const job &item) { return item.key == key; });
        std::erase_if(m_running, [&key](const auto &item) { return item.second.first.key == key; });
        m_cancelled.insert(key); // the request or a copy of it may still be on its way
        refuse(key);
        startJobs();
    }

    // HTTP

    void onHttp(const http_request &request, const http_reply &reply)
    {
        const bool isLoad = request.path == "/load";
        if (isLoad && m_faults.dead)
            return; // the connection closes without an answer
        if (isLoad && m_faults.load == "silent") {
            m_silentLoads.push_back(reply);
            return;
        }
        if (isLoad)
            reply(jsonResponse(loadReport()));
        else if (request.path == "/report")
            reply(jsonResponse(report()));
        else if (request.path == "/mark")
            reply(mark(request));
        else if (request.path == "/fault")
            reply(setFaults(request));
        else if (request.path == "/runs")
            reply(runsOf(request));
        else
            reply({404, {}, {}});
    }

    const json &loadReport()
    {
        if (m_faults.load == "frozen" && !m_lastLoad.is_null())
            return m_lastLoad;
        const bool isLying = m_faults.load == "lying";
        m_lastLoad = {{"healthy", true},
                      {"shedding", m_faults.sheds && !isLying},
                      {"busy", isLying ? 0 : m_running.size()},
                      {"queued", isLying ? 0 : m_queue.size()},
                      {"flows", isLying ? 0 : m_flows.size()},
                      {"started", m_started},
                      {"sequence", ++m_sequence}};
        return m_lastLoad;
    }

    json report() const
    {
        const auto runTwice =
            std::count_if(m_runCounts.begin(), m_runCounts.end(), [](const auto &item) {
                return item.second.runs > 1 && !item.second.isIdempotent;
            });
        return {{"flows_held", m_flows.size()},
                {"flows_opened", m_counts.flowsOpened},
                {"flows_opened_after_mark", m_counts.flowsOpenedAfterMark},
                {"flows_refused", m_counts.flowsRefused},
                {"wrong_service", m_counts.wrongService},
                {"damaged_packets", m_counts.damagedPackets},
                {"damaged_messages", m_counts.damagedMessages},
                {"stray_bytes", m_counts.strayBytes},
                {"runs", m_counts.runs},
                {"refused", m_counts.refused},
                {"cancelled", m_counts.cancelled},
                {"expired", m_counts.expired},
                {"process_run_twice", runTwice}};
    }

    /** Flows opened later than `after_ms` from now are counted apart. */
    http_response mark(const http_request &request)
    {
        const json document = json::parse(request.body, nullptr, false);
        if (!document.is_object())
            return {400, "not a JSON object", {}};
        m_mark = nowTick() + tick(document.value("after_ms", 0));
        m_counts.flowsOpenedAfterMark = 0;
        return jsonResponse(true);
    }

    http_response setFaults(const http_request &request)
    {
        const json document = json::parse(request.body, nullptr, false);
        if (!document.is_object())
            return {400, "not a JSON object", {}};
        m_faults.slow = document.value("slow", m_faults.slow);
        m_faults.deaf = document.value("deaf", m_faults.deaf);
        m_faults.sheds = document.value("sheds", m_faults.sheds);
        m_faults.load = document.value("load", m_faults.load);
        const bool wasDead = std::exchange(m_faults.dead, document.value("dead", m_faults.dead));
        if (!wasDead && m_faults.dead) {
            m_flows.clear();
            m_ended.clear();
            m_queue.clear();
            m_running.clear();
            m_started += 1;
            m_sequence = 0;
        }
        return jsonResponse(true);
    }

    /** Runs of the listed requests: [["10.1.0.0:20000", id], ...] to [runs, ...]. */
    http_response runsOf(const http_request &request)
    {
        const json document = json::parse(request.body, nullptr, false);
        if (!document.is_array())
            return {400, "not a JSON array", {}};
        json counts = json::array();
        for (const json &item : document) {
            const request_key key {endpointOrThrow(item.at(0).get<std::string>()),
                                   item.at(1).get<std::uint64_t>()};
            const auto found = m_runCounts.find(key);
            counts.push_back(found == m_runCounts.end() ? 0 : found->second.runs);
        }
        return jsonResponse(counts);
    }

    asio::io_context &m_context;
    endpoint m_service;
    run_counts &m_runCounts;
    std::mt19937_64 m_random;
    packet_sprayer m_sprayer;
    std::map<endpoint, flow> m_flows;  ///< by caller
    std::set<endpoint> m_ended;        ///< callers whose flow was held and has ended
    std::set<request_key> m_cancelled; ///< requests cancelled before they arrived
    std::deque<job> m_queue;
    std::map<std::uint64_t, std::pair<job, std::unique_ptr<asio::steady_timer>>> m_running;
    std::uint64_t m_lastJob = 0;
    upstream_faults m_faults;
    upstream_counts m_counts;
    tick m_mark {0}; ///< 0 for none
    json m_lastLoad;
    std::vector<http_reply> m_silentLoads; ///< kept, so that their connections stay open
    std::uint64_t m_started = std::uint64_t(nowTick().count());
    std::uint64_t m_sequence = 0;
    udp_socket m_socket;
    http_server m_server;
    repeating_timer m_timer;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto tunnels = endpointsOrExit(FLAGS_tunnels);
    const auto loads = endpointsOrExit(FLAGS_loads);
    if (tunnels.size() != loads.size() || (FLAGS_protocol != "tcp" && FLAGS_protocol != "request"))
        return 2;
    asio::io_context context(1);
    run_counts runCounts;
    std::vector<std::unique_ptr<upstream>> upstreams;
    for (std::size_t i = 0; i < tunnels.size(); ++i)
        upstreams.push_back(std::make_unique<upstream>(context, tunnels[i], loads[i], runCounts,
                                                       FLAGS_seed + 1000 * i));
    const json_poller poller(context, FLAGS_fabric + "/spray", [&upstreams](const json &document) {
        for (const auto &item : upstreams)
            item->configureSpray(document);
    });
    runUntilSignal(context);
    return 0;
}
