/**
 * @file test_explain.cpp
 * Explanation of where a new flow would go: trace, document and command.
 */

#include "cli/cli_base.h"
#include "entry/explain_document.h"
#include "entry_support.h"
#include "platform/record_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>

using namespace chicoryhead;
using namespace chicoryhead::test;
using nlohmann::json;

namespace {

/** The parts of an instance that decide about new flows of the service "desk". */
struct explain_fixture
{
    explain_fixture()
    {
        routes.apply(makeConfig(7), 0s);
        for (const char *name : {"i-a0", "i-a1", "i-b0", "i-b1"})
            directory.announce(makeUpstream(name, "desk", std::string(1, name[2])), 0s);
    }

    json explain(const std::string &query, monotonic_time now) const
    {
        std::string message;
        const auto parsed = parseExplainQuery(query, message);
        REQUIRE(parsed);
        return json::parse(
            renderExplanation(*parsed, {routes, directory, placement, health, true, 120ms}, now));
    }

    std::string place(monotonic_time now)
    {
        const auto chosen = placement.choose("desk", {}, now);
        return chosen ? directory.find(*chosen)->announced.name : std::string();
    }

    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 2, 42}};
    upstream_health health {directory, "f-1", "a"};
};

const std::string deskQuery = "service=198.18.0.1:443";

std::string reasonFor(const std::string &query)
{
    std::string message;
    return parseExplainQuery(query, message) ? std::string() : message;
}

/** Serves one page and records the path that was asked for. */
class single_page : public page_client
{
public:
    result<std::string> get(const endpoint &server, const std::string &path) override
    {
        asked = toString(server) + path;
        if (body.empty())
            return error::NotFound;
        return body;
    }

    std::string body;
    std::string asked;
};

} // namespace

TEST_CASE("Explaining predicts the next flow and doesn't change it", "[explain]")
{
    // Guards against an explanation that uses up round robin or spillover credit, or the permit for
    // a cold upstream.
    explain_fixture explained;
    explain_fixture other;
    for (explain_fixture *fixture : {&explained, &other}) {
        fixture->placement.setBalancingPolicy({true});
        fixture->placement.setWarmupLimits({{"desk", 20}}, 1);
        auto cold = makeUpstream("i-a2", "desk", "a");
        cold.warmupLeft = 10s;
        fixture->directory.announce(cold, 0s);
        // The local domain is slow, so that part of the flows spills over. The best latency is
        // updated at intervals of 100 ms, by the remote upstreams.
        for (int sample = 0; sample < 10; ++sample) {
            const auto at = 1s + sample * 110ms;
            for (const char *name : {"i-b0", "i-b1"})
                fixture->placement.recordLatency(fixture->directory.find(name)->id, 30ms, at);
            for (const char *name : {"i-a0", "i-a1", "i-a2"})
                fixture->placement.recordLatency(fixture->directory.find(name)->id, 60ms,
                                                 at + 50ms);
        }
    }
    std::map<std::string, int> rules;
    for (int i = 0; i < 200; ++i) {
        const auto now = 3s + i * 7ms;
        const json target = explained.explain(deskQuery, now)["targets"][0];
        const std::string placed = explained.place(now);
        CHECK(target["upstream"] == placed);
        CHECK(other.place(now) == placed);
        ++rules[target["rule"]];
    }
    CHECK(rules["spillover"] > 0);
    CHECK(rules["round_robin_credit"] > 0);
}

TEST_CASE("The document shows route, candidates and the rule that decided", "[explain]")
{
    explain_fixture fixture;
    const auto suspected = fixture.directory.find("i-a0")->id;
    fixture.placement.recordLatency(suspected, 30ms, 1s);
    fixture.placement.recordConnectFailure(suspected, 1s);
    auto draining = fixture.directory.find("i-a1")->announced;
    draining.isDraining = true;
    fixture.directory.announce(draining, 1s);
    const json document = fixture.explain(deskQuery + "&caller=100.64.0.7:40001", 1s);
    CHECK(document["route"] == "desk");
    CHECK(document["service"] == "desk");
    CHECK(document["caller"] == "100.64.0.7:40001");
    CHECK(document["version"] == 7);
    CHECK(document["state_age_ms"] == 120);
    CHECK(document["reason"].is_null());
    const json &target = document["targets"][0];
    CHECK(target["rule"] == "tier");
    REQUIRE(target["candidates"].size() == 4);
    const json &first = target["candidates"][0];
    CHECK(first["name"] == "i-a0");
    CHECK(first["tier"] == "suspected");
    CHECK(first["suspected"] == true);
    CHECK(first["latency_us"] == 30000);
    CHECK(first["verdict"] == "answering");
    CHECK(target["candidates"][1]["tier"] == "none");
    CHECK(target["candidates"][1]["standing"] == "draining");
    CHECK(target["candidates"][2]["tier"] == "remote_domain");
    CHECK(target["candidates"][2]["weight"] == 2);
}

TEST_CASE("The document gives the reason that a packet would be refused with", "[explain]")
{
    explain_fixture fixture;
    const json unknown = fixture.explain("service=198.18.0.9:443", 1s);
    CHECK(unknown["reason"] == "no_route");
    CHECK(unknown["route"].is_null());
    const json empty = fixture.explain("service=198.18.0.2:443", 1s);
    CHECK(empty["route"] == "proofs");
    CHECK(empty["targets"][0]["reason"] == "no_upstream");
    CHECK(empty["targets"][0]["upstream"].is_null());
    CHECK(empty["targets"][0]["rule"] == "none");
}

TEST_CASE("The service of a split route needs caller and sequence number", "[explain]")
{
    // Guards against a wrong service: retransmissions of an opening packet choose it by its hash.
    explain_fixture fixture;
    auto config = makeConfig(8);
    config.routes[0].targets = {{"desk", 1}, {"desk2", 1}};
    fixture.routes.apply(config, 1s);
    CHECK(fixture.explain(deskQuery, 1s)["service"].is_null());
    const auto opening = makeOpening(40001);
    const json document = fixture.explain(deskQuery + "&caller=" + toString(opening.flow.caller)
                                              + "&sequence=" + std::to_string(opening.sequence),
                                          1s);
    CHECK(document["service"]
          == routing_table::selectService(*fixture.routes.find(deskAddress),
                                          mixHash(hashFlow(opening.flow), opening.sequence)));
    CHECK(document["targets"].size() == 2);
}

TEST_CASE("Malformed queries are rejected with a reason", "[explain]")
{
    CHECK(reasonFor("") == "parameter service is missing");
    CHECK(reasonFor("caller=100.64.0.7:1") == "parameter service is missing");
    CHECK(reasonFor("service") == "invalid value of service");
    CHECK(reasonFor("service=198.18.0.1") == "invalid value of service");
    CHECK(reasonFor("service=198.18.0.1:65536") == "invalid value of service");
    CHECK(reasonFor(deskQuery + "&caller=x") == "invalid value of caller");
    CHECK(reasonFor(deskQuery + '&' + deskQuery) == "duplicate parameter service");
    CHECK(reasonFor(deskQuery + "&port=1") == "unknown parameter \"port\"");
    CHECK(reasonFor(deskQuery + '&') == "empty parameter");
    CHECK(reasonFor(deskQuery + "&sequence=1") == "sequence requires caller");
    CHECK(reasonFor(deskQuery + "&caller=100.64.0.7:1&sequence=-1") == "invalid value of sequence");
    CHECK(reasonFor(deskQuery + "&caller=100.64.0.7:1&sequence=1").empty());
}

TEST_CASE("The command prints the explanation of an instance", "[explain]")
{
    explain_fixture fixture;
    single_page pages;
    std::ostringstream out;
    std::ostringstream err;
    std::istringstream in;
    const cli_environment environment {out, err, in, pages, {}, platform::decodeConfig, {}, {}, {}};
    const std::vector<std::string> arguments {"explain", "--instance", "10.0.0.1",
                                              "--service_address", "198.18.0.1:443"};
    CHECK(runCli(arguments, environment) == exit_code::Unavailable);
    CHECK(pages.asked == "10.0.0.1:9102/v1/explain?service=198.18.0.1:443");
    pages.body = "{}";
    CHECK(runCli(arguments, environment) == exit_code::Unavailable);
    CHECK(out.str().empty());
    pages.body = fixture.explain(deskQuery, 1s).dump();
    CHECK(runCli(arguments, environment) == exit_code::Done);
    for (const char *part : {"route      desk\n", "version    7\n", "state age  120 ms\n",
                             "by rule round_robin_credit", "i-b1", "remote_domain"})
        CHECK(out.str().find(part) != std::string::npos);
    CHECK(runCli({"explain", "--instance", "x"}, environment) == exit_code::Usage);
    CHECK(runCli({"explain", "--instance", "10.0.0.1", "--service_address", "1"}, environment)
          == exit_code::Usage);
}

TEST_CASE("An explanation names the load and the connection limit that refuse a flow", "[explain]")
{
    // Guards against an explanation that names an upstream while new flows are refused.
    explain_fixture fixture;
    CHECK(fixture.explain("service=198.18.0.1:443", 1s).at("admission").is_null());
    admission_controller admission(fixture.routes);
    std::string message;
    const auto query = parseExplainQuery("service=198.18.0.1:443", message);
    REQUIRE(query);
    const explain_sources sources {
        fixture.routes, fixture.directory, fixture.placement, fixture.health, true,
        120ms,          &admission};
    const auto document = json::parse(renderExplanation(*query, sources, 1s));
    CHECK(document.at("admission").get<std::string>().find("not overloaded") == 0);

    flow_count counts;
    for (const char *name : {"i-a0", "i-a1", "i-b0", "i-b1"})
        counts.add(fixture.directory.find(name)->id);
    fixture.placement.setFlowCount(&counts);
    fixture.placement.setConnectionLimits({{{"desk", 1}}, {{"a", 1}, {"b", 1}}});
    const auto limited = json::parse(renderExplanation(*query, sources, 1s));
    CHECK(limited.at("targets").at(0).at("reason") == "no_capacity");
    CHECK(limited.at("targets").at(0).at("upstream").is_null());
}
