/**
 * @file entry_process_base.h
 * Event loop of an entry instance: sockets, timers and signals around the data path.
 */

#pragma once

#include "core/core_base.h"
#include "directory/directory_base.h"
#include "entry_metrics_base.h"
#include "eventlog/event_log_base.h"
#include "forward/forwarder_base.h"
#include "gossip/gossip_base.h"
#include "graceful_shutdown_base.h"
#include "health/upstream_health_base.h"
#include "instance_registrar_base.h"
#include "packet_log_base.h"
#include "packet_processor_base.h"
#include "placement/domain_first_placement_base.h"
#include "platform/platform_store.h"
#include "policy/policy_file_base.h"
#include "routing/routing_base.h"
#include "settings/entry_settings_type.h"
#include "status_documents.h"
#include "status_server.h"
#include "suspension_detector_base.h"
#include "sync/fleet_state_base.h"
#include "sync/snapshot_publisher_base.h"
#include "sync/store_follower_base.h"
#include "system/system_base.h"
#include "system/udp_socket_base.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicoryhead {

/** Result of rereading the settings. */
struct settings_update
{
    bool isChanged = false;                 ///< since they were last read
    std::optional<entry_settings> settings; ///< empty if unchanged or invalid
};

/** Rereads the settings. */
using settings_source = std::function<settings_update()>;

/** Runs one entry instance until a signal asks it to stop. */
class entry_process : private peer_sink
{
public:
    /**
     * @param settingsSource rereads the settings; called on SIGHUP and once per second.
     * @throw std::system_error if an address can't be bound.
     */
    entry_process(const entry_settings &settings, settings_source settingsSource);

    /**
     * Sets the policy to start with, and the source of later ones; called before run(), if there is
     * a policy file.
     * @param source rereads the policy; called on SIGHUP and once per second.
     */
    void setPolicy(const traffic_policy &policy, policy_source source);

    /** Runs the event loop until the graceful shutdown is complete. */
    void run();

private:
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override;
    void onPeerDatagram(std::span<const std::byte> bytes, const endpoint &from);
    void onDatagram(std::span<const std::byte> bytes);
    void onStateUpdated();
    void updateConnectionLimits();
    void onUpstreamsLoaded();
    void recordActivity();

    void scheduleHedges();
    void sendDueHedges();
    void scheduleTick();
    void tick();
    void evaluateUpstreamHealth();
    void applyHealthChange(const health_change &change);
    void tickEverySecond();
    void awaitSignal();
    void beginShutdown(int signal);
    void reloadSettings();
    void reloadPolicy();
    void applyPolicy(const traffic_policy &policy);

    bool isReady() const;
    status_page makePage(std::string_view path, std::string_view query);
    status_page makeExplainPage(std::string_view query) const;
    entry_gauges collectGauges() const;
    std::vector<upstream_status> collectUpstreamStatuses() const;

    entry_settings m_settings;
    settings_source m_settingsSource;
    traffic_policy m_policy;      ///< in effect once run() has started
    policy_source m_policySource; ///< empty if there is no policy file
    asio::io_context m_context {1};
    boot_clock_source m_clock;
    system_random_source m_random;
    event_log m_log;
    routing_table m_routes;
    upstream_directory m_directory;
    domain_first_placement m_placement;
    upstream_health m_health;
    latency_exchange m_latencies;
    forwarder m_forwarder;
    fleet_state m_state;
    platform::platform_store m_store;
    store_follower m_follower;
    gossip_node m_gossip;
    instance_registrar m_registrar;
    snapshot_publisher m_publisher;
    entry_metrics m_metrics;
    monotonic_time m_startedAt;
    suspension_detector m_suspensionDetector;
    packet_log m_packetLog;
    packet_processor m_packetProcessor;
    udp_socket m_data;
    udp_socket m_peers;
    status_server m_status;
    std::unique_ptr<status_server> m_metricsServer; ///< null when there is no metrics port
    asio::steady_timer m_timer;
    asio::steady_timer m_hedgeTimer;
    asio::signal_set m_signals;
    graceful_shutdown m_shutdown;
    std::map<std::string, std::size_t> m_instancesByDomain;
    /// Version of the instances, and number of former ones, that m_instancesByDomain is from.
    std::pair<std::uint64_t, std::size_t> m_countedInstances;
    monotonic_time m_tickDueAt {0};
    monotonic_time m_nextSecondTickAt {0};
    std::optional<monotonic_time> m_hedgesDueAt; ///< when m_hedgeTimer expires; empty if not set
};

} // namespace chicoryhead
