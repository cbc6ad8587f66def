/**
 * @file peer_view.cpp
 * Lists of addresses and ranks.
 */

#include "peer_view_base.h"

#include <xxhash.h>

#include <algorithm>

namespace chicoryhead {

namespace {

void makeUnique(std::vector<endpoint> &addresses)
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
    return std::binary_search(ownDomain().begin(), ownDomain().end(), address)
        || std::binary_search(otherDomains().begin(), otherDomains().end(), address);
}

const peer_view &peer_view::refreshed() const
{
    if (m_version == m_state.instancesVersion())
        return *this;
    m_version = m_state.instancesVersion();
    m_ownDomain.clear();
    m_otherDomains.clear();
    m_lowerRanks.clear();
    const std::uint64_t ownRank = rankOf(m_own.name);
    for (const auto &[name, registration] : m_state.instances()) {
        if (name == m_own.name)
            continue;
        const bool isOwnDomain = registration.domain == m_own.domain;
        (isOwnDomain ? m_ownDomain : m_otherDomains).push_back(registration.peerAddress);
        if (isOwnDomain && rankOf(name) < ownRank)
            m_lowerRanks.push_back(rankOf(name));
    }
    makeUnique(m_ownDomain);
    makeUnique(m_otherDomains);
    return *this;
}

} // namespace chicoryhead
