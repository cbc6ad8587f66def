/**
 * @file soak_main.cpp
 * Runs seeded soaks: instances run as processes on loopback under injected faults while invariants
 * are checked.
 */

#include "fault_injector.h"
#include "invariant_check.h"

#include <gflags/gflags.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <span>
#include <sstream>
#include <thread>

DEFINE_string(program, "build/src/entry/chicoryhead-entry",
              "path of the program that each instance runs");
DEFINE_string(folder, "build/soak", "folder for settings and logs, with a subfolder per seed");
DEFINE_string(policy, "deploy/policy.ini",
              "policy file of the instances for even seeds; empty for none");
DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(count, 1, "number of seeds");
DEFINE_string(seeds, "", "additional seeds, separated by commas");
DEFINE_uint32(jobs, 3, "number of seeds to run in parallel");
DEFINE_uint32(instances, 2, "number of instances in each of the three failure domains");
DEFINE_uint32(seconds, 24, "duration of fault injection, in s");
DEFINE_bool(
    require_occasions, false,
    "fail if an invariant was never checked under conditions in which a violation would show");
DEFINE_string(break, "", "invariant to violate on purpose, without other faults, or \"all\"");

namespace {

using namespace chicoryhead;
using namespace chicoryhead::soak;

/// Time without faults at the end, in which recovery is evaluated: its bound and three seconds of
/// opening flows.
constexpr std::chrono::seconds recoveryTime {17};
/// Delay before an invariant is violated on purpose, by which time the instances are connected.
constexpr std::chrono::seconds injectionDelay {8};
/// Longer than any bound, including a caller's deadline of 15 s.
constexpr std::chrono::seconds detectionTime {28};
constexpr std::chrono::milliseconds stepInterval {100};
constexpr unsigned stepsPerCheck = 5; ///< steps from one run of the checks to the next
constexpr std::size_t flowsPerCaller = 15;
constexpr std::size_t maxPrintedViolations = 5; ///< per soak

/** One soak. */
class soak_run
{
public:
    soak_run(std::uint64_t seed, unsigned slot, std::optional<invariant> injectedViolation)
        : m_folder(std::filesystem::path(FLAGS_folder)
                   / (injectedViolation ? std::string(toString(*injectedViolation))
                                        : std::to_string(seed)))
        , m_injectedViolation(injectedViolation)
        , m_check(m_context)
        , m_deployment(m_context, plan(seed, slot, m_folder), m_check)
        , m_log(m_folder / "faults.log")
        , m_faults(m_deployment, m_check, seed, m_log)
        , m_step(m_context)
        , m_startedAt(m_deployment.clock().now())
    {
        m_check.watch(m_deployment);
    }

    /** Runs the soak to its end; returns the violations found. */
    const std::vector<violation> &run()
    {
        m_deployment.start();
        step();
        m_context.run();
        return m_check.violations();
    }

    const invariant_check &check() const { return m_check; }

private:
    static standin::deployment_plan plan(std::uint64_t seed, unsigned slot,
                                         const std::filesystem::path &folder)
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        standin::deployment_plan result;
        result.program = FLAGS_program;
        result.folder = folder;
        // Every second seed, so that both the policy's parts and the behaviour without are covered.
        if (seed % 2 == 0)
            result.policyPath = FLAGS_policy;
        result.slot = slot;
        result.instancesPerDomain = FLAGS_instances;
        result.seed = seed;
        return result;
    }

    void step()
    {
        const auto elapsed = m_deployment.clock().now() - m_startedAt;
        const auto faultTime = m_injectedViolation ? injectionDelay + detectionTime
                                                   : std::chrono::seconds(FLAGS_seconds);
        if (elapsed >= faultTime + (m_injectedViolation ? std::chrono::seconds(0) : recoveryTime)) {
            m_deployment.stop();
            m_context.stop();
            return;
        }
        advance(elapsed, faultTime);
        m_step.expires_after(stepInterval);
        m_step.async_wait([this](std::error_code code) {
            if (!code)
                step();
        });
    }

    void advance(monotonic_time elapsed, monotonic_time faultTime)
    {
        if (!m_injectedViolation) {
            if (elapsed >= faultTime && !m_hasEnded) {
                m_hasEnded = true;
                m_faults.end();
            }
            m_faults.tick();
        } else if (elapsed >= injectionDelay && !m_isInjected) {
            m_isInjected = true;
            m_faults.breakInvariant(*m_injectedViolation);
        }
        if (++m_steps % stepsPerCheck == 0)
            m_check.tick();
        for (const auto &caller : m_deployment.callers()) {
            while (caller->flows() < flowsPerCaller)
                caller->open(
                    m_deployment.serviceAddress(m_openedFlows++ % m_deployment.plan().services),
                    1 + static_cast<unsigned>(m_deployment.random().next() % 100));
        }
    }

    asio::io_context m_context {1};
    std::filesystem::path m_folder;
    std::optional<invariant> m_injectedViolation;
    invariant_check m_check;
    standin::deployment_standin m_deployment;
    std::ofstream m_log;
    fault_injector m_faults;
    asio::steady_timer m_step;
    monotonic_time m_startedAt;
    std::uint64_t m_steps = 0;
    unsigned m_openedFlows = 0; ///< used to select services in round-robin order
    bool m_hasEnded = false;
    bool m_isInjected = false;
};

/** One soak to run. */
struct soak_job
{
    std::uint64_t seed = 1;
    std::optional<invariant> injectedViolation;
};

std::vector<soak_job> jobs()
{
    std::vector<soak_job> result;
    for (std::size_t i = 0; i < invariantNames.size(); ++i) {
        if (FLAGS_break == "all" || FLAGS_break == invariantNames.at(i))
            result.push_back({FLAGS_first, static_cast<invariant>(i)});
    }
    if (FLAGS_break.empty()) {
        for (std::uint64_t seed = FLAGS_first; seed < FLAGS_first + FLAGS_count; ++seed)
            result.push_back({seed, std::nullopt});
        std::istringstream extraSeeds(FLAGS_seeds);
        for (std::string seed; std::getline(extraSeeds, seed, ',');)
            result.push_back({std::stoull(seed), std::nullopt});
    }
    return result;
}

/// An invariant that is violated on purpose must be reported and no other one, except for
/// violations that follow from it. If none is violated on purpose, none may be reported.
bool isAsExpected(const soak_job &job, const std::vector<violation> &violations)
{
    const auto isInjected = [&](const violation &found) {
        return found.broken == job.injectedViolation;
    };
    // Without routers no flow can be opened, and open flows get no answers either.
    const auto isSideEffect = [&](const violation &found) {
        return job.injectedViolation == invariant::Recovery && found.broken == invariant::OpenFlow;
    };
    return std::any_of(violations.begin(), violations.end(), isInjected)
        == job.injectedViolation.has_value()
        && std::all_of(violations.begin(), violations.end(), [&](const violation &found) {
               return isInjected(found) || isSideEffect(found);
           });
}

/// Slot of loopback addresses for a job. A process started by another thread briefly holds
/// inherited copies of all sockets, so addresses must not be reused immediately.
unsigned addressSlot(std::size_t job)
{
    constexpr unsigned firstSlot = 11; // slot 1 is used by the demo
    constexpr unsigned slots = 80;
    return firstSlot + static_cast<unsigned>(job % slots);
}

/// Numbers of checks in all soaks, by invariant.
using check_totals = std::array<std::uint64_t, invariantNames.size()>;

bool runJob(const soak_job &job, unsigned slot, std::mutex &output, check_totals &totals)
{
    soak_run run(job.seed, slot, job.injectedViolation);
    const auto &violations = run.run();
    const bool isExpected = isAsExpected(job, violations);
    const std::lock_guard lock(output);
    std::cout << "seed=" << job.seed << " broken_on_purpose="
              << (job.injectedViolation ? toString(*job.injectedViolation) : "none")
              << " outcome=" << (isExpected ? "as_expected" : "FAILED")
              << " violations=" << violations.size() << " opened=" << run.check().opened()
              << " not_opened=" << run.check().notOpened();
    for (std::size_t i = 0; i < invariantNames.size(); ++i) {
        std::cout << ' ' << invariantNames.at(i) << '=' << run.check().checkCounts().at(i);
        totals.at(i) += run.check().checkCounts().at(i);
    }
    std::cout << std::endl;
    const std::size_t printedCount =
        std::min(violations.size(), isExpected ? 1 : maxPrintedViolations);
    for (const violation &found : std::span(violations).first(printedCount))
        std::cout << "  " << toString(found.broken) << ": " << found.text << std::endl;
    return isExpected;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "soak test with seeded fault injection: instances run as processes on loopback");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto jobsToRun = jobs();
    if (jobsToRun.empty()) {
        std::cerr << "chicoryhead-soak: no seeds or invariants selected; see --help\n";
        return 2;
    }
    std::atomic<std::size_t> next {0};
    std::atomic<unsigned> failed {0};
    std::mutex output; // also guards totals
    check_totals totals {};
    std::vector<std::thread> threads;
    for (std::size_t thread = 0; thread < std::min<std::size_t>(FLAGS_jobs, jobsToRun.size());
         ++thread)
        threads.emplace_back([&] {
            for (std::size_t i = next++; i < jobsToRun.size(); i = next++)
                failed += runJob(jobsToRun[i], addressSlot(i), output, totals) ? 0 : 1;
        });
    for (std::thread &thread : threads)
        thread.join();
    for (std::size_t i = 0; i < totals.size(); ++i) {
        if (FLAGS_require_occasions && totals.at(i) == 0) {
            std::cout << "FAILED: " << invariantNames.at(i) << " was never checked\n";
            ++failed;
        }
    }
    std::cout << jobsToRun.size() << " soaks, " << failed << " failed\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
