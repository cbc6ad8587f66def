/**
 * @file config_change.cpp
 * Difference between two versions, and its application.
 */

#include "config_apply_func.h"
#include "core/core_error.h"

#include <algorithm>
#include <bit>

namespace chicoryhead {

namespace {

void addSlotRuns(const service_config *from, const service_config &to, std::vector<slot_run> &runs)
{
    const std::size_t known = from == nullptr ? 0 : from->slots.size();
    for (std::size_t i = 0; i < to.slots.size(); ++i) {
        const slot_entry &entry = to.slots[i];
        const slot_entry before = i < known ? from->slots[i] : slot_entry {};
        if (entry == before)
            continue;
        const bool isContinued = !runs.empty() && runs.back().entry == entry
            && std::size_t {runs.back().first} + runs.back().count == i;
        if (!isContinued)
            runs.push_back({static_cast<std::uint16_t>(i), 0, entry});
        ++runs.back().count;
    }
}

service_change compareServices(const service_config *from, const service_config &to)
{
    service_change change;
    change.id = to.id;
    change.name = to.name;
    change.address = to.address;
    change.protocol = to.protocol;
    change.limits = to.limits;
    change.slotCount = static_cast<std::uint16_t>(to.slots.size());
    for (const auto &upstream : to.upstreams) {
        const upstream_config *before = from == nullptr ? nullptr : from->findUpstream(upstream.id);
        if (before == nullptr || *before != upstream)
            change.upstreams.push_back(upstream);
    }
    if (from != nullptr) {
        for (const auto &upstream : from->upstreams) {
            if (to.findUpstream(upstream.id) == nullptr)
                change.removedUpstreams.push_back(upstream.id);
        }
    }
    addSlotRuns(from, to, change.slots);
    return change;
}

void mergeUpstreams(std::vector<upstream_config> &upstreams, const service_change &change)
{
    std::erase_if(upstreams, [&change](const auto &item) {
        return std::find(change.removedUpstreams.begin(), change.removedUpstreams.end(), item.id)
            != change.removedUpstreams.end();
    });
    for (const auto &upstream : change.upstreams) {
        const auto at = std::lower_bound(
            upstreams.begin(), upstreams.end(), upstream.id,
            [](const upstream_config &item, upstream_id id) { return item.id < id; });
        if (at != upstreams.end() && at->id == upstream.id)
            *at = upstream;
        else
            upstreams.insert(at, upstream);
    }
}

bool isKnown(const service_config &service, upstream_id upstream)
{
    return upstream == noUpstream || service.findUpstream(upstream) != nullptr;
}

/** Fills in the changed slots; false if a run is out of bounds or names an unknown upstream. */
bool mergeSlots(service_config &service, const service_change &change)
{
    for (const auto &run : change.slots) {
        if (std::size_t {run.first} + run.count > service.slots.size()
            || !isKnown(service, run.entry.holder) || !isKnown(service, run.entry.next))
            return false;
        std::fill_n(service.slots.begin() + run.first, run.count, run.entry);
    }
    return true;
}

bool applyServiceChange(configuration &config, const service_change &change)
{
    const auto at = config.services.find(change.id);
    if (change.isRemoved) {
        if (at == config.services.end())
            return false;
        config.addresses.erase({at->second->address, at->second->transportProtocol()});
        config.services.erase(at);
        return true;
    }
    auto service = at == config.services.end() ? std::make_shared<service_config>()
                                               : std::make_shared<service_config>(*at->second);
    const bool isNew = at == config.services.end();
    if (!std::has_single_bit(change.slotCount)
        || (!isNew && service->slots.size() != change.slotCount))
        return false;
    service->id = change.id;
    service->name = change.name;
    service->address = change.address;
    service->protocol = change.protocol;
    service->limits = change.limits;
    service->slots.resize(change.slotCount);
    mergeUpstreams(service->upstreams, change);
    if (!mergeSlots(*service, change))
        return false;
    const service_address address {service->address, service->transportProtocol()};
    const auto [owner, isAdded] = config.addresses.emplace(address, service->id);
    if (!isAdded && owner->second != service->id)
        return false;
    config.services[service->id] = std::move(service);
    return true;
}

} // namespace

config_change computeChange(const configuration &from, const configuration &to)
{
    config_change change;
    change.baseVersion = from.version;
    change.version = to.version;
    change.lastServiceId = to.lastServiceId;
    change.lastUpstreamId = to.lastUpstreamId;
    for (const auto &[id, service] : from.services) {
        if (to.services.contains(id))
            continue;
        service_change &removed = change.services.emplace_back();
        removed.id = id;
        removed.isRemoved = true;
    }
    for (const auto &[id, service] : to.services) {
        const auto before = from.services.find(id);
        const service_config *old = before == from.services.end() ? nullptr : before->second.get();
        if (old != service.get())
            change.services.push_back(compareServices(old, *service));
    }
    return change;
}

result<std::shared_ptr<const configuration>> applyChange(const configuration &base,
                                                         const config_change &change)
{
    if (change.baseVersion != base.version)
        return error::VersionConflict;
    if (change.version <= base.version || change.lastServiceId < base.lastServiceId
        || change.lastUpstreamId < base.lastUpstreamId)
        return error::Malformed;
    auto next = std::make_shared<configuration>(base);
    next->version = change.version;
    next->lastServiceId = change.lastServiceId;
    next->lastUpstreamId = change.lastUpstreamId;
    for (const auto &service : change.services) {
        if (!applyServiceChange(*next, service))
            return error::Malformed;
    }
    return std::shared_ptr<const configuration>(std::move(next));
}

} // namespace chicoryhead
