/**
 * @file test_cli_server.cpp
 * The client's HTTP requests against the server of an instance, over loopback sockets.
 */

#include "cli/curl_client.h"
#include "core/core_error.h"
#include "http/http_server.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace chicoryhead;

namespace {

/** Accepts any patch; keeps its body. */
class accepting_api : public operator_api
{
public:
    std::string configDocument() const override { return R"({"version":7})"; }
    std::string instancesDocument() const override { return "{}"; }
    std::string upstreamsDocument() const override { return "{}"; }
    std::string flowsDocument() const override { return "{}"; }
    std::string metricsText() const override { return ""; }
    void readAudit(operator_handler handler) override { handler({{}, "[]"}); }
    void submitPatch(const std::string &body, operator_handler handler) override
    {
        lastPatch = body;
        handler({{}, R"({"accepted":true,"version":8})"});
    }
    bool isLive() const override { return true; }
    bool isReady() const override { return true; }

    std::string lastPatch;
};

/** A server that runs in a thread of its own until the object ends. */
class running_server
{
public:
    running_server()
    {
        REQUIRE(!m_server.start());
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~running_server()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string url() const { return "http://" + toString(m_server.localEndpoint()); }

    accepting_api api;

private:
    asio::io_context m_context;
    http_server m_server {m_context, endpoint {0x7f000001, 0}, api, "a-long-enough-token"};
    std::thread m_thread;
};

} // namespace

TEST_CASE("the client reads documents and sends patches", "[cli][http]")
{
    running_server server;
    curl_client client;
    const auto config = client.get(server.url() + "/v1/config");
    REQUIRE(config);
    CHECK(config.value().body == R"({"version":7})");

    const std::string patch = "{\"reason\":\"" + std::string(60000, 'x') + "\"}";
    const auto refused = client.post(server.url() + "/v1/patches", "wrong", patch);
    REQUIRE(refused);
    CHECK(refused.value().status == 401);
    const auto accepted = client.post(server.url() + "/v1/patches", "a-long-enough-token", patch);
    REQUIRE(accepted);
    CHECK(accepted.value().status == 200);
    CHECK(server.api.lastPatch == patch);
}

// An operator may send a change again without care only if nothing was sent the first time.
TEST_CASE("the client tells an unreachable instance from a lost answer", "[cli][http]")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const std::string url =
        "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/v1/patches";
    std::thread closing([&acceptor] {
        auto socket = acceptor.accept();
        std::array<char, 64> buffer {};
        socket.read_some(asio::buffer(buffer));
    });
    curl_client client;
    const auto lost = client.post(url, "", "{}");
    closing.join();
    REQUIRE(lost.has_error());
    CHECK(lost.error() == error::OutcomeUnknown);

    acceptor.close();
    const auto unreachable = client.post(url, "", "{}");
    REQUIRE(unreachable.has_error());
    CHECK(unreachable.error() == std::errc::host_unreachable);
}
