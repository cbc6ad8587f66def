/**
 * @file placement/suspicion_base.h
 * Suspicion of upstreams and of network paths that lost opening packets.
 */

#pragma once

#include "core/core_type.h"
#include "directory/directory_base.h"
#include "placement_rule_base.h"
#include "placement_type.h"

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

namespace chicoryhead {

/** Time for which an upstream or path is avoided; doubles with each lost opening packet. */
class suspicion_backoff
{
public:
    /** An opening packet was lost; returns whether this starts a new suspicion. */
    bool recordFailure(const placement_settings &settings, monotonic_time now);

    /** Extends the suspicion; afterwards at least one failure counts as recorded. */
    void extendUntil(monotonic_time until);

    bool isActive(monotonic_time now) const { return m_until > now; }

    /** Ends the suspicion; returns whether a failure had been recorded. */
    bool clear();

private:
    unsigned m_failures = 0; ///< consecutive, since the last answer
    monotonic_time m_until {0};
};

/** Moves upstreams that do not answer opening packets to the tier of suspected ones. */
class upstream_suspicion : public tier_rule
{
public:
    upstream_suspicion(const upstream_directory &directory, const instance_locality &locality,
                       const placement_settings &settings)
        : m_directory(directory), m_locality(locality), m_settings(settings)
    {
    }

    /** An upstream did not answer an opening packet; returns whether it is newly suspected. */
    bool recordConnectFailure(upstream_id upstream, monotonic_time now);

    /** An upstream answered an opening packet; returns whether it had left others unanswered. */
    bool recordConnectSuccess(upstream_id upstream);

    /**
     * Suspects an upstream that other instances reported as not answering.
     * @param isDead it answers no instance, so it is not subject to maxSuspectedFraction.
     */
    void markSuspected(upstream_id upstream, bool isDead, monotonic_time now);

    void forget(upstream_id upstream) { m_suspectStates.erase(upstream); }

    bool isSuspected(upstream_id upstream, monotonic_time now) const;

    std::size_t count(monotonic_time now) const;

    upstream_tier tierOf(const upstream_record &record, upstream_tier defaultTier,
                         monotonic_time now) const override;

    /**
     * Enforces maxSuspectedFraction: above it, upstreams that only this instance suspects are
     * returned to the tiers of their domains.
     */
    void limitSuspected(tiered_upstreams &tiers) const;

private:
    /** Suspicion state of one upstream. */
    struct suspect_state
    {
        suspicion_backoff backoff;
        bool isDead = false; ///< confirmed by other instances
    };

    unsigned slotsOf(const std::vector<upstream_id> &upstreams) const;
    double jitterOf(upstream_id upstream, monotonic_time now) const;

    const upstream_directory &m_directory;
    const instance_locality &m_locality;
    const placement_settings &m_settings;
    std::unordered_map<upstream_id, suspect_state> m_suspectStates;
};

/** Avoids remote failure domains that an opening packet was lost to: the path may be down. */
class path_suspicion : public tier_rule
{
public:
    path_suspicion(const instance_locality &locality, const placement_settings &settings)
        : m_locality(locality), m_settings(settings)
    {
    }

    void recordConnectFailure(const std::string &domain, monotonic_time now);
    void recordConnectSuccess(const std::string &domain) { m_pathSuspicion.erase(domain); }

    bool isSuspected(const std::string &domain, monotonic_time now) const;

    upstream_tier tierOf(const upstream_record &record, upstream_tier defaultTier,
                         monotonic_time now) const override;

private:
    const instance_locality &m_locality;
    const placement_settings &m_settings;
    std::map<std::string, suspicion_backoff> m_pathSuspicion; ///< by remote domain
};

} // namespace chicoryhead
