/**
 * @file peer_view_base.h
 * Cached lists of the other instances, as the gossip protocol needs them at each tick.
 */

#pragma once

#include "core/core_type.h"
#include "sync/fleet_state_base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryhead {

/** Hash of an instance's name; the lowest ranks of a failure domain read the store. */
std::uint64_t rankOf(const std::string &name);

/** Registered instances except this one; rebuilt only when registrations change. */
class peer_view
{
public:
    peer_view(const fleet_state &state, const instance_registration &self)
        : m_state(state), m_self(self)
    {
    }

    /** Distinct addresses in the local domain; a stale registration can share one with another. */
    const std::vector<endpoint> &localPeers() const { return refreshed().m_localPeers; }

    /** Distinct addresses in the other domains. */
    const std::vector<endpoint> &remotePeers() const { return refreshed().m_remotePeers; }

    /** Whether an address belongs to a registered instance. */
    bool contains(const endpoint &address) const;

    /** Number of registrations in the local domain, without this instance's own. */
    std::size_t countLocalRegistrations() const { return refreshed().m_localRegistrations; }

    /** Ranks of these registrations that are lower than that of this instance. */
    const std::vector<std::uint64_t> &lowerRanks() const { return refreshed().m_lowerRanks; }

private:
    const peer_view &refreshed() const;
    void add(const instance_registration &registration) const;

    const fleet_state &m_state;
    const instance_registration &m_self;
    mutable std::uint64_t m_instancesVersion = 0; ///< that the lists were built from
    mutable std::vector<endpoint> m_localPeers;
    mutable std::vector<endpoint> m_remotePeers;
    mutable std::size_t m_localRegistrations = 0;
    mutable std::vector<std::uint64_t> m_lowerRanks; ///< at most m_localRegistrations
};

} // namespace chicoryhead
