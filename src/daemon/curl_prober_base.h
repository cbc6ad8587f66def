/**
 * @file curl_prober_base.h
 * Asks upstreams for their load over HTTP.
 */

#pragma once

#include "balance/balance_base.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace chicoryhead {

/**
 * Parses the JSON document of an upstream's load endpoint.
 * @return error::Malformed when it is no such document.
 */
result<load_report> parseLoadReport(const std::string &document);

/** Runs probes with libcurl on a thread of its own, so that no probe delays a packet. */
class curl_prober : public load_prober
{
public:
    /** Takes the outcome of a probe; none when it failed. Called in the prober's thread. */
    using outcome_handler = std::function<void(upstream_id, std::optional<load_report>)>;

    /** @param timeout of a probe, in milliseconds. */
    curl_prober(outcome_handler handler, long timeoutMs);
    ~curl_prober() override;

    void probe(upstream_id upstream, const endpoint &health) override;

private:
    struct pending_probe
    {
        upstream_id upstream = noUpstream;
        endpoint health;
    };
    struct transfer
    {
        upstream_id upstream = noUpstream;
        std::string body;
    };

    void run();
    void startPending();
    void finishTransfers();

    outcome_handler m_handler;
    long m_timeoutMs;
    void *m_multi;      ///< CURLM
    std::mutex m_mutex; ///< guards m_pending
    std::vector<pending_probe> m_pending;
    std::atomic<bool> m_isStopping {false};
    std::thread m_thread;
};

} // namespace chicoryhead
