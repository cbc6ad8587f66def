/**
 * @file entry_support.h
 * Scripted store and builders of test data for the tests of the entry instance.
 */

#pragma once

#include "core/caller_packet_type.h"
#include "core/core_base.h"
#include "directory/directory_base.h"
#include "placement/domain_first_placement_base.h"
#include "routing/routing_base.h"
#include "sync/fleet_store_base.h"
#include "virtual_time.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicoryhead::test {

using namespace std::chrono_literals;

/** A fake store whose calls the test completes one by one. */
class scripted_store : public fleet_store
{
public:
    enum class call_kind { Load, Watch };

    struct pending_call
    {
        call_kind kind;
        store_revision after = 0;
        handler done;
    };

    void load(handler done) override { m_pending = {call_kind::Load, 0, std::move(done)}; }
    void watch(store_revision after, std::chrono::milliseconds wait, handler done) override
    {
        lastWatchWait = wait;
        m_pending = {call_kind::Watch, after, std::move(done)};
    }
    void readSnapshot(snapshot_handler done) override
    {
        ++snapshotReads;
        snapshotDone = std::move(done);
    }
    void publishSnapshot(std::span<const std::byte> bytes, store_revision replaced,
                         write_handler done) override
    {
        published.emplace_back(replaced, std::vector<std::byte>(bytes.begin(), bytes.end()));
        publishDone = std::move(done);
    }
    void loadUpstreams(handler done) override { upstreamsDone = std::move(done); }
    void cancel() override
    {
        m_pending.reset();
        ++cancelled;
    }
    void registerInstance(const instance_registration &own, write_handler done) override
    {
        registered.push_back(own);
        writes.push_back(std::move(done));
    }
    void removeInstance(const std::string &name, write_handler done) override
    {
        removed.push_back(name);
        writes.push_back(std::move(done));
    }

    bool isCalled() const { return m_pending.has_value(); }
    const pending_call &call() const { return *m_pending; }

    void answer(result<fleet_changes> outcome)
    {
        const handler done = std::move(m_pending->done);
        m_pending.reset();
        done(std::move(outcome));
    }

    /// Completes the snapshot read with `snapshot`, or with error::NotFound if that is empty.
    void answerSnapshot()
    {
        const auto done = std::exchange(snapshotDone, nullptr);
        if (snapshot)
            done(*snapshot);
        else
            done(error::NotFound);
    }

    handler upstreamsDone; ///< of the upstream read in flight; empty if none
    std::optional<published_snapshot> snapshot;
    snapshot_handler snapshotDone; ///< of the snapshot read in flight; empty if none
    int snapshotReads = 0;
    std::vector<std::pair<store_revision, std::vector<std::byte>>> published;
    write_handler publishDone; ///< of the last publishSnapshot()
    int cancelled = 0;
    std::chrono::milliseconds lastWatchWait {0}; ///< wait argument of the last watch()
    std::vector<instance_registration> registered;
    std::vector<std::string> removed;
    std::vector<write_handler> writes;

private:
    std::optional<pending_call> m_pending;
};

/** Announcement of an upstream that is ready. */
inline upstream_announcement makeUpstream(const std::string &name, const std::string &service,
                                          const std::string &domain, unsigned slots = 2)
{
    upstream_announcement made;
    made.name = name;
    made.wireId = tagOfName(name);
    made.service = service;
    made.address = {0x0a000001U + tagOfName(name) % 65536, 8080};
    made.domain = domain;
    made.slots = slots;
    made.sequenceNumber = 1;
    return made;
}

inline const endpoint deskAddress {0xc6120001, 443};   ///< of the service "desk"
inline const endpoint proofsAddress {0xc6120002, 443}; ///< of the service "proofs"

/** Routes to "desk" and "proofs". */
inline routing_config makeConfig(config_version version)
{
    routing_config config;
    config.version = version;
    config.routes.push_back({"desk", deskAddress, {{"desk", 1}}, 200ms, 1200ms, 1, true});
    config.routes.push_back({"proofs", proofsAddress, {{"proofs", 1}}, 500ms, 3000ms, 2, true});
    return config;
}

/** The opening packet of a flow; repeated copies differ in their copy number. */
inline caller_packet makeOpening(std::uint16_t port, std::uint32_t copy = 0,
                                 const endpoint &service = deskAddress)
{
    caller_packet packet;
    packet.flow = {{0x64400007, port}, service, transport::Tcp};
    packet.isOpening = true;
    packet.sequence = 1000U + port;
    packet.acknowledged = copy;
    return packet;
}

/** A later packet of a flow. */
inline caller_packet makeData(std::uint16_t port, steering_tag tag, std::uint32_t sequence,
                              std::uint32_t acknowledged, std::uint16_t bytes,
                              const endpoint &service = deskAddress)
{
    caller_packet packet;
    packet.flow = {{0x64400007, port}, service, transport::Tcp};
    packet.tag = tag;
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.dataBytes = bytes;
    return packet;
}

} // namespace chicoryhead::test
