/**
 * @file http_client_base.h
 * HTTP requests over libcurl, carried out in a thread of their own.
 */

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicoryhead {

/** One request. */
struct http_request
{
    std::string method = "GET";
    std::string url;
    std::string body; ///< for PUT
    std::chrono::milliseconds timeout {2000};
    std::chrono::milliseconds connectTimeout {1000};
};

/** How far a request got. */
enum class http_progress : std::uint8_t {
    NotSent,   ///< no connection; the server can't have seen it
    TimedOut,  ///< sent, but not answered in time
    Broken,    ///< sent, but the connection failed
    Completed, ///< answered
};

/** Answer to a request. */
struct http_response
{
    http_progress progress = http_progress::NotSent;
    long status = 0; ///< HTTP status code; 0 unless completed
    std::string body;
    std::uint64_t index = 0; ///< header X-Consul-Index; 0 when missing
};

/** Carries out requests concurrently in one thread. */
class http_client
{
public:
    /** Called in the client's thread, at most once. */
    using completion = std::function<void(http_response)>;

    http_client();
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** Starts a request; may be called from any thread. */
    void send(http_request request, completion handler);

private:
    class worker;
    std::unique_ptr<worker> m_worker;
};

} // namespace chicoryhead
