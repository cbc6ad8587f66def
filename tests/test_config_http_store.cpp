/**
 * @file test_config_http_store.cpp
 * The HTTP client against a small server that answers with fixed texts.
 */

#include "core/core_error.h"
#include "platform/http_store_func.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace chicoryhead;

namespace {

/** Answers connections one after another with given texts, and keeps the requests. */
class scripted_server
{
public:
    explicit scripted_server(std::vector<std::string> answers)
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_thread([this, answers = std::move(answers)] { serve(answers); })
    {
    }
    ~scripted_server() { m_thread.join(); }

    http_store_settings settings() const
    {
        http_store_settings settings;
        settings.baseUrl = "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        return settings;
    }

    /** The requests, once all answers were given. */
    std::string requests() const { return m_requests.get_future().get(); }

private:
    void serve(const std::vector<std::string> &answers)
    {
        std::string requests;
        for (const auto &answer : answers) {
            asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
            const auto length = request.find("Content-Length: ");
            const auto body = request.find("\r\n\r\n") + 4;
            const auto bytes =
                length == std::string::npos ? 0 : std::stoul(request.substr(length + 16));
            std::error_code code;
            if (request.size() < body + bytes)
                asio::read(socket, asio::dynamic_buffer(request),
                           asio::transfer_exactly(body + bytes - request.size()), code);
            requests +=
                request.substr(0, request.find(" HTTP")) + " " + request.substr(body) + '\n';
            asio::write(socket, asio::buffer(answer), code);
        }
        m_requests.set_value(requests);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    mutable std::promise<std::string> m_requests;
    std::thread m_thread;
};

std::string answer(const std::string &status, const std::string &body, unsigned index = 7)
{
    return "HTTP/1.1 " + status + "\r\nX-Consul-Index: " + std::to_string(index)
        + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/** Runs one call and waits for its result, which arrives in the client's thread. */
template<typename Value, typename Call>
result<Value> await(const http_store_settings &settings, Call call)
{
    std::promise<result<Value>> promise;
    const auto store = makeHttpStore(settings, [](const auto &task) { task(); });
    call(*store, [&promise](result<Value> value) { promise.set_value(std::move(value)); });
    return promise.get_future().get();
}

result<key_value> awaitGet(const http_store_settings &settings)
{
    return await<key_value>(settings,
                            [](auto &store, auto done) { store.get("a/b", std::move(done)); });
}

result<bool> awaitPut(const http_store_settings &settings)
{
    return await<bool>(
        settings, [](auto &store, auto done) { store.put("a/b", "text", 0, std::move(done)); });
}

} // namespace

TEST_CASE("values are read in base64, and a missing key has no index", "[config][http]")
{
    scripted_server server({answer("200 OK", R"([{"ModifyIndex":5,"Value":"AAFiYw=="}])"),
                            answer("404 Not Found", ""),
                            answer("200 OK", R"([{"ModifyIndex":5,"Value":"!"}])"),
                            answer("500 Error", "No cluster leader")});
    const auto found = awaitGet(server.settings());
    REQUIRE(found);
    CHECK(found.value().value == std::string("\0\1bc", 4));
    CHECK(found.value().modifyIndex == 5);
    const auto missing = awaitGet(server.settings());
    REQUIRE(missing);
    CHECK(missing.value().modifyIndex == 0);
    CHECK(awaitGet(server.settings()).error() == error::StoreUnavailable);
    CHECK(awaitGet(server.settings()).error() == error::StoreUnavailable);
    CHECK(server.requests().starts_with("GET /v1/kv/a/b \n"));
}

TEST_CASE("a write whose fate isn't known is never reported as not written", "[config][http]")
{
    scripted_server server({answer("200 OK", "true"), answer("200 OK", "false\n"),
                            answer("500 Error", ""), "", answer("403 Forbidden", "")});
    CHECK(awaitPut(server.settings()).value());
    CHECK_FALSE(awaitPut(server.settings()).value());
    CHECK(awaitPut(server.settings()).error() == error::OutcomeUnknown);
    CHECK(awaitPut(server.settings()).error() == error::OutcomeUnknown);
    CHECK(awaitPut(server.settings()).error() == error::StoreUnavailable);
    CHECK(server.requests().starts_with("PUT /v1/kv/a/b?cas=0 text\n"));
}

TEST_CASE("a write to a server that can't be reached was surely not written", "[config][http]")
{
    http_store_settings settings;
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        settings.baseUrl = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }
    CHECK(awaitPut(settings).error() == error::StoreUnavailable);
}

TEST_CASE("a watch on a missing key waits on, instead of returning at once", "[config][http]")
{
    scripted_server server({answer("404 Not Found", "", 40),
                            answer("200 OK", R"([{"ModifyIndex":41,"Value":"MQ=="}])", 41)});
    const auto found = await<key_value>(server.settings(), [](auto &store, auto done) {
        store.watch("head", 0, std::chrono::seconds(30), std::move(done));
    });
    REQUIRE(found);
    CHECK(found.value().modifyIndex == 41);
    const std::string requests = server.requests();
    CHECK(requests.starts_with("GET /v1/kv/head?index=1&wait="));
    CHECK(requests.find("GET /v1/kv/head?index=40&wait=") != std::string::npos);
}

TEST_CASE("keys and instances are listed, and foreign lines are left out", "[config][http]")
{
    scripted_server server(
        {answer("200 OK", R"(["a/1","a/2"])"),
         answer("200 OK", R"([{"Service":{"ID":"12","Address":"10.0.0.1","Port":7000,
            "Meta":{"domain":"3","state":"leaving"}}},{"Service":{"ID":"web"}},5])")});
    const auto keys = await<std::vector<std::string>>(
        server.settings(), [](auto &store, auto done) { store.listKeys("a/", std::move(done)); });
    REQUIRE(keys);
    CHECK(keys.value() == std::vector<std::string> {"a/1", "a/2"});
    // A parameter without a value got lost in a server's parser, which then listed nothing.
    const std::string keysRequest = "GET /v1/kv/a/?keys=true";
    const auto instances = await<std::vector<listed_instance>>(
        server.settings(), [](auto &store, auto done) { store.listInstances(std::move(done)); });
    CHECK(server.requests().starts_with(keysRequest));
    REQUIRE(instances);
    REQUIRE(instances.value().size() == 1);
    CHECK(instances.value()[0].id == instance_id(12));
    CHECK(instances.value()[0].peerAddress == endpoint {0x0a000001, 7000});
    CHECK(instances.value()[0].domain == domain_id(3));
    CHECK(instances.value()[0].leaving);
}
