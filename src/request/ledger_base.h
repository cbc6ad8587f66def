/**
 * @file ledger_base.h
 * Request ledger of a home: lets each non-idempotent request run at most once.
 */

#pragma once

#include "core/core_base.h"
#include "core/core_type.h"
#include "packet/packet_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicoryhead {

/** What a home did with a request. */
enum class ledger_state : std::uint8_t {
    Refused,   ///< told "not run"; nothing of it was passed on
    Cancelled, ///< cancelled before anything of it was passed on
    Passed,    ///< at least one part was passed on
    Unknown,   ///< may have run; nothing more of it is passed on
};

/** Name of a ledger state for logs and the HTTP interface. */
std::string_view toString(ledger_state state);

/** Identifies a request: ids are unique per caller address and port, hence per flow. */
struct request_key
{
    flow_hash hash = 0;
    std::uint64_t requestId = 0;

    bool operator==(const request_key &) const = default;
};

/** Entry as it is handed over; times are relative, because clocks of instances differ. */
struct ledger_entry
{
    request_key key;
    ledger_state state = ledger_state::Refused;
    std::uint64_t parts = 0;  ///< bit n is set when part n was passed on
    std::uint32_t keepMs = 0; ///< time for which the entry is still kept

    bool operator==(const ledger_entry &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key.hash, key.requestId, state, parts, keepMs);
    }
};

/** Encodes entries as the payload of one peer message. */
std::vector<std::byte> encodeLedgerEntries(std::span<const ledger_entry> entries);

/**
 * Decodes what encodeLedgerEntries() wrote.
 * @return the entries; error::Malformed or error::Unsupported.
 */
result<std::vector<ledger_entry>> decodeLedgerEntries(std::span<const std::byte> bytes);

/** Takes entries that other instances may need, for example a joining home. */
class ledger_sink
{
public:
    virtual ~ledger_sink() = default;

    /** Called whenever an entry is made or changes. */
    virtual void onEntry(const ledger_entry &entry) = 0;
};

/** What the home does with a frame. */
struct ledger_verdict
{
    bool isPassed = false; ///< the frame goes to the flow's upstream
    /// Final outcome that the caller is told at once; None for no answer.
    request_outcome outcome = request_outcome::None;

    bool operator==(const ledger_verdict &) const = default;
};

/** Bounds and times of the ledger. */
struct ledger_settings
{
    std::size_t maxEntries = 65536; ///< an eighth of them is reserved for refusals
    monotonic_time keepAfterDeadline = std::chrono::seconds(30);
    monotonic_time duplicateLifetime = std::chrono::seconds(1); ///< in the network
    /// Longer deadlines are recorded as this one, so that callers cannot hold entries for days.
    /// A later attempt without an entry gets `unknown`, so this is safe.
    monotonic_time maxDeadline = std::chrono::minutes(10);
};

/** Parts of a request that an entry can tell apart; requests with more parts are refused. */
inline constexpr std::uint16_t maxRequestParts = 64;

/**
 * Decides for request and cancel frames of non-idempotent requests at home 1.
 *
 * A refused request id stays refused: an attempt that the caller sent before it learnt of the
 * refusal may arrive afterwards and must not run.
 */
class request_ledger
{
public:
    explicit request_ledger(const clock_source &clock, instance_id self,
                            ledger_settings settings = {});

    /** Sets the sink for changed entries; nullptr for none. */
    void setSink(ledger_sink *sink) { m_sink = sink; }

    /** Decides for a request frame; marks the part as passed on when it is. */
    ledger_verdict onRequest(flow_hash hash, const request_frame &frame);

    /** Decides for a cancel frame. */
    ledger_verdict onCancel(flow_hash hash, const request_frame &frame);

    /**
     * Refuses a request, for example under the limits or without an upstream. Called instead of
     * onRequest().
     * @return Refused, or Unknown when a part of the request was passed on or may have been.
     */
    ledger_verdict refuse(flow_hash hash, const request_frame &frame);

    /**
     * Called when a member stops being a home without a handover (suspected or dead). For the
     * lifetime of a duplicate, first attempts of which it was home 1 get `unknown`.
     */
    void onHomeLost(instance_id member);

    /** Entries of flows for which the predicate holds, for a handover to their new home. */
    std::vector<ledger_entry> collect(const std::function<bool(flow_hash)> &isWanted) const;

    /** Takes an entry of another home. When both have an entry, the more cautious state counts. */
    void onHandover(const ledger_entry &entry);

    /** Removes expired entries; called every 10 ms to 1 s. */
    void tick();

    /** Number of entries. */
    std::size_t size() const { return m_entries.size(); }

private:
    /** One entry. */
    struct record
    {
        ledger_state state = ledger_state::Refused;
        std::uint64_t parts = 0;
        monotonic_time keepUntil {0};
        std::uint8_t attempt = 0; ///< highest attempt of which a part was passed on
    };

    /** Hash of a key. */
    struct key_hash
    {
        std::size_t operator()(const request_key &key) const
        {
            return mixHash(key.hash, key.requestId);
        }
    };

    record *find(const request_key &key);
    record *store(const request_key &key, const record &entry);
    void extend(const request_key &key, record &entry, monotonic_time keepUntil);
    void publish(const request_key &key, const record &entry);
    ledger_verdict settle(const request_key &key, ledger_state state, monotonic_time keepUntil);
    ledger_verdict passPart(const request_key &key, record &entry, const request_frame &frame);
    ledger_verdict answerCancelled(const request_key &key, record &entry,
                                   const request_frame &frame);
    monotonic_time keepUntil(const request_frame &frame) const;
    bool isOrphaned(flow_hash hash) const;
    bool isHistoryComplete() const;

    const clock_source &m_clock;
    instance_id m_self;
    ledger_settings m_settings;
    ledger_sink *m_sink = nullptr;
    std::unordered_map<request_key, record, key_hash> m_entries; ///< at most maxEntries
    /// Expiry times; one item per entry, moved when its entry is extended.
    std::multimap<monotonic_time, request_key> m_expiry;
    std::map<instance_id, monotonic_time> m_lostHomes; ///< time of the loss
    monotonic_time m_lastLoss; ///< start of this ledger, or the last loss of a home
};

} // namespace chicoryhead
