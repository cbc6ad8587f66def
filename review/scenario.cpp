/**
 * @file scenario.cpp
 * Processes, routers, upstreams and callers of a small deployment.
 */

#include "scenario.h"

#include "platform/packet_codec.h"
#include "platform/packet_layout.h"
#include "platform/platform_names.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace review {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr unsigned storeKind = 0;
constexpr unsigned instanceKind = 1;
constexpr unsigned upstreamKind = 2;
constexpr unsigned callerKind = 3;
constexpr unsigned serviceKind = 9;

constexpr std::uint16_t dataPort = 8172;
constexpr std::uint16_t statusPort = 8167;
constexpr std::uint16_t controlPort = 8166;
constexpr std::uint16_t firstPeerPort = 7720;
constexpr std::uint16_t lastPeerPort = 7735;
constexpr std::uint16_t storePort = 8169;
constexpr std::uint16_t upstreamPort = 8080;
constexpr std::uint16_t servicePort = 443;

/// Times of callers, routers and upstreams on the platform.
constexpr std::array<monotonic_time, 3> openingSendTimes {0ms, 200ms, 600ms};
constexpr monotonic_time openingTimeout = 1400ms;
constexpr monotonic_time initialRetryDelay = 200ms;
constexpr monotonic_time maxRetryDelay = 1600ms;
constexpr monotonic_time requestDeadline = 3000ms;
constexpr monotonic_time checkInterval = 500ms;
constexpr monotonic_time heartbeat = 1200ms;
/// A caller accepts a reset of an open flow if its number is this close to its acknowledgement.
constexpr std::int32_t resetWindow = 76800;

std::uint64_t prefixOf(std::span<const std::byte> bytes)
{
    std::uint64_t prefix = 0;
    for (std::size_t i = 0; i < platform::prefixBytes; ++i)
        prefix = (prefix << 8U) | static_cast<std::uint64_t>(bytes[i]);
    return prefix;
}

} // namespace

scenario_arguments parseArguments(int argc, char **argv)
{
    scenario_arguments arguments;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        if (name == "--trouble")
            arguments.hasTrouble = std::string(argv[i + 1]) != "0";
        else if (name == "--record")
            arguments.record = argv[i + 1];
        else
            throw std::invalid_argument("unknown option " + name);
    }
    if (arguments.record.empty())
        throw std::invalid_argument("--record FILE is missing");
    return arguments;
}

scenario::scenario(const scenario_plan &plan, const scenario_arguments &arguments)
    : m_plan(plan)
    , m_record(arguments.record, std::ios::app)
    , m_hasTrouble(arguments.hasTrouble)
    , m_random(std::random_device {}())
{
    std::string folder = std::filesystem::temp_directory_path() / "chicoryhead-review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error("can't create a temporary folder");
    m_folder = folder;
    m_beganAt = m_clock.now();
    constexpr unsigned firstSlot = 20;
    constexpr unsigned slots = 200;
    const auto begin = static_cast<unsigned>(m_random() % slots);
    for (unsigned i = 0; i < slots && !m_store; ++i) {
        m_slot = firstSlot + (begin + i) % slots;
        try {
            m_store = std::make_unique<standin::store_standin>(m_context,
                                                               address(storeKind, 0, storePort));
        } catch (const std::exception &) {
            m_store.reset();
        }
    }
    if (!m_store)
        throw std::runtime_error("no free address for the store");
    for (unsigned domain = 0; domain < m_plan.domains; ++domain) {
        m_callerSockets.push_back(std::make_unique<udp_socket>(
            m_context, address(callerKind, domain, dataPort),
            [this](std::span<const std::byte> bytes, const endpoint & /*from*/) {
                onCallerDatagram(bytes);
            }));
        m_callerSockets.back()->start();
    }
    const unsigned regular = m_plan.domains * m_plan.instancesPerDomain;
    for (unsigned i = 0; i < regular + m_plan.spareInstances; ++i) {
        instance added;
        added.domain = domainName(i < regular ? i / m_plan.instancesPerDomain : 0);
        added.name = "front-" + added.domain + "-" + std::to_string(i);
        added.dataAddress = address(instanceKind, i, dataPort);
        added.statusAddress = address(instanceKind, i, statusPort);
        added.readiness = std::make_unique<http_connection>(m_context, added.statusAddress,
                                                            toString(added.statusAddress));
        m_instances.push_back(std::move(added));
    }
    for (const instance &written : m_instances)
        writeSettings(written);
}

scenario::~scenario()
{
    for (const instance &started : m_instances) {
        if (started.process == 0)
            continue;
        ::kill(started.process, SIGKILL);
        ::waitpid(started.process, nullptr, 0);
    }
    const char *kept = std::getenv("KEEP");
    if (kept == nullptr)
        std::filesystem::remove_all(m_folder);
    else
        std::cerr << m_folder << '\n';
}

endpoint scenario::address(unsigned kind, std::size_t number, std::uint16_t port) const
{
    return {(127U << 24U) | (m_slot << 16U) | (kind << 8U) | static_cast<std::uint32_t>(number + 1),
            port};
}

endpoint scenario::serviceAddress(unsigned service) const
{
    return address(serviceKind, service, servicePort);
}

void scenario::writeSettings(const instance &written) const
{
    json zones = json::object();
    for (unsigned domain = 0; domain < m_plan.domains; ++domain)
        zones[domainName(domain)] = "region";
    json seeds = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(m_instances.size(), 3); ++i)
        seeds.push_back(toString(address(instanceKind, i, controlPort)));
    json bounds {
        {"seed_lag_s", 3},  {"addr_reuse_s", 2},          {"contact_ms", m_plan.contactMs},
        {"ack_ms", 5000},   {"drain_ms", m_plan.boundMs}, {"config_apply_ms", m_plan.boundMs},
        {"grace_s", 6},     {"rollback_slack_ms", 250},   {"max_stretch_ms", 12000},
        {"recovery_s", 12}, {"flow_reorder_ms", 2000},    {"flow_ttl_s", m_plan.flowTtlS}};
    if (m_plan.evacuateMs > 0) {
        bounds["evacuate_ms"] = m_plan.evacuateMs;
        bounds["warmup_excess"] = 1.5;
        bounds["warmup_slack"] = 5;
    }
    const std::string ip = toString(written.dataAddress);
    const json settings {
        {"node_id", written.name},
        {"role", "entry"},
        {"machine_class", "front"},
        {"serves", {"front", "control"}},
        {"ip", ip.substr(0, ip.find(':'))},
        {"zone", written.domain},
        {"region", "region"},
        {"zones", zones},
        {"listen_addrs",
         {{"datagram_addr", ip},
          {"ready", toString(written.statusAddress)},
          {"control", toString(endpoint {written.dataAddress.address, controlPort})}}},
        {"internal_ports", {firstPeerPort, lastPeerPort}},
        {"seeds", seeds},
        {"bootstrap", true},
        {"limits",
         {{"cpu_share", 1.0},
          {"cpu_cores", 1},
          {"memory_mb", 182},
          {"max_fds", 2870},
          {"link_mbps", 700.0}}},
        {"heartbeat_ms", heartbeat / 1ms},
        {"bounds", bounds},
        {"flow_hash", "mod"},
        {"forwarding_mode", "echo"},
        {"platform",
         {{"address", toString(address(storeKind, 0, storePort))},
          {"forwarding_mode", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"history_s", 20},
          {"max_value_bytes", 1048576},
          {"min_ttl_ms", 1000}}}};
    std::ofstream(m_folder / (written.name + ".json")) << settings.dump(1);
}

void scenario::startInstance(std::size_t index)
{
    instance &started = m_instances.at(index);
    const std::string log = m_folder / (started.name + ".out");
    const std::string variable = std::string(platform::names::settingsVariable) + "="
        + (m_folder / (started.name + ".json")).string();
    const std::array<const char *, 4> arguments {started.program.c_str(), "--metrics_port", "9102",
                                                 nullptr};
    const std::array<const char *, 2> environment {variable.c_str(), nullptr};
    started.failedChecks = 2;
    started.process = ::fork();
    if (started.process < 0)
        throw std::runtime_error("can't start an instance");
    if (started.process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execve(arguments[0], const_cast<char *const *>(arguments.data()),
                 const_cast<char *const *>(environment.data()));
        ::_exit(127);
    }
    record("instance " + started.name + " started");
}

void scenario::signalInstance(std::size_t index, int number)
{
    const instance &target = m_instances.at(index);
    if (target.process == 0)
        return;
    record("instance " + target.name + " gets signal " + std::to_string(number));
    ::kill(target.process, number);
}

bool scenario::hasEnded(std::size_t index)
{
    instance &target = m_instances.at(index);
    if (target.process == 0)
        return true;
    int status = 0;
    if (::waitpid(target.process, &status, WNOHANG) != target.process)
        return false;
    record("instance " + target.name + " ended with status " + std::to_string(status));
    target.process = 0;
    return true;
}

bool scenario::awaitReady(std::chrono::milliseconds timeout)
{
    const auto end = now() + timeout;
    while (now() < end) {
        run(50ms);
        const bool isReady =
            std::all_of(m_instances.begin(), m_instances.end(), [this](const instance &checked) {
                return checked.process == 0 || isInRotation(checked);
            });
        if (isReady)
            return true;
    }
    return false;
}

upstream &scenario::addUpstream(unsigned service, unsigned domain, monotonic_time warmupLeft)
{
    std::array<char, 16> name {};
    std::snprintf(name.data(), name.size(), "i-%08x", random());
    auto added = std::make_unique<upstream>();
    auto &announced = added->announced;
    announced.name = name.data();
    announced.wireId = platform::parseWireId(announced.name).value_or(0);
    announced.service = "service-" + std::to_string(service);
    announced.address = address(upstreamKind, m_upstreams.size(), upstreamPort);
    announced.domain = domainName(domain);
    announced.slots = 3;
    announced.sequenceNumber = 1;
    announced.warmupLeft = warmupLeft;
    announced.startedAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
    added->maxFlows = m_plan.maxConnections;
    upstream &created = *added;
    created.socket = std::make_unique<udp_socket>(
        m_context, announced.address,
        [this, &created](std::span<const std::byte> bytes, const endpoint & /*from*/) {
            onUpstreamDatagram(created, bytes);
        });
    created.socket->start();
    // Upstreams write at different times.
    created.nextBeatAt =
        now() + heartbeat + heartbeat * static_cast<int>(m_upstreams.size() % 6) / 6;
    m_upstreams.push_back(std::move(added));
    announce(created);
    return created;
}

void scenario::announce(upstream &announcing)
{
    m_store->put(platform::announcementKey(announcing.announced.name),
                 platform::encodeAnnouncement(announcing.announced));
}

upstream *scenario::findUpstream(const std::string &name)
{
    for (const auto &candidate : m_upstreams) {
        if (candidate->announced.name == name)
            return candidate.get();
    }
    return nullptr;
}

void scenario::putConfig()
{
    m_version += 1 + random() % 3;
    json config {{"version", m_version},
                 {"routes", json::array()},
                 {"services", json::array()},
                 {"limits", {{"idle_timeout_ms", m_plan.idleMs}}}};
    for (unsigned service = 0; service < m_plan.services; ++service) {
        const std::string host = toString(serviceAddress(service));
        const std::string name = "service-" + std::to_string(service);
        config["routes"].push_back({{"name", "route-" + std::to_string(service)},
                                    {"host", host.substr(0, host.find(':'))},
                                    {"prefix", "/" + std::to_string(servicePort) + "/"},
                                    {"route_type", "idempotent"},
                                    {"timeout_ms", 1200},
                                    {"target_latency_ms", 200},
                                    {"priority", 1},
                                    {"service", name},
                                    {"max_attempts", 2}});
        config["services"].push_back({{"name", name},
                                      {"health_path", "/health"},
                                      {"max_connections", m_plan.maxConnections},
                                      {"warmup_s", m_plan.warmupTimeS},
                                      {"warmup_per_s", m_plan.warmupRate}});
    }
    m_store->put(std::string(platform::names::configKey), config.dump());
    record("configuration " + std::to_string(m_version) + " acknowledged");
}

instance *scenario::routeOf(const flow_key &flow)
{
    const unsigned domain = (flow.caller.address & 0xffU) - 1;
    std::vector<instance *> own;
    std::vector<instance *> ready;
    std::vector<instance *> anywhere;
    for (instance &candidate : m_instances) {
        if (candidate.process == 0)
            continue;
        const bool isOwn = candidate.domain == domainName(domain);
        if (isOwn)
            own.push_back(&candidate);
        if (isInRotation(candidate))
            (isOwn ? ready : anywhere).push_back(&candidate);
    }
    // As the platform's routers do: all instances of the domain if fewer than half of them are in
    // rotation, and those of other domains if none is.
    const auto &chosen = ready.empty() ? anywhere : ready.size() * 2 < own.size() ? own : ready;
    return chosen.empty() ? nullptr : chosen[hashFlow(flow) % chosen.size()];
}

caller_flow &scenario::open(unsigned service, unsigned domain, unsigned requests,
                            monotonic_time thinkTime)
{
    auto opened = std::make_unique<caller_flow>();
    opened->key = {{address(callerKind, domain, 0).address, m_nextPort++},
                   serviceAddress(service),
                   transport::Tcp};
    if (m_nextPort > 60000)
        m_nextPort = 10000;
    opened->start = random();
    opened->next = opened->start + 1;
    opened->remaining = requests;
    opened->thinkTime = thinkTime;
    opened->startedAt = now();
    m_flowsByKey[opened->key] = opened.get();
    m_flows.push_back(std::move(opened));
    tickFlow(*m_flows.back());
    return *m_flows.back();
}

void scenario::request(caller_flow &flow)
{
    ++flow.remaining;
    flow.nextSendAt = now();
}

void scenario::tickFlow(caller_flow &flow)
{
    const auto at = now();
    platform::wire_packet packet;
    if (!flow.isOpen) {
        const auto age = at - flow.startedAt;
        if (age >= openingTimeout) {
            finish(flow, "not opened in time");
        } else if (flow.copies < openingSendTimes.size()
                   && age >= openingSendTimes.at(flow.copies)) {
            packet.isOpening = true;
            packet.sequence = flow.start;
            packet.acknowledged = flow.copies++;
            record("flow " + toString(flow.key.caller) + " sends opening packet "
                   + std::to_string(flow.copies));
            sendFromCaller(flow, packet);
        }
        return;
    }
    if (at < flow.nextSendAt)
        return;
    packet.isAck = true;
    packet.sequence = flow.next;
    packet.acknowledged = flow.acknowledged;
    if (flow.request.empty()) {
        if (flow.remaining == 0)
            return;
        --flow.remaining;
        flow.request = "request " + std::to_string(m_nextRequest++);
        record("flow " + toString(flow.key.caller) + " sends " + flow.request);
        flow.requestAt = at;
        flow.retryDelay = initialRetryDelay;
    } else if (at - flow.requestAt >= requestDeadline) {
        packet.isFin = true;
        sendFromCaller(flow, packet);
        finish(flow, "no answer before the deadline");
        return;
    } else {
        flow.retryDelay = std::min(flow.retryDelay * 2, maxRetryDelay);
    }
    flow.nextSendAt = at + flow.retryDelay;
    packet.data = flow.request;
    sendFromCaller(flow, packet);
}

void scenario::finish(caller_flow &flow, const std::string &reason)
{
    flow.isOver = true;
    flow.endedAt = now();
    m_flowsByKey.erase(flow.key);
    if (!reason.empty())
        record("flow " + toString(flow.key.caller) + " at "
               + (flow.isOpen ? flow.upstream : std::string("no upstream")) + ": " + reason);
}

void scenario::sendFromCaller(const caller_flow &flow, platform::wire_packet packet)
{
    packet.source = flow.key.caller;
    packet.target = flow.key.service;
    packet.tag = packet.isOpening ? 0 : flow.tag;
    const instance *target = routeOf(flow.key);
    if (target == nullptr)
        return;
    const unsigned domain = (flow.key.caller.address & 0xffU) - 1;
    m_callerSockets.at(domain)->send(target->dataAddress, platform::encodePacket(packet));
    m_callerSockets.at(domain)->flush();
}

void scenario::onCallerDatagram(std::span<const std::byte> bytes)
{
    const auto decoded = platform::decodeWirePacket(bytes);
    if (!decoded)
        return;
    const platform::wire_packet &packet = decoded.value();
    const auto entry = m_flowsByKey.find({packet.target, packet.source, transport::Tcp});
    if (entry == m_flowsByKey.end())
        return;
    caller_flow &flow = *entry->second;
    if (packet.isReset) {
        const auto distance = static_cast<std::int32_t>(packet.sequence - flow.acknowledged);
        if (flow.isOpen && std::abs(distance) > resetWindow)
            return;
        flow.isReset = flow.isOpen;
        finish(flow, flow.isOpen ? "reset while it was open" : "refused with a reset");
        return;
    }
    // A caller places the last tag that it received on the flow in its own packets.
    flow.tag = packet.tag;
    if (packet.isOpening) {
        if (flow.isOpen)
            return;
        flow.isOpen = true;
        flow.upstream = packet.data;
        record("flow " + toString(flow.key.caller) + " is open at " + flow.upstream);
        flow.acknowledged = packet.sequence + 1;
        platform::wire_packet answer;
        answer.isAck = true;
        answer.sequence = flow.next;
        answer.acknowledged = flow.acknowledged;
        sendFromCaller(flow, answer);
        flow.nextSendAt = now();
        tickFlow(flow);
        return;
    }
    if (flow.request.empty() || !packet.data.starts_with(flow.request + ' '))
        return;
    flow.next += static_cast<std::uint32_t>(flow.request.size());
    flow.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
    flow.request.clear();
    ++flow.answers;
    record("flow " + toString(flow.key.caller) + " gets the answer of " + packet.data);
    flow.nextSendAt = now() + flow.thinkTime;
    platform::wire_packet answer;
    answer.isAck = true;
    answer.sequence = flow.next;
    answer.acknowledged = flow.acknowledged;
    sendFromCaller(flow, answer);
}

void scenario::onUpstreamDatagram(upstream &receiver, std::span<const std::byte> bytes)
{
    if (receiver.isCut || bytes.size() < platform::prefixBytes)
        return;
    const std::uint64_t wanted = prefixOf(bytes);
    const auto decoded = platform::decodeWirePacket(bytes.subspan(platform::prefixBytes));
    if (!decoded || (wanted != 0 && wanted != receiver.announced.wireId))
        return;
    const platform::wire_packet &packet = decoded.value();
    const flow_key key {packet.source, packet.target, transport::Tcp};
    platform::wire_packet answer;
    answer.isAck = true;
    if (packet.isOpening) {
        const auto known = receiver.flows.find(key);
        if (known == receiver.flows.end() && receiver.flows.size() >= receiver.maxFlows) {
            ++receiver.refused;
            return;
        }
        if (known == receiver.flows.end() || known->second.callerStart != packet.sequence) {
            auto &added = receiver.flows[key];
            added = {};
            added.callerStart = packet.sequence;
            added.start = random();
            receiver.openings.emplace_back(now(), key);
            record("upstream " + receiver.announced.name + " gets the opening packet of flow "
                   + toString(key.caller));
        }
        auto &flow = receiver.flows[key];
        flow.tag = packet.tag;
        flow.retryDelay = initialRetryDelay;
        answerOpening(receiver, key);
        return;
    }
    const auto found = receiver.flows.find(key);
    if (found == receiver.flows.end()) {
        answer.isAck = false;
        answer.isReset = true;
        answer.sequence = packet.acknowledged;
        receiver.resetFlows.insert(key);
        record("upstream " + receiver.announced.name + " resets unknown flow "
               + toString(key.caller));
        reply(receiver, packet, answer);
        return;
    }
    auto &flow = found->second;
    if (!flow.isOpen && packet.acknowledged != flow.start + 1) {
        // The caller opened the flow at another upstream, so this one does not hold it.
        receiver.flows.erase(found);
        answer.isAck = false;
        answer.isReset = true;
        answer.sequence = packet.acknowledged;
        receiver.resetFlows.insert(key);
        record("upstream " + receiver.announced.name + " resets flow " + toString(key.caller)
               + ", which is open at another one");
        reply(receiver, packet, answer);
        return;
    }
    flow.isOpen = true;
    if (packet.isFin) {
        receiver.flows.erase(found);
        return;
    }
    if (packet.data.empty())
        return;
    if (flow.answer.empty() || flow.answered != packet.sequence) {
        flow.sent += static_cast<std::uint32_t>(flow.answer.size());
        flow.answer = packet.data + ' ' + receiver.announced.name;
        record("upstream " + receiver.announced.name + " runs " + packet.data + " of flow "
               + toString(key.caller));
        flow.answered = packet.sequence;
    }
    answer.sequence = flow.start + 1 + flow.sent;
    answer.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
    answer.data = flow.answer;
    reply(receiver, packet, answer);
}

/// An answer that is not acknowledged is a missing packet, which is sent again up to eight times.
void scenario::answerOpening(upstream &sender, const flow_key &key)
{
    auto &flow = sender.flows.at(key);
    flow.answerAgainAt = now() + flow.retryDelay;
    flow.retryDelay = std::min(flow.retryDelay * 2, maxRetryDelay);
    ++flow.answersSent;
    if (sender.answersToLose > 0) {
        --sender.answersToLose;
        sender.lastLossAt = now();
        record("the network loses the answer of " + sender.announced.name
               + " to the opening packet of flow " + toString(key.caller));
        return;
    }
    platform::wire_packet to;
    to.source = key.caller;
    to.target = key.service;
    to.tag = flow.tag;
    platform::wire_packet answer;
    answer.isOpening = true;
    answer.isAck = true;
    answer.sequence = flow.start;
    answer.acknowledged = flow.callerStart + 1;
    answer.data = sender.announced.name;
    reply(sender, to, answer);
}

void scenario::reply(upstream &sender, const platform::wire_packet &to,
                     platform::wire_packet answer)
{
    answer.source = to.target;
    answer.target = to.source;
    answer.tag = to.tag;
    sender.socket->send({to.source.address, dataPort}, platform::encodePacket(answer));
    sender.socket->flush();
}

void scenario::tick()
{
    const auto at = now();
    for (std::size_t i = 0; i < m_flows.size(); ++i) {
        if (!m_flows[i]->isOver)
            tickFlow(*m_flows[i]);
    }
    for (const auto &answering : m_upstreams) {
        constexpr unsigned maxAnswers = 9;
        for (auto &[key, flow] : answering->flows) {
            if (!flow.isOpen && flow.answersSent < maxAnswers && at >= flow.answerAgainAt)
                answerOpening(*answering, key);
        }
    }
    for (const auto &beating : m_upstreams) {
        if (beating->isAbsent || beating->isCut || at < beating->nextBeatAt)
            continue;
        beating->nextBeatAt += heartbeat;
        ++beating->announced.sequenceNumber;
        beating->announced.warmupLeft =
            std::max(beating->announced.warmupLeft - heartbeat, monotonic_time {0});
        announce(*beating);
    }
    if (at < m_nextCheckAt)
        return;
    m_nextCheckAt = at + checkInterval;
    for (instance &checked : m_instances)
        check(checked);
}

void scenario::check(instance &checked)
{
    if (checked.process == 0 || checked.readiness->isBusy())
        return;
    const http_request call {"GET", std::string(platform::names::readyPath), {}, 450ms};
    checked.readiness->start(call, [&checked](const result<http_response> &answer) {
        const bool isReady = answer && answer.value().status == 200;
        checked.failedChecks = isReady ? 0 : checked.failedChecks + 1;
    });
}

void scenario::run(std::chrono::milliseconds duration, const std::function<void()> &step)
{
    const auto end = now() + duration;
    while (now() < end) {
        if (step)
            step();
        tick();
        m_context.restart();
        m_context.run_for(5ms);
    }
}

void scenario::record(const std::string &line)
{
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f ",
                  std::chrono::duration<double>(now() - m_beganAt).count());
    m_record << time.data() << line << '\n';
}

} // namespace review
