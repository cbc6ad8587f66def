/**
 * @file test_fleet_model.cpp
 * Random fault schedules for the protocols between instances and the store. Invariants are checked
 * during the faults and after a time without faults.
 */

#include "model_fleet.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr monotonic_time stepTime = 10ms;
/// Time after the last fault within which all instances must agree: the bound of 3 s for changes in
/// the smallest deployments, plus the recovery time that the platform allows after a fault.
constexpr monotonic_time convergenceTime = 7s;
/// Limit of what an instance sends while there are neither changes nor faults.
constexpr std::size_t maxIdleBytesPerSecond = 2048;

/** Twelve instances in three failure domains under random faults. */
class fleet_model
{
public:
    explicit fleet_model(std::uint64_t seed) : m_network(m_clock, seed), m_random(seed)
    {
        constexpr std::array<const char *, 3> domains {"a", "b", "c"};
        for (std::uint32_t i = 0; i < instanceCount; ++i)
            m_registrations.push_back(
                {"f-" + std::to_string(i), domains[i % 3], {0x0a000001 + i, 7720}});
        store.commit(makeConfig(1));
        for (int i = 0; i < 6; ++i)
            store.commit(makeUpstream("i-" + std::to_string(i), "desk", domains[i % 3]));
        m_processes.resize(instanceCount);
        m_observed.resize(instanceCount);
        m_restartAt.resize(instanceCount);
        for (std::size_t i = 0; i < instanceCount; ++i)
            startProcess(i);
    }

    /** Advances the time, with random faults and changes. */
    void injectFaults(monotonic_time duration)
    {
        for (monotonic_time passed {0}; passed < duration; passed += stepTime) {
            if (chance(40))
                injectRandomFault();
            advanceStep();
        }
    }

    /** Ends all faults and restarts stopped processes. */
    void clearFaults()
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            m_network.setPartition(m_registrations[i].peerAddress, 0);
            if (!m_processes[i])
                startProcess(i);
            m_processes[i]->client.isReachable = true;
            m_processes[i]->suspendedUntil = monotonic_time {0};
        }
        m_network.lossShare = 0;
        m_network.duplicateShare = 0;
        m_network.delay = 1ms;
    }

    /** Advances the time without faults. */
    void runFor(monotonic_time duration)
    {
        for (monotonic_time passed {0}; passed < duration; passed += stepTime)
            advanceStep();
    }

    /** Partitions the instances into two halves, as releases with different message formats do. */
    void partitionByRelease()
    {
        for (std::size_t i = 0; i < instanceCount; ++i)
            m_network.setPartition(m_registrations[i].peerAddress, static_cast<int>(i / 2 % 2));
    }

    /** Checks that all instances have the store's configuration and upstreams. */
    void checkStoreContent()
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const auto &process = *m_processes[i];
            if (process.state.configVersion() != store.config.version)
                recordViolation("version",
                                m_registrations[i].name + " has version "
                                    + std::to_string(process.state.configVersion()));
            if (process.state.evacuations().names != store.evacuatedDomains)
                recordViolation("evacuation",
                                m_registrations[i].name
                                    + " differs from the store about the evacuated domains");
            for (const auto &[name, announcement] : store.upstreams) {
                const auto *directoryEntry = process.directory.find(name);
                const auto expected =
                    announcement.isDraining ? lifecycle_state::Draining : lifecycle_state::Ready;
                if (directoryEntry == nullptr || directoryEntry->lifecycle != expected)
                    recordViolation("convergence",
                                    m_registrations[i].name + " differs from the store about "
                                        + name);
            }
        }
    }

    /** Checks the invariants that hold after a time without faults. */
    void checkConvergence()
    {
        checkStoreContent();
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const auto &process = *m_processes[i];
            if (process.state.instances().size() != instanceCount)
                recordViolation("convergence",
                                m_registrations[i].name + " does not know all instances");
        }
        for (const char *domain : {"a", "b", "c"}) {
            const auto readers = countReaders(domain);
            if (readers < 1 || readers > 2)
                recordViolation("readers",
                                std::to_string(readers) + " readers in domain " + domain);
        }
    }

    /** Checks the traffic of each instance without changes and faults. */
    void checkIdleTraffic(monotonic_time duration)
    {
        std::vector<std::size_t> before;
        for (const auto &process : m_processes)
            before.push_back(process->sentBytes);
        runFor(duration);
        const auto seconds = static_cast<std::size_t>(duration / 1s);
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const auto rate = (m_processes[i]->sentBytes - before[i]) / seconds;
            if (rate > maxIdleBytesPerSecond)
                recordViolation("traffic",
                                m_registrations[i].name + " sends " + std::to_string(rate)
                                    + " bytes/s");
        }
    }

    /** Restarts a process while the checks still compare it with its former state. */
    void restartUnderSameChecks(std::size_t i)
    {
        const auto observed = m_observed[i];
        startProcess(i);
        m_observed[i] = observed;
    }

    void setGossipFanout(std::size_t fanout)
    {
        for (const auto &process : m_processes) {
            gossip_settings settings;
            settings.localFanout = fanout;
            settings.roundInterval = 20ms;
            settings.roundsPerRemoteDigest = 1;
            process->gossip.setSettings(settings);
        }
    }

    /** Makes the store unreachable for all instances. */
    void disconnectStore()
    {
        for (const auto &process : m_processes)
            process->client.isReachable = false;
    }

    /** Injects a state with a newer revision that still holds a withdrawn upstream. */
    void injectStaleState(const std::string &withdrawn)
    {
        auto snapshot = m_processes[0]->state.snapshot(0, 0, m_clock.now());
        snapshot.revision += 1;
        snapshot.contentRevision = snapshot.revision;
        snapshot.upstreams.push_back(makeUpstream(withdrawn, "desk", "a"));
        m_processes[0]->state.adopt(snapshot, m_clock.now(), m_clock.now());
    }

    std::size_t stepCount() const { return m_stepCount; }

    const std::map<std::string, std::string> &violations() const { return m_violations; }

    model_store store;

private:
    static constexpr std::size_t instanceCount = 12;

    /** Last state of one process that the checks compare with. */
    struct observed_state
    {
        config_version version = 0;
        store_revision revision = 0;
    };

    bool chance(std::uint64_t oneIn) { return m_random.next() % oneIn == 0; }
    std::size_t randomInstance() { return m_random.next() % instanceCount; }

    void recordViolation(const std::string &invariant, const std::string &details)
    {
        m_violations.try_emplace(invariant, details);
    }

    void startProcess(std::size_t i)
    {
        m_network.attach(m_registrations[i].peerAddress, {});
        m_processes[i] = std::make_unique<model_process>(
            store, m_network, m_clock, m_registrations[i],
            std::vector<endpoint> {m_registrations[0].peerAddress, m_registrations[1].peerAddress},
            m_random.next());
        m_observed[i] = {};
        m_network.attach(m_registrations[i].peerAddress,
                         [process = m_processes[i].get()](std::span<const std::byte> bytes,
                                                          const endpoint &from) {
                             process->receive(bytes, from);
                         });
    }

    void killProcess(std::size_t i)
    {
        m_network.attach(m_registrations[i].peerAddress, {});
        m_processes[i].reset();
        m_restartAt[i] = m_clock.now() + randomTime(m_random, 3s);
    }

    void injectRandomFault()
    {
        const auto i = randomInstance();
        switch (m_random.next() % 12) {
        case 0:
            if (m_processes[i])
                killProcess(i);
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
            m_network.setPartition(m_registrations[i].peerAddress,
                                   static_cast<int>(m_random.next() % 2));
            break;
        case 5:
            for (std::size_t other = i % 3; other < instanceCount; other += 3)
                m_network.setPartition(m_registrations[other].peerAddress,
                                       static_cast<int>(m_random.next() % 3));
            break;
        case 6:
            m_network.lossShare = static_cast<double>(m_random.next() % 4) / 10;
            m_network.duplicateShare = static_cast<double>(m_random.next() % 3) / 10;
            m_network.delay = 1ms + randomTime(m_random, 200ms);
            break;
        case 7:
            store.compactHistory();
            break;
        case 8:
            for (std::size_t other = 0; other < instanceCount; ++other) {
                if (m_processes[other] && chance(2))
                    killProcess(other);
            }
            break;
        default:
            makeRandomStoreChange();
        }
    }

    void makeRandomStoreChange()
    {
        const auto name = "i-" + std::to_string(m_random.next() % 12);
        const auto storeEntry = store.upstreams.find(name);
        if (chance(4)) {
            const std::string domain(1, static_cast<char>('a' + m_random.next() % 3));
            store.commit(domain_evacuation {domain, store.evacuatedDomains.contains(domain)});
        } else if (chance(3)) {
            store.commit(makeConfig(store.config.version + 1 + m_random.next() % 3));
        } else if (storeEntry == store.upstreams.end()) {
            m_withdrawnAt.erase(name);
            store.commit(makeUpstream(name, "desk", "a"));
        } else if (chance(2)) {
            auto draining = storeEntry->second;
            draining.isDraining = true;
            store.commit(draining);
        } else {
            m_withdrawnAt[name] = store.commit(upstream_withdrawal {name});
        }
    }

    void advanceStep()
    {
        m_clock.advance(stepTime);
        ++m_stepCount;
        m_network.deliver();
        for (std::size_t i = 0; i < instanceCount; ++i) {
            if (!m_processes[i] && m_clock.now() >= m_restartAt[i])
                startProcess(i);
            if (m_processes[i])
                m_processes[i]->tick();
            if (m_processes[i])
                checkProcess(i);
        }
    }

    void checkProcess(std::size_t i)
    {
        const auto &state = m_processes[i]->state;
        if (state.configVersion() < m_observed[i].version
            || state.revision() < m_observed[i].revision)
            recordViolation("monotonic", m_registrations[i].name);
        m_observed[i] = {state.configVersion(), state.revision()};
        for (const auto &[name, withdrawnAt] : m_withdrawnAt) {
            const auto *directoryEntry = m_processes[i]->directory.find(name);
            const bool isUsed = directoryEntry != nullptr
                && (directoryEntry->lifecycle == lifecycle_state::Ready
                    || directoryEntry->lifecycle == lifecycle_state::Draining);
            if (isUsed && state.revision() >= withdrawnAt)
                recordViolation("withdrawn",
                                m_registrations[i].name + " uses withdrawn upstream " + name);
        }
    }

    std::size_t countReaders(const std::string &domain) const
    {
        std::size_t readers = 0;
        for (std::size_t i = 0; i < instanceCount; ++i)
            readers +=
                m_registrations[i].domain == domain && m_processes[i]->gossip.isReader() ? 1 : 0;
        return readers;
    }

    stepped_clock m_clock;
    virtual_network m_network;
    seeded_random m_random;
    std::vector<instance_registration> m_registrations;
    std::vector<std::unique_ptr<model_process>> m_processes; ///< null while killed
    std::vector<observed_state> m_observed;
    std::vector<monotonic_time> m_restartAt;
    std::map<std::string, store_revision> m_withdrawnAt; ///< by upstream
    std::map<std::string, std::string> m_violations;     ///< first violation by invariant
    std::size_t m_stepCount = 0;

public:
    /** Withdraws an upstream and records the revision for the checks. */
    void withdraw(const std::string &name)
    {
        m_withdrawnAt[name] = store.commit(upstream_withdrawal {name});
    }
};

std::string describe(const fleet_model &model)
{
    std::string text;
    for (const auto &[invariant, details] : model.violations())
        text += invariant + ": " + details + "; ";
    return text;
}

} // namespace

TEST_CASE("Under random faults states never go back, and they agree after the faults end",
          "[model]")
{
    std::size_t stepCount = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        fleet_model model(seed);
        model.runFor(3s);
        for (int phase = 0; phase < 2; ++phase) {
            model.injectFaults(20s);
            model.clearFaults();
            model.runFor(convergenceTime);
            model.checkConvergence();
        }
        model.checkIdleTraffic(5s);
        INFO("seed " << seed << ": " << describe(model));
        CHECK(model.violations().empty());
        stepCount += model.stepCount();
    }
    CHECK(stepCount > 300'000);
}

TEST_CASE("Halves of a fleet with different message formats agree through the store", "[model]")
{
    // Messages of another format are refused, so the halves cannot gossip with each other.
    fleet_model model(5);
    model.runFor(3s);
    model.partitionByRelease();
    for (int change = 0; change < 5; ++change) {
        model.store.commit(makeConfig(model.store.config.version + 1));
        model.withdraw("i-" + std::to_string(change));
        model.runFor(convergenceTime);
        model.checkStoreContent();
    }
    INFO(describe(model));
    CHECK(model.violations().empty());
}

TEST_CASE("The model detects a violation of each invariant", "[model]")
{
    fleet_model model(77);
    model.runFor(8s);
    REQUIRE(model.violations().empty());
    SECTION("a withdrawal that watches omit")
    {
        model.store.hiddenRevision = model.store.revision + 1;
        model.withdraw("i-3");
        model.runFor(3s);
        CHECK(model.violations().contains("withdrawn"));
    }
    SECTION("a configuration that watches omit")
    {
        model.store.hiddenRevision = model.store.revision + 1;
        model.store.commit(makeConfig(9));
        model.runFor(convergenceTime);
        model.checkConvergence();
        CHECK(model.violations().contains("version"));
    }
    SECTION("a stale state with a newer revision")
    {
        model.withdraw("i-2");
        model.runFor(3s);
        model.injectStaleState("i-2");
        model.runFor(1s);
        CHECK(model.violations().contains("withdrawn"));
    }
    SECTION("a process whose state goes back")
    {
        model.store.commit(makeConfig(5));
        model.runFor(3s);
        model.restartUnderSameChecks(4);
        model.runFor(20ms);
        CHECK(model.violations().contains("monotonic"));
    }
    SECTION("a store that no instance can reach")
    {
        model.disconnectStore();
        model.runFor(1s);
        model.store.commit(makeUpstream("i-99", "desk", "a"));
        model.runFor(convergenceTime);
        model.checkConvergence();
        CHECK(model.violations().contains("convergence"));
        CHECK(model.violations().contains("readers"));
    }
    SECTION("too much gossip traffic")
    {
        model.setGossipFanout(20);
        model.checkIdleTraffic(5s);
        CHECK(model.violations().contains("traffic"));
    }
}
