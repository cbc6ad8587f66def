/**
 * @file config_apply_func.h
 * Validation and application of patches, and the change that an accepted patch makes.
 */

#pragma once

#include "config_change_type.h"
#include "config_type.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace chicoryhead {

/// Keeps the log entry of a patch that creates services under the store's limit of values.
inline constexpr std::size_t maxPatchOperations = 1000;
/// Fills the largest slot table at 16 slots each.
inline constexpr std::size_t maxUpstreamsPerService = 2048;

/**
 * Applies a patch. Copies the services that it touches and shares all others with the base.
 * @return the next version; error::VersionConflict if the patch has another base version,
 * error::ValidationFailed with one entry in problems for each problem.
 */
result<std::shared_ptr<const configuration>> applyPatch(const configuration &base,
                                                        const config_patch &patch,
                                                        std::vector<config_problem> &problems);

/**
 * The change that leads from one version to another; from an empty configuration, it is a whole
 * snapshot. Deterministic. The patch's id and summary are left empty.
 */
config_change computeChange(const configuration &from, const configuration &to);

/**
 * Applies a computed change. Copies the services that it touches.
 * @return error::VersionConflict for another base version, error::Malformed if the change doesn't
 * fit.
 */
result<std::shared_ptr<const configuration>> applyChange(const configuration &base,
                                                         const config_change &change);

} // namespace chicoryhead
