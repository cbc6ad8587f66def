/**
 * @file peer_view_base.h
 * The other instances in the forms in which the gossip needs them at each tick.
 */

#pragma once

#include "core/core_type.h"
#include "sync/fleet_state_base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryhead {

/** Orders the instances of a failure domain; the lowest ranks read the store. */
std::uint64_t rankOf(const std::string &name);

/** Registered instances without this one; worked out anew only when registrations change. */
class peer_view
{
public:
    peer_view(const fleet_state &state, const instance_registration &self)
        : m_state(state), m_self(self)
    {
    }

    /** Addresses of the own domain, each once: a stale registration may have that of another. */
    const std::vector<endpoint> &localPeers() const { return refreshed().m_localPeers; }

    /** Addresses of the other domains, each once. */
    const std::vector<endpoint> &remotePeers() const { return refreshed().m_remotePeers; }

    /** Whether a registered instance has an address. */
    bool contains(const endpoint &address) const;

    /** Ranks of the own domain that are lower than that of this instance. */
    const std::vector<std::uint64_t> &lowerRanks() const { return refreshed().m_lowerRanks; }

private:
    const peer_view &refreshed() const;

    const fleet_state &m_state;
    const instance_registration &m_self;
    mutable std::uint64_t m_instancesVersion =
        0; ///< of the registrations that the lists are made from
    mutable std::vector<endpoint> m_localPeers;
    mutable std::vector<endpoint> m_remotePeers;
    mutable std::vector<std::uint64_t> m_lowerRanks;
};

} // namespace chicoryhead
