/**
 * @file audit_reader.cpp
 * Reads the audit trail from the store.
 */

#include "audit_reader_base.h"
#include "core/core_error.h"
#include "store_layout_func.h"

#include <algorithm>

namespace chicoryhead {

audit_reader::audit_reader(key_value_store &store, const clock_source &clock, random_source &random,
                           const distribution_settings &settings)
    : m_settings(settings), m_caller(store, clock, random, settings.store)
{
}

void audit_reader::read(audit_handler handler)
{
    m_queue.push_back(std::move(handler));
    if (m_queue.size() > 1)
        return;
    m_caller.resetBackoff();
    list(logPrefix);
}

void audit_reader::list(const std::string &prefix)
{
    m_caller.listKeys(prefix, [this, prefix](const result<std::vector<std::string>> &keys) {
        if (!keys)
            return finish(keys.error());
        m_keys.clear();
        for (const auto &key : keys.value()) {
            if (const auto number = parseKey(key, prefix))
                m_keys.push_back(*number);
        }
        std::sort(m_keys.begin(), m_keys.end());
        readNext(prefix);
    });
}

void audit_reader::readNext(const std::string &prefix)
{
    if (m_entries.size() >= m_settings.auditLimit)
        return finish({});
    if (m_keys.empty()) {
        // Entries that are trimmed meanwhile are found in the audit keys, which are listed later.
        if (prefix == logPrefix)
            return list(auditPrefix);
        return finish({});
    }
    const std::string key = prefix + std::to_string(m_keys.back());
    m_keys.pop_back();
    m_caller.get(key, [this, prefix](const result<key_value> &read) {
        if (!read)
            return finish(read.error());
        if (read.value().modifyIndex != 0 && !take(prefix, read.value()))
            return finish(error::Malformed);
        readNext(prefix);
    });
}

bool audit_reader::take(const std::string &prefix, const key_value &value)
{
    if (prefix == logPrefix) {
        const auto entry = decodeLogEntry(value.value);
        if (entry)
            m_entries.emplace(entry.value().change.version, makeAuditEntry(entry.value()));
        return entry.has_value();
    }
    const auto entries = parseAudit(value.value);
    if (!entries)
        return false;
    for (const auto &entry : entries.value())
        m_entries.emplace(entry.version, entry);
    return true;
}

void audit_reader::finish(std::error_code code)
{
    const audit_handler handler = std::move(m_queue.front());
    m_queue.pop_front();
    std::vector<audit_entry> entries;
    for (auto &[version, entry] : m_entries)
        entries.push_back(std::move(entry));
    m_entries.clear();
    if (entries.size() > m_settings.auditLimit)
        entries.erase(entries.begin(),
                      entries.end() - static_cast<std::ptrdiff_t>(m_settings.auditLimit));
    if (code)
        handler(code);
    else
        handler(std::move(entries));
    if (m_queue.empty())
        return;
    m_caller.resetBackoff();
    list(logPrefix);
}

} // namespace chicoryhead
