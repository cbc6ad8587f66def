/**
 * @file ledger.cpp
 * States of requests at their home, and the handover of entries.
 */

#include "core/codec_func.h"
#include "core/core_error.h"
#include "ledger_base.h"
#include "steering/homes_base.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace chicoryhead {

namespace {

constexpr std::array<std::string_view, 4> stateNames {"refused", "cancelled", "passed", "unknown"};
constexpr std::uint8_t entriesFormat = 1;
/// One peer message has at most 1,200 bytes; an entry takes 29.
constexpr std::size_t maxEntriesPerMessage = 64;
constexpr std::size_t refusalReserve = 8; ///< divisor: an eighth is kept for refusals

/** Entries of one message. */
struct entry_list
{
    std::vector<ledger_entry> entries;
};

template<typename Archive>
void save(Archive &archive, const entry_list &list)
{
    saveBounded(archive, list.entries);
}

template<typename Archive>
void load(Archive &archive, entry_list &list)
{
    loadBounded(archive, list.entries, maxEntriesPerMessage);
}

request_outcome outcomeOf(ledger_state state)
{
    return state == ledger_state::Refused || state == ledger_state::Cancelled
        ? request_outcome::Refused
        : request_outcome::Unknown;
}

std::uint64_t bitOf(const request_frame &frame)
{
    return std::uint64_t {1} << frame.part;
}

std::uint64_t allParts(const request_frame &frame)
{
    return ~std::uint64_t {0} >> (maxRequestParts - frame.partCount);
}

bool hasValidParts(const request_frame &frame)
{
    return frame.partCount <= maxRequestParts && frame.part < frame.partCount;
}

} // namespace

std::string_view toString(ledger_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::vector<std::byte> encodeLedgerEntries(std::span<const ledger_entry> entries)
{
    return encodeBinary(entriesFormat, entry_list {{entries.begin(), entries.end()}});
}

result<std::vector<ledger_entry>> decodeLedgerEntries(std::span<const std::byte> bytes)
{
    auto list = decodeBinary<entry_list>(entriesFormat, bytes);
    if (!list)
        return list.error();
    for (const ledger_entry &entry : list.value().entries) {
        if (entry.state > ledger_state::Unknown)
            return error::Malformed;
    }
    return std::move(list.value().entries);
}

request_ledger::request_ledger(const clock_source &clock, instance_id self,
                               ledger_settings settings)
    : m_clock(clock), m_self(self), m_settings(settings), m_lastLoss(clock.now())
{
}

ledger_verdict request_ledger::onRequest(flow_hash hash, const request_frame &frame)
{
    const request_key key {hash, frame.requestId};
    if (frame.remainingMs == 0 || !hasValidParts(frame))
        return refuse(hash, frame);
    if (record *entry = find(key)) {
        if (entry->state == ledger_state::Passed)
            return passPart(key, *entry, frame);
        if (entry->state == ledger_state::Cancelled)
            return answerCancelled(key, *entry, frame);
        return {false, outcomeOf(entry->state)};
    }
    if (frame.attempt > 0 || isOrphaned(hash))
        return settle(key, ledger_state::Unknown, keepUntil(frame));
    record *entry = store(key, {ledger_state::Passed, 0, keepUntil(frame)});
    if (!entry)
        return settle(key, ledger_state::Refused, keepUntil(frame));
    return passPart(key, *entry, frame);
}

ledger_verdict request_ledger::onCancel(flow_hash hash, const request_frame &frame)
{
    const request_key key {hash, frame.requestId};
    record *entry = find(key);
    if (entry && entry->state == ledger_state::Passed) {
        entry->state = ledger_state::Unknown;
        publish(key, *entry);
        return {true, request_outcome::Unknown};
    }
    if (entry)
        return {false, outcomeOf(entry->state)};
    if (isHistoryComplete())
        return settle(key, ledger_state::Cancelled, keepUntil(frame));
    // A lost home may have passed the request on, so the cancel goes to the upstream as well.
    settle(key, frame.attempt > 0 ? ledger_state::Unknown : ledger_state::Cancelled,
           keepUntil(frame));
    return {true, request_outcome::Unknown};
}

ledger_verdict request_ledger::refuse(flow_hash hash, const request_frame &frame)
{
    const request_key key {hash, frame.requestId};
    if (record *entry = find(key)) {
        if (entry->state == ledger_state::Cancelled)
            return answerCancelled(key, *entry, frame);
        const bool isCopy =
            frame.remainingMs > 0 && hasValidParts(frame) && (entry->parts & bitOf(frame)) != 0;
        if (entry->state == ledger_state::Passed && isCopy)
            return {};
        if (entry->state == ledger_state::Passed) {
            entry->state = ledger_state::Unknown;
            publish(key, *entry);
        }
        return {false, outcomeOf(entry->state)};
    }
    const bool mayHaveRun = frame.attempt > 0 || isOrphaned(hash);
    return settle(key, mayHaveRun ? ledger_state::Unknown : ledger_state::Refused,
                  keepUntil(frame));
}

void request_ledger::onHomeLost(instance_id member)
{
    m_lastLoss = m_clock.now();
    m_lostHomes[member] = m_lastLoss;
}

std::vector<ledger_entry>
request_ledger::collect(const std::function<bool(flow_hash)> &isWanted) const
{
    using std::chrono::milliseconds;
    std::vector<ledger_entry> entries;
    const auto now = m_clock.now();
    for (const auto &[key, entry] : m_entries) {
        if (entry.keepUntil <= now || !isWanted(key.hash))
            continue;
        const auto left = std::chrono::ceil<milliseconds>(entry.keepUntil - now);
        entries.push_back(
            {key, entry.state, entry.parts, static_cast<std::uint32_t>(left.count())});
    }
    return entries;
}

void request_ledger::onHandover(const ledger_entry &entry)
{
    const auto limit = m_settings.maxDeadline + m_settings.keepAfterDeadline;
    const monotonic_time keep = std::chrono::milliseconds(entry.keepMs);
    const auto until = m_clock.now() + std::min(keep, limit);
    record *own = find(entry.key);
    if (!own) {
        store(entry.key, {entry.state, entry.parts, until});
        return;
    }
    // One home passed the request on while the other told the caller "not run" or "unknown".
    const bool isConflict =
        own->state != entry.state && std::max(own->state, entry.state) >= ledger_state::Passed;
    own->state = isConflict ? ledger_state::Unknown : std::max(own->state, entry.state);
    own->parts |= entry.parts;
    extend(entry.key, *own, until);
}

void request_ledger::tick()
{
    const auto now = m_clock.now();
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        m_entries.erase(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
    std::erase_if(m_lostHomes, [&](const auto &item) {
        return now - item.second >= m_settings.duplicateLifetime;
    });
}

request_ledger::record *request_ledger::find(const request_key &key)
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

request_ledger::record *request_ledger::store(const request_key &key, const record &entry)
{
    const bool isRefusal = entry.state == ledger_state::Refused;
    const std::size_t reserve = isRefusal ? 0 : m_settings.maxEntries / refusalReserve;
    if (m_entries.size() + reserve >= m_settings.maxEntries)
        return nullptr;
    record &stored = m_entries[key];
    stored = entry;
    m_expiry.emplace(entry.keepUntil, key);
    return &stored;
}

void request_ledger::extend(const request_key &key, record &entry, monotonic_time keepUntil)
{
    if (keepUntil <= entry.keepUntil)
        return;
    const auto [first, last] = m_expiry.equal_range(entry.keepUntil);
    const auto found =
        std::find_if(first, last, [&](const auto &item) { return item.second == key; });
    if (found != last)
        m_expiry.erase(found);
    entry.keepUntil = keepUntil;
    m_expiry.emplace(keepUntil, key);
}

void request_ledger::publish(const request_key &key, const record &entry)
{
    if (!m_sink)
        return;
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(entry.keepUntil - m_clock.now()).count();
    const auto keepMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
    m_sink->onEntry({key, entry.state, entry.parts, keepMs});
}

ledger_verdict request_ledger::settle(const request_key &key, ledger_state state,
                                      monotonic_time keepUntil)
{
    const record *entry = store(key, {state, 0, keepUntil});
    // Without an entry a copy of the request could run after the caller was told "not run".
    if (!entry)
        return {false, request_outcome::Unknown};
    publish(key, *entry);
    return {false, outcomeOf(state)};
}

ledger_verdict request_ledger::passPart(const request_key &key, record &entry,
                                        const request_frame &frame)
{
    if ((entry.parts & bitOf(frame)) != 0) {
        // Nothing of a later attempt can be passed on any more, so its outcome is known now:
        // the answer may still come, but nobody here can say whether it will.
        const bool isRetry = frame.attempt > entry.attempt && entry.parts == allParts(frame);
        return {false, isRetry ? request_outcome::Unknown : request_outcome::None};
    }
    entry.parts |= bitOf(frame);
    entry.attempt = std::max(entry.attempt, frame.attempt);
    extend(key, entry, keepUntil(frame));
    publish(key, entry);
    return {true, request_outcome::None};
}

ledger_verdict request_ledger::answerCancelled(const request_key &key, record &entry,
                                               const request_frame &frame)
{
    const bool mayHaveRun = isOrphaned(key.hash) || (frame.attempt > 0 && !isHistoryComplete());
    if (mayHaveRun)
        entry.state = ledger_state::Unknown;
    publish(key, entry);
    return {false, outcomeOf(entry.state)};
}

monotonic_time request_ledger::keepUntil(const request_frame &frame) const
{
    const monotonic_time remaining = std::chrono::milliseconds(frame.remainingMs);
    return m_clock.now() + std::min(remaining, m_settings.maxDeadline)
        + m_settings.keepAfterDeadline;
}

bool request_ledger::isOrphaned(flow_hash hash) const
{
    const auto now = m_clock.now();
    const auto own = homeScore(hash, m_self);
    return std::any_of(m_lostHomes.begin(), m_lostHomes.end(), [&](const auto &item) {
        return now - item.second < m_settings.duplicateLifetime
            && homeScore(hash, item.first) > own;
    });
}

bool request_ledger::isHistoryComplete() const
{
    return m_clock.now() - m_lastLoss > m_settings.maxDeadline;
}

} // namespace chicoryhead
