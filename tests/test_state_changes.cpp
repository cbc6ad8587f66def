/**
 * @file test_state_changes.cpp
 * Tests of snapshots and deltas exchanged between instances, compared with a store in memory.
 */

#include "entry_support.h"
#include "sync/fleet_state_base.h"
#include "sync/state_codec_func.h"

#include <catch2/catch.hpp>

#include <fcntl.h>

#include <map>
#include <memory>
#include <random>
#include <set>

using namespace chicoryhead;
using namespace chicoryhead::test;
using namespace std::chrono_literals;

namespace {

/** Entries by name: the state of an upstream, or the domain of an instance. */
using fleet_content = std::map<std::string, std::string>;

/** Reference store that keeps its content at each revision. */
class in_memory_store
{
public:
    in_memory_store() { m_contents[m_revision] = {}; }

    void changeUpstream(const std::string &name, bool isDraining)
    {
        auto announced = makeUpstream(name, "desk", "a");
        announced.isDraining = isDraining;
        record(announced, name, isDraining ? "draining" : "ready");
    }

    void removeUpstream(const std::string &name) { record(upstream_withdrawal {name}, name, ""); }

    void changeInstance(const std::string &name, const std::string &domain)
    {
        record(instance_registration {name, domain, {1, 1}}, name, domain);
    }

    void removeInstance(const std::string &name)
    {
        record(instance_deregistration {name}, name, "");
    }

    /** Changes after a revision of the current epoch, as a watch returns them. */
    fleet_changes after(store_revision revision) const
    {
        fleet_changes changes {m_revision, {}};
        for (auto entry = m_changes.upper_bound(revision); entry != m_changes.end(); ++entry)
            changes.changes.push_back(entry->second);
        return changes;
    }

    /** Returns to a number of the current epoch; the numbers after it are given out again. */
    void restore(std::uint64_t number)
    {
        const store_revision restored {number, m_revision.epoch};
        const store_revision next {number, m_revision.epoch + 1};
        m_contents[next] = m_contents.at(restored);
        const auto kept = m_changes.upper_bound(restored);
        std::map<store_revision, fleet_change> changes;
        std::map<store_revision, std::string> names;
        for (auto entry = m_changes.begin(); entry != kept; ++entry) {
            const store_revision renamed {entry->first.number, next.epoch};
            changes.emplace(renamed, entry->second);
            names.emplace(renamed, m_names.at(entry->first));
            m_contents[renamed] = m_contents.at(entry->first);
        }
        m_changes = std::move(changes);
        m_names = std::move(names);
        m_contents[{100, next.epoch}] = {};
        m_revision = next;
    }

    /** The full state, as a load returns it. */
    fleet_changes fullState() const
    {
        std::map<std::string, fleet_change> newest;
        for (const auto &[revision, change] : m_changes)
            newest[m_names.at(revision)] = change;
        fleet_changes changes {m_revision, {}};
        for (const auto &[name, change] : newest) {
            if (contentAt(m_revision).contains(name))
                changes.changes.push_back(change);
        }
        return changes;
    }

    const fleet_content &contentAt(store_revision revision) const
    {
        return m_contents.at(revision);
    }

    store_revision revision() const { return m_revision; }

private:
    void record(const fleet_change &change, const std::string &name, const std::string &value)
    {
        auto content = m_contents.at(m_revision);
        if (value.empty())
            content.erase(name);
        else
            content[name] = value;
        ++m_revision.number;
        m_contents[m_revision] = std::move(content);
        m_changes.emplace(m_revision, change);
        m_names.emplace(m_revision, name);
    }

    store_revision m_revision {100, 1};
    std::map<store_revision, fleet_change> m_changes;
    std::map<store_revision, std::string> m_names;
    std::map<store_revision, fleet_content> m_contents;
};

/** The state of one instance. */
struct replica
{
    fleet_content content() const
    {
        fleet_content content;
        for (const upstream_record *record : directory.records()) {
            if (record->lifecycle == lifecycle_state::Ready)
                content[record->announced.name] = "ready";
            else if (record->lifecycle == lifecycle_state::Draining)
                content[record->announced.name] = "draining";
        }
        for (const auto &[name, registration] : state.instances())
            content[name] = registration.domain;
        return content;
    }

    void load(const in_memory_store &store) { state.replace(store.fullState(), false, now()); }

    void watch(const in_memory_store &store)
    {
        state.apply(store.after(state.revision()), false, now());
    }

    /** Fetches the state or a delta from another instance; returns the number of encoded bytes. */
    std::size_t fetch(const replica &sender)
    {
        const auto bytes = encodeState(
            sender.state.snapshot(state.configVersion(), state.revision(), sender.now()));
        const auto decoded = decodeState(bytes);
        REQUIRE(decoded);
        state.adopt(decoded.value(), now(), now());
        return bytes.size();
    }

    monotonic_time now() const { return clock.now(); }

    stepped_clock clock;
    event_log log {::open("/dev/null", O_WRONLY), clock};
    routing_table routes;
    upstream_directory directory;
    domain_first_placement placement {directory, {"a", 3, 1}};
    fleet_state state {routes, directory, placement, log};
};

void changeSomething(in_memory_store &store, std::mt19937 &random)
{
    const std::string number = std::to_string(random() % 12);
    switch (random() % 6) {
    case 0:
        store.removeUpstream("i-" + number);
        break;
    case 1:
        store.removeInstance("f-" + number);
        break;
    case 2:
        store.changeInstance("f-" + number, random() % 2 == 0 ? "a" : "b");
        break;
    default:
        store.changeUpstream("i-" + number, random() % 2 == 0);
        break;
    }
}

/// A snapshot in flight, with its receiver.
using pending_response = std::pair<replica *, state_snapshot>;

/// Delivers a random snapshot in flight; it may be delivered again later.
void deliver(std::vector<pending_response> &inFlight, std::mt19937 &random)
{
    const auto chosen = inFlight.begin() + static_cast<std::ptrdiff_t>(random() % inFlight.size());
    chosen->first->state.adopt(chosen->second, chosen->first->now(), chosen->first->now());
    if (random() % 3 != 0)
        inFlight.erase(chosen);
}

} // namespace

TEST_CASE("An instance's state equals the store's content at its revision, whatever its source",
          "[state]")
{
    // Guards against deltas that lack a change: an instance would keep an upstream that is gone
    // until the next load.
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        in_memory_store store;
        std::vector<std::unique_ptr<replica>> instances;
        for (int i = 0; i < 5; ++i)
            instances.push_back(std::make_unique<replica>());
        std::vector<pending_response> inFlight;
        for (int step = 0; step < 400; ++step) {
            const unsigned changes = random() % 3;
            for (unsigned i = 0; i < changes; ++i)
                changeSomething(store, random);
            if (random() % 60 == 0)
                store.restore(std::max<std::uint64_t>(store.revision().number - random() % 8, 100));
            replica &receiver = *instances[random() % instances.size()];
            const replica &sender = *instances[random() % instances.size()];
            const auto before = receiver.state.revision();
            const auto action = random() % 20;
            const bool isSameEpoch = sender.state.revision().epoch == before.epoch;
            const bool isOldEpoch = before.epoch < store.revision().epoch;
            if (!before || action == 0 || (isOldEpoch && action < 6))
                receiver.load(store);
            else if (action < 6)
                receiver.watch(store);
            else if (action < 9 && isSameEpoch && sender.state.contentRevision() <= before
                     && sender.state.revision() > before)
                receiver.state.confirm(sender.state.revision(), receiver.now()); // as a digest does
            else if (action < 13 && sender.state.revision())
                inFlight.emplace_back(
                    &receiver,
                    sender.state.snapshot(0, random() % 4 == 0 ? 0 : before, sender.now()));
            else if (action < 16 && !inFlight.empty())
                deliver(inFlight, random);
            else if (&receiver != &sender && sender.state.revision())
                receiver.fetch(sender);
            INFO("seed " << seed << " step " << step << " revision "
                         << toString(receiver.state.revision()));
            REQUIRE(receiver.state.revision() >= before);
            for (const auto &instance : instances) {
                if (instance->state.revision())
                    REQUIRE(instance->content() == store.contentAt(instance->state.revision()));
            }
        }
    }
}

TEST_CASE("The size of a delta depends on the changes and not on the size of the fleet", "[state]")
{
    // Guards against transfers that grow with the fleet: with 59,000 upstreams one took 4.7 MB.
    const auto bytesOfChange = [](int upstreams) {
        in_memory_store store;
        replica reader;
        replica receiver;
        for (int i = 0; i < upstreams; ++i)
            store.changeUpstream("i-" + std::to_string(i), false);
        reader.load(store);
        receiver.fetch(reader);
        store.changeUpstream("i-7", true);
        store.removeUpstream("i-8");
        reader.watch(store);
        const std::size_t bytes = receiver.fetch(reader);
        CHECK(receiver.content() == store.contentAt(store.revision()));
        return bytes;
    };
    CHECK(bytesOfChange(2000) == bytesOfChange(10));
}

TEST_CASE("A receiver with a revision older than the history gets the full state", "[state]")
{
    // Guards against an incomplete delta, because the history does not reach back to its base.
    in_memory_store store;
    replica reader;
    replica outdated;
    store.changeUpstream("i-1", false);
    outdated.load(store);
    for (int i = 0; i < 10000; ++i) {
        store.changeUpstream("i-" + std::to_string(2 + i % 5), i % 2 == 0);
        if (i == 0)
            reader.load(store);
        else
            reader.watch(store);
    }
    store.removeUpstream("i-1");
    reader.watch(store);
    outdated.fetch(reader);
    CHECK(outdated.content() == store.contentAt(store.revision()));
}

TEST_CASE("A delta whose base revision is newer than the receiver's state changes nothing",
          "[state]")
{
    in_memory_store store;
    replica reader;
    replica ahead;
    replica behind;
    store.changeUpstream("i-1", false);
    reader.load(store);
    behind.load(store);
    store.changeUpstream("i-2", false);
    reader.watch(store);
    ahead.load(store);
    store.changeUpstream("i-3", false);
    reader.watch(store);
    const auto difference = reader.state.snapshot(0, ahead.state.revision(), reader.now());
    REQUIRE(difference.baseRevision > 0);
    const auto before = behind.state.revision();
    CHECK_FALSE(behind.state.adopt(difference, behind.now(), behind.now()));
    CHECK(behind.state.revision() == before);
    CHECK(behind.content() == store.contentAt(before));
}

TEST_CASE("Adopting a change of the configuration alone updates the content revision", "[state]")
{
    // Guards against an instance that does not push a new configuration to others because no
    // upstream changed with it.
    in_memory_store store;
    replica reader;
    replica receiver;
    store.changeUpstream("i-1", false);
    reader.load(store);
    receiver.load(store);
    auto revision = store.revision();
    ++revision.number;
    reader.state.apply({revision, {makeConfig(2)}}, false, reader.now());
    SECTION("as a delta")
    {
        receiver.fetch(reader);
    }
    SECTION("as a full state that has only the configuration")
    {
        reader.state.replace({revision, {makeConfig(2)}}, false, reader.now());
        receiver.state.adopt(reader.state.snapshot(0, 0, reader.now()), receiver.now(),
                             receiver.now());
    }
    CHECK(receiver.state.configVersion() == 2);
    CHECK(receiver.state.revision() == revision);
    CHECK(receiver.state.contentRevision() == revision);
}

TEST_CASE("An upstream that expired in an outage and is removed by a delta is missing, not gone",
          "[state]")
{
    // Guards against an upstream that is taken for gone because of an outage of the store.
    in_memory_store store;
    replica reader;
    replica receiver;
    store.changeUpstream("i-1", false);
    store.changeUpstream("i-2", false);
    reader.load(store);
    receiver.load(store);
    store.removeUpstream("i-1");
    reader.state.apply(store.after(reader.state.revision()), true, reader.now());
    receiver.fetch(reader);
    CHECK(receiver.directory.find("i-1")->lifecycle == lifecycle_state::Missing);
}
