/**
 * @file distribution.cpp
 * Combines the store's reader, the submitter and the exchange with peers.
 */

#include "distribution_base.h"

#include <utility>

namespace chicoryhead {

distribution::distribution(blackboard &board, const clock_source &clock, random_source &random,
                           key_value_store &store, config_messenger &messenger,
                           const distribution_settings &settings)
    : m_board(board)
    , m_settings(settings)
    , m_replica(board, clock)
    , m_reader(m_replica, store, clock, random, settings)
    , m_maintainer(board, m_replica, clock, m_reader.caller(), settings)
    , m_submitter(m_replica, store, clock, random, settings)
    , m_auditReader(store, clock, random, settings)
    , m_exchange(board, m_replica, clock, random, messenger, settings)
{
}

void distribution::tick()
{
    m_reader.tick(isReader());
    m_maintainer.tick();
    m_submitter.tick();
    m_auditReader.tick();
    m_exchange.tick();
}

void distribution::onPeerVersion(instance_id peer, config_version version)
{
    m_exchange.onPeerVersion(peer, version);
}

void distribution::onPull(instance_id sender, const config_pull &pull)
{
    m_exchange.onPull(sender, pull);
}

void distribution::onPage(instance_id sender, const config_page &page)
{
    m_exchange.onPage(sender, page);
}

void distribution::submit(config_patch patch, submit_handler handler)
{
    m_submitter.submit(std::move(patch), std::move(handler));
}

void distribution::readAudit(audit_handler handler)
{
    m_auditReader.read(std::move(handler));
}

void distribution::setAppliedHandler(config_replica::applied_handler handler)
{
    m_replica.setAppliedHandler(std::move(handler));
}

bool distribution::isLoaded() const
{
    return m_reader.isLoaded() || m_replica.version() > 0;
}

/** Rendezvous hashing over the domain's ready members; all agree without any messages. */
bool distribution::isReader()
{
    if (m_readerRevision == m_board.membersRevision)
        return m_isReader;
    m_readerRevision = m_board.membersRevision;
    const member &self = m_board.self;
    const std::uint64_t own = mixHash(idValue(self.domain), idValue(self.id));
    std::size_t before = 0;
    for (const auto &[id, other] : m_board.members) {
        const bool isRival =
            id != self.id && other.domain == self.domain && other.state == member_state::Ready;
        if (isRival && mixHash(idValue(self.domain), idValue(id)) < own)
            ++before;
    }
    m_isReader = before < m_settings.readersPerDomain;
    return m_isReader;
}

std::uint64_t distribution::storeCallCount() const
{
    return m_reader.callCount() + m_submitter.callCount() + m_auditReader.callCount();
}

} // namespace chicoryhead
