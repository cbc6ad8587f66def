/**
 * @file directory_base.h
 * Registry of the upstreams known to this instance and the states they announced.
 *
 * Packets of a flow carry a steering tag that is computed from the name of the flow's upstream, so
 * an instance needs no per-flow state: it looks up the tag here. Records are kept for some time
 * after their upstream is gone, because flows that are still open are forwarded to it.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicoryhead {

/** State that an upstream announces about itself. */
struct upstream_announcement
{
    std::string name;         ///< unique among all upstreams; key in the directory
    std::uint64_t wireId = 0; ///< prepended to forwarded packets to identify the upstream
    std::string service;
    endpoint address;
    std::string domain;               ///< failure domain
    unsigned slots = 1;               ///< number of requests it processes concurrently
    bool isDraining = false;          ///< keeps its flows but accepts no new ones
    monotonic_time warmupLeft {0};    ///< remaining time for which it is slow after its start
    std::int64_t startedAtMs = 0;     ///< wall-clock time of its start; 0 if it is not announced
    std::uint64_t sequenceNumber = 0; ///< counted up by the upstream; reset by a restart

    bool operator==(const upstream_announcement &) const = default;
};

/** Lifecycle state of an upstream; decides whether it may get new flows. */
enum class lifecycle_state : std::uint8_t {
    Ready,    ///< accepts new flows
    Draining, ///< announced that it is shutting down
    Missing,  ///< announcement expired, perhaps only because of a store outage
    Gone,     ///< no longer announced
};

/** Name of a lifecycle state in logs and on status pages. */
std::string_view toString(lifecycle_state lifecycle);

/** Record of one upstream. */
struct upstream_record
{
    upstream_id id = noUpstream;
    upstream_announcement announced;
    steering_tag tag = noTag; ///< never noTag
    lifecycle_state lifecycle = lifecycle_state::Ready;
    monotonic_time changedAt {0};    ///< last change of lifecycle state, or restart
    monotonic_time warmupEndsAt {0}; ///< the upstream is slow until then
    bool hasTagCollision = false;    ///< an older record has the same tag; no new flows
    bool isEvacuated = false;        ///< its failure domain is being evacuated; no new flows
};

/** Whether new flows may be placed on an upstream, not considering its health. */
bool takesNewFlows(const upstream_record &record);

/** Result of an update to a record, for logs and for owners of per-upstream state. */
struct directory_change
{
    upstream_id id = noUpstream;
    bool isRestart = false; ///< the upstream restarted and has lost its flows
};

/** Interface for owners of per-upstream state. */
class upstream_listener
{
public:
    virtual ~upstream_listener() = default;

    /** Discards the state of an upstream that was removed or restarted. */
    virtual void forget(upstream_id upstream) = 0;
};

/// Announcements that expired during a store outage are renewed within this time after the store is
/// available again. The platform guarantees two seconds, regardless of a deployment's bounds.
inline constexpr monotonic_time defaultReannounceTimeout = std::chrono::milliseconds(2200);

/** Retention times of records. */
struct directory_settings
{
    /// Maximum age of a flow; a record is kept for this time after its upstream is gone.
    monotonic_time flowLifetime = std::chrono::seconds(60);
    /// Missing upstreams are Gone if they are not announced again within this time.
    monotonic_time reannounceTimeout = defaultReannounceTimeout;
};

/** Upstream records, indexed by name, steering tag and service. */
class upstream_directory
{
public:
    explicit upstream_directory(directory_settings settings = {}) : m_settings(settings) { }

    /** Replaces the retention times. */
    void setSettings(const directory_settings &settings) { m_settings = settings; }

    /**
     * Whether an announcement is older than the record of its upstream. The announcement of an
     * upstream that restarted looks the same if it doesn't say when it started.
     */
    bool isOutdated(const upstream_announcement &announced) const;

    /** Adds an upstream or updates its record. */
    directory_change announce(const upstream_announcement &announced, monotonic_time now);

    /**
     * Records that an announcement was removed.
     * @param mayReturn the announcement may have expired only because of a store outage, so the
     * upstream may be announced again.
     */
    directory_change withdraw(const std::string &name, bool mayReturn, monotonic_time now);

    /** Sets the failure domains whose upstreams, also those announced later, get no new flows. */
    void setEvacuatedDomains(std::set<std::string> domains);

    /**
     * Marks records Gone that were Missing for too long, and removes Gone records that no open flow
     * can use any more.
     * @return ids of the removed records.
     */
    std::vector<upstream_id> expire(monotonic_time now);

    /** Returns the record with a steering tag, or null if there is none. */
    const upstream_record *findByTag(steering_tag tag) const;

    /** Returns the record with an id, or null if it was removed. */
    const upstream_record *find(upstream_id id) const;

    /** Returns the record with a name, or null if there is none. */
    const upstream_record *find(const std::string &name) const;

    /** Returns the upstreams of a service, Gone ones included, in the order they were added. */
    std::span<const upstream_id> findByService(const std::string &service) const;

    /** Names of all upstreams that are not Gone. */
    std::vector<std::string> announcedNames() const;

    /**
     * Checksum of the upstreams that are announced, in no particular order; equal on instances that
     * have the same announcements.
     */
    std::uint32_t checksum() const;

    /** All records in no particular order; the pointers are valid until the next change. */
    std::vector<const upstream_record *> records() const;

    /**
     * Gone upstreams whose address has been announced by another upstream. An address has a single
     * owner, so the old upstream no longer exists.
     */
    std::vector<upstream_id> upstreamsWithReusedAddress() const;

    std::size_t size() const { return m_records.size(); }

private:
    upstream_record &addRecord(const upstream_announcement &announced);
    void moveToService(upstream_record &record, const std::string &service);
    void indexTag(upstream_record &record);
    void reassignTag(steering_tag tag);
    void removeRecord(upstream_id id);

    directory_settings m_settings;
    std::unordered_map<upstream_id, upstream_record> m_records;
    std::unordered_map<std::string, upstream_id> m_byName;
    /// If several records have the same tag, refers to the one that was added first.
    std::unordered_map<steering_tag, upstream_id> m_byTag;
    std::map<std::string, std::vector<upstream_id>> m_byService;
    std::set<std::string> m_evacuatedDomains; ///< isEvacuated of each record agrees with it
    std::uint32_t m_lastId = 0;
};

/** Computes the steering tag of an upstream name; the same on all instances and in all releases. */
steering_tag tagOfName(std::string_view name);

/**
 * Converts a tag to the form carried in the packets of a flow. It is bound to the flow's service
 * address, so that a value copied from a flow to another address does not match any upstream.
 * Applying it twice returns the original tag.
 */
steering_tag bindTag(steering_tag tag, const endpoint &service);

} // namespace chicoryhead
