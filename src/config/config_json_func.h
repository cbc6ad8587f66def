/**
 * @file config_json_func.h
 * JSON documents of operators: configuration, patches, outcomes and the audit trail.
 */

#pragma once

#include "config_type.h"

#include <string>
#include <vector>

namespace chicoryhead {

/** One accepted version in the audit trail. */
struct audit_entry
{
    config_version version = 0;
    config_version baseVersion = 0;
    std::string id; ///< id of the patch
    std::string author;
    std::string reason;
    wall_time time {0};               ///< when the patch was submitted
    std::vector<std::string> changes; ///< one line per operation

    bool operator==(const audit_entry &) const = default;
};

/** Formats the whole configuration; each slot is an array [holder, next, tracked]. */
std::string formatConfiguration(const configuration &config);

/** Formats a patch as parsePatch() reads it. */
std::string formatPatch(const config_patch &patch);

/**
 * Reads a patch. Unknown keys, missing keys, wrong types and values out of range give one problem
 * each, with the path of the value.
 * @return error::Malformed if the text isn't JSON, error::ValidationFailed if there are problems.
 */
result<config_patch> parsePatch(const std::string &json, std::vector<config_problem> &problems);

/** Formats the outcome of a patch. */
std::string formatOutcome(const patch_outcome &outcome);

/** Formats the audit trail as an array, in the order given. */
std::string formatAudit(const std::vector<audit_entry> &entries);

/** Describes an operation in one line, for the audit trail and for refused patches. */
std::string describeOperation(const patch_operation &operation);

} // namespace chicoryhead
