/**
 * @file test_status_pages.cpp
 * Status server and documents of an instance.
 */

#include "entry/status_documents.h"
#include "entry/status_server.h"
#include "http/http_connection_base.h"

#include <asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <thread>

using namespace chicoryhead;
using nlohmann::json;

namespace {

/// A loopback address that only this process uses: the server can't choose a free port, and tests
/// run in parallel.
endpoint uniqueLoopbackAddress()
{
    return {0x7f000000 + (static_cast<std::uint32_t>(::getpid() & 0xffff) << 8U) + 1, 28911};
}

} // namespace

TEST_CASE("Pages are served with their status, and unknown paths get 404", "[status]")
{
    asio::io_context context(1);
    status_server server(
        context, uniqueLoopbackAddress(), [](std::string_view path, std::string_view query) {
            if (path == "/ready")
                return status_page {503, "not ready\n"};
            if (path == "/query")
                return status_page {400, std::string(query)};
            return path == "/page" ? status_page {200, "{}", "application/json"} : status_page {};
        });
    REQUIRE_FALSE(server.start());
    asio::executor_work_guard<asio::io_context::executor_type> work(context.get_executor());
    std::thread thread([&context] { context.run(); });
    const auto page = performRequest(uniqueLoopbackAddress(), {"GET", "/page", {}});
    const auto ready = performRequest(uniqueLoopbackAddress(), {"GET", "/ready?x=1", {}});
    const auto query = performRequest(uniqueLoopbackAddress(), {"GET", "/query?a=1:2&b=3", {}});
    const auto missing = performRequest(uniqueLoopbackAddress(), {"GET", "/other", {}});
    context.stop();
    thread.join();
    REQUIRE(page);
    CHECK(page.value().status == 200);
    CHECK(page.value().body == "{}");
    CHECK(ready.value().status == 503);
    CHECK(query.value().status == 400);
    CHECK(query.value().body == "a=1:2&b=3");
    CHECK(missing.value().status == 404);
}

TEST_CASE("An address in use is reported when the status server starts", "[status]")
{
    asio::io_context context(1);
    const auto pages = [](std::string_view /*path*/, std::string_view /*query*/) {
        return status_page {};
    };
    status_server first(context, uniqueLoopbackAddress(), pages);
    status_server second(context, uniqueLoopbackAddress(), pages);
    REQUIRE_FALSE(first.start());
    CHECK(second.start());
}

TEST_CASE("The instance document shows the state of the instance", "[status]")
{
    instance_status status;
    status.name = "f-\"1";
    status.gauges.configVersion = 7;
    status.gauges.stateAgeSeconds = 0.25;
    CHECK(json::parse(renderInstance(status))["state"] == "starting");
    status.gauges.isReady = true;
    const json ready = json::parse(renderInstance(status));
    CHECK(ready["state"] == "ready");
    CHECK(ready["name"] == "f-\"1");
    CHECK(ready["version"] == 7);
    CHECK(ready["state_age_ms"] == 250);
    status.isStopping = true;
    CHECK(json::parse(renderInstance(status))["state"] == "stopping");
}

TEST_CASE("The upstream document is sorted by service and name", "[status]")
{
    upstream_record a;
    a.announced.service = "desk";
    a.announced.name = "i-2";
    upstream_record b = a;
    b.announced.name = "i-1";
    b.lifecycle = lifecycle_state::Draining;
    const json document =
        json::parse(renderUpstreams({{&a, true, std::chrono::milliseconds(3), 4}, {&b}}));
    REQUIRE(document["upstreams"].size() == 2);
    CHECK(document["upstreams"][0]["standing"] == "draining");
    CHECK(document["upstreams"][1]["suspected"] == true);
    CHECK(document["upstreams"][1]["latency_us"] == 3000);
    CHECK(document["upstreams"][1]["flows"] == 4);
}
