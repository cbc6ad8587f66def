/**
 * @file store_maintainer.cpp
 * Snapshots: planning, completion of the accepted patches, writing of the parts.
 */

#include "config_apply_func.h"
#include "config_codec_func.h"
#include "core/log_func.h"
#include "store_layout_func.h"
#include "store_maintainer_base.h"

#include <algorithm>

namespace chicoryhead {

namespace {

constexpr std::uint64_t maintainers = 3;
constexpr monotonic_time retryPause = std::chrono::seconds(30);

} // namespace

store_maintainer::store_maintainer(const blackboard &board, config_replica &replica,
                                   const clock_source &clock, store_caller &caller,
                                   const distribution_settings &settings)
    : m_board(board), m_replica(replica), m_clock(clock), m_caller(caller), m_settings(settings)
{
}

void store_maintainer::tick()
{
    if (m_isBusy)
        return;
    if (const auto due = m_replica.takeSnapshotDue())
        plan(due);
    if (m_due && m_clock.now() >= m_snapshotAt)
        checkSnapshot();
    else if (!m_due && m_trimVersion != 0 && m_clock.now() >= m_trimAt)
        trim();
}

/** Decides whether and when this instance writes the snapshot of a version. */
void store_maintainer::plan(const std::shared_ptr<const configuration> &due)
{
    const std::uint64_t own = mixHash(due->version, idValue(m_board.self.id));
    std::uint64_t rank = 0;
    for (const auto &[id, other] : m_board.members) {
        if (id != m_board.self.id && other.state == member_state::Ready
            && mixHash(due->version, idValue(id)) < own)
            ++rank;
    }
    if (rank >= maintainers)
        return;
    m_due = due;
    m_parts.clear();
    m_snapshotAt = m_clock.now() + m_settings.snapshotStagger * static_cast<int>(rank);
    m_trimVersion = due->version;
    m_trimAt = m_snapshotAt + m_settings.trimDelay;
}

void store_maintainer::fail()
{
    m_isBusy = false;
    m_snapshotAt = m_clock.now() + retryPause;
    // A snapshot that fails must not shorten the delay of trimming.
    m_trimAt = std::max(m_trimAt, m_snapshotAt);
}

void store_maintainer::checkSnapshot()
{
    m_isBusy = true;
    m_caller.get(snapshotKey(m_due->version, 0), [this](const result<key_value> &read) {
        if (!read)
            return fail();
        if (read.value().modifyIndex != 0)
            return endSnapshot();
        writeSnapshot();
    });
}

/** Reads a patch that was accepted before this instance joined from the log. */
void store_maintainer::fillAccepted(config_version missing)
{
    m_caller.get(logKey(missing), [this, missing](const result<key_value> &read) {
        if (!read)
            return fail();
        if (read.value().modifyIndex == 0) {
            m_loaded.clear();
            // All that is trimmed is in the snapshot before the one that is due.
            return fillFromSnapshot(m_due->version - snapshotInterval, 0);
        }
        const auto entry = decodeLogEntry(read.value().value);
        if (!entry)
            return fail();
        const config_change &change = entry.value().change;
        m_replica.addAccepted({{change.version, change.patchId, change.summary}});
        writeSnapshot();
    });
}

void store_maintainer::fillFromSnapshot(config_version version, std::size_t part)
{
    m_caller.get(snapshotKey(version, part), [this, version, part](const result<key_value> &read) {
        const auto count = read ? snapshotPartCount(read.value().value) : std::nullopt;
        if (!count)
            return fail();
        m_loaded += snapshotPartContent(read.value().value);
        if (part + 1 < *count)
            return fillFromSnapshot(version, part + 1);
        const auto snapshot = decodeSnapshot(m_loaded);
        m_loaded = std::string();
        if (!snapshot)
            return fail();
        m_replica.addAccepted(snapshot.value().accepted);
        // Without this check damaged content would be read again and again.
        if (m_replica.missingAccepted(version) != 0)
            return fail();
        writeSnapshot();
    });
}

/** Writes the snapshot once all of its accepted patches are known. */
void store_maintainer::writeSnapshot()
{
    const config_version missing = m_replica.missingAccepted(m_due->version);
    if (missing != 0)
        return fillAccepted(missing);
    const config_snapshot snapshot {computeChange({}, *m_due),
                                    m_replica.acceptedUpTo(m_due->version)};
    m_parts = splitSnapshot(encodeSnapshot(snapshot));
    writePart();
}

/** Writes the last part that is left; the first part, written last, makes the snapshot valid. */
void store_maintainer::writePart()
{
    if (m_parts.empty()) {
        logEvent(log_level::Info, "config_snapshot_written",
                 {{"version", std::to_string(m_due->version)}});
        return endSnapshot();
    }
    m_caller.put(snapshotKey(m_due->version, m_parts.size() - 1), m_parts.back(), 0,
                 [this](const result<bool> &written) {
                     // Not written means that another instance has written the same.
                     if (!written)
                         return fail();
                     m_parts.pop_back();
                     writePart();
                 });
}

void store_maintainer::endSnapshot()
{
    m_isBusy = false;
    m_due = nullptr;
    m_parts.clear();
}

} // namespace chicoryhead
