/**
 * @file test_state_changes.cpp
 * State that passes between instances as changes since a revision, against a store in memory.
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

/** Names with what is told of them: an upstream's state, or an instance's domain. */
using fleet_content = std::map<std::string, std::string>;

/** The store: each change has a revision, and what it held at each revision is kept. */
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

    /** Changes after a revision, as a watch tells them. */
    fleet_changes after(store_revision revision) const
    {
        fleet_changes changes {m_revision, {}};
        for (auto entry = m_changes.upper_bound(revision); entry != m_changes.end(); ++entry)
            changes.changes.push_back(entry->second);
        return changes;
    }

    /** Everything, as a load tells it. */
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
        m_contents[++m_revision] = std::move(content);
        m_changes.emplace(m_revision, change);
        m_names.emplace(m_revision, name);
    }

    store_revision m_revision = 100;
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

    /** Fetches from another instance; returns the bytes that takes. */
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

/// An answer to a fetch that has not arrived yet.
using pending_response = std::pair<replica *, state_snapshot>;

/// Delivers some answer, perhaps once more later.
void deliver(std::vector<pending_response> &inFlight, std::mt19937 &random)
{
    const auto chosen = inFlight.begin() + static_cast<std::ptrdiff_t>(random() % inFlight.size());
    chosen->first->state.adopt(chosen->second, chosen->first->now(), chosen->first->now());
    if (random() % 3 != 0)
        inFlight.erase(chosen);
}

} // namespace

TEST_CASE("Whatever way the state came, it is what the store held at its revision", "[state]")
{
    // Guards against changes that a difference leaves out: an instance would keep an upstream that
    // is gone until the next load.
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
            replica &receiver = *instances[random() % instances.size()];
            const replica &sender = *instances[random() % instances.size()];
            const auto before = receiver.state.revision();
            const auto action = random() % 20;
            if (before == 0 || action == 0)
                receiver.load(store);
            else if (action < 6)
                receiver.watch(store);
            else if (action < 9 && sender.state.contentRevision() <= before
                     && sender.state.revision() > before)
                receiver.state.confirm(sender.state.revision(), receiver.now()); // as a digest does
            else if (action < 13 && sender.state.revision() > 0)
                inFlight.emplace_back(
                    &receiver,
                    sender.state.snapshot(0, random() % 4 == 0 ? 0 : before, sender.now()));
            else if (action < 16 && !inFlight.empty())
                deliver(inFlight, random);
            else if (&receiver != &sender && sender.state.revision() > 0)
                receiver.fetch(sender);
            INFO("seed " << seed << " step " << step << " revision " << receiver.state.revision());
            REQUIRE(receiver.state.revision() >= before);
            for (const auto &instance : instances) {
                if (instance->state.revision() > 0)
                    REQUIRE(instance->content() == store.contentAt(instance->state.revision()));
            }
        }
    }
}

TEST_CASE("Release in a large fleet: a change costs the change and not the fleet", "[state]")
{
    // Guards against transfers that grow with the fleet: at 59,000 upstreams one took 4.7 MB.
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

TEST_CASE("An asker from before the history gets everything", "[state]")
{
    // Guards against a difference from a base that is not known.
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

TEST_CASE("A difference from a base that the receiver does not have changes nothing", "[state]")
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

TEST_CASE("A change of the configuration alone counts as a change for whoever adopts it", "[state]")
{
    // Guards against an instance that does not push a new configuration on to others, because no
    // upstream changed with it.
    in_memory_store store;
    replica reader;
    replica receiver;
    store.changeUpstream("i-1", false);
    reader.load(store);
    receiver.load(store);
    const auto revision = store.revision() + 1;
    reader.state.apply({revision, {makeConfig(2)}}, false, reader.now());
    SECTION("as a difference")
    {
        receiver.fetch(reader);
    }
    SECTION("as a whole, with nothing else in it")
    {
        reader.state.replace({revision, {makeConfig(2)}}, false, reader.now());
        receiver.state.adopt(reader.state.snapshot(0, 0, reader.now()), receiver.now(),
                             receiver.now());
    }
    CHECK(receiver.state.configVersion() == 2);
    CHECK(receiver.state.revision() == revision);
    CHECK(receiver.state.contentRevision() == revision);
}

TEST_CASE("A lapsed announcement that is told as a difference may return", "[state]")
{
    // Guards against an upstream that is taken for gone because the store was away.
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
