/**
 * @file deployment.h
 * Instance cores of one deployment joined by fakes at their interfaces, in virtual time.
 *
 * The fabric sprays packets at random; upstreams answer as a stock TCP stack would, as far as
 * steering can tell; callers open flows, send data, retransmit and close. Invariants are counted
 * while it runs.
 */

#pragma once

#include "fake_store.h"
#include "instance/instance_base.h"
#include "virtual_time.h"

#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicoryhead::test {

/** Shape of a deployment. */
struct deployment_settings
{
    std::uint32_t instances = 15;
    std::uint16_t domains = 3;
    std::uint64_t seed = 1;
    bool isPlainPolicy = false; ///< baseline policy
    /// Transmissions after which the caller of an open flow gives up; 25 take 97 s, about the least
    /// that RFC 9293 (3.8.3, R2) allows.
    int maxTransmissions = 8;
    bool hidesFlows = false;  ///< upstreams report no open flows, so that they are deflected
    double peerLossShare = 0; ///< of control messages and relays
    monotonic_time dataInterval = std::chrono::seconds(5); ///< mean time between packets of a flow
    std::uint32_t recordedInstance = 0;  ///< instance whose trace is written; 0 for none
    std::ostream *traceStream = nullptr; ///< outlives the deployment
};

/** Violations of invariants and other counts; all but the first four should stay 0. */
struct deployment_counts
{
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    std::uint64_t closed = 0;
    std::uint64_t stalled = 0; ///< 8 transmissions without an answer, 10.8 s, in an open flow
    std::uint64_t broken = 0;  ///< RST, or maxTransmissions without an answer, in an open flow
    std::uint64_t payloadAtSecondUpstream = 0;
    std::uint64_t wrongService = 0;
    std::uint64_t newOnLeaving = 0; ///< opened at an upstream 3 s after its mark held everywhere
    std::uint64_t versionDecreased = 0;

    bool operator==(const deployment_counts &) const = default;
};

/** One deployment in virtual time. */
class deployment
{
public:
    explicit deployment(const deployment_settings &settings);
    ~deployment();

    /** Submits a patch with these operations at a random instance, against its version. */
    void submit(std::vector<patch_operation> operations);

    /** Creates a TCP service with upstreams named "u1" and so on, spread over the domains. */
    void createService(const std::string &name, std::uint16_t port, std::uint32_t upstreams);

    /** Opens flows to a service, spread over the given time. */
    void openFlows(const std::string &service, std::uint32_t count, monotonic_time over);

    /** Closes a share of the open flows over the given time. */
    void closeFlows(double share, monotonic_time over);

    /** Adds an upstream to a service and waits until it is in force. */
    void addUpstream(const std::string &service, const upstream_config &upstream);

    /** Marks an upstream as leaving. */
    void markLeaving(const std::string &service, const std::string &upstream);

    /** Adds an upstream at an address of its own; it exists whether or not the patch succeeds. */
    void addUpstream(const std::string &service, const std::string &upstream);

    /** Sets the weight of an upstream. */
    void setWeight(const std::string &service, const std::string &upstream, std::uint16_t weight);

    /** Names of the upstreams of a service that are not leaving, in the newest version. */
    std::vector<std::string> activeUpstreams(const std::string &service) const;

    /** Kills an instance without notice. */
    void kill(std::uint32_t id);
    /** Tells an instance to leave; it is removed once it may stop. */
    void leave(std::uint32_t id);
    /** Starts a new instance; it gets packets once it is ready. */
    std::uint32_t start(std::uint16_t domain);
    /** Stops an instance's ticks and packets; they are dropped. */
    void pause(std::uint32_t id);
    /** Lets a paused instance go on. */
    void resume(std::uint32_t id);
    /** Cuts a failure domain's instances off from the others and from the store; 0 heals all. */
    void cutDomain(std::uint16_t domain);
    /** Starts or ends an outage of the store for all instances. */
    void setStoreReachable(bool isReachable);
    /** Cuts one instance off from the store, or connects it again. */
    void setStoreReachable(std::uint32_t id, bool isReachable);
    /** Kills an upstream with its flows; they don't count as broken. */
    void killUpstream(const std::string &service, const std::string &upstream);

    /** Hands an instance bytes as if the fabric had sent them. */
    void injectPacket(std::uint32_t id, std::span<const std::byte> bytes, const endpoint &from);
    /** Hands an instance bytes as if a peer had sent them. */
    void injectDatagram(std::uint32_t id, std::span<const std::byte> bytes, const endpoint &from);
    /** Submits a patch at one instance, against the newest version. */
    void submitAt(std::uint32_t id, std::vector<patch_operation> operations);

    /** Lets virtual time pass. */
    void run(monotonic_time duration);

    /** Lowest version in force over the live instances. */
    config_version lowestVersion() const;
    /** Highest version in force over the live instances. */
    config_version highestVersion() const { return newestConfig().version; }
    /** Flows that are open now. */
    std::size_t openFlowCount() const;
    /** Flows an upstream holds. */
    std::size_t flowsAt(const std::string &service, const std::string &upstream) const;
    /** Ids of the instances that run. */
    std::vector<std::uint32_t> instanceIds() const;
    /** Mean control bytes per second over the instances, since their start. */
    double controlBytesPerSecond() const;
    /** Blackboard of an instance. */
    const blackboard &board(std::uint32_t id) const;

    /** Notes the way of each packet of a flow among the events. */
    void traceFlow(std::uint64_t id) { m_tracedFlow = id; }

    /** One line for each of the last events, for a report of a failing seed. */
    const std::vector<std::string> &events() const { return m_events; }

    event_clock clock;
    fake_store store;
    deployment_counts counts;

private:
    class entry;
    struct fake_upstream;
    struct caller_flow;
    struct pending_packet;

    void retire(std::uint32_t id);
    void adoptUpstreams(const std::string &service);
    entry *randomEntry();
    void toFabric(std::vector<std::byte> packet, const endpoint &outerSource);
    void onUpstreamPacket(const endpoint &address, std::span<const std::byte> bytes);
    void onCallerPacket(std::span<const std::byte> bytes);
    void sendFlowPacket(std::uint64_t id, caller_flow &flow, std::uint8_t flags, bool hasPayload);
    void driveFlows();
    void checkVersions();
    void note(const std::string &event);
    std::string describe(const entry &one) const;
    void trace(std::span<const std::byte> packet, const std::string &event);
    monotonic_time after(monotonic_time mean);
    const upstream_config *findUpstream(const std::string &service,
                                        const std::string &upstream) const;
    const configuration &newestConfig() const;

    deployment_settings m_settings;
    std::mt19937_64 m_random;
    virtual_network m_network;
    std::map<std::uint32_t, std::unique_ptr<entry>> m_entries;
    std::vector<std::unique_ptr<entry>> m_retired; ///< kept, as store answers may be on their way
    std::map<endpoint, fake_upstream> m_upstreams;
    std::map<std::uint64_t, caller_flow> m_flows; ///< by caller address and port
    std::multimap<monotonic_time, pending_packet> m_packets;
    std::multimap<monotonic_time, std::uint64_t> m_timers; ///< next action of a flow
    std::map<std::uint32_t, config_version> m_versions;    ///< last seen, per instance
    std::map<upstream_id, monotonic_time> m_leavingSince;  ///< when the mark held everywhere
    std::vector<std::string> m_events;
    std::uint32_t m_nextInstance = 1;
    std::uint64_t m_nextFlow = 0;
    std::uint64_t m_nextPatch = 0;
    std::uint16_t m_addedUpstreams = 0;
    std::optional<std::uint64_t> m_tracedFlow;
    std::uint16_t m_cutDomain = 0; ///< 0 for none
    monotonic_time m_tickAt {0};
};

} // namespace chicoryhead::test
