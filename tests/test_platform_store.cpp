/**
 * @file test_platform_store.cpp
 * The client of the platform's store against a stand-in server, over loopback.
 */

#include "entry_support.h"
#include "platform/platform_store.h"
#include "standin/store_standin.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace chicoryhead;
using namespace chicoryhead::test;
using chicoryhead::platform::platform_store;
using chicoryhead::standin::store_behaviour;

namespace {

const std::string entryText =
    R"({"service":"s1","address":"10.1.2.3:8080","zone":"a","version":"v1","slots":3,)"
    R"("state":"ready","warmup_left_ms":0,"sequence":4})";

/** A stand-in store and a client in the same event loop. */
struct store_fixture
{
    template<typename Start>
    result<fleet_changes> call(Start start)
    {
        std::optional<result<fleet_changes>> outcome;
        start([&](result<fleet_changes> answer) { outcome.emplace(std::move(answer)); });
        runUntil([&] { return outcome.has_value(); });
        return *outcome;
    }

    result<fleet_changes> load()
    {
        return call([this](auto done) { client.load(std::move(done)); });
    }

    result<fleet_changes> watch(store_revision after, std::chrono::milliseconds wait = 50ms)
    {
        return call([&](auto done) { client.watch(after, wait, std::move(done)); });
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        context.restart();
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < end)
            context.run_one_for(20ms);
        REQUIRE(condition());
    }

    asio::io_context context;
    standin::store_standin store {context, {0x7f000001, 0}};
    platform_store client {context, store.address()};
};

} // namespace

TEST_CASE("A load reads all pages", "[store]")
{
    store_fixture fixture;
    for (int i = 0; i < 25; ++i)
        fixture.store.put("servers/i-" + std::to_string(i), entryText);
    fixture.store.put("op/config", R"({"version":3,"routes":[]})");
    fixture.store.setPageSize(4);
    const auto loaded = fixture.load();
    REQUIRE(loaded);
    CHECK(loaded.value().changes.size() == 26);
    CHECK(loaded.value().revision == store_revision {126, 1});
    CHECK(fixture.store.calls("/chicoryhead/kv-range") == 7);
}

TEST_CASE("The epoch of the store is decoded from the header of its answers", "[store]")
{
    // Guards against a restored store that looks like the one before.
    store_fixture fixture;
    const auto copy = fixture.store.copy();
    fixture.store.put("servers/i-1", entryText);
    CHECK(fixture.load().value().revision.epoch == 1);
    CHECK(fixture.watch(100).value().revision.epoch == 1);
    fixture.store.restore(copy);
    CHECK(fixture.watch(101).error() == error::HistoryLost);
    const auto loaded = fixture.load();
    CHECK(loaded.value().revision == store_revision {100, 2});
    CHECK(loaded.value().changes.empty());
}

TEST_CASE("An answer without an epoch is taken for one of the last epoch", "[store]")
{
    // Guards against answers that are never applied because they look older than the state.
    store_fixture fixture;
    fixture.store.setSendsEpoch(false);
    CHECK(fixture.load().value().revision == store_revision {100, 0});
    fixture.store.setSendsEpoch(true);
    fixture.store.restore(fixture.store.copy());
    CHECK(fixture.load().value().revision == store_revision {100, 2});
    fixture.store.setSendsEpoch(false);
    fixture.store.put("servers/i-1", entryText);
    CHECK(fixture.watch(100).value().revision == store_revision {101, 2});
    CHECK(fixture.load().value().revision == store_revision {101, 2});
}

TEST_CASE("A load during which the store is restored fails", "[store]")
{
    // Guards against a state that is half from before and half from after a restore.
    store_fixture fixture;
    for (int i = 0; i < 9; ++i)
        fixture.store.put("servers/i-" + std::to_string(i), entryText);
    fixture.store.setPageSize(4);
    const auto copy = fixture.store.copy();
    std::optional<result<fleet_changes>> outcome;
    fixture.client.load([&](result<fleet_changes> answer) { outcome.emplace(std::move(answer)); });
    fixture.runUntil([&] { return fixture.store.calls("/chicoryhead/kv-range") == 1; });
    fixture.store.restore(copy);
    fixture.runUntil([&] { return outcome.has_value(); });
    CHECK(outcome->error() == error::HistoryLost);
    CHECK(fixture.load().value().changes.size() == 9);
}

TEST_CASE("A snapshot has the epoch of the store that returned it", "[store]")
{
    store_fixture fixture;
    std::optional<std::error_code> published;
    fixture.client.publishSnapshot(std::vector<std::byte>(4), {},
                                   [&](std::error_code code) { published = code; });
    fixture.runUntil([&] { return published.has_value(); });
    fixture.store.restore(fixture.store.copy());
    std::optional<result<published_snapshot>> read;
    fixture.client.readSnapshot(
        [&](result<published_snapshot> answer) { read.emplace(std::move(answer)); });
    fixture.runUntil([&] { return read.has_value(); });
    CHECK(read->value().revision == store_revision {101, 2});
    // Guards against a publisher that expects no snapshot after it has loaded the store.
    CHECK(fixture.load().value().snapshotRevision == store_revision {101, 2});
}

TEST_CASE("A watch returns changes, or an empty list at its timeout", "[store]")
{
    store_fixture fixture;
    const auto revision = fixture.store.put("servers/i-1", entryText);
    const auto empty = fixture.watch(revision);
    REQUIRE(empty);
    CHECK(empty.value().changes.empty());
    CHECK(empty.value().revision == store_revision {revision, 1});

    fixture.store.remove("servers/i-1");
    const auto changes = fixture.watch(revision);
    REQUIRE(changes);
    REQUIRE(changes.value().changes.size() == 1);
    CHECK(std::get<upstream_withdrawal>(changes.value().changes[0]).name == "i-1");
    CHECK(changes.value().revision == store_revision {revision + 1, 1});
}

TEST_CASE("A pending watch returns when an item changes", "[store]")
{
    store_fixture fixture;
    std::optional<result<fleet_changes>> outcome;
    fixture.client.watch(100, 5000ms, [&](auto answer) { outcome.emplace(std::move(answer)); });
    fixture.runUntil([&] { return fixture.store.calls("/chicoryhead/kv-watch") == 1; });
    fixture.store.put("servers/i-1", entryText);
    fixture.runUntil([&] { return outcome.has_value(); });
    CHECK(outcome->value().changes.size() == 1);
}

TEST_CASE("Rejected calls and malformed responses have distinct errors and counters", "[store]")
{
    store_fixture fixture;
    fixture.store.put("servers/i-1", entryText);
    fixture.store.dropHistory();
    CHECK(fixture.watch(1).error() == error::HistoryLost);
    fixture.store.setBehaviour(store_behaviour::Throttled);
    CHECK(fixture.load().error() == error::Throttled);
    fixture.store.setBehaviour(store_behaviour::Busy);
    CHECK(fixture.load().error() == error::StoreUnavailable);
    fixture.store.setBehaviour(store_behaviour::Garbage);
    CHECK(fixture.load().error() == error::Malformed);
    const auto &calls = fixture.client.calls();
    const auto &loads = calls[static_cast<std::size_t>(platform::call_kind::Load)];
    const auto &watches = calls[static_cast<std::size_t>(platform::call_kind::Watch)];
    CHECK(loads[static_cast<std::size_t>(platform::call_outcome::Refused)] == 2);
    CHECK(loads[static_cast<std::size_t>(platform::call_outcome::Unreadable)] == 1);
    CHECK(watches[static_cast<std::size_t>(platform::call_outcome::Refused)] == 1);
    fixture.store.setBehaviour(store_behaviour::Serving);
    CHECK(fixture.load());
}

TEST_CASE("A call to a store that stops responding times out, and the next call succeeds",
          "[store]")
{
    // Guards against a connection that stays dead and is reused although new ones would work.
    store_fixture fixture;
    REQUIRE(fixture.load());
    fixture.store.setBehaviour(store_behaviour::Silent);
    const auto start = std::chrono::steady_clock::now();
    CHECK(fixture.watch(100, 100ms).error() == error::Timeout);
    CHECK(std::chrono::steady_clock::now() - start < 2s);
    fixture.store.setBehaviour(store_behaviour::Serving);
    CHECK(fixture.load());
}

TEST_CASE("A load from a closed port fails immediately with StoreUnavailable", "[store]")
{
    asio::io_context context;
    endpoint address;
    {
        const standin::store_standin gone(context, {0x7f000001, 0});
        address = gone.address();
    }
    platform_store client(context, address);
    std::optional<result<fleet_changes>> outcome;
    client.load([&](auto answer) { outcome.emplace(std::move(answer)); });
    context.run_for(2s);
    REQUIRE(outcome);
    CHECK(outcome->error() == error::StoreUnavailable);
}

TEST_CASE("A cancelled call does not invoke its handler, and the next call succeeds", "[store]")
{
    store_fixture fixture;
    bool isAnswered = false;
    fixture.client.watch(100, 5000ms, [&](const auto & /*answer*/) { isAnswered = true; });
    fixture.runUntil([&] { return fixture.store.calls("/chicoryhead/kv-watch") == 1; });
    fixture.client.cancel();
    fixture.store.put("servers/i-1", entryText);
    CHECK(fixture.load().value().changes.size() == 1);
    CHECK_FALSE(isAnswered);
}

TEST_CASE("An instance registration is written and removed", "[store]")
{
    store_fixture fixture;
    const instance_registration own {"f-1", "a", {0x0a000001, 7720}};
    std::optional<std::error_code> outcome;
    fixture.client.registerInstance(own, [&](std::error_code code) { outcome = code; });
    fixture.runUntil([&] { return outcome.has_value(); });
    CHECK_FALSE(*outcome);
    const auto loaded = fixture.load();
    REQUIRE(loaded.value().changes.size() == 1);
    CHECK(std::get<instance_registration>(loaded.value().changes[0]) == own);

    outcome.reset();
    fixture.client.removeInstance("f-1", [&](std::error_code code) { outcome = code; });
    fixture.runUntil([&] { return outcome.has_value(); });
    CHECK(fixture.load().value().changes.empty());
}

TEST_CASE("Upstreams are loaded separately during a full load", "[store]")
{
    store_fixture fixture;
    fixture.store.put("op/config", R"({"version":3,"routes":[]})");
    fixture.store.put("servers/i-1", entryText);
    fixture.store.put("servers/i-2", entryText);
    std::optional<result<fleet_changes>> loaded;
    std::optional<result<fleet_changes>> early;
    fixture.client.load([&](result<fleet_changes> outcome) { loaded.emplace(std::move(outcome)); });
    fixture.client.loadUpstreams(
        [&](result<fleet_changes> outcome) { early.emplace(std::move(outcome)); });
    fixture.runUntil([&] { return loaded.has_value() && early.has_value(); });
    REQUIRE(*loaded);
    REQUIRE(*early);
    CHECK(loaded->value().changes.size() == 3);
    CHECK(early->value().changes.size() == 2);
}

TEST_CASE("A snapshot is replaced only at the expected revision and can be read back", "[store]")
{
    store_fixture fixture;
    const auto publish = [&](store_revision replaced, std::size_t size) {
        std::optional<std::error_code> outcome;
        const std::vector<std::byte> bytes(size, std::byte {0xe5});
        fixture.client.publishSnapshot(bytes, replaced,
                                       [&](std::error_code code) { outcome = code; });
        fixture.runUntil([&] { return outcome.has_value(); });
        return *outcome;
    };
    const auto read = [&] {
        std::optional<result<published_snapshot>> outcome;
        fixture.client.readSnapshot(
            [&](result<published_snapshot> answer) { outcome.emplace(std::move(answer)); });
        fixture.runUntil([&] { return outcome.has_value(); });
        return *outcome;
    };
    CHECK(read().error() == error::NotFound);
    REQUIRE_FALSE(publish(0, 3000));
    const auto first = read();
    REQUIRE(first);
    CHECK(first.value().bytes == std::vector<std::byte>(3000, std::byte {0xe5}));
    CHECK(publish(0, 10) == error::VersionConflict);
    CHECK_FALSE(publish(first.value().revision, 10));
    // A watch reports the revision of the new snapshot, but not its contents.
    const auto changes = fixture.watch(first.value().revision);
    REQUIRE(changes);
    CHECK(changes.value().changes.empty());
    CHECK(changes.value().snapshotRevision == changes.value().revision);
}

TEST_CASE("A snapshot can be requested from the handler of a failed request", "[store]")
{
    // Guards against destroying a connection in the handler that it is calling. Seen once as a
    // process that did not exit cleanly; the sanitizer reports it every time.
    store_fixture fixture;
    fixture.store.setBehaviour(store_behaviour::Busy);
    int answers = 0;
    std::function<void(const result<published_snapshot> &)> askAgain =
        [&](const result<published_snapshot> &answer) {
            CHECK(answer.error() == error::StoreUnavailable);
            if (++answers < 5)
                fixture.client.readSnapshot(askAgain);
        };
    fixture.client.readSnapshot(askAgain);
    fixture.runUntil([&] { return answers == 5; });
}
