/**
 * @file bench_main.cpp
 * Runs the benchmarks and compares their figures with the bounds in table/bounds.h.
 *
 * Prints one line for each figure: name, value, unit, bound, verdict. Exits with 1 when a figure
 * is over its bound or a bounded benchmark did not run.
 */

#include "table/bounds.h"

#include <benchmark/benchmark.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using chicoryhead::bench::bound;
using chicoryhead::bench::bound_kind;
using chicoryhead::bench::bounds;

/** Keeps the results of all runs; prints them when asked to. */
class collecting_reporter : public benchmark::BenchmarkReporter
{
public:
    bool ReportContext(const Context &) override { return true; } // NOLINT: library's name

    void ReportRuns(const std::vector<Run> &runs) override // NOLINT: library's name
    {
        for (const Run &run : runs) {
            if (run.error_occurred)
                continue;
            // Of several repetitions the median counts, so that one disturbed run decides nothing.
            const bool isMedian = run.aggregate_name == "median";
            if (run.run_type == Run::RT_Aggregate && !isMedian)
                continue;
            std::string name = run.benchmark_name();
            if (const auto at = name.find("_median"); at != std::string::npos)
                name.resize(at);
            results[name] = run;
        }
    }

    std::map<std::string, Run> results;
};

/** One compared figure. */
struct figure
{
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> limit;
    bool isMeasured = true;

    bool holds() const { return isMeasured && (!limit || value <= *limit); }
};

std::optional<double> timeOf(const collecting_reporter &reporter, const std::string &name)
{
    const auto found = reporter.results.find(name);
    if (found == reporter.results.end())
        return std::nullopt;
    const auto &run = found->second;
    // Benchmarks with manual time measure the CPU time of the part that counts themselves.
    const bool isManual = name.find("/manual_time") != std::string::npos;
    const double time = isManual ? run.GetAdjustedRealTime() : run.GetAdjustedCPUTime();
    return time / benchmark::GetTimeUnitMultiplier(run.time_unit) * 1e9;
}

std::optional<double> counterOf(const collecting_reporter &reporter, const std::string &name,
                                const std::string &counter)
{
    const auto found = reporter.results.find(name);
    if (found == reporter.results.end())
        return std::nullopt;
    const auto value = found->second.counters.find(counter);
    if (value == found->second.counters.end())
        return std::nullopt;
    return value->second.value;
}

figure compare(const collecting_reporter &reporter, const bound &rule)
{
    figure result {rule.name, 0, rule.unit, rule.limit, true};
    std::optional<double> value;
    switch (rule.kind) {
    case bound_kind::Time:
        value = timeOf(reporter, rule.benchmark);
        break;
    case bound_kind::TimeRatio: {
        const auto time = timeOf(reporter, rule.benchmark);
        const auto baseline = timeOf(reporter, rule.reference);
        if (time && baseline)
            value = *time / *baseline;
        break;
    }
    case bound_kind::Counter:
        value = counterOf(reporter, rule.benchmark, rule.reference);
        break;
    }
    result.isMeasured = value.has_value();
    result.value = value.value_or(0);
    return result;
}

std::vector<figure> collect(const collecting_reporter &reporter)
{
    std::vector<figure> figures;
    for (const auto &rule : bounds)
        figures.push_back(compare(reporter, rule));
    for (const auto &[name, run] : reporter.results) {
        figures.push_back({name, timeOf(reporter, name).value_or(0), "ns", std::nullopt, true});
        for (const auto &[counter, value] : run.counters)
            figures.push_back({name + "." + counter, value.value, "", std::nullopt, true});
    }
    return figures;
}

std::string verdictOf(const figure &one)
{
    if (!one.isMeasured)
        return "not measured";
    if (!one.limit)
        return "-";
    return one.holds() ? "ok" : "over bound";
}

void printText(const std::vector<figure> &figures)
{
    for (const auto &one : figures) {
        std::cout << std::left << std::setw(58) << one.name << std::right << std::setw(16)
                  << std::setprecision(5) << one.value << ' ' << std::left << std::setw(8)
                  << one.unit << " bound ";
        if (one.limit)
            std::cout << std::setw(10) << *one.limit;
        else
            std::cout << std::setw(10) << "-";
        std::cout << ' ' << verdictOf(one) << '\n';
    }
}

void printJson(const std::vector<figure> &figures)
{
    auto document = nlohmann::json::array();
    for (const auto &one : figures) {
        nlohmann::json row {{"name", one.name},
                            {"value", one.value},
                            {"unit", one.unit},
                            {"verdict", verdictOf(one)}};
        row["bound"] = one.limit ? nlohmann::json(*one.limit) : nlohmann::json(nullptr);
        document.push_back(std::move(row));
    }
    std::cout << document.dump(2) << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_minloglevel = google::GLOG_FATAL; // events of the code under test are no figures
    bool isJson = false;
    std::vector<char *> arguments;
    for (int index = 0; index < argc; ++index) {
        if (std::strcmp(argv[index], "--json") == 0)
            isJson = true;
        else
            arguments.push_back(argv[index]);
    }
    int count = static_cast<int>(arguments.size());
    benchmark::Initialize(&count, arguments.data());
    collecting_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    const auto figures = collect(reporter);
    if (isJson)
        printJson(figures);
    else
        printText(figures);
    for (const auto &one : figures) {
        if (one.holds())
            continue;
        std::cerr << "over bound or not measured: " << one.name << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
