/**
 * @file test_config_json.cpp
 * Patches as JSON: what is written is read back, and each mistake is named once.
 */

#include "config/config_json_func.h"
#include "core/core_error.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chicoryhead;

namespace {

config_patch samplePatch()
{
    config_patch patch {"p1", "ama", "more room", 3, wall_time(1700000000), {}};
    patch_operation create;
    create.kind = patch_operation_kind::CreateService;
    create.service = create.newService.name = "order desk";
    create.newService.address = {0x0a0a0001, 443};
    upstream_config upstream;
    upstream.name = "u1";
    upstream.address = {0x0a000001, 6080};
    create.newService.upstreams.push_back(upstream);
    patch.operations.push_back(create);
    patch_operation leave;
    leave.kind = patch_operation_kind::MarkLeaving;
    leave.service = "order desk";
    leave.upstream = "u1";
    leave.leavingAt = wall_time(1700000100);
    patch.operations.push_back(leave);
    return patch;
}

} // namespace

TEST_CASE("a patch is read back as it was written", "[config]")
{
    std::vector<config_problem> problems;
    const auto parsed = parsePatch(formatPatch(samplePatch()), problems);
    REQUIRE(parsed);
    CHECK(parsed.value() == samplePatch());
}

TEST_CASE("each mistake in a patch gives one problem with its path", "[config]")
{
    std::vector<config_problem> problems;
    const auto parsed = parsePatch(
        R"({"id":"p","author":7,"reason":"r","base_version":-1,"colour":1,"operations":[
        {"operation":"set_weight","service":"s","upstream":"u","weight":1001},
        {"operation":"paint","service":"s"},
        {"operation":"add_upstream","service":"s","upstream":{"name":"n","domain":70000,
         "address":"1.2.3.4"}},
        {"operation":"settle"}, 5]})",
        problems);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error() == error::ValidationFailed);
    std::vector<std::string> paths;
    for (const auto &problem : problems)
        paths.push_back(problem.path);
    CHECK(paths
          == std::vector<std::string> {"colour", "author", "base_version", "operations[0].weight",
                                       "operations[1].operation", "operations[2].upstream.domain",
                                       "operations[2].upstream.address", "operations[3].service",
                                       "operations[4]"});
}

TEST_CASE("text that isn't JSON is malformed, not a crash", "[config]")
{
    std::vector<config_problem> problems;
    CHECK(parsePatch("{", problems).error() == error::Malformed);
    CHECK(problems.size() == 1);
    CHECK_FALSE(parsePatch("[]", problems));
}

TEST_CASE("damaged patches are refused or read, never a fault", "[config][fuzz]")
{
    const std::string text = formatPatch(samplePatch());
    std::mt19937 random(5);
    std::size_t refused = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string damaged = text;
        for (unsigned edits = 1 + random() % 3; edits > 0; --edits)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        std::vector<config_problem> problems;
        const auto parsed = parsePatch(damaged, problems);
        refused += parsed ? 0 : 1;
        // Each refusal says why.
        CHECK(parsed.has_value() == problems.empty());
    }
    CHECK(refused > 0);
}
