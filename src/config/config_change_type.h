/**
 * @file config_change_type.h
 * The computed difference between two versions, as it is stored and sent between instances.
 */

#pragma once

#include "config_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryhead {

/** Consecutive slots with the same entry. */
struct slot_run
{
    std::uint16_t first = 0;
    std::uint16_t count = 0;
    slot_entry entry;

    bool operator==(const slot_run &) const = default;
};

/** What changes in one service. */
struct service_change
{
    service_id id {0};
    bool isRemoved = false; ///< the fields below are then empty
    std::string name;
    endpoint address;
    service_protocol protocol = service_protocol::Tcp;
    service_limits limits;
    std::uint16_t slotCount = 0;
    std::vector<upstream_config> upstreams;    ///< new and changed ones, ascending by id
    std::vector<upstream_id> removedUpstreams; ///< ascending
    std::vector<slot_run> slots;               ///< changed ones, ascending

    bool operator==(const service_change &) const = default;
};

/** What changes between two versions. */
struct config_change
{
    config_version baseVersion = 0;
    config_version version = 0;
    std::uint32_t lastServiceId = 0;
    std::uint32_t lastUpstreamId = 0;
    std::string patchId; ///< empty in a snapshot
    std::string summary; ///< author and operations in one line; empty in a snapshot
    std::vector<service_change> services; ///< removed ones first, then ascending by id

    bool operator==(const config_change &) const = default;
};

/** An accepted patch, remembered to answer when it is sent again. */
struct accepted_patch
{
    config_version version = 0;
    std::string id;
    std::string summary; ///< author and operations in one line

    bool operator==(const accepted_patch &) const = default;
};

/** A configuration with the patches that led to it. */
struct config_snapshot
{
    config_change change;                 ///< from an empty configuration
    std::vector<accepted_patch> accepted; ///< the last ones, ascending by version
};

} // namespace chicoryhead
