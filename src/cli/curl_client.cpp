/**
 * @file curl_client.cpp
 * The client's HTTP requests with libcurl.
 */

#include "curl_client.h"

#include "core/core_error.h"

#include <curl/curl.h>

#include <memory>

namespace chicoryhead {

namespace {

constexpr long connectTimeoutMs = 3'000;
/// Longer than the server's time to handle a request, 30 s, so that its answer is not missed.
constexpr long requestTimeoutMs = 35'000;

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using curl_headers = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t appendBody(const char *data, std::size_t size, std::size_t count, void *user)
{
    static_cast<std::string *>(user)->append(data, size * count);
    return size * count;
}

curl_handle makeHandle(const std::string &url, std::string &body)
{
    curl_handle handle(curl_easy_init(), curl_easy_cleanup);
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http,https");
    // A proxy from the environment would see the operator's token.
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, requestTimeoutMs);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &body);
    return handle;
}

result<client_response> perform(CURL *handle, const std::string &body)
{
    const CURLcode code = curl_easy_perform(handle);
    if (code != CURLE_OK) {
        long sentBytes = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sentBytes);
        if (sentBytes > 0)
            return error::OutcomeUnknown;
        return std::make_error_code(std::errc::host_unreachable);
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    return client_response {static_cast<int>(status), body};
}

} // namespace

result<client_response> curl_client::get(const std::string &url)
{
    std::string body;
    const auto handle = makeHandle(url, body);
    auto response = perform(handle.get(), body);
    if (!response)
        return std::make_error_code(std::errc::host_unreachable);
    return response;
}

result<client_response> curl_client::post(const std::string &url, const std::string &token,
                                          const std::string &body)
{
    std::string answer;
    const auto handle = makeHandle(url, answer);
    curl_headers headers(curl_slist_append(nullptr, "Content-Type: application/json"),
                         curl_slist_free_all);
    // Without this libcurl waits up to 1 s for "100 Continue" before it sends a larger body.
    headers.reset(curl_slist_append(headers.release(), "Expect:"));
    if (!token.empty()) {
        const std::string authorization = "Authorization: Bearer " + token;
        headers.reset(curl_slist_append(headers.release(), authorization.c_str()));
    }
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.c_str());
    return perform(handle.get(), answer);
}

} // namespace chicoryhead
