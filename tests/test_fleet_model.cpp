/**
 * @file test_fleet_model.cpp
 * Random schedules of faults over the protocol between instances and the store, with invariants
 * that are checked while they last and after a calm.
 */

#include "model_fleet.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr monotonic_time stepTime = 10ms;
/// Within it all instances agree after the last fault: a bound of 3 s for changes, as the smallest
/// deployments have, with the time after a fault that the platform grants besides.
constexpr monotonic_time calmTime = 7s;
/// What an instance may send in calm.
constexpr std::size_t calmBytesPerSecond = 2048;

/** Twelve instances of three domains under random faults. */
class fleet_model
{
public:
    explicit fleet_model(std::uint64_t seed) : m_network(m_clock, seed), m_random(seed)
    {
        constexpr std::array<const char *, 3> domains {"a", "b", "c"};
        for (std::uint32_t i = 0; i < instanceCount; ++i)
            m_own.push_back({"f-" + std::to_string(i), domains[i % 3], {0x0a000001 + i, 7720}});
        store.change(makeConfig(1));
        for (int i = 0; i < 6; ++i)
            store.change(makeUpstream("i-" + std::to_string(i), "desk", domains[i % 3]));
        m_processes.resize(instanceCount);
        m_seen.resize(instanceCount);
        m_restartAt.resize(instanceCount);
        for (std::size_t i = 0; i < instanceCount; ++i)
            start(i);
    }

    /** Lets faults happen for a while. */
    void disturb(monotonic_time duration)
    {
        for (monotonic_time passed {0}; passed < duration; passed += stepTime) {
            if (chance(40))
                drawFault();
            step();
        }
    }

    /** Ends all faults. */
    void heal()
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            m_network.setSide(m_own[i].peerAddress, 0);
            if (!m_processes[i])
                start(i);
            m_processes[i]->client.isReachable = true;
            m_processes[i]->suspendedUntil = monotonic_time {0};
        }
        m_network.lossShare = 0;
        m_network.duplicateShare = 0;
        m_network.delay = 1ms;
    }

    void calm(monotonic_time duration)
    {
        for (monotonic_time passed {0}; passed < duration; passed += stepTime)
            step();
    }

    /** Every other pair of instances stops hearing the rest, as with another message format. */
    void splitReleases()
    {
        for (std::size_t i = 0; i < instanceCount; ++i)
            m_network.setSide(m_own[i].peerAddress, static_cast<int>(i / 2 % 2));
    }

    /** Checks that all have the store's configuration and upstreams. */
    void checkVersions()
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const auto &process = *m_processes[i];
            if (process.state.configVersion() != store.config.version)
                violate("version",
                        m_own[i].name + " has version "
                            + std::to_string(process.state.configVersion()));
            for (const auto &[name, announced] : store.upstreams) {
                const auto *known = process.directory.find(name);
                const auto wanted =
                    announced.isDraining ? upstream_standing::Draining : upstream_standing::Ready;
                if (known == nullptr || known->standing != wanted)
                    violate("agreement", m_own[i].name + " differs about " + name);
            }
        }
    }

    /** Checks what must hold after a calm. */
    void checkAgreement()
    {
        checkVersions();
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const auto &process = *m_processes[i];
            if (process.state.instances().size() != instanceCount)
                violate("agreement", m_own[i].name + " does not know all instances");
        }
        for (const char *domain : {"a", "b", "c"}) {
            const auto readers = countReaders(domain);
            if (readers < 1 || readers > 2)
                violate("readers", std::to_string(readers) + " in domain " + domain);
        }
    }

    /** Checks the bytes of a calm time. */
    void checkBytes(monotonic_time duration)
    {
        std::vector<std::size_t> before;
        for (const auto &process : m_processes)
            before.push_back(process->sentBytes);
        calm(duration);
        const auto seconds = static_cast<std::size_t>(duration / 1s);
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const auto rate = (m_processes[i]->sentBytes - before[i]) / seconds;
            if (rate > calmBytesPerSecond)
                violate("bytes", m_own[i].name + " sends " + std::to_string(rate));
        }
    }

    /** Kills a process and starts it again at once; the checks may be told or not. */
    void restartAsOne(std::size_t i)
    {
        const auto seen = m_seen[i];
        start(i);
        m_seen[i] = seen;
    }

    void setFanout(std::size_t fanout)
    {
        for (const auto &process : m_processes) {
            gossip_settings settings;
            settings.ownFanout = fanout;
            settings.period = 20ms;
            settings.otherInterval = 1;
            process->talk.setSettings(settings);
        }
    }

    /** Takes the store from everybody. */
    void cutStore()
    {
        for (const auto &process : m_processes)
            process->client.isReachable = false;
    }

    /** A neighbour's state that claims to be new and holds an upstream that left. */
    void plantOldState(const std::string &left)
    {
        auto snapshot = m_processes[0]->state.snapshot(0, 0, m_clock.now());
        snapshot.revision += 1;
        snapshot.contentRevision = snapshot.revision;
        snapshot.upstreams.push_back(makeUpstream(left, "desk", "a"));
        m_processes[0]->state.adopt(snapshot, m_clock.now(), m_clock.now());
    }

    std::size_t steps() const { return m_steps; }

    const std::map<std::string, std::string> &violations() const { return m_violations; }

    model_store store;

private:
    static constexpr std::size_t instanceCount = 12;

    /** What the checks saw of one process. */
    struct seen_state
    {
        config_version version = 0;
        store_revision revision = 0;
    };

    bool chance(std::uint64_t oneIn) { return m_random.next() % oneIn == 0; }
    std::size_t anyInstance() { return m_random.next() % instanceCount; }

    void violate(const std::string &invariant, const std::string &what)
    {
        m_violations.try_emplace(invariant, what);
    }

    void start(std::size_t i)
    {
        m_network.attach(m_own[i].peerAddress, {});
        m_processes[i] = std::make_unique<model_process>(
            store, m_network, m_clock, m_own[i],
            std::vector<endpoint> {m_own[0].peerAddress, m_own[1].peerAddress}, m_random.next());
        m_seen[i] = {};
        m_network.attach(m_own[i].peerAddress,
                         [process = m_processes[i].get()](std::span<const std::byte> bytes,
                                                          const endpoint &from) {
                             process->receive(bytes, from);
                         });
    }

    void kill(std::size_t i)
    {
        m_network.attach(m_own[i].peerAddress, {});
        m_processes[i].reset();
        m_restartAt[i] = m_clock.now() + randomTime(m_random, 3s);
    }

    void drawFault()
    {
        const auto i = anyInstance();
        switch (m_random.next() % 12) {
        case 0:
            if (m_processes[i])
                kill(i);
            break;
        case 1:
            if (m_processes[i])
                m_processes[i]->suspendedUntil = m_clock.now() + randomTime(m_random, 5s);
            break;
        case 2:
            if (m_processes[i])
                m_processes[i]->client.isReachable = chance(2);
            break;
        case 3:
            for (const auto &process : m_processes) {
                if (process)
                    process->client.isReachable = chance(3);
            }
            break;
        case 4:
            m_network.setSide(m_own[i].peerAddress, static_cast<int>(m_random.next() % 2));
            break;
        case 5:
            for (std::size_t other = i % 3; other < instanceCount; other += 3)
                m_network.setSide(m_own[other].peerAddress, static_cast<int>(m_random.next() % 3));
            break;
        case 6:
            m_network.lossShare = static_cast<double>(m_random.next() % 4) / 10;
            m_network.duplicateShare = static_cast<double>(m_random.next() % 3) / 10;
            m_network.delay = 1ms + randomTime(m_random, 200ms);
            break;
        case 7:
            store.dropHistory();
            break;
        case 8:
            for (std::size_t other = 0; other < instanceCount; ++other) {
                if (m_processes[other] && chance(2))
                    kill(other);
            }
            break;
        default:
            changeStore();
        }
    }

    void changeStore()
    {
        const auto name = "i-" + std::to_string(m_random.next() % 12);
        const auto known = store.upstreams.find(name);
        if (chance(3)) {
            store.change(makeConfig(store.config.version + 1 + m_random.next() % 3));
        } else if (known == store.upstreams.end()) {
            m_leftAt.erase(name);
            store.change(makeUpstream(name, "desk", "a"));
        } else if (chance(2)) {
            auto leaving = known->second;
            leaving.isDraining = true;
            store.change(leaving);
        } else {
            m_leftAt[name] = store.change(upstream_withdrawal {name});
        }
    }

    void step()
    {
        m_clock.advance(stepTime);
        ++m_steps;
        m_network.deliver();
        for (std::size_t i = 0; i < instanceCount; ++i) {
            if (!m_processes[i] && m_clock.now() >= m_restartAt[i])
                start(i);
            if (m_processes[i])
                m_processes[i]->tick();
            if (m_processes[i])
                check(i);
        }
    }

    void check(std::size_t i)
    {
        const auto &state = m_processes[i]->state;
        if (state.configVersion() < m_seen[i].version || state.revision() < m_seen[i].revision)
            violate("monotonic", m_own[i].name);
        m_seen[i] = {state.configVersion(), state.revision()};
        for (const auto &[name, leftAt] : m_leftAt) {
            const auto *known = m_processes[i]->directory.find(name);
            const bool isUsed = known != nullptr
                && (known->standing == upstream_standing::Ready
                    || known->standing == upstream_standing::Draining);
            if (isUsed && state.revision() >= leftAt)
                violate("left", m_own[i].name + " uses " + name);
        }
    }

    std::size_t countReaders(const std::string &domain) const
    {
        std::size_t readers = 0;
        for (std::size_t i = 0; i < instanceCount; ++i)
            readers += m_own[i].domain == domain && m_processes[i]->talk.isReader() ? 1 : 0;
        return readers;
    }

    stepped_clock m_clock;
    virtual_network m_network;
    seeded_random m_random;
    std::vector<instance_registration> m_own;
    std::vector<std::unique_ptr<model_process>> m_processes; ///< null while killed
    std::vector<seen_state> m_seen;
    std::vector<monotonic_time> m_restartAt;
    std::map<std::string, store_revision> m_leftAt;  ///< upstreams that left, by revision
    std::map<std::string, std::string> m_violations; ///< the first of each invariant
    std::size_t m_steps = 0;

public:
    /** Makes an upstream leave; the checks know since when. */
    void withdraw(const std::string &name)
    {
        m_leftAt[name] = store.change(upstream_withdrawal {name});
    }
};

std::string describe(const fleet_model &model)
{
    std::string text;
    for (const auto &[invariant, what] : model.violations())
        text += invariant + ": " + what + "; ";
    return text;
}

} // namespace

TEST_CASE("Random faults: states never go back and agree after a calm", "[model]")
{
    std::size_t steps = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        fleet_model model(seed);
        model.calm(3s);
        for (int series = 0; series < 2; ++series) {
            model.disturb(20s);
            model.heal();
            model.calm(calmTime);
            model.checkAgreement();
        }
        model.checkBytes(5s);
        INFO("seed " << seed << ": " << describe(model));
        CHECK(model.violations().empty());
        steps += model.steps();
    }
    CHECK(steps > 300'000);
}

TEST_CASE("Half a fleet of another release: both halves agree through the store", "[model]")
{
    // Pattern: messages of another format are refused, so the halves don't hear each other.
    fleet_model model(5);
    model.calm(3s);
    model.splitReleases();
    for (int change = 0; change < 5; ++change) {
        model.store.change(makeConfig(model.store.config.version + 1));
        model.withdraw("i-" + std::to_string(change));
        model.calm(calmTime);
        model.checkVersions();
    }
    INFO(describe(model));
    CHECK(model.violations().empty());
}

TEST_CASE("Each invariant of the model is found broken when it is", "[model]")
{
    fleet_model model(77);
    model.calm(8s);
    REQUIRE(model.violations().empty());
    SECTION("a change that watches don't tell")
    {
        model.store.skipped = model.store.revision + 1;
        model.withdraw("i-3");
        model.calm(3s);
        CHECK(model.violations().contains("left"));
    }
    SECTION("a configuration that watches don't tell")
    {
        model.store.skipped = model.store.revision + 1;
        model.store.change(makeConfig(9));
        model.calm(calmTime);
        model.checkAgreement();
        CHECK(model.violations().contains("version"));
    }
    SECTION("a state that claims to be newer than it is")
    {
        model.withdraw("i-2");
        model.calm(3s);
        model.plantOldState("i-2");
        model.calm(1s);
        CHECK(model.violations().contains("left"));
    }
    SECTION("a process whose state goes back")
    {
        model.store.change(makeConfig(5));
        model.calm(3s);
        model.restartAsOne(4);
        model.calm(20ms);
        CHECK(model.violations().contains("monotonic"));
    }
    SECTION("nobody learns of changes")
    {
        model.cutStore();
        model.calm(1s);
        model.store.change(makeUpstream("i-99", "desk", "a"));
        model.calm(calmTime);
        model.checkAgreement();
        CHECK(model.violations().contains("agreement"));
        CHECK(model.violations().contains("readers"));
    }
    SECTION("too many messages")
    {
        model.setFanout(20);
        model.checkBytes(5s);
        CHECK(model.violations().contains("bytes"));
    }
}
