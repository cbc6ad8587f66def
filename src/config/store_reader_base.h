/**
 * @file store_reader_base.h
 * Reads the configuration from the platform's key-value service.
 */

#pragma once

#include "config_replica_base.h"
#include "distribution_type.h"
#include "store_caller_base.h"

#include <cstddef>
#include <functional>
#include <string>

namespace chicoryhead {

/**
 * Loads the newest snapshot when it is too far behind, then follows the log: one blocking watch on
 * head and a poll of log/<v+1>, which finds what a watch that failed silently misses.
 */
class store_reader
{
public:
    store_reader(config_replica &replica, key_value_store &store, const clock_source &clock,
                 random_source &random, const distribution_settings &settings);

    /**
     * Starts and continues the calls that are due.
     * @param isReader whether this instance reads for its failure domain.
     */
    void tick(bool isReader);

    /** Whether the log was once read to its end. */
    bool isLoaded() const { return m_isLoaded; }
    /** Whether the last call to the store failed. */
    bool isFailing() const { return m_caller.isFailing(); }
    /** Queue for the maintenance of the store, which shares the one call at a time. */
    store_caller &caller() { return m_caller; }
    /** Calls to the store so far. */
    std::uint64_t callCount() const { return m_caller.callCount() + m_watcher.callCount(); }

private:
    void poll();
    void onPolled(config_version wanted, const result<key_value> &read);
    bool applyEntry(const key_value &value);
    void readHead();
    void onHead(const result<key_value> &read);
    void readSnapshot(config_version version, std::size_t part);
    void onSnapshotPart(config_version version, std::size_t part, const result<key_value> &read);
    void loadSnapshot();
    void startWatch();
    void advanceHead();

    config_replica &m_replica;
    const clock_source &m_clock;
    const distribution_settings m_settings;
    store_caller m_caller;  ///< polls, loading and maintenance
    store_caller m_watcher; ///< the blocking watch
    bool m_isLoaded = false;
    bool m_isBusy = false; ///< a poll or a load is under way
    bool m_isReader = false;
    monotonic_time m_nextPoll {0};
    monotonic_time m_nextWatch {0};
    monotonic_time m_nextReload {0};
    config_version m_head = 0; ///< highest value of head that was read
    std::uint64_t m_headIndex = 0;
    config_version m_headValue = 0; ///< value at m_headIndex
    std::string m_snapshot;         ///< parts read so far
    std::size_t m_snapshotParts = 0;
};

} // namespace chicoryhead
