/**
 * @file deployment_standin.cpp
 * Addresses, routers and upstreams of a deployment on loopback.
 */

#include "deployment_standin.h"

#include "platform/packet_codec.h"
#include "platform/platform_names.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace chicoryhead::standin {

namespace {

using namespace std::chrono_literals;

/// Third octet of the loopback addresses, by role.
constexpr unsigned storeKind = 0;
constexpr unsigned instanceKind = 1;
constexpr unsigned upstreamKind = 2;
constexpr unsigned callerKind = 3;

constexpr std::uint16_t dataPort = 8172;
constexpr std::uint16_t statusPort = 8167;
constexpr std::uint16_t peerPort = 7720;
constexpr std::uint16_t storePort = 8169;
constexpr std::uint16_t upstreamPort = 8080;
constexpr std::uint16_t pagesPort = 9102;

/// Interval of the callers' timers, whose shortest delay is 120 ms.
constexpr std::chrono::milliseconds tickInterval {10};
/// Routers check readiness twice per second and take an instance out of rotation after two failed
/// checks in a row.
constexpr std::chrono::milliseconds checkInterval {500};
constexpr unsigned unhealthyThreshold = 2;

} // namespace

deployment_standin::deployment_standin(asio::io_context &context, deployment_plan plan,
                                       deployment_observer &observer)
    : m_context(context)
    , m_plan(std::move(plan))
    , m_observer(observer)
    , m_random(m_plan.seed)
    , m_store(std::make_unique<store_standin>(context, address(storeKind, 0, storePort)))
    , m_tick(context)
    , m_checks(context)
{
    m_config.idleTimeout = 15s;
    for (unsigned service = 0; service < m_plan.services; ++service) {
        m_config.routes.push_back({"route-" + std::to_string(service),
                                   serviceAddress(service),
                                   {{"service-" + std::to_string(service), 1}},
                                   200ms,
                                   1200ms,
                                   1,
                                   true});
        for (unsigned i = 0; i < m_plan.domains * m_plan.upstreamsPerDomain; ++i)
            addUpstream(service, i % m_plan.domains);
    }
    putConfig();
    for (unsigned domain = 0; domain < m_plan.domains; ++domain) {
        m_callers.push_back(std::make_unique<caller_standin>(
            m_context, address(callerKind, domain, dataPort),
            [this, domain](const flow_key &flow) { return route(domain, flow); }, m_clock, m_random,
            m_observer));
        for (unsigned i = 0; i < m_plan.instancesPerDomain; ++i)
            addInstance(domain);
    }
}

endpoint deployment_standin::address(unsigned kind, std::size_t number, std::uint16_t port) const
{
    return {(127U << 24U) | (m_plan.slot << 16U) | (kind << 8U)
                | static_cast<std::uint32_t>(number + 1),
            port};
}

endpoint deployment_standin::serviceAddress(unsigned service) const
{
    constexpr std::uint32_t firstAddress = 0xc6120001; // 198.18.0.1, reserved for network tests
    return {firstAddress + service, 443};
}

entry_settings deployment_standin::settingsOf(unsigned domain, std::size_t number) const
{
    entry_settings settings;
    settings.name = domainName(domain) + "-" + std::to_string(number);
    settings.domain = domainName(domain);
    settings.domainCount = m_plan.domains;
    settings.dataAddress = address(instanceKind, number, dataPort);
    settings.statusAddress = address(instanceKind, number, statusPort);
    settings.peerAddress = address(instanceKind, number, peerPort);
    settings.storeAddress = address(instanceKind, number, storePort);
    settings.seeds = {address(instanceKind, 0, peerPort)};
    settings.metricsPort = pagesPort;
    settings.configBound = 3s;
    settings.drainBound = 3s;
    settings.disruptionWindow = disruptionWindow;
    settings.stopGrace = 6s;
    settings.flowLifetime = 60s;
    return settings;
}

void deployment_standin::addInstance(unsigned domain)
{
    deployed_instance instance;
    const auto settings = settingsOf(domain, m_instances.size());
    instance.program =
        std::make_unique<entry_program>(m_plan.program, m_plan.folder, settings, m_plan.policyPath);
    instance.storeProxy =
        std::make_unique<tcp_proxy>(m_context, settings.storeAddress, m_store->address());
    instance.readiness = std::make_unique<http_connection>(m_context, settings.statusAddress,
                                                           toString(settings.statusAddress));
    m_instances.push_back(std::move(instance));
}

void deployment_standin::start()
{
    for (deployed_instance &instance : m_instances)
        instance.program->start();
    scheduleTick();
    scheduleChecks();
}

void deployment_standin::stop()
{
    m_isStopping = true;
    m_tick.cancel();
    m_checks.cancel();
}

config_version deployment_standin::putConfig()
{
    m_config.version += 1 + m_random.next() % 3;
    writeConfig();
    return m_config.version;
}

void deployment_standin::writeConfig()
{
    m_store->put(std::string(platform::names::configKey), platform::encodeConfig(m_config));
}

void deployment_standin::rewriteLost()
{
    if (m_store->value(std::string(platform::names::configKey)) != platform::encodeConfig(m_config))
        writeConfig();
    for (const auto &upstream : m_upstreams) {
        const auto &announced = upstream->announced();
        if (m_store->value(platform::announcementKey(announced.name))
            == platform::encodeAnnouncement(announced))
            continue;
        upstream->renewAnnouncement();
        announce(*upstream);
    }
}

void deployment_standin::expireAnnouncements()
{
    std::set<std::string> live;
    for (const auto &upstream : m_upstreams)
        live.insert(platform::announcementKey(upstream->announced().name));
    for (const std::string &key : m_store->keys(std::string(platform::names::upstreamPrefix))) {
        if (!live.contains(key))
            m_store->remove(key);
    }
}

std::string deployment_standin::addUpstream(unsigned service, unsigned domain)
{
    std::array<char, 16> name {};
    std::snprintf(name.data(), name.size(), "i-%08x", static_cast<unsigned>(m_random.next()));
    upstream_announcement announced;
    announced.name = name.data();
    announced.wireId = platform::parseWireId(announced.name).value_or(0);
    announced.service = "service-" + std::to_string(service);
    announced.address = address(upstreamKind, m_upstreamsAdded++ % 250, upstreamPort);
    announced.domain = domainName(domain);
    announced.slots = 3;
    announced.sequenceNumber = 1;
    announced.startedAtMs = 1;
    m_upstreams.push_back(std::make_unique<upstream_standin>(
        m_context, announced, std::set<endpoint> {serviceAddress(service)}, dataPort, m_random,
        m_observer));
    announce(*m_upstreams.back());
    return announced.name;
}

void deployment_standin::announce(const upstream_standin &upstream)
{
    m_store->put(platform::announcementKey(upstream.announced().name),
                 platform::encodeAnnouncement(upstream.announced()));
}

void deployment_standin::drainUpstream(const std::string &name)
{
    for (const auto &upstream : m_upstreams) {
        if (upstream->announced().name == name) {
            upstream->drain();
            announce(*upstream);
        }
    }
}

void deployment_standin::endUpstream(const std::string &name)
{
    std::erase_if(m_upstreams,
                  [&](const auto &upstream) { return upstream->announced().name == name; });
}

void deployment_standin::withdrawUpstream(const std::string &name)
{
    m_store->remove(platform::announcementKey(name));
}

upstream_standin *deployment_standin::findUpstream(const std::string &name) const
{
    for (const auto &upstream : m_upstreams) {
        if (upstream->announced().name == name)
            return upstream.get();
    }
    return nullptr;
}

std::vector<std::string> deployment_standin::upstreamsOf(unsigned service) const
{
    std::vector<std::string> names;
    for (const auto &upstream : m_upstreams) {
        const auto &announced = upstream->announced();
        if (announced.service == "service-" + std::to_string(service) && !announced.isDraining)
            names.push_back(announced.name);
    }
    return names;
}

bool deployment_standin::isInRotation(const deployed_instance &instance) const
{
    return instance.failedChecks < unhealthyThreshold;
}

std::optional<endpoint> deployment_standin::route(unsigned domain, const flow_key &flow)
{
    std::vector<const deployed_instance *> own;
    std::vector<const deployed_instance *> ready;
    std::vector<const deployed_instance *> anywhere;
    for (const deployed_instance &instance : m_instances) {
        const bool isOwn = instance.program->settings().domain == domainName(domain);
        if (isOwn)
            own.push_back(&instance);
        if (isInRotation(instance))
            (isOwn ? ready : anywhere).push_back(&instance);
    }
    // As the platform's routers do: uses all instances of the domain if fewer than half of them are
    // in rotation, and other domains if none is.
    auto &chosen = ready.empty() ? anywhere : ready.size() * 2 < own.size() ? own : ready;
    if (chosen.empty() || m_areRoutersDisabled)
        return std::nullopt;
    const deployed_instance *instance = chosen[hashFlow(flow) % chosen.size()];
    m_lastInstances[flow] = instance;
    return instance->program->settings().dataAddress;
}

const deployed_instance *deployment_standin::lastInstance(const flow_key &flow) const
{
    const auto found = m_lastInstances.find(flow);
    return found == m_lastInstances.end() ? nullptr : found->second;
}

bool deployment_standin::hadHealthyInstance(const flow_key &flow, monotonic_time since) const
{
    const unsigned domain = (flow.caller.address & 0xffU) - 1;
    return std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &instance) {
        return instance.program->settings().domain == domainName(domain)
            && instance.healthySince.count() > 0 && instance.healthySince <= since;
    });
}

void deployment_standin::scheduleTick()
{
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](std::error_code code) {
        if (code || m_isStopping)
            return;
        for (const auto &caller : m_callers)
            caller->tick();
        scheduleTick();
    });
}

void deployment_standin::scheduleChecks()
{
    for (deployed_instance &instance : m_instances)
        check(instance);
    m_checks.expires_after(checkInterval);
    m_checks.async_wait([this](std::error_code code) {
        if (!code && !m_isStopping)
            scheduleChecks();
    });
}

void deployment_standin::check(deployed_instance &instance)
{
    if (instance.readiness->isBusy())
        return;
    const http_request call {
        "GET", std::string(platform::names::readyPath), {}, checkInterval - 50ms};
    // The reference stays valid: m_instances does not change while the deployment runs.
    instance.readiness->start(call, [this, &instance](const result<http_response> &answer) {
        recordCheck(instance, answer && answer.value().status == 200);
    });
}

void deployment_standin::recordCheck(deployed_instance &instance, bool isReady)
{
    instance.failedChecks = isReady ? 0 : instance.failedChecks + 1;
    if (!isReady || instance.isPaused)
        instance.healthySince = monotonic_time {0};
    else if (instance.healthySince.count() == 0)
        instance.healthySince = m_clock.now();
}

} // namespace chicoryhead::standin
