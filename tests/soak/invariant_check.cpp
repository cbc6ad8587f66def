/**
 * @file invariant_check.cpp
 * Checks of the soak. An invariant with a time bound is checked only where nothing disturbed the
 * process and the store, in accordance with the platform's rules.
 */

#include "invariant_check.h"

#include "entry/status_documents.h"

#include <nlohmann/json.hpp>

#include <sys/wait.h>

#include <algorithm>

namespace chicoryhead::soak {

namespace {

using namespace std::chrono_literals;

/// Opening windows over which recovery is evaluated.
constexpr std::size_t recoveryWindows = 3;
constexpr monotonic_time windowTime = 1s;

std::string formatMilliseconds(monotonic_time time)
{
    return std::to_string(time / 1ms) + " ms";
}

} // namespace

std::string_view toString(invariant value)
{
    return invariantNames.at(static_cast<std::size_t>(value));
}

void invariant_check::watch(standin::deployment_standin &deployment)
{
    m_deployment = &deployment;
    m_disturbedAt = deployment.clock().now();
    for (const auto &instance : deployment.instances()) {
        const auto &settings = instance.program->settings();
        const endpoint statusAddress {settings.dataAddress.address, settings.metricsPort};
        watched_process process;
        process.statusConnection =
            std::make_unique<http_connection>(m_context, statusAddress, toString(statusAddress));
        process.disturbedAt = m_disturbedAt;
        m_processes.push_back(std::move(process));
    }
}

void invariant_check::report(invariant broken, const std::string &text)
{
    m_violations.push_back({broken, text});
}

void invariant_check::countCheck(invariant checked)
{
    ++m_checkCounts.at(static_cast<std::size_t>(checked));
}

void invariant_check::countDrainChecks()
{
    const auto now = m_deployment->clock().now();
    for (const auto &[upstream, since] : m_drainStarts) {
        const auto drainedAt = since;
        const bool wasAnyUndisturbed = std::any_of(
            m_processes.begin(), m_processes.end(),
            [&](const watched_process &process) { return wasUndisturbed(process, drainedAt); });
        if (now - since > m_bounds.drain + m_bounds.slack && wasAnyUndisturbed
            && wasStoreStable(since) && m_deployment->findUpstream(upstream) != nullptr
            && m_countedDrains.insert(upstream).second)
            countCheck(invariant::Drain);
    }
}

void invariant_check::recordResume(std::size_t instance)
{
    recordDisturbance(instance);
    auto &stopRequestedAt = m_processes[instance].stopRequestedAt;
    if (stopRequestedAt.count() > 0)
        stopRequestedAt = m_deployment->clock().now();
}

void invariant_check::setStoreStable(bool isStable)
{
    const auto now = m_deployment->clock().now();
    m_disturbedAt = now;
    if (!isStable)
        m_storeStableSince.reset();
    else if (!m_storeStableSince)
        m_storeStableSince = now;
}

void invariant_check::recordDisturbance(std::size_t instance)
{
    m_disturbedAt = m_processes[instance].disturbedAt = m_deployment->clock().now();
}

void invariant_check::recordConfig(config_version version)
{
    m_expectedConfigs.push_back({version, m_deployment->clock().now()});
}

void invariant_check::recordDrain(const std::string &upstream, monotonic_time at)
{
    m_drainStarts.emplace(upstream, at);
}

void invariant_check::recordCut(const std::string &upstream, monotonic_time until)
{
    m_disturbedAt = m_deployment->clock().now();
    m_cutEnds[upstream] = until;
}

void invariant_check::recordStop(std::size_t instance)
{
    recordDisturbance(instance);
    m_processes[instance].stopRequestedAt = m_deployment->clock().now();
}

void invariant_check::recordKill(std::size_t instance)
{
    recordDisturbance(instance);
    m_processes[instance].isKilled = true;
}

bool invariant_check::takeExit(std::size_t instance)
{
    return std::exchange(m_processes[instance].hasExited, false);
}

bool invariant_check::wasUndisturbed(const watched_process &process, monotonic_time since) const
{
    return process.disturbedAt + m_bounds.settleTime <= since;
}

bool invariant_check::wasStoreStable(monotonic_time since) const
{
    return m_storeStableSince && *m_storeStableSince + m_bounds.settleTime <= since;
}

void invariant_check::tick()
{
    const auto now = m_deployment->clock().now();
    while (!m_expectedConfigs.empty() && m_expectedConfigs.front().at + 4 * m_bounds.config < now)
        m_expectedConfigs.pop_front();
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        checkProcess(i);
        requestVersion(i);
    }
    countDrainChecks();
    checkRecovery();
}

void invariant_check::checkProcess(std::size_t index)
{
    auto &program = *m_deployment->instances()[index].program;
    watched_process &process = m_processes[index];
    const auto now = m_deployment->clock().now();
    const std::string &name = program.settings().name;
    if (const auto status = program.pollExitStatus()) {
        const bool isClean = WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
        if (!process.isKilled && (process.stopRequestedAt.count() == 0 || !isClean))
            report(invariant::Stop,
                   name + " exited without being told to stop or with an error, status "
                       + std::to_string(*status));
        if (process.stopRequestedAt.count() > 0 && !process.isKilled)
            countCheck(invariant::Stop);
        process.hasExited = true;
        process.isKilled = false;
        process.stopRequestedAt = monotonic_time {0};
        return;
    }
    const bool isPaused = m_deployment->instances()[index].isPaused;
    const bool isLate = process.stopRequestedAt.count() > 0 && !isPaused
        && now - process.stopRequestedAt > m_bounds.grace + m_bounds.slack;
    if (isLate && !process.isKilled) {
        report(invariant::Stop, name + " did not exit within the grace period");
        process.isKilled = true;
        program.signal(SIGKILL);
    }
}

void invariant_check::requestVersion(std::size_t index)
{
    watched_process &process = m_processes[index];
    const auto &program = *m_deployment->instances()[index].program;
    if (process.process != program.process()) {
        process.process = program.process();
        process.version = 0;
    }
    if (!program.isRunning() || process.statusConnection->isBusy())
        return;
    const http_request call {"GET", std::string(instancePath), {}, 400ms};
    process.statusConnection->start(
        call, [this, index, requestedFrom = process.process](const result<http_response> &answer) {
            if (!answer || answer.value().status != 200
                || requestedFrom != m_processes[index].process)
                return;
            const auto document = nlohmann::json::parse(answer.value().body, nullptr, false);
            if (document.is_object())
                checkVersion(index, document.value("version", config_version {0}));
        });
}

void invariant_check::checkVersion(std::size_t index, config_version version)
{
    watched_process &process = m_processes[index];
    const auto now = m_deployment->clock().now();
    const std::string &name = m_deployment->instances()[index].program->settings().name;
    if (version < process.version)
        report(invariant::Config, name + " reverted to version " + std::to_string(version));
    process.version = version;
    for (const expected_config &expected : m_expectedConfigs) {
        const auto elapsed = now - expected.at;
        if (elapsed <= m_bounds.config + m_bounds.slack || !wasUndisturbed(process, expected.at)
            || !wasStoreStable(expected.at))
            continue;
        countCheck(invariant::Config);
        if (version < expected.version) {
            report(invariant::Config,
                   name + " still has version " + std::to_string(version) + ", "
                       + formatMilliseconds(elapsed) + " after version "
                       + std::to_string(expected.version) + " was written");
            m_expectedConfigs.clear();
            return;
        }
    }
}

invariant_check::opening_window &invariant_check::currentWindow()
{
    const auto now = m_deployment->clock().now();
    if (m_windows.empty() || now - m_windows.back().at >= windowTime) {
        m_windows.push_back({now, 0, 0});
        if (m_windows.size() > recoveryWindows)
            m_windows.pop_front();
    }
    return m_windows.back();
}

void invariant_check::checkRecovery()
{
    currentWindow();
    if (m_windows.front().at - m_disturbedAt < m_bounds.recovery)
        return;
    unsigned opened = 0;
    unsigned notOpened = 0;
    for (const opening_window &window : m_windows) {
        opened += window.opened;
        notOpened += window.notOpened;
    }
    if (opened + notOpened > 0)
        countCheck(invariant::Recovery);
    // The same ratio as in the platform's rules.
    if (notOpened > 3 * opened) {
        report(invariant::Recovery,
               std::to_string(notOpened) + " flows failed to open, " + std::to_string(opened)
                   + " opened, " + formatMilliseconds(m_bounds.recovery) + " after the last fault");
        m_disturbedAt = m_deployment->clock().now();
    }
}

void invariant_check::onOpeningPacket(const std::string &upstream, const flow_key &flow)
{
    countCheck(invariant::Service);
    const auto found = m_drainStarts.find(upstream);
    const auto *instance = m_deployment->lastInstance(flow);
    if (found == m_drainStarts.end() || instance == nullptr)
        return;
    const auto index = static_cast<std::size_t>(instance - m_deployment->instances().data());
    const auto elapsed = m_deployment->clock().now() - found->second;
    if (elapsed > m_bounds.drain + m_bounds.slack
        && wasUndisturbed(m_processes[index], found->second) && wasStoreStable(found->second))
        report(invariant::Drain,
               "flow " + toString(flow) + " placed on " + upstream + " by "
                   + instance->program->settings().name + ' ' + formatMilliseconds(elapsed)
                   + " after the upstream announced that it is draining");
}

void invariant_check::onForeignPacket(const std::string &upstream, const flow_key &flow)
{
    report(invariant::Service,
           "packet of flow " + toString(flow) + " reached " + upstream
               + ", which serves another service");
}

void invariant_check::onOpened(const flow_key & /*flow*/, const std::string & /*upstream*/)
{
    ++m_opened;
    ++currentWindow().opened;
}

void invariant_check::onNotOpened(const flow_key & /*flow*/, bool /*isRefused*/)
{
    ++m_notOpened;
    ++currentWindow().notOpened;
}

void invariant_check::onAnswered(const flow_key & /*flow*/, const std::string & /*upstream*/,
                                 monotonic_time /*latency*/)
{
    countCheck(invariant::OpenFlow);
}

void invariant_check::onBroken(const flow_key &flow, const std::string &upstream,
                               const std::string &reason)
{
    if (m_deployment->findUpstream(upstream) == nullptr)
        return;
    const auto cut = m_cutEnds.find(upstream);
    if (cut != m_cutEnds.end()
        && m_deployment->clock().now() <= cut->second + standin::disruptionWindow)
        return;
    // A missing answer is a violation only if a healthy instance could have forwarded the caller's
    // retransmissions.
    const bool isSilence = reason == "request without answer";
    if (isSilence
        && !m_deployment->hadHealthyInstance(flow, m_deployment->clock().now() - m_bounds.recovery))
        return;
    report(invariant::OpenFlow, "flow " + toString(flow) + " on " + upstream + ": " + reason);
}

} // namespace chicoryhead::soak
