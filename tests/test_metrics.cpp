/**
 * @file test_metrics.cpp
 * Metrics in the Prometheus text format.
 */

#include "metrics/metrics_func.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <set>
#include <sstream>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

blackboard boardWith(std::size_t upstreams)
{
    blackboard board;
    auto service = std::make_shared<service_config>();
    service->id = service_id {1};
    service->name = "order \"desk\"";
    for (std::uint32_t i = 1; i <= upstreams; ++i) {
        upstream_config upstream;
        upstream.id = upstream_id {i};
        upstream.name = "u" + std::to_string(i);
        service->upstreams.push_back(upstream);
        board.upstreams[upstream.id] = {};
    }
    auto config = std::make_shared<configuration>();
    config->version = 12;
    config->services[service->id] = service;
    board.config = config;
    return board;
}

bool hasLine(const std::string &text, const std::string &line)
{
    return text.starts_with(line + "\n") || text.find("\n" + line + "\n") != std::string::npos;
}

} // namespace

// Guards against a bucket that excludes its bound, and against lost samples above the last one.
TEST_CASE("a duration is counted in the first bucket whose bound it does not exceed", "[metrics]")
{
    const std::array<std::chrono::nanoseconds, 2> bounds {1us, 1ms};
    latency_histogram histogram(bounds);
    for (const auto duration : {-5ns, 0ns, 1000ns, 1001ns, 1000000ns, 1000001ns})
        histogram.record(duration);
    histogram.record(1h);
    CHECK(histogram.counts() == std::vector<std::uint64_t> {3, 2, 2});
    CHECK(histogram.sum() == 3600s + 2002002ns);
}

TEST_CASE("counters, gauges and histograms are rendered", "[metrics]")
{
    blackboard board = boardWith(2);
    board.counters.peerMessagesRejected = 5;
    board.members[instance_id {1}].state = member_state::Ready;
    board.members[instance_id {2}].state = member_state::Suspect;
    board.upstreams[upstream_id {2}].condition = upstream_condition::Deflected;
    board.upstreams[upstream_id {2}].loadPermille = 667;
    board.upstreams[upstream_id {2}].reportedAt = 4s;
    instance_histograms histograms;
    histograms.answer.record(5ms);
    const std::vector<upstream_flow_count> flows {{upstream_id {1}, 3}, {upstream_id {9}, 4}};

    const std::string text = renderMetrics({board, histograms, flows, 8, 5500ms});
    CHECK(hasLine(text, "chicoryhead_peer_messages_rejected_total 5"));
    CHECK(hasLine(text, "chicoryhead_members{state=\"ready\"} 1"));
    CHECK(hasLine(text, "chicoryhead_members{state=\"dead\"} 0"));
    CHECK(hasLine(text, "chicoryhead_flows 7"));
    CHECK(hasLine(text, "chicoryhead_records 8"));
    CHECK(hasLine(text, "chicoryhead_config_version 12"));
    CHECK(hasLine(text, "chicoryhead_upstreams{mode=\"active\",condition=\"deflected\"} 1"));
    const std::string second = "{service=\"order \\\"desk\\\"\",upstream=\"u2\"} ";
    CHECK(hasLine(text, "chicoryhead_upstream_load" + second + "0.667"));
    CHECK(hasLine(text, "chicoryhead_upstream_report_age_seconds" + second + "1.5"));
    CHECK(hasLine(text, "chicoryhead_upstream_deflected" + second + "1"));
    CHECK(hasLine(text, "chicoryhead_answer_seconds_bucket{le=\"0.004\"} 0"));
    CHECK(hasLine(text, "chicoryhead_answer_seconds_bucket{le=\"0.006\"} 1"));
    CHECK(hasLine(text, "chicoryhead_answer_seconds_bucket{le=\"+Inf\"} 1"));
    CHECK(hasLine(text, "chicoryhead_answer_seconds_sum 0.005"));
    CHECK(hasLine(text, "chicoryhead_decision_seconds_count 0"));
}

// Prometheus rejects a whole scrape when a metric appears twice.
TEST_CASE("each metric is declared once", "[metrics]")
{
    std::istringstream text(renderMetrics({boardWith(1), instance_histograms(), {}, 0, 0ms}));
    std::multiset<std::string> declared;
    for (std::string line; std::getline(text, line);) {
        if (line.starts_with("# TYPE "))
            declared.insert(line);
    }
    CHECK(declared.size() > 18);
    CHECK(std::set<std::string>(declared.begin(), declared.end()).size() == declared.size());
}

// Guards the memory of an instance that knows tens of thousands of upstreams.
TEST_CASE("the number of series for upstreams is bounded", "[metrics]")
{
    const std::string text = renderMetrics({boardWith(60000), instance_histograms(), {}, 0, 0ms});
    CHECK(text.size() < 400000);
    CHECK(hasLine(text, "chicoryhead_upstreams{mode=\"active\",condition=\"open\"} 60000"));
}
