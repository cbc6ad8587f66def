/**
 * @file store_reader.cpp
 * Loading of snapshots and following of the log.
 */

#include "config_codec_func.h"
#include "core/log_func.h"
#include "store_layout_func.h"
#include "store_reader_base.h"

#include <algorithm>

namespace chicoryhead {

namespace {

/// Bounds the rate if the service answers watches at once although nothing changed.
constexpr monotonic_time minWatchInterval = std::chrono::milliseconds(100);

} // namespace

store_reader::store_reader(config_replica &replica, key_value_store &store,
                           const clock_source &clock, random_source &random,
                           const distribution_settings &settings)
    : m_replica(replica)
    , m_clock(clock)
    , m_settings(settings)
    , m_caller(store, clock, random, settings.store)
    , m_watcher(store, clock, random, settings.store)
{
    m_caller.setLateHandler([this](const key_value &value) { applyEntry(value); });
}

void store_reader::tick(bool isReader)
{
    m_isReader = isReader;
    m_caller.tick();
    m_watcher.tick();
    if (!isReader && m_isLoaded)
        return;
    if (!m_isBusy && m_clock.now() >= m_nextPoll)
        poll();
    if (m_isLoaded && m_watcher.isIdle() && m_clock.now() >= m_nextWatch)
        startWatch();
}

void store_reader::poll()
{
    m_isBusy = true;
    m_nextPoll = m_clock.now() + m_settings.pollInterval;
    const config_version wanted = m_replica.version() + 1;
    // From an empty configuration a snapshot is nearly always the faster way.
    if (!m_isLoaded && wanted == 1 && m_headIndex == 0)
        return readHead();
    m_caller.get(logKey(wanted),
                 [this, wanted](const result<key_value> &read) { onPolled(wanted, read); });
}

void store_reader::onPolled(config_version wanted, const result<key_value> &read)
{
    m_isBusy = false;
    if (!read)
        return;
    if (read.value().modifyIndex == 0) {
        // Head says that there is more, so the entry was trimmed and a snapshot is needed.
        if (m_head < wanted || m_replica.version() >= wanted)
            m_isLoaded = true;
        else if (m_clock.now() >= m_nextReload)
            readHead();
        return;
    }
    if (!applyEntry(read.value()))
        return;
    // More may follow; the poll after the last one ends the loading.
    if (m_replica.version() >= wanted && (m_isReader || !m_isLoaded))
        poll();
}

/** Puts the next version in force if the value is its log entry. */
bool store_reader::applyEntry(const key_value &value)
{
    const auto version = parseKey(value.key, logPrefix);
    if (!version || *version > m_replica.version() + 1)
        return false;
    const auto entry = decodeLogEntry(value.value);
    if (!entry) {
        logEvent(log_level::Error, "log_entry_malformed", {{"key", value.key}});
        return false;
    }
    m_replica.advance(entry.value().change, encodeChange(entry.value().change));
    return true;
}

void store_reader::readHead()
{
    m_isBusy = true;
    // Where neither the log nor a snapshot leads on, this is tried once per poll interval.
    m_nextReload = m_clock.now() + m_settings.pollInterval;
    m_caller.get(headKey, [this](const result<key_value> &read) { onHead(read); });
}

void store_reader::onHead(const result<key_value> &read)
{
    m_isBusy = false;
    if (!read)
        return;
    m_headIndex = std::max<std::uint64_t>(read.value().modifyIndex, 1);
    m_headValue = parseNumber(read.value().value).value_or(0);
    m_head = std::max(m_head, m_headValue);
    const config_version newest = m_head - m_head % snapshotInterval;
    if (newest > m_replica.version())
        return readSnapshot(newest, 0);
    poll();
}

void store_reader::readSnapshot(config_version version, std::size_t part)
{
    m_isBusy = true;
    m_caller.get(snapshotKey(version, part), [this, version, part](const result<key_value> &read) {
        onSnapshotPart(version, part, read);
    });
}

void store_reader::onSnapshotPart(config_version version, std::size_t part,
                                  const result<key_value> &read)
{
    m_isBusy = false;
    if (!read)
        return;
    const auto count = snapshotPartCount(read.value().value);
    if (!count) {
        // Not written yet: the one before it is kept as long as the log needs it.
        if (version >= snapshotInterval && version - snapshotInterval > m_replica.version())
            return readSnapshot(version - snapshotInterval, 0);
        return poll();
    }
    if (part == 0) {
        m_snapshot.clear();
        m_snapshotParts = *count;
    }
    m_snapshot += snapshotPartContent(read.value().value);
    if (part + 1 < m_snapshotParts)
        return readSnapshot(version, part + 1);
    loadSnapshot();
}

void store_reader::loadSnapshot()
{
    const auto snapshot = decodeSnapshot(m_snapshot);
    m_snapshot = std::string();
    if (snapshot)
        m_replica.replace(snapshot.value());
    else
        logEvent(log_level::Error, "config_snapshot_malformed", {});
    poll();
}

void store_reader::startWatch()
{
    m_nextWatch = m_clock.now() + minWatchInterval;
    m_watcher.watch(headKey, m_headIndex, m_settings.watchWait,
                    [this](const result<key_value> &read) {
                        if (!read)
                            return;
                        m_headIndex = read.value().modifyIndex;
                        m_headValue = parseNumber(read.value().value).value_or(0);
                        m_head = std::max(m_head, m_headValue);
                        if (m_head > m_replica.version() && !m_isBusy && m_isReader)
                            poll();
                        else if (m_headValue < m_replica.version())
                            advanceHead();
                    });
}

void store_reader::advanceHead()
{
    m_caller.put(headKey, std::to_string(m_replica.version()), m_headIndex, [](result<bool>) {});
}

} // namespace chicoryhead
