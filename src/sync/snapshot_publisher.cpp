/**
 * @file snapshot_publisher.cpp
 * Scheduling and publication of snapshots.
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

void snapshot_publisher::onSnapshotPublished(store_revision revision)
{
    if (revision <= m_newestRevision)
        return;
    m_newestRevision = revision;
    schedule(m_settings.interval);
}

void snapshot_publisher::tick(bool isPrimaryReader)
{
    // A snapshot from before a restore of the store needs a load after it.
    if (std::exchange(m_epoch, m_state.revision().epoch) != m_state.revision().epoch)
        schedule(monotonic_time {0});
    const bool isPublisher =
        isPrimaryReader && m_settings.interval.count() > 0 && m_state.isSynchronised();
    if (!isPublisher || m_isCallPending || m_clock.now() < m_nextPublishAt || !hasEnoughEntries())
        return;
    publish();
}

bool snapshot_publisher::hasEnoughEntries() const
{
    return m_state.entryCount() >= m_settings.minEntries;
}

void snapshot_publisher::publish()
{
    const auto now = m_clock.now();
    const auto bytes = encodeState(m_state.snapshot(0, 0, now));
    const auto durationAtRate = monotonic_time(
        std::chrono::microseconds(std::chrono::seconds(1) * static_cast<std::int64_t>(bytes.size())
                                  / static_cast<std::int64_t>(m_settings.bytesPerSecond)));
    if (bytes.size() > m_settings.maxBytes || durationAtRate > m_settings.interval) {
        m_log.write("snapshot_too_large", {{"bytes", std::to_string(bytes.size())}});
        schedule(m_settings.interval * 4);
        return;
    }
    m_isCallPending = true;
    m_store.publishSnapshot(bytes, m_newestRevision,
                            [this, size = bytes.size()](std::error_code code) {
                                m_isCallPending = false;
                                handlePublished(code, size);
                            });
}

void snapshot_publisher::handlePublished(std::error_code code, std::size_t bytes)
{
    schedule(m_settings.interval);
    if (code == error::VersionConflict) {
        fetchNewestRevision();
        return;
    }
    m_log.write("snapshot_published",
                {{"bytes", std::to_string(bytes)},
                 {"revision", toString(m_state.revision())},
                 {"outcome", code ? code.message() : "done"}});
}

/// Called after a version conflict: another instance published a snapshot that is not known here.
void snapshot_publisher::fetchNewestRevision()
{
    m_isCallPending = true;
    m_store.readSnapshot([this](const result<published_snapshot> &answer) {
        m_isCallPending = false;
        if (answer)
            onSnapshotPublished(answer.value().revision);
        else if (answer.error() == error::NotFound)
            m_newestRevision = {};
    });
}

/// Each domain has a primary reader; the delay grows with the domain's rank, so that one of them
/// publishes and the next one takes over if it fails.
void snapshot_publisher::schedule(monotonic_time delay)
{
    m_nextPublishAt =
        m_clock.now() + delay + m_settings.takeoverDelay * static_cast<std::int64_t>(domainRank());
}

/// Number of domains with instances whose names sort before the own domain.
std::size_t snapshot_publisher::domainRank() const
{
    std::set<std::string> preceding;
    for (const auto &[name, registration] : m_state.instances()) {
        if (registration.domain < m_domain)
            preceding.insert(registration.domain);
    }
    return preceding.size();
}

} // namespace chicoryhead
