/**
 * @file fleet_store_base.h
 * The store that holds what all instances have to know, in the terms of this project.
 */

#pragma once

#include "core/core_error.h"
#include "core/core_type.h"
#include "directory/directory_base.h"
#include "routing/routing_base.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chicoryhead {

/** Number of the last change of the store that a state includes; 0 for none. */
using store_revision = std::uint64_t;

/** An upstream's announcement was removed, or can't be used any more. */
struct upstream_withdrawal
{
    std::string name;
    bool isMalformed = false; ///< it was overwritten with something that can't be read
};

/** An instance of the system as it registered itself. */
struct instance_registration
{
    std::string name;
    std::string domain;
    endpoint peerAddress; ///< where it receives messages of other instances

    bool operator==(const instance_registration &) const = default;
};

/** An instance's registration was removed. */
struct instance_deregistration
{
    std::string name;
};

/** One change in the store. */
using fleet_change = std::variant<routing_config, upstream_announcement, upstream_withdrawal,
                                  instance_registration, instance_deregistration>;

/** Changes up to a revision. */
struct fleet_changes
{
    store_revision revision = 0;
    std::vector<fleet_change> changes; ///< in the order in which they were made
    /// Revision at which the published snapshot was replaced; 0 if it was not.
    store_revision snapshotRevision = 0;
};

/** A state of the fleet that an instance published for those that start. */
struct published_snapshot
{
    store_revision revision = 0; ///< at which it was published; its content is older
    std::vector<std::byte> bytes;
};

/**
 * Access to the store. Handlers are called from the event loop, at most once, never from within
 * the call that takes them. A call that is cancelled calls its handler no more.
 */
class fleet_store
{
public:
    /**
     * Gets the changes, or error::HistoryLost (watch only), error::Throttled,
     * error::StoreUnavailable, error::Timeout or error::Malformed.
     */
    using handler = std::function<void(result<fleet_changes>)>;

    /** Gets the published snapshot; error::NotFound, or the errors of a handler. */
    using snapshot_handler = std::function<void(result<published_snapshot>)>;

    /** Gets success, or the error; error::OutcomeUnknown if the write may have been done. */
    using write_handler = std::function<void(std::error_code)>;

    virtual ~fleet_store() = default;

    /** Reads everything. The revision is one that all later changes are after. */
    virtual void load(handler done) = 0;

    /**
     * Reads announcements of upstreams alone, the first page of them, beside a load that is under
     * way. Only one such call may be under way.
     */
    virtual void loadUpstreams(handler done) = 0;

    /**
     * Reads the newest snapshot that an instance published; it may be seconds old. Only one such
     * call may be under way; it may be beside a load.
     */
    virtual void readSnapshot(snapshot_handler done) = 0;

    /**
     * Publishes a snapshot in place of that of a revision; error::VersionConflict if another one
     * was published since. Only one may be under way; it may be beside another write.
     * @param replaced revision of the snapshot that is replaced; 0 for none.
     */
    virtual void publishSnapshot(std::span<const std::byte> snapshot, store_revision replaced,
                                 write_handler done) = 0;

    /** Waits for changes after a revision; an empty answer comes when there are none in time. */
    virtual void watch(store_revision after, std::chrono::milliseconds wait, handler done) = 0;

    /** Abandons a load or watch that is under way. */
    virtual void cancel() = 0;

    /**
     * Registers this instance; replaces an earlier registration under its name. Only one write may
     * be under way.
     */
    virtual void registerInstance(const instance_registration &own, write_handler done) = 0;

    /** Removes the registration of an instance. */
    virtual void removeInstance(const std::string &name, write_handler done) = 0;
};

} // namespace chicoryhead
