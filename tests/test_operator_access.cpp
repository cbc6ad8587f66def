/**
 * @file test_operator_access.cpp
 * Store access of the operator tool against a stand-in server.
 */

#include "platform/operator_access.h"
#include "platform/platform_names.h"
#include "standin/store_standin.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

const std::string configKey(platform::names::configKey);
const std::string first = R"({"version":3,"routes":[]})";
const std::string second = R"({"version":5,"routes":[]})";

/** Runs the stand-in store on its own thread, since operator_access blocks. */
struct access_fixture
{
    /** Runs a function on the stand-in's thread. */
    template<typename Function>
    auto inStore(Function function)
    {
        std::packaged_task<decltype(function())()> task(function);
        auto outcome = task.get_future();
        asio::post(context, [&task] { task(); });
        return outcome.get();
    }

    access_fixture()
    {
        thread = std::thread([this] { context.run(); });
    }

    ~access_fixture()
    {
        inStore([this] { store.reset(); });
        context.stop();
        thread.join();
    }

    access_fixture(const access_fixture &) = delete;
    access_fixture &operator=(const access_fixture &) = delete;

    asio::io_context context {1};
    asio::executor_work_guard<asio::io_context::executor_type> work {context.get_executor()};
    std::unique_ptr<standin::store_standin> store =
        std::make_unique<standin::store_standin>(context, endpoint {0x7f000001, 0});
    platform::operator_access access {store->address(), 300ms};
    std::thread thread;
};

} // namespace

TEST_CASE("A configuration that was never written has revision 0", "[operator]")
{
    access_fixture fixture;
    const auto config = fixture.access.readConfig();
    REQUIRE(config);
    CHECK(config.value().revision == 0);
}

TEST_CASE("A configuration is replaced only at the expected revision", "[operator]")
{
    // Guards against lost updates: an operator must not overwrite a concurrent change.
    access_fixture fixture;
    REQUIRE_FALSE(fixture.access.replaceConfig(first, 0));
    const auto before = fixture.access.readConfig();
    REQUIRE(before);
    CHECK(before.value().text == first);
    CHECK(before.value().decoded.version == 3);

    CHECK(fixture.access.replaceConfig(second, 0) == error::VersionConflict);
    CHECK(fixture.access.replaceConfig(second, before.value().revision.number + 1)
          == error::VersionConflict);
    CHECK(fixture.inStore([&] { return fixture.store->value(configKey); }) == first);

    CHECK_FALSE(fixture.access.replaceConfig(second, before.value().revision));
    CHECK(fixture.inStore([&] { return fixture.store->value(configKey); }) == second);
}

TEST_CASE("A write to a store that was restored since the read has an unknown outcome",
          "[operator]")
{
    // Guards against a replacement of a configuration that the operator has not read: its number
    // was given out again.
    access_fixture fixture;
    REQUIRE_FALSE(fixture.access.replaceConfig(first, 0));
    const auto before = fixture.access.readConfig().value();
    CHECK(before.revision.epoch == 1);
    fixture.inStore([&] { fixture.store->restore(fixture.store->copy()); });
    CHECK(fixture.access.replaceConfig(second, before.revision) == error::OutcomeUnknown);
    const auto after = fixture.access.readConfig().value();
    CHECK(after.revision.epoch == 2);
    CHECK_FALSE(fixture.access.replaceConfig(first, after.revision));
}

TEST_CASE("A write whose response is lost reports a timeout or an unknown outcome", "[operator]")
{
    access_fixture fixture;
    fixture.inStore([&] { fixture.store->setBehaviour(standin::store_behaviour::Lossy); });
    const auto failure = fixture.access.replaceConfig(first, 0);
    CHECK((failure == error::Timeout || failure == error::OutcomeUnknown));
    CHECK(fixture.access.readConfig().value().text == first);
}

TEST_CASE("An evacuation is written once and removed", "[operator]")
{
    // Guards against a client whose items the instances do not take for an evacuation.
    access_fixture fixture;
    const std::string key = std::string(platform::names::evacuationPrefix) + "d1";
    const auto evacuations = [&] {
        const auto fleet = fixture.access.readFleet();
        std::vector<std::string> domains;
        for (const fleet_change &change : fleet.value().changes) {
            if (const auto *evacuation = std::get_if<domain_evacuation>(&change))
                domains.push_back(evacuation->domain);
        }
        return domains;
    };
    fixture.inStore([&] { fixture.store->put(configKey, first); });
    REQUIRE_FALSE(fixture.access.startEvacuation("d1"));
    CHECK(evacuations() == std::vector<std::string> {"d1"});
    CHECK(fixture.access.startEvacuation("d1") == error::VersionConflict);
    REQUIRE_FALSE(fixture.access.endEvacuation("d1"));
    CHECK(evacuations().empty());
    CHECK_FALSE(fixture.access.endEvacuation("d1"));
    fixture.inStore([&] { fixture.store->setBehaviour(standin::store_behaviour::Throttled); });
    CHECK(fixture.access.startEvacuation("d1") == error::Throttled);
}

TEST_CASE("Rejected calls and a malformed configuration have distinct errors", "[operator]")
{
    access_fixture fixture;
    fixture.inStore([&] { fixture.store->put(configKey, "{}"); });
    CHECK(fixture.access.readConfig().error() == error::Malformed);
    fixture.inStore([&] { fixture.store->setBehaviour(standin::store_behaviour::Busy); });
    CHECK(fixture.access.readConfig().error() == error::StoreUnavailable);
    CHECK(fixture.access.replaceConfig(first, 0) == error::StoreUnavailable);
    fixture.inStore([&] { fixture.store->setBehaviour(standin::store_behaviour::Throttled); });
    CHECK(fixture.access.readFleet().error() == error::Throttled);
}
