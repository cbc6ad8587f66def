/**
 * @file bench_packet.cpp
 * Parsing, hashing and codecs.
 */

#include "packet/packet_func.h"
#include "peer/peer_func.h"

#include <benchmark/benchmark.h>

namespace {

using namespace chicoryhead;

std::vector<std::byte> samplePacket(std::size_t payloadBytes)
{
    return buildUdpPacket({0x0a000001, 40'000}, {0x0a0a0001, 443},
                          std::vector<std::byte>(payloadBytes));
}

void parsePacketBench(benchmark::State &state)
{
    const auto packet = samplePacket(static_cast<std::size_t>(state.range(0)));
    for (auto unused : state) {
        (void)unused;
        const auto view = parsePacket(packet);
        benchmark::DoNotOptimize(hashFlow(forwardKey(view.value())));
    }
}
BENCHMARK(parsePacketBench)->Name("packet/parse_and_hash")->Arg(64)->Arg(512)->Arg(1400);

void frameBench(benchmark::State &state)
{
    request_frame frame;
    frame.payload.resize(static_cast<std::size_t>(state.range(0)));
    for (auto unused : state) {
        (void)unused;
        benchmark::DoNotOptimize(decodeFrame(encodeFrame(frame)));
    }
}
BENCHMARK(frameBench)->Name("frame/encode_and_decode")->Arg(64)->Arg(512)->Arg(1400);

void relayBench(benchmark::State &state)
{
    const peer_codec codec("key of the benchmark");
    const auto packet = samplePacket(static_cast<std::size_t>(state.range(0)));
    for (auto unused : state) {
        (void)unused;
        const auto datagram = codec.encodeRelay(instance_id {1}, {}, packet);
        benchmark::DoNotOptimize(codec.decodeRelay(datagram));
    }
}
BENCHMARK(relayBench)->Name("relay/encode_and_decode")->Arg(64)->Arg(512)->Arg(1400);

void messageBench(benchmark::State &state)
{
    const peer_codec codec("key of the benchmark");
    peer_message message;
    message.sender = {instance_id {1}, {0x7f000001, 9001}, domain_id {1}, 7, member_state::Ready};
    message.probe = {probe_kind::Ping, 3, instance_id {2}};
    message.updates.assign(static_cast<std::size_t>(state.range(0)), message.sender);
    for (auto unused : state) {
        (void)unused;
        const auto datagram = codec.encode(message);
        state.counters["bytes"] = static_cast<double>(datagram.size());
        benchmark::DoNotOptimize(codec.decode(datagram));
    }
}
BENCHMARK(messageBench)->Name("message/encode_and_decode")->Arg(0)->Arg(8)->Arg(40);

} // namespace
