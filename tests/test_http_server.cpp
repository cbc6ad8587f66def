/**
 * @file test_http_server.cpp
 * The HTTP server over a loopback socket.
 */

#include "core/core_error.h"
#include "http/http_server.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace chicoryhead;

namespace {

/** Answers with fixed documents and keeps the last patch. */
class fixed_api : public operator_api
{
public:
    std::string configDocument() const override { return R"({"version":7})"; }
    std::string instancesDocument() const override { return "{}"; }
    std::string upstreamsDocument() const override { return "{}"; }
    std::string flowsDocument() const override { return "{}"; }
    std::string metricsText() const override { return "up 1\n"; }
    void readAudit(operator_handler handler) override { handler({error::StoreUnavailable, {}}); }
    void submitPatch(const std::string &body, operator_handler handler) override
    {
        lastPatch = body;
        pending = std::move(handler);
    }
    bool isLive() const override { return true; }
    bool isReady() const override { return false; }

    std::string lastPatch;
    operator_handler pending;
};

struct server_fixture
{
    asio::io_context context;
    fixed_api api;
    http_server server {context, endpoint {0x7f000001, 0}, api, "secret"};

    server_fixture() { REQUIRE(!server.start()); }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), server.localEndpoint().port});
        return socket;
    }

    /** Sends a request and runs the server until it closes the connection or has answered. */
    std::string exchange(const std::string &request)
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(request));
        std::string answer;
        bool done = false;
        asio::async_read(socket, asio::dynamic_buffer(answer),
                         [&done](const std::error_code &, std::size_t) { done = true; });
        while (!done) {
            context.run_one();
            if (api.pending)
                std::exchange(api.pending, nullptr)({error::VersionConflict, R"({"version":9})"});
        }
        return answer;
    }
};

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
}

std::string post(const std::string &body, const std::string &token)
{
    return "POST /v1/patches HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer "
        + token + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool hasStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

// Guards against a server that parses the request but does not pass on path, body or headers.
TEST_CASE("the server passes requests to the instance and its answers back", "[http]")
{
    server_fixture fixture;
    const std::string config = fixture.exchange(get("/v1/config?x=1"));
    CHECK(hasStatus(config, 200));
    CHECK(config.ends_with(R"({"version":7})"));
    CHECK(hasStatus(fixture.exchange(get("/readyz")), 503));
    CHECK(hasStatus(fixture.exchange(get("/v1/audit")), 503));

    const std::string refused = fixture.exchange(post(R"({"id":"a"})", "secret"));
    CHECK(hasStatus(refused, 409));
    CHECK(refused.ends_with(R"({"version":9})"));
    CHECK(fixture.api.lastPatch == R"({"id":"a"})");
}

// Guards against input that changes something although it must be refused.
TEST_CASE("the server refuses bad patches before they reach the instance", "[http]")
{
    server_fixture fixture;
    CHECK(hasStatus(fixture.exchange(post("{}", "wrong")), 401));
    CHECK(hasStatus(fixture.exchange(post("{", "secret")), 400));
    CHECK(hasStatus(fixture.exchange(post(std::string(70000, ' '), "secret")), 413));
    CHECK_FALSE(hasStatus(fixture.exchange(post(std::string(200000, ' '), "secret")), 200));
    CHECK_FALSE(hasStatus(fixture.exchange("rubbish\r\n\r\n"), 200));
    CHECK(fixture.api.lastPatch.empty());
}

// Guards against a handler that uses the instance after the server was stopped.
TEST_CASE("an open connection gets 503 after the server was stopped", "[http]")
{
    server_fixture fixture;
    auto socket = fixture.connect();
    fixture.context.poll();
    fixture.server.stop();
    asio::write(socket, asio::buffer(get("/v1/config")));
    std::string answer;
    bool done = false;
    asio::async_read(socket, asio::dynamic_buffer(answer),
                     [&done](const std::error_code &, std::size_t) { done = true; });
    while (!done)
        fixture.context.run_one();
    CHECK((answer.empty() || hasStatus(answer, 503)));
}

TEST_CASE("an address in use is reported when the server starts", "[http]")
{
    server_fixture fixture;
    http_server second(fixture.context, fixture.server.localEndpoint(), fixture.api, "");
    CHECK(second.start() == std::errc::address_in_use);
}
