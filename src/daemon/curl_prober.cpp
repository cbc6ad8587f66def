/**
 * @file curl_prober.cpp
 * Load probes over libcurl's multi interface.
 */

#include "core/core_error.h"
#include "curl_prober_base.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicoryhead {

namespace {

constexpr int pollMs = 1000;
constexpr std::size_t maxBodyBytes = 4096; ///< longer documents are no load reports
constexpr long statusOk = 200;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    const std::size_t bytes = size * count;
    if (body.size() + bytes > maxBodyBytes)
        return 0;
    body.append(data, bytes);
    return bytes;
}

std::uint32_t clamped(const nlohmann::json &document, const char *key)
{
    const auto value = document.value(key, std::uint64_t {0});
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, UINT32_MAX));
}

} // namespace

result<load_report> parseLoadReport(const std::string &document)
{
    const auto json = nlohmann::json::parse(document, nullptr, false);
    if (!json.is_object() || !json.contains("healthy"))
        return error::Malformed;
    try {
        load_report report;
        report.isHealthy = json.at("healthy").get<bool>();
        report.isShedding = json.value("shedding", false);
        report.busySlots = clamped(json, "busy");
        report.queued = clamped(json, "queued");
        report.openFlows = clamped(json, "flows");
        report.startedAt = json.value("started", std::uint64_t {0});
        report.sequence = json.value("sequence", std::uint64_t {0});
        return report;
    } catch (const nlohmann::json::exception &) {
        return error::Malformed;
    }
}

curl_prober::curl_prober(outcome_handler handler, long timeoutMs)
    : m_handler(std::move(handler))
    , m_timeoutMs(timeoutMs)
    , m_multi(curl_multi_init())
    , m_thread([this] { run(); })
{
}

curl_prober::~curl_prober()
{
    m_isStopping = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    curl_multi_cleanup(m_multi);
}

void curl_prober::probe(upstream_id upstream, const endpoint &health)
{
    {
        const std::lock_guard lock(m_mutex);
        m_pending.push_back({upstream, health});
    }
    curl_multi_wakeup(m_multi);
}

void curl_prober::startPending()
{
    std::vector<pending_probe> pending;
    {
        const std::lock_guard lock(m_mutex);
        pending.swap(m_pending);
    }
    for (const auto &next : pending) {
        auto *state = new transfer {next.upstream, {}}; // owned by the handle until it is done
        CURL *handle = curl_easy_init();
        const std::string url = "http://" + toString(next.health) + "/load";
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, m_timeoutMs);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state->body);
        curl_easy_setopt(handle, CURLOPT_PRIVATE, state);
        curl_multi_add_handle(m_multi, handle);
    }
}

void curl_prober::finishTransfers()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL *handle = message->easy_handle;
        const CURLcode code = message->data.result;
        char *pointer = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &pointer);
        const std::unique_ptr<transfer> state(reinterpret_cast<transfer *>(pointer));
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(m_multi, handle);
        curl_easy_cleanup(handle);
        std::optional<load_report> report;
        if (code == CURLE_OK && status == statusOk) {
            if (const auto parsed = parseLoadReport(state->body))
                report = parsed.value();
        }
        m_handler(state->upstream, report);
    }
}

void curl_prober::run()
{
    while (!m_isStopping) {
        startPending();
        int running = 0;
        curl_multi_perform(m_multi, &running);
        finishTransfers();
        curl_multi_poll(m_multi, nullptr, 0, pollMs, nullptr);
    }
}

} // namespace chicoryhead
