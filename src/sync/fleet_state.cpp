/**
 * @file fleet_state.cpp
 * Applies and logs changes; makes snapshots and deltas.
 */

#include "fleet_state_base.h"

#include <algorithm>
#include <set>
#include <variant>

namespace chicoryhead {

namespace {

/// Time after an outage of the store in which missing upstreams may be announced again.
constexpr monotonic_time outageGracePeriod = defaultReannounceTimeout;

/// Confirmation time of a state without evacuations, from an instance of a release that does not
/// report them: the state can be used, but is old enough to make this instance read the store.
constexpr monotonic_time incompleteStateConfirmation {1};

} // namespace

fleet_state::fleet_state(routing_table &routes, upstream_directory &directory,
                         upstream_listener &listener, event_log &log)
    : m_routes(routes), m_directory(directory), m_listeners {&listener}, m_log(log)
{
}

void fleet_state::apply(const fleet_changes &changes, bool isAfterOutage, monotonic_time now)
{
    detectOutage(isAfterOutage, now);
    applyAll(changes, now);
    applyEvacuations(changes, m_evacuations.names, now);
    confirm(changes.revision, now);
}

void fleet_state::applyAll(const fleet_changes &changes, monotonic_time now)
{
    if (!changes.changes.empty())
        m_contentRevision = std::max(m_contentRevision, changes.revision);
    for (const fleet_change &change : changes.changes)
        std::visit([&](const auto &item) { applyOne(item, now); }, change);
    recordHistory(changes);
    m_revision = std::max(m_revision, changes.revision);
}

/// Evacuations are applied as a whole set, because a newer set may have arrived from another
/// instance before the changes of the store.
void fleet_state::applyEvacuations(const fleet_changes &changes, std::set<std::string> previous,
                                   monotonic_time now)
{
    for (const fleet_change &change : changes.changes) {
        const auto *evacuation = std::get_if<domain_evacuation>(&change);
        if (evacuation == nullptr)
            continue;
        if (evacuation->isEnded)
            previous.erase(evacuation->domain);
        else
            previous.insert(evacuation->domain);
    }
    setEvacuations({changes.revision, std::move(previous)}, now);
}

/// After a restore, evacuations that the store lacks end with the grace period.
void fleet_state::setEvacuations(const evacuated_domains &evacuations, monotonic_time now)
{
    if (evacuations.revision <= m_evacuations.revision)
        return;
    std::set<std::string> inForce = m_evacuatedDomains;
    if (isRestoredSince(m_evacuations.revision, evacuations.revision)) {
        beginRestoreGrace(now);
    } else {
        for (const std::string &domain : m_evacuations.names)
            inForce.erase(domain);
    }
    inForce.insert(evacuations.names.begin(), evacuations.names.end());
    m_evacuations = evacuations;
    setEvacuatedDomains(inForce);
}

void fleet_state::setEvacuatedDomains(const std::set<std::string> &domains)
{
    if (domains == m_evacuatedDomains)
        return;
    const auto logChange = [&](const std::string &domain, bool isEvacuated) {
        m_log.write("domain_evacuation",
                    {{"domain", domain},
                     {"evacuated", isEvacuated ? "1" : "0"},
                     {"revision", toString(m_evacuations.revision)}});
    };
    for (const std::string &domain : domains) {
        if (!m_evacuatedDomains.contains(domain))
            logChange(domain, true);
    }
    for (const std::string &domain : m_evacuatedDomains) {
        if (!domains.contains(domain))
            logChange(domain, false);
    }
    m_evacuatedDomains = domains;
    m_directory.setEvacuatedDomains(domains);
}

bool fleet_state::adoptEvacuations(const std::optional<evacuated_domains> &reported,
                                   monotonic_time now)
{
    if (!reported)
        return false;
    setEvacuations(*reported, now);
    return true;
}

/// Whether the store was restored after a revision of the confirmed state. A revision without an
/// epoch comes from an instance of a release that does not report it.
bool fleet_state::isRestoredSince(const store_revision &known, const store_revision &later) const
{
    return m_confirmedAt.count() > 0 && known.epoch > 0 && later.epoch > known.epoch;
}

void fleet_state::beginRestoreGrace(monotonic_time now)
{
    m_restoreGrace.begin(now);
    // Upstreams that are missing now are announced again, as after an outage.
    m_outageGraceEnd = std::max(m_outageGraceEnd, now + outageGracePeriod);
}

void fleet_state::endRestoreGrace(monotonic_time now)
{
    for (const auto &[name, announced] : m_restoreGrace.end())
        applyOne(announced, now);
    ++m_instancesVersion;
    setEvacuatedDomains(m_evacuations.names);
}

/// Prepares the state for one of a restored store.
void fleet_state::beginEpoch(const fleet_changes &fullState, monotonic_time now)
{
    m_log.write("store_restored",
                {{"epoch", std::to_string(fullState.revision.epoch)},
                 {"before", std::to_string(m_revision.epoch)},
                 {"revision", toString(fullState.revision)},
                 {"state_revision", toString(m_revision)}});
    beginRestoreGrace(now);
    m_restoreGrace.keepInstances(std::exchange(m_instances, {}));
    m_contentRevision = fullState.revision;
}

void fleet_state::recordHistory(const fleet_changes &changes)
{
    // A delta from another instance may end before the newest change in the history here.
    const auto newest = m_history.empty() ? store_revision {} : m_history.back().revision;
    const auto revision = std::max(changes.revision, newest);
    for (const fleet_change &change : changes.changes) {
        if (const auto *announced = std::get_if<upstream_announcement>(&change))
            m_history.push_back({revision, true, announced->name});
        else if (const auto *lost = std::get_if<upstream_withdrawal>(&change))
            m_history.push_back({revision, true, lost->name});
        else if (const auto *registered = std::get_if<instance_registration>(&change))
            m_history.push_back({revision, false, registered->name});
        else if (const auto *removed = std::get_if<instance_deregistration>(&change))
            m_history.push_back({revision, false, removed->name});
    }
    while (m_history.size() > maxHistoryEntries) {
        m_compactedRevision = std::max(m_compactedRevision, m_history.front().revision);
        m_history.pop_front();
    }
}

/// A time without confirmation also counts as an outage: the instance that sends changes after it
/// may itself have started after the store recovered, and not know of the outage.
void fleet_state::detectOutage(bool isAfterOutage, monotonic_time now)
{
    // A running grace period is not extended, or continual changes would keep it from ending.
    if ((isAfterOutage || isStale(now)) && !isInOutageGrace(now))
        m_outageGraceEnd = now + outageGracePeriod;
}

void fleet_state::replace(const fleet_changes &fullState, bool isAfterOutage, monotonic_time now)
{
    replaceEntries(fullState, isAfterOutage, now);
    applyEvacuations(fullState, {}, now);
    confirm(fullState.revision, now);
}

void fleet_state::replaceEntries(const fleet_changes &fullState, bool isAfterOutage,
                                 monotonic_time now)
{
    detectOutage(isAfterOutage, now);
    if (isRestoredSince(m_revision, fullState.revision))
        beginEpoch(fullState, now);
    std::set<std::string> upstreams;
    std::set<std::string> instances;
    for (const fleet_change &change : fullState.changes) {
        if (const auto *upstream = std::get_if<upstream_announcement>(&change))
            upstreams.insert(upstream->name);
        if (const auto *other = std::get_if<instance_registration>(&change))
            instances.insert(other->name);
    }
    for (const std::string &name : m_directory.announcedNames()) {
        if (!upstreams.contains(name))
            withdraw(name, "not_listed", isInOutageGrace(now), now);
    }
    m_restoreGrace.discardUnless([&](const std::string &name) { return upstreams.contains(name); });
    std::erase_if(m_instances, [&](const auto &entry) { return !instances.contains(entry.first); });
    ++m_instancesVersion;
    applyAll(fullState, now);
    // The changes between the old and the new state, and their revisions, are not known.
    m_history.clear();
    m_compactedRevision = m_revision;
}

void fleet_state::preloadUpstreams(const fleet_changes &upstreams, monotonic_time now)
{
    for (const fleet_change &change : upstreams.changes) {
        if (const auto *announced = std::get_if<upstream_announcement>(&change))
            applyOne(*announced, now);
    }
}

void fleet_state::preload(const state_snapshot &snapshot, monotonic_time now)
{
    if (m_confirmedAt.count() > 0 || snapshot.revision <= m_revision)
        return;
    if (snapshot.hasConfig)
        applyOne(snapshot.config, now);
    for (const upstream_announcement &announced : snapshot.upstreams)
        applyOne(announced, now);
    for (const instance_registration &registration : snapshot.instances)
        applyOne(registration, now);
    m_revision = snapshot.revision;
    m_compactedRevision = snapshot.revision;
    m_contentRevision = snapshot.contentRevision;
    adoptEvacuations(snapshot.evacuations, now);
}

void fleet_state::confirm(store_revision revision, monotonic_time at)
{
    m_revision = std::max(m_revision, revision);
    m_confirmedAt = std::max(m_confirmedAt, at);
}

bool fleet_state::adopt(const state_snapshot &other, monotonic_time confirmedAt, monotonic_time now)
{
    m_outageGraceEnd = std::max(m_outageGraceEnd, now + other.outageGraceLeft);
    if (other.hasConfig && other.config.version > m_routes.version())
        applyOne(other.config, now);
    addMissing(other, now);
    if (!adoptEvacuations(other.evacuations, now) || !other.hasEpoch)
        confirmedAt = incompleteStateConfirmation;
    const bool isFirstConfirmation = isPreloaded() && other.revision == m_revision;
    if (other.revision == m_revision)
        confirm(other.revision, confirmedAt);
    if (other.revision <= m_revision || other.baseRevision > m_revision)
        return isFirstConfirmation;
    fleet_changes changes;
    changes.revision = other.contentRevision;
    changes.changes.assign(other.upstreams.begin(), other.upstreams.end());
    changes.changes.insert(changes.changes.end(), other.instances.begin(), other.instances.end());
    for (const std::string &name : other.removedUpstreams)
        changes.changes.emplace_back(upstream_withdrawal {name});
    for (const std::string &name : other.removedInstances)
        changes.changes.emplace_back(instance_deregistration {name});
    const bool isFull = !other.baseRevision;
    if (isFull) {
        replaceEntries(changes, false, now);
    } else {
        detectOutage(false, now);
        applyAll(changes, now);
    }
    // The configuration may be the only change; it is not part of `changes`.
    m_contentRevision = std::max(m_contentRevision, other.contentRevision);
    m_revision = other.revision;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    if (isFull)
        m_compactedRevision = m_revision;
    return true;
}

/// Open flows need the missing upstreams, also at an instance that started after they expired.
void fleet_state::addMissing(const state_snapshot &other, monotonic_time now)
{
    for (const upstream_announcement &announced : other.missing) {
        if (m_directory.find(announced.name) != nullptr)
            continue;
        applyOne(announced, now);
        withdraw(announced.name, "missing_elsewhere", true, now);
    }
}

state_snapshot fleet_state::snapshot(config_version knownVersion, store_revision knownRevision,
                                     monotonic_time now) const
{
    state_snapshot snapshot;
    snapshot.revision = m_revision;
    snapshot.contentRevision = m_contentRevision;
    snapshot.evacuations = m_evacuations;
    snapshot.outageGraceLeft = std::max(m_outageGraceEnd - now, monotonic_time {0});
    for (const auto *record : m_directory.records()) {
        if (isInOutageGrace(now) && record->lifecycle == lifecycle_state::Missing)
            snapshot.missing.push_back(record->announced);
    }
    snapshot.hasConfig = m_routes.version() > knownVersion;
    if (snapshot.hasConfig)
        snapshot.config = m_routes.config();
    const bool isInHistory = knownRevision && knownRevision.epoch == m_revision.epoch
        && knownRevision >= m_compactedRevision && knownRevision <= m_revision;
    if (isInHistory) {
        snapshot.baseRevision = knownRevision;
        addDelta(snapshot, now);
    } else {
        addFullState(snapshot, now);
    }
    return snapshot;
}

void fleet_state::addFullState(state_snapshot &snapshot, monotonic_time now) const
{
    for (const std::string &name : m_directory.announcedNames()) {
        if (!m_restoreGrace.heldBack().contains(name))
            addUpstream(snapshot, name, now);
    }
    for (const auto &[name, announced] : m_restoreGrace.heldBack())
        addUpstream(snapshot, name, now);
    for (const auto &[name, registration] : m_instances)
        snapshot.instances.push_back(registration);
}

void fleet_state::addDelta(state_snapshot &snapshot, monotonic_time now) const
{
    std::set<std::pair<bool, std::string>> changed;
    for (auto entry = m_history.rbegin(); entry != m_history.rend(); ++entry) {
        if (entry->revision <= snapshot.baseRevision)
            break;
        changed.emplace(entry->isUpstream, entry->name);
    }
    for (const auto &[isUpstream, name] : changed) {
        const auto registered = m_instances.find(name);
        if (isUpstream && !addUpstream(snapshot, name, now))
            snapshot.removedUpstreams.push_back(name);
        else if (!isUpstream && registered == m_instances.end())
            snapshot.removedInstances.push_back(name);
        else if (!isUpstream)
            snapshot.instances.push_back(registered->second);
    }
}

/// Adds an upstream as the store lists it.
bool fleet_state::addUpstream(state_snapshot &snapshot, const std::string &name,
                              monotonic_time now) const
{
    const auto heldBack = m_restoreGrace.heldBack().find(name);
    if (heldBack != m_restoreGrace.heldBack().end()) {
        snapshot.upstreams.push_back(heldBack->second);
        return true;
    }
    const auto *record = m_directory.find(name);
    const bool isAnnounced = record != nullptr
        && (record->lifecycle == lifecycle_state::Ready
            || record->lifecycle == lifecycle_state::Draining);
    if (!isAnnounced)
        return false;
    snapshot.upstreams.push_back(record->announced);
    snapshot.upstreams.back().warmupLeft = std::max(record->warmupEndsAt - now, monotonic_time {0});
    return true;
}

void fleet_state::logConfirmation(bool wasStale, std::string_view source, monotonic_time now) const
{
    if (!wasStale || isStale(now))
        return;
    m_log.write("state_confirmed",
                {{"from", std::string(source)},
                 {"revision", toString(m_revision)},
                 {"epoch", std::to_string(m_revision.epoch)},
                 {"version", std::to_string(m_routes.version())},
                 {"checksum", std::to_string(checksum())}});
}

std::map<std::string, std::size_t> fleet_state::countInstancesByDomain() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto *instances : {&m_instances, &m_restoreGrace.formerInstances()}) {
        for (const auto &[name, registration] : *instances)
            ++counts[registration.domain];
    }
    return counts;
}

std::uint32_t fleet_state::checksum() const
{
    std::uint64_t sum = mixHash(m_routes.version(), m_directory.checksum());
    for (const std::string &domain : m_evacuations.names)
        sum = mixHash(sum, tagOfName(domain));
    return static_cast<std::uint32_t>(sum);
}

void fleet_state::expire(monotonic_time now)
{
    if (m_restoreGrace.isOver(now))
        endRestoreGrace(now);
    for (const upstream_id id : m_directory.expire(now))
        notifyRemoved(id);
}

void fleet_state::applyOne(const routing_config &config, monotonic_time now)
{
    const config_version previous = m_routes.version();
    if (config.version < previous)
        m_log.write(
            "config_outdated",
            {{"version", std::to_string(config.version)}, {"in_force", std::to_string(previous)}});
    if (!m_routes.apply(config, now))
        return;
    m_log.write("config_applied",
                {{"version", std::to_string(config.version)},
                 {"before", std::to_string(previous)},
                 {"routes", std::to_string(config.routes.size())}});
    if (config.unusableRoutes > 0)
        m_log.write("routes_unusable",
                    {{"version", std::to_string(config.version)},
                     {"routes", std::to_string(config.unusableRoutes)}});
}

void fleet_state::applyOne(const upstream_announcement &announced, monotonic_time now)
{
    if (m_restoreGrace.isRunning() && m_directory.isOutdated(announced)) {
        m_restoreGrace.holdBack(announced);
        return;
    }
    m_restoreGrace.discard(announced.name);
    const auto *known = m_directory.find(announced.name);
    const bool isNew = known == nullptr;
    const auto previous = isNew ? lifecycle_state::Gone : known->lifecycle;
    const auto change = m_directory.announce(announced, now);
    if (change.isRestart)
        notifyRemoved(change.id);
    const auto *record = m_directory.find(change.id);
    if (!isNew && !change.isRestart && record->lifecycle == previous)
        return;
    m_log.write("upstream_changed",
                {{"upstream", announced.name},
                 {"service", announced.service},
                 {"address", toString(announced.address)},
                 {"domain", announced.domain},
                 {"before", isNew ? "unknown" : std::string(toString(previous))},
                 {"standing", std::string(toString(record->lifecycle))},
                 {"sequence", std::to_string(announced.sequenceNumber)},
                 {"restarted", change.isRestart ? "1" : "0"}});
    if (record->hasTagCollision)
        m_log.write("upstream_excluded", {{"upstream", announced.name}, {"reason", "shared_tag"}});
}

void fleet_state::applyOne(const upstream_withdrawal &withdrawal, monotonic_time now)
{
    if (withdrawal.isMalformed)
        m_log.write("upstream_malformed",
                    {{"upstream", withdrawal.name},
                     {"known", m_directory.find(withdrawal.name) == nullptr ? "0" : "1"}});
    withdraw(withdrawal.name, withdrawal.isMalformed ? "malformed" : "removed",
             isInOutageGrace(now) && !withdrawal.isMalformed, now);
}

void fleet_state::applyOne(const instance_registration &registration, monotonic_time /*now*/)
{
    m_restoreGrace.discardInstance(registration.name);
    m_instances[registration.name] = registration;
    ++m_instancesVersion;
}

void fleet_state::applyOne(const instance_deregistration &deregistration, monotonic_time /*now*/)
{
    m_restoreGrace.discardInstance(deregistration.name);
    m_instances.erase(deregistration.name);
    ++m_instancesVersion;
}

void fleet_state::notifyRemoved(upstream_id upstream)
{
    for (upstream_listener *listener : m_listeners)
        listener->forget(upstream);
}

void fleet_state::withdraw(const std::string &name, std::string_view cause, bool mayReturn,
                           monotonic_time now)
{
    m_restoreGrace.discard(name);
    const auto *known = m_directory.find(name);
    if (known == nullptr || known->lifecycle == lifecycle_state::Gone)
        return;
    const auto previous = known->lifecycle;
    m_directory.withdraw(name, mayReturn, now);
    if (known->lifecycle != previous)
        m_log.write("upstream_changed",
                    {{"upstream", name},
                     {"before", std::string(toString(previous))},
                     {"standing", std::string(toString(known->lifecycle))},
                     {"cause", std::string(cause)}});
}

} // namespace chicoryhead
