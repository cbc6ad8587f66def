/**
 * @file audit_reader_base.h
 * Reads the audit trail from the store.
 */

#pragma once

#include "config_json_func.h"
#include "distribution_type.h"
#include "store_caller_base.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chicoryhead {

/** Called once with the entries, ascending by version. */
using audit_handler = std::function<void(result<std::vector<audit_entry>>)>;

/** Reads the newest entries: first those of the log, then those that were trimmed from it. */
class audit_reader
{
public:
    audit_reader(key_value_store &store, const clock_source &clock, random_source &random,
                 const distribution_settings &settings);

    /** Queues a request; fails with the store's error. */
    void read(audit_handler handler);
    /** Drives deadlines. */
    void tick() { m_caller.tick(); }
    /** Calls to the store so far. */
    std::uint64_t callCount() const { return m_caller.callCount(); }

private:
    void list(const std::string &prefix);
    void readNext(const std::string &prefix);
    bool take(const std::string &prefix, const key_value &value);
    void finish(std::error_code code);

    const distribution_settings m_settings;
    store_caller m_caller;
    std::deque<audit_handler> m_queue;  ///< the first one is being served
    std::vector<config_version> m_keys; ///< numbers of the keys to read, ascending
    std::map<config_version, audit_entry> m_entries;
};

} // namespace chicoryhead
