/**
 * @file test_entry_parts.cpp
 * Event log, arrival queue, graceful shutdown, suspension detector, metrics, settings file and UDP
 * sockets of the entry instance.
 */

#include "entry/entry_metrics_base.h"
#include "entry/graceful_shutdown_base.h"
#include "entry/settings_file_base.h"
#include "entry/suspension_detector_base.h"
#include "entry_support.h"
#include "eventlog/event_log_base.h"
#include "forward/pending_packet_queue_base.h"
#include "system/udp_socket_base.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

/** A pipe that is read only when the test does so. */
struct pipe_fixture
{
    pipe_fixture()
    {
        REQUIRE(::pipe(ends.data()) == 0);
        // Only the read end is non-blocking: an empty pipe must not block the test.
        REQUIRE(::fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    }
    ~pipe_fixture()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string readAvailable() const
    {
        std::array<char, 65536> buffer {};
        const auto size = ::read(ends[0], buffer.data(), buffer.size());
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }

    std::array<int, 2> ends {};
    stepped_clock clock;
};

std::size_t countLines(const std::string &text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

TEST_CASE("Lines of one event are limited per second, and dropped lines are counted", "[eventlog]")
{
    pipe_fixture pipe;
    event_log log(pipe.ends[1], pipe.clock, {5, 32768});
    for (int i = 0; i < 12; ++i)
        log.write("flow_placed", {{"n", std::to_string(i)}});
    log.write("config_applied", {{"version", "1"}});
    log.flush();
    CHECK(countLines(pipe.readAvailable()) == 6);
    CHECK(log.linesDropped() == 7);
    pipe.clock.advance(1s);
    log.write("flow_placed", {{"n", "12"}});
    log.flush();
    const auto line = pipe.readAvailable();
    CHECK(line.find("event=flow_placed n=12 left_out=7") != std::string::npos);
}

TEST_CASE("A full pipe does not block the event log", "[eventlog]")
{
    // Guards against a data path that blocks on a full log pipe; this test hangs if it does.
    pipe_fixture pipe;
    event_log log(pipe.ends[1], pipe.clock, {1000000, 32768});
    const std::string filler(200, 'x');
    for (int i = 0; i < 5000; ++i) {
        log.write("flow_placed", {{"filler", filler}});
        log.flush();
    }
    CHECK(log.linesDropped() > 3000);
    while (countLines(pipe.readAvailable()) > 0)
        log.flush();
    log.write("flow_placed", {{"filler", "last"}});
    log.flush();
    CHECK(pipe.readAvailable().find("filler=last") != std::string::npos);
}

TEST_CASE("The arrival queue holds packets within its limits of bytes and age", "[arrival]")
{
    pending_packet_queue queue({1000ms, 250});
    const std::vector<std::byte> packet(100);
    CHECK(queue.add(packet, 1000ms));
    CHECK(queue.add(packet, 1900ms));
    CHECK_FALSE(queue.add(packet, 1900ms));
    CHECK(queue.takeAll(2500ms).size() == 1);
    CHECK(queue.isEmpty());
    CHECK(queue.add(packet, 3000ms));
    CHECK(queue.add(packet, 3000ms));
}

TEST_CASE("Packets that takeIf() does not select stay queued and keep their age", "[arrival]")
{
    pending_packet_queue queue({1000ms, 250});
    CHECK(queue.add(std::vector<std::byte>(100), 1000ms));
    CHECK(queue.add(std::vector<std::byte>(50), 1100ms));
    const auto isShort = [](std::span<const std::byte> packet) {
        return packet.size() == 50;
    };
    CHECK(queue.takeIf(1200ms, isShort).size() == 1);
    CHECK_FALSE(queue.isEmpty());
    CHECK(queue.add(std::vector<std::byte>(150), 1200ms));
    CHECK_FALSE(queue.add(std::vector<std::byte>(1), 1200ms));
    CHECK(queue.takeAll(2100ms).size() == 1);
}

TEST_CASE("A stopping process exits once the fabric sends no more packets, or before it is killed",
          "[stop]")
{
    // Guards against packets that are lost because the process exits while it is in rotation.
    graceful_shutdown shutdown({1500ms, 300ms, 6s, 1s});
    CHECK_FALSE(shutdown.mayExit(0s, 100s));
    shutdown.begin(10s);
    CHECK_FALSE(shutdown.mayExit(9s, 11s));
    CHECK_FALSE(shutdown.mayExit(11400ms, 11600ms));
    CHECK(shutdown.mayExit(11400ms, 11700ms));
    shutdown.begin(14s);
    CHECK(shutdown.mayExit(15s, 15s));
}

TEST_CASE("A suspension that ends with a packet is still reported to the next tick", "[suspension]")
{
    // Guards against a process that resumes with a packet and keeps a store watch whose connection
    // is dead.
    suspension_detector detector(10s);
    CHECK_FALSE(detector.recordActivity(10100ms));
    CHECK_FALSE(detector.takeResumed());
    CHECK(detector.recordActivity(13100ms) == monotonic_time(3s));
    CHECK_FALSE(detector.recordActivity(13101ms));
    CHECK(detector.isReadingBacklog(13120ms));
    CHECK_FALSE(detector.isReadingBacklog(13131ms));
    CHECK(detector.takeResumed());
    CHECK_FALSE(detector.takeResumed());
}

TEST_CASE("Metrics list every packet reason and cumulative histogram buckets", "[metrics]")
{
    entry_metrics metrics;
    metrics.packets[static_cast<std::size_t>(packet_reason::Placed)] = 7;
    metrics.answerLatency.record(30ms);
    metrics.answerLatency.record(30s);
    entry_gauges gauges;
    gauges.configVersion = 12;
    gauges.hedgesRefused = 4;
    gauges.hedgingDelaySeconds = 0.08;
    gauges.storeCalls = {{"watch", "answered", 3}};
    const auto text = renderEntryMetrics(metrics, gauges);
    CHECK(text.find("chicoryhead_packets_total{reason=\"placed\"} 7\n") != std::string::npos);
    for (std::size_t i = 0; i < packetReasonCount; ++i) {
        const auto name = toString(static_cast<packet_reason>(i));
        CHECK(name != "unknown");
        CHECK(text.find("reason=\"" + std::string(name) + "\"") != std::string::npos);
    }
    CHECK(text.find("chicoryhead_answer_seconds_bucket{le=\"0.05\"} 1\n") != std::string::npos);
    CHECK(text.find("chicoryhead_answer_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("chicoryhead_config_version 12\n") != std::string::npos);
    CHECK(text.find("chicoryhead_hedges_refused 4\n") != std::string::npos);
    CHECK(text.find("chicoryhead_hedging_delay_seconds 0.08\n") != std::string::npos);
    CHECK(text.find("chicoryhead_store_calls_total{kind=\"watch\",outcome=\"answered\"} 3\n")
          != std::string::npos);
}

TEST_CASE("A settings file that changes without a signal is reported as changed once", "[settings]")
{
    std::string path = "/tmp/chicoryhead-settings-XXXXXX";
    const int descriptor = ::mkstemp(path.data());
    REQUIRE(descriptor >= 0);
    ::close(descriptor);
    const auto write = [&](const std::string &store, const std::string &grace) {
        std::ofstream(path)
            << R"({"node_id":"f1","zone":"a","listen_addrs":{"datagram_addr":)"
            << R"("10.1.0.10:8172","ready":"10.1.0.10:8167"},"platform":{"address":")" << store
            << R"("},"internal_ports":[7720,7735],"bounds":{)"
            << R"("config_apply_ms":3000,"drain_ms":3000,"flow_ttl_s":60,"grace_s":)" << grace
            << "}}";
    };
    settings_file file(path, 9102);
    write("10.200.1.7:8169", "6");
    const auto first = file.read();
    REQUIRE(first.settings);
    CHECK(first.isChanged);
    CHECK(first.settings->metricsPort == 9102);
    CHECK_FALSE(file.read().isChanged);

    write("10.200.1.8:8169", "6");
    const auto second = file.read();
    REQUIRE(second.settings);
    CHECK(toString(second.settings->storeAddress) == "10.200.1.8:8169");

    write("10.200.1.8:8169", "\"soon\"");
    const auto bad = file.read();
    CHECK(bad.isChanged);
    CHECK_FALSE(bad.settings);
    CHECK_FALSE(file.read().isChanged);
    ::unlink(path.c_str());
    CHECK(file.read().isChanged);
}

TEST_CASE("The error for a UDP address in use names the address", "[entry]")
{
    // Guards against a failed start that doesn't say which of the addresses is in use.
    asio::io_context context(1);
    const auto ignore = [](std::span<const std::byte> /*bytes*/, const endpoint & /*from*/) {
    };
    const udp_socket first(context, {0x7f000001, 0}, ignore, 1);
    const endpoint taken {0x7f000001, first.localPort()};
    CHECK_THROWS_WITH(udp_socket(context, taken, ignore, 1), Catch::Contains(toString(taken)));
}

TEST_CASE("Packets that are in the socket buffer at shutdown are handled", "[stop]")
{
    // Guards against a shutdown under load that loses the packets in the socket buffer.
    asio::io_context context;
    std::size_t handled = 0;
    const auto count = [&](std::span<const std::byte> /*bytes*/, const endpoint & /*from*/) {
        ++handled;
    };
    udp_socket receiving(context, {0x7f000001, 0}, count, 8);
    udp_socket sending(context, {0x7f000001, 0}, count, 8);
    const std::vector<std::byte> packet(100);
    for (int i = 0; i < 100; ++i)
        sending.send({0x7f000001, receiving.localPort()}, packet);
    sending.flush();
    // No event loop runs the context here.
    receiving.receivePending();
    CHECK(handled == 100);
}
