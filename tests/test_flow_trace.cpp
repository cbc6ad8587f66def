/**
 * @file test_flow_trace.cpp
 * Tests of log line parsing and flow tracing.
 */

#include "cli/flow_trace.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace chicoryhead;

namespace {

std::vector<log_line> parse(const std::vector<std::string> &texts)
{
    std::vector<log_line> log;
    for (const std::string &text : texts) {
        if (auto line = parseLogLine(text, "file"))
            log.push_back(*line);
    }
    return log;
}

bool hasFinding(const flow_trace &trace, const std::string &finding)
{
    return std::find(trace.findings.begin(), trace.findings.end(), finding) != trace.findings.end();
}

const std::string flow = "100.64.0.1:40001>198.18.0.1:443";

} // namespace

TEST_CASE("A log line is parsed into collector prefix, fields and quoted values", "[trace]")
{
    const auto line = parseLogLine(
        R"(24.05 f-1 t_ms=88 event=instance_registered outcome="a \"b\" c" x=1)", "log");
    REQUIRE(line);
    CHECK(line->instance == "f-1");
    CHECK(line->collectedAt == 24.05);
    CHECK(line->field("outcome") == "a \"b\" c");
    CHECK(line->field("x") == "1");
    CHECK(line->field("missing").empty());

    const auto bare = parseLogLine("t_ms=88 event=started", "log");
    REQUIRE(bare);
    CHECK(bare->instance == "log");
    CHECK_FALSE(bare->collectedAt);

    CHECK_FALSE(parseLogLine("", "log"));
    CHECK_FALSE(parseLogLine("some other program", "log"));
    CHECK_FALSE(parseLogLine("t_ms=88 no event", "log"));
}

TEST_CASE("Lines of several instances are ordered by the collector's timestamp", "[trace]")
{
    const auto trace =
        traceFlow(parse({"3.0 f-2 t_ms=1 event=request_forwarded request=r flow=" + flow
                             + " upstream=i-1 standing=ready",
                         "1.0 f-1 t_ms=9 event=flow_placed flow=" + flow
                             + " reason=placed upstream=i-1 unanswered_by=none",
                         "2.0 f-1 t_ms=9 event=flow_placed flow=1.1.1.1:1>2.2.2.2:2 upstream=i-1"}),
                  flow);
    REQUIRE(trace.lines.size() == 2);
    CHECK(trace.lines[0].instance == "f-1");
    CHECK(trace.lines[1].instance == "f-2");
    CHECK(trace.isOrdered);
    CHECK(trace.findings.empty());
}

TEST_CASE("Tracing a request finds its flow and the failed upstream", "[trace]")
{
    // Guards against a trace that ends at the repeated request without showing its cause.
    const auto trace = traceFlow(
        parse({"1.0 f-1 t_ms=1 event=flow_placed flow=" + flow
                   + " reason=placed upstream=i-1 unanswered_by=none",
               "2.0 f-1 t_ms=1 event=request_forwarded request=r1 flow=" + flow
                   + " upstream=i-1 standing=ready",
               "2.2 f-1 t_ms=1 event=request_repeated request=r1 flow=" + flow
                   + " upstream=i-1 standing=ready",
               "60 f-1 t_ms=1 event=request_forwarded request=r2 flow=" + flow
                   + " upstream=i-1 standing=gone",
               "60 f-1 t_ms=1 event=stopping signal=15",
               "2.3 f-3 t_ms=1 event=flow_placed flow=1.1.1.1:1>2.2.2.2:2 unanswered_by=i-1",
               "2.4 f-3 t_ms=1 event=flow_placed flow=1.1.1.1:3>2.2.2.2:2 unanswered_by=i-1",
               "30.0 f-3 t_ms=1 event=flow_placed flow=1.1.1.1:4>2.2.2.2:2 unanswered_by=i-1",
               "5.0 f-9 t_ms=1 event=upstream_changed upstream=i-1 standing=gone cause=lapsed",
               "5.1 f-8 t_ms=1 event=upstream_changed upstream=i-1 standing=gone cause=lapsed",
               "5.0 f-9 t_ms=1 event=upstream_changed upstream=i-2 standing=gone cause=lapsed"}),
        "r1");
    CHECK(trace.flows == std::vector<std::string> {flow});
    CHECK(hasFinding(trace, "the caller repeated request r1 to i-1, which was ready"));
    CHECK(hasFinding(trace, "i-1 became gone, logged by 2 instances"));
    CHECK(hasFinding(trace, "2 other flows got no answer from i-1 at that time"));
    CHECK(trace.findings.size() == 3);
}

TEST_CASE("A trace tells why an open flow was reset", "[trace]")
{
    // Guards against a trace that shows a reset without the verdict that it rests on.
    const auto judged = [](const std::string &verdict) {
        return " t_ms=1 event=upstream_judged upstream=i-1 verdict=" + verdict
            + " unanswered_requests=3 flows_ended=2";
    };
    const auto trace = traceFlow(
        parse({"1.0 f-1 t_ms=1 event=flow_placed flow=" + flow + " upstream=i-1 unanswered_by=none",
               "2.0 f-1" + judged("dead"), "2.1 f-2" + judged("dead"),
               "2.4 f-2 t_ms=1 event=flow_ended flow=" + flow
                   + " reason=upstream_dead upstream=none unanswered_by=i-1 request_age_ms=640",
               "5.0 f-2" + judged("silent")}),
        flow);
    CHECK(hasFinding(trace, "i-1 was judged dead, logged by 2 instances"));
    CHECK(hasFinding(trace, "i-1 was judged silent, logged by 1 instance"));
    CHECK(hasFinding(trace,
                     "reset by f-2, because i-1 was dead: latest unanswered request 640 ms "
                     "before"));
    CHECK(trace.findings.size() == 3);
    const auto stalled = traceFlow(
        parse({"2.4 f-2 t_ms=1 event=flow_ended flow=" + flow
               + " reason=upstream_stalled upstream=none unanswered_by=i-1 request_age_ms=640"}),
        flow);
    CHECK(hasFinding(stalled,
                     "reset by f-2, because i-1 was stalled: latest unanswered request 640 ms "
                     "before"));
}

TEST_CASE("A trace includes events of the instances that handled the flow", "[trace]")
{
    const auto trace = traceFlow(
        parse({"1.0 f-1 t_ms=1 event=flow_placed flow=" + flow + " upstream=i-1 unanswered_by=none",
               "1.5 f-1 t_ms=1 event=resumed gap_ms=900", "1.6 f-2 t_ms=1 event=resumed gap_ms=900",
               "50.0 f-1 t_ms=1 event=resumed gap_ms=800",
               "1.7 f-1 t_ms=1 event=packet_dropped flow=" + flow + " reason=stale_opening"}),
        flow);
    CHECK(trace.findings
          == std::vector<std::string> {"f-1 was suspended for 900 ms",
                                       "f-1 dropped a packet: stale_opening"});
}

TEST_CASE("A trace without collector timestamps is marked as unordered", "[trace]")
{
    const auto trace = traceFlow(parse({"t_ms=2 event=flow_placed flow=" + flow}), flow);
    CHECK(trace.lines.size() == 1);
    CHECK_FALSE(trace.isOrdered);
}

TEST_CASE("A request that no instance logged has an empty trace", "[trace]")
{
    CHECK(traceFlow(parse({"1.0 f-1 t_ms=1 event=started"}), "r1").lines.empty());
}

TEST_CASE("Tracing a hedged flow shows both upstreams", "[trace]")
{
    // Guards against a trace that omits what happened to the upstream that got the hedge.
    const auto trace = traceFlow(parse({"1.00 f-1 t_ms=1 event=flow_placed flow=" + flow
                                            + " reason=placed upstream=i-1 unanswered_by=none",
                                        "1.08 f-1 t_ms=81 event=flow_hedged flow=" + flow
                                            + " service=desk first=i-1 second=i-2 delay_ms=80",
                                        "1.50 f-2 t_ms=9 event=upstream_trusted upstream=i-2"}),
                                 flow);
    CHECK(trace.lines.size() == 3);
    CHECK(hasFinding(trace, "not open 80 ms after its opening packet went to i-1; hedged to i-2"));
}
