/**
 * @file fault_series.cpp
 * The faults of a soak, and how each ends.
 */

#include "fault_series.h"

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

/// Instances become ready before the first fault.
constexpr monotonic_time firstFault = 4s;
/// An announcement lapses after three heartbeats of 1.2 s, as on the platform.
constexpr monotonic_time lapseTime = 3600ms;
/// Faults last up to 7 s and instances count as undisturbed 4 s after them; the last faults before
/// a pause are mostly shorter.
constexpr monotonic_time plannedWorkAfter = 9s;
/// The bounds of planned work, and some looks at them.
constexpr monotonic_time plannedWorkTime = 5s;
/// Upstreams of a service that stay, so that callers are served.
constexpr std::size_t fewestUpstreams = 3;

} // namespace

fault_series::fault_series(standin::deployment_standin &deployment, invariant_check &check,
                           std::uint64_t seed, std::ostream &log)
    : m_deployment(deployment)
    , m_check(check)
    , m_series(seed)
    , m_random(seed)
    , m_log(log)
    , m_startedAt(deployment.clock().now())
    , m_nextFault(m_startedAt + firstFault)
{
    for (std::size_t i = 0; i < m_instances().size(); ++i)
        m_restarts.emplace_back(m_series.next());
}

monotonic_time fault_series::drawTime(unsigned fromMs, unsigned toMs)
{
    return std::chrono::milliseconds(fromMs + draw(toMs - fromMs));
}

void fault_series::later(monotonic_time after, std::function<void()> what)
{
    m_later.emplace(m_deployment.clock().now() + after, std::move(what));
}

void fault_series::note(const std::string &text)
{
    m_log << (m_deployment.clock().now() - m_startedAt) / 1ms << " ms: " << text << std::endl;
}

void fault_series::tick()
{
    constexpr std::array<action, 11> actions {
        &fault_series::pauseInstance,  &fault_series::killInstance,
        &fault_series::stopInstance,   &fault_series::disturbStoreConnection,
        &fault_series::disturbStore,   &fault_series::dropHistory,
        &fault_series::reloadSettings, &fault_series::drainUpstream,
        &fault_series::crashUpstream,  &fault_series::changeConfig,
        &fault_series::killAll};
    const auto now = m_deployment.clock().now();
    while (!m_later.empty() && m_later.begin()->first <= now) {
        const auto what = m_later.extract(m_later.begin()).mapped();
        what();
    }
    startEnded();
    if (m_hasEnded || now < m_nextFault)
        return;
    m_random = standin::seeded_random(m_series.next());
    // Most faults overlap. After some, planned work comes when the instances were undisturbed for
    // long enough that its bounds hold, and the next fault when those were looked at.
    if (draw(4) == 0) {
        later(plannedWorkAfter, [this] { doPlannedWork(); });
        m_nextFault += plannedWorkAfter + plannedWorkTime;
    } else {
        m_nextFault += draw(3) == 0 ? drawTime(1200, 5000) : drawTime(20, 1200);
    }
    (this->*actions.at(draw(actions.size())))();
}

void fault_series::end()
{
    m_hasEnded = true;
    for (auto &[at, what] : std::exchange(m_later, {}))
        what();
    for (auto &[index, at] : m_restartAt)
        at = m_deployment.clock().now();
    startEnded();
    later(plannedWorkAfter, [this] { doPlannedWork(); });
}

void fault_series::doPlannedWork()
{
    changeConfig();
    drainUpstream();
}

void fault_series::startEnded()
{
    const auto now = m_deployment.clock().now();
    for (std::size_t i = 0; i < m_instances().size(); ++i) {
        if (m_check.takeEnd(i))
            m_restartAt[i] = now + (m_hasEnded ? 0ms : drawRestart(i));
        const auto due = m_restartAt.find(i);
        if (due == m_restartAt.end() || due->second > now)
            continue;
        m_restartAt.erase(due);
        m_check.noteDisturbed(i);
        m_instances()[i].isPaused = false;
        m_instances()[i].program->start();
    }
}

monotonic_time fault_series::drawRestart(std::size_t index)
{
    constexpr std::uint64_t shortest = 50;
    constexpr std::uint64_t longest = 2500;
    return std::chrono::milliseconds(shortest + m_restarts[index].next() % (longest - shortest));
}

void fault_series::pauseInstance()
{
    const auto index = drawInstance();
    auto &instance = m_instances()[index];
    if (instance.isPaused || !instance.program->isRunning())
        return;
    note("pause " + instance.program->settings().name);
    m_check.noteDisturbed(index);
    instance.isPaused = true;
    instance.healthySince = monotonic_time {0};
    instance.program->signal(SIGSTOP);
    later(drawTime(200, 6000), [this, index] { resume(index); });
}

void fault_series::resume(std::size_t index)
{
    note("resume " + m_instances()[index].program->settings().name);
    m_check.noteResumed(index);
    m_instances()[index].isPaused = false;
    m_instances()[index].program->signal(SIGCONT);
}

void fault_series::killInstance()
{
    kill(drawInstance());
}

void fault_series::kill(std::size_t index)
{
    auto &instance = m_instances()[index];
    if (!instance.program->isRunning())
        return;
    note("kill " + instance.program->settings().name);
    m_check.noteKill(index);
    instance.healthySince = monotonic_time {0};
    instance.program->signal(SIGKILL);
}

void fault_series::killAll()
{
    for (std::size_t i = 0; i < m_instances().size(); ++i)
        kill(i);
}

void fault_series::stopInstance()
{
    const auto index = drawInstance();
    auto &instance = m_instances()[index];
    // A paused process can't react; its grace would count from the end of the pause.
    if (!instance.program->isRunning() || instance.isPaused)
        return;
    note("stop " + instance.program->settings().name);
    m_check.noteStop(index);
    instance.healthySince = monotonic_time {0};
    instance.program->signal(SIGTERM);
}

void fault_series::disturbStoreConnection()
{
    const auto mode = static_cast<proxy_mode>(1 + draw(standin::proxyModeCount - 1));
    const auto count = 1 + draw(static_cast<unsigned>(m_instances().size()));
    const auto duration = drawTime(300, 6000);
    for (unsigned i = 0; i < count; ++i) {
        const auto index = drawInstance();
        auto &instance = m_instances()[index];
        note("connection of " + instance.program->settings().name
             + " to the store: " + std::string(standin::toString(mode)));
        m_check.noteDisturbed(index);
        instance.storeProxy->setMode(mode);
        later(duration, [this, index] {
            m_check.noteDisturbed(index);
            m_instances()[index].storeProxy->setMode(proxy_mode::Pass);
            noteStoreState();
        });
    }
    noteStoreState();
}

void fault_series::disturbStore()
{
    constexpr std::array<store_behaviour, 4> behaviours {
        store_behaviour::Busy, store_behaviour::Throttled, store_behaviour::Silent,
        store_behaviour::Garbage};
    if (m_isStoreDisturbed)
        return;
    const auto behaviour = behaviours.at(draw(behaviours.size()));
    note("store: " + std::string(standin::toString(behaviour)));
    m_isStoreDisturbed = true;
    m_deployment.store().setBehaviour(behaviour);
    noteStoreState();
    later(drawTime(300, 7000), [this] {
        note("store serves again");
        m_isStoreDisturbed = false;
        m_deployment.store().setBehaviour(store_behaviour::Serving);
        noteStoreState();
    });
}

/// The store counts as stable while it serves and some instance reaches it.
void fault_series::noteStoreState()
{
    const bool isReached =
        std::any_of(m_instances().begin(), m_instances().end(), [](const auto &instance) {
            return instance.storeProxy->mode() == proxy_mode::Pass;
        });
    m_check.noteStore(isReached && !m_isStoreDisturbed);
}

void fault_series::dropHistory()
{
    note("store drops its history");
    m_deployment.store().dropHistory();
}

void fault_series::reloadSettings()
{
    const auto &program = *m_instances()[drawInstance()].program;
    note("reload " + program.settings().name);
    program.signal(SIGHUP);
}

std::string fault_series::drawUpstream(unsigned service)
{
    const auto names = m_deployment.upstreamsOf(service);
    if (names.size() <= fewestUpstreams)
        return {};
    return names[draw(static_cast<unsigned>(names.size()))];
}

void fault_series::drainUpstream()
{
    const unsigned service = draw(m_deployment.plan().services);
    const std::string name = drawUpstream(service);
    if (name.empty())
        return;
    note("upstream " + name + " leaves");
    m_deployment.drainUpstream(name);
    m_check.noteDrain(name, m_deployment.clock().now());
    later(drawTime(4500, 12000), [this, name, service, domain = drawDomain()] {
        m_deployment.endUpstream(name);
        m_deployment.withdrawUpstream(name);
        note("upstream " + m_deployment.addUpstream(service, domain) + " replaces " + name);
    });
}

void fault_series::crashUpstream()
{
    const unsigned service = draw(m_deployment.plan().services);
    const std::string name = drawUpstream(service);
    if (name.empty())
        return;
    note("upstream " + name + " crashes");
    m_deployment.endUpstream(name);
    later(lapseTime, [this, name] { m_deployment.withdrawUpstream(name); });
    later(drawTime(500, 4000), [this, service, domain = drawDomain()] {
        note("upstream " + m_deployment.addUpstream(service, domain) + " is added");
    });
}

void fault_series::changeConfig()
{
    const auto changes = draw(4) == 0 ? 5U : 1U;
    for (unsigned i = 0; i < changes; ++i) {
        const auto version = m_deployment.putConfig();
        note("configuration " + std::to_string(version));
        m_check.noteConfig(version);
    }
}

void fault_series::breakInvariant(invariant broken)
{
    note("break invariant " + std::string(toString(broken)));
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
        m_check.noteDrain(m_deployment.upstreamsOf(0).front(), m_deployment.clock().now());
        break;
    case invariant::Config:
        m_check.noteConfig(m_deployment.config().version + 1000);
        break;
    case invariant::Recovery:
        m_deployment.disableRouters();
        break;
    case invariant::Stop:
        m_instances().front().program->signal(SIGSTOP);
        m_check.noteStop(0);
        m_instances().front().program->signal(SIGTERM);
        break;
    }
}

} // namespace chicoryhead::soak
