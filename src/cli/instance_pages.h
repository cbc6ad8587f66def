/**
 * @file instance_pages.h
 * Status pages of instances, read over HTTP.
 */

#pragma once

#include "command.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryhead {

/** Status page of an instance. */
struct instance_page
{
    std::string state; ///< starting, ready or stopping
    config_version version = 0;
    std::uint64_t stateAgeMs = 0;
    bool readsStore = false;
    std::uint64_t flows = 0; ///< recently observed flows
};

/** A registered instance and its status page. */
struct instance_row
{
    instance_registration registration;
    std::optional<instance_page> page; ///< empty if the page could not be read
};

/** An upstream as listed by one instance. */
struct upstream_row
{
    std::string service;
    std::string name;
    std::string standing;
    bool isSuspected = false;
    std::uint64_t latencyUs = 0; ///< 0 if unknown
    std::uint64_t flows = 0;
    std::string domain;       ///< empty if the instance runs an older release
    std::string verdict;      ///< answering, silent, dead or stalled; empty with an older release
    bool isEvacuated = false; ///< false with an older release
};

/** The registrations among the items of the store, sorted by name. */
std::vector<instance_registration> registeredInstances(const fleet_changes &fleet);

/** Registered instances sorted by name, each with its status page. Errors: those of the store. */
result<std::vector<instance_row>> readInstances(const command_call &call, operator_store &store);

/**
 * The highest version in force on one instance of each failure domain. It is above the store's
 * after the store was restored from a copy, as instances never return to an older version.
 * @return 0 if no instance answers.
 */
config_version readVersionInForce(const command_call &call, operator_store &store);

/** Reads the upstreams that an instance lists; error::Malformed, or an error of page_client. */
result<std::vector<upstream_row>> readUpstreamPage(const command_call &call,
                                                   const instance_registration &instance);

} // namespace chicoryhead
