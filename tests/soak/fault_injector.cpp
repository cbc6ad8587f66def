/**
 * @file fault_injector.cpp
 * Faults of a soak and how each is cleared.
 */

#include "fault_injector.h"

#include "platform/packet_codec.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace chicoryhead::soak {

namespace {

using namespace std::chrono_literals;
using standin::proxy_mode;
using standin::store_behaviour;

/// Gives the instances time to become ready before the first fault.
constexpr monotonic_time firstFaultDelay = 4s;
/// An announcement expires after three heartbeats of 1.2 s, as on the platform.
constexpr monotonic_time announcementExpiry = 3600ms;
/// Faults last up to 7 s, and an instance counts as undisturbed 4 s after the last one. This delay
/// is shorter than the sum because the last faults before maintenance are mostly shorter than 7 s.
constexpr monotonic_time maintenanceDelay = 9s;
/// Covers the time bounds of planned maintenance and several evaluations of the checks.
constexpr monotonic_time maintenanceTime = 5s;
/// Upstreams of a service that are never removed, so that callers are still served.
constexpr std::size_t minUpstreams = 3;

} // namespace

fault_injector::fault_injector(standin::deployment_standin &deployment, invariant_check &check,
                               std::uint64_t seed, std::ostream &log)
    : m_deployment(deployment)
    , m_check(check)
    , m_seedSource(seed)
    , m_random(seed)
    , m_upstreamRandom(~seed)
    , m_log(log)
    , m_startedAt(deployment.clock().now())
    , m_nextFault(m_startedAt + firstFaultDelay)
    , m_nextUpstreamFault(m_nextFault)
{
    for (std::size_t i = 0; i < instances().size(); ++i)
        m_restartRandom.emplace_back(m_seedSource.next());
}

monotonic_time fault_injector::drawTime(unsigned fromMs, unsigned toMs)
{
    return std::chrono::milliseconds(fromMs + draw(toMs - fromMs));
}

void fault_injector::schedule(monotonic_time after, std::function<void()> callback)
{
    m_scheduled.emplace(m_deployment.clock().now() + after, std::move(callback));
}

void fault_injector::logEvent(const std::string &text)
{
    m_log << (m_deployment.clock().now() - m_startedAt) / 1ms << " ms: " << text << std::endl;
}

void fault_injector::tick()
{
    constexpr std::array<action, 12> actions {
        &fault_injector::pauseInstance,  &fault_injector::killInstance,
        &fault_injector::stopInstance,   &fault_injector::disturbStoreConnection,
        &fault_injector::disturbStore,   &fault_injector::dropHistory,
        &fault_injector::reloadSettings, &fault_injector::drainUpstream,
        &fault_injector::crashUpstream,  &fault_injector::changeConfig,
        &fault_injector::killAll,        &fault_injector::restoreStore};
    const auto now = m_deployment.clock().now();
    while (!m_scheduled.empty() && m_scheduled.begin()->first <= now) {
        const auto callback = m_scheduled.extract(m_scheduled.begin()).mapped();
        callback();
    }
    restartExited();
    if (!m_hasEnded && now >= m_nextUpstreamFault)
        disturbUpstream();
    if (m_hasEnded || now < m_nextFault)
        return;
    m_random = standin::seeded_random(m_seedSource.next());
    // Most faults overlap. After one in four, planned maintenance starts once the instances have
    // been undisturbed long enough for its time bounds to apply; the next fault follows after these
    // bounds have been checked.
    if (draw(4) == 0) {
        schedule(maintenanceDelay, [this] { startPlannedMaintenance(); });
        m_nextFault += maintenanceDelay + maintenanceTime;
    } else {
        m_nextFault += draw(3) == 0 ? drawTime(1200, 5000) : drawTime(20, 1200);
    }
    (this->*actions.at(draw(actions.size())))();
}

void fault_injector::end()
{
    m_hasEnded = true;
    for (auto &[at, callback] : std::exchange(m_scheduled, {}))
        callback();
    for (auto &[index, at] : m_restartTimes)
        at = m_deployment.clock().now();
    restartExited();
    schedule(maintenanceDelay, [this] { startPlannedMaintenance(); });
}

void fault_injector::startPlannedMaintenance()
{
    changeConfig();
    drainUpstream();
}

void fault_injector::restartExited()
{
    const auto now = m_deployment.clock().now();
    for (std::size_t i = 0; i < instances().size(); ++i) {
        if (m_check.takeExit(i))
            m_restartTimes[i] = now + (m_hasEnded ? 0ms : drawRestart(i));
        const auto due = m_restartTimes.find(i);
        if (due == m_restartTimes.end() || due->second > now)
            continue;
        m_restartTimes.erase(due);
        m_check.recordDisturbance(i);
        instances()[i].isPaused = false;
        instances()[i].program->start();
    }
}

monotonic_time fault_injector::drawRestart(std::size_t index)
{
    constexpr std::uint64_t shortest = 50;
    constexpr std::uint64_t longest = 2500;
    return std::chrono::milliseconds(shortest
                                     + m_restartRandom[index].next() % (longest - shortest));
}

void fault_injector::pauseInstance()
{
    const auto index = drawInstance();
    auto &instance = instances()[index];
    if (instance.isPaused || !instance.program->isRunning())
        return;
    logEvent("pause " + instance.program->settings().name);
    m_check.recordDisturbance(index);
    instance.isPaused = true;
    instance.healthySince = monotonic_time {0};
    instance.program->signal(SIGSTOP);
    schedule(drawTime(200, 6000), [this, index] { resume(index); });
}

void fault_injector::resume(std::size_t index)
{
    logEvent("resume " + instances()[index].program->settings().name);
    m_check.recordResume(index);
    instances()[index].isPaused = false;
    instances()[index].program->signal(SIGCONT);
}

void fault_injector::killInstance()
{
    kill(drawInstance());
}

void fault_injector::kill(std::size_t index)
{
    auto &instance = instances()[index];
    if (!instance.program->isRunning())
        return;
    logEvent("kill " + instance.program->settings().name);
    m_check.recordKill(index);
    instance.healthySince = monotonic_time {0};
    instance.program->signal(SIGKILL);
}

void fault_injector::killAll()
{
    for (std::size_t i = 0; i < instances().size(); ++i)
        kill(i);
}

void fault_injector::stopInstance()
{
    const auto index = drawInstance();
    auto &instance = instances()[index];
    // A paused process can't react; its grace period would start only when it is resumed.
    if (!instance.program->isRunning() || instance.isPaused)
        return;
    logEvent("stop " + instance.program->settings().name);
    m_check.recordStop(index);
    instance.healthySince = monotonic_time {0};
    instance.program->signal(SIGTERM);
}

void fault_injector::disturbStoreConnection()
{
    const auto mode = static_cast<proxy_mode>(1 + draw(standin::proxyModeCount - 1));
    const auto count = 1 + draw(static_cast<unsigned>(instances().size()));
    const auto duration = drawTime(300, 6000);
    for (unsigned i = 0; i < count; ++i) {
        const auto index = drawInstance();
        auto &instance = instances()[index];
        logEvent("connection of " + instance.program->settings().name
                 + " to the store: " + std::string(standin::toString(mode)));
        m_check.recordDisturbance(index);
        instance.storeProxy->setMode(mode);
        schedule(duration, [this, index] {
            m_check.recordDisturbance(index);
            instances()[index].storeProxy->setMode(proxy_mode::Pass);
            updateStoreStability();
        });
    }
    updateStoreStability();
}

void fault_injector::disturbStore()
{
    constexpr std::array<store_behaviour, 4> behaviours {
        store_behaviour::Busy, store_behaviour::Throttled, store_behaviour::Silent,
        store_behaviour::Garbage};
    if (m_isStoreDisturbed)
        return;
    const auto behaviour = behaviours.at(draw(behaviours.size()));
    logEvent("store: " + std::string(standin::toString(behaviour)));
    m_isStoreDisturbed = true;
    m_deployment.store().setBehaviour(behaviour);
    updateStoreStability();
    schedule(drawTime(300, 7000), [this] {
        logEvent("store serves again");
        m_isStoreDisturbed = false;
        m_deployment.store().setBehaviour(store_behaviour::Serving);
        updateStoreStability();
    });
}

/// The store counts as stable while it serves requests and at least one instance can reach it.
void fault_injector::updateStoreStability()
{
    const bool isReached =
        std::any_of(instances().begin(), instances().end(), [](const auto &instance) {
            return instance.storeProxy->mode() == proxy_mode::Pass;
        });
    m_check.setStoreStable(isReached && !m_isStoreDisturbed);
}

void fault_injector::dropHistory()
{
    logEvent("store drops its history");
    m_deployment.store().dropHistory();
}

/// Copies the store, and restores it from the copy some seconds and changes later.
void fault_injector::restoreStore()
{
    logEvent("store is copied");
    const auto lostTime = drawTime(500, 9000);
    const unsigned lostChanges = 2 + draw(5);
    for (unsigned i = 0; i < lostChanges; ++i)
        schedule(lostTime * static_cast<int>(i) / static_cast<int>(lostChanges),
                 [this] { changeConfig(); });
    schedule(lostTime, [this, copy = m_deployment.store().copy(), outage = drawTime(100, 2500)] {
        beginRestore(copy, outage);
    });
}

void fault_injector::beginRestore(const standin::store_copy &copy, monotonic_time outage)
{
    if (m_isStoreDisturbed || m_hasEnded)
        return;
    logEvent("store: away, to be restored");
    m_isStoreDisturbed = true;
    m_deployment.store().setBehaviour(store_behaviour::Silent);
    updateStoreStability();
    schedule(outage, [this, copy] { endRestore(copy); });
}

/// The operator and the upstreams write again what the copy lacks; announcements of upstreams that
/// have stopped expire.
void fault_injector::endRestore(const standin::store_copy &copy)
{
    logEvent("store is restored from the copy");
    m_deployment.store().restore(copy);
    m_deployment.store().setBehaviour(store_behaviour::Serving);
    schedule(drawTime(0, 1900), [this] { m_deployment.rewriteLost(); });
    schedule(announcementExpiry, [this] {
        m_deployment.expireAnnouncements();
        m_isStoreDisturbed = false;
        updateStoreStability();
    });
    // Changes that follow undisturbed show whether the instances still compare revisions with those
    // from before.
    if (draw(2) == 0) {
        schedule(maintenanceDelay, [this] { startPlannedMaintenance(); });
        m_nextFault = m_deployment.clock().now() + maintenanceDelay + maintenanceTime;
    }
}

void fault_injector::reloadSettings()
{
    const auto &program = *instances()[drawInstance()].program;
    logEvent("reload " + program.settings().name);
    program.signal(SIGHUP);
}

std::string fault_injector::drawUpstream(unsigned service)
{
    const auto names = m_deployment.upstreamsOf(service);
    if (names.size() <= minUpstreams)
        return {};
    return names[draw(static_cast<unsigned>(names.size()))];
}

void fault_injector::drainUpstream()
{
    const unsigned service = draw(m_deployment.plan().services);
    const std::string name = drawUpstream(service);
    if (name.empty())
        return;
    logEvent("upstream " + name + " leaves");
    m_deployment.drainUpstream(name);
    m_check.recordDrain(name, m_deployment.clock().now());
    schedule(drawTime(4500, 12000), [this, name, service, domain = drawDomain()] {
        m_deployment.endUpstream(name);
        m_deployment.withdrawUpstream(name);
        logEvent("upstream " + m_deployment.addUpstream(service, domain) + " replaces " + name);
    });
}

void fault_injector::crashUpstream()
{
    const unsigned service = draw(m_deployment.plan().services);
    const std::string name = drawUpstream(service);
    if (name.empty())
        return;
    logEvent("upstream " + name + " crashes");
    m_deployment.endUpstream(name);
    schedule(announcementExpiry, [this, name] { m_deployment.withdrawUpstream(name); });
    schedule(drawTime(500, 4000), [this, service, domain = drawDomain()] {
        logEvent("upstream " + m_deployment.addUpstream(service, domain) + " is added");
    });
}

/// A series beside the other faults. Flows on the upstream stay open, so it must not be one that
/// crashes meanwhile.
void fault_injector::disturbUpstream()
{
    const auto drawn = [this](unsigned below) {
        return static_cast<unsigned>(m_upstreamRandom.next() % below);
    };
    m_nextUpstreamFault += std::chrono::milliseconds(1500 + drawn(6000));
    const auto names = m_deployment.upstreamsOf(drawn(m_deployment.plan().services));
    const std::string name = names[drawn(static_cast<unsigned>(names.size()))];
    const auto duration = std::chrono::milliseconds(200 + drawn(2800));
    if (drawn(2) == 0)
        cutUpstream(name, duration);
    else
        fillUpstream(name, duration);
}

void fault_injector::cutUpstream(const std::string &name, monotonic_time duration)
{
    logEvent("upstream " + name + " is cut off");
    m_deployment.findUpstream(name)->setCut(true);
    m_check.recordCut(name, m_deployment.clock().now() + duration);
    schedule(duration, [this, name] {
        logEvent("upstream " + name + " is reachable");
        m_check.recordCut(name, m_deployment.clock().now());
        if (auto *upstream = m_deployment.findUpstream(name))
            upstream->setCut(false);
    });
}

void fault_injector::fillUpstream(const std::string &name, monotonic_time duration)
{
    logEvent("upstream " + name + " is full");
    auto *filled = m_deployment.findUpstream(name);
    filled->setMaxFlows(filled->countFlows());
    schedule(duration, [this, name] {
        logEvent("upstream " + name + " has room");
        if (auto *upstream = m_deployment.findUpstream(name))
            upstream->setMaxFlows(SIZE_MAX);
    });
}

void fault_injector::changeConfig()
{
    const auto changes = draw(4) == 0 ? 5U : 1U;
    for (unsigned i = 0; i < changes; ++i) {
        const auto version = m_deployment.putConfig();
        logEvent("configuration " + std::to_string(version));
        m_check.recordConfig(version);
    }
}

void fault_injector::breakInvariant(invariant broken)
{
    logEvent("break invariant " + std::string(toString(broken)));
    switch (broken) {
    case invariant::OpenFlow:
        for (const auto &caller : m_deployment.callers())
            caller->omitTags();
        break;
    case invariant::Service: {
        platform::wire_packet packet;
        packet.target = m_deployment.serviceAddress(0);
        auto bytes = platform::encodePacket(packet);
        bytes.insert(bytes.begin(), platform::prefixBytes, std::byte {0});
        const auto &target =
            m_deployment.findUpstream(m_deployment.upstreamsOf(1).front())->announced().address;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(target.port);
        address.sin_addr.s_addr = htonl(target.address);
        const int descriptor = ::socket(AF_INET, SOCK_DGRAM, 0);
        ::sendto(descriptor, bytes.data(), bytes.size(), 0,
                 reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        ::close(descriptor);
        break;
    }
    case invariant::Drain:
        m_check.recordDrain(m_deployment.upstreamsOf(0).front(), m_deployment.clock().now());
        break;
    case invariant::Config:
        m_check.recordConfig(m_deployment.config().version + 1000);
        break;
    case invariant::Recovery:
        m_deployment.disableRouters();
        break;
    case invariant::Stop:
        instances().front().program->signal(SIGSTOP);
        m_check.recordStop(0);
        instances().front().program->signal(SIGTERM);
        break;
    }
}

} // namespace chicoryhead::soak
