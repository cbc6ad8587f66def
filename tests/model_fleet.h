/**
 * @file model_fleet.h
 * Model of a store and instances in virtual time. Everything between a published change and the
 * state of each instance is production code.
 */

#pragma once

#include "entry/instance_registrar_base.h"
#include "entry_support.h"
#include "gossip/gossip_base.h"
#include "sync/snapshot_publisher_base.h"
#include "sync/store_follower_base.h"

#include <fcntl.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicoryhead::test {

/** A random duration below a bound. */
inline monotonic_time randomTime(seeded_random &random, monotonic_time bound)
{
    return monotonic_time(static_cast<monotonic_time::rep>(
        random.next() % static_cast<std::uint64_t>(bound.count())));
}

/** Content of the store and its change history. */
class model_store
{
public:
    /** Applies one change; returns its revision. */
    store_revision commit(const fleet_change &change)
    {
        ++revision.number;
        m_history.emplace_back(revision.number, change);
        if (const auto *config = std::get_if<routing_config>(&change))
            this->config = *config;
        else if (const auto *announcement = std::get_if<upstream_announcement>(&change))
            upstreams[announcement->name] = *announcement;
        else if (const auto *withdrawal = std::get_if<upstream_withdrawal>(&change))
            upstreams.erase(withdrawal->name);
        else if (const auto *registration = std::get_if<instance_registration>(&change))
            instances[registration->name] = *registration;
        else if (const auto *instanceWithdrawal = std::get_if<instance_deregistration>(&change))
            instances.erase(instanceWithdrawal->name);
        else if (const auto *evacuation = std::get_if<domain_evacuation>(&change))
            setEvacuated(*evacuation);
        return revision;
    }

    /** Returns to the content of a copy; later numbers are given out again in a new epoch. */
    void restore(const model_store &copy)
    {
        const auto epoch = revision.epoch + 1;
        *this = copy;
        revision.epoch = epoch;
    }

    fleet_changes readAll() const
    {
        fleet_changes all;
        all.revision = revision;
        if (config.version > 0)
            all.changes.emplace_back(config);
        for (const auto &[name, announcement] : upstreams)
            all.changes.emplace_back(announcement);
        for (const auto &[name, registration] : instances)
            all.changes.emplace_back(registration);
        for (const std::string &domain : evacuatedDomains)
            all.changes.emplace_back(domain_evacuation {domain});
        all.snapshotRevision = snapshotRevision();
        return all;
    }

    /** Changes after a number, whatever its epoch, or error::HistoryLost. */
    result<fleet_changes> changesAfter(std::uint64_t after) const
    {
        if (after < m_compactedNumber || after > revision.number)
            return error::HistoryLost;
        fleet_changes changes;
        changes.revision = revision;
        for (const auto &[changedAt, change] : m_history) {
            if (changedAt > after && changedAt != hiddenNumber)
                changes.changes.push_back(change);
        }
        if (snapshot.revision.number > after)
            changes.snapshotRevision = snapshotRevision();
        return changes;
    }

    /** Revision at which the snapshot was published, in the current epoch. */
    store_revision snapshotRevision() const
    {
        return snapshot.revision ? store_revision {snapshot.revision.number, revision.epoch}
                                 : store_revision {};
    }

    void compactHistory()
    {
        m_history.clear();
        m_compactedNumber = revision.number;
    }

    store_revision revision {10, 1};
    routing_config config;
    std::map<std::string, upstream_announcement> upstreams;
    std::map<std::string, instance_registration> instances;
    std::set<std::string> evacuatedDomains;
    published_snapshot snapshot;
    std::uint64_t hiddenNumber = 0; ///< injected fault: watches omit this change

private:
    void setEvacuated(const domain_evacuation &evacuation)
    {
        if (evacuation.isEnded)
            evacuatedDomains.erase(evacuation.domain);
        else
            evacuatedDomains.insert(evacuation.domain);
    }

    std::vector<std::pair<std::uint64_t, fleet_change>> m_history; ///< by number
    std::uint64_t m_compactedNumber = 10;
};

/** Store client of one instance, with delayed and lost responses. */
class model_client : public fleet_store
{
public:
    model_client(model_store &store, const clock_source &clock, seeded_random &random)
        : m_store(store), m_clock(clock), m_random(random)
    {
    }

    void load(handler done) override
    {
        startRead([this, done] { done(m_store.readAll()); }, [done](error code) { done(code); });
    }

    void loadUpstreams(handler done) override { load(std::move(done)); }

    void readSnapshot(snapshot_handler done) override
    {
        startCall(
            m_otherCalls,
            [this, done] {
                if (!m_store.snapshot.revision)
                    done(error::NotFound);
                else
                    done(published_snapshot {m_store.snapshotRevision(), m_store.snapshot.bytes});
            },
            [done](error code) { done(code); });
    }

    void publishSnapshot(std::span<const std::byte> bytes, store_revision replaced,
                         write_handler done) override
    {
        std::vector<std::byte> copied(bytes.begin(), bytes.end());
        startCall(
            m_otherCalls,
            [this, copied, replaced, done] {
                if (m_store.snapshot.revision.number != replaced.number) {
                    done(error::VersionConflict);
                    return;
                }
                ++m_store.revision.number;
                m_store.snapshot = {m_store.revision, copied};
                done({});
            },
            [done](error code) { done(code); });
    }

    void watch(store_revision after, std::chrono::milliseconds wait, handler done) override
    {
        m_watch = {after, m_clock.now() + wait, std::move(done)};
    }

    void cancel() override
    {
        m_readCalls.clear();
        m_watch.done = nullptr;
    }

    void registerInstance(const instance_registration &own, write_handler done) override
    {
        startWrite(own, std::move(done));
    }

    void removeInstance(const std::string &name, write_handler done) override
    {
        startWrite(instance_deregistration {name}, std::move(done));
    }

    /** Completes the calls that are due. */
    void tick()
    {
        for (auto *calls : {&m_readCalls, &m_otherCalls}) {
            for (std::size_t i = 0; i < calls->size();) {
                if ((*calls)[i].dueAt > m_clock.now()) {
                    ++i;
                    continue;
                }
                const call dueCall = std::move((*calls)[i]);
                calls->erase(calls->begin() + static_cast<std::ptrdiff_t>(i));
                if (isReachable)
                    dueCall.complete();
                else
                    dueCall.fail(error::Timeout);
            }
        }
        completeWatch();
    }

    bool isReachable = true;
    std::size_t calls = 0;

private:
    struct call
    {
        monotonic_time dueAt {0};
        std::function<void()> complete;
        std::function<void(error)> fail;
    };

    struct pending_watch
    {
        store_revision after;
        monotonic_time until {0};
        handler done;
    };

    void startCall(std::vector<call> &calls, std::function<void()> complete,
                   std::function<void(error)> fail)
    {
        ++this->calls;
        const monotonic_time delay =
            isReachable ? monotonic_time(4ms) + randomTime(m_random, 20ms) : monotonic_time(1500ms);
        calls.push_back({m_clock.now() + delay, std::move(complete), std::move(fail)});
    }

    void startRead(std::function<void()> complete, std::function<void(error)> fail)
    {
        startCall(m_readCalls, std::move(complete), std::move(fail));
    }

    void startWrite(const fleet_change &change, write_handler done)
    {
        // The response may be lost, and the write may be applied long after the call ended.
        const bool isResponseLost = m_random.next() % 10 == 0;
        startCall(
            m_otherCalls,
            [this, change, done, isResponseLost] {
                if (!isResponseLost)
                    m_store.commit(change);
                done(isResponseLost ? make_error_code(error::OutcomeUnknown) : std::error_code());
            },
            [done](error code) { done(code); });
        if (isResponseLost)
            m_otherCalls.push_back({m_clock.now() + randomTime(m_random, 3s),
                                    [this, change] { m_store.commit(change); },
                                    [](error /*code*/) {
                                    }});
    }

    void completeWatch()
    {
        if (!m_watch.done)
            return;
        const auto changes = m_store.changesAfter(m_watch.after.number);
        const bool hasChanges = !changes || !changes.value().changes.empty();
        if (isReachable ? !hasChanges && m_clock.now() < m_watch.until
                        : m_clock.now() < m_watch.until + 700ms)
            return;
        ++calls;
        const auto done = std::exchange(m_watch.done, nullptr);
        if (isReachable)
            done(changes);
        else
            done(error::Timeout);
    }

    model_store &m_store;
    const clock_source &m_clock;
    seeded_random &m_random;
    std::vector<call> m_readCalls;
    std::vector<call> m_otherCalls;
    pending_watch m_watch;
};

/** Process of one instance: the parts of entry_process without sockets and packets. */
class model_process : public peer_sink
{
public:
    model_process(model_store &store, virtual_network &network, const stepped_clock &clock,
                  const instance_registration &self, const std::vector<endpoint> &seeds,
                  std::uint64_t seed)
        : m_network(network)
        , m_clock(clock)
        , m_self(self)
        , m_random(seed)
        , m_log(::open("/dev/null", O_WRONLY), clock)
        , m_placement(directory, {self.domain, 3, seed})
        , m_health(directory, self.name, self.domain)
        , m_latencies(directory, m_placement)
        , state(routes, directory, m_placement, m_log)
        , client(store, clock, m_random)
        , m_follower(client, state, clock, m_random, m_log)
        , gossip(self, seeds, state, m_health, m_latencies, *this, clock, m_random, m_log,
                 gossipSettings())
        , m_registrar(self, client, state, clock, m_random, m_log)
        , m_publisher(self.domain, client, state, clock, m_log, publisherSettings())
    {
        m_follower.setRolePolicy([this] { return gossip.readerRole(); });
        m_follower.setStaleDelayPolicy([this] { return gossip.storeReadDelay(); });
        m_follower.setPeerCountProvider([this] { return gossip.countLocalPeers(); });
        m_follower.setSnapshotHandler(
            [this](store_revision revision) { m_publisher.onSnapshotPublished(revision); });
        m_follower.setUpdateHandler([this] {
            gossip.onStoreResponse();
            m_registrar.onStoreResponse();
            gossip.announceChanges();
        });
    }

    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override
    {
        sentBytes += datagram.size();
        m_network.send(m_self.peerAddress, peer, datagram);
    }

    /** Queues a datagram; a suspended process handles it when it resumes. */
    void receive(std::span<const std::byte> bytes, const endpoint &from)
    {
        m_inbox.emplace_back(from, std::vector<std::byte>(bytes.begin(), bytes.end()));
    }

    void tick()
    {
        if (m_clock.now() < suspendedUntil) {
            m_wasSuspended = true;
            return;
        }
        if (std::exchange(m_wasSuspended, false))
            m_follower.refresh();
        for (; !m_inbox.empty(); m_inbox.pop_front()) {
            if (gossip.receive(m_inbox.front().first, m_inbox.front().second))
                gossip.announceChanges();
        }
        client.tick();
        m_follower.tick();
        gossip.tick();
        if (m_clock.now() < m_nextSecond)
            return;
        m_nextSecond = m_clock.now() + 1s;
        state.expire(m_clock.now());
        m_registrar.registerSelf();
        if (gossip.isReader() && m_follower.isStoreReachable())
            m_registrar.removeSilentInstance(gossip.timedOutInstances());
        m_publisher.tick(gossip.isActivePrimaryReader());
    }

    monotonic_time suspendedUntil {0};
    std::size_t sentBytes = 0;
    routing_table routes;
    upstream_directory directory;

private:
    static gossip_settings gossipSettings()
    {
        gossip_settings settings;
        settings.storeResponseInterval = follower_settings {}.watchTimeout;
        settings.maxStoreReadDelay = 500ms;
        settings.peerTimeout = 12s;
        return settings;
    }

    static publisher_settings publisherSettings()
    {
        publisher_settings settings;
        settings.interval = 3s;
        settings.minEntries = 1;
        settings.maxBytes = 1048576;
        return settings;
    }

    virtual_network &m_network;
    const stepped_clock &m_clock;
    instance_registration m_self;
    seeded_random m_random;
    event_log m_log;
    domain_first_placement m_placement;
    upstream_health m_health;
    latency_exchange m_latencies;

public:
    fleet_state state;
    model_client client;

private:
    store_follower m_follower;

public:
    gossip_node gossip;

private:
    instance_registrar m_registrar;
    snapshot_publisher m_publisher;
    std::deque<std::pair<endpoint, std::vector<std::byte>>> m_inbox;
    monotonic_time m_nextSecond {0};
    bool m_wasSuspended = false;
};

} // namespace chicoryhead::test
