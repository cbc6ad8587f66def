/**
 * @file test_platform_codec.cpp
 * Encoding and decoding of the platform's packets, store records and settings.
 */

#include "entry/derived_settings.h"
#include "entry_support.h"
#include "platform/packet_codec.h"
#include "platform/record_codec.h"
#include "platform/settings_codec.h"

#include <catch2/catch.hpp>

#include <array>
#include <variant>

using namespace chicoryhead;
using namespace chicoryhead::platform;
using namespace chicoryhead::test;

namespace {

constexpr std::array<unsigned char, 36> openingBytes {
    0x20, 0x00, 0x00, 0x00, 0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x44, 0x33,
    0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x07, 0x00,
    0x40, 0x64, 0x41, 0x9c, 0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01, 0x00, 0x00};

constexpr std::array<unsigned char, 36> resetBytes {
    0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00,
    0x12, 0xc6, 0xbb, 0x01, 0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0x00, 0x00};

std::vector<std::byte> bytesOf(std::span<const unsigned char> bytes)
{
    const auto view = std::as_bytes(bytes);
    return {view.begin(), view.end()};
}

std::vector<std::byte> withData(std::string_view data, unsigned char flags = 0x10)
{
    auto packet = bytesOf(openingBytes);
    packet[0] = static_cast<std::byte>(flags);
    packet[34] = static_cast<std::byte>(data.size() & 255U);
    packet[35] = static_cast<std::byte>(data.size() >> 8U);
    const auto view = std::as_bytes(std::span(data));
    packet.insert(packet.end(), view.begin(), view.end());
    return packet;
}

std::string entryText(const std::string &changed = {})
{
    const std::string fields =
        R"("service":"s1","address":"10.1.2.3:8080","zone":"a","version":"v1","slots":3,)"
        R"("state":"ready","warmup_left_ms":500,"sequence":4)";
    return "{" + fields + (changed.empty() ? "" : "," + changed) + "}";
}

/// An upstream entry with one field set to a value, or removed if the value is empty.
std::string entryWith(const std::string &field, const std::string &value)
{
    std::string text = entryText();
    const auto begin = text.find("\"" + field + "\":");
    auto end = text.find_first_of(",}", begin);
    REQUIRE(begin != std::string::npos);
    if (value.empty() && text[end] == ',')
        ++end;
    return text.substr(0, begin) + (value.empty() ? "" : "\"" + field + "\":" + value)
        + text.substr(end);
}

} // namespace

TEST_CASE("An opening packet is decoded", "[platform]")
{
    const auto packet = decodePacket(bytesOf(openingBytes));
    REQUIRE(packet);
    CHECK(packet.value().isOpening);
    CHECK(toString(packet.value().flow.caller) == "100.64.0.7:40001");
    CHECK(toString(packet.value().flow.service) == "198.18.0.1:443");
    CHECK(packet.value().sequence == 0x11223344);
    CHECK(packet.value().tag == noTag);
    CHECK(packet.value().dataBytes == 0);
}

TEST_CASE("A reset is encoded in the platform's packet format", "[platform]")
{
    const auto packet = decodePacket(bytesOf(openingBytes));
    const auto reset = encodeReset(packet.value());
    CHECK(std::vector<std::byte>(reset.begin(), reset.end()) == bytesOf(resetBytes));
}

TEST_CASE("The reset of an open flow has the sequence number that its caller acknowledged last",
          "[platform]")
{
    // Callers ignore resets with another sequence number and wait until their deadline.
    auto packet = decodePacket(withData("GET / HTTP/1.1\r\n\r\n")).value();
    packet.acknowledged = 0x0a0b0c0d;
    packet.isOpening = false;
    const auto reset = encodeReset(packet);
    const std::array<unsigned char, 4> sequence {0x0d, 0x0c, 0x0b, 0x0a};
    CHECK(std::vector<std::byte>(reset.begin() + 10, reset.begin() + 14) == bytesOf(sequence));
    // An aborted flow must not look complete: the reset has no FIN flag and no data.
    constexpr unsigned char resetFlag = 64;
    CHECK(reset[0] == std::byte {resetFlag});
    CHECK(reset.size() == packetHeaderBytes);
}

TEST_CASE("A forwarded packet differs from the received one only in prefix and tag", "[platform]")
{
    // Guards against forwarding that changes any other byte that the sender wrote.
    const auto packet = withData("GET / HTTP/1.1\r\n\r\n");
    std::vector<std::byte> target(packet.size() + prefixBytes);
    REQUIRE(encodeForUpstream(packet, 0x7f3a91c2, 0x04030201, target) == target.size());
    const std::array<unsigned char, 8> prefix {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
    CHECK(std::vector<std::byte>(target.begin(), target.begin() + 8) == bytesOf(prefix));
    for (std::size_t i = 0; i < packet.size(); ++i) {
        const bool isTag = i >= 18 && i < 22;
        CHECK(target[i + 8] == (isTag ? static_cast<std::byte>(i - 17) : packet[i]));
    }
}

TEST_CASE("Truncated and malformed packets are rejected", "[platform]")
{
    auto bytes = bytesOf(openingBytes);
    CHECK(decodePacket(std::span(bytes).first(35)).error() == error::Truncated);
    CHECK(decodePacket({}).error() == error::Truncated);
    bytes[34] = std::byte {1};
    CHECK(decodePacket(bytes).error() == error::Malformed);
    bytes[34] = std::byte {0};
    bytes[0] = std::byte {0x21};
    CHECK(decodePacket(bytes).error() == error::Malformed);
    CHECK(decodePacket(withData(std::string(1201, 'x'))).error() == error::Malformed);
    CHECK(decodePacket(withData(std::string(1200, 'x'))));
    CHECK(decodePacket(withData("", 0x30)).value().isFromUpstream);
    CHECK(decodePacket(withData("", 0x18)).value().isClosing);
    CHECK(decodePacket(withData("", 0x40)).value().isReset);
}

TEST_CASE("The wire identifier of an upstream is parsed from its name", "[platform]")
{
    CHECK(parseWireId("i-7f3a91c2") == 0x7f3a91c2U);
    CHECK(parseWireId("i-86AFC28B9F") == 0x86afc28b9fU);
    CHECK_FALSE(parseWireId("i-"));
    CHECK_FALSE(parseWireId("i-00112233445566778"));
}

TEST_CASE("The request id is found in the payload of a request", "[platform]")
{
    const auto packet = withData("POST /p HTTP/1.1\r\nX-Attempt-Id: 0af3\r\nHost: h\r\n\r\n");
    CHECK(findRequestId(packet) == "0af3");
    CHECK(findRequestId(withData("GET / HTTP/1.1\r\n\r\n")).empty());
    CHECK(findRequestId(withData("X-Attempt-Id: 7")).empty());
    CHECK(findRequestId(withData("")).empty());
}

TEST_CASE("An upstream's announcement is decoded", "[platform]")
{
    const auto announced = decodeAnnouncement("i-7f", entryText(R"("born":1700000000123)"));
    REQUIRE(announced);
    CHECK(announced.value().name == "i-7f");
    CHECK(announced.value().wireId == 0x7f);
    CHECK(announced.value().service == "s1");
    CHECK(toString(announced.value().address) == "10.1.2.3:8080");
    CHECK(announced.value().domain == "a");
    CHECK(announced.value().slots == 3);
    CHECK(announced.value().warmupLeft == 500ms);
    CHECK(announced.value().startedAtMs == 1700000000123);
    CHECK_FALSE(announced.value().isDraining);
    CHECK(decodeAnnouncement("i-7f", entryWith("state", "\"draining\"")).value().isDraining);
}

TEST_CASE("An announcement with a missing or mistyped field is rejected", "[platform]")
{
    // Other clients of the store may write such entries.
    for (const char *field : {"service", "address", "zone", "version", "slots", "state",
                              "warmup_left_ms", "sequence"}) {
        CAPTURE(field);
        CHECK_FALSE(decodeAnnouncement("i-7f", entryWith(field, "")));
        CHECK_FALSE(decodeAnnouncement("i-7f", entryWith(field, "null")));
        CHECK_FALSE(decodeAnnouncement("i-7f", entryWith(field, "[1]")));
        CHECK_FALSE(decodeAnnouncement("i-7f", entryWith(field, "1.5")));
    }
    CHECK_FALSE(decodeAnnouncement("i-7f", entryWith("state", "\"resting\"")));
    CHECK_FALSE(decodeAnnouncement("i-7f", entryWith("slots", "0")));
    CHECK_FALSE(decodeAnnouncement("i-7f", entryWith("slots", "\"3\"")));
    CHECK_FALSE(decodeAnnouncement("i-7f", entryWith("address", "\"10.1.2.3\"")));
    CHECK_FALSE(decodeAnnouncement("i-7f", entryText(R"("born":"yesterday")")));
    CHECK_FALSE(decodeAnnouncement("i-7f", entryText(R"("born":1.5)")));
    CHECK_FALSE(decodeAnnouncement("i-7f", "\xff\xfe"));
    CHECK_FALSE(decodeAnnouncement("i-7f", "{\"service\":\"\xff\"}"));
    CHECK_FALSE(decodeAnnouncement("i-7f", std::string(100000, '[')));
    CHECK_FALSE(decodeAnnouncement("i-zz", "[]"));
}

TEST_CASE("The operators' configuration is decoded", "[platform]")
{
    const auto config = decodeConfig(
        R"({"version":7,"routes":[
            {"name":"r1","host":"198.18.0.1","prefix":"/8443/","route_type":"idempotent",
             "timeout_ms":1200,"target_latency_ms":200,"priority":2,
             "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
            {"name":"r2","host":"198.18.0.2","prefix":"/443/","route_type":"non_idempotent",
             "timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"s1"},
            {"name":"no service","host":"198.18.0.3","prefix":"/443/"},
            {"name":"no port","host":"198.18.0.3","prefix":"443","service":"s1"},
            {"name":"no host","prefix":"/443/","service":"s1"}, 17],
           "services":[{"name":"s1","warmup_s":2.0,"warmup_per_s":12.5},
                       {"name":"s2","warmup_s":2.0,"warmup_per_s":0.0},
                       {"name":"s3"},{"name":"s4","warmup_per_s":"x"},{"warmup_per_s":3},7],
           "limits":{"idle_timeout_ms":15000}})");
    REQUIRE(config);
    CHECK(config.value().version == 7);
    CHECK(config.value().idleTimeout == 15s);
    CHECK(config.value().warmupRates == std::map<std::string, double> {{"s1", 12.5}});
    REQUIRE(config.value().routes.size() == 2);
    const route &first = config.value().routes[0];
    CHECK(toString(first.address) == "198.18.0.1:8443");
    CHECK(first.targets == std::vector<route_target> {{"s1", 90}, {"s2", 10}});
    CHECK(first.isIdempotent);
    CHECK(first.targetLatency == 200ms);
    const route &second = config.value().routes[1];
    CHECK(second.targets == std::vector<route_target> {{"s1", 1}});
    CHECK_FALSE(second.isIdempotent);
    CHECK_FALSE(decodeConfig("{}"));
    CHECK_FALSE(decodeConfig(R"({"version":0,"routes":[]})"));
    CHECK_FALSE(decodeConfig(R"({"version":1,"routes":{}})"));
}

TEST_CASE("A malformed item in a store response does not affect the other items", "[platform]")
{
    const auto item = [](const std::string &key, const std::string &value) {
        return R"({"key":")" + key + R"(","value":")" + value + R"(","revision":3})";
    };
    const auto reply = decodeReply(R"({"items":[)" + item("servers/i-1", encodeBase64(entryText()))
                                       + "," + item("servers/i-2", "!!!!") + ","
                                       + item("op/other", "") + "," + item("op/config", "AAAA")
                                       + R"(,{"key":"servers/i-3","deleted":true},7],)"
                                         R"("has_more":true,"at_rev":530})",
                                   "items");
    REQUIRE(reply);
    CHECK(reply.value().changes.revision == 530);
    CHECK(reply.value().hasMore);
    CHECK(reply.value().lastKey == "servers/i-3");
    CHECK(reply.value().malformed == 3);
    const auto &changes = reply.value().changes.changes;
    REQUIRE(changes.size() == 3);
    CHECK(std::get<upstream_announcement>(changes[0]).name == "i-1");
    CHECK(std::get<upstream_withdrawal>(changes[1]).isMalformed);
    CHECK(std::get<upstream_withdrawal>(changes[2]).name == "i-3");
    CHECK_FALSE(std::get<upstream_withdrawal>(changes[2]).isMalformed);
    CHECK_FALSE(decodeReply(R"({"items":[]})", "items"));
    CHECK_FALSE(decodeReply(R"({"items":{},"at_rev":1})", "items"));
    CHECK_FALSE(decodeReply("", "items"));
}

TEST_CASE("Base64 round-trips and malformed base64 is rejected", "[platform]")
{
    for (const char *text : {"", "a", "ab", "abc", "abcd", "\x01\xff"}) {
        CHECK(decodeBase64(encodeBase64(text)).value() == text);
    }
    for (const char *text : {"QQ", "QQ=", "Q===", "QQ==QQ==", "QQ*="})
        CHECK_FALSE(decodeBase64(text));
}

TEST_CASE("An instance registration round-trips through its encoding", "[platform]")
{
    const instance_registration own {"f-1", "a\"b", {0x0a000001, 7720}};
    CHECK(decodeRegistration("f-1", encodeRegistration(own)).value() == own);
    CHECK_FALSE(decodeRegistration("f-1", "{}"));
}

namespace {

const std::string settingsText =
    R"({"node_id":"f1","zone":"a","ip":"10.1.0.10","unknown":{"x":1},
        "listen_addrs":{"datagram_addr":"10.1.0.10:8172","ready":"10.1.0.10:8167"},
        "platform":{"address":"10.200.1.7:8169"},"internal_ports":[7720,7735],
        "seeds":["10.2.0.40:8166","nonsense"],
        "bounds":{"config_apply_ms":3000,"drain_ms":2500.5,"contact_ms":5000,"grace_s":6,"flow_ttl_s":60}})";

std::string settingsWith(const std::string &from, const std::string &to)
{
    std::string text = settingsText;
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("Settings are decoded and unknown fields ignored", "[platform]")
{
    std::vector<settings_problem> problems;
    const auto settings = decodeSettings(settingsText, problems);
    CHECK(problems.empty());
    CHECK(settings.name == "f1");
    CHECK(settings.domain == "a");
    CHECK(toString(settings.dataAddress) == "10.1.0.10:8172");
    CHECK(toString(settings.statusAddress) == "10.1.0.10:8167");
    CHECK(toString(settings.storeAddress) == "10.200.1.7:8169");
    CHECK(toString(settings.peerAddress) == "10.1.0.10:7720");
    REQUIRE(settings.seeds.size() == 1);
    CHECK(toString(settings.seeds[0]) == "10.2.0.40:7720");
    CHECK(settings.drainBound == 2500ms);
    CHECK(settings.disruptionWindow == 5s);
    CHECK(settings.evacuationBound == 0s);
    CHECK(settings.stopGrace == 6s);
    CHECK(settings.flowLifetime == 60s);
}

TEST_CASE("The tightest of the bounds limits the age of the state", "[platform]")
{
    std::vector<settings_problem> problems;
    const auto settings = decodeSettings(
        settingsWith("\"grace_s\":6", "\"grace_s\":6,\"evacuate_ms\":1500"), problems);
    CHECK(problems.empty());
    CHECK(settings.evacuationBound == 1500ms);
    CHECK(propagationBound(settings) == 1500ms);
}

TEST_CASE("The interval between announcements of an upstream is optional", "[platform]")
{
    std::vector<settings_problem> problems;
    CHECK(decodeSettings(settingsText, problems).announcementInterval == 0s);
    const auto settings =
        decodeSettings(settingsWith("\"zone\"", "\"heartbeat_ms\":1200,\"zone\""), problems);
    CHECK(problems.empty());
    CHECK(settings.announcementInterval == 1200ms);
}

TEST_CASE("An invalid setting is reported with its path", "[platform]")
{
    struct bad_case
    {
        const char *from;
        const char *to;
        const char *path;
    };
    for (const bad_case &item :
         {bad_case {"\"node_id\":\"f1\"", "\"node_id\":7", "node_id"},
          bad_case {"10.1.0.10:8172", "10.1.0.10", "listen_addrs.datagram_addr"},
          bad_case {"10.200.1.7:8169", "10.200.1.7:0", "platform.address"},
          bad_case {"7720", "80", "internal_ports.0"},
          bad_case {"\"zone\"", "\"heartbeat_ms\":-1,\"zone\"", "heartbeat_ms"},
          bad_case {"\"grace_s\":6", "\"grace_s\":-1", "bounds.grace_s"},
          bad_case {"\"grace_s\":6", "\"grace_s\":6,\"evacuate_ms\":\"x\"", "bounds.evacuate_ms"},
          bad_case {"10.200.1.7:8169\"", "10.200.1.7:8169\",\"history_s\":1e300",
                    "platform.history_s"},
          bad_case {"10.200.1.7:8169\"", "10.200.1.7:8169\",\"max_value_bytes\":1e300",
                    "platform.max_value_bytes"},
          bad_case {"\"zone\"", "\"limits\":{\"link_mbps\":1e300},\"zone\"", "limits.link_mbps"},
          bad_case {"\"flow_ttl_s\":60", "\"ttl\":60", "bounds.flow_ttl_s"}}) {
        CAPTURE(item.path);
        std::vector<settings_problem> problems;
        decodeSettings(settingsWith(item.from, item.to), problems);
        REQUIRE(problems.size() == 1);
        CHECK(problems[0].path == item.path);
        CHECK_FALSE(problems[0].reason.empty());
    }
    std::vector<settings_problem> problems;
    decodeSettings("[", problems);
    CHECK(problems.size() == 1);
}
