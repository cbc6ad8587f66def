/**
 * @file config_submitter_base.h
 * Submits patches to the versioned log, one at a time.
 */

#pragma once

#include "config_replica_base.h"
#include "distribution_type.h"
#include "store_caller_base.h"
#include "store_layout_func.h"

#include <deque>
#include <functional>
#include <string>

namespace chicoryhead {

/** Called once with the outcome of a patch. */
using submit_handler = std::function<void(const patch_outcome &)>;

/** Accepts patches by creating log keys; resolves lost responses and races. */
class config_submitter
{
public:
    config_submitter(config_replica &replica, key_value_store &store, const clock_source &clock,
                     random_source &random, const distribution_settings &settings);

    /** Queues a patch. */
    void submit(config_patch patch, submit_handler handler);

    /** Ends the submission that passed its deadline. */
    void tick();

    /** Calls to the store so far. */
    std::uint64_t callCount() const { return m_caller.callCount(); }

private:
    struct submission
    {
        config_patch patch;
        submit_handler handler;
        monotonic_time deadline {0};
        log_entry entry;             ///< set once the patch was validated
        std::string value;           ///< encoded entry
        bool isCreateOpen = false;   ///< a create was sent and not answered
        bool mayHaveCreated = false; ///< a create was answered with an unknown outcome
        bool isVerified = false;     ///< the audit trail names no other patch for the version
        bool wasLookedUp = false;    ///< log/<base+1> was read for an earlier acceptance
        config_version head = 0;     ///< as read from the store
        std::uint64_t headIndex = 0;
        monotonic_time headReadAt {0};
    };

    void begin();
    void finish(std::error_code code, config_version version,
                std::vector<config_problem> problems = {});
    void refuseConflict();
    void resume();
    void onReplicaNewer();
    void lookUpEarlier();
    void validate();
    void readHead();
    void create();
    void onCreated(result<bool> created);
    void readBack();
    void onReadBack(const result<key_value> &read);
    void onLateRead(const key_value &value);
    void catchUp();
    void accept();
    void verifyCreated();
    /** Wraps a handler so that it runs only while the same submission is active. */
    template<typename Handler>
    auto guarded(Handler handler);

    config_replica &m_replica;
    const clock_source &m_clock;
    const distribution_settings m_settings;
    store_caller m_caller;
    std::deque<submission> m_queue; ///< the first one is active
    std::uint64_t m_sequence = 0;   ///< raised when a submission ends
    bool m_isActive = false;
};

} // namespace chicoryhead
