/**
 * @file steering.cpp
 * Helpers that both steering policies use.
 */

#include "steering_detail.h"

#include <algorithm>
#include <array>

namespace chicoryhead {

namespace {

constexpr std::array<std::string_view, 4> verdictNames {"forward", "relay", "drop", "refuse"};

} // namespace

std::string_view toString(steering_verdict verdict)
{
    return verdictNames[static_cast<std::size_t>(verdict)];
}

namespace detail {

const upstream_config *upstreamOf(const service_config &service, upstream_id upstream)
{
    const auto at =
        std::lower_bound(service.upstreams.begin(), service.upstreams.end(), upstream,
                         [](const upstream_config &one, upstream_id id) { return one.id < id; });
    return at != service.upstreams.end() && at->id == upstream ? &*at : nullptr;
}

flow_state openingState(const service_config &service)
{
    return service.protocol == service_protocol::Udp ? flow_state::Datagram : flow_state::Opening;
}

flow_state establishedState(const service_config &service)
{
    return service.protocol == service_protocol::Udp ? flow_state::Datagram
                                                     : flow_state::Established;
}

} // namespace detail

} // namespace chicoryhead
