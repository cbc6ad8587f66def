/**
 * @file slot_plan.cpp
 * Planning of slot tables: largest remainders, with ties in favour of present owners.
 */

#include "slot_plan_func.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cassert>
#include <cstdint>
#include <vector>

namespace chicoryhead {

namespace {

/** Share of one active upstream. */
struct slot_share
{
    upstream_id id = noUpstream;
    std::size_t target = 0;      ///< slots it should be `next` of
    std::size_t current = 0;     ///< slots it is `next` of
    std::uint64_t remainder = 0; ///< fraction of a slot above target, times the sum of weights
};

constexpr std::size_t releaseClasses = 4;

/** Weight of an upstream; 0 can't come from a valid patch and counts as the lowest. */
std::uint64_t weightOf(const upstream_config &upstream)
{
    return std::max<std::uint64_t>(upstream.weight, 1);
}

/** Plans one table. */
class slot_planner
{
public:
    explicit slot_planner(service_config &service) : m_slots(service.slots)
    {
        std::uint64_t totalWeight = 0;
        for (const auto &upstream : service.upstreams) {
            if (upstream.mode == upstream_mode::Active)
                totalWeight += weightOf(upstream);
        }
        for (const auto &upstream : service.upstreams) {
            if (upstream.mode != upstream_mode::Active)
                continue;
            assert(totalWeight > 0);
            const std::uint64_t exact = m_slots.size() * weightOf(upstream);
            m_shares.push_back({upstream.id, exact / totalWeight, 0, exact % totalWeight});
        }
        for (const auto &slot : m_slots) {
            if (slot_share *share = find(slot.next))
                ++share->current;
        }
        addRemainders();
    }

    void plan()
    {
        std::vector<std::size_t> moving = release();
        // A slot whose former holder has room goes back to it, which ends the move.
        std::erase_if(moving, [this](std::size_t index) {
            slot_share *share = find(m_slots[index].holder);
            const bool hasRoom = share != nullptr && share->current < share->target;
            if (hasRoom)
                give(index, *share);
            return hasRoom;
        });
        auto share = m_shares.begin();
        for (const std::size_t index : moving) {
            while (share != m_shares.end() && share->current >= share->target)
                ++share;
            if (share == m_shares.end())
                move(index, noUpstream);
            else
                give(index, *share);
        }
        for (auto &slot : m_slots) {
            if (slot.holder == noUpstream)
                slot.holder = slot.next;
        }
    }

private:
    slot_share *find(upstream_id id)
    {
        const auto at = std::lower_bound(
            m_shares.begin(), m_shares.end(), id,
            [](const slot_share &share, upstream_id value) { return share.id < value; });
        return at != m_shares.end() && at->id == id ? &*at : nullptr;
    }

    /** Gives the slots left over by rounding to those that own more than their share already. */
    void addRemainders()
    {
        std::size_t left = m_shares.empty() ? 0 : m_slots.size();
        std::vector<slot_share *> order;
        for (auto &share : m_shares) {
            left -= share.target;
            if (share.remainder > 0)
                order.push_back(&share);
        }
        std::stable_sort(order.begin(), order.end(), [](const slot_share *a, const slot_share *b) {
            const bool aOwns = a->current > a->target;
            const bool bOwns = b->current > b->target;
            return aOwns != bOwns ? aOwns : a->remainder > b->remainder;
        });
        for (std::size_t i = 0; i < left; ++i)
            ++order[i]->target;
    }

    /** How much a slot should be kept by its `next`; lower classes are released first. */
    std::size_t releaseClass(const slot_entry &slot)
    {
        const slot_share *holder = find(slot.holder);
        if (slot.holder != slot.next && holder != nullptr && holder->current < holder->target)
            return 0;
        if (slot.holder != slot.next)
            return 1;
        return slot.tracked ? 2 : 3;
    }

    /** Slots that change their `next`, ascending; takes them out of the counts. */
    std::vector<std::size_t> release()
    {
        std::vector<std::size_t> moving;
        std::array<std::vector<std::size_t>, releaseClasses> classes;
        for (std::size_t i = 0; i < m_slots.size(); ++i) {
            const slot_share *share = find(m_slots[i].next);
            if (share == nullptr)
                moving.push_back(i);
            else if (share->current > share->target)
                classes[releaseClass(m_slots[i])].push_back(i);
        }
        for (const auto &candidates : classes) {
            for (const std::size_t index : candidates) {
                slot_share *share = find(m_slots[index].next);
                if (share->current <= share->target)
                    continue;
                --share->current;
                moving.push_back(index);
            }
        }
        std::sort(moving.begin(), moving.end());
        return moving;
    }

    void give(std::size_t index, slot_share &share)
    {
        ++share.current;
        move(index, share.id);
    }

    void move(std::size_t index, upstream_id next)
    {
        slot_entry &slot = m_slots[index];
        if (slot.next == next)
            return;
        // Flows that were placed at the former `next` are recorded and still open.
        if (slot.next != noUpstream && slot.next != slot.holder)
            slot.tracked = true;
        slot.next = next;
    }

    std::vector<slot_entry> &m_slots;
    std::vector<slot_share> m_shares; ///< active upstreams, ascending by id
};

} // namespace

std::size_t slotCountFor(std::size_t upstreams)
{
    return std::clamp(std::bit_ceil(upstreams * slotsPerUpstream), minSlots, maxSlots);
}

void planSlots(service_config &service)
{
    slot_planner(service).plan();
}

void releaseSlots(service_config &service, upstream_id upstream)
{
    for (auto &slot : service.slots) {
        if (slot.holder != upstream)
            continue;
        slot.holder = slot.next;
        slot.tracked = true;
    }
}

void settleSlots(service_config &service)
{
    for (auto &slot : service.slots) {
        const upstream_config *holder = service.findUpstream(slot.holder);
        if (holder != nullptr && holder->mode == upstream_mode::Leaving)
            continue;
        slot.holder = slot.next;
        slot.tracked = false;
    }
}

} // namespace chicoryhead
