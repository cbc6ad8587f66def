/**
 * @file peer_view.cpp
 * Builds the lists of addresses and ranks.
 */

#include "peer_view_base.h"

#include <xxhash.h>

#include <algorithm>

namespace chicoryhead {

namespace {

void sortAndDeduplicate(std::vector<endpoint> &addresses)
{
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
}

} // namespace

std::uint64_t rankOf(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

bool peer_view::contains(const endpoint &address) const
{
    return std::binary_search(localPeers().begin(), localPeers().end(), address)
        || std::binary_search(remotePeers().begin(), remotePeers().end(), address);
}

const peer_view &peer_view::refreshed() const
{
    if (m_instancesVersion == m_state.instancesVersion())
        return *this;
    m_instancesVersion = m_state.instancesVersion();
    m_localPeers.clear();
    m_remotePeers.clear();
    m_localRegistrations = 0;
    m_lowerRanks.clear();
    for (const auto &[name, registration] : m_state.instances())
        add(registration);
    for (const auto &[name, registration] : m_state.formerInstances())
        add(registration);
    sortAndDeduplicate(m_localPeers);
    sortAndDeduplicate(m_remotePeers);
    return *this;
}

void peer_view::add(const instance_registration &registration) const
{
    if (registration.name == m_self.name)
        return;
    const bool isLocalDomain = registration.domain == m_self.domain;
    // A former name of this instance has its address.
    if (registration.peerAddress != m_self.peerAddress)
        (isLocalDomain ? m_localPeers : m_remotePeers).push_back(registration.peerAddress);
    if (!isLocalDomain)
        return;
    ++m_localRegistrations;
    if (rankOf(registration.name) < rankOf(m_self.name))
        m_lowerRanks.push_back(rankOf(registration.name));
}

} // namespace chicoryhead
