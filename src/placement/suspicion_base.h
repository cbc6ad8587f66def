/**
 * @file placement/suspicion_base.h
 * Upstreams and paths that left opening packets unanswered.
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

/** Time for which something is avoided; doubles with each opening packet that it loses. */
class suspicion_backoff
{
public:
    /** One more opening packet was lost; returns whether suspicion begins only now. */
    bool recordFailure(const placement_settings &settings, monotonic_time now);

    /** Avoids for a time without counting a loss. */
    void extendUntil(monotonic_time until);

    bool isActive(monotonic_time now) const { return m_until > now; }

    /** Ends the suspicion; returns whether there was a loss. */
    bool clear();

private:
    unsigned m_failures = 0; ///< since the last answer
    monotonic_time m_until {0};
};

/** Avoids upstreams that did not answer. */
class upstream_suspicion : public tier_rule
{
public:
    upstream_suspicion(const upstream_directory &directory, const instance_locality &locality,
                       const placement_settings &settings)
        : m_directory(directory), m_locality(locality), m_settings(settings)
    {
    }

    /** An upstream did not answer an opening packet; returns whether it is avoided only now. */
    bool recordConnectFailure(upstream_id upstream, monotonic_time now);

    /** An upstream answered an opening packet; returns whether it had left others unanswered. */
    bool recordConnectSuccess(upstream_id upstream);

    /**
     * Avoids an upstream that other instances found silent.
     * @param isDead it answers nobody, so it is avoided whatever the share of such upstreams is.
     */
    void markSuspected(upstream_id upstream, bool isDead, monotonic_time now);

    void forget(upstream_id upstream) { m_suspectStates.erase(upstream); }

    bool isSuspected(upstream_id upstream, monotonic_time now) const;

    std::size_t count(monotonic_time now) const;

    upstream_tier tierOf(const upstream_record &record, upstream_tier defaultTier,
                         monotonic_time now) const override;

    /** Moves upstreams that only this instance suspects back to the others when too many are. */
    void limitSuspected(tiered_upstreams &tiers) const;

private:
    /** What is held against one upstream. */
    struct suspect_state
    {
        suspicion_backoff backoff;
        bool isDead = false; ///< other instances saw the same
    };

    unsigned slotsOf(const std::vector<upstream_id> &upstreams) const;
    double jitterOf(upstream_id upstream, monotonic_time now) const;

    const upstream_directory &m_directory;
    const instance_locality &m_locality;
    const placement_settings &m_settings;
    std::unordered_map<upstream_id, suspect_state> m_suspectStates;
};

/** Avoids failure domains to which an opening packet was lost; the path to them may be cut. */
class path_suspicion : public tier_rule
{
public:
    path_suspicion(const instance_locality &locality, const placement_settings &settings)
        : m_locality(locality), m_settings(settings)
    {
    }

    void recordConnectFailure(const std::string &domain, monotonic_time now);
    void recordConnectSuccess(const std::string &domain) { m_pathSuspicion.erase(domain); }

    upstream_tier tierOf(const upstream_record &record, upstream_tier defaultTier,
                         monotonic_time now) const override;

private:
    const instance_locality &m_locality;
    const placement_settings &m_settings;
    std::map<std::string, suspicion_backoff> m_pathSuspicion; ///< by domain, without the own one
};

} // namespace chicoryhead
