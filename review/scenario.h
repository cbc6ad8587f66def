/**
 * @file scenario.h
 * A small deployment on loopback for the cases of this review: instances run as processes, with the
 * command of the deploy file; the store, routers, upstreams and callers are simulated here.
 */

#pragma once

#include "core/core_base.h"
#include "core/core_type.h"
#include "directory/directory_base.h"
#include "http/http_connection_base.h"
#include "platform/standin_codec.h"
#include "standin/store_standin.h"
#include "system/system_base.h"
#include "system/udp_socket_base.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

using namespace chicoryhead;

/** Exit statuses of a case. */
inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

/** What a script passes to the program of its case. */
struct scenario_arguments
{
    bool hasTrouble = true;       ///< the disruption is played
    std::filesystem::path record; ///< file to write what was sent, answered and run to
};

/** Reads "--trouble 0|1 --record FILE". @throw std::invalid_argument */
scenario_arguments parseArguments(int argc, char **argv);

/** Size and bounds of a deployment. */
struct scenario_plan
{
    unsigned domains = 1;
    unsigned instancesPerDomain = 3;
    unsigned spareInstances = 0; ///< in the first domain; started by the case
    unsigned services = 1;
    int contactMs = 4000;
    int boundMs = 3000;     ///< of configuration and draining
    int evacuateMs = 0;     ///< 0 if evacuations are not part of the deployment
    int flowTtlS = 60;      ///< flows that are older may be discarded
    int idleMs = 15000;     ///< idle timeout in the configuration
    double warmupRate = 0;  ///< warmup_per_s of all services; 0 for none
    double warmupTimeS = 2; ///< warmup_s of all services
    std::size_t maxConnections = 4286;
};

/** An upstream; the fields are read and changed by the case. */
struct upstream
{
    upstream_announcement announced;
    bool isCut = false;            ///< nothing reaches it
    bool isAbsent = false;         ///< has no announcement and is not renewed
    std::size_t maxFlows = 4286;   ///< sends nothing to opening packets of further flows
    monotonic_time nextBeatAt {0}; ///< when it writes to the store again
    std::set<flow_key> resetFlows; ///< that it sent a reset for
    unsigned refused = 0;          ///< opening packets that it left unanswered, being full
    /** A flow at the upstream. */
    struct held_flow
    {
        std::uint32_t callerStart = 0;
        std::uint32_t start = 0;
        std::uint32_t sent = 0;
        std::uint32_t answered = 0; ///< sequence number of the request answered last
        std::string answer;
        bool isOpen = false;
        unsigned answersSent = 0; ///< to the opening packet
        monotonic_time answerAgainAt {0};
        monotonic_time retryDelay {0};
        std::uint32_t tag = 0;
    };
    std::map<flow_key, held_flow> flows;
    unsigned answersToLose = 0; ///< answers to opening packets that the network loses
    monotonic_time lastLossAt {0};
    std::vector<std::pair<monotonic_time, flow_key>>
        openings; ///< first opening packet of each flow
    std::unique_ptr<udp_socket> socket;
};

/** A flow at its caller. */
struct caller_flow
{
    flow_key key;
    std::uint32_t start = 0;
    std::uint32_t next = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t tag = 0;
    unsigned copies = 0;
    bool isOpen = false;
    bool isOver = false;
    bool isReset = false;         ///< a reset was accepted after the flow was open
    std::string upstream;         ///< that the flow is open at
    std::string request;          ///< in flight; empty between requests
    unsigned remaining = 0;       ///< requests that follow without being asked for
    monotonic_time thinkTime {0}; ///< between an answer and the next request
    monotonic_time startedAt {0};
    monotonic_time requestAt {0};
    monotonic_time nextSendAt {0};
    monotonic_time retryDelay {0};
    monotonic_time endedAt {0};
    unsigned answers = 0;
};

/** One process of an instance. */
struct instance
{
    std::string name;
    std::string domain;
    std::string program = "target/src/entry/chicoryhead-entry";
    endpoint dataAddress;
    endpoint statusAddress;
    pid_t process = 0;
    unsigned failedChecks = 2;
    std::unique_ptr<http_connection> readiness;
};

/** The deployment; all handlers run in run(). */
class scenario
{
public:
    scenario(const scenario_plan &plan, const scenario_arguments &arguments);
    ~scenario();
    scenario(const scenario &) = delete;
    scenario &operator=(const scenario &) = delete;

    /** Whether the disruption is to be played. */
    bool hasTrouble() const { return m_hasTrouble; }

    void startInstance(std::size_t index);
    void signalInstance(std::size_t index, int number);
    /** Whether the process of an instance has ended; collects its status. */
    bool hasEnded(std::size_t index);
    std::vector<instance> &instances() { return m_instances; }
    bool isInRotation(const instance &checked) const { return checked.failedChecks < 2; }
    /** Runs until all started instances are in rotation; false after a time-out. */
    bool awaitReady(std::chrono::milliseconds timeout);

    endpoint serviceAddress(unsigned service) const;
    upstream &addUpstream(unsigned service, unsigned domain, monotonic_time warmupLeft = {});
    /** Writes the announcement of an upstream to the store. */
    void announce(upstream &announcing);
    std::vector<std::unique_ptr<upstream>> &upstreams() { return m_upstreams; }
    upstream *findUpstream(const std::string &name);

    /** Opens a flow; further requests follow each answer after the think time. */
    caller_flow &open(unsigned service, unsigned domain, unsigned requests,
                      monotonic_time thinkTime = {});
    /** Sends a further request on an open flow. */
    void request(caller_flow &flow);
    std::vector<std::unique_ptr<caller_flow>> &flows() { return m_flows; }
    /** Instance that gets the packets of a flow now; null if there is none. */
    instance *routeOf(const flow_key &flow);

    standin::store_standin &store() { return *m_store; }
    void putConfig();
    std::string domainName(unsigned domain) const { return "d" + std::to_string(domain); }

    /** Runs the deployment for some time; `step` is called every 10 ms. */
    void run(std::chrono::milliseconds duration, const std::function<void()> &step = {});
    monotonic_time now() const { return m_clock.now(); }
    /** Adds a line with the time to record.txt. */
    void record(const std::string &line);
    std::uint32_t random() { return static_cast<std::uint32_t>(m_random()); }

private:
    endpoint address(unsigned kind, std::size_t number, std::uint16_t port) const;
    void writeSettings(const instance &written) const;
    void tick();
    void check(instance &checked);
    void tickFlow(caller_flow &flow);
    void sendFromCaller(const caller_flow &flow, platform::wire_packet packet);
    void onCallerDatagram(std::span<const std::byte> bytes);
    void onUpstreamDatagram(upstream &receiver, std::span<const std::byte> bytes);
    void answerOpening(upstream &sender, const flow_key &key);
    void reply(upstream &sender, const platform::wire_packet &to, platform::wire_packet answer);
    void finish(caller_flow &flow, const std::string &reason);

    scenario_plan m_plan;
    std::filesystem::path m_folder; ///< temporary
    std::ofstream m_record;
    bool m_hasTrouble = true;
    unsigned m_slot = 0; ///< second octet of all addresses
    asio::io_context m_context {1};
    boot_clock_source m_clock;
    std::mt19937_64 m_random;
    monotonic_time m_beganAt {0};
    std::unique_ptr<standin::store_standin> m_store;
    std::vector<instance> m_instances;
    std::vector<std::unique_ptr<upstream>> m_upstreams;
    std::vector<std::unique_ptr<udp_socket>> m_callerSockets; ///< one per domain
    std::vector<std::unique_ptr<caller_flow>> m_flows;
    std::map<flow_key, caller_flow *> m_flowsByKey;
    config_version m_version = 0;
    std::uint16_t m_nextPort = 10000;
    unsigned m_nextRequest = 1;
    monotonic_time m_nextCheckAt {0};
};

} // namespace review
