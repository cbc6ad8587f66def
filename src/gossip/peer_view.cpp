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
    m_lowerRanks.clear();
    const std::uint64_t selfRank = rankOf(m_self.name);
    for (const auto &[name, registration] : m_state.instances()) {
        if (name == m_self.name)
            continue;
        const bool isLocalDomain = registration.domain == m_self.domain;
        (isLocalDomain ? m_localPeers : m_remotePeers).push_back(registration.peerAddress);
        if (isLocalDomain && rankOf(name) < selfRank)
            m_lowerRanks.push_back(rankOf(name));
    }
    sortAndDeduplicate(m_localPeers);
    sortAndDeduplicate(m_remotePeers);
    return *this;
}

} // namespace chicoryhead
