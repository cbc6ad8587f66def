/**
 * @file operator_store_base.h
 * The store as an operator uses it.
 */

#pragma once

#include "routing/routing_base.h"
#include "sync/fleet_store_base.h"

#include <string>

namespace chicoryhead {

/** The operators' configuration as the store holds it. */
struct stored_config
{
    store_revision revision = 0; ///< of the item; 0 when there is none
    std::string text;            ///< as it was written
    routing_config decoded;
};

/** Blocking access to the store. Errors are those of fleet_store. */
class operator_store
{
public:
    virtual ~operator_store() = default;

    /** The configuration; revision 0 when the store has none. error::Malformed if unreadable. */
    virtual result<stored_config> readConfig() = 0;

    /** Configuration, upstreams and instances. */
    virtual result<fleet_changes> readFleet() = 0;

    /**
     * Replaces the configuration if it is still the one of a revision.
     * @return success; error::VersionConflict if it is not; error::Rejected if the store
     * does not take it; error::OutcomeUnknown or error::Timeout if it may have been replaced.
     */
    virtual std::error_code replaceConfig(const std::string &text, store_revision expected) = 0;
};

/** Reads the pages that instances show to operators. */
class page_client
{
public:
    virtual ~page_client() = default;

    /** The body of a page; error::NotFound for another status than 200, or the call's error. */
    virtual result<std::string> get(const endpoint &server, const std::string &path) = 0;
};

/**
 * Decodes a configuration as operators write it; nothing of the store is involved.
 * @return error::Malformed when it can't be read.
 */
using config_decoder = result<routing_config> (*)(std::string text);

} // namespace chicoryhead
