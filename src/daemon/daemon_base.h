/**
 * @file daemon_base.h
 * The process of one entry instance: sockets, timers and HTTP around the instance core.
 */

#pragma once

#include "core/core_base.h"
#include "curl_prober_base.h"
#include "http/http_base.h"
#include "http/http_server.h"
#include "instance/instance_base.h"
#include "metrics/metrics_type.h"
#include "platform/key_value_base.h"
#include "settings/settings_type.h"
#include "system_base.h"
#include "udp_socket_base.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <fstream>
#include <memory>
#include <string>

namespace chicoryhead {

/** Runs one instance until SIGTERM or SIGINT. */
class daemon_process : private packet_sink, private peer_sink, private operator_api
{
public:
    /**
     * @param traceFile where the instance's trace is written; empty for none.
     * @throw std::system_error when an address can't be bound or the file can't be written.
     */
    explicit daemon_process(const daemon_settings &settings, const std::string &traceFile = {});
    ~daemon_process() override;

    /**
     * Serves until the process is told to stop and has drained.
     * @return exit code.
     */
    int run();

private:
    void sendToUpstream(const endpoint &upstream, std::span<const std::byte> packet) override;
    void sendToCaller(std::span<const std::byte> packet) override;
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override;

    std::string configDocument() const override;
    std::string instancesDocument() const override;
    std::string upstreamsDocument() const override;
    std::string flowsDocument() const override;
    std::string metricsText() const override;
    void readAudit(operator_handler handler) override;
    void submitPatch(const std::string &body, operator_handler handler) override;
    bool isLive() const override { return true; }
    bool isReady() const override { return m_instance->isReady(); }

    void onFabricDatagram(std::span<const std::byte> bytes, const endpoint &from);
    void scheduleTick();
    void onSignal(int signal);
    void stop();

    daemon_settings m_settings;
    asio::io_context m_context {1};
    system_clock_source m_clock;
    system_random_source m_random;
    udp_socket m_data;
    udp_socket m_peer;
    std::unique_ptr<key_value_store> m_store;
    std::unique_ptr<curl_prober> m_prober;
    std::ofstream m_traceStream;
    std::unique_ptr<instance> m_instance;
    http_server m_http;
    asio::steady_timer m_timer;
    asio::signal_set m_signals;
    instance_histograms m_histograms;
    std::uint64_t m_packetCount = 0; ///< from the fabric
    bool m_isLeaving = false;
};

} // namespace chicoryhead
