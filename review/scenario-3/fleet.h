/**
 * @file fleet.h
 * A small deployment on loopback: entry instances run as processes by the command of the deploy
 * file; the store, the routers, the backends and the callers are stand-ins in this process.
 */

#pragma once

#include "backend.h"
#include "http/http_connection_base.h"
#include "recorder.h"
#include "routing/routing_base.h"
#include "standin/caller_standin.h"
#include "standin/seeded_random.h"
#include "standin/store_standin.h"
#include "system/system_base.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicoryhead::review {

/** Size and files of a deployment. */
struct fleet_plan
{
    std::string repository; ///< the instances run in it
    std::string folder;     ///< for settings files and logs
    unsigned zones = 2;
    unsigned nodesPerZone = 2;
};

/** One machine with its instance. */
struct node
{
    std::string name;
    unsigned zone = 0;
    std::size_t number = 0;
    endpoint data;
    endpoint status;
    endpoint store; ///< in its settings
    pid_t process = 0;
    unsigned failedChecks = 2; ///< in a row; not in rotation at first
    std::unique_ptr<http_connection> checks;
};

/** What a caller observed of its flows. */
struct flow_record
{
    std::string backend; ///< empty if it was not opened
    double startedAt = 0;
    bool isRefused = false;
    bool isEnded = false;
    unsigned answers = 0;
    double lastAnswerAt = 0;
    std::string broken; ///< reason; empty unless the flow broke
    double brokenAt = 0;
};

/** The deployment. */
class fleet : public standin::deployment_observer
{
public:
    fleet(fleet_plan plan, recorder &record);
    ~fleet();

    /** Address on 127.S.kind.number; S differs between runs at the same time. */
    endpoint address(unsigned kind, std::size_t number, std::uint16_t port) const;
    endpoint routeAddress(unsigned route) const;

    standin::store_standin &store() { return *m_store; }
    asio::io_context &context() { return m_context; }
    random_source &random() { return m_random; }
    recorder &record() { return m_record; }
    std::vector<std::unique_ptr<node>> &nodes() { return m_nodes; }
    const std::map<flow_key, flow_record> &flows() const { return m_flows; }

    /** Writes a configuration with the given routes, by route number and service. */
    std::uint64_t putConfig(const std::map<unsigned, std::string> &routes, unsigned idleRoutes = 0);

    /** Starts a backend and writes its announcement. @param routes that lead to its service. */
    backend &addBackend(const std::string &name, const std::string &service, unsigned zone,
                        std::set<unsigned> routes);

    /** Writes the settings of all instances. */
    void writeSettings();

    void start(node &started);
    void signal(node &target, int number);
    bool isRunning(node &target);

    /** Starts instances, routers and callers; returns whether all are ready within 15 s. */
    bool startAll();
    bool areAllReady() const;

    void open(unsigned zone, unsigned route, unsigned requests, std::chrono::milliseconds pause);

    void runFor(std::chrono::milliseconds duration);

    /** Reads a status page of an instance; empty if it does not answer. */
    std::string readPage(const node &instance, const std::string &path);

private:
    void onOpeningPacket(const std::string &, const flow_key &) override { }
    void onForeignPacket(const std::string &, const flow_key &) override { }
    void onOpened(const flow_key &flow, const std::string &upstream) override;
    void onNotOpened(const flow_key &flow, bool isRefused) override;
    void onAnswered(const flow_key &flow, const std::string &upstream,
                    monotonic_time latency) override;
    void onBroken(const flow_key &flow, const std::string &upstream,
                  const std::string &reason) override;

    std::string settingsOf(const node &instance) const;
    std::optional<endpoint> route(unsigned zone, const flow_key &flow);
    void tick();
    void check();

    fleet_plan m_plan;
    recorder &m_record;
    asio::io_context m_context {1};
    boot_clock_source m_clock;
    standin::seeded_random m_random;
    unsigned m_slot = 0;
    std::unique_ptr<standin::store_standin> m_store;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::unique_ptr<backend>> m_backends;
    std::vector<std::unique_ptr<standin::caller_standin>> m_callers;
    std::map<flow_key, flow_record> m_flows;
    asio::steady_timer m_tick;
    asio::steady_timer m_checks;
    std::uint64_t m_version = 10;
};

} // namespace chicoryhead::review
