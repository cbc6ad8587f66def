/**
 * @file snapshot_publisher.cpp
 * The schedule of snapshots.
 */

#include "snapshot_publisher_base.h"

#include "state_codec_func.h"

#include <set>
#include <string>
#include <utility>

namespace chicoryhead {

snapshot_publisher::snapshot_publisher(std::string domain, fleet_store &store,
                                       const fleet_state &state, const clock_source &clock,
                                       event_log &log, publisher_settings settings)
    : m_domain(std::move(domain))
    , m_store(store)
    , m_state(state)
    , m_clock(clock)
    , m_log(log)
    , m_settings(settings)
{
}

void snapshot_publisher::noteSnapshot(store_revision revision)
{
    if (revision <= m_newest)
        return;
    m_newest = revision;
    schedule(m_settings.interval);
}

void snapshot_publisher::tick(bool isFirstReader)
{
    const bool isPublisher =
        isFirstReader && m_settings.interval.count() > 0 && m_state.isSynchronised();
    if (!isPublisher || m_isBusy || m_clock.now() < m_dueAt || !isWorthwhile())
        return;
    publish();
}

bool snapshot_publisher::isWorthwhile() const
{
    return m_state.entryCount() >= m_settings.minEntries;
}

void snapshot_publisher::publish()
{
    const auto now = m_clock.now();
    const auto bytes = encodeState(m_state.snapshot(0, 0, now));
    const auto pauseForRate = monotonic_time(
        std::chrono::microseconds(std::chrono::seconds(1) * static_cast<std::int64_t>(bytes.size())
                                  / static_cast<std::int64_t>(m_settings.bytesPerSecond)));
    if (bytes.size() > m_settings.maxBytes || pauseForRate > m_settings.interval) {
        m_log.write("snapshot_too_large", {{"bytes", std::to_string(bytes.size())}});
        schedule(m_settings.interval * 4);
        return;
    }
    m_isBusy = true;
    m_store.publishSnapshot(bytes, m_newest, [this, size = bytes.size()](std::error_code code) {
        m_isBusy = false;
        finish(code, size);
    });
}

void snapshot_publisher::finish(std::error_code code, std::size_t bytes)
{
    schedule(m_settings.interval);
    if (code == error::VersionConflict) {
        learnRevision();
        return;
    }
    m_log.write("snapshot_published",
                {{"bytes", std::to_string(bytes)},
                 {"revision", std::to_string(m_state.revision())},
                 {"outcome", code ? code.message() : "done"}});
}

/// Another instance published a snapshot that was not seen here.
void snapshot_publisher::learnRevision()
{
    m_isBusy = true;
    m_store.readSnapshot([this](const result<published_snapshot> &answer) {
        m_isBusy = false;
        if (answer)
            noteSnapshot(answer.value().revision);
    });
}

/// Instances of several domains are first readers; the domains take over from each other in turn.
void snapshot_publisher::schedule(monotonic_time pause)
{
    m_dueAt =
        m_clock.now() + pause + m_settings.takeover * static_cast<std::int64_t>(domainPosition());
}

/// Domains with instances that come before the own one.
std::size_t snapshot_publisher::domainPosition() const
{
    std::set<std::string> before;
    for (const auto &[name, registration] : m_state.instances()) {
        if (registration.domain < m_domain)
            before.insert(registration.domain);
    }
    return before.size();
}

} // namespace chicoryhead
