/**
 * @file experiment_balance.cpp
 * Runs all cases with all policies in virtual time and compares the figures with their bounds.
 */

#include "experiment_balance_model.h"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <future>
#include <optional>

DEFINE_bool(json, false, "print the figures as JSON");
DEFINE_string(only, "", "run only the case with this name");
DEFINE_uint64(seed, 42, "seed of all random choices");
DEFINE_int32(threads, 3, "runs at a time");

using namespace chicoryhead::experiment;

namespace {

constexpr double steadyPeak = 1.15;
constexpr double faultPeak = 1.35;
constexpr double maxAmplification = 1.1;
constexpr double maxRefusedWithRoom = 0.1;
constexpr double maxControlBytes = 2048;
constexpr double answerTimeShare = 0.5; ///< of the better baseline's 99th percentile

/// Half of the upstreams can carry at most 50%, so the draining case runs at 45% of all slots.
const std::vector<experiment_case> cases {
    {"steady_70", fault::None, 0.70},       {"steady_95", fault::None, 0.95},
    {"half_speed", fault::HalfSpeed, 0.70}, {"cold", fault::Cold, 0.70},
    {"shedding", fault::Shedding, 0.70},    {"late_reports", fault::LateReports, 0.70},
    {"frozen", fault::FrozenReport, 0.70},  {"no_reports", fault::NoReports, 0.70},
    {"burst", fault::Burst, 0.70},          {"draining", fault::Draining, 0.45},
    {"cut_off", fault::CutOff, 0.70},       {"rolling_restart", fault::RollingRestart, 0.70},
};

struct named_policy
{
    policy which;
    const char *name;
};

constexpr std::array<named_policy, 4> policies {{{policy::HolderMode, "holder"},
                                                 {policy::TrackedMode, "tracked"},
                                                 {policy::Uniform, "uniform"},
                                                 {policy::WeightedHash, "weighted_hash"}}};

/** Prints figures and counts those that fall short. */
class report
{
public:
    void add(const std::string &name, double value, const char *unit,
             std::optional<double> bound = std::nullopt)
    {
        const bool isShort = bound && value > *bound;
        m_shortfalls += isShort ? 1 : 0;
        const char *verdict = !bound ? "-" : isShort ? "short" : "ok";
        if (FLAGS_json) {
            nlohmann::json line {
                {"name", name}, {"value", value}, {"unit", unit}, {"verdict", verdict}};
            if (bound)
                line["bound"] = *bound;
            m_lines.push_back(line);
            return;
        }
        const std::string limit = bound ? "<=" + nlohmann::json(*bound).dump() : "-";
        std::printf("%-58s %12.4f %-7s %-22s %s\n", name.c_str(), value, unit, limit.c_str(),
                    verdict);
    }

    int finish() const
    {
        if (FLAGS_json)
            std::printf("%s\n", m_lines.dump(2).c_str());
        else
            std::printf("figures that fall short: %d\n", m_shortfalls);
        return m_shortfalls > 0 ? 1 : 0;
    }

private:
    nlohmann::json m_lines = nlohmann::json::array();
    int m_shortfalls = 0;
};

void addRun(report &out, const std::string &prefix, const experiment_case &what,
            const run_figures &run, std::optional<double> p99Bound, bool isOurs)
{
    const auto bound = [&](double value) {
        return isOurs ? std::optional(value) : std::nullopt;
    };
    const bool isFault = what.kind != fault::None;
    auto peakBound = bound(isFault ? faultPeak : steadyPeak);
    if (!isFault && what.load > 0.70)
        peakBound.reset(); // the targets state no bound for 95%
    out.add(prefix + "peak_over_mean", run.peakOverMean, "ratio", peakBound);
    out.add(prefix + "p99_over_mean", run.p99OverMean, "ratio");
    out.add(prefix + "answer_median", run.medianMs, "ms");
    out.add(prefix + "answer_p99", run.p99Ms, "ms", p99Bound);
    out.add(prefix + "answer_p999", run.p999Ms, "ms");
    out.add(prefix + "refused", run.refusedPercent, "%");
    out.add(prefix + "failed", run.failedPercent, "%");
    out.add(prefix + "refused_with_room", run.refusedWithRoomPercent, "%",
            bound(maxRefusedWithRoom));
    out.add(prefix + "retries_per_flow", run.retriesPerFlow, "ratio");
    out.add(prefix + "amplification", run.amplification, "ratio", bound(maxAmplification));
    out.add(prefix + "exceptions", run.exceptionsPerSecond, "1/s");
    out.add(prefix + "relays_per_flow", run.relaysPerFlow, "ratio");
    out.add(prefix + "control", run.controlBytesPerSecond, "B/s", bound(maxControlBytes));
}

using run_set = std::array<run_figures, policies.size()>;

run_set runPolicies(const experiment_case &what, std::uint16_t slots)
{
    run_set runs;
    std::transform(policies.begin(), policies.end(), runs.begin(), [&](const named_policy &item) {
        return runCase(what, item.which, slots, FLAGS_seed);
    });
    return runs;
}

void addCase(report &out, const experiment_case &what, std::uint16_t slots, const run_set &runs)
{
    const double better = std::min(runs[2].p99Ms, runs[3].p99Ms);
    for (std::size_t i = 0; i < policies.size(); ++i) {
        const bool isOurs = i < 2;
        std::optional<double> p99Bound;
        if (isOurs && what.kind != fault::None)
            p99Bound = answerTimeShare * better;
        const std::string prefix =
            "slots" + std::to_string(slots) + "." + what.name + "." + policies[i].name + ".";
        addRun(out, prefix, what, runs[i], p99Bound, isOurs);
    }
}

struct job
{
    experiment_case what;
    std::uint16_t slots = 0;
    std::future<run_set> runs;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);

    std::vector<job> jobs;
    for (const std::uint16_t slots : {3, 2}) {
        for (const experiment_case &what : cases) {
            if (FLAGS_only.empty() || FLAGS_only == what.name)
                jobs.push_back({what, slots, {}});
        }
    }
    report out;
    const std::size_t width = std::max(FLAGS_threads, 1);
    for (std::size_t first = 0; first < jobs.size(); first += width) {
        const std::size_t last = std::min(first + width, jobs.size());
        for (std::size_t i = first; i < last; ++i) {
            jobs[i].runs = std::async(std::launch::async, [&item = jobs[i]] {
                return runPolicies(item.what, item.slots);
            });
        }
        for (std::size_t i = first; i < last; ++i)
            addCase(out, jobs[i].what, jobs[i].slots, jobs[i].runs.get());
    }
    return out.finish();
}
