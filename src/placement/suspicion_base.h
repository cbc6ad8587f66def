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
class doubling_suspicion
{
public:
    /** One more opening packet was lost; returns whether suspicion begins only now. */
    bool noteLoss(const placement_settings &settings, monotonic_time now);

    /** Avoids for a time without counting a loss. */
    void avoidUntil(monotonic_time until);

    bool isActive(monotonic_time now) const { return m_until > now; }

    /** Ends the suspicion; returns whether there was a loss. */
    bool end();

private:
    unsigned m_losses = 0; ///< since the last answer
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
    bool noteUnanswered(upstream_id upstream, monotonic_time now);

    /** An upstream answered an opening packet; returns whether it had left others unanswered. */
    bool noteAnswered(upstream_id upstream);

    /**
     * Avoids an upstream that other instances found silent.
     * @param isDead it answers nobody, so it is avoided whatever the share of such upstreams is.
     */
    void avoid(upstream_id upstream, bool isDead, monotonic_time now);

    void forget(upstream_id upstream) { m_suspects.erase(upstream); }

    bool isSuspected(upstream_id upstream, monotonic_time now) const;

    std::size_t count(monotonic_time now) const;

    upstream_tier tierOf(const upstream_record &record, upstream_tier usual,
                         monotonic_time now) const override;

    /** Moves upstreams that only this instance suspects back to the others when too many are. */
    void trustSome(tiered_upstreams &tiers) const;

private:
    /** What is held against one upstream. */
    struct suspect
    {
        doubling_suspicion suspicion;
        bool isDead = false; ///< other instances saw the same
    };

    unsigned slotsOf(const std::vector<upstream_id> &upstreams) const;
    double jitterOf(upstream_id upstream, monotonic_time now) const;

    const upstream_directory &m_directory;
    const instance_locality &m_locality;
    const placement_settings &m_settings;
    std::unordered_map<upstream_id, suspect> m_suspects;
};

/** Avoids failure domains to which an opening packet was lost; the path to them may be cut. */
class path_doubt : public tier_rule
{
public:
    path_doubt(const instance_locality &locality, const placement_settings &settings)
        : m_locality(locality), m_settings(settings)
    {
    }

    void noteUnanswered(const std::string &domain, monotonic_time now);
    void noteAnswered(const std::string &domain) { m_paths.erase(domain); }

    upstream_tier tierOf(const upstream_record &record, upstream_tier usual,
                         monotonic_time now) const override;

private:
    const instance_locality &m_locality;
    const placement_settings &m_settings;
    std::map<std::string, doubling_suspicion> m_paths; ///< by domain, without the own one
};

} // namespace chicoryhead
