/**
 * @file invariant_check.cpp
 * Checks of the soak. A invariant with a time bound counts only where nothing disturbed the process
 * and the store, as the platform's rules have it.
 */

#include "invariant_check.h"

#include "entry/status_documents.h"

#include <nlohmann/json.hpp>

#include <sys/wait.h>

#include <algorithm>

namespace chicoryhead::soak {

namespace {

using namespace std::chrono_literals;

/// Windows of openings that recovery is judged by.
constexpr std::size_t judgedWindows = 3;
constexpr monotonic_time windowTime = 1s;

std::string formatSeconds(monotonic_time time)
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
        const endpoint pages {settings.dataAddress.address, settings.metricsPort};
        watched_process process;
        process.pages = std::make_unique<http_connection>(m_context, pages, toString(pages));
        process.disturbedAt = m_disturbedAt;
        m_processes.push_back(std::move(process));
    }
}

void invariant_check::report(invariant broken, const std::string &text)
{
    m_violations.push_back({broken, text});
}

void invariant_check::countOccasion(invariant checked)
{
    ++m_occasions.at(static_cast<std::size_t>(checked));
}

void invariant_check::countDrains()
{
    const auto now = m_deployment->clock().now();
    for (const auto &[upstream, since] : m_draining) {
        const auto drainedAt = since;
        const bool isJudged = std::any_of(
            m_processes.begin(), m_processes.end(),
            [&](const watched_process &process) { return wasUndisturbed(process, drainedAt); });
        if (now - since > m_bounds.drain + m_bounds.slack && isJudged && wasStoreStable(since)
            && m_deployment->findUpstream(upstream) != nullptr
            && m_countedDrains.insert(upstream).second)
            countOccasion(invariant::Drain);
    }
}

void invariant_check::noteResumed(std::size_t instance)
{
    noteDisturbed(instance);
    auto &stopAt = m_processes[instance].stopAt;
    if (stopAt.count() > 0)
        stopAt = m_deployment->clock().now();
}

void invariant_check::noteStore(bool isStable)
{
    const auto now = m_deployment->clock().now();
    m_disturbedAt = now;
    if (!isStable)
        m_storeStableSince.reset();
    else if (!m_storeStableSince)
        m_storeStableSince = now;
}

void invariant_check::noteDisturbed(std::size_t instance)
{
    m_disturbedAt = m_processes[instance].disturbedAt = m_deployment->clock().now();
}

void invariant_check::noteConfig(config_version version)
{
    m_expected.push_back({version, m_deployment->clock().now()});
}

void invariant_check::noteDrain(const std::string &upstream, monotonic_time at)
{
    m_draining.emplace(upstream, at);
}

void invariant_check::noteStop(std::size_t instance)
{
    noteDisturbed(instance);
    m_processes[instance].stopAt = m_deployment->clock().now();
}

void invariant_check::noteKill(std::size_t instance)
{
    noteDisturbed(instance);
    m_processes[instance].isKilled = true;
}

bool invariant_check::takeEnd(std::size_t instance)
{
    return std::exchange(m_processes[instance].hasEnded, false);
}

bool invariant_check::wasUndisturbed(const watched_process &process, monotonic_time since) const
{
    return process.disturbedAt + m_bounds.contact <= since;
}

bool invariant_check::wasStoreStable(monotonic_time since) const
{
    return m_storeStableSince && *m_storeStableSince + m_bounds.contact <= since;
}

void invariant_check::tick()
{
    const auto now = m_deployment->clock().now();
    while (!m_expected.empty() && m_expected.front().at + 4 * m_bounds.config < now)
        m_expected.pop_front();
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        checkProcess(i);
        askVersion(i);
    }
    countDrains();
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
        if (!process.isKilled && (process.stopAt.count() == 0 || !isClean))
            report(invariant::Stop, name + " ended by itself, status " + std::to_string(*status));
        if (process.stopAt.count() > 0 && !process.isKilled)
            countOccasion(invariant::Stop);
        process.hasEnded = true;
        process.isKilled = false;
        process.stopAt = monotonic_time {0};
        return;
    }
    const bool isPaused = m_deployment->instances()[index].isPaused;
    const bool isLate = process.stopAt.count() > 0 && !isPaused
        && now - process.stopAt > m_bounds.grace + m_bounds.slack;
    if (isLate && !process.isKilled) {
        report(invariant::Stop, name + " did not end in time");
        process.isKilled = true;
        program.signal(SIGKILL);
    }
}

void invariant_check::askVersion(std::size_t index)
{
    watched_process &process = m_processes[index];
    const auto &program = *m_deployment->instances()[index].program;
    if (process.process != program.process()) {
        process.process = program.process();
        process.version = 0;
    }
    if (!program.isRunning() || process.pages->isBusy())
        return;
    const http_call call {"GET", std::string(instancePath), {}, 400ms};
    process.pages->start(
        call, [this, index, asked = process.process](const result<http_answer> &answer) {
            if (!answer || answer.value().status != 200 || asked != m_processes[index].process)
                return;
            const auto page = nlohmann::json::parse(answer.value().body, nullptr, false);
            if (page.is_object())
                takeVersion(index, page.value("version", config_version {0}));
        });
}

void invariant_check::takeVersion(std::size_t index, config_version version)
{
    watched_process &process = m_processes[index];
    const auto now = m_deployment->clock().now();
    const std::string &name = m_deployment->instances()[index].program->settings().name;
    if (version < process.version)
        report(invariant::Config, name + " went back to version " + std::to_string(version));
    process.version = version;
    for (const expected_config &expected : m_expected) {
        const auto age = now - expected.at;
        if (age <= m_bounds.config + m_bounds.slack || !wasUndisturbed(process, expected.at)
            || !wasStoreStable(expected.at))
            continue;
        countOccasion(invariant::Config);
        if (version < expected.version) {
            report(invariant::Config,
                   name + " has version " + std::to_string(version) + ", " + formatSeconds(age)
                       + " after " + std::to_string(expected.version));
            m_expected.clear();
            return;
        }
    }
}

invariant_check::opening_window &invariant_check::window()
{
    const auto now = m_deployment->clock().now();
    if (m_windows.empty() || now - m_windows.back().at >= windowTime) {
        m_windows.push_back({now, 0, 0});
        if (m_windows.size() > judgedWindows)
            m_windows.pop_front();
    }
    return m_windows.back();
}

void invariant_check::checkRecovery()
{
    window();
    if (m_windows.front().at - m_disturbedAt < m_bounds.recovery)
        return;
    unsigned opened = 0;
    unsigned notOpened = 0;
    for (const opening_window &part : m_windows) {
        opened += part.opened;
        notOpened += part.notOpened;
    }
    if (opened + notOpened > 0)
        countOccasion(invariant::Recovery);
    // The same share as in the platform's rules.
    if (notOpened > 3 * opened) {
        report(invariant::Recovery,
               std::to_string(notOpened) + " flows not opened, " + std::to_string(opened)
                   + " opened, " + formatSeconds(m_bounds.recovery) + " after the last fault");
        m_disturbedAt = m_deployment->clock().now();
    }
}

void invariant_check::onOpeningPacket(const std::string &upstream, const flow_key &flow)
{
    countOccasion(invariant::Service);
    const auto found = m_draining.find(upstream);
    const auto *instance = m_deployment->lastInstance(flow);
    if (found == m_draining.end() || instance == nullptr)
        return;
    const auto index = static_cast<std::size_t>(instance - m_deployment->instances().data());
    const auto age = m_deployment->clock().now() - found->second;
    if (age > m_bounds.drain + m_bounds.slack && wasUndisturbed(m_processes[index], found->second)
        && wasStoreStable(found->second))
        report(invariant::Drain,
               "flow " + toString(flow) + " placed at " + upstream + " by "
                   + instance->program->settings().name + ' ' + formatSeconds(age)
                   + " after it announced that it leaves");
}

void invariant_check::onForeignPacket(const std::string &upstream, const flow_key &flow)
{
    report(invariant::Service, "packet of " + toString(flow) + " at " + upstream);
}

void invariant_check::onOpened(const flow_key & /*flow*/, const std::string & /*upstream*/)
{
    ++m_opened;
    ++window().opened;
}

void invariant_check::onNotOpened(const flow_key & /*flow*/, bool /*isRefused*/)
{
    ++m_notOpened;
    ++window().notOpened;
}

void invariant_check::onAnswered(const flow_key & /*flow*/, const std::string & /*upstream*/,
                                 monotonic_time /*latency*/)
{
    countOccasion(invariant::OpenFlow);
}

void invariant_check::onBroken(const flow_key &flow, const std::string &upstream,
                               const std::string &reason)
{
    if (m_deployment->findUpstream(upstream) == nullptr)
        return;
    // Silence counts only if somebody could have forwarded the caller's repetitions.
    const bool isSilence = reason == "request without answer";
    if (isSilence
        && !m_deployment->hadHealthyInstance(flow, m_deployment->clock().now() - m_bounds.recovery))
        return;
    report(invariant::OpenFlow, "flow " + toString(flow) + " at " + upstream + ": " + reason);
}

} // namespace chicoryhead::soak
