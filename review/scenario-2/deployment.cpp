/**
 * @file deployment.cpp
 * Processes, settings files and readiness checks.
 */

#include "deployment.h"

#include "platform/platform_names.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace chicoryhead::review {

namespace {

using namespace std::chrono_literals;

constexpr unsigned portCount = 6;

bool isFree(std::uint16_t port)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int probe = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        const bool isBound =
            ::bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(probe);
        if (!isBound)
            return false;
    }
    return true;
}

} // namespace

address_plan::address_plan()
{
    const auto process = static_cast<unsigned>(::getpid());
    m_subnet = 64 + process % 128;
    for (unsigned first = 20000 + process % 100 * 100; first < 32000; first += portCount) {
        bool areFree = true;
        for (unsigned port = first; port < first + portCount; ++port)
            areFree = areFree && isFree(static_cast<std::uint16_t>(port));
        if (areFree) {
            m_firstPort = static_cast<std::uint16_t>(first);
            return;
        }
    }
    throw std::runtime_error("no free ports");
}

deployment::deployment(asio::io_context &context, const address_plan &addresses,
                       std::string program, std::string folder, const deployment_bounds &bounds,
                       record &log)
    : m_context(context)
    , m_addresses(addresses)
    , m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_bounds(bounds)
    , m_log(log)
{
}

deployment::~deployment()
{
    for (const auto &started : m_instances) {
        if (started->process == 0)
            continue;
        ::kill(started->process, SIGKILL);
        ::waitpid(started->process, nullptr, 0);
    }
}

void deployment::add(const std::string &domain)
{
    auto added = std::make_unique<instance>();
    added->number = static_cast<unsigned>(m_instances.size());
    added->name = "front-" + domain + "-" + std::to_string(added->number + 1);
    added->domain = domain;
    added->storeProxy = std::make_unique<standin::tcp_proxy>(
        m_context, m_addresses.instance(added->number, m_addresses.storePort()),
        m_addresses.store());
    m_instances.push_back(std::move(added));
}

void deployment::writeSettings(const instance &configured) const
{
    std::ostringstream seeds;
    for (unsigned number = 0; number < std::min<std::size_t>(m_instances.size(), 3); ++number)
        seeds << (number > 0 ? ", " : "") << '"'
              << toString(m_addresses.instance(number, m_addresses.statusPort())) << '"';
    const auto address = [&](std::uint16_t port) {
        return '"' + toString(m_addresses.instance(configured.number, port)) + '"';
    };
    std::ofstream(m_folder + '/' + configured.name + ".json")
        << "{\"node_id\": \"" << configured.name
        << "\", \"role\": \"entry\", \"machine_class\": \"front\", \"zone\": \""
        << configured.domain
        << "\", \"region\": \"gauteng\", \"zones\": {\"gauteng-a\": \"gauteng\", \"gauteng-b\": "
           "\"gauteng\", \"gauteng-c\": \"gauteng\"}, \"listen_addrs\": {\"datagram_addr\": "
        << address(m_addresses.dataPort()) << ", \"ready\": " << address(m_addresses.statusPort())
        << "}, \"internal_ports\": [" << m_addresses.peerPort() << ", " << m_addresses.peerPort()
        << "], \"seeds\": [" << seeds.str()
        << "], \"bootstrap\": false, \"limits\": {\"link_mbps\": 700.0}, \"heartbeat_ms\": 1200, "
           "\"bounds\": {\"contact_ms\": "
        << m_bounds.contactMs << ", \"drain_ms\": " << m_bounds.drainMs
        << ", \"grace_s\": 6, \"config_apply_ms\": " << m_bounds.configMs
        << ", \"rollback_slack_ms\": 250, \"max_stretch_ms\": 12000, \"flow_reorder_ms\": 2000, "
           "\"flow_ttl_s\": 60}, \"flow_hash\": \"mod\", \"forwarding_mode\": \"echo\", "
           "\"platform\": {\"address\": "
        << address(m_addresses.storePort())
        << ", \"forwarding_mode\": \"kv\", \"writes_per_s\": 400, \"reads_per_s\": 2000, "
           "\"history_s\": 20, \"max_value_bytes\": 1048576, \"min_ttl_ms\": 1000}}\n";
}

void deployment::start(instance &started)
{
    writeSettings(started);
    const std::string settings = "--settings=" + m_folder + '/' + started.name + ".json";
    const std::string port = "--metrics_port=" + std::to_string(m_addresses.metricsPort());
    const std::string logPath = m_folder + '/' + started.name + ".out";
    const char *const arguments[] = {m_program.c_str(), settings.c_str(), port.c_str(), nullptr};
    started.isStopping = false;
    started.disturbedAt = m_log.now();
    started.process = ::fork();
    if (started.process < 0)
        throw std::runtime_error("fork failed");
    if (started.process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execv(arguments[0], const_cast<char *const *>(arguments));
        ::_exit(127);
    }
    m_log.write("start: " + started.name);
}

void deployment::stop(instance &stopped, int signal)
{
    if (stopped.process == 0)
        return;
    stopped.isStopping = true;
    stopped.disturbedAt = m_log.now();
    ::kill(stopped.process, signal);
    m_log.write("signal " + std::to_string(signal) + ": " + stopped.name);
}

void deployment::reap()
{
    for (const auto &started : m_instances) {
        int status = 0;
        if (started->process == 0 || ::waitpid(started->process, &status, WNOHANG) == 0)
            continue;
        m_log.write("end: " + started->name + ", status " + std::to_string(status)
                    + (started->isStopping ? "" : ", by itself"));
        started->process = 0;
    }
}

void deployment::checkReadiness()
{
    for (const auto &checked : m_instances) {
        instance &target = *checked;
        const auto address = m_addresses.instance(target.number, m_addresses.statusPort());
        target.check = std::make_unique<http_connection>(m_context, address, toString(address));
        const http_request call {"GET", std::string(platform::names::readyPath), {}, 450ms};
        target.check->start(call, [this, &target](const result<http_response> &answer) {
            const bool wasInRotation = isInRotation(target);
            const bool isReady = answer && answer.value().status == 200;
            target.failedChecks = isReady ? 0 : target.failedChecks + 1;
            if (isInRotation(target) != wasInRotation)
                m_log.write((wasInRotation ? "out of rotation: " : "in rotation: ") + target.name);
        });
    }
}

bool deployment::areAllReady() const
{
    return std::all_of(m_instances.begin(), m_instances.end(),
                       [this](const auto &checked) { return isInRotation(*checked); });
}

bool deployment::isUndisturbed(const endpoint &address, monotonic_time since) const
{
    return std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &known) {
        return m_addresses.instance(known->number, m_addresses.dataPort()) == address
            && known->disturbedAt <= since;
    });
}

std::optional<endpoint> deployment::route(const std::string &domain, const flow_key &flow) const
{
    std::vector<const instance *> own;
    std::vector<const instance *> ready;
    std::vector<const instance *> elsewhere;
    for (const auto &candidate : m_instances) {
        const bool isOwn = candidate->domain == domain;
        if (isOwn)
            own.push_back(candidate.get());
        if (isInRotation(*candidate))
            (isOwn ? ready : elsewhere).push_back(candidate.get());
    }
    const auto &chosen = ready.empty() ? elsewhere : ready.size() * 2 < own.size() ? own : ready;
    if (chosen.empty())
        return std::nullopt;
    const instance *target = chosen[hashFlow(flow) % chosen.size()];
    return m_addresses.instance(target->number, m_addresses.dataPort());
}

} // namespace chicoryhead::review
