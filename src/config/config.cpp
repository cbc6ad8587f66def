/**
 * @file config.cpp
 * Lookups in the configuration and tables of names.
 */

#include "config_type.h"

#include <algorithm>
#include <array>

namespace chicoryhead {

namespace {

constexpr std::array<std::string_view, 8> operationNames {
    "create_service", "remove_service",  "add_upstream", "set_weight",
    "mark_leaving",   "remove_upstream", "set_limits",   "settle"};
constexpr std::array<std::string_view, 3> protocolNames {"tcp", "udp", "request"};
constexpr std::array<std::string_view, 2> modeNames {"active", "leaving"};

} // namespace

const upstream_config *service_config::findUpstream(upstream_id upstream) const
{
    const auto at =
        std::lower_bound(upstreams.begin(), upstreams.end(), upstream,
                         [](const upstream_config &item, upstream_id id) { return item.id < id; });
    return at != upstreams.end() && at->id == upstream ? &*at : nullptr;
}

const service_config *configuration::findService(const service_address &address) const
{
    const auto at = addresses.find(address);
    if (at == addresses.end())
        return nullptr;
    const auto service = services.find(at->second);
    return service == services.end() ? nullptr : service->second.get();
}

const service_config *configuration::findService(std::string_view name) const
{
    for (const auto &[id, service] : services) {
        if (service->name == name)
            return service.get();
    }
    return nullptr;
}

std::string_view toString(patch_operation_kind kind)
{
    return operationNames[static_cast<std::size_t>(kind)];
}

std::string_view toString(service_protocol protocol)
{
    return protocolNames[static_cast<std::size_t>(protocol)];
}

std::string_view toString(upstream_mode mode)
{
    return modeNames[static_cast<std::size_t>(mode)];
}

} // namespace chicoryhead
