/**
 * @file distribution_base.h
 * Keeps the configuration of one instance up to date and accepts patches.
 */

#pragma once

#include "audit_reader_base.h"
#include "config_json_func.h"
#include "config_message_type.h"
#include "config_replica_base.h"
#include "config_submitter_base.h"
#include "distribution_type.h"
#include "peer_exchange_base.h"
#include "store_maintainer_base.h"
#include "store_reader_base.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace chicoryhead {

/** Distribution of the configuration, driven by tick() and by messages of peers. */
class distribution
{
public:
    distribution(blackboard &board, const clock_source &clock, random_source &random,
                 key_value_store &store, config_messenger &messenger,
                 const distribution_settings &settings);

    /** Drives timers; called every 10 ms to 100 ms. */
    void tick();

    /** A message of a peer reports the version that the peer has in force. */
    void onPeerVersion(instance_id peer, config_version version);
    /** A peer asks for pages. */
    void onPull(instance_id sender, const config_pull &pull);
    /** A page arrives from a peer. */
    void onPage(instance_id sender, const config_page &page);

    /**
     * Submits a patch; patches of one instance are submitted one after another. The handler runs
     * once, within the submit deadline after the patch's turn has come.
     */
    void submit(config_patch patch, submit_handler handler);

    /** Reads the newest audit entries, ascending by version; fails with the store's error. */
    void readAudit(audit_handler handler);

    /** Called after a version was put in force, to tell peers. */
    void setAppliedHandler(config_replica::applied_handler handler);

    /**
     * Whether a configuration is in force that came from the store, or from a peer. With neither,
     * the instance isn't ready.
     */
    bool isLoaded() const;
    /** Whether this instance reads the store for its failure domain. */
    bool isReader();
    /** Calls to the store so far. */
    std::uint64_t storeCallCount() const;

private:
    blackboard &m_board;
    const distribution_settings m_settings;
    config_replica m_replica;
    store_reader m_reader;
    store_maintainer m_maintainer;
    config_submitter m_submitter;
    audit_reader m_auditReader;
    peer_exchange m_exchange;
    bool m_isReader = true;
    /// Revision of the members that m_isReader was computed for.
    std::uint64_t m_readerRevision = std::numeric_limits<std::uint64_t>::max();
};

} // namespace chicoryhead
