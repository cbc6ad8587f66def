/**
 * @file store_trimmer.cpp
 * Trimming: audit entries first, then deletion of log entries and of old snapshots.
 */

#include "core/log_func.h"
#include "store_layout_func.h"
#include "store_maintainer_base.h"

#include <algorithm>
#include <functional>

namespace chicoryhead {

void store_maintainer::trim()
{
    if (m_trimVersion <= snapshotInterval) {
        m_trimVersion = 0;
        return;
    }
    m_isBusy = true;
    checkTrimmable();
}

/** Head must not be behind what is deleted, because patches are checked against it. */
void store_maintainer::checkTrimmable()
{
    m_caller.get(headKey, [this](const result<key_value> &read) {
        if (!read || parseNumber(read.value().value).value_or(0) < m_trimVersion)
            return fail();
        checkSnapshotExists(m_trimVersion);
    });
}

/** Both snapshots that the log is kept for must be there. */
void store_maintainer::checkSnapshotExists(config_version version)
{
    m_caller.get(snapshotKey(version, 0), [this, version](const result<key_value> &read) {
        if (!read)
            return fail();
        if (read.value().modifyIndex == 0) {
            logEvent(log_level::Warning, "config_log_kept",
                     {{"missing_snapshot", std::to_string(version)}});
            m_trimVersion = 0;
            m_isBusy = false;
            return;
        }
        if (version == m_trimVersion)
            return checkSnapshotExists(version - snapshotInterval);
        listLog();
    });
}

void store_maintainer::listLog()
{
    m_caller.listKeys(logPrefix, [this](const result<std::vector<std::string>> &keys) {
        if (!keys)
            return fail();
        m_trimmed.clear();
        m_audit.clear();
        m_auditedUpTo = 0;
        for (const auto &key : keys.value()) {
            const auto version = parseKey(key, logPrefix);
            if (version && *version > 0 && *version + snapshotInterval <= m_trimVersion)
                m_trimmed.push_back(*version);
        }
        std::sort(m_trimmed.begin(), m_trimmed.end(), std::greater<>());
        trimNext();
    });
}

/** Deletes the oldest log entry, or first makes sure that its audit key exists. */
void store_maintainer::trimNext()
{
    if (m_trimmed.empty())
        return listSnapshots();
    const config_version version = m_trimmed.back();
    if (version > m_auditedUpTo) {
        m_caller.get(auditKey(firstAudited(version)), [this](const result<key_value> &read) {
            if (!read)
                return fail();
            if (read.value().modifyIndex == 0)
                return collectAudit();
            m_auditedUpTo = firstAudited(m_trimmed.back()) + snapshotInterval - 1;
            trimNext();
        });
        return;
    }
    m_caller.remove(logKey(version), [this](const result<bool> &removed) {
        if (!removed)
            return fail();
        m_trimmed.pop_back();
        trimNext();
    });
}

/** Reads the log entries of one audit key, one after another. */
void store_maintainer::collectAudit()
{
    if (m_audit.size() == snapshotInterval)
        return writeAudit();
    const config_version version = firstAudited(m_trimmed.back()) + m_audit.size();
    m_caller.get(logKey(version), [this, version](const result<key_value> &read) {
        if (!read) {
            m_audit.clear();
            return fail();
        }
        const auto entry = decodeLogEntry(read.value().value);
        if (!entry) {
            // Nothing is deleted whose audit entry can't be written.
            logEvent(log_level::Error, "audit_entry_missing",
                     {{"version", std::to_string(version)}});
            m_audit.clear();
            m_trimVersion = 0;
            m_isBusy = false;
            return;
        }
        m_audit.push_back(makeAuditEntry(entry.value()));
        collectAudit();
    });
}

void store_maintainer::writeAudit()
{
    const config_version first = m_audit.front().version;
    m_caller.put(auditKey(first), formatAudit(m_audit), 0,
                 [this, first](const result<bool> &written) {
                     m_audit.clear();
                     // Not written means that another instance has written the same.
                     if (!written)
                         return fail();
                     m_auditedUpTo = first + snapshotInterval - 1;
                     trimNext();
                 });
}

void store_maintainer::listSnapshots()
{
    m_caller.listKeys(snapshotPrefix, [this](const result<std::vector<std::string>> &keys) {
        if (!keys)
            return fail();
        m_deletions.clear();
        for (const auto &key : keys.value()) {
            const auto version = parseKey(key, snapshotPrefix);
            if (version && *version + snapshotInterval < m_trimVersion)
                m_deletions.push_back(key);
        }
        // The first part goes first, so that no snapshot looks whole without its other parts.
        std::sort(m_deletions.begin(), m_deletions.end(), std::greater<>());
        deleteNext();
    });
}

void store_maintainer::deleteNext()
{
    if (m_deletions.empty()) {
        logEvent(log_level::Info, "config_log_trimmed",
                 {{"up_to", std::to_string(m_trimVersion - snapshotInterval)}});
        m_trimVersion = 0;
        m_isBusy = false;
        return;
    }
    m_caller.remove(m_deletions.back(), [this](const result<bool> &removed) {
        if (!removed)
            return fail();
        m_deletions.pop_back();
        deleteNext();
    });
}

} // namespace chicoryhead
