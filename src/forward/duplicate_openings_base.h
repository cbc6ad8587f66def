/**
 * @file duplicate_openings_base.h
 * Opening packets that were sent to more than one upstream.
 *
 * Each upstream that accepts the flow repeats its answer, with the last tag that it received, until
 * the answer is acknowledged. Callers send the tag of the answer that they received last. So an
 * upstream that the flow is not open at must get the tag of the other one: every instance then
 * steers the flow correctly, also without having seen it being opened.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace chicoryhead {

/** Bounded set of these opening packets. */
class duplicate_openings
{
public:
    /// An upstream repeats its answer for 9.4 s.
    static constexpr monotonic_time maxAge = std::chrono::seconds(10);
    /// About 130 kB. The flows of further ones are not corrected.
    static constexpr std::size_t maxEntries = 1024;
    /// Three packets at other upstreams within two seconds may break a flow.
    static constexpr unsigned maxCorrections = 2;

    /** Keeps an opening packet of which a further copy was sent to another upstream. */
    void add(const flow_key &flow, std::uint32_t sequence, std::span<const std::byte> bytes,
             monotonic_time now);

    /**
     * Takes one of the flow's corrections.
     * @param sequence of the flow's opening packet.
     * @return null if the packet is not known or no correction is left; valid until the next call
     * of a member that is not const.
     */
    const opening_bytes *takeCorrection(const flow_key &flow, std::uint32_t sequence);

    /** Removes old entries; called about once per second. */
    void expire(monotonic_time now);

private:
    struct kept_opening
    {
        std::uint32_t sequence = 0;
        unsigned corrections = 0;
        monotonic_time addedAt {0};
        opening_bytes bytes {};
    };
    struct key_hash
    {
        std::size_t operator()(const flow_key &key) const { return hashFlow(key); }
    };

    std::unordered_map<flow_key, kept_opening, key_hash> m_entries;
};

} // namespace chicoryhead
