/**
 * @file config_submitter.cpp
 * Submission of patches: validate, read head, create log/<base+1>, read back what is unclear.
 */

#include "config_apply_func.h"
#include "config_codec_func.h"
#include "config_submitter_base.h"
#include "core/core_error.h"
#include "core/log_func.h"

#include <algorithm>

namespace chicoryhead {

namespace {

/// A create that starts later than this after head was read reads it again: an instance that was
/// paused could otherwise create a key that was trimmed meanwhile.
constexpr monotonic_time maxHeadAge = std::chrono::seconds(60);

/// Patches that wait; more are refused at once, as they would wait longer than their authors.
constexpr std::size_t maxQueue = 100;

} // namespace

config_submitter::config_submitter(config_replica &replica, key_value_store &store,
                                   const clock_source &clock, random_source &random,
                                   const distribution_settings &settings)
    : m_replica(replica)
    , m_clock(clock)
    , m_settings(settings)
    , m_caller(store, clock, random, settings.store)
{
    m_caller.setLateHandler([this](const key_value &value) { onLateRead(value); });
}

/** A log key never changes, so an answer after the deadline decides as well. */
void config_submitter::onLateRead(const key_value &value)
{
    if (!m_isActive || value.key != logKey(m_queue.front().patch.baseVersion + 1)
        || m_queue.front().patch.baseVersion != m_replica.version())
        return;
    m_caller.dropQueue();
    onReadBack(value);
}

template<typename Handler>
auto config_submitter::guarded(Handler handler)
{
    return [this, sequence = m_sequence, handler](auto value) {
        if (m_isActive && sequence == m_sequence)
            handler(std::move(value));
    };
}

void config_submitter::submit(config_patch patch, submit_handler handler)
{
    submission item;
    item.patch = std::move(patch);
    if (item.patch.submittedAt.count() == 0)
        item.patch.submittedAt = m_clock.wallNow();
    item.handler = std::move(handler);
    if (m_queue.size() >= maxQueue) {
        patch_outcome outcome;
        outcome.code = error::StoreUnavailable;
        outcome.version = m_replica.version();
        return item.handler(outcome);
    }
    m_queue.push_back(std::move(item));
    if (!m_isActive)
        begin();
}

void config_submitter::tick()
{
    if (m_isActive && m_clock.now() >= m_queue.front().deadline) {
        const submission &item = m_queue.front();
        const bool isUnknown = item.isCreateOpen || item.mayHaveCreated;
        m_caller.dropQueue();
        finish(isUnknown ? error::OutcomeUnknown : error::StoreUnavailable, m_replica.version());
    }
    m_caller.tick();
}

void config_submitter::begin()
{
    m_isActive = true;
    m_queue.front().deadline = m_clock.now() + m_settings.submitDeadline;
    m_caller.resetBackoff();
    resume();
}

void config_submitter::finish(std::error_code code, config_version version,
                              std::vector<config_problem> problems)
{
    submission item = std::move(m_queue.front());
    m_queue.pop_front();
    ++m_sequence;
    m_isActive = false;
    patch_outcome outcome;
    outcome.code = code;
    outcome.version = version;
    outcome.problems = std::move(problems);
    if (code == error::VersionConflict)
        outcome.changedSince = m_replica.changedSince(item.patch.baseVersion);
    logEvent(log_level::Info, "patch_submitted",
             {{"id", item.patch.id},
              {"outcome", code ? code.message() : "accepted"},
              {"version", std::to_string(version)}});
    item.handler(outcome);
    if (!m_isActive && !m_queue.empty())
        begin();
}

void config_submitter::refuseConflict()
{
    finish(error::VersionConflict, m_replica.version());
}

/** Decides what to do from the version in force; called again whenever that may have changed. */
void config_submitter::resume()
{
    submission &item = m_queue.front();
    if (const accepted_patch *known = m_replica.findAccepted(item.patch.id))
        return finish({}, known->version);
    if (item.patch.baseVersion < m_replica.version())
        return onReplicaNewer();
    if (item.patch.baseVersion > m_replica.version())
        return catchUp();
    validate();
}

void config_submitter::onReplicaNewer()
{
    submission &item = m_queue.front();
    // A patch can only have been accepted as the version after its base.
    const bool isKnown = m_replica.findAccepted(item.patch.baseVersion + 1) != nullptr;
    if (isKnown || item.wasLookedUp)
        return refuseConflict();
    lookUpEarlier();
}

/** Looks for an earlier acceptance in the log, where this instance doesn't remember it. */
void config_submitter::lookUpEarlier()
{
    m_caller.get(logKey(m_queue.front().patch.baseVersion + 1),
                 guarded([this](const result<key_value> &read) {
                     if (!read)
                         return lookUpEarlier();
                     submission &item = m_queue.front();
                     item.wasLookedUp = true;
                     const auto entry = decodeLogEntry(read.value().value);
                     if (entry && entry.value().patch.id == item.patch.id)
                         return finish({}, entry.value().change.version);
                     refuseConflict();
                 }));
}

void config_submitter::validate()
{
    submission &item = m_queue.front();
    std::vector<config_problem> problems;
    const auto next = applyPatch(*m_replica.config(), item.patch, problems);
    if (!next)
        return finish(next.error(), m_replica.version(), std::move(problems));
    item.entry = makeLogEntry(item.patch, *m_replica.config(), *next.value());
    item.value = encodeLogEntry(item.entry);
    // A patch that didn't come from JSON may hold what JSON can't, such as invalid UTF-8.
    const auto decoded = decodeLogEntry(item.value);
    if (!decoded || decoded.value().patch.id != item.patch.id)
        return finish(error::ValidationFailed, m_replica.version(),
                      {{"", "can't be expressed in JSON"}});
    if (item.value.size() > maxValueBytes)
        return finish(error::ValidationFailed, m_replica.version(),
                      {{"operations", "too large for one patch; split it"}});
    readHead();
}

/** Reads head before a create, so that an instance far behind doesn't create a trimmed key. */
void config_submitter::readHead()
{
    m_caller.get(headKey, guarded([this](const result<key_value> &read) {
                     if (!read)
                         return readHead();
                     submission &item = m_queue.front();
                     item.headIndex = read.value().modifyIndex;
                     item.headReadAt = m_clock.now();
                     item.head = parseNumber(read.value().value).value_or(0);
                     if (item.head > item.patch.baseVersion)
                         return catchUp();
                     if (item.patch.baseVersion != m_replica.version())
                         return resume();
                     create();
                 }));
}

void config_submitter::create()
{
    submission &item = m_queue.front();
    item.isCreateOpen = true;
    m_caller.put(logKey(item.patch.baseVersion + 1), item.value, 0,
                 guarded([this](result<bool> created) { onCreated(created); }));
}

void config_submitter::onCreated(result<bool> created)
{
    submission &item = m_queue.front();
    item.isCreateOpen = false;
    if (created && created.value())
        return accept();
    if (!created && created.error() == error::StoreUnavailable) {
        if (m_clock.now() - item.headReadAt > maxHeadAge)
            return readHead();
        return create();
    }
    item.mayHaveCreated = item.mayHaveCreated || !created;
    readBack();
}

void config_submitter::readBack()
{
    m_caller.get(logKey(m_queue.front().patch.baseVersion + 1),
                 guarded([this](const result<key_value> &read) { onReadBack(read); }));
}

void config_submitter::onReadBack(const result<key_value> &read)
{
    if (!read)
        return readBack();
    submission &item = m_queue.front();
    if (read.value().modifyIndex == 0)
        return readHead();
    const auto entry = decodeLogEntry(read.value().value);
    if (!entry) {
        logEvent(log_level::Error, "log_entry_malformed", {{"key", read.value().key}});
        return finish(error::OutcomeUnknown, m_replica.version());
    }
    if (entry.value().patch.id == item.patch.id) {
        // Another instance may have created it from the same document.
        item.entry = entry.value();
        return accept();
    }
    m_replica.advance(entry.value().change, encodeChange(entry.value().change));
    refuseConflict();
}

/** Reads the version after the one in force; the patch is based on it or on a later one. */
void config_submitter::catchUp()
{
    m_caller.get(
        logKey(m_replica.version() + 1), guarded([this](const result<key_value> &read) {
            if (!read)
                return catchUp();
            const config_version before = m_replica.version();
            const auto entry = decodeLogEntry(read.value().value);
            if (entry)
                m_replica.advance(entry.value().change, encodeChange(entry.value().change));
            // Nothing follows the version in force, so the base doesn't exist, or this
            // instance is too far behind to decide.
            if (m_replica.version() == before)
                return finish(error::VersionConflict, std::max(before, m_queue.front().head));
            resume();
        }));
}

void config_submitter::accept()
{
    submission &item = m_queue.front();
    if (m_clock.now() - item.headReadAt > maxHeadAge && !item.isVerified)
        return verifyCreated();
    const config_version version = item.entry.change.version;
    m_replica.advance(item.entry.change, encodeChange(item.entry.change));
    // Only a hint: whoever finds it out of date advances it.
    m_caller.put(headKey, std::to_string(version), item.headIndex, [](result<bool>) {});
    finish({}, version);
}

/**
 * After a pause of this instance the create may have come after the version was trimmed. The audit
 * trail then names another patch.
 */
void config_submitter::verifyCreated()
{
    const config_version version = m_queue.front().patch.baseVersion + 1;
    m_caller.get(
        auditKey(firstAudited(version)), guarded([this, version](const result<key_value> &read) {
            if (!read)
                return verifyCreated();
            submission &item = m_queue.front();
            item.isVerified = true;
            const auto audit = parseAudit(read.value().value);
            const auto isOther = [&item, version](const audit_entry &entry) {
                return entry.version == version && entry.id != item.patch.id;
            };
            if (!audit || std::none_of(audit.value().begin(), audit.value().end(), isOther))
                return accept();
            logEvent(log_level::Warning, "log_entry_withdrawn",
                     {{"version", std::to_string(version)}, {"id", item.patch.id}});
            m_caller.remove(logKey(version), [](const result<bool> &) {});
            refuseConflict();
        }));
}

} // namespace chicoryhead
