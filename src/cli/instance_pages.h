/**
 * @file instance_pages.h
 * What instances tell operators about themselves.
 */

#pragma once

#include "command.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryhead {

/** The page of an instance about itself. */
struct instance_page
{
    std::string state; ///< starting, ready or stopping
    config_version version = 0;
    std::uint64_t stateAgeMs = 0;
    bool readsStore = false;
    std::uint64_t flows = 0; ///< seen lately
};

/** A registered instance with its page. */
struct instance_row
{
    instance_registration registration;
    std::optional<instance_page> page; ///< nothing when it did not answer
};

/** An upstream on the page of one instance. */
struct upstream_row
{
    std::string service;
    std::string name;
    std::string standing;
    bool isSuspected = false;
    std::uint64_t latencyUs = 0; ///< 0 when unknown
    std::uint64_t flows = 0;
    std::string domain;  ///< empty on the page of an older release
    std::string verdict; ///< answering, silent or dead; empty as above
};

/** Registered instances by name; each is asked for its page. Errors: those of the store. */
result<std::vector<instance_row>> readInstances(const command_call &call, operator_store &store);

/** Upstreams as an instance sees them; error::Malformed, or the call's error. */
result<std::vector<upstream_row>> readUpstreamPage(const command_call &call,
                                                   const instance_registration &instance);

} // namespace chicoryhead
