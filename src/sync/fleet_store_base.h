/**
 * @file fleet_store_base.h
 * Interface of the store that all instances share, independent of the platform's protocol.
 */

#pragma once

#include "core/core_error.h"
#include "core/core_type.h"
#include "directory/directory_base.h"
#include "routing/routing_base.h"
#include "store_revision_type.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chicoryhead {

/** The announcement of an upstream was removed or became invalid. */
struct upstream_withdrawal
{
    std::string name;
    bool isMalformed = false; ///< it was overwritten with a value that can't be decoded
};

/** Registration of an instance, as the instance made it. */
struct instance_registration
{
    std::string name;
    std::string domain;
    endpoint peerAddress; ///< receives the messages of other instances

    bool operator==(const instance_registration &) const = default;
};

/** The registration of an instance was removed. */
struct instance_deregistration
{
    std::string name;
};

/** Operators started or ended the evacuation of a failure domain. */
struct domain_evacuation
{
    std::string domain;
    bool isEnded = false;
};

/** Failure domains being evacuated as of a revision; the set with the highest revision applies. */
struct evacuated_domains
{
    store_revision revision; ///< the set includes all changes up to it
    std::set<std::string> names;
};

/** One change in the store. */
using fleet_change =
    std::variant<routing_config, upstream_announcement, upstream_withdrawal, instance_registration,
                 instance_deregistration, domain_evacuation>;

/** Changes up to and including a revision. */
struct fleet_changes
{
    store_revision revision;
    std::vector<fleet_change> changes; ///< in the order in which they were made
    /// Revision at which the published snapshot was replaced by another one; 0 if it was not.
    store_revision snapshotRevision {};
};

/** An encoded state that an instance published for instances that start. */
struct published_snapshot
{
    store_revision revision; ///< revision of its publication; the content is older
    std::vector<std::byte> bytes;
};

/**
 * Access to the store. Handlers are called from the event loop, at most once, and never from within
 * the function that they are passed to. The handler of a cancelled call is not called.
 */
class fleet_store
{
public:
    /**
     * Receives the changes, or error::HistoryLost (watch only), error::Throttled,
     * error::StoreUnavailable, error::Timeout or error::Malformed.
     */
    using handler = std::function<void(result<fleet_changes>)>;

    /** Receives the published snapshot, or error::NotFound, or an error as `handler` does. */
    using snapshot_handler = std::function<void(result<published_snapshot>)>;

    /** Receives success or an error; error::OutcomeUnknown if the write may have been applied. */
    using write_handler = std::function<void(std::error_code)>;

    virtual ~fleet_store() = default;

    /** Reads the full state. All changes that it lacks have later revisions than the result. */
    virtual void load(handler done) = 0;

    /**
     * Reads only the first page of the upstreams' announcements, while a load is pending. Only one
     * such call may be pending.
     */
    virtual void loadUpstreams(handler done) = 0;

    /**
     * Reads the newest published snapshot, which may be seconds old. Only one such call may be
     * pending; a load may be pending at the same time.
     */
    virtual void readSnapshot(snapshot_handler done) = 0;

    /**
     * Replaces the published snapshot if it still has the given revision; else
     * error::VersionConflict. Only one such call may be pending; another write may be pending at
     * the same time.
     * @param replaced revision of the snapshot that is replaced; 0 for none.
     */
    virtual void publishSnapshot(std::span<const std::byte> snapshot, store_revision replaced,
                                 write_handler done) = 0;

    /**
     * Waits for changes after a revision; the answer is empty if there are none in time. A store
     * that was restored since may answer with changes of its new epoch.
     */
    virtual void watch(store_revision after, std::chrono::milliseconds wait, handler done) = 0;

    /** Cancels a pending load or watch. */
    virtual void cancel() = 0;

    /**
     * Registers this instance; replaces an earlier registration under its name. Only one write may
     * be pending.
     */
    virtual void registerInstance(const instance_registration &own, write_handler done) = 0;

    /** Removes the registration of an instance. */
    virtual void removeInstance(const std::string &name, write_handler done) = 0;
};

} // namespace chicoryhead
