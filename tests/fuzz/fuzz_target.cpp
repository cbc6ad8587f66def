/**
 * @file fuzz_target.cpp
 * Fuzz targets for the decoders of all external input of an instance or the command-line client.
 */

#include "fuzz_target.h"

#include "cli/flow_trace.h"
#include "gossip/fragment_assembler_base.h"
#include "gossip/gossip_codec_func.h"
#include "platform/packet_codec.h"
#include "platform/record_codec.h"
#include "platform/settings_codec.h"
#include "platform/standin_codec.h"
#include "policy/policy_codec_func.h"
#include "sync/state_codec_func.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <tuple>
#include <variant>

namespace chicoryhead::fuzz {

namespace {

std::string toText(std::span<const std::byte> input)
{
    return {reinterpret_cast<const char *>(input.data()), input.size()};
}

std::string toText(const std::vector<std::byte> &bytes)
{
    return toText(std::span(bytes));
}

void require(bool property)
{
    if (!property)
        std::abort();
}

upstream_announcement sampleUpstream(const std::string &name)
{
    upstream_announcement announcement;
    announcement.name = name;
    announcement.wireId = platform::parseWireId(name).value_or(1);
    announcement.service = "desk";
    announcement.address = {0x0a014005, 8080};
    announcement.domain = "a";
    announcement.slots = 3;
    announcement.warmupLeft = std::chrono::milliseconds(700);
    announcement.sequenceNumber = 12;
    announcement.startedAtMs = 1764800000000;
    return announcement;
}

routing_config sampleConfig()
{
    routing_config config;
    config.version = 7;
    config.idleTimeout = std::chrono::seconds(12);
    for (std::uint32_t i = 0; i < 3; ++i)
        config.routes.push_back({"r-" + std::to_string(i),
                                 {0xc6120001 + i, 443},
                                 {{"desk", 3}, {"proofs", 1}},
                                 std::chrono::milliseconds(200),
                                 std::chrono::milliseconds(1200),
                                 1,
                                 true});
    return config;
}

state_snapshot sampleState()
{
    state_snapshot snapshot;
    snapshot.revision = 900;
    snapshot.contentRevision = 880;
    snapshot.ageMs = 40;
    snapshot.hasConfig = true;
    snapshot.config = sampleConfig();
    for (int i = 0; i < 8; ++i)
        snapshot.upstreams.push_back(sampleUpstream("i-00ab1" + std::to_string(i)));
    snapshot.instances = {{"f-1", "a", {0x0a010001, 7720}}, {"f-2", "b", {0x0a020001, 7720}}};
    snapshot.removedUpstreams = {"i-99"};
    return snapshot;
}

void fuzzPacket(std::span<const std::byte> input)
{
    const auto packet = platform::decodePacket(input);
    platform::findRequestId(input);
    if (!packet)
        return;
    require(packet.value().dataBytes + platform::packetHeaderBytes == input.size());
    std::vector<std::byte> forwarded(input.size() + platform::prefixBytes);
    require(platform::encodeForUpstream(input, 7, packet.value().tag, forwarded)
            == forwarded.size());
    // A packet that is forwarded with the tag it already has must be unchanged.
    require(std::equal(input.begin(), input.end(), forwarded.begin() + platform::prefixBytes));
    platform::encodeReset(packet.value());
}

std::vector<std::string> packetSeeds()
{
    std::vector<std::byte> opening(platform::packetHeaderBytes);
    opening[0] = std::byte {32};
    auto data = opening;
    data[0] = std::byte {16};
    const std::string request = "GET / HTTP/1.1\r\nX-Attempt-Id: 00ff\r\n\r\n";
    data[34] = static_cast<std::byte>(request.size());
    return {toText(opening), toText(data) + request};
}

void fuzzReply(std::span<const std::byte> input)
{
    std::ignore = platform::decodeReply(toText(input), "items");
    std::ignore = platform::decodeReply(toText(input), "events");
    std::ignore = platform::decodeStoredItem(toText(input));
}

std::vector<std::string> replySeeds()
{
    const auto item = [](const std::string &key, const std::string &value) {
        return R"({"key":")" + key + R"(","value":")" + platform::encodeBase64(value)
            + R"(","revision":12,"created_rev":9,"lease_id":0})";
    };
    const std::string config = item("op/config", platform::encodeConfig(sampleConfig()));
    const std::string upstream =
        item("servers/i-00ab12", platform::encodeAnnouncement(sampleUpstream("i-00ab12")));
    const std::string instance =
        item("chicoryhead/instances/f-1",
             platform::encodeRegistration({"f-1", "a", {0x0a010001, 7720}}));
    const std::string deleted = R"({"key":"servers/i-00ab13","revision":13,"deleted":true})";
    const std::string snapshot = item("chicoryhead/snapshot", toText(encodeState(sampleState())));
    return {R"({"items":[)" + config + "," + upstream + "," + instance + "," + snapshot
                + R"(],"has_more":false,"at_rev":14})",
            R"({"events":[)" + upstream + "," + deleted + R"(],"at_rev":15})", snapshot};
}

/// What one instance accepts, the others must be able to read.
void requirePassedOn(const state_snapshot &snapshot)
{
    const auto decoded = decodeState(encodeState(snapshot));
    require(decoded && decoded.value().upstreams == snapshot.upstreams
            && decoded.value().instances == snapshot.instances
            && decoded.value().config.routes == snapshot.config.routes);
}

void fuzzRecord(std::span<const std::byte> input)
{
    state_snapshot snapshot;
    const auto decoded = platform::decodeAnnouncement("i-00ab12", toText(input));
    if (decoded) {
        const auto roundTripped =
            platform::decodeAnnouncement("i-00ab12", platform::encodeAnnouncement(decoded.value()));
        require(roundTripped && roundTripped.value().address == decoded.value().address);
        snapshot.upstreams = {decoded.value()};
    }
    if (auto config = platform::decodeConfig(toText(input))) {
        snapshot.hasConfig = true;
        snapshot.config = std::move(config.value());
    }
    if (auto registration = platform::decodeRegistration("f-1", toText(input)))
        snapshot.instances = {std::move(registration.value())};
    requirePassedOn(snapshot);
    std::ignore = platform::decodeBase64(toText(input));
}

std::vector<std::string> recordSeeds()
{
    return {platform::encodeConfig(sampleConfig()),
            platform::encodeAnnouncement(sampleUpstream("i-00ab12")),
            platform::encodeRegistration({"f-1", "a", {0x0a010001, 7720}})};
}

void fuzzSettings(std::span<const std::byte> input)
{
    std::vector<platform::settings_problem> problems;
    const auto settings = platform::decodeSettings(toText(input), problems);
    require(!problems.empty() || !settings.name.empty());
}

std::vector<std::string> settingsSeeds()
{
    entry_settings settings;
    settings.name = "f-1";
    settings.domain = "a";
    settings.dataAddress = {0x0a010001, 8172};
    settings.statusAddress = {0x0a010001, 8167};
    settings.storeAddress = {0x0ac80107, 8169};
    settings.peerAddress = {0x0a010001, 7720};
    settings.seeds = {{0x0a020001, 7720}};
    settings.configBound = std::chrono::seconds(3);
    settings.drainBound = std::chrono::seconds(3);
    settings.stopGrace = std::chrono::seconds(6);
    settings.flowLifetime = std::chrono::seconds(60);
    return {platform::encodeSettings(settings)};
}

void fuzzPolicy(std::span<const std::byte> input)
{
    std::vector<policy_problem> problems;
    const auto policy = parsePolicy(toText(input), problems);
    require(problems.empty() || policy == traffic_policy {});
    require(policy.hedging.budgetPercent >= 0 && policy.hedging.budgetPercent <= 10);
    for (const policy_problem &problem : problems)
        require(!problem.reason.empty() && !toString(problem).empty());
}

std::vector<std::string> policySeeds()
{
    return {"[admission]\nenabled = true\n[balancing]\nexpected_wait = false\n[hedging]\n"
            "budget_percent = 2.5\n",
            "; comment\n[admission]\nenabled = true\nenabled = true\n[admission]\n"};
}

void fuzzMessage(std::span<const std::byte> input)
{
    const auto message = decodeGossip(input);
    if (!message)
        return;
    const auto encoded =
        std::visit([](const auto &decoded) { return encodeGossip(decoded); }, message.value());
    const auto roundTripped = decodeGossip(encoded);
    require(roundTripped && roundTripped.value().index() == message.value().index());
    if (const auto *fragment = std::get_if<gossip_state_fragment>(&message.value())) {
        fragment_assembler assembler;
        assembler.expectResponse({1, 1}, fragment->nonce);
        assembler.addFragment({1, 1}, *fragment);
        assembler.addFragment({1, 1}, *fragment);
    }
}

std::vector<std::string> messageSeeds()
{
    gossip_digest digest;
    digest.sender = {"f-1", "a", {0x0a010001, 7720}};
    digest.revision = 900;
    digest.readers = {{7, 100}, {9, 200}};
    digest.latencies = {{0x01020304, 40}};
    const gossip_liveness_reports reports {
        "a", false, {{0x01020304, 50U, {{1, 2, 210, 1, 180}, {3, 1, 220}}}, {5, std::nullopt, {}}}};
    return {toText(encodeGossip(digest)), toText(encodeGossip(reports)),
            toText(encodeGossip(gossip_state_request {7, 900, 42})),
            toText(encodeGossip(gossip_state_fragment {42, 0, 2, {1, 2, 3}}))};
}

void fuzzState(std::span<const std::byte> input)
{
    const auto state = decodeState(input);
    if (!state)
        return;
    const auto roundTripped = decodeState(encodeState(state.value()));
    require(roundTripped && roundTripped.value().upstreams == state.value().upstreams
            && roundTripped.value().removedUpstreams == state.value().removedUpstreams);
}

std::vector<std::string> stateSeeds()
{
    auto small = sampleState();
    small.upstreams.resize(1);
    small.hasConfig = false;
    return {toText(encodeState(sampleState())), toText(encodeState(small)),
            toText(encodeState(state_snapshot {}))};
}

void fuzzLog(std::span<const std::byte> input)
{
    const std::string text = toText(input);
    std::vector<log_line> lines;
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = std::min(text.find('\n', begin), text.size());
        if (auto line = parseLogLine(std::string_view(text).substr(begin, end - begin), "log"))
            lines.push_back(std::move(*line));
        begin = end + 1;
    }
    traceFlow(lines, "1.2.3.4:5>6.7.8.9:10");
    traceFlow(lines, "00ff");
}

std::vector<std::string> logSeeds()
{
    return {"1.5 f-1 t_ms=9 event=flow_refused flow=1.2.3.4:5>6.7.8.9:10 reason=no_route "
            "version=4 state_age_ms=12\n",
            "24.05 f-1 t_ms=88 event=instance_registered outcome=\"a \\\"b\\\" c\" x=1\n"};
}

constexpr std::array<fuzz_target, 8> targetTable {{
    {"packet", fuzzPacket, packetSeeds},
    {"reply", fuzzReply, replySeeds},
    {"record", fuzzRecord, recordSeeds},
    {"settings", fuzzSettings, settingsSeeds},
    {"policy", fuzzPolicy, policySeeds},
    {"message", fuzzMessage, messageSeeds},
    {"state", fuzzState, stateSeeds},
    {"log", fuzzLog, logSeeds},
}};

} // namespace

std::span<const fuzz_target> targets()
{
    return targetTable;
}

} // namespace chicoryhead::fuzz
