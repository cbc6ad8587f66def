/**
 * @file deployment.cpp
 * Deployment in virtual time.
 */

#include "deployment.h"

#include "packet/packet_func.h"
#include "replay/recorded_instance_base.h"

#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <arpa/inet.h>

#include <algorithm>

namespace chicoryhead::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::uint32_t callerNetwork = 0x0a010000;
constexpr std::uint32_t serviceNetwork = 0x0a0a0000;
constexpr std::uint16_t upstreamPortBase = 20'000;
constexpr std::uint16_t addedPortBase = 30'000; ///< of upstreams added later
constexpr std::uint16_t peerPortBase = 10'000;
const std::string peerKey = "key of the virtual deployment";
constexpr int maxTransmissions = 8;
constexpr auto callerDelay = milliseconds(3);
constexpr auto upstreamDelay = milliseconds(1);
constexpr auto leavingGrace = seconds(3);
constexpr std::size_t keptEvents = 1000;

/** Builds a TCP packet with an independent implementation. */
std::vector<std::byte> buildTcp(const endpoint &source, const endpoint &destination,
                                std::uint8_t flags, std::uint32_t sequence, std::size_t payload)
{
    Tins::TCP tcp(destination.port, source.port);
    tcp.flags(flags);
    tcp.seq(sequence);
    // Tins keeps addresses in network byte order.
    Tins::IP ip(Tins::IPv4Address(htonl(destination.address)),
                Tins::IPv4Address(htonl(source.address)));
    ip /= tcp;
    if (payload > 0)
        ip /= Tins::RawPDU(std::string(payload, 'x'));
    const auto bytes = ip.serialize();
    const auto view = std::as_bytes(std::span(bytes));
    return {view.begin(), view.end()};
}

endpoint callerAddress(std::uint64_t flow)
{
    return {callerNetwork + static_cast<std::uint32_t>(flow / 50'000),
            static_cast<std::uint16_t>(10'000 + flow % 50'000)};
}

} // namespace

/** An upstream as its callers and the fabric see it. */
struct deployment::fake_upstream
{
    upstream_id id = noUpstream;
    std::string name;
    service_id service {0};
    endpoint serviceAddress;
    std::set<std::uint64_t> flows; ///< flow hashes
    bool isAlive = true;
};

/** A caller's flow. */
struct deployment::caller_flow
{
    enum class phase { Opening, Open, Closing, Done };

    endpoint service;
    phase state = phase::Opening;
    int transmissions = 0; ///< of the packet that waits for an answer; 0 when none does
    std::uint32_t sequence = 1;
    endpoint upstream;          ///< that got payload; port 0 for none
    bool isClosing = false;     ///< to be closed at its next action
    monotonic_time timerAt {0}; ///< when the flow's valid timer fires
};

/** A packet on its way to an instance, an upstream or a caller. */
struct deployment::pending_packet
{
    enum class target { Fabric, Upstream, Caller };

    target to = target::Fabric;
    endpoint address; ///< outer source for the fabric, else the upstream
    std::vector<std::byte> bytes;
};

/** One instance with its fakes. */
class deployment::entry : public packet_sink, public peer_sink, public load_prober
{
public:
    entry(deployment &owner, std::uint32_t id, std::uint16_t domain)
        : m_owner(owner)
        , m_id(id)
        , m_address {loopback, static_cast<std::uint16_t>(peerPortBase + id)}
        , m_domain(domain)
        , m_random(owner.m_settings.seed * 1000 + id)
        , storeClient(owner.store)
        , startedAt(owner.clock.now())
    {
        instance_settings settings;
        settings.id = instance_id {id};
        settings.domain = domain_id {domain};
        settings.peerAddress = m_address;
        settings.peerKey = peerKey;
        settings.isPlainPolicy = owner.m_settings.isPlainPolicy;
        settings.membership.seeds = {{loopback, peerPortBase + 1},
                                     {loopback, peerPortBase + 2},
                                     {loopback, peerPortBase + 3}};
        for (const auto &[other, peer] : owner.m_entries)
            settings.membership.seeds.push_back(peer->m_address);
        settings.steering.maxFlows = 65'536;
        const instance_environment environment {owner.clock, m_random, *this,
                                                *this,       *this,    storeClient};
        if (id == owner.m_settings.recordedInstance)
            core = makeRecordedInstance(settings, environment, *owner.m_settings.traceStream);
        else
            core = std::make_unique<instance>(settings, environment);
        owner.m_network.attach(m_address, [this](auto bytes, const endpoint &from) {
            if (!isPaused)
                core->onPeerDatagram(bytes, from);
        });
    }

    /** Cuts the instance off; answers of the store may still reach it. */
    void retire()
    {
        isPaused = true;
        m_owner.m_network.attach(m_address, {});
    }

    void sendToUpstream(const endpoint &upstream, std::span<const std::byte> packet) override
    {
        m_owner.trace(packet,
                      "instance " + std::to_string(m_id) + " to upstream port "
                          + std::to_string(upstream.port));
        m_owner.m_packets.emplace(m_owner.clock.now() + upstreamDelay,
                                  pending_packet {pending_packet::target::Upstream,
                                                  upstream,
                                                  {packet.begin(), packet.end()}});
    }

    void sendToCaller(std::span<const std::byte> packet) override
    {
        m_owner.trace(packet, "instance " + std::to_string(m_id) + " to caller");
        m_owner.m_packets.emplace(
            m_owner.clock.now() + callerDelay,
            pending_packet {pending_packet::target::Caller, {}, {packet.begin(), packet.end()}});
    }

    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override
    {
        const auto kind = peerDatagramKind(datagram);
        if (m_owner.m_tracedFlow && kind && kind.value() == peer_datagram_kind::Relay) {
            const auto relay = m_codec.decodeRelay(datagram);
            const relay_header &header = relay.value().header;
            m_owner.trace(relay.value().packet,
                          "relay from " + std::to_string(m_id) + " to "
                              + std::to_string(peer.port - peerPortBase) + " hops "
                              + std::to_string(header.hops) + " upstream "
                              + std::to_string(idValue(header.upstream)));
        }
        m_owner.m_network.send(m_address, peer, datagram);
    }

    void probe(upstream_id upstream, const endpoint &health) override
    {
        load_report report;
        report.isHealthy = true;
        report.sequence = ++m_sequence;
        // A report without flows contradicts the traffic and would deflect the upstream.
        const auto found = m_owner.m_upstreams.find(health);
        if (found != m_owner.m_upstreams.end() && !m_owner.m_settings.hidesFlows)
            report.openFlows = static_cast<std::uint32_t>(found->second.flows.size());
        core->onProbeOutcome(upstream, report);
    }

    const endpoint &address() const { return m_address; }
    std::uint16_t domain() const { return m_domain; }

private:
    deployment &m_owner;
    std::uint32_t m_id;
    peer_codec m_codec {peerKey}; ///< for traces
    endpoint m_address;
    std::uint16_t m_domain;
    stepped_random m_random;
    std::uint64_t m_sequence = 0;

public:
    fake_store_client storeClient;
    monotonic_time startedAt;
    std::unique_ptr<instance> core; ///< ends before what it refers to
    bool isPaused = false;
};

deployment::deployment(const deployment_settings &settings)
    : store(clock, settings.seed + 2)
    , m_settings(settings)
    , m_random(settings.seed)
    , m_network(clock, settings.seed + 1)
{
    for (std::uint32_t index = 0; index < settings.instances; ++index)
        start(static_cast<std::uint16_t>(1 + index % settings.domains));
    run(seconds(5));
    m_network.lossShare = settings.peerLossShare;
}

deployment::~deployment() = default;

void deployment::note(const std::string &event)
{
    if (m_events.size() == keptEvents)
        m_events.erase(m_events.begin());
    m_events.push_back(std::to_string(clock.now().count() / 1000) + " ms " + event);
}

void deployment::trace(std::span<const std::byte> packet, const std::string &event)
{
    if (!m_tracedFlow)
        return;
    const packet_view view = parsePacket(packet).value();
    const endpoint caller = callerAddress(*m_tracedFlow);
    if (view.source != caller && view.destination != caller)
        return;
    const bool isReply = view.destination == caller;
    note("flow " + std::to_string(*m_tracedFlow) + (isReply ? " reply" : " packet") + " kind "
         + std::to_string(static_cast<int>(view.kind)) + " sequence "
         + std::to_string(view.sequence) + " " + event);
}

std::string deployment::describe(const entry &one) const
{
    const blackboard &board = one.core->board();
    std::string text = "instance " + std::to_string(idValue(board.self.id)) + " version "
        + std::to_string(board.config->version) + " domain " + std::to_string(one.domain())
        + " ready";
    for (const auto &[id, peer] : board.members) {
        if (peer.state == member_state::Ready)
            text += " " + std::to_string(idValue(id));
    }
    text += " deflected once";
    for (const auto &[id, state] : board.upstreams) {
        if (state.incarnation > 0)
            text += " " + std::to_string(idValue(id));
    }
    return text;
}

std::uint32_t deployment::start(std::uint16_t domain)
{
    const std::uint32_t id = m_nextInstance++;
    m_entries[id] = std::make_unique<entry>(*this, id, domain);
    m_network.setSide(m_entries[id]->address(), domain == m_cutDomain ? 1 : 0);
    m_entries[id]->storeClient.isReachable = domain != m_cutDomain;
    note("start instance " + std::to_string(id));
    return id;
}

void deployment::kill(std::uint32_t id)
{
    note("kill instance " + std::to_string(id));
    retire(id);
}

void deployment::retire(std::uint32_t id)
{
    auto node = m_entries.extract(id);
    node.mapped()->retire();
    m_retired.push_back(std::move(node.mapped()));
}

void deployment::leave(std::uint32_t id)
{
    note("leave instance " + std::to_string(id));
    m_entries.at(id)->core->beginLeaving();
}

void deployment::pause(std::uint32_t id)
{
    note("pause instance " + std::to_string(id));
    m_entries.at(id)->isPaused = true;
}

void deployment::resume(std::uint32_t id)
{
    note("resume instance " + std::to_string(id));
    m_entries.at(id)->isPaused = false;
}

void deployment::cutDomain(std::uint16_t domain)
{
    note("cut domain " + std::to_string(domain));
    m_cutDomain = domain;
    for (const auto &[id, one] : m_entries) {
        m_network.setSide(one->address(), one->domain() == domain ? 1 : 0);
        one->storeClient.isReachable = one->domain() != domain;
    }
}

void deployment::killUpstream(const std::string &service, const std::string &upstream)
{
    note("kill upstream " + upstream);
    m_upstreams.at(findUpstream(service, upstream)->address).isAlive = false;
}

const configuration &deployment::newestConfig() const
{
    const configuration *newest = nullptr;
    for (const auto &[id, one] : m_entries) {
        const auto &config = one->core->board().config;
        if (!newest || config->version > newest->version)
            newest = config.get();
    }
    return *newest;
}

const upstream_config *deployment::findUpstream(const std::string &service,
                                                const std::string &upstream) const
{
    const service_config *found = newestConfig().findService(service);
    for (const auto &candidate : found->upstreams) {
        if (candidate.name == upstream)
            return &candidate;
    }
    return nullptr;
}

void deployment::submit(std::vector<patch_operation> operations)
{
    std::vector<std::uint32_t> able;
    for (const auto &[id, one] : m_entries) {
        if (!one->isPaused && one->domain() != m_cutDomain)
            able.push_back(id);
    }
    if (!able.empty())
        submitAt(able[m_random() % able.size()], std::move(operations));
}

void deployment::submitAt(std::uint32_t id, std::vector<patch_operation> operations)
{
    config_patch patch;
    patch.id = "patch-" + std::to_string(++m_nextPatch);
    patch.author = "test";
    patch.reason = "test";
    patch.operations = std::move(operations);
    patch.baseVersion = newestConfig().version;
    note("submit " + patch.id);
    m_entries.at(id)->core->submit(patch, [this, name = patch.id](const patch_outcome &outcome) {
        note(name + ": " + outcome.code.message() + " version " + std::to_string(outcome.version));
    });
}

void deployment::injectPacket(std::uint32_t id, std::span<const std::byte> bytes,
                              const endpoint &from)
{
    m_entries.at(id)->core->onFabricPacket(bytes, from);
}

void deployment::injectDatagram(std::uint32_t id, std::span<const std::byte> bytes,
                                const endpoint &from)
{
    m_entries.at(id)->core->onPeerDatagram(bytes, from);
}

void deployment::createService(const std::string &name, std::uint16_t port, std::uint32_t upstreams)
{
    patch_operation create;
    create.kind = patch_operation_kind::CreateService;
    create.service = name;
    create.newService.name = name;
    create.newService.address = {serviceNetwork, port};
    for (std::uint32_t index = 1; index <= upstreams; ++index) {
        upstream_config upstream;
        upstream.name = "u" + std::to_string(index);
        upstream.domain = domain_id {static_cast<std::uint16_t>(1 + index % m_settings.domains)};
        upstream.address = {loopback + port, static_cast<std::uint16_t>(upstreamPortBase + index)};
        upstream.health = {loopback + port, static_cast<std::uint16_t>(upstreamPortBase + index)};
        create.newService.upstreams.push_back(upstream);
    }
    submit({create});
    run(seconds(8));
    adoptUpstreams(name);
}

void deployment::adoptUpstreams(const std::string &service)
{
    const service_config *found = newestConfig().findService(service);
    for (const auto &upstream : found->upstreams) {
        const fake_upstream fake {upstream.id, upstream.name, found->id, found->address, {}, true};
        m_upstreams.emplace(upstream.address, fake);
    }
}

void deployment::addUpstream(const std::string &service, const upstream_config &upstream)
{
    patch_operation add;
    add.kind = patch_operation_kind::AddUpstream;
    add.service = service;
    add.newUpstream = upstream;
    submit({add});
    // No packet of a new flow goes to it earlier: home 1 waits for all members or 2.5 s.
    const config_version before = newestConfig().version;
    while (newestConfig().version == before)
        run(milliseconds(1));
    adoptUpstreams(service);
}

void deployment::setStoreReachable(std::uint32_t id, bool isReachable)
{
    note("store " + std::string(isReachable ? "on" : "off") + " at " + std::to_string(id));
    m_entries.at(id)->storeClient.isReachable = isReachable;
}

void deployment::markLeaving(const std::string &service, const std::string &upstream)
{
    patch_operation mark;
    mark.kind = patch_operation_kind::MarkLeaving;
    mark.service = service;
    mark.upstream = upstream;
    mark.leavingAt = clock.wallNow();
    note("mark " + upstream + " of " + service + " as leaving");
    submit({mark});
}

void deployment::addUpstream(const std::string &service, const std::string &upstream)
{
    const service_config &found = *newestConfig().findService(service);
    patch_operation add;
    add.kind = patch_operation_kind::AddUpstream;
    add.service = service;
    add.newUpstream.name = upstream;
    ++m_addedUpstreams;
    add.newUpstream.domain =
        domain_id {static_cast<std::uint16_t>(1 + m_addedUpstreams % m_settings.domains)};
    add.newUpstream.address = {loopback + found.address.port,
                               static_cast<std::uint16_t>(addedPortBase + m_addedUpstreams)};
    add.newUpstream.health = add.newUpstream.address;
    // The upstream runs before the patch is accepted; checkVersions() fills in its id.
    m_upstreams[add.newUpstream.address] = {noUpstream,    upstream, found.id,
                                            found.address, {},       true};
    note("add " + upstream + " to " + service);
    submit({add});
}

void deployment::setWeight(const std::string &service, const std::string &upstream,
                           std::uint16_t weight)
{
    patch_operation set;
    set.kind = patch_operation_kind::SetWeight;
    set.service = service;
    set.upstream = upstream;
    set.weight = weight;
    note("set weight of " + upstream + " of " + service + " to " + std::to_string(weight));
    submit({set});
}

std::vector<std::string> deployment::activeUpstreams(const std::string &service) const
{
    std::vector<std::string> names;
    for (const auto &upstream : newestConfig().findService(service)->upstreams) {
        if (upstream.mode == upstream_mode::Active)
            names.push_back(upstream.name);
    }
    return names;
}

void deployment::setStoreReachable(bool isReachable)
{
    note(isReachable ? "store reachable" : "store unreachable");
    store.isReachable = isReachable;
}

void deployment::openFlows(const std::string &service, std::uint32_t count, monotonic_time over)
{
    const endpoint address = newestConfig().findService(service)->address;
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::uint64_t id = m_nextFlow++;
        caller_flow &flow = m_flows[id];
        flow.service = address;
        flow.timerAt = clock.now() + monotonic_time(m_random() % (over.count() + 1));
        m_timers.emplace(flow.timerAt, id);
    }
}

void deployment::closeFlows(double share, monotonic_time over)
{
    for (auto &[id, flow] : m_flows) {
        const bool isChosen = std::uniform_real_distribution<double>()(m_random) < share;
        if (flow.state != caller_flow::phase::Open || !isChosen)
            continue;
        flow.isClosing = true;
        if (flow.transmissions > 0)
            continue; // closes after its answer
        flow.timerAt = clock.now() + monotonic_time(m_random() % (over.count() + 1));
        m_timers.emplace(flow.timerAt, id);
    }
}

deployment::entry *deployment::randomEntry()
{
    std::vector<entry *> able;
    for (const auto &[id, one] : m_entries) {
        if (one->core->isReady())
            able.push_back(one.get());
    }
    return able.empty() ? nullptr : able[m_random() % able.size()];
}

monotonic_time deployment::after(monotonic_time mean)
{
    return monotonic_time(mean.count() / 2 + static_cast<std::int64_t>(m_random() % mean.count()));
}

void deployment::toFabric(std::vector<std::byte> packet, const endpoint &outerSource)
{
    m_packets.emplace(
        clock.now() + callerDelay,
        pending_packet {pending_packet::target::Fabric, outerSource, std::move(packet)});
}

void deployment::sendFlowPacket(std::uint64_t id, caller_flow &flow, std::uint8_t flags,
                                bool hasPayload)
{
    ++flow.transmissions;
    toFabric(buildTcp(callerAddress(id), flow.service, flags, flow.sequence, hasPayload ? 64 : 0),
             {});
    // TCP's backoff, shortened: the tests look at placement, not at congestion.
    flow.timerAt = clock.now() + milliseconds(300) * flow.transmissions;
    m_timers.emplace(flow.timerAt, id);
}

void deployment::driveFlows()
{
    while (!m_timers.empty() && m_timers.begin()->first <= clock.now()) {
        const auto [due, id] = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        caller_flow &flow = m_flows.at(id);
        if (flow.timerAt != due || flow.state == caller_flow::phase::Done)
            continue;
        const bool wasOpen = flow.state != caller_flow::phase::Opening;
        if (flow.transmissions == maxTransmissions && wasOpen)
            ++counts.stalled;
        const int limit = wasOpen ? m_settings.maxTransmissions : maxTransmissions;
        if (flow.transmissions >= limit) {
            flow.state = caller_flow::phase::Done;
            const auto holder = m_upstreams.find(flow.upstream);
            const bool isUpstreamAlive = holder == m_upstreams.end() || holder->second.isAlive;
            if (wasOpen && isUpstreamAlive) {
                ++counts.broken;
                note("flow " + std::to_string(id) + " broken: no answer");
            } else if (!wasOpen) {
                ++counts.refused;
            }
            continue;
        }
        if (flow.isClosing && flow.transmissions == 0)
            flow.state = caller_flow::phase::Closing;
        switch (flow.state) {
        case caller_flow::phase::Opening:
            sendFlowPacket(id, flow, Tins::TCP::SYN, false);
            break;
        case caller_flow::phase::Open:
            sendFlowPacket(id, flow, Tins::TCP::ACK, true);
            break;
        case caller_flow::phase::Closing:
            sendFlowPacket(id, flow, Tins::TCP::FIN | Tins::TCP::ACK, false);
            break;
        case caller_flow::phase::Done:
            break;
        }
    }
}

void deployment::onUpstreamPacket(const endpoint &address, std::span<const std::byte> bytes)
{
    const auto found = m_upstreams.find(address);
    if (found == m_upstreams.end() || !found->second.isAlive)
        return;
    fake_upstream &upstream = found->second;
    const packet_view packet = parsePacket(bytes).value();
    if (packet.destination != upstream.serviceAddress)
        ++counts.wrongService;
    const flow_hash hash = hashFlow(forwardKey(packet));
    const auto reply = [&](std::uint8_t flags) {
        toFabric(buildTcp(packet.destination, packet.source, flags, packet.sequence, 0), address);
    };
    if (packet.kind == packet_kind::Open) {
        const auto leaving = m_leavingSince.find(upstream.id);
        const bool isNew = upstream.flows.insert(hash).second;
        if (isNew && leaving != m_leavingSince.end()
            && clock.now() - leaving->second > leavingGrace) {
            ++counts.newOnLeaving;
            note("new flow at leaving upstream " + upstream.name);
        }
        return reply(Tins::TCP::SYN | Tins::TCP::ACK);
    }
    if (packet.kind == packet_kind::Reset) {
        upstream.flows.erase(hash);
        return;
    }
    if (!upstream.flows.count(hash)) {
        if (packet.kind == packet_kind::Close)
            return reply(Tins::TCP::ACK); // a repeated FIN whose answer was lost
        return reply(Tins::TCP::RST);
    }
    if (packet.kind == packet_kind::Close)
        upstream.flows.erase(hash);
    if (!packet.payload.empty()) {
        const std::uint64_t id =
            (packet.source.address - callerNetwork) * 50'000ULL + packet.source.port - 10'000;
        caller_flow &flow = m_flows.at(id);
        if (flow.upstream.port != 0 && flow.upstream != address) {
            ++counts.payloadAtSecondUpstream;
            note("flow " + std::to_string(id) + " broken: payload at a second upstream, "
                 + upstream.name);
        }
        flow.upstream = address;
    }
    reply(Tins::TCP::ACK);
}

void deployment::onCallerPacket(std::span<const std::byte> bytes)
{
    const packet_view packet = parsePacket(bytes).value();
    const std::uint64_t id =
        (packet.destination.address - callerNetwork) * 50'000ULL + packet.destination.port - 10'000;
    caller_flow &flow = m_flows.at(id);
    if (flow.state == caller_flow::phase::Done)
        return;
    const bool isOpening = flow.state == caller_flow::phase::Opening;
    if (packet.kind == packet_kind::Reset) {
        flow.state = caller_flow::phase::Done;
        ++(isOpening ? counts.refused : counts.broken);
        if (!isOpening)
            note("flow " + std::to_string(id) + " broken: reset");
        return;
    }
    if (isOpening && packet.kind != packet_kind::OpenReply)
        return;
    if (!isOpening && packet.kind == packet_kind::OpenReply)
        return;
    if (flow.transmissions == 0)
        return;
    flow.transmissions = 0;
    ++flow.sequence;
    if (isOpening) {
        flow.state = caller_flow::phase::Open;
        ++counts.opened;
    }
    if (flow.state == caller_flow::phase::Closing) {
        flow.state = caller_flow::phase::Done;
        ++counts.closed;
        return;
    }
    // The first payload follows the handshake at once, as most protocols have it.
    const bool isUrgent = isOpening || flow.isClosing;
    flow.timerAt = clock.now() + (isUrgent ? milliseconds(1) : after(m_settings.dataInterval));
    m_timers.emplace(flow.timerAt, id);
}

void deployment::checkVersions()
{
    config_version lowest = ~config_version {0};
    for (const auto &[id, one] : m_entries) {
        const config_version version = one->core->board().config->version;
        if (version < m_versions[id])
            ++counts.versionDecreased;
        m_versions[id] = version;
        lowest = std::min(lowest, version);
    }
    for (const auto &[id, service] : newestConfig().services) {
        for (const auto &upstream : service->upstreams) {
            const auto found = m_upstreams.find(upstream.address);
            if (found != m_upstreams.end())
                found->second.id = upstream.id;
        }
    }
    if (m_entries.empty() || lowest != newestConfig().version)
        return;
    for (const auto &[id, service] : newestConfig().services) {
        for (const auto &upstream : service->upstreams) {
            if (upstream.mode == upstream_mode::Leaving)
                m_leavingSince.emplace(upstream.id, clock.now());
        }
    }
}

void deployment::run(monotonic_time duration)
{
    const monotonic_time end = clock.now() + duration;
    while (clock.now() < end) {
        clock.runUntil(clock.now() + milliseconds(1));
        m_network.deliver();
        while (!m_packets.empty() && m_packets.begin()->first <= clock.now()) {
            const pending_packet next = std::move(m_packets.begin()->second);
            m_packets.erase(m_packets.begin());
            if (next.to == pending_packet::target::Upstream) {
                onUpstreamPacket(next.address, next.bytes);
            } else if (next.to == pending_packet::target::Caller) {
                onCallerPacket(next.bytes);
            } else if (entry *one = randomEntry(); one && !one->isPaused) {
                trace(next.bytes, "fabric to " + describe(*one));
                one->core->onFabricPacket(next.bytes, next.address);
            }
        }
        driveFlows();
        if (clock.now() < m_tickAt)
            continue;
        m_tickAt = clock.now() + milliseconds(10);
        for (const std::uint32_t id : instanceIds()) {
            entry &one = *m_entries.at(id);
            if (one.isPaused)
                continue;
            one.core->tick();
            if (one.core->isGone())
                retire(id);
        }
        checkVersions();
    }
}

config_version deployment::lowestVersion() const
{
    config_version lowest = ~config_version {0};
    for (const auto &[id, one] : m_entries)
        lowest = std::min(lowest, one->core->board().config->version);
    return lowest;
}

std::size_t deployment::openFlowCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_flows.begin(), m_flows.end(), [](const auto &flow) {
            return flow.second.state == caller_flow::phase::Open;
        }));
}

std::size_t deployment::flowsAt(const std::string &service, const std::string &upstream) const
{
    return m_upstreams.at(findUpstream(service, upstream)->address).flows.size();
}

std::vector<std::uint32_t> deployment::instanceIds() const
{
    std::vector<std::uint32_t> ids;
    for (const auto &[id, one] : m_entries)
        ids.push_back(id);
    return ids;
}

double deployment::controlBytesPerSecond() const
{
    double sum = 0;
    for (const auto &[id, one] : m_entries) {
        const double lifetime = std::chrono::duration<double>(clock.now() - one->startedAt).count();
        sum += static_cast<double>(one->core->board().counters.peerBytesSent)
            / std::max(lifetime, 1.0);
    }
    return sum / static_cast<double>(m_entries.size());
}

const blackboard &deployment::board(std::uint32_t id) const
{
    return m_entries.at(id)->core->board();
}

} // namespace chicoryhead::test
