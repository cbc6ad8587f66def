/**
 * @file test_distribution_log.cpp
 * Snapshots, trimming and the audit trail in the store.
 */

#include "config/config_codec_func.h"
#include "support/fake_store_fleet.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Numbers of the keys below a prefix. */
std::set<config_version> keysBelow(const config_fleet &all, const std::string &prefix)
{
    std::set<config_version> numbers;
    for (const auto &[key, value] : all.store.values) {
        if (const auto number = parseKey(key, prefix))
            numbers.insert(*number);
    }
    return numbers;
}

config_snapshot readSnapshot(const config_fleet &all, config_version version)
{
    const std::string value = all.store.read(snapshotKey(version, 0)).value;
    REQUIRE(snapshotPartCount(value) == 1);
    const auto snapshot = decodeSnapshot(snapshotPartContent(value));
    REQUIRE(snapshot);
    return snapshot.value();
}

std::vector<audit_entry> readAudit(config_fleet &all, unsigned instance)
{
    result<std::vector<audit_entry>> read = error::NotFound;
    all.instances[instance]->core->readAudit(
        [&read](result<std::vector<audit_entry>> entries) { read = std::move(entries); });
    all.run(seconds(20));
    REQUIRE(read);
    return read.value();
}

/** A fleet with 1,100 versions, whose log was trimmed. */
void startTrimmed(config_fleet &all)
{
    all.settings.trimDelay = seconds(2);
    all.settings.snapshotStagger = seconds(0);
    all.settings.auditLimit = 5000;
    start(all, 6);
    advanceTo(all, 0, 1100);
    all.run(seconds(30));
}

} // namespace

TEST_CASE("the log is trimmed to two snapshots, and the audit trail stays whole", "[distribution]")
{
    config_fleet all(11);
    startTrimmed(all);
    CHECK(keysBelow(all, snapshotPrefix) == std::set<config_version> {768, 1024});
    CHECK(keysBelow(all, auditPrefix) == std::set<config_version> {1, 257, 513});
    CHECK(*keysBelow(all, logPrefix).begin() == 769);
    const auto entries = readAudit(all, 3);
    REQUIRE(entries.size() == 1100);
    for (config_version version = 1; version <= 1100; ++version)
        REQUIRE(entries[version - 1].version == version);
    CHECK(entries[0].author == "ama");
    CHECK(entries[20].changes.size() == 1);
    for (const auto &[key, count] : all.store.creations)
        CHECK(count == 1);
    CHECK(all.decreases == 0);
}

TEST_CASE("a new instance loads the last snapshot and the log after it", "[distribution]")
{
    config_fleet all(12);
    startTrimmed(all);
    // Its domain is cut off from the others, so that only the store can supply it.
    all.cutDomain = domain_id(1);
    for (auto &item : all.instances)
        item->client.isReachable = item->board.self.domain != all.cutDomain;
    all.add(1);
    all.updateMembers();
    all.run(seconds(4));
    const auto &joined = *all.instances.back();
    CHECK(joined.board.self.domain == all.cutDomain);
    CHECK(formatConfiguration(*joined.board.config)
          == formatConfiguration(*all.instances[1]->board.config));
    // A patch whose log entry was trimmed still gets its first outcome.
    patch_outcome outcome;
    all.submit(6, setWeight("step9", 9, 9), [&](const auto &given) { outcome = given; });
    all.run(seconds(1));
    CHECK_FALSE(outcome.code);
    CHECK(outcome.version == 10);
}

TEST_CASE("an instance far behind doesn't create a version whose log entry was trimmed",
          "[distribution]")
{
    config_fleet all(13);
    all.add(6);
    all.cutDomain = domain_id(1);
    all.updateMembers();
    auto &behind = *all.instances[0];
    REQUIRE(behind.board.self.domain == all.cutDomain);
    all.settings.trimDelay = seconds(2);
    all.submit(0, createDesk());
    all.run(seconds(5));
    behind.client.isReachable = all.instances[3]->client.isReachable = false;
    // The settings of the instances are copied when they are built, so trimming is done by hand.
    advanceTo(all, 1, 1100);
    for (config_version version = 1; version <= 768; ++version)
        all.store.values.erase(logKey(version));
    REQUIRE(behind.board.config->version == 1);
    behind.client.isReachable = true;
    patch_outcome outcome;
    all.submit(0, setWeight("late", 1, 5), [&](const auto &given) { outcome = given; });
    all.run(seconds(1));
    CHECK(outcome.code == error::VersionConflict);
    CHECK(outcome.version >= 1100);
    CHECK(all.store.creations[logKey(2)] == 1);
    all.run(seconds(60));
    CHECK(behind.board.config->version == all.newest());
}

TEST_CASE("a create that a pause delayed beyond trimming is withdrawn", "[distribution]")
{
    config_fleet all(17);
    all.settings.trimDelay = seconds(2);
    all.settings.snapshotStagger = seconds(0);
    start(all, 6);
    // The paused instance hears nothing of the others.
    all.cutDomain = domain_id(1);
    all.updateMembers();
    auto &paused = *all.instances[0];
    paused.client.arePutsHeld = true;
    patch_outcome outcome;
    all.submit(0, setWeight("late", 1, 5), [&](const auto &given) { outcome = given; });
    all.run(milliseconds(100));
    paused.isPaused = true;
    advanceTo(all, 1, 1100);
    all.run(seconds(60));
    REQUIRE(all.store.read(logKey(2)).modifyIndex == 0);
    paused.client.releasePuts();
    all.run(milliseconds(100));
    CHECK(all.store.creations[logKey(2)] == 2);
    paused.isPaused = false;
    all.run(seconds(5));
    CHECK(outcome.code == error::VersionConflict);
    CHECK(all.store.read(logKey(2)).modifyIndex == 0);
    all.run(seconds(60));
    CHECK(paused.board.config->version == 1100);
    CHECK(formatConfiguration(*paused.board.config)
          == formatConfiguration(*all.instances[1]->board.config));
}

TEST_CASE("an instance that joined through peers completes the accepted patches of a snapshot",
          "[distribution]")
{
    config_fleet all(14);
    all.settings.snapshotStagger = seconds(0);
    start(all, 2);
    advanceTo(all, 0, 300);
    all.store.isReachable = false;
    all.add(1);
    all.run(seconds(60));
    REQUIRE(all.haveAll(300));
    all.store.isReachable = true;
    all.run(seconds(60));
    // From here on only the new instance reaches the store.
    all.instances[0]->client.isReachable = all.instances[1]->client.isReachable = false;
    advanceTo(all, 2, 520);
    all.run(seconds(40));
    const auto snapshot = readSnapshot(all, 512);
    REQUIRE(snapshot.accepted.size() == 512);
    CHECK(snapshot.accepted[0].id == "create");
    CHECK(snapshot.accepted[511].id == "step511");
}

TEST_CASE("reading the audit trail fails with the store", "[distribution]")
{
    config_fleet all(15);
    start(all, 3);
    all.store.isReachable = false;
    bool hasFailed = false;
    all.instances[0]->core->readAudit([&](const auto &read) { hasFailed = read.has_error(); });
    all.run(seconds(5));
    CHECK(hasFailed);
}

TEST_CASE("a snapshot of many pages arrives although pages are lost, doubled and reordered",
          "[distribution]")
{
    config_fleet all(16);
    start(all, 3);
    config_patch patch {"many", "ama", "many services", 1, wall_time(1), {}};
    for (std::uint32_t i = 1; i <= 100; ++i) {
        patch_operation operation = createDesk().operations[0];
        operation.service = "service " + std::to_string(i);
        operation.newService.address.address += i;
        patch.operations.push_back(operation);
    }
    all.submit(0, patch);
    all.run(seconds(20));
    REQUIRE(all.haveAll(2));
    // More changes than are held one by one, so that only a snapshot leads to the last version.
    advanceTo(all, 0, 600);
    all.lost = all.doubled = 10;
    all.store.isReachable = false;
    all.add(1);
    all.run(seconds(120));
    REQUIRE(all.haveAll(600));
    CHECK(all.largestPage <= maxPageBytes);
    all.store.isReachable = true;
    all.run(seconds(40));
    all.checkHistory();
}
