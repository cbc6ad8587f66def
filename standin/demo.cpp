/**
 * @file demo.cpp
 * Runs a deployment on loopback, by default for 30 s: an upstream drains and instances restart
 * while callers use open flows.
 */

#include "deployment_standin.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

DEFINE_string(program, "build/src/entry/chicoryhead-entry",
              "path of the chicoryhead-entry executable");
DEFINE_string(folder, "build/demo", "directory for settings and log files");
DEFINE_uint32(seconds, 30, "run time in seconds; 0 runs until interrupted");
DEFINE_uint32(flows, 60, "number of concurrently open flows");

namespace {

using namespace chicoryhead;
using namespace chicoryhead::standin;

/** Counts flow events of callers and upstreams. */
class demo_counts : public deployment_observer
{
public:
    void onOpeningPacket(const std::string & /*upstream*/, const flow_key & /*flow*/) override { }

    void onForeignPacket(const std::string & /*upstream*/, const flow_key & /*flow*/) override
    {
        ++foreign;
    }

    void onOpened(const flow_key & /*flow*/, const std::string &upstream) override
    {
        ++opened[upstream];
    }

    void onNotOpened(const flow_key & /*flow*/, bool /*isRefused*/) override { ++notOpened; }

    void onAnswered(const flow_key & /*flow*/, const std::string & /*upstream*/,
                    monotonic_time /*latency*/) override
    {
        ++answered;
    }

    void onBroken(const flow_key &flow, const std::string &upstream,
                  const std::string &reason) override
    {
        ++broken;
        std::cout << "broken flow " << toString(flow.caller) << " at " << upstream << ": " << reason
                  << '\n';
    }

    std::map<std::string, unsigned> opened; ///< by upstream, since the last status line
    unsigned notOpened = 0;
    unsigned answered = 0;
    unsigned broken = 0;
    unsigned foreign = 0;
};

/** Runs the deployment and its scheduled events. */
class demo
{
public:
    demo() : m_deployment(m_context, plan(), m_counts), m_second(m_context) { }

    bool run()
    {
        m_deployment.start();
        step();
        m_context.run();
        std::cout << "answered " << m_counts.answered << ", not opened " << m_counts.notOpened
                  << ", broken " << m_counts.broken << ", misdirected " << m_counts.foreign << '\n';
        return m_counts.broken == 0 && m_counts.foreign == 0 && m_counts.answered > 0;
    }

private:
    static deployment_plan plan()
    {
        deployment_plan made;
        made.program = FLAGS_program;
        made.folder = FLAGS_folder;
        return made;
    }

    void step()
    {
        runSchedule();
        openFlows();
        if (FLAGS_seconds != 0 && m_elapsed >= FLAGS_seconds) {
            m_deployment.stop();
            m_context.stop();
            return;
        }
        ++m_elapsed;
        m_second.expires_after(std::chrono::seconds(1));
        m_second.async_wait([this](std::error_code code) {
            if (!code)
                step();
        });
    }

    /** Opens flows up to the target number, once instances are in rotation. */
    void openFlows()
    {
        if (m_elapsed < 3)
            return;
        for (const auto &caller : m_deployment.callers()) {
            while (caller->flows() < FLAGS_flows / m_deployment.callers().size()) {
                const auto service = static_cast<unsigned>(m_deployment.random().next()
                                                           % m_deployment.plan().services);
                caller->open(m_deployment.serviceAddress(service),
                             1 + static_cast<unsigned>(m_deployment.random().next() % 60));
            }
        }
    }

    void runSchedule()
    {
        constexpr unsigned drainAt = 8;
        constexpr unsigned replaceAt = 12;
        constexpr unsigned replaceEvery = 3;
        if (m_elapsed == drainAt) {
            m_leaving = m_deployment.upstreamsOf(0).front();
            m_deployment.drainUpstream(m_leaving);
            std::cout << m_elapsed << " s: upstream " << m_leaving << " announces that it leaves\n";
        }
        auto &instances = m_deployment.instances();
        for (auto &instance : instances) {
            if (instance.program->pollExitStatus()) {
                std::cout << m_elapsed << " s: " << instance.program->settings().name
                          << " stopped and is started again\n";
                instance.program->start();
            }
        }
        const unsigned since = m_elapsed - std::min(m_elapsed, replaceAt);
        if (m_elapsed >= replaceAt && since % replaceEvery == 0
            && since / replaceEvery < instances.size())
            instances[since / replaceEvery].program->signal(SIGTERM);
        std::cout << m_elapsed << " s: answered " << m_counts.answered;
        if (!m_leaving.empty())
            std::cout << ", new flows at " << m_leaving << ": " << m_counts.opened[m_leaving];
        std::cout << '\n';
        m_counts.opened.clear();
    }

    asio::io_context m_context {1};
    demo_counts m_counts;
    deployment_standin m_deployment;
    asio::steady_timer m_second;
    unsigned m_elapsed = 0; ///< seconds
    std::string m_leaving;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "runs a deployment on loopback: instances as processes, and a simulated "
        "store, routers, upstreams and callers");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return demo().run() ? EXIT_SUCCESS : EXIT_FAILURE;
}
