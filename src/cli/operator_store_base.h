/**
 * @file operator_store_base.h
 * Interfaces of the client to the store and to the status pages of instances.
 */

#pragma once

#include "routing/routing_base.h"
#include "sync/fleet_store_base.h"

#include <string>

namespace chicoryhead {

/** The configuration as stored. */
struct stored_config
{
    store_revision revision; ///< revision of the item; 0 if there is none
    std::string text;        ///< original text
    routing_config decoded;
};

/** Synchronous access to the store. Errors are those of fleet_store. */
class operator_store
{
public:
    virtual ~operator_store() = default;

    /** Reads the configuration; revision 0 if there is none, error::Malformed if it is invalid. */
    virtual result<stored_config> readConfig() = 0;

    /** Reads the configuration, upstreams and instances. */
    virtual result<fleet_changes> readFleet() = 0;

    /**
     * Replaces the configuration if its revision is still the expected one (compare and swap).
     * @return success; error::VersionConflict if the revision differs; error::Rejected if the store
     * rejects the configuration; error::OutcomeUnknown or error::Timeout if it may have been
     * replaced.
     */
    virtual std::error_code replaceConfig(const std::string &text, store_revision expected) = 0;

    /**
     * Starts the evacuation of a failure domain.
     * @return success; error::VersionConflict if it has started before; otherwise as for
     * replaceConfig().
     */
    virtual std::error_code startEvacuation(const std::string &domain) = 0;

    /** Ends an evacuation, if there is one. @return as for replaceConfig(). */
    virtual std::error_code endEvacuation(const std::string &domain) = 0;
};

/** HTTP client for the status pages of instances. */
class page_client
{
public:
    virtual ~page_client() = default;

    /** Returns the body of a page; error::NotFound if the status is not 200, or a request error. */
    virtual result<std::string> get(const endpoint &server, const std::string &path) = 0;
};

/**
 * Decodes a configuration from its text, without access to the store.
 * @return error::Malformed if it is invalid.
 */
using config_decoder = result<routing_config> (*)(std::string text);

} // namespace chicoryhead
