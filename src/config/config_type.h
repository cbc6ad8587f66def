/**
 * @file config_type.h
 * The operators' configuration: services, upstreams, slot tables and patches.
 */

#pragma once

#include "core/core_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/** How packets of a service are treated. */
enum class service_protocol : std::uint8_t {
    Tcp,     ///< opaque TCP
    Udp,     ///< opaque UDP
    Request, ///< UDP that carries request frames
};

/** Whether an upstream is offered new flows. */
enum class upstream_mode : std::uint8_t {
    Active,
    Leaving, ///< keeps its open flows, gets no new ones
};

/** One upstream of a service. */
struct upstream_config
{
    upstream_id id = noUpstream;
    std::string name;
    domain_id domain {0};
    endpoint address;              ///< tunnel endpoint, IP in UDP
    endpoint health;               ///< HTTP endpoint of health and load; port 0 when there is none
    std::uint16_t weight = 100;    ///< share of new flows, 1 to 1000
    std::uint16_t slots = 3;       ///< requests worked on at a time, at least 1
    std::uint32_t maxFlows = 4300; ///< held connections
    upstream_mode mode = upstream_mode::Active;
    wall_time leavingSince {0}; ///< 0 unless leaving
    wall_time finalTime {0};    ///< after it, remaining flows are reported; 0 for none
    config_version addedIn = 0; ///< version that added it

    bool operator==(const upstream_config &) const = default;
};

/** One slot of a service's table. */
struct slot_entry
{
    upstream_id holder = noUpstream; ///< where a flow goes about which nothing is known
    upstream_id next = noUpstream;   ///< where new flows go; none when nothing accepts new flows
    bool tracked = false;            ///< recorded flows may be elsewhere than at the holder

    bool operator==(const slot_entry &) const = default;

    /** Whether the place of a flow in this slot may differ from the holder. */
    bool isTracked() const { return tracked || next != holder; }
};

/** Limits of a service, for the whole deployment; each instance applies its share. */
struct service_limits
{
    std::uint32_t newFlowsPerSecond = 0;   ///< 0 for no limit
    std::uint32_t maxFlows = 0;            ///< 0 for no limit
    std::uint32_t retryBudgetPercent = 10; ///< retries per 100 new flows
    std::uint32_t retryAfterMs = 500;      ///< mean time that a refused caller is told to wait

    bool operator==(const service_limits &) const = default;
};

/** One service. */
struct service_config
{
    service_id id {0};
    std::string name;
    endpoint address;
    service_protocol protocol = service_protocol::Tcp;
    service_limits limits;
    std::vector<upstream_config> upstreams; ///< ascending by id
    std::vector<slot_entry> slots;          ///< size is a power of two

    bool operator==(const service_config &) const = default;

    /** Transport protocol of the service's packets. */
    transport transportProtocol() const
    {
        return protocol == service_protocol::Tcp ? transport::Tcp : transport::Udp;
    }

    /** The upstream with an id, or nullptr. */
    const upstream_config *findUpstream(upstream_id upstream) const;
};

/** Address and protocol of a service; unique within a configuration. */
struct service_address
{
    endpoint address;
    transport protocol = transport::Tcp;

    auto operator<=>(const service_address &) const = default; // NOLINT(modernize-use-nullptr)
};

/**
 * One version of the whole configuration. Immutable once built; services are shared between
 * versions, so that applying a patch copies only the services it changes.
 */
struct configuration
{
    config_version version = 0;
    std::uint32_t lastServiceId = 0;  ///< highest id given out so far; ids are never reused
    std::uint32_t lastUpstreamId = 0; ///< highest id given out so far; ids are never reused
    std::map<service_id, std::shared_ptr<const service_config>> services;
    std::map<service_address, service_id> addresses; ///< one entry per service

    /** The service at an address, or nullptr. */
    const service_config *findService(const service_address &address) const;
    /** The service with a name, or nullptr. */
    const service_config *findService(std::string_view name) const;
};

/** Kinds of change in a patch. */
enum class patch_operation_kind : std::uint8_t {
    CreateService,
    RemoveService,
    AddUpstream,
    SetWeight,
    MarkLeaving,
    RemoveUpstream,
    SetLimits,
    Settle, ///< ends tracking of a service's slots whose exceptions have ended
};

/** Name of an operation kind, as in the JSON document of a patch. */
std::string_view toString(patch_operation_kind kind);
/** Name of a service protocol, as in the JSON document of a patch. */
std::string_view toString(service_protocol protocol);
/** Name of an upstream mode, as in JSON. */
std::string_view toString(upstream_mode mode);

/** One change. Which fields count depends on the kind. */
struct patch_operation
{
    patch_operation_kind kind = patch_operation_kind::SetWeight;
    std::string service;       ///< name of the service, always set
    std::string upstream;      ///< name of the upstream, for SetWeight, MarkLeaving, RemoveUpstream
    service_config newService; ///< for CreateService: all but ids and slots
    upstream_config newUpstream; ///< for AddUpstream: all but the id
    std::uint16_t weight = 0;    ///< for SetWeight
    wall_time leavingAt {0};     ///< for MarkLeaving
    wall_time finalTime {0};     ///< for MarkLeaving; 0 for none
    service_limits limits;       ///< for SetLimits

    bool operator==(const patch_operation &) const = default;
};

/** A change that an operator submits against a version. */
struct config_patch
{
    std::string id; ///< chosen by the author; sending it again has the same outcome
    std::string author;
    std::string reason;
    config_version baseVersion = 0;
    wall_time submittedAt {0};
    std::vector<patch_operation> operations;

    bool operator==(const config_patch &) const = default;
};

/** One problem that validation found. */
struct config_problem
{
    std::string path;    ///< where, for example "operations[2].weight"
    std::string message; ///< what is wrong and what is allowed
};

/** Outcome of submitting a patch. */
struct patch_outcome
{
    std::error_code code;       ///< success, VersionConflict, ValidationFailed, StoreUnavailable or
                                ///< OutcomeUnknown
    config_version version = 0; ///< accepted as this version, or the current version
    std::vector<config_problem> problems;  ///< for ValidationFailed
    std::vector<std::string> changedSince; ///< for VersionConflict: one line per version since base
};

} // namespace chicoryhead
