/**
 * @file daemon.cpp
 * Wiring of the daemon.
 */

#include "daemon_base.h"

#include "config/config_json_func.h"
#include "core/log_func.h"
#include "http/document_func.h"
#include "metrics/metrics_func.h"
#include "platform/http_store_func.h"
#include "replay/recorded_instance_base.h"

#include <asio/post.hpp>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace chicoryhead {

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(10);
/// Reading the clock twice costs as much as the decision itself, so few packets are timed.
constexpr std::uint64_t decisionSampleRate = 64;
constexpr long probeTimeoutMs = 800; ///< below the probe interval of 1 s

instance_settings coreSettings(const daemon_settings &settings)
{
    instance_settings core;
    core.id = settings.instance;
    core.domain = settings.domain;
    core.peerAddress = settings.peer;
    core.peerKey = settings.peerKey;
    core.isPlainPolicy = settings.steering == steering_choice::Plain;
    core.drainQuiet = settings.drainQuiet;
    core.drainLimit = settings.drainLimit;
    core.membership.seeds = settings.seeds;
    core.steering.maxFlows = settings.maxFlows;
    core.limits.flowsPerSecond = settings.newFlowsPerSecond;
    return core;
}

} // namespace

daemon_process::daemon_process(const daemon_settings &settings, const std::string &traceFile)
    : m_settings(settings)
    , m_data(m_context, settings.data,
             [this](auto bytes, const endpoint &from) { onFabricDatagram(bytes, from); })
    , m_peer(m_context, settings.peer,
             [this](auto bytes, const endpoint &from) { m_instance->onPeerDatagram(bytes, from); })
    , m_http(m_context, settings.http, *this, settings.operatorToken)
    , m_timer(m_context)
    , m_signals(m_context, SIGTERM, SIGINT)
{
    http_store_settings store;
    store.baseUrl = settings.platformUrl;
    m_store = makeHttpStore(
        store, [this](std::function<void()> task) { asio::post(m_context, std::move(task)); });
    m_prober = std::make_unique<curl_prober>(
        [this](upstream_id upstream, std::optional<load_report> report) {
            asio::post(m_context,
                       [this, upstream, report] { m_instance->onProbeOutcome(upstream, report); });
        },
        probeTimeoutMs);
    const instance_environment environment {m_clock, m_random, *this, *this, *m_prober, *m_store};
    if (traceFile.empty()) {
        m_instance = std::make_unique<instance>(coreSettings(settings), environment);
    } else {
        m_traceStream.open(traceFile);
        if (!m_traceStream)
            throw std::system_error(errno, std::generic_category(), traceFile);
        m_instance = makeRecordedInstance(coreSettings(settings), environment, m_traceStream);
    }
    const auto flushBoth = [this] {
        m_data.flush();
        m_peer.flush();
    };
    m_data.setBatchHandler(flushBoth);
    m_peer.setBatchHandler(flushBoth);
}

daemon_process::~daemon_process()
{
    // Their threads post handlers that refer to the instance, so they end first.
    m_prober.reset();
    m_store.reset();
}

int daemon_process::run()
{
    if (const std::error_code code = m_http.start()) {
        logEvent(log_level::Error, "http_listen_failed",
                 {{"address", toString(m_settings.http)}, {"reason", code.message()}});
        return EXIT_FAILURE;
    }
    m_signals.async_wait([this](std::error_code code, int signal) {
        if (!code)
            onSignal(signal);
    });
    m_data.start();
    m_peer.start();
    scheduleTick();
    logEvent(log_level::Info, "instance_started",
             {{"instance", std::to_string(idValue(m_settings.instance))},
              {"domain", std::to_string(idValue(m_settings.domain))},
              {"data", toString(m_settings.data)},
              {"peer", toString(m_settings.peer)},
              {"http", toString(m_settings.http)}});
    m_context.run();
    logEvent(log_level::Info, "instance_stopped",
             {{"instance", std::to_string(idValue(m_settings.instance))}});
    return EXIT_SUCCESS;
}

void daemon_process::onFabricDatagram(std::span<const std::byte> bytes, const endpoint &from)
{
    if (++m_packetCount % decisionSampleRate != 0)
        return m_instance->onFabricPacket(bytes, from);
    const auto startedAt = std::chrono::steady_clock::now();
    m_instance->onFabricPacket(bytes, from);
    m_histograms.decision.record(std::chrono::steady_clock::now() - startedAt);
}

void daemon_process::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](std::error_code code) {
        if (code)
            return;
        m_instance->tick();
        m_data.flush();
        m_peer.flush();
        if (m_isLeaving && m_instance->isGone())
            return stop();
        scheduleTick();
    });
}

void daemon_process::onSignal(int signal)
{
    logEvent(log_level::Info, "instance_leaving", {{"signal", std::to_string(signal)}});
    m_isLeaving = true;
    m_instance->beginLeaving();
    m_peer.flush();
}

void daemon_process::stop()
{
    m_http.stop();
    m_context.stop();
}

void daemon_process::sendToUpstream(const endpoint &upstream, std::span<const std::byte> packet)
{
    m_data.send(upstream, packet);
}

void daemon_process::sendToCaller(std::span<const std::byte> packet)
{
    m_data.send(m_settings.egress, packet);
}

void daemon_process::sendToPeer(const endpoint &peer, std::span<const std::byte> datagram)
{
    m_peer.send(peer, datagram);
}

std::string daemon_process::configDocument() const
{
    return formatConfiguration(*m_instance->board().config);
}

std::string daemon_process::instancesDocument() const
{
    return renderInstances(m_instance->board(), m_clock.now());
}

std::string daemon_process::upstreamsDocument() const
{
    return renderUpstreams(m_instance->board(), m_clock.now());
}

std::string daemon_process::flowsDocument() const
{
    const steering_policy &steering = m_instance->steering();
    return renderFlows(m_instance->board(), steering.countFlows(), steering.countRecords());
}

std::string daemon_process::metricsText() const
{
    const steering_policy &steering = m_instance->steering();
    const auto flows = steering.countFlows();
    return renderMetrics(
        {m_instance->board(), m_histograms, flows, steering.countRecords(), m_clock.now()});
}

void daemon_process::readAudit(operator_handler handler)
{
    m_instance->readAudit([handler = std::move(handler)](const auto &entries) {
        if (!entries)
            return handler({entries.error(), {}});
        handler({{}, formatAudit(entries.value())});
    });
}

void daemon_process::submitPatch(const std::string &body, operator_handler handler)
{
    std::vector<config_problem> problems;
    const auto patch = parsePatch(body, problems);
    if (!patch) {
        patch_outcome outcome;
        outcome.code = patch.error();
        outcome.version = m_instance->board().config->version;
        outcome.problems = std::move(problems);
        return handler({outcome.code, formatOutcome(outcome)});
    }
    m_instance->submit(patch.value(), [handler = std::move(handler)](const patch_outcome &outcome) {
        handler({outcome.code, formatOutcome(outcome)});
    });
}

} // namespace chicoryhead
