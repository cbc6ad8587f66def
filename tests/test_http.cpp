/**
 * @file test_http.cpp
 * Routing, authorization and documents of the operators' HTTP interface.
 */

#include "core/core_error.h"
#include "http/document_func.h"
#include "http/http_func.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <optional>

using namespace chicoryhead;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** Answers patches and audit with one outcome and counts calls. */
class outcome_api : public operator_api
{
public:
    std::string configDocument() const override { return "config"; }
    std::string instancesDocument() const override { return "instances"; }
    std::string upstreamsDocument() const override { return "upstreams"; }
    std::string flowsDocument() const override { return "flows"; }
    std::string metricsText() const override { return "metrics"; }
    void readAudit(operator_handler handler) override { handler(outcome); }
    void submitPatch(const std::string & /*body*/, operator_handler handler) override
    {
        ++patches;
        handler(outcome);
    }
    bool isLive() const override { return true; }
    bool isReady() const override { return true; }

    operator_outcome outcome {{}, "document"};
    int patches = 0;
};

operator_response ask(operator_api &api, const operator_request &request, std::string_view token)
{
    std::optional<operator_response> answer;
    handleRequest(api, token, request, [&answer](const operator_response &response) {
        REQUIRE_FALSE(answer.has_value());
        answer = response;
    });
    REQUIRE(answer.has_value());
    return *answer;
}

int patchStatus(std::error_code code)
{
    outcome_api api;
    api.outcome.code = code;
    return ask(api, {"POST", "/v1/patches", "", "{}"}, "").status;
}

/** One service with two upstreams, the second one leaving; this instance is 1 of 2. */
blackboard sampleBoard()
{
    auto service = std::make_shared<service_config>();
    service->name = "gate";
    service->upstreams.resize(2);
    service->upstreams[0].id = upstream_id {4};
    service->upstreams[0].name = "g1";
    service->upstreams[1].id = upstream_id {5};
    service->upstreams[1].name = "g2";
    service->upstreams[1].mode = upstream_mode::Leaving;
    service->upstreams[1].finalTime = 1700000000s;
    auto config = std::make_shared<configuration>();
    config->version = 9;
    config->services[service_id {1}] = service;

    blackboard board;
    board.config = config;
    board.self.id = instance_id {1};
    board.members[instance_id {1}].state = member_state::Ready;
    member &other = board.members[instance_id {2}];
    other.state = member_state::Suspect;
    other.version = 8;
    other.since = 2s;
    upstream_state &state = board.upstreams[upstream_id {4}];
    state.condition = upstream_condition::Deflected;
    state.loadPermille = 1500;
    state.reportedAt = 3s;
    return board;
}

} // namespace

TEST_CASE("each path of the interface has its answer", "[http]")
{
    outcome_api api;
    for (const auto &[path, body] :
         {std::pair {"/v1/config", "config"}, std::pair {"/v1/instances", "instances"},
          std::pair {"/v1/upstreams", "upstreams"}, std::pair {"/v1/flows", "flows"},
          std::pair {"/v1/audit", "document"}, std::pair {"/metrics", "metrics"},
          std::pair {"/healthz", "ok\n"}, std::pair {"/readyz", "ok\n"}}) {
        const auto response = ask(api, {"GET", path, "", ""}, "token");
        CHECK(response.status == 200);
        CHECK(response.body == body);
    }
}

TEST_CASE("other paths and methods get an error document", "[http]")
{
    outcome_api api;
    const auto missing = ask(api, {"GET", "/v1/nothing\xff", "", ""}, "");
    CHECK(missing.status == 404);
    CHECK(json::parse(missing.body)["status"] == 404);
    const auto wrongMethod = ask(api, {"DELETE", "/v1/patches", "", ""}, "");
    CHECK(wrongMethod.status == 405);
    CHECK(wrongMethod.allow == "POST");
    CHECK(api.patches == 0);
}

// Operators' scripts tell a refused patch from one that may have taken effect by the status.
TEST_CASE("the outcome of a patch decides the status", "[http]")
{
    CHECK(patchStatus({}) == 200);
    CHECK(patchStatus(error::Malformed) == 400);
    CHECK(patchStatus(error::VersionConflict) == 409);
    CHECK(patchStatus(error::ValidationFailed) == 422);
    CHECK(patchStatus(error::StoreUnavailable) == 503);
    CHECK(patchStatus(error::OutcomeUnknown) == 504);
    CHECK(patchStatus(error::Full) == 500);

    outcome_api api;
    api.outcome = {error::StoreUnavailable, ""};
    const auto response = ask(api, {"GET", "/v1/audit", "", ""}, "");
    CHECK(json::parse(response.body)["error"] == "store unavailable");
}

TEST_CASE("a patch needs exactly the token that is set", "[http]")
{
    CHECK(isAuthorized("", ""));
    CHECK(isAuthorized("Bearer abc", "abc"));
    for (const char *header : {"", "abc", "Bearer", "Bearer ", "Bearer ab", "Bearer abcd",
                               "bearer abc", "Basic abc", "Bearer abc "}) {
        INFO(header);
        CHECK_FALSE(isAuthorized(header, "abc"));
    }
    outcome_api api;
    CHECK(ask(api, {"POST", "/v1/patches", "Bearer no", "{}"}, "abc").status == 401);
    CHECK(ask(api, {"POST", "/v1/patches", "Bearer abc", "{"}, "abc").status == 400);
    const std::string large(maxRequestBody + 1, ' ');
    CHECK(ask(api, {"POST", "/v1/patches", "Bearer abc", large}, "abc").status == 413);
    CHECK(api.patches == 0);
    CHECK(ask(api, {"POST", "/v1/patches", "Bearer abc", "{}"}, "abc").status == 200);
    CHECK(api.patches == 1);
}

TEST_CASE("the document of instances has states and versions", "[http]")
{
    const auto document = json::parse(renderInstances(sampleBoard(), 5s));
    CHECK(document["self"] == 1);
    CHECK(document["version"] == 9);
    // The own entry has the version in force, whatever membership wrote into it.
    CHECK(document["instances"][0]["version"] == 9);
    CHECK(document["instances"][1]["version"] == 8);
    CHECK(document["instances"][1]["state"] == "suspect");
    CHECK(document["instances"][1]["since_ms"] == 3000);
}

TEST_CASE("the document of upstreams tells no report from no load", "[http]")
{
    const auto document = json::parse(renderUpstreams(sampleBoard(), 5s));
    const auto &rows = document["upstreams"];
    REQUIRE(rows.size() == 2);
    CHECK(rows[0]["condition"] == "deflected");
    CHECK(rows[0]["load"] == 1.5);
    CHECK(rows[0]["report_age_ms"] == 2000);
    CHECK(rows[0]["final_time"].is_null());
    CHECK(rows[1]["load"].is_null());
    CHECK(rows[1]["mode"] == "leaving");
    CHECK(rows[1]["final_time"] == 1700000000);
}

// Guards a drain: an upstream without flows must appear with 0, a removed one must not vanish.
TEST_CASE("the document of flows has every upstream", "[http]")
{
    const std::vector<upstream_flow_count> flows {{upstream_id {4}, 10}, {upstream_id {99}, 2}};
    const auto document = json::parse(renderFlows(sampleBoard(), flows, 6));
    CHECK(document["flows"] == 12);
    CHECK(document["records"] == 6);
    const auto &rows = document["upstreams"];
    REQUIRE(rows.size() == 3);
    CHECK(rows[0]["flows"] == 10);
    CHECK(rows[1]["flows"] == 0);
    CHECK(rows[2]["service"].is_null());
    CHECK(rows[2]["flows"] == 2);
}
