/**
 * @file entry_process.cpp
 * Event handlers of an entry process.
 */

#include "entry_process_base.h"

#include "core/log_func.h"
#include "derived_settings.h"
#include "explain_document.h"
#include "platform/platform_names.h"
#include "system/signal_mask_func.h"

#include <xxhash.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::chrono::milliseconds tickInterval {50};
/// Peer datagrams received per system call; a state transfer has about ten parts.
constexpr std::size_t peerBatchSize = 16;
constexpr std::string_view jsonType = "application/json";

std::uint64_t placementSeedOf(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::string formatNumber(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

} // namespace

entry_process::entry_process(const entry_settings &settings, settings_source settingsSource)
    : m_settings(settings)
    , m_settingsSource(std::move(settingsSource))
    , m_log(STDOUT_FILENO, m_clock)
    , m_directory(deriveDirectorySettings(settings))
    , m_placement(m_directory,
                  {settings.domain, settings.domainCount, placementSeedOf(settings.name)})
    , m_health(m_directory, settings.name, settings.domain, deriveHealthLimits(settings))
    , m_latencies(m_directory, m_placement)
    , m_forwarder(m_routes, m_directory, m_placement, m_health, m_latencies)
    , m_state(m_routes, m_directory, m_placement, m_log)
    , m_store(m_context, settings.storeAddress)
    , m_follower(m_store, m_state, m_clock, m_random, m_log, deriveFollowerSettings(settings))
    , m_gossip({settings.name, settings.domain, settings.peerAddress}, settings.seeds, m_state,
               m_health, m_latencies, *this, m_clock, m_random, m_log,
               deriveGossipSettings(settings))
    , m_registrar({settings.name, settings.domain, settings.peerAddress}, m_store, m_state, m_clock,
                  m_random, m_log)
    , m_publisher(settings.domain, m_store, m_state, m_clock, m_log,
                  derivePublisherSettings(settings))
    , m_startedAt(m_clock.now())
    , m_suspensionDetector(m_startedAt)
    , m_packetLog(m_log, m_routes, m_state)
    , m_packetProcessor({m_forwarder, m_state, m_suspensionDetector, m_metrics, m_packetLog},
                        settings.dataAddress.port, propagationBound(settings),
                        [this](const endpoint &target, std::span<const std::byte> datagram) {
                            m_data.send(target, datagram);
                        })
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
    , m_status(
          m_context, settings.statusAddress,
          [this](std::string_view path, std::string_view query) { return makePage(path, query); })
    , m_timer(m_context)
    , m_hedgeTimer(m_context)
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_shutdown(deriveShutdownSettings(settings))
{
    if (const auto failure = m_status.start())
        throw std::system_error(
            failure, "can't listen on status address " + toString(settings.statusAddress));
    if (settings.metricsPort != 0) {
        const endpoint address {settings.dataAddress.address, settings.metricsPort};
        m_metricsServer = std::make_unique<status_server>(
            m_context, address, [this](std::string_view path, std::string_view query) {
                return makePage(path, query);
            });
        if (const auto failure = m_metricsServer->start())
            throw std::system_error(failure,
                                    "can't listen on metrics address " + toString(address));
    }
}

void entry_process::setPolicy(const traffic_policy &policy, policy_source source)
{
    m_policy = policy;
    m_policySource = std::move(source);
}

void entry_process::run()
{
    m_log.write("started",
                {{"instance", m_settings.name},
                 {"domain", m_settings.domain},
                 {"data", toString(m_settings.dataAddress)},
                 {"store", toString(m_settings.storeAddress)}});
    m_forwarder.setOverloadCheck([this](const std::string &service) {
        return m_forwarder.admission().isOverloaded(service, m_suspensionDetector.lastActivityAt());
    });
    if (m_policySource)
        applyPolicy(m_policy);
    m_suspensionDetector = suspension_detector(m_clock.now());
    m_data.start();
    m_peers.start();
    m_state.addListener(m_health);
    m_state.setOutageThreshold(deriveFollowerSettings(m_settings).maxStateAge);
    m_state.setRestoreGracePeriod(deriveRestoreGracePeriod(m_settings));
    m_store.setTimeouts(deriveStoreCallTimes(m_settings));
    m_gossip.setTransferLimits(deriveTransferLimits(m_settings));
    m_follower.setUpdateHandler([this] {
        m_gossip.onStoreResponse();
        m_registrar.onStoreResponse();
        onStateUpdated();
    });
    m_follower.setEarlyUpstreamsHandler([this] { onUpstreamsLoaded(); });
    m_follower.setRolePolicy([this] { return m_gossip.readerRole(); });
    m_follower.setStaleDelayPolicy([this] { return m_gossip.storeReadDelay(); });
    m_follower.setPeerCountProvider([this] { return m_gossip.countLocalPeers(); });
    m_follower.setSnapshotHandler(
        [this](store_revision revision) { m_publisher.onSnapshotPublished(revision); });
    awaitSignal();
    m_follower.tick();
    scheduleTick();
    unblockControlSignals();
    m_context.run();
    // Without the event loop nothing handles signals, and their default action ends the process.
    blockControlSignals();
    m_log.write("stopped",
                {{"instance", m_settings.name},
                 {"uptime_ms", formatMilliseconds(m_clock.now() - m_startedAt)}});
    m_log.flush();
}

void entry_process::recordActivity()
{
    const auto gap = m_suspensionDetector.recordActivity(m_clock.now());
    if (!gap)
        return;
    m_health.noteResumed(m_suspensionDetector.lastActivityAt());
    m_forwarder.noteResumed(m_suspensionDetector.lastActivityAt());
    m_log.write("resumed", {{"gap_ms", formatMilliseconds(*gap)}});
}

void entry_process::onDatagram(std::span<const std::byte> bytes)
{
    recordActivity();
    m_packetProcessor.receive(bytes);
    scheduleHedges();
}

/// The tick is too coarse for hedging delays of 40 to 150 ms. Without pending hedges, no timer
/// runs.
void entry_process::scheduleHedges()
{
    if (m_hedgesDueAt)
        return;
    m_hedgesDueAt = m_forwarder.nextHedgeDueAt();
    if (!m_hedgesDueAt)
        return;
    m_hedgeTimer.expires_after(std::max(*m_hedgesDueAt - m_clock.now(), monotonic_time {0}));
    m_hedgeTimer.async_wait([this](std::error_code code) {
        if (!code)
            sendDueHedges();
    });
}

void entry_process::sendDueHedges()
{
    recordActivity();
    // After a suspension this timer may be handled before the tick, which is late as well.
    m_suspensionDetector.recordTick(std::min(*m_hedgesDueAt, m_tickDueAt),
                                    m_suspensionDetector.lastActivityAt());
    const bool isSocketRead = m_data.receiveAvailable();
    m_packetProcessor.sendDueHedges(isSocketRead);
    m_data.flush();
    m_hedgesDueAt.reset();
    scheduleHedges();
}

void entry_process::sendToPeer(const endpoint &peer, std::span<const std::byte> datagram)
{
    m_peers.send(peer, datagram);
}

void entry_process::onPeerDatagram(std::span<const std::byte> bytes, const endpoint &from)
{
    recordActivity();
    if (m_gossip.receive(from, bytes))
        onStateUpdated();
}

void entry_process::onStateUpdated()
{
    if (m_gossip.countRegisteredPeers() > 0)
        m_placement.setInstanceIndex(m_gossip.countLowerRankedPeers(),
                                     m_gossip.countRegisteredPeers() + 1);
    m_placement.setWarmupLimits(m_routes.config().warmupRates,
                                m_state.instances().size() + m_state.formerInstances().size());
    updateConnectionLimits();
    m_gossip.announceChanges();
    m_peers.flush();
    if (!m_state.isSynchronised() || !m_packetProcessor.hasHeldPackets())
        return;
    const auto released = m_packetProcessor.releaseHeldPackets();
    m_log.write("synchronised",
                {{"version", std::to_string(m_routes.version())},
                 {"revision", toString(m_state.revision())},
                 {"held_packets", std::to_string(released)}});
    m_data.flush();
}

void entry_process::updateConnectionLimits()
{
    // Counting thousands of instances for each message of a peer would take too long.
    const auto version = std::pair(m_state.instancesVersion(), m_state.formerInstances().size());
    if (version != m_countedInstances) {
        m_countedInstances = version;
        m_instancesByDomain = m_state.countInstancesByDomain();
    }
    m_placement.setConnectionLimits({m_routes.config().maxConnections, m_instancesByDomain});
}

void entry_process::onUpstreamsLoaded()
{
    const auto released = m_packetProcessor.releaseHeldPackets();
    m_log.write("upstreams_known",
                {{"upstreams", std::to_string(m_directory.size())},
                 {"held_packets", std::to_string(released)}});
    m_data.flush();
    m_gossip.tick();
    m_peers.flush();
}

void entry_process::scheduleTick()
{
    m_tickDueAt = m_clock.now() + tickInterval;
    m_timer.expires_after(tickInterval);
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
    recordActivity();
    if (m_suspensionDetector.takeResumed())
        m_follower.refresh();
    m_follower.tick();
    m_publisher.tick(m_gossip.isActivePrimaryReader() && !m_shutdown.isStopping());
    evaluateUpstreamHealth();
    m_gossip.tick();
    m_peers.flush();
    if (m_suspensionDetector.lastActivityAt() >= m_nextSecondTickAt)
        tickEverySecond();
    m_log.flush();
    if (m_shutdown.mayExit(m_packetProcessor.lastPacketAt(),
                           m_suspensionDetector.lastActivityAt())) {
        // Packets that are still in the socket buffer would be lost when the socket is closed.
        m_data.receivePending();
        m_log.flush();
        m_context.stop();
    }
}

void entry_process::evaluateUpstreamHealth()
{
    const auto now = m_suspensionDetector.lastActivityAt();
    m_suspensionDetector.recordTick(m_tickDueAt, now);
    const bool isTimingReliable = m_suspensionDetector.isTimingReliable(now);
    m_health.setLocalHealth(isTimingReliable);
    if (isTimingReliable)
        m_forwarder.sampleRequestsInProgress(now);
    for (const health_change &change : m_health.evaluate(now))
        applyHealthChange(change);
    // Their suspicion may be shorter than the state.
    for (const upstream_id upstream : m_health.stalledUpstreams()) {
        if (!m_placement.isSuspected(upstream, now))
            m_placement.markSuspected(upstream, true, now);
    }
    if (isTimingReliable)
        m_packetProcessor.resetStalledFlows();
    m_data.flush();
}

void entry_process::applyHealthChange(const health_change &change)
{
    const auto now = m_suspensionDetector.lastActivityAt();
    std::size_t flowsEnded = 0;
    switch (change.state) {
    case health_state::Answering:
        m_placement.recordConnectSuccess(change.upstream);
        break;
    case health_state::Silent:
        m_placement.markSuspected(change.upstream, false, now);
        break;
    case health_state::Stalled:
        m_placement.markSuspected(change.upstream, true, now);
        break;
    case health_state::Dead:
        m_placement.markSuspected(change.upstream, true, now);
        flowsEnded = m_packetProcessor.resetFlowsOf(change.upstream);
        break;
    }
    const auto *record = m_directory.find(change.upstream);
    m_log.write(
        "upstream_judged",
        {{"upstream", record == nullptr ? "unknown" : record->announced.name},
         {"standing", std::string(record == nullptr ? "unknown" : toString(record->lifecycle))},
         {"before", std::string(toString(change.before))},
         {"verdict", std::string(toString(change.state))},
         {"witnesses", std::to_string(change.reporters)},
         {"unanswered_packets", std::to_string(change.retransmissions)},
         {"unanswered_requests", std::to_string(change.requests)},
         {"waiting_requests", std::to_string(change.waitingRequests)},
         {"stalled_requests", std::to_string(change.stalledRequests)},
         {"silent_ms", formatMilliseconds(change.silentFor)},
         {"request_age_ms", formatMilliseconds(change.requestAge)},
         {"flows_ended", std::to_string(flowsEnded)}});
}

void entry_process::tickEverySecond()
{
    m_nextSecondTickAt = m_suspensionDetector.lastActivityAt() + std::chrono::seconds(1);
    m_forwarder.expire(m_suspensionDetector.lastActivityAt());
    m_state.expire(m_suspensionDetector.lastActivityAt());
    m_health.noteAddressReused(m_directory.upstreamsWithReusedAddress());
    if (!m_shutdown.isStopping())
        m_registrar.registerSelf();
    if (m_gossip.isReader() && m_follower.isStoreReachable())
        m_registrar.removeSilentInstance(m_gossip.timedOutInstances());
    // The files may change without a SIGHUP.
    reloadSettings();
    reloadPolicy();
}

void entry_process::awaitSignal()
{
    m_signals.async_wait([this](std::error_code code, int signal) {
        if (code)
            return;
        if (signal == SIGHUP) {
            reloadSettings();
            reloadPolicy();
        } else {
            beginShutdown(signal);
        }
        awaitSignal();
    });
}

void entry_process::beginShutdown(int signal)
{
    m_shutdown.begin(m_clock.now());
    m_forwarder.noteStopping();
    m_log.write("stopping", {{"signal", std::to_string(signal)}});
}

void entry_process::reloadSettings()
{
    const auto update = m_settingsSource();
    if (!update.isChanged)
        return;
    if (!update.settings) {
        m_log.write("settings_rejected", {{"kept", "1"}});
        return;
    }
    const entry_settings &changed = *update.settings;
    const bool needsRestart = changed.dataAddress != m_settings.dataAddress
        || changed.statusAddress != m_settings.statusAddress
        || changed.peerAddress != m_settings.peerAddress || changed.domain != m_settings.domain
        || changed.name != m_settings.name;
    m_settings.storeAddress = changed.storeAddress;
    m_settings.configBound = changed.configBound;
    m_settings.drainBound = changed.drainBound;
    m_settings.evacuationBound = changed.evacuationBound;
    m_settings.disruptionWindow = changed.disruptionWindow;
    m_settings.announcementInterval = changed.announcementInterval;
    m_settings.stopGrace = changed.stopGrace;
    m_settings.flowLifetime = changed.flowLifetime;
    m_settings.storeHistory = changed.storeHistory;
    m_settings.maxValueBytes = changed.maxValueBytes;
    m_settings.linkBytesPerSecond = changed.linkBytesPerSecond;
    m_store.setServer(m_settings.storeAddress);
    m_store.setTimeouts(deriveStoreCallTimes(m_settings));
    m_follower.setSettings(deriveFollowerSettings(m_settings));
    m_state.setOutageThreshold(deriveFollowerSettings(m_settings).maxStateAge);
    m_state.setRestoreGracePeriod(deriveRestoreGracePeriod(m_settings));
    m_gossip.setSettings(deriveGossipSettings(m_settings));
    m_gossip.setTransferLimits(deriveTransferLimits(m_settings));
    m_publisher.setSettings(derivePublisherSettings(m_settings));
    m_directory.setSettings(deriveDirectorySettings(m_settings));
    m_health.setLimits(deriveHealthLimits(m_settings));
    m_shutdown.setSettings(deriveShutdownSettings(m_settings));
    m_packetProcessor.setStalenessBound(propagationBound(m_settings));
    m_log.write("settings_reloaded",
                {{"store", toString(m_settings.storeAddress)},
                 {"needs_restart", needsRestart ? "1" : "0"}});
}

void entry_process::reloadPolicy()
{
    if (!m_policySource)
        return;
    const auto update = m_policySource();
    if (!update.isChanged)
        return;
    if (update.policy)
        applyPolicy(*update.policy);
    else
        m_log.write("policy_rejected",
                    {{"reason", toString(update.problems.front())},
                     {"problems", std::to_string(update.problems.size())}});
}

void entry_process::applyPolicy(const traffic_policy &policy)
{
    m_policy = policy;
    m_placement.setBalancingPolicy(policy.balancing);
    m_forwarder.setAdmissionPolicy(policy.admission);
    m_forwarder.setHedgingPolicy(policy.hedging);
    m_log.write("policy_applied",
                {{"admission", policy.admission.isEnabled ? "1" : "0"},
                 {"expected_wait", policy.balancing.usesExpectedWait ? "1" : "0"},
                 {"budget_percent", formatNumber(policy.hedging.budgetPercent)}});
}

bool entry_process::isReady() const
{
    return m_state.isSynchronised() && !m_shutdown.isStopping();
}

status_page entry_process::makePage(std::string_view path, std::string_view query)
{
    if (path == platform::names::readyPath)
        return isReady() ? status_page {200, "ready\n"} : status_page {503, "not ready\n"};
    if (path == "/metrics")
        return {200, renderEntryMetrics(m_metrics, collectGauges())};
    if (path == instancePath)
        return {200,
                renderInstance({m_settings.name, m_settings.domain, m_shutdown.isStopping(),
                                m_gossip.isReader(), m_state.revision().number, collectGauges()}),
                jsonType};
    if (path == upstreamsPath)
        return {200, renderUpstreams(collectUpstreamStatuses()), jsonType};
    if (path == explainPath)
        return makeExplainPage(query);
    return {};
}

status_page entry_process::makeExplainPage(std::string_view query) const
{
    std::string message;
    const auto parsed = parseExplainQuery(query, message);
    if (!parsed)
        return {400, message + '\n'};
    const auto now = m_clock.now();
    return {
        200,
        renderExplanation(*parsed,
                          {m_routes, m_directory, m_placement, m_health, m_state.isSynchronised(),
                           now - m_state.confirmedAt(), &m_forwarder.admission()},
                          now),
        jsonType};
}

std::vector<upstream_status> entry_process::collectUpstreamStatuses() const
{
    const auto now = m_clock.now();
    const auto flows = m_forwarder.countFlowsByUpstream();
    std::vector<upstream_status> statuses;
    for (const upstream_record *record : m_directory.records()) {
        const auto counted = flows.find(record->id);
        statuses.push_back({record, m_placement.isSuspected(record->id, now),
                            m_placement.averageLatencyOf(record->id, now),
                            counted == flows.end() ? 0 : counted->second,
                            toString(m_health.healthOf(record->id))});
    }
    return statuses;
}

entry_gauges entry_process::collectGauges() const
{
    const auto now = m_clock.now();
    entry_gauges gauges;
    gauges.configVersion = m_routes.version();
    gauges.routes = m_routes.config().routes.size();
    gauges.upstreams = m_directory.size();
    gauges.domainsEvacuated = m_state.evacuatedDomains().size();
    gauges.upstreamsSuspected = m_placement.countSuspected(now);
    gauges.upstreamsDead = m_health.countDead();
    gauges.upstreamsStalled = m_health.stalledUpstreams().size();
    gauges.servicesOverloaded = m_forwarder.admission().countOverloaded(now);
    gauges.highestRefusedFraction = m_forwarder.admission().highestFraction(now);
    gauges.flowsObserved = m_forwarder.countTrackedFlows();
    gauges.instances = m_state.instances().size();
    gauges.storeItemsMalformed = m_store.itemsMalformed();
    gauges.storeAnswersIgnored = m_follower.answersIgnored();
    gauges.storeEpoch = m_state.revision().epoch;
    gauges.stateRevision = m_state.revision().number;
    gauges.stateChecksum = m_state.checksum();
    gauges.peerBytesSent = m_gossip.bytesSent();
    gauges.peerMessagesMalformed = m_gossip.malformedMessages();
    gauges.peerMessagesUnexpected = m_gossip.unexpectedMessages();
    gauges.transfersRefused = m_gossip.transfersRefused();
    gauges.hedgesRefused = m_forwarder.hedgesRefused();
    gauges.hedgingDelaySeconds = std::chrono::duration<double>(m_forwarder.hedgingDelay()).count();
    gauges.logLinesDropped = m_log.linesDropped();
    gauges.policyAdmission = m_policy.admission.isEnabled ? 1 : 0;
    gauges.policyExpectedWait = m_policy.balancing.usesExpectedWait ? 1 : 0;
    gauges.hedgeBudgetPercent = m_forwarder.hedgeBudgetPercent();
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
