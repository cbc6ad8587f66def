/**
 * @file directory.cpp
 * Upstream records, their steering tags and their lifecycle.
 */

#include "directory_base.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <set>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::array<std::pair<lifecycle_state, std::string_view>, 4> lifecycleNames {{
    {lifecycle_state::Ready, "ready"},
    {lifecycle_state::Draining, "draining"},
    {lifecycle_state::Missing, "missing"},
    {lifecycle_state::Gone, "gone"},
}};

bool isRestarted(const upstream_announcement &before, const upstream_announcement &after)
{
    return before.startedAtMs != after.startedAtMs || after.sequenceNumber < before.sequenceNumber
        || before.address != after.address || before.service != after.service;
}

} // namespace

std::string_view toString(lifecycle_state lifecycle)
{
    for (const auto &[value, name] : lifecycleNames) {
        if (value == lifecycle)
            return name;
    }
    return "unknown";
}

bool takesNewFlows(const upstream_record &record)
{
    const bool isAnnounced =
        record.lifecycle == lifecycle_state::Ready || record.lifecycle == lifecycle_state::Missing;
    return isAnnounced && !record.hasTagCollision && !record.isEvacuated;
}

steering_tag tagOfName(std::string_view name)
{
    const auto hash = static_cast<steering_tag>(XXH3_64bits(name.data(), name.size()));
    return hash == noTag ? 1 : hash;
}

steering_tag bindTag(steering_tag tag, const endpoint &service)
{
    const auto mask = static_cast<steering_tag>(mixHash(service.address, service.port));
    return tag ^ mask;
}

bool upstream_directory::isOutdated(const upstream_announcement &announced) const
{
    const auto *record = find(announced.name);
    if (record == nullptr)
        return false;
    const upstream_announcement &known = record->announced;
    if (announced.startedAtMs != known.startedAtMs)
        return announced.startedAtMs != 0 && announced.startedAtMs < known.startedAtMs;
    return announced.address == known.address && announced.service == known.service
        && announced.sequenceNumber < known.sequenceNumber;
}

directory_change upstream_directory::announce(const upstream_announcement &announced,
                                              monotonic_time now)
{
    const auto known = m_byName.find(announced.name);
    const bool isNew = known == m_byName.end();
    upstream_record &record = isNew ? addRecord(announced) : m_records.find(known->second)->second;
    const bool isRestart = !isNew && isRestarted(record.announced, announced);
    const auto lifecycle =
        announced.isDraining ? lifecycle_state::Draining : lifecycle_state::Ready;
    if (isNew || isRestart || lifecycle != record.lifecycle)
        record.changedAt = now;
    if (isRestart && record.announced.service != announced.service)
        moveToService(record, announced.service);
    record.lifecycle = lifecycle;
    record.warmupEndsAt = now + announced.warmupLeft;
    record.announced = announced;
    record.isEvacuated = m_evacuatedDomains.contains(announced.domain);
    return {record.id, isRestart};
}

directory_change upstream_directory::withdraw(const std::string &name, bool mayReturn,
                                              monotonic_time now)
{
    const auto known = m_byName.find(name);
    if (known == m_byName.end())
        return {};
    upstream_record &record = m_records.find(known->second)->second;
    // A draining upstream is shutting down, so it will not be announced again.
    const bool mayBeMissing = mayReturn
        && (record.lifecycle == lifecycle_state::Ready
            || record.lifecycle == lifecycle_state::Missing);
    const auto lifecycle = mayBeMissing ? lifecycle_state::Missing : lifecycle_state::Gone;
    if (lifecycle != record.lifecycle)
        record.changedAt = now;
    record.lifecycle = lifecycle;
    return {record.id, false};
}

void upstream_directory::setEvacuatedDomains(std::set<std::string> domains)
{
    m_evacuatedDomains = std::move(domains);
    for (auto &[id, record] : m_records)
        record.isEvacuated = m_evacuatedDomains.contains(record.announced.domain);
}

std::vector<upstream_id> upstream_directory::expire(monotonic_time now)
{
    std::vector<upstream_id> expired;
    for (auto &[id, record] : m_records) {
        if (record.lifecycle == lifecycle_state::Missing
            && now - record.changedAt > m_settings.reannounceTimeout) {
            record.lifecycle = lifecycle_state::Gone;
            record.changedAt = now;
        } else if (record.lifecycle == lifecycle_state::Gone
                   && now - record.changedAt > m_settings.flowLifetime) {
            expired.push_back(id);
        }
    }
    for (const upstream_id id : expired)
        removeRecord(id);
    return expired;
}

const upstream_record *upstream_directory::findByTag(steering_tag tag) const
{
    const auto found = m_byTag.find(tag);
    return found == m_byTag.end() ? nullptr : find(found->second);
}

const upstream_record *upstream_directory::find(upstream_id id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

const upstream_record *upstream_directory::find(const std::string &name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : find(found->second);
}

std::span<const upstream_id> upstream_directory::findByService(const std::string &service) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return {};
    return found->second;
}

std::vector<const upstream_record *> upstream_directory::records() const
{
    std::vector<const upstream_record *> records;
    records.reserve(m_records.size());
    for (const auto &[id, record] : m_records)
        records.push_back(&record);
    return records;
}

std::vector<std::string> upstream_directory::announcedNames() const
{
    std::vector<std::string> names;
    for (const auto &[id, record] : m_records) {
        if (record.lifecycle != lifecycle_state::Gone)
            names.push_back(record.announced.name);
    }
    return names;
}

std::uint32_t upstream_directory::checksum() const
{
    std::uint64_t sum = 0;
    for (const auto &[id, record] : m_records) {
        const bool isAnnounced = record.lifecycle == lifecycle_state::Ready
            || record.lifecycle == lifecycle_state::Draining;
        if (!isAnnounced)
            continue;
        const auto &announced = record.announced;
        const auto place = mixHash(announced.address.address, announced.address.port);
        const auto moment = mixHash(static_cast<std::uint64_t>(announced.startedAtMs),
                                    static_cast<std::uint64_t>(record.lifecycle));
        sum += mixHash(mixHash(announced.wireId, place), moment);
    }
    return static_cast<std::uint32_t>(sum ^ (sum >> 32U));
}

std::vector<upstream_id> upstream_directory::upstreamsWithReusedAddress() const
{
    std::set<endpoint> announced;
    std::vector<const upstream_record *> gone;
    for (const auto &[id, record] : m_records) {
        if (record.lifecycle == lifecycle_state::Gone)
            gone.push_back(&record);
    }
    if (gone.empty())
        return {};
    for (const auto &[id, record] : m_records) {
        const bool isAnnounced = record.lifecycle == lifecycle_state::Ready
            || record.lifecycle == lifecycle_state::Draining;
        if (isAnnounced)
            announced.insert(record.announced.address);
    }
    std::vector<upstream_id> replaced;
    for (const upstream_record *record : gone) {
        if (announced.contains(record->announced.address))
            replaced.push_back(record->id);
    }
    return replaced;
}

upstream_record &upstream_directory::addRecord(const upstream_announcement &announced)
{
    const upstream_id id {++m_lastId};
    upstream_record &record = m_records[id];
    record.id = id;
    record.announced = announced;
    record.tag = tagOfName(announced.name);
    m_byName[announced.name] = id;
    m_byService[announced.service].push_back(id);
    indexTag(record);
    return record;
}

void upstream_directory::moveToService(upstream_record &record, const std::string &service)
{
    std::erase(m_byService[record.announced.service], record.id);
    m_byService[service].push_back(record.id);
}

void upstream_directory::indexTag(upstream_record &record)
{
    const auto [entry, isFirst] = m_byTag.try_emplace(record.tag, record.id);
    record.hasTagCollision = !isFirst;
}

void upstream_directory::removeRecord(upstream_id id)
{
    const auto found = m_records.find(id);
    assert(found != m_records.end());
    const upstream_record &record = found->second;
    m_byName.erase(record.announced.name);
    const bool ownsTag = !record.hasTagCollision;
    const steering_tag tag = record.tag;
    auto &sameService = m_byService[record.announced.service];
    std::erase(sameService, id);
    if (sameService.empty())
        m_byService.erase(record.announced.service);
    m_records.erase(found);
    if (ownsTag)
        reassignTag(tag);
}

void upstream_directory::reassignTag(steering_tag tag)
{
    m_byTag.erase(tag);
    upstream_record *successor = nullptr;
    for (auto &[id, record] : m_records) {
        if (record.tag == tag && (successor == nullptr || id < successor->id))
            successor = &record;
    }
    if (successor != nullptr)
        indexTag(*successor);
}

} // namespace chicoryhead
