/**
 * @file http_client.cpp
 * Thread that drives libcurl's multi interface.
 */

#include "http_client_base.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace chicoryhead {

namespace {

constexpr int pollTimeoutMs = 1000;
/// A value of one megabyte in base64 with room for its JSON.
constexpr std::size_t maxBodyBytes = 4U << 20U;
constexpr std::string_view indexHeader = "x-consul-index:";

/** A request that is under way; its address is passed to libcurl. */
struct transfer
{
    http_request request;
    http_client::completion handler;
    http_response response;
    std::size_t sent = 0; ///< bytes of the body
};

std::size_t writeBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = static_cast<transfer *>(target)->response.body;
    const std::size_t bytes = size * count;
    if (body.size() + bytes > maxBodyBytes)
        return 0;
    body.append(data, bytes);
    return bytes;
}

std::size_t readBody(char *data, std::size_t size, std::size_t count, void *source)
{
    auto &item = *static_cast<transfer *>(source);
    const std::size_t bytes = std::min(size * count, item.request.body.size() - item.sent);
    std::copy_n(item.request.body.data() + item.sent, bytes, data);
    item.sent += bytes;
    return bytes;
}

std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    const std::string_view line(data, size * count);
    const bool isIndex = line.size() > indexHeader.size()
        && std::equal(indexHeader.begin(), indexHeader.end(), line.begin(), [](char a, char b) {
                             return a == std::tolower(static_cast<unsigned char>(b));
                         });
    if (isIndex) {
        const auto first = line.find_first_not_of(' ', indexHeader.size());
        if (first != std::string_view::npos)
            std::from_chars(line.data() + first, line.data() + line.size(),
                            static_cast<transfer *>(target)->response.index);
    }
    return line.size();
}

http_progress progressOf(CURLcode code, CURL *handle)
{
    if (code == CURLE_OK)
        return http_progress::Completed;
    // Without a connection the server can't have seen the request; a connection that is used again
    // reports no connect time, but then bytes of the request were sent.
    long requestBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    const bool isConnectError = code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
        || code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
    if (isConnectError || requestBytes == 0)
        return http_progress::NotSent;
    return code == CURLE_OPERATION_TIMEDOUT ? http_progress::TimedOut : http_progress::Broken;
}

} // namespace

/** The thread and what it owns. */
class http_client::worker
{
public:
    worker() : m_multi(curl_multi_init()), m_thread([this] { run(); }) { }

    ~worker()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        curl_multi_wakeup(m_multi);
        m_thread.join();
        for (auto &[handle, item] : m_transfers) {
            curl_multi_remove_handle(m_multi, handle);
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(m_multi);
    }

    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    void send(std::unique_ptr<transfer> item)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_waiting.push_back(std::move(item));
        }
        curl_multi_wakeup(m_multi);
    }

private:
    void run()
    {
        while (startWaiting()) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            finishDone();
            curl_multi_poll(m_multi, nullptr, 0, pollTimeoutMs, nullptr);
        }
    }

    /** Starts the requests that were added; false when the client is being destroyed. */
    bool startWaiting()
    {
        std::vector<std::unique_ptr<transfer>> waiting;
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return false;
            waiting.swap(m_waiting);
        }
        for (auto &item : waiting)
            start(std::move(item));
        return true;
    }

    void start(std::unique_ptr<transfer> item)
    {
        CURL *handle = curl_easy_init();
        const http_request &request = item->request;
        curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
        // The service is named by the settings alone, not by the environment of the process.
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(request.connectTimeout.count()));
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, writeBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, item.get());
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, readHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, item.get());
        if (request.method == "PUT") {
            curl_easy_setopt(handle, CURLOPT_UPLOAD, 1L);
            curl_easy_setopt(handle, CURLOPT_READFUNCTION, readBody);
            curl_easy_setopt(handle, CURLOPT_READDATA, item.get());
            curl_easy_setopt(handle, CURLOPT_INFILESIZE_LARGE,
                             static_cast<curl_off_t>(request.body.size()));
            // Waiting for "100 Continue" would add up to a second to each large write.
            curl_easy_setopt(handle, CURLOPT_EXPECT_100_TIMEOUT_MS, 1L);
        } else if (request.method != "GET") {
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        }
        curl_multi_add_handle(m_multi, handle);
        m_transfers[handle] = std::move(item);
    }

    void finishDone()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURL *handle = message->easy_handle;
            const auto item = std::move(m_transfers.extract(handle).mapped());
            item->response.progress = progressOf(message->data.result, handle);
            if (item->response.progress == http_progress::Completed)
                curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &item->response.status);
            curl_multi_remove_handle(m_multi, handle);
            curl_easy_cleanup(handle);
            item->handler(std::move(item->response));
        }
    }

    CURLM *m_multi;
    std::map<CURL *, std::unique_ptr<transfer>> m_transfers; ///< used by the thread alone
    std::mutex m_mutex;                                      ///< guards the two members below
    std::vector<std::unique_ptr<transfer>> m_waiting;
    bool m_isStopping = false;
    std::thread m_thread; ///< last, because it uses the others from its start
};

http_client::http_client()
{
    // Thread-safe since libcurl 7.84.
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_worker = std::make_unique<worker>();
}

http_client::~http_client() = default;

void http_client::send(http_request request, completion handler)
{
    auto item = std::make_unique<transfer>();
    item->request = std::move(request);
    item->handler = std::move(handler);
    m_worker->send(std::move(item));
}

} // namespace chicoryhead
