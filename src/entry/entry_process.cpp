/**
 * @file entry_process.cpp
 * Event handlers of an entry process.
 */

#include "entry_process_base.h"

#include "core/log_func.h"
#include "platform/platform_names.h"

#include <xxhash.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::chrono::milliseconds tickTime {50};
/// Messages of peers per system call; a transfer of the state has about ten parts.
constexpr std::size_t peerBatchSize = 16;
constexpr std::string_view jsonType = "application/json";

std::string formatMilliseconds(monotonic_time duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

stop_settings stopSettings(const entry_settings &settings)
{
    stop_settings made;
    made.grace = settings.stopGrace;
    return made;
}

directory_settings directorySettings(const entry_settings &settings)
{
    directory_settings made;
    made.flowLifetime = settings.flowLifetime;
    return made;
}

/// Time within which every change has to be in force.
monotonic_time changeBound(const entry_settings &settings)
{
    return std::min(settings.configBound, settings.drainBound);
}

/// A reader's connection that falls silent, and readers that die, are noticed with a third of the
/// bound left for asking the store. Changes wait for a tenth of the bound at the first reader, and
/// for three tenths at the backup; gossip takes a second at most.
follower_settings followerSettings(const entry_settings &settings)
{
    const auto bound = changeBound(settings);
    follower_settings made;
    made.watchWait = std::chrono::duration_cast<std::chrono::milliseconds>(bound * 2 / 5);
    made.maxStateAge = bound * 2 / 3;
    made.batchTime = bound / 10;
    return made;
}

gossip_settings gossipSettings(const entry_settings &settings)
{
    gossip_settings made;
    made.storeInterval = followerSettings(settings).watchWait;
    return made;
}

std::uint64_t seedOf(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

entry_process::entry_process(const entry_settings &settings, settings_source reread)
    : m_settings(settings)
    , m_reread(std::move(reread))
    , m_log(STDOUT_FILENO, m_clock)
    , m_directory(directorySettings(settings))
    , m_placement(m_directory, {settings.domain, settings.domainCount, seedOf(settings.name)})
    , m_forwarder(m_routes, m_directory, m_placement)
    , m_state(m_routes, m_directory, m_placement, m_log)
    , m_store(m_context, settings.storeAddress)
    , m_follower(m_store, m_state, m_clock, m_random, m_log, followerSettings(settings))
    , m_gossip({settings.name, settings.domain, settings.peerAddress}, settings.seeds, m_state,
               *this, m_clock, m_random, m_log, gossipSettings(settings))
    , m_data(m_context, settings.dataAddress,
             [this](std::span<const std::byte> bytes, const endpoint & /*from*/) {
                 onDatagram(bytes);
             })
    , m_peers(
          m_context, settings.peerAddress,
          [this](std::span<const std::byte> bytes, const endpoint &from) {
              onPeerDatagram(bytes, from);
          },
          peerBatchSize)
    , m_status(m_context, settings.statusAddress,
               [this](std::string_view path) { return page(path); })
    , m_timer(m_context)
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_stop(stopSettings(settings))
    , m_startedAt(m_clock.now())
    , m_suspension(m_startedAt)
{
    if (const auto failure = m_status.start())
        throw std::system_error(failure, "status address " + toString(settings.statusAddress));
    if (settings.metricsPort != 0) {
        const endpoint address {settings.dataAddress.address, settings.metricsPort};
        m_metricsServer = std::make_unique<status_server>(
            m_context, address, [this](std::string_view path) { return page(path); });
        if (const auto failure = m_metricsServer->start())
            throw std::system_error(failure, "metrics address " + toString(address));
    }
}

void entry_process::run()
{
    m_log.write("started",
                {{"instance", m_settings.name},
                 {"domain", m_settings.domain},
                 {"data", toString(m_settings.dataAddress)},
                 {"store", toString(m_settings.storeAddress)}});
    m_suspension = suspension_watch(m_clock.now());
    m_data.start();
    m_peers.start();
    m_follower.setUpdateHandler([this] {
        m_gossip.noteStoreAnswer();
        onUpdate();
    });
    m_follower.setEarlyHandler([this] { onUpstreamsKnown(); });
    m_follower.setReaderPolicy([this] { return m_gossip.duty(); });
    awaitSignal();
    m_follower.tick();
    scheduleTick();
    m_context.run();
    m_log.write("stopped",
                {{"instance", m_settings.name},
                 {"uptime_ms", formatMilliseconds(m_clock.now() - m_startedAt)}});
    m_log.flush();
}

void entry_process::noteActivity()
{
    if (const auto gap = m_suspension.noteActivity(m_clock.now()))
        m_log.write("resumed", {{"gap_ms", formatMilliseconds(*gap)}});
}

void entry_process::onDatagram(std::span<const std::byte> bytes)
{
    noteActivity();
    const auto now = m_suspension.activeAt();
    m_packetAt = now;
    const auto packet = platform::decodePacket(bytes);
    if (!packet) {
        ++m_metrics.packets[static_cast<std::size_t>(packet_reason::Malformed)];
        m_log.write("packet_dropped",
                    {{"reason", "malformed"},
                     {"bytes", std::to_string(bytes.size())},
                     {"error", packet.error().message()}});
        return;
    }
    if (canDecide(packet.value()) || !m_arrivals.add(bytes, now))
        forwardPacket(packet.value(), bytes);
}

void entry_process::removeSilentInstance()
{
    if (m_isWriting || !m_gossip.isReader() || !m_follower.isStoreReachable())
        return;
    const auto silent = m_gossip.silentInstances();
    if (silent.empty())
        return;
    m_isWriting = true;
    const std::string &name = silent.front();
    m_store.removeInstance(name, [this, name](std::error_code code) {
        m_isWriting = false;
        m_log.write("instance_removed",
                    {{"removed", name}, {"outcome", code ? code.message() : "done"}});
    });
}

void entry_process::sendToPeer(const endpoint &peer, std::span<const std::byte> datagram)
{
    m_peers.send(peer, datagram);
}

void entry_process::onPeerDatagram(std::span<const std::byte> bytes, const endpoint &from)
{
    noteActivity();
    if (m_gossip.receive(from, bytes))
        onUpdate();
}

void entry_process::onUpdate()
{
    m_gossip.announceChanges();
    m_peers.flush();
    if (!m_state.isSynchronised() || m_arrivals.isEmpty())
        return;
    const auto waiting = m_arrivals.take(m_clock.now());
    m_log.write("synchronised",
                {{"version", std::to_string(m_routes.version())},
                 {"revision", std::to_string(m_state.revision())},
                 {"held_packets", std::to_string(waiting.size())}});
    forwardAll(waiting);
}

void entry_process::onUpstreamsKnown()
{
    const auto waiting = m_arrivals.takeIf(m_clock.now(), [this](std::span<const std::byte> bytes) {
        const auto packet = platform::decodePacket(bytes);
        return packet && canDecide(packet.value());
    });
    m_log.write("upstreams_known",
                {{"upstreams", std::to_string(m_directory.size())},
                 {"held_packets", std::to_string(waiting.size())}});
    forwardAll(waiting);
}

void entry_process::forwardAll(const std::vector<std::vector<std::byte>> &packets)
{
    for (const auto &bytes : packets) {
        if (const auto packet = platform::decodePacket(bytes))
            forwardPacket(packet.value(), bytes);
    }
    m_data.flush();
}

bool entry_process::canDecide(const caller_packet &packet) const
{
    return m_state.isSynchronised() || m_forwarder.isSteerable(packet);
}

void entry_process::forwardPacket(const caller_packet &packet, std::span<const std::byte> bytes)
{
    const auto now = m_suspension.activeAt();
    packet_decision decision;
    if (!canDecide(packet))
        decision.reason = packet_reason::NotSynchronised;
    else if (packet.isOpening && m_suspension.isDistrusted(now))
        decision.reason = packet_reason::StaleOpening;
    else
        decision = m_forwarder.decide(packet, isStateFresh(now), now);
    ++m_metrics.packets[static_cast<std::size_t>(decision.reason)];
    if (decision.latency.count() > 0)
        m_metrics.answer.record(decision.latency);
    carryOut(packet, bytes, decision);
    logDecision(packet, bytes, decision);
    logTrust(packet, decision);
}

void entry_process::carryOut(const caller_packet &packet, std::span<const std::byte> bytes,
                             const packet_decision &decision)
{
    switch (decision.action) {
    case packet_action::Forward: {
        std::array<std::byte, platform::prefixBytes + platform::headBytes + platform::maxDataBytes>
            buffer;
        const auto &announced = decision.upstream->announced;
        const std::size_t size =
            platform::encodeForUpstream(bytes, announced.wireId, decision.tag, buffer);
        m_data.send(announced.address, std::span(buffer).first(size));
        break;
    }
    case packet_action::Reset:
        sendReset(packet);
        break;
    case packet_action::Drop:
        break;
    }
}

void entry_process::sendReset(const caller_packet &packet)
{
    const auto reset = platform::encodeReset(packet);
    m_data.send({packet.flow.caller.address, m_settings.dataAddress.port}, reset);
    ++m_metrics.resetsSent;
}

void entry_process::logDecision(const caller_packet &packet, std::span<const std::byte> bytes,
                                const packet_decision &decision)
{
    const auto age = [this] {
        return formatMilliseconds(m_suspension.activeAt() - m_state.confirmedAt());
    };
    if (decision.reason == packet_reason::Steered) {
        logRequest(packet, bytes, decision);
        return;
    }
    const bool isForwarded = decision.action == packet_action::Forward;
    const std::string_view event = isForwarded    ? "flow_placed"
        : decision.action == packet_action::Reset ? "flow_refused"
                                                  : "packet_dropped";
    if (!m_log.isEnabled(event))
        return;
    m_log.write(event,
                {{"flow", toString(packet.flow)},
                 {"reason", std::string(toString(decision.reason))},
                 {"upstream", isForwarded ? decision.upstream->announced.name : "none"},
                 {"unanswered_by",
                  decision.unanswered != nullptr ? decision.unanswered->announced.name : "none"},
                 {"copy", packet.isOpening ? std::to_string(packet.acknowledged) : "none"},
                 {"version", std::to_string(m_routes.version())},
                 {"state_age_ms", age()}});
}

void entry_process::logTrust(const caller_packet &packet, const packet_decision &decision)
{
    if (decision.isSuspectedNow && decision.unanswered != nullptr)
        m_log.write("upstream_suspected",
                    {{"upstream", decision.unanswered->announced.name},
                     {"flow", toString(packet.flow)},
                     {"copy", std::to_string(packet.acknowledged)},
                     {"standing", std::string(toString(decision.unanswered->standing))}});
    if (decision.isTrustedAgain)
        m_log.write(
            "upstream_trusted",
            {{"upstream", decision.upstream->announced.name}, {"flow", toString(packet.flow)}});
}

void entry_process::logRequest(const caller_packet &packet, std::span<const std::byte> bytes,
                               const packet_decision &decision)
{
    const bool isRepeated = decision.unansweredFor.count() > 0;
    if (!isRepeated && !decision.isFirstRequestPacket)
        return;
    const std::string_view event = isRepeated ? "request_repeated" : "request_forwarded";
    if (!m_log.isEnabled(event))
        return;
    const upstream_record &upstream = *decision.upstream;
    m_log.write(
        event,
        {{"request", std::string(platform::requestIdOf(bytes))},
         {"flow", toString(packet.flow)},
         {"upstream", upstream.announced.name},
         {"standing", std::string(toString(upstream.standing))},
         {"unanswered_ms", formatMilliseconds(decision.unansweredFor)},
         {"state_age_ms", formatMilliseconds(m_suspension.activeAt() - m_state.confirmedAt())}});
}

void entry_process::scheduleTick()
{
    m_timer.expires_after(tickTime);
    m_timer.async_wait([this](std::error_code code) {
        if (code)
            return;
        tick();
        if (!m_context.stopped())
            scheduleTick();
    });
}

void entry_process::tick()
{
    noteActivity();
    if (m_suspension.takeResumed())
        m_follower.refresh();
    m_follower.tick();
    m_gossip.tick();
    m_peers.flush();
    if (m_suspension.activeAt() >= m_nextSecond)
        tickSecond();
    m_log.flush();
    if (m_stop.mayEnd(m_packetAt, m_suspension.activeAt()))
        m_context.stop();
}

void entry_process::tickSecond()
{
    m_nextSecond = m_suspension.activeAt() + std::chrono::seconds(1);
    m_forwarder.expire(m_suspension.activeAt());
    m_state.expire(m_suspension.activeAt());
    registerSelf();
    removeSilentInstance();
    // The file may change without a signal.
    reloadSettings();
}

void entry_process::registerSelf()
{
    const instance_registration own {m_settings.name, m_settings.domain, m_settings.peerAddress};
    const auto known = m_state.instances().find(own.name);
    const bool isKnown = known != m_state.instances().end() && known->second == own;
    if (!m_state.isSynchronised() || isKnown || m_isWriting || m_stop.isStopping())
        return;
    m_isWriting = true;
    m_store.registerInstance(own, [this](std::error_code code) {
        m_isWriting = false;
        m_log.write("instance_registered", {{"outcome", code ? code.message() : "done"}});
    });
}

void entry_process::awaitSignal()
{
    m_signals.async_wait([this](std::error_code code, int signal) {
        if (code)
            return;
        if (signal == SIGHUP)
            reloadSettings();
        else
            beginStop(signal);
        awaitSignal();
    });
}

void entry_process::beginStop(int signal)
{
    m_stop.begin(m_clock.now());
    m_log.write("stopping", {{"signal", std::to_string(signal)}});
}

void entry_process::reloadSettings()
{
    const auto reading = m_reread();
    if (!reading.isChanged)
        return;
    if (!reading.settings) {
        m_log.write("settings_rejected", {{"kept", "1"}});
        return;
    }
    const entry_settings &changed = *reading.settings;
    const bool needsRestart = changed.dataAddress != m_settings.dataAddress
        || changed.statusAddress != m_settings.statusAddress
        || changed.peerAddress != m_settings.peerAddress || changed.domain != m_settings.domain
        || changed.name != m_settings.name;
    m_settings.storeAddress = changed.storeAddress;
    m_settings.configBound = changed.configBound;
    m_settings.drainBound = changed.drainBound;
    m_settings.stopGrace = changed.stopGrace;
    m_settings.flowLifetime = changed.flowLifetime;
    m_store.setServer(m_settings.storeAddress);
    m_follower.setSettings(followerSettings(m_settings));
    m_gossip.setSettings(gossipSettings(m_settings));
    m_directory.setSettings(directorySettings(m_settings));
    m_stop.setSettings(stopSettings(m_settings));
    m_log.write("settings_reloaded",
                {{"store", toString(m_settings.storeAddress)},
                 {"needs_restart", needsRestart ? "1" : "0"}});
}

bool entry_process::isReady() const
{
    return m_state.isSynchronised() && !m_stop.isStopping();
}

bool entry_process::isStateFresh(monotonic_time now) const
{
    return now - m_state.confirmedAt() < changeBound(m_settings);
}

status_page entry_process::page(std::string_view path)
{
    if (path == platform::names::readyPath)
        return isReady() ? status_page {200, "ready\n"} : status_page {503, "not ready\n"};
    if (path == "/metrics")
        return {200, renderEntryMetrics(m_metrics, gauges())};
    if (path == instancePath)
        return {200,
                renderInstance({m_settings.name, m_settings.domain, m_stop.isStopping(),
                                m_gossip.isReader(), m_state.revision(), gauges()}),
                jsonType};
    if (path == upstreamsPath)
        return {200, renderUpstreams(upstreamViews()), jsonType};
    return {};
}

std::vector<upstream_view> entry_process::upstreamViews() const
{
    const auto now = m_clock.now();
    const auto flows = m_forwarder.countFlows();
    std::vector<upstream_view> views;
    for (const upstream_record *record : m_directory.records()) {
        const auto counted = flows.find(record->id);
        views.push_back({record, m_placement.isSuspected(record->id, now),
                         m_placement.latencyOf(record->id, now),
                         counted == flows.end() ? 0 : counted->second});
    }
    return views;
}

entry_gauges entry_process::gauges() const
{
    const auto now = m_clock.now();
    entry_gauges gauges;
    gauges.configVersion = m_routes.version();
    gauges.routes = m_routes.config().routes.size();
    gauges.upstreams = m_directory.size();
    gauges.upstreamsSuspected = m_placement.countSuspected(now);
    gauges.flowsObserved = m_forwarder.observedFlows();
    gauges.instances = m_state.instances().size();
    gauges.storeItemsMalformed = m_store.itemsMalformed();
    gauges.logLinesDropped = m_log.linesDropped();
    gauges.stateAgeSeconds = std::chrono::duration<double>(now - m_state.confirmedAt()).count();
    gauges.isReady = isReady();
    const auto &calls = m_store.calls();
    for (std::size_t kind = 0; kind < calls.size(); ++kind) {
        for (std::size_t i = 0; i < calls[kind].size(); ++i)
            gauges.storeCalls.push_back({toString(static_cast<platform::call_kind>(kind)),
                                         toString(static_cast<platform::call_outcome>(i)),
                                         calls[kind][i]});
    }
    return gauges;
}

} // namespace chicoryhead
