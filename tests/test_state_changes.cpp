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
class memory_fleet
{
public:
    memory_fleet() { m_contents[m_revision] = {}; }

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
        for (auto made = m_changes.upper_bound(revision); made != m_changes.end(); ++made)
            changes.changes.push_back(made->second);
        return changes;
    }

    /** Everything, as a load tells it. */
    fleet_changes everything() const
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
    void record(const fleet_change &change, const std::string &name, const std::string &told)
    {
        auto content = m_contents.at(m_revision);
        if (told.empty())
            content.erase(name);
        else
            content[name] = told;
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
        fleet_content told;
        for (const upstream_record *record : directory.records()) {
            if (record->standing == upstream_standing::Ready)
                told[record->announced.name] = "ready";
            else if (record->standing == upstream_standing::Draining)
                told[record->announced.name] = "draining";
        }
        for (const auto &[name, registration] : state.instances())
            told[name] = registration.domain;
        return told;
    }

    void load(const memory_fleet &store) { state.replace(store.everything(), false, now()); }

    void watch(const memory_fleet &store)
    {
        state.apply(store.after(state.revision()), false, now());
    }

    /** Fetches from another instance; returns the bytes that takes. */
    std::size_t fetch(const replica &other)
    {
        const auto bytes =
            encodeState(other.state.snapshot(state.configVersion(), state.revision(), other.now()));
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

void changeSomething(memory_fleet &store, std::mt19937 &random)
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
using late_answer = std::pair<replica *, state_snapshot>;

/// Delivers some answer, perhaps once more later.
void deliver(std::vector<late_answer> &underWay, std::mt19937 &random)
{
    const auto chosen = underWay.begin() + static_cast<std::ptrdiff_t>(random() % underWay.size());
    chosen->first->state.adopt(chosen->second, chosen->first->now(), chosen->first->now());
    if (random() % 3 != 0)
        underWay.erase(chosen);
}

} // namespace

TEST_CASE("Whatever way the state came, it is what the store held at its revision", "[state]")
{
    // Guards against changes that a difference leaves out: an instance would keep an upstream that
    // is gone until the next load.
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        memory_fleet store;
        std::vector<std::unique_ptr<replica>> instances;
        for (int i = 0; i < 5; ++i)
            instances.push_back(std::make_unique<replica>());
        std::vector<late_answer> underWay;
        for (int step = 0; step < 400; ++step) {
            const unsigned changes = random() % 3;
            for (unsigned i = 0; i < changes; ++i)
                changeSomething(store, random);
            replica &one = *instances[random() % instances.size()];
            const replica &other = *instances[random() % instances.size()];
            const auto before = one.state.revision();
            const auto way = random() % 20;
            if (before == 0 || way == 0)
                one.load(store);
            else if (way < 6)
                one.watch(store);
            else if (way < 9 && other.state.contentRevision() <= before
                     && other.state.revision() > before)
                one.state.confirm(other.state.revision(), one.now()); // as a digest does
            else if (way < 13 && other.state.revision() > 0)
                underWay.emplace_back(
                    &one, other.state.snapshot(0, random() % 4 == 0 ? 0 : before, other.now()));
            else if (way < 16 && !underWay.empty())
                deliver(underWay, random);
            else if (&one != &other && other.state.revision() > 0)
                one.fetch(other);
            INFO("seed " << seed << " step " << step << " revision " << one.state.revision());
            REQUIRE(one.state.revision() >= before);
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
        memory_fleet store;
        replica reader;
        replica other;
        for (int i = 0; i < upstreams; ++i)
            store.changeUpstream("i-" + std::to_string(i), false);
        reader.load(store);
        other.fetch(reader);
        store.changeUpstream("i-7", true);
        store.removeUpstream("i-8");
        reader.watch(store);
        const std::size_t bytes = other.fetch(reader);
        CHECK(other.content() == store.contentAt(store.revision()));
        return bytes;
    };
    CHECK(bytesOfChange(2000) == bytesOfChange(10));
}

TEST_CASE("An asker from before the history gets everything", "[state]")
{
    // Guards against a difference from a base that is not known.
    memory_fleet store;
    replica reader;
    replica late;
    store.changeUpstream("i-1", false);
    late.load(store);
    for (int i = 0; i < 10000; ++i) {
        store.changeUpstream("i-" + std::to_string(2 + i % 5), i % 2 == 0);
        if (i == 0)
            reader.load(store);
        else
            reader.watch(store);
    }
    store.removeUpstream("i-1");
    reader.watch(store);
    late.fetch(reader);
    CHECK(late.content() == store.contentAt(store.revision()));
}

TEST_CASE("A difference from a base that the receiver does not have changes nothing", "[state]")
{
    memory_fleet store;
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
    memory_fleet store;
    replica reader;
    replica other;
    store.changeUpstream("i-1", false);
    reader.load(store);
    other.load(store);
    const auto revision = store.revision() + 1;
    reader.state.apply({revision, {makeConfig(2)}}, false, reader.now());
    SECTION("as a difference")
    {
        other.fetch(reader);
    }
    SECTION("as a whole, with nothing else in it")
    {
        reader.state.replace({revision, {makeConfig(2)}}, false, reader.now());
        other.state.adopt(reader.state.snapshot(0, 0, reader.now()), other.now(), other.now());
    }
    CHECK(other.state.configVersion() == 2);
    CHECK(other.state.revision() == revision);
    CHECK(other.state.contentRevision() == revision);
}

TEST_CASE("A lapsed announcement that is told as a difference may return", "[state]")
{
    // Guards against an upstream that is taken for gone because the store was away.
    memory_fleet store;
    replica reader;
    replica other;
    store.changeUpstream("i-1", false);
    store.changeUpstream("i-2", false);
    reader.load(store);
    other.load(store);
    store.removeUpstream("i-1");
    reader.state.apply(store.after(reader.state.revision()), true, reader.now());
    other.fetch(reader);
    CHECK(other.directory.find("i-1")->standing == upstream_standing::Missing);
}
