/**
 * @file homes_base.h
 * The two home instances of a flow.
 */

#pragma once

#include "blackboard/blackboard_type.h"
#include "core/core_base.h"
#include "core/core_type.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace chicoryhead {

/** The homes of a flow; noInstance where there are too few ready members. */
struct flow_homes
{
    instance_id first = noInstance;
    instance_id second = noInstance;

    bool operator==(const flow_homes &) const = default;
};

/** Number of buckets; fixed, because instances with different member counts must agree. */
inline constexpr std::size_t homeBucketCount = 65'536;

/** Bucket of a flow: all flows of a bucket have the same homes. */
constexpr std::size_t homeBucket(flow_hash hash)
{
    return static_cast<std::size_t>(hash >> 48);
}

/** Rendezvous score of an instance for a flow; the ready member with the highest is home 1. */
std::uint64_t homeScore(flow_hash hash, instance_id id);

/** Change of the homes of one bucket. */
struct home_change
{
    std::size_t bucket = 0;
    flow_homes before;
};

/**
 * Homes by rendezvous hashing of (bucket, instance id) over the ready members.
 *
 * Buckets are filled at first use and corrected when the members change: a new member costs one
 * score per filled bucket, a lost one a search for the buckets whose home it was.
 */
class home_table
{
public:
    /** @param keepChanges whether takeChanges() will be called. */
    home_table(const blackboard &board, const clock_source &clock, bool keepChanges = false);

    /** Homes of a flow under the members on the blackboard now. */
    flow_homes flowHomes(flow_hash hash) { return bucketHomes(homeBucket(hash)); }

    /** Homes of the flows of a bucket. */
    flow_homes bucketHomes(std::size_t bucket);

    /** When the homes of a flow last changed, or may have changed, at this instance. */
    monotonic_time changedAt(flow_hash hash);

    /** Homes of a flow once a member is ready as well. */
    flow_homes homesWith(flow_hash hash, const member &joining);

    /** Changes since the last call; a bucket that changed twice appears once, as it was first. */
    std::vector<home_change> takeChanges();

private:
    struct candidate
    {
        instance_id id = noInstance;
        domain_id domain {0};
        bool operator==(const candidate &) const = default;
        bool operator<(const candidate &other) const
        {
            return std::pair(id, domain) < std::pair(other.id, other.domain);
        }
    };

    struct bucket
    {
        candidate first;
        candidate second;
        std::uint32_t changedAt = 0; ///< flow_time
        bool filled = false;
        bool inChanges = false; ///< in m_changes
    };

    void refresh();
    void fill(std::size_t index);
    static void add(bucket &homes, std::size_t index, const candidate &added);
    void noteChange(std::size_t index, const bucket &before);

    const blackboard &m_board;
    const clock_source &m_clock;
    bool m_keepChanges;
    bool m_hasRevision = false;
    std::uint64_t m_revision = 0;
    std::vector<candidate> m_ready; ///< ready members, ascending by id
    std::vector<bucket> m_buckets;  ///< homeBucketCount
    std::vector<home_change> m_changes;
    std::vector<std::uint64_t> m_scores; ///< of m_ready, while a bucket is filled
};

} // namespace chicoryhead
