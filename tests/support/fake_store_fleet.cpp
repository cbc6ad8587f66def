/**
 * @file fake_store_fleet.cpp
 * Instances with their distribution, the store and the network between them.
 */

#include "support/fake_store_fleet.h"

#include <catch2/catch.hpp>

namespace chicoryhead::test {

config_instance::config_instance(config_fleet &owner, fake_store &store, std::uint32_t number,
                                 unsigned domain)
    : owner(owner), id(instance_id(number)), random(number * 7919), client(store)
{
    board.self.id = id;
    board.self.domain = domain_id(static_cast<std::uint16_t>(domain));
    board.self.state = member_state::Ready;
    core =
        std::make_unique<distribution>(board, owner.clock, random, client, *this, owner.settings);
    core->setAppliedHandler([this](config_version version) { onApplied(version); });
}

void config_instance::sendPull(instance_id to, const config_pull &pull)
{
    owner.bytes += encodeBinary(1, pull).size();
    owner.carry(*this, to, [sender = id, pull](config_instance &target) {
        target.core->onPull(sender, pull);
    });
}

void config_instance::sendPage(instance_id to, const config_page &page)
{
    const auto bytes = encodeBinary(1, page);
    owner.bytes += bytes.size();
    owner.largestPage = std::max(owner.largestPage, bytes.size());
    owner.carry(*this, to, [sender = id, bytes](config_instance &target) {
        const auto decoded = decodeBinary<config_page>(1, bytes);
        REQUIRE(decoded);
        target.core->onPage(sender, decoded.value());
    });
}

void config_instance::onApplied(config_version version)
{
    owner.decreases += version <= lastVersion ? 1 : 0;
    for (config_version passed = lastVersion + 1; passed <= version; ++passed)
        owner.inForceAt[passed] = std::max(owner.inForceAt[passed], owner.clock.now());
    lastVersion = version;
    for (unsigned i = 0; i < gossipFanout; ++i)
        owner.announce(*this, owner.randomPeer());
}

void config_fleet::checkHistory()
{
    std::set<std::string> logged;
    for (config_version version = 1; version <= newest(); ++version) {
        const auto entry = decodeLogEntry(store.read(logKey(version)).value);
        INFO("version " << version);
        REQUIRE(entry);
        CHECK(store.creations[logKey(version)] == 1);
        const std::string id = entry.value().patch.id;
        CHECK(logged.insert(id).second);
        CHECK_FALSE(refused.contains(id));
        CHECK((accepted[id].size() == 1 && accepted[id].contains(version)));
    }
    for (const auto &[id, versions] : accepted)
        CHECK((versions.empty() || logged.contains(id)));
    CHECK(decreases == 0);
    for (const auto &item : instances) {
        CHECK(item->board.config->version == newest());
        CHECK(formatConfiguration(*item->board.config)
              == formatConfiguration(*instances[0]->board.config));
    }
}

config_patch createDesk()
{
    config_patch patch {"create", "ama", "start", 0, wall_time(1), {}};
    patch_operation &operation = patch.operations.emplace_back();
    operation.kind = patch_operation_kind::CreateService;
    operation.service = "desk";
    operation.newService.address = {0x0b000001, 443};
    for (std::uint32_t i = 1; i <= 14; ++i) {
        upstream_config upstream;
        upstream.name = "u" + std::to_string(i);
        upstream.address = {0x0a000000 + i, 6080};
        operation.newService.upstreams.push_back(upstream);
    }
    return patch;
}

config_patch setWeight(const std::string &id, config_version base, std::uint64_t weight)
{
    config_patch patch {id, "ama", "weights", base, wall_time(1), {}};
    patch_operation &operation = patch.operations.emplace_back();
    operation.kind = patch_operation_kind::SetWeight;
    operation.service = "desk";
    operation.upstream = "u" + std::to_string(1 + weight % 14);
    operation.weight = static_cast<std::uint16_t>(1 + weight % 1000);
    return patch;
}

/** An operator who submits patches one after another, each based on the version seen. */
void operate(config_fleet &all, const std::string &name, unsigned patches)
{
    if (patches == 0)
        return;
    const unsigned instance = static_cast<unsigned>(all.random.next() % all.instances.size());
    const config_version base = all.instances[instance]->board.config->version;
    const auto patch = setWeight(name + '-' + std::to_string(patches), base, all.random.next());
    all.submit(instance, patch, [&all, name, patches](const patch_outcome &) {
        all.clock.schedule(monotonic_time(all.random.next() % 400000),
                           [&all, name, patches] { operate(all, name, patches - 1); });
    });
}

void start(config_fleet &all, unsigned instances)
{
    all.add(instances);
    all.run(std::chrono::seconds(1));
    all.submit(0, createDesk());
    all.run(std::chrono::seconds(4));
    REQUIRE(all.haveAll(1));
}

/** Submits again while the store is unavailable, as an operator does. */
void submitAnyway(config_fleet &all, const config_patch &patch)
{
    const auto instance = static_cast<unsigned>(all.random.next() % all.instances.size());
    all.submit(instance, patch, [&all, patch](const patch_outcome &outcome) {
        if (outcome.code != error::StoreUnavailable)
            return;
        all.refused.erase(patch.id);
        submitAnyway(all, patch);
    });
}

std::uint64_t storeCalls(const config_fleet &all)
{
    std::uint64_t calls = 0;
    for (const auto &item : all.instances)
        calls += item->client.calls;
    return calls;
}

void advanceTo(config_fleet &all, unsigned instance, config_version version)
{
    while (all.newest() < version) {
        const config_version base = all.instances[instance]->board.config->version;
        all.submit(instance, setWeight("step" + std::to_string(base), base, base));
        all.run(std::chrono::milliseconds(40));
    }
    all.run(std::chrono::seconds(5));
}

} // namespace chicoryhead::test
