/**
 * @file config_replica.cpp
 * The version in force at one instance.
 */

#include "config_apply_func.h"
#include "config_replica_base.h"
#include "core/log_func.h"
#include "store_layout_func.h"

#include <algorithm>
#include <cassert>

namespace chicoryhead {

namespace {

/// More than a snapshot holds, so that one can still be written some versions later.
constexpr std::size_t maxAccepted = acceptedWindow + 4 * snapshotInterval;
constexpr std::size_t maxChanges = 2 * snapshotInterval;
/// Part of the 32 MB that an instance may use for control.
constexpr std::size_t maxChangeBytes = 1000000;
/// Lines in the answer to a patch that is refused.
constexpr config_version maxChangedSince = 100;

/** First version whose patch is remembered beside a given one. */
config_version firstAccepted(config_version version)
{
    return version > acceptedWindow ? version - acceptedWindow + 1 : 1;
}

} // namespace

config_replica::config_replica(blackboard &board, const clock_source &clock)
    : m_board(board), m_clock(clock)
{
}

bool config_replica::advance(const config_change &change, std::string encoded)
{
    if (change.baseVersion != version() || change.version != version() + 1)
        return false;
    auto next = applyChange(*config(), change);
    if (!next) {
        logEvent(log_level::Error, "config_change_malformed",
                 {{"version", std::to_string(change.version)}});
        return false;
    }
    m_accepted[change.version] = {change.version, change.patchId, change.summary};
    if (m_accepted.size() > maxAccepted)
        m_accepted.erase(m_accepted.begin());
    m_changeBytes += encoded.size();
    m_changes[change.version] = std::move(encoded);
    while (m_changes.size() > maxChanges
           || (m_changeBytes > maxChangeBytes && m_changes.size() > 1)) {
        m_changeBytes -= m_changes.begin()->second.size();
        m_changes.erase(m_changes.begin());
    }
    publish(std::move(next).value());
    return true;
}

bool config_replica::replace(const config_snapshot &snapshot)
{
    if (snapshot.change.version <= version())
        return false;
    auto next = applyChange(configuration(), snapshot.change);
    if (!next) {
        logEvent(log_level::Error, "config_snapshot_malformed",
                 {{"version", std::to_string(snapshot.change.version)}});
        return false;
    }
    m_changes.clear();
    m_changeBytes = 0;
    addAccepted(snapshot.accepted);
    publish(std::move(next).value());
    return true;
}

void config_replica::publish(std::shared_ptr<const configuration> config)
{
    assert(config->version > version());
    m_board.config = std::move(config);
    m_board.configAppliedAt = m_clock.now();
    if (version() % snapshotInterval == 0)
        m_snapshotDue = m_board.config;
    logEvent(log_level::Info, "config_applied", {{"version", std::to_string(version())}});
    if (m_onApplied)
        m_onApplied(version());
}

void config_replica::addAccepted(const std::vector<accepted_patch> &patches)
{
    for (const auto &patch : patches)
        m_accepted.emplace(patch.version, patch);
    while (m_accepted.size() > maxAccepted)
        m_accepted.erase(m_accepted.begin());
}

const accepted_patch *config_replica::findAccepted(const std::string &id) const
{
    const auto at = std::find_if(m_accepted.begin(), m_accepted.end(),
                                 [&id](const auto &item) { return item.second.id == id; });
    return at == m_accepted.end() ? nullptr : &at->second;
}

const accepted_patch *config_replica::findAccepted(config_version version) const
{
    const auto at = m_accepted.find(version);
    return at == m_accepted.end() ? nullptr : &at->second;
}

config_version config_replica::missingAccepted(config_version limit) const
{
    const config_version last = std::min(limit, version());
    const config_version first = firstAccepted(last);
    for (config_version wanted = last; wanted >= first && wanted > 0; --wanted) {
        if (!m_accepted.contains(wanted))
            return wanted;
    }
    return 0;
}

std::vector<accepted_patch> config_replica::acceptedUpTo(config_version version) const
{
    std::vector<accepted_patch> patches;
    for (auto at = m_accepted.lower_bound(firstAccepted(version));
         at != m_accepted.end() && at->first <= version; ++at)
        patches.push_back(at->second);
    return patches;
}

std::vector<std::string> config_replica::changedSince(config_version base) const
{
    std::vector<std::string> lines;
    const config_version skipped =
        version() > base + maxChangedSince ? version() - maxChangedSince : base;
    for (config_version current = skipped + 1; current <= version(); ++current) {
        const accepted_patch *patch = findAccepted(current);
        lines.push_back(std::to_string(current) + ' '
                        + (patch == nullptr ? "(not known here)" : patch->summary));
    }
    return lines;
}

const std::string *config_replica::findChange(config_version version) const
{
    const auto at = m_changes.find(version);
    return at == m_changes.end() ? nullptr : &at->second;
}

} // namespace chicoryhead
