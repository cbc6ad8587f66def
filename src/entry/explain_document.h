/**
 * @file explain_document.h
 * Status document that explains where a new flow would go now.
 */

#pragma once

#include "admission/admission_controller_base.h"
#include "directory/directory_base.h"
#include "health/upstream_health_base.h"
#include "placement/domain_first_placement_base.h"
#include "routing/routing_base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryhead {

/// Path of the document. Its query is
/// "service=A.B.C.D:PORT[&caller=A.B.C.D:PORT[&sequence=NUMBER]]".
inline constexpr std::string_view explainPath = "/v1/explain";

/** Flow to be explained. */
struct explain_query
{
    endpoint service;
    std::optional<endpoint> caller;
    /// Sequence number of the opening packet. With the caller it determines the service of a route
    /// that has several.
    std::optional<std::uint32_t> sequence;
};

/**
 * Parses a query. Unknown, duplicate and malformed parameters are errors.
 * @param message receives the error message.
 */
std::optional<explain_query> parseExplainQuery(std::string_view query, std::string &message);

/** State of an instance that decides about new flows. */
struct explain_sources
{
    const routing_table &routes;
    const upstream_directory &directory;
    const domain_first_placement &placement;
    const upstream_health &health;
    bool isSynchronised = false; ///< the configuration is known
    monotonic_time stateAge {0};
    /// Load of the services; null if it is not known.
    const admission_controller *admission = nullptr;
};

/** Renders the document; changes nothing that affects later flows. */
std::string renderExplanation(const explain_query &query, const explain_sources &sources,
                              monotonic_time now);

} // namespace chicoryhead
