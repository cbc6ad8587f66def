/**
 * @file test_config_apply.cpp
 * Patches, slot tables and computed changes.
 */

#include "config/config_apply_func.h"
#include "config/config_codec_func.h"
#include "config/slot_plan_func.h"
#include "core/core_error.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace chicoryhead;

namespace {

using config_pointer = std::shared_ptr<const configuration>;

upstream_config makeUpstream(std::uint32_t number, std::uint16_t weight = 100)
{
    upstream_config upstream;
    upstream.name = "u" + std::to_string(number);
    upstream.address = {0x0a000000 + number, 6080};
    upstream.weight = weight;
    return upstream;
}

patch_operation createService(const std::string &name, std::uint32_t number, std::uint32_t count)
{
    patch_operation operation;
    operation.kind = patch_operation_kind::CreateService;
    operation.service = name;
    operation.newService.address = {0x0b000000 + number, 443};
    for (std::uint32_t i = 1; i <= count; ++i)
        operation.newService.upstreams.push_back(makeUpstream(i));
    return operation;
}

patch_operation makeOperation(patch_operation_kind kind, const std::string &upstream = "")
{
    patch_operation operation;
    operation.kind = kind;
    operation.service = "desk";
    operation.upstream = upstream;
    operation.leavingAt = wall_time(1700000000);
    operation.weight = 50;
    return operation;
}

patch_operation addUpstream(std::uint32_t number, std::uint16_t weight = 100)
{
    patch_operation operation = makeOperation(patch_operation_kind::AddUpstream);
    operation.newUpstream = makeUpstream(number, weight);
    return operation;
}

config_patch makePatch(const configuration &base, std::vector<patch_operation> operations)
{
    return {"p", "ama", "test", base.version, wall_time(0), std::move(operations)};
}

config_pointer mustApply(const config_pointer &base, std::vector<patch_operation> operations)
{
    std::vector<config_problem> problems;
    const auto next = applyPatch(*base, makePatch(*base, std::move(operations)), problems);
    for (const auto &problem : problems)
        UNSCOPED_INFO(problem.path << ": " << problem.message);
    REQUIRE(next);
    return next.value();
}

std::string problemOf(const config_pointer &base, std::vector<patch_operation> operations)
{
    std::vector<config_problem> problems;
    const auto next = applyPatch(*base, makePatch(*base, std::move(operations)), problems);
    CHECK_FALSE(next);
    return problems.size() == 1 ? problems[0].path : std::to_string(problems.size());
}

config_pointer deskWith(std::uint32_t upstreams)
{
    return mustApply(std::make_shared<configuration>(), {createService("desk", 1, upstreams)});
}

const service_config &desk(const config_pointer &config)
{
    const service_config *service = config->findService("desk");
    REQUIRE(service != nullptr);
    return *service;
}

std::size_t countNext(const service_config &service, upstream_id id)
{
    return static_cast<std::size_t>(
        std::count_if(service.slots.begin(), service.slots.end(),
                      [id](const slot_entry &slot) { return slot.next == id; }));
}

std::size_t countMoves(const service_config &from, const service_config &to)
{
    std::size_t moves = 0;
    for (std::size_t i = 0; i < to.slots.size(); ++i)
        moves += from.slots[i].next != to.slots[i].next ? 1 : 0;
    return moves;
}

/** Whether each active upstream has its exact share rounded down or up, and no other has any. */
bool hasFairShares(const service_config &service)
{
    std::size_t total = 0;
    for (const auto &upstream : service.upstreams)
        total += upstream.mode == upstream_mode::Active ? upstream.weight : 0;
    for (const auto &upstream : service.upstreams) {
        const std::size_t weight = upstream.mode == upstream_mode::Active ? upstream.weight : 0;
        const std::size_t scaled = countNext(service, upstream.id) * total;
        const std::size_t exact = service.slots.size() * weight;
        if (scaled + total <= exact || scaled >= exact + total)
            return total == 0;
    }
    return true;
}

} // namespace

TEST_CASE("a new table has 16 slots per upstream and equal shares", "[config]")
{
    CHECK(slotCountFor(14) == 256);
    CHECK(slotCountFor(4) == 64);
    CHECK(slotCountFor(0) == 64);
    const auto config = deskWith(14);
    CHECK(hasFairShares(desk(config)));
    for (const auto &slot : desk(config).slots)
        CHECK_FALSE(slot.isTracked());
}

TEST_CASE("an added upstream takes only its own share, and holders stay", "[config]")
{
    const auto before = deskWith(14);
    const auto after = mustApply(before, {addUpstream(15)});
    CHECK(hasFairShares(desk(after)));
    CHECK(countMoves(desk(before), desk(after)) == countNext(desk(after), upstream_id(15)));
    for (std::size_t i = 0; i < 256; ++i)
        CHECK(desk(before).slots[i].holder == desk(after).slots[i].holder);
}

TEST_CASE("a leaving upstream holds its slots until it is removed", "[config]")
{
    const auto before = deskWith(14);
    const auto marked = mustApply(before, {makeOperation(patch_operation_kind::MarkLeaving, "u3")});
    const upstream_id leaving {3};
    CHECK(countNext(desk(marked), leaving) == 0);
    CHECK(countMoves(desk(before), desk(marked)) == countNext(desk(before), leaving));
    // Settling must not take the slots from the open flows of the leaving upstream.
    const auto settled = mustApply(marked, {makeOperation(patch_operation_kind::Settle)});
    const auto holds = [&](const slot_entry &slot) {
        return slot.holder == leaving;
    };
    CHECK(std::count_if(desk(settled).slots.begin(), desk(settled).slots.end(), holds)
          == static_cast<std::ptrdiff_t>(countNext(desk(before), leaving)));
    const auto removed =
        mustApply(settled, {makeOperation(patch_operation_kind::RemoveUpstream, "u3")});
    for (std::size_t i = 0; i < 256; ++i) {
        CHECK(desk(removed).slots[i].holder == desk(removed).slots[i].next);
        CHECK(desk(removed).slots[i].tracked == holds(desk(settled).slots[i]));
    }
    const auto done = mustApply(removed, {makeOperation(patch_operation_kind::Settle)});
    for (const auto &slot : desk(done).slots)
        CHECK_FALSE(slot.isTracked());
}

TEST_CASE("new flows are refused when the last upstream leaves, open flows stay", "[config]")
{
    auto config = mustApply(deskWith(1), {makeOperation(patch_operation_kind::MarkLeaving, "u1")});
    for (const auto &slot : desk(config).slots) {
        CHECK(slot.next == noUpstream);
        CHECK(slot.holder == upstream_id(1));
    }
    config = mustApply(config,
                       {makeOperation(patch_operation_kind::RemoveUpstream, "u1"), addUpstream(2)});
    for (const auto &slot : desk(config).slots)
        CHECK(slot.holder == upstream_id(2));
}

TEST_CASE("an open flow elsewhere than at its holder is always in a tracked slot", "[config]")
{
    // Guards against losing flows by any order of changes: flows stay where they were placed until
    // their upstream is removed or the operator settles.
    std::mt19937 random(7);
    auto config = deskWith(6);
    std::vector<std::vector<upstream_id>> open(desk(config).slots.size());
    std::uint32_t lastNumber = 6;
    for (int step = 0; step < 400; ++step) {
        for (std::size_t i = 0; i < open.size(); ++i) {
            const upstream_id next = desk(config).slots[i].next;
            if (next != noUpstream && random() % 4 == 0)
                open[i].push_back(next);
        }
        const auto before = config;
        const auto &upstreams = desk(before).upstreams;
        const auto &chosen = upstreams[random() % upstreams.size()];
        const unsigned kind = random() % 10;
        if (upstreams.size() < 12 && kind < 3) {
            config = mustApply(
                config,
                {addUpstream(++lastNumber, static_cast<std::uint16_t>(1 + random() % 1000))});
        } else if (kind == 9) {
            config = mustApply(config, {makeOperation(patch_operation_kind::Settle)});
            // Settling states that only the flows of holders and leaving upstreams are left.
            for (std::size_t i = 0; i < open.size(); ++i) {
                const auto &slot = desk(config).slots[i];
                if (slot.holder == slot.next)
                    std::erase_if(open[i], [&](auto id) { return id != slot.holder; });
            }
        } else if (chosen.mode == upstream_mode::Leaving) {
            const upstream_id id = chosen.id;
            config = mustApply(config,
                               {makeOperation(patch_operation_kind::RemoveUpstream, chosen.name)});
            for (auto &flows : open)
                std::erase(flows, id);
            if (desk(config).upstreams.empty())
                config = mustApply(config, {addUpstream(++lastNumber)});
        } else if (kind < 6) {
            auto operation = makeOperation(patch_operation_kind::SetWeight, chosen.name);
            operation.weight = static_cast<std::uint16_t>(1 + random() % 1000);
            config = mustApply(config, {operation});
        } else {
            config =
                mustApply(config, {makeOperation(patch_operation_kind::MarkLeaving, chosen.name)});
        }
        REQUIRE(hasFairShares(desk(config)));
        // As few slots as possible move: no upstream both gives and takes.
        std::size_t gained = 0;
        for (const auto &upstream : desk(config).upstreams) {
            const std::size_t had = countNext(desk(before), upstream.id);
            const std::size_t has = countNext(desk(config), upstream.id);
            gained += has > had ? has - had : 0;
        }
        const bool isEmpty = desk(config).slots[0].next == noUpstream;
        REQUIRE((isEmpty || countMoves(desk(before), desk(config)) == gained));
        for (std::size_t i = 0; i < open.size(); ++i) {
            const auto &slot = desk(config).slots[i];
            const bool isElsewhere = std::any_of(open[i].begin(), open[i].end(),
                                                 [&](auto id) { return id != slot.holder; });
            REQUIRE((!isElsewhere || slot.isTracked()));
        }
        // The computed change leads to the same version, also through its encoding.
        const auto change = computeChange(*before, *config);
        const auto decoded = decodeChange(encodeChange(change));
        REQUIRE(decoded);
        REQUIRE(decoded.value() == change);
        if (change.baseVersion + 1 == change.version) {
            const auto applied = applyChange(*before, decoded.value());
            REQUIRE(applied);
            REQUIRE(desk(applied.value()) == desk(config));
        }
    }
}

TEST_CASE("ids are never reused and unchanged services are shared", "[config]")
{
    auto config = mustApply(deskWith(2), {createService("proofs", 2, 2)});
    CHECK(config->findService("proofs")->upstreams[0].id == upstream_id(3));
    const auto *proofs = config->findService("proofs");
    config = mustApply(config, {makeOperation(patch_operation_kind::MarkLeaving, "u2")});
    config = mustApply(config,
                       {makeOperation(patch_operation_kind::RemoveUpstream, "u2"), addUpstream(2)});
    CHECK(desk(config).upstreams.back().id == upstream_id(5));
    CHECK(config->findService("proofs") == proofs);
    const auto whole = applyChange(configuration(), computeChange(configuration(), *config));
    REQUIRE(whole);
    CHECK(whole.value()->lastUpstreamId == 5);
    CHECK(whole.value()->addresses == config->addresses);
    CHECK(desk(whole.value()) == desk(config));
}

TEST_CASE("invalid patches are refused as a whole, with the path of each problem", "[config]")
{
    const auto config = deskWith(2);
    const auto leave = makeOperation(patch_operation_kind::MarkLeaving, "u1");
    const auto remove = makeOperation(patch_operation_kind::RemoveUpstream, "u1");
    CHECK(problemOf(config, {}) == "operations");
    CHECK(problemOf(config, {createService("desk", 2, 1)}) == "operations[0].service");
    CHECK(problemOf(config, {createService("other", 1, 1)}) == "operations[0].address");
    CHECK(problemOf(config, {addUpstream(1)}) == "operations[0].upstream.name");
    CHECK(problemOf(config, {leave, leave}) == "operations[1].upstream");
    // Removal in the patch that marks would break the upstream's open flows.
    CHECK(problemOf(config, {leave, remove}) == "operations[1].upstream");
    CHECK(problemOf(config, {makeOperation(patch_operation_kind::RemoveService)})
          == "operations[0].service");
    CHECK(problemOf(config, {makeOperation(patch_operation_kind::SetWeight, "u9")})
          == "operations[0].upstream");
    auto old = makePatch(*config, {leave});
    old.baseVersion = 0;
    std::vector<config_problem> problems;
    CHECK(applyPatch(*config, old, problems).error() == error::VersionConflict);
}

TEST_CASE("damaged changes are refused and never read out of bounds", "[config][fuzz]")
{
    const auto config = deskWith(4);
    const std::string bytes = encodeChange(computeChange(configuration(), *config));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeChange(std::string_view(bytes).substr(0, length)));
    std::mt19937 random(3);
    for (int i = 0; i < 2000; ++i) {
        std::string damaged = bytes;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        const auto change = decodeChange(damaged);
        if (change)
            (void)applyChange(configuration(), change.value());
    }
}
