/**
 * @file random_scenario.cpp
 * Random interleavings of planned changes and faults.
 */

#include "random_scenario.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace chicoryhead::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t maxFlowCount = 150;
constexpr std::size_t minInstances = 6;
constexpr std::size_t maxInstances = 9;
constexpr std::uint16_t domainCount = 3;
/// Two homes hold a record; the death of the second before the records were copied loses it.
constexpr auto deathInterval = seconds(15);
constexpr double maxControlBytesPerSecond = 2048;

deployment_settings settingsOf(std::uint64_t seed, scenario_class kind)
{
    std::mt19937_64 random(seed * 7919);
    deployment_settings settings;
    settings.seed = seed;
    settings.domains = domainCount;
    settings.instances =
        static_cast<std::uint32_t>(minInstances + random() % (maxInstances - minInstances + 1));
    settings.maxTransmissions = 25;
    settings.hidesFlows = kind == scenario_class::Deflect;
    settings.peerLossShare = random() % 2 == 0 ? 0.01 : 0;
    return settings;
}

/** One run. */
class scenario
{
public:
    scenario(std::uint64_t seed, scenario_class kind, std::optional<std::uint64_t> tracedFlow)
        : m_seed(seed), m_kind(kind), m_random(seed * 104'729), m_fleet(settingsOf(seed, kind))
    {
        if (tracedFlow)
            m_fleet.traceFlow(*tracedFlow);
    }

    scenario_result run()
    {
        m_fleet.createService("desk", 443, 6);
        m_fleet.createService("proofs", 444, 3);
        openFlows(60);
        m_fleet.run(seconds(5));
        const monotonic_time end = m_fleet.clock.now() + milliseconds(between(60'000, 120'000));
        if (m_kind == scenario_class::Limits)
            cutForMinutes();
        while (m_fleet.clock.now() < end) {
            m_fleet.run(milliseconds(between(200, 4000)));
            act();
        }
        finish();
        return check();
    }

private:
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(high - low));
    }

    std::string randomService() { return m_random() % 3 == 0 ? "proofs" : "desk"; }

    /** An upstream in service, or an empty name. */
    std::string randomUpstream(const std::string &service, std::size_t least)
    {
        const auto active = m_fleet.activeUpstreams(service);
        return active.size() < least ? "" : active[m_random() % active.size()];
    }

    void openFlows(std::uint32_t count)
    {
        count = std::min(count, maxFlowCount - m_flowCount);
        m_flowCount += count;
        const std::uint32_t proofs = count / 3;
        m_fleet.openFlows("desk", count - proofs, seconds(3));
        m_fleet.openFlows("proofs", proofs, seconds(3));
    }

    /** Instances that run, are ready and are not paused. */
    std::vector<std::uint32_t> ableInstances() const
    {
        std::vector<std::uint32_t> able;
        for (const std::uint32_t id : m_fleet.instanceIds()) {
            const bool isReady = m_fleet.board(id).self.state == member_state::Ready;
            if (isReady && !m_paused.contains(id))
                able.push_back(id);
        }
        return able;
    }

    std::uint32_t randomInstance()
    {
        const auto able = ableInstances();
        return able.size() <= minInstances - 1 ? 0 : able[m_random() % able.size()];
    }

    void drain()
    {
        const std::string service = randomService();
        const std::string upstream = randomUpstream(service, 2);
        if (!upstream.empty())
            m_fleet.markLeaving(service, upstream);
    }

    void addUpstream()
    {
        if (m_addedCount < 4)
            m_fleet.addUpstream(randomService(), "a" + std::to_string(++m_addedCount));
    }

    void setWeight()
    {
        const std::string service = randomService();
        const std::string upstream = randomUpstream(service, 1);
        if (!upstream.empty())
            m_fleet.setWeight(service, upstream, static_cast<std::uint16_t>(between(20, 400)));
    }

    void kill()
    {
        if (m_fleet.clock.now() - m_killedAt < deathInterval)
            return;
        const std::uint32_t id = randomInstance();
        if (id == 0)
            return;
        m_killedAt = m_fleet.clock.now();
        m_fleet.kill(id);
    }

    void leave()
    {
        if (const std::uint32_t id = randomInstance(); id != 0)
            m_fleet.leave(id);
    }

    void join()
    {
        if (m_fleet.instanceIds().size() < maxInstances)
            m_fleet.start(static_cast<std::uint16_t>(between(1, domainCount + 1)));
    }

    void pause()
    {
        const std::uint32_t id = randomInstance();
        if (id == 0 || !m_paused.empty())
            return;
        m_hadSilence = true;
        m_fleet.pause(id);
        m_paused.insert(id);
        m_fleet.clock.schedule(milliseconds(between(200, 8000)), [this, id] { resume(id); });
    }

    void resume(std::uint32_t id)
    {
        if (m_paused.erase(id) > 0)
            m_fleet.resume(id);
    }

    void cut(monotonic_time duration)
    {
        if (m_isCut)
            return;
        m_isCut = true;
        m_hadSilence = true;
        // A patch that is submitted just before the cut is in force on one side only.
        const auto order = between(0, 3);
        if (order == 0) {
            drain();
            m_fleet.run(milliseconds(between(1, 400)));
        }
        m_fleet.cutDomain(static_cast<std::uint16_t>(between(1, domainCount + 1)));
        if (order == 1)
            drain();
        m_fleet.clock.schedule(duration, [this] { heal(); });
    }

    void cutForMinutes()
    {
        cut(seconds(between(60, 110)));
        drain();
        openFlows(20);
    }

    void heal()
    {
        if (std::exchange(m_isCut, false))
            m_fleet.cutDomain(0);
    }

    void stopStore()
    {
        m_fleet.setStoreReachable(false);
        m_fleet.clock.schedule(milliseconds(between(1000, 30'000)),
                               [this] { m_fleet.setStoreReachable(true); });
    }

    void act()
    {
        const auto choice = between(0, 24);
        if (choice < 6)
            openFlows(static_cast<std::uint32_t>(between(2, 12)));
        else if (choice < 8)
            m_fleet.closeFlows(0.1, seconds(3));
        else if (choice < 10)
            drain();
        else if (choice < 12)
            addUpstream();
        else if (choice < 13)
            setWeight();
        else if (choice < 15)
            kill();
        else if (choice < 17)
            leave();
        else if (choice < 20)
            join();
        else if (choice < 21)
            pause();
        else if (choice < 22)
            cut(milliseconds(between(500, 20'000)));
        else if (choice < 23)
            stopStore();
        else
            m_fleet.store.lostAnswers = m_random() % 2 == 0 ? 30 : 0;
    }

    void finish()
    {
        heal();
        for (const std::uint32_t id : std::set(m_paused))
            resume(id);
        m_fleet.setStoreReachable(true);
        m_fleet.store.lostAnswers = 0;
        m_fleet.run(seconds(35));
        m_lowestVersion = m_fleet.lowestVersion();
        m_highestVersion = m_fleet.highestVersion();
        m_openCount = m_fleet.openFlowCount();
        m_closedBefore = m_fleet.counts.closed;
        m_fleet.closeFlows(1.0, seconds(2));
        m_fleet.run(seconds(10));
    }

    scenario_result check()
    {
        scenario_result result;
        result.seed = m_seed;
        result.kind = m_kind;
        result.events = m_fleet.events();
        result.counts = m_fleet.counts;
        result.controlBytesPerSecond = m_fleet.controlBytesPerSecond();
        const auto expectEqual = [&](std::string_view what, std::uint64_t actual,
                                     std::uint64_t expected) {
            if (actual != expected)
                result.violations.push_back(std::string(what) + " is " + std::to_string(actual)
                                            + ", expected " + std::to_string(expected));
        };
        const deployment_counts &counts = result.counts;
        // A paused instance or a lost domain may hold up packets of its flows for longer.
        if (!m_hadSilence)
            expectEqual("stalled", counts.stalled, 0);
        expectEqual("broken", counts.broken, 0);
        expectEqual("payloadAtSecondUpstream", counts.payloadAtSecondUpstream, 0);
        expectEqual("wrongService", counts.wrongService, 0);
        expectEqual("newOnLeaving", counts.newOnLeaving, 0);
        expectEqual("versionDecreased", counts.versionDecreased, 0);
        expectEqual("lowest version 35 s after the last fault", m_lowestVersion, m_highestVersion);
        expectEqual("flows closed at the end", counts.closed - m_closedBefore, m_openCount);
        if (result.controlBytesPerSecond >= maxControlBytesPerSecond)
            result.violations.push_back("control bytes per second are "
                                        + std::to_string(result.controlBytesPerSecond));
        return result;
    }

    std::uint64_t m_seed;
    scenario_class m_kind;
    std::mt19937_64 m_random;
    deployment m_fleet;
    std::set<std::uint32_t> m_paused;
    std::uint32_t m_flowCount = 0;
    std::uint32_t m_addedCount = 0;
    monotonic_time m_killedAt {-60'000'000};
    bool m_isCut = false;
    bool m_hadSilence = false;           ///< an instance was paused or a domain cut off
    config_version m_lowestVersion = 0;  ///< before the final close
    config_version m_highestVersion = 0; ///< before the final close
    std::size_t m_openCount = 0;         ///< before the final close
    std::uint64_t m_closedBefore = 0;    ///< before the final close
};

} // namespace

std::string_view toString(scenario_class kind)
{
    switch (kind) {
    case scenario_class::Ordinary:
        return "ordinary";
    case scenario_class::Limits:
        return "limits";
    case scenario_class::Deflect:
        return "deflect";
    }
    return "";
}

std::string scenario_result::command() const
{
    return "build/tests/chicoryhead_seeds --class " + std::string(toString(kind)) + " --first "
        + std::to_string(seed) + " --count 1";
}

std::string scenario_result::report(std::size_t eventCount) const
{
    std::string text = "seed " + std::to_string(seed) + ": " + command() + "\n";
    for (const auto &violation : violations)
        text += "  " + violation + "\n";
    const std::size_t skipped = events.size() - std::min(events.size(), eventCount);
    for (std::size_t index = skipped; index < events.size(); ++index)
        text += "    " + events[index] + "\n";
    return text;
}

scenario_result runScenario(std::uint64_t seed, scenario_class kind,
                            std::optional<std::uint64_t> tracedFlow)
{
    return scenario(seed, kind, tracedFlow).run();
}

} // namespace chicoryhead::test
