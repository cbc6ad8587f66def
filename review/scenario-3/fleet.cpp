/**
 * @file fleet.cpp
 * Processes, settings, routers and callers of the deployment.
 */

#include "fleet.h"

#include "platform/packet_codec.h"
#include "platform/platform_names.h"
#include "platform/standin_codec.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace chicoryhead::review {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr unsigned storeKind = 0;
constexpr unsigned nodeKind = 1;
constexpr unsigned backendKind = 2;
constexpr unsigned callerKind = 3;

constexpr std::uint16_t dataPort = 8172;
constexpr std::uint16_t statusPort = 8167;
constexpr std::uint16_t controlPort = 8166;
constexpr std::uint16_t storePort = 8169;
constexpr std::uint16_t backendPort = 8080;

/// The `run` line of deploy/system.toml.
constexpr const char *program = "target/src/entry/chicoryhead-entry";
constexpr const char *metricsFlag = "--metrics_port";
constexpr const char *metricsPort = "9102";

constexpr std::chrono::milliseconds tickInterval {10};
/// Twice per second; an instance is out of rotation after two misses.
constexpr std::chrono::milliseconds checkInterval {500};
constexpr unsigned maxFailedChecks = 2;

std::string zoneName(unsigned zone)
{
    return std::string("zone-") + static_cast<char>('a' + zone);
}

bool isFree(const asio::ip::tcp::endpoint &address)
{
    asio::io_context context;
    std::error_code code;
    asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(asio::ip::tcp::v4(), code);
    acceptor.bind(address, code);
    return !code;
}

} // namespace

fleet::fleet(fleet_plan plan, recorder &record)
    : m_plan(std::move(plan))
    , m_record(record)
    , m_random(static_cast<std::uint64_t>(::getpid()))
    , m_tick(m_context)
    , m_checks(m_context)
{
    constexpr unsigned firstSlot = 100;
    constexpr unsigned slots = 150;
    for (unsigned i = 0; i < slots; ++i) {
        m_slot = firstSlot + (static_cast<unsigned>(::getpid()) + i) % slots;
        const auto candidate = address(storeKind, 0, storePort);
        if (isFree({asio::ip::address_v4(candidate.address), candidate.port}))
            break;
    }
    m_store = std::make_unique<standin::store_standin>(m_context, address(storeKind, 0, storePort));
    for (unsigned zone = 0; zone < m_plan.zones; ++zone) {
        m_callers.push_back(std::make_unique<standin::caller_standin>(
            m_context, address(callerKind, zone, dataPort),
            [this, zone](const flow_key &flow) { return route(zone, flow); }, m_clock, m_random,
            *this));
        for (unsigned i = 0; i < m_plan.nodesPerZone; ++i) {
            auto added = std::make_unique<node>();
            added->number = m_nodes.size();
            added->zone = zone;
            added->name = "front-" + zoneName(zone) + '-' + std::to_string(i + 1);
            added->data = address(nodeKind, added->number, dataPort);
            added->status = address(nodeKind, added->number, statusPort);
            added->store = m_store->address();
            m_nodes.push_back(std::move(added));
        }
    }
}

fleet::~fleet()
{
    for (const auto &instance : m_nodes) {
        if (instance->process > 0) {
            ::kill(instance->process, SIGKILL);
            ::waitpid(instance->process, nullptr, 0);
        }
    }
}

endpoint fleet::address(unsigned kind, std::size_t number, std::uint16_t port) const
{
    return {(127U << 24U) | (m_slot << 16U) | (kind << 8U) | static_cast<std::uint32_t>(number + 1),
            port};
}

endpoint fleet::routeAddress(unsigned route) const
{
    constexpr std::uint32_t firstAddress = 0xc6120001; // 198.18.0.1; only text in packets
    return {firstAddress + route, 443};
}

std::uint64_t fleet::putConfig(const std::map<unsigned, std::string> &routes, unsigned idleRoutes)
{
    m_version += 3;
    json config {{"version", m_version},
                 {"routes", json::array()},
                 {"services", json::array()},
                 {"limits", {{"idle_timeout_ms", 15000}}}};
    const auto addRoute = [&](const std::string &name, const endpoint &to,
                              const std::string &service) {
        const std::string text = toString(to);
        config["routes"].push_back({{"name", name},
                                    {"host", text.substr(0, text.find(':'))},
                                    {"prefix", '/' + std::to_string(to.port) + '/'},
                                    {"route_type", "idempotent"},
                                    {"service", service},
                                    {"timeout_ms", 1200},
                                    {"target_latency_ms", 200},
                                    {"priority", 1},
                                    {"max_attempts", 2}});
    };
    std::set<std::string> services;
    for (const auto &[number, service] : routes) {
        addRoute("route-" + std::to_string(number), routeAddress(number), service);
        services.insert(service);
    }
    for (unsigned i = 0; i < idleRoutes; ++i)
        addRoute("idle-route-" + std::to_string(i), routeAddress(1000 + i), *services.begin());
    for (const std::string &service : services)
        config["services"].push_back({{"name", service}, {"health_path", "/health"}});
    m_store->put(std::string(platform::names::configKey), config.dump());
    m_record.write("the operator's version " + std::to_string(m_version) + " with "
                   + std::to_string(config["routes"].size()) + " routes is acknowledged");
    return m_version;
}

backend &fleet::addBackend(const std::string &name, const std::string &service, unsigned zone,
                           std::set<unsigned> routes)
{
    upstream_announcement announced;
    announced.name = name;
    announced.wireId = platform::parseWireId(name).value_or(0);
    announced.service = service;
    announced.address = address(backendKind, m_backends.size(), backendPort);
    announced.domain = zoneName(zone);
    announced.slots = 3;
    announced.sequenceNumber = 1;
    announced.startedAtMs = 1;
    std::set<endpoint> addresses;
    for (const unsigned number : routes)
        addresses.insert(routeAddress(number));
    m_backends.push_back(std::make_unique<backend>(m_context, announced, std::move(addresses),
                                                   dataPort, m_random, m_record));
    m_store->put(platform::announcementKey(name), platform::encodeAnnouncement(announced));
    m_record.write("backend " + name + " of " + service + " at " + toString(announced.address)
                   + " is registered");
    return *m_backends.back();
}

std::string fleet::settingsOf(const node &instance) const
{
    json zones = json::object();
    for (unsigned zone = 0; zone < m_plan.zones; ++zone)
        zones[zoneName(zone)] = "region";
    json seeds = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_nodes.size()); ++i)
        seeds.push_back(toString(address(nodeKind, i, controlPort)));
    const auto ip = toString(instance.data);
    return json {{"node_id", instance.name},
                 {"role", "entry"},
                 {"machine_class", "front"},
                 {"serves", {"front", "control"}},
                 {"ip", ip.substr(0, ip.find(':'))},
                 {"zone", zoneName(instance.zone)},
                 {"region", "region"},
                 {"zones", zones},
                 {"listen_addrs",
                  {{"datagram_addr", toString(instance.data)},
                   {"ready", toString(instance.status)},
                   {"control", toString(address(nodeKind, instance.number, controlPort))}}},
                 {"internal_ports", {7720, 7735}},
                 {"seeds", seeds},
                 {"limits", {{"memory_mb", 182}, {"max_fds", 2870}, {"link_mbps", 700.0}}},
                 {"heartbeat_ms", 1200},
                 {"bounds",
                  {{"contact_ms", 4000},
                   {"drain_ms", 3000},
                   {"grace_s", 6},
                   {"config_apply_ms", 3000},
                   {"rollback_slack_ms", 250},
                   {"max_stretch_ms", 12000},
                   {"recovery_s", 12},
                   {"flow_reorder_ms", 2000},
                   {"flow_ttl_s", 60}}},
                 {"flow_hash", "mod"},
                 {"forwarding_mode", "echo"},
                 {"platform",
                  {{"address", toString(instance.store)},
                   {"forwarding_mode", "kv"},
                   {"writes_per_s", 400},
                   {"reads_per_s", 2000},
                   {"history_s", 20},
                   {"max_value_bytes", 1048576},
                   {"min_ttl_ms", 1000}}}}
        .dump();
}

void fleet::writeSettings()
{
    for (const auto &instance : m_nodes) {
        // Renamed into place, so that no instance reads a part of it.
        const std::string path = m_plan.folder + '/' + instance->name + ".json";
        std::ofstream(path + ".new") << settingsOf(*instance);
        std::rename((path + ".new").c_str(), path.c_str());
    }
}

void fleet::start(node &started)
{
    const std::string settings =
        "CHICORYHEAD_SETTINGS=" + m_plan.folder + '/' + started.name + ".json";
    const std::string log = m_plan.folder + '/' + started.name + ".log";
    const char *path = std::getenv("PATH");
    const std::string pathVariable = std::string("PATH=") + (path == nullptr ? "" : path);
    const std::array<const char *, 4> arguments {program, metricsFlag, metricsPort, nullptr};
    const std::array<const char *, 3> environment {settings.c_str(), pathVariable.c_str(), nullptr};
    m_record.write("instance " + started.name + " is started");
    started.process = ::fork();
    if (started.process < 0)
        throw std::runtime_error("can't start an instance");
    if (started.process > 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    if (::chdir(m_plan.repository.c_str()) == 0)
        ::execve(program, const_cast<char *const *>(arguments.data()),
                 const_cast<char *const *>(environment.data()));
    ::_exit(127);
}

void fleet::signal(node &target, int number)
{
    m_record.write("instance " + target.name + " gets signal " + std::to_string(number));
    if (target.process > 0)
        ::kill(target.process, number);
}

bool fleet::isRunning(node &target)
{
    int status = 0;
    if (target.process > 0 && ::waitpid(target.process, &status, WNOHANG) == target.process) {
        m_record.write("instance " + target.name + " ends with status " + std::to_string(status));
        target.process = 0;
    }
    return target.process > 0;
}

bool fleet::startAll()
{
    writeSettings();
    for (const auto &instance : m_nodes) {
        instance->checks = std::make_unique<http_connection>(m_context, instance->status,
                                                             toString(instance->status));
        start(*instance);
    }
    tick();
    check();
    for (int i = 0; i < 150 && !areAllReady(); ++i)
        runFor(100ms);
    m_record.write(areAllReady() ? "all instances are ready" : "not all instances became ready");
    return areAllReady();
}

bool fleet::areAllReady() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [](const auto &instance) { return instance->failedChecks == 0; });
}

void fleet::open(unsigned zone, unsigned route, unsigned requests, std::chrono::milliseconds pause)
{
    m_callers.at(zone)->open(routeAddress(route), requests, pause);
}

void fleet::runFor(std::chrono::milliseconds duration)
{
    m_context.restart();
    m_context.run_for(duration);
}

std::string fleet::readPage(const node &instance, const std::string &path)
{
    http_connection connection(m_context, instance.status, toString(instance.status));
    std::optional<result<http_response>> response;
    connection.start({"GET", path, {}, 1000ms},
                     [&](result<http_response> received) { response = std::move(received); });
    m_context.restart();
    while (!response)
        m_context.run_one_for(20ms);
    return *response ? response->value().body : std::string();
}

/// As the platform's routers: a hash over the instances in rotation; all of the zone's if fewer
/// than half of them are in rotation, and those of other zones if none is.
std::optional<endpoint> fleet::route(unsigned zone, const flow_key &flow)
{
    m_flows.try_emplace(flow).first->second.startedAt =
        m_flows[flow].startedAt > 0 ? m_flows[flow].startedAt : m_record.seconds();
    std::vector<const node *> own;
    std::vector<const node *> ready;
    std::vector<const node *> others;
    for (const auto &instance : m_nodes) {
        const bool isReady = instance->failedChecks < maxFailedChecks;
        if (instance->zone == zone)
            own.push_back(instance.get());
        if (isReady)
            (instance->zone == zone ? ready : others).push_back(instance.get());
    }
    const auto &chosen = ready.empty() ? others : ready.size() * 2 < own.size() ? own : ready;
    if (chosen.empty())
        return std::nullopt;
    return chosen[hashFlow(flow) % chosen.size()]->data;
}

void fleet::tick()
{
    for (const auto &caller : m_callers)
        caller->tick();
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](std::error_code code) {
        if (!code)
            tick();
    });
}

void fleet::check()
{
    for (const auto &instance : m_nodes) {
        if (instance->checks->isBusy())
            continue;
        node *checked = instance.get();
        checked->checks->start({"GET", std::string(platform::names::readyPath), {}, 450ms},
                               [checked](const result<http_response> &answer) {
                                   const bool isReady = answer && answer.value().status == 200;
                                   checked->failedChecks = isReady ? 0 : checked->failedChecks + 1;
                               });
    }
    m_checks.expires_after(checkInterval);
    m_checks.async_wait([this](std::error_code code) {
        if (!code)
            check();
    });
}

void fleet::onOpened(const flow_key &flow, const std::string &upstream)
{
    m_flows[flow].backend = upstream;
    // A client answers at once, not with the next tick.
    asio::post(m_context, [this] {
        for (const auto &caller : m_callers)
            caller->tick();
    });
    m_record.write("flow " + toString(flow) + " is open at " + upstream);
}

void fleet::onNotOpened(const flow_key &flow, bool isRefused)
{
    m_flows[flow].isRefused = isRefused;
    m_flows[flow].isEnded = true;
    m_record.write("flow " + toString(flow)
                   + (isRefused ? " is refused with a reset" : " is not opened in time"));
}

void fleet::onAnswered(const flow_key &flow, const std::string & /*upstream*/,
                       monotonic_time /*latency*/)
{
    ++m_flows[flow].answers;
    m_flows[flow].lastAnswerAt = m_record.seconds();
}

void fleet::onBroken(const flow_key &flow, const std::string &upstream, const std::string &reason)
{
    flow_record &broken = m_flows[flow];
    broken.broken = reason;
    broken.brokenAt = m_record.seconds();
    broken.isEnded = true;
    m_record.write("flow " + toString(flow) + ", open at " + upstream + ", breaks: " + reason);
}

} // namespace chicoryhead::review
