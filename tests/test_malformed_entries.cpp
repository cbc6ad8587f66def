/**
 * @file test_malformed_entries.cpp
 * Entries of other writers among those of upstreams, instances and operators: deeply nested, with
 * numbers out of range, or too long.
 */

#include "entry_support.h"
#include "platform/record_codec.h"
#include "process_deployment.h"
#include "sync/state_codec_func.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <vector>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

std::string repeat(const std::string &text, std::size_t count)
{
    std::string repeated;
    repeated.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        repeated += text;
    return repeated;
}

/// A valid announcement in which one part is replaced.
std::string announcementWith(const std::string &from, const std::string &to)
{
    std::string text = R"({"service":"service-0","address":"127.97.9.1:8080","zone":"d0",)"
                       R"("version":"v1","slots":3,"state":"ready","warmup_left_ms":0,)"
                       R"("sequence":4,"born":1764800000000})";
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// Announcements that no upstream writes.
std::vector<std::string> malformedAnnouncements()
{
    const std::string nested = repeat("[", 200000);
    return {
        "",
        "null",
        "\xff\xfe\x00garbage",
        nested,
        nested + repeat("]", 200000),
        repeat(R"({"a":)", 100000) + "1" + repeat("}", 100000),
        announcementWith(R"("v1")", R"("v1","x":)" + nested + repeat("]", 200000)),
        announcementWith(R"("slots":3)", R"("slots":1e400)"),
        announcementWith(R"("slots":3)", R"("slots":4294967296)"),
        announcementWith(R"("slots":3)", R"("slots":9223372036854775807)"),
        announcementWith(R"("slots":3)", R"("slots":99999999999999999999999999)"),
        announcementWith(R"("slots":3)", R"("slots":2.5)"),
        announcementWith(R"("warmup_left_ms":0)", R"("warmup_left_ms":9223372036854775807)"),
        announcementWith(R"("warmup_left_ms":0)", R"("warmup_left_ms":-1)"),
        announcementWith(R"("sequence":4)", R"("sequence":18446744073709551615)"),
        announcementWith("1764800000000", "1e300"),
        announcementWith("1764800000000", "9223372036854775807"),
        announcementWith("1764800000000", "-9223372036854775808"),
        announcementWith(":8080", ":65536"),
        announcementWith(":8080", ":99999999999999999999"),
        announcementWith(":8080", ":0"),
        announcementWith(":8080", ":-1"),
        announcementWith("127.97.9.1", "999.1.1.1"),
        announcementWith("127.97.9.1:8080", repeat("9", 300000)),
        announcementWith(R"("service-0")", '"' + repeat("s", 600) + '"'),
        announcementWith(R"("service-0")", '"' + repeat("s", 70000) + '"'),
        announcementWith(R"("service-0")", R"("")"),
        announcementWith(R"("service-0")", R"(["service-0"])"),
        announcementWith(R"("d0")", '"' + repeat("z", 70000) + '"'),
        announcementWith(R"("d0")", R"({"zone":"d0"})"),
    };
}

} // namespace

TEST_CASE("An announcement that is accepted can be passed on to other instances", "[malformed]")
{
    // Guards against an entry that the readers of the store accept and that makes the states they
    // send unreadable for all others.
    for (const std::string &text : malformedAnnouncements()) {
        CAPTURE(text.substr(0, 300));
        const auto announced = platform::decodeAnnouncement("i-00ab12", text);
        if (!announced)
            continue;
        state_snapshot snapshot;
        snapshot.revision = 7;
        snapshot.upstreams = {announced.value(), makeUpstream("i-1", "desk", "a")};
        const auto decoded = decodeState(encodeState(snapshot));
        REQUIRE(decoded);
        CHECK(decoded.value().upstreams == snapshot.upstreams);
        CHECK(announced.value().slots > 0);
        CHECK(announced.value().address.port > 0);
    }
}

TEST_CASE("A number out of range makes an announcement malformed", "[malformed]")
{
    // Guards against numbers that are cut to other ones, such as 2^32 slots to none, and times that
    // overflow.
    const std::vector<std::string> malformed {
        announcementWith(R"("slots":3)", R"("slots":4294967296)"),
        announcementWith(R"("slots":3)", R"("slots":4294967299)"),
        announcementWith(R"("slots":3)", R"("slots":1e400)"),
        announcementWith(R"("warmup_left_ms":0)", R"("warmup_left_ms":9223372036854775807)"),
        announcementWith(":8080", ":65536"),
        announcementWith(":8080", ":0"),
        announcementWith(R"("service-0")", '"' + repeat("s", 600) + '"'),
        announcementWith(R"("d0")", '"' + repeat("z", 70000) + '"'),
    };
    for (const std::string &text : malformed) {
        CAPTURE(text.substr(0, 300));
        CHECK_FALSE(platform::decodeAnnouncement("i-00ab12", text));
    }
    CHECK(platform::decodeAnnouncement("i-00ab12", announcementWith("ready", "ready")));
}

TEST_CASE("A configuration that is accepted can be passed on to other instances", "[malformed]")
{
    // Guards against a field of the configuration that makes the states of the readers unreadable.
    const auto routeWith = [](const std::string &fields) {
        return R"({"version":3,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/",)"
            + fields + R"(}],"services":[{"name":"desk","warmup_per_s":1e300}],)"
            + R"("limits":{"idle_timeout_ms":9223372036854775807}})";
    };
    const std::string target = R"({"service":"desk","weight":1},)";
    const std::vector<std::string> texts {
        routeWith(R"("service":"desk","timeout_ms":9223372036854775807)"),
        routeWith(R"("service":"desk","target_latency_ms":-5,"priority":99999999999)"),
        routeWith(R"("service":")" + repeat("s", 600) + '"'),
        routeWith(R"("service":"")"),
        routeWith(R"("split":[)" + repeat(target, 300) + R"({"service":"desk","weight":1}])"),
        routeWith(R"("split":[{"service":"desk","weight":4294967296}])"),
        routeWith(R"("service":"desk","name":")" + repeat("n", 70000) + '"'),
    };
    for (const std::string &text : texts) {
        CAPTURE(text.substr(0, 200));
        const auto config = platform::decodeConfig(text);
        REQUIRE(config);
        state_snapshot snapshot;
        snapshot.revision = 7;
        snapshot.hasConfig = true;
        snapshot.config = config.value();
        const auto decoded = decodeState(encodeState(snapshot));
        REQUIRE(decoded);
        CHECK(decoded.value().config.routes == config.value().routes);
        for (const route &accepted : config.value().routes)
            CHECK(accepted.targets.front().weight > 0);
    }
}

TEST_CASE("Instances follow the store while other writers leave malformed entries in it",
          "[malformed]")
{
    // Guards against instances that end again and again, or that stop following the list of
    // upstreams, because of a single entry.
    process_deployment processes(malformedEntriesSlot);
    auto &deployment = processes.deployment();
    auto &store = deployment.store();
    const auto upstream = deployment.upstreamsOf(0).front();
    REQUIRE(processes.awaitInForce(10s, deployment.config().version, upstream, "ready"));
    // Two of the three instances read the store from then on.
    processes.runFor(4s);

    unsigned number = 0;
    for (const std::string &text : malformedAnnouncements()) {
        store.put("servers/i-0dd" + std::to_string(++number), text);
        store.put("chicoryhead/instances/other-" + std::to_string(number), text);
    }
    store.put("servers/", announcementWith("ready", "ready"));
    store.put("servers/no-upstream", announcementWith("ready", "ready"));
    store.put("servers/i-" + repeat("a", 180), announcementWith("ready", "ready"));
    store.put("chicoryhead/instances/other",
              R"({"domain":")" + repeat("d", 70000) + R"(","peer_address":"127.97.9.2:7720"})");
    store.put("op/evacuate/" + repeat("z", 180), "");
    processes.runFor(500ms);
    deployment.drainUpstream(upstream);
    deployment.putConfig();
    CHECK(processes.awaitInForce(3s, deployment.config().version, upstream, "draining"));

    // An instance that starts reads the list at once.
    auto &restarted = *deployment.instances().back().program;
    restarted.signal(SIGKILL);
    processes.runFor(200ms);
    REQUIRE(restarted.pollExitStatus());
    restarted.start();
    CHECK(processes.awaitInForce(5s, deployment.config().version, upstream, "draining"));
    for (const auto &instance : deployment.instances())
        CHECK_FALSE(instance.program->pollExitStatus());
    // No message of an instance is refused by another one.
    processes.runFor(1s);
    for (const auto &instance : deployment.instances()) {
        const auto metrics = processes.readText(instance, "/metrics");
        CHECK(metrics.find("chicoryhead_peer_messages_malformed 0\n") != std::string::npos);
    }
}
