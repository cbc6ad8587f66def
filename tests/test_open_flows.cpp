/**
 * @file test_open_flows.cpp
 * Instances as processes with upstreams that leave packets unanswered and still hold their flows.
 */

#include "process_deployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <map>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr unsigned sessionService = 0; ///< its callers keep flows open and pause
constexpr unsigned steadyService = 1;  ///< its callers send requests without a pause
constexpr unsigned manyRequests = 100000;

/** Records the flows of the service with sessions. */
class session_recorder : public ignoring_observer
{
public:
    void setService(const endpoint &service) { m_service = service; }

    void onOpened(const flow_key &flow, const std::string &upstream) override
    {
        if (flow.service == m_service)
            openFlows[flow] = upstream;
    }
    void onNotOpened(const flow_key &flow, bool /*isRefused*/) override
    {
        if (flow.service == m_service)
            ++notOpened;
    }
    void onBroken(const flow_key &flow, const std::string &upstream,
                  const std::string & /*reason*/) override
    {
        if (openFlows.erase(flow) > 0)
            ++brokenFlows[upstream];
    }

    std::map<flow_key, std::string> openFlows;
    std::map<std::string, unsigned> brokenFlows; ///< by upstream
    unsigned notOpened = 0;

private:
    endpoint m_service;
};

/** Three instances with two services; upstreams of one of them are always busy. */
struct session_deployment
{
    explicit session_deployment(unsigned slot) : processes(slot, 2, recorder)
    {
        recorder.setService(deployment().serviceAddress(sessionService));
    }

    standin::deployment_standin &deployment() { return processes.deployment(); }

    bool awaitReady()
    {
        const auto upstream = deployment().upstreamsOf(sessionService).front();
        const auto version = deployment().config().version;
        return processes.awaitInForce(10s, version, upstream, "ready");
    }

    void openSteadyFlows(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            deployment().callers().front()->open(deployment().serviceAddress(steadyService),
                                                 manyRequests);
    }

    /// The caller sends one request, then another one after the pause.
    void openSession(monotonic_time pause)
    {
        deployment().callers().front()->open(deployment().serviceAddress(sessionService),
                                             manyRequests, pause);
    }

    /// The caller sends requests without a pause.
    void openBusySession()
    {
        deployment().callers().front()->open(deployment().serviceAddress(sessionService),
                                             manyRequests);
    }

    session_recorder recorder;
    process_deployment processes;
};

} // namespace

TEST_CASE("Open flows of full upstreams are kept while more callers connect", "[flows]")
{
    // Guards against a reset of all flows of upstreams that ignore opening packets because they
    // take no further flows.
    session_deployment sessions(fullUpstreamSlot);
    REQUIRE(sessions.awaitReady());
    constexpr std::size_t maxFlows = 30;
    const auto upstreams = sessions.deployment().upstreamsOf(sessionService);
    for (const auto &name : upstreams)
        sessions.deployment().findUpstream(name)->setMaxFlows(maxFlows);
    sessions.processes.runFor(1s);
    sessions.openSteadyFlows(30);
    for (int i = 0; i < 40; ++i) {
        for (int opened = 0; opened < 6; ++opened)
            sessions.openSession(60s);
        sessions.processes.runFor(100ms);
    }
    for (const auto &name : upstreams)
        CHECK(sessions.deployment().findUpstream(name)->countFlows() == maxFlows);
    CHECK(sessions.recorder.notOpened > 0);
    CHECK(sessions.recorder.brokenFlows.empty());
    CHECK(sessions.recorder.openFlows.size() == maxFlows * upstreams.size());
}

TEST_CASE("Open flows of an upstream that was cut off for a second are not reset later on",
          "[flows]")
{
    // Guards against instances that take an upstream for dead for seconds after it is reachable
    // again, and reset each of its flows that sends a packet.
    session_deployment sessions(shortCutSlot);
    REQUIRE(sessions.awaitReady());
    sessions.processes.runFor(1s);
    sessions.openSteadyFlows(60);
    constexpr auto pause = 9s;
    for (int i = 0; i < 40; ++i)
        sessions.openSession(pause);
    const auto upstream = sessions.deployment().upstreamsOf(sessionService).front();
    sessions.processes.runFor(500ms);
    // After a restart the instances don't have the paused flows in their tables.
    auto &instances = sessions.deployment().instances();
    for (auto &instance : instances)
        instance.program->signal(SIGKILL);
    sessions.processes.runFor(100ms);
    for (auto &instance : instances) {
        CHECK(instance.program->pollExitStatus());
        instance.program->start();
    }
    REQUIRE(sessions.awaitReady());
    for (int i = 0; i < 40; ++i)
        sessions.openBusySession();
    sessions.processes.runFor(500ms);

    sessions.deployment().findUpstream(upstream)->setCut(true);
    sessions.processes.runFor(1s);
    // Instances on a busy machine trust their observations later.
    for (int i = 0; i < 40 && sessions.recorder.brokenFlows[upstream] == 0; ++i)
        sessions.processes.runFor(100ms);
    sessions.deployment().findUpstream(upstream)->setCut(false);
    CHECK(sessions.recorder.brokenFlows[upstream] > 0);
    sessions.processes.runFor(standin::disruptionWindow);
    const auto brokenBefore = sessions.recorder.brokenFlows;
    // All paused flows send their next request now.
    sessions.processes.runFor(5s);
    CHECK(sessions.recorder.brokenFlows == brokenBefore);
}
