/**
 * @file model_fleet.h
 * A store and instances in virtual time, with everything between a published change and the state
 * of each instance being the real code.
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

/** A random time below a bound. */
inline monotonic_time randomTime(seeded_random &random, monotonic_time bound)
{
    return monotonic_time(static_cast<monotonic_time::rep>(
        random.next() % static_cast<std::uint64_t>(bound.count())));
}

/** What all instances would see in the store, with its history. */
class model_store
{
public:
    /** Makes one change; returns its revision. */
    store_revision change(const fleet_change &made)
    {
        ++revision;
        m_history.emplace_back(revision, made);
        if (const auto *config = std::get_if<routing_config>(&made))
            this->config = *config;
        else if (const auto *announced = std::get_if<upstream_announcement>(&made))
            upstreams[announced->name] = *announced;
        else if (const auto *lost = std::get_if<upstream_withdrawal>(&made))
            upstreams.erase(lost->name);
        else if (const auto *registered = std::get_if<instance_registration>(&made))
            instances[registered->name] = *registered;
        else if (const auto *removed = std::get_if<instance_withdrawal>(&made))
            instances.erase(removed->name);
        return revision;
    }

    fleet_changes everything() const
    {
        fleet_changes all;
        all.revision = revision;
        if (config.version > 0)
            all.changes.emplace_back(config);
        for (const auto &[name, announced] : upstreams)
            all.changes.emplace_back(announced);
        for (const auto &[name, registered] : instances)
            all.changes.emplace_back(registered);
        all.snapshotRevision = snapshot.revision;
        return all;
    }

    /** Changes after a revision, or error::HistoryLost. */
    result<fleet_changes> changesAfter(store_revision after) const
    {
        if (after < m_floor)
            return error::HistoryLost;
        fleet_changes changes;
        changes.revision = revision;
        for (const auto &[at, made] : m_history) {
            if (at > after && at != skipped)
                changes.changes.push_back(made);
        }
        if (snapshot.revision > after)
            changes.snapshotRevision = snapshot.revision;
        return changes;
    }

    void dropHistory()
    {
        m_history.clear();
        m_floor = revision;
    }

    store_revision revision = 10;
    routing_config config;
    std::map<std::string, upstream_announcement> upstreams;
    std::map<std::string, instance_registration> instances;
    published_snapshot snapshot;
    store_revision skipped = 0; ///< planted fault: watches don't tell this change

private:
    std::vector<std::pair<store_revision, fleet_change>> m_history;
    store_revision m_floor = 10;
};

/** One instance's way to the store: answers take time, or don't come. */
class model_client : public fleet_store
{
public:
    model_client(model_store &store, const clock_source &clock, seeded_random &random)
        : m_store(store), m_clock(clock), m_random(random)
    {
    }

    void load(handler done) override
    {
        read([this, done] { done(m_store.everything()); }, [done](error code) { done(code); });
    }

    void loadUpstreams(handler done) override { load(std::move(done)); }

    void readSnapshot(snapshot_handler done) override
    {
        start(
            m_others,
            [this, done] {
                if (m_store.snapshot.revision == 0)
                    done(error::NotFound);
                else
                    done(m_store.snapshot);
            },
            [done](error code) { done(code); });
    }

    void publishSnapshot(std::span<const std::byte> bytes, store_revision replaced,
                         write_handler done) override
    {
        std::vector<std::byte> kept(bytes.begin(), bytes.end());
        start(
            m_others,
            [this, kept, replaced, done] {
                if (m_store.snapshot.revision != replaced) {
                    done(error::VersionConflict);
                    return;
                }
                m_store.snapshot = {++m_store.revision, kept};
                done({});
            },
            [done](error code) { done(code); });
    }

    void watch(store_revision after, std::chrono::milliseconds wait, handler done) override
    {
        m_watch = {after, m_clock.now() + wait, std::move(done)};
    }

    void abandon() override
    {
        m_reads.clear();
        m_watch.done = nullptr;
    }

    void registerInstance(const instance_registration &own, write_handler done) override
    {
        write(own, std::move(done));
    }

    void removeInstance(const std::string &name, write_handler done) override
    {
        write(instance_withdrawal {name}, std::move(done));
    }

    /** Carries out what is due. */
    void tick()
    {
        for (auto *calls : {&m_reads, &m_others}) {
            for (std::size_t i = 0; i < calls->size();) {
                if ((*calls)[i].dueAt > m_clock.now()) {
                    ++i;
                    continue;
                }
                const call due = std::move((*calls)[i]);
                calls->erase(calls->begin() + static_cast<std::ptrdiff_t>(i));
                if (isReachable)
                    due.carryOut();
                else
                    due.fail(error::Timeout);
            }
        }
        tickWatch();
    }

    bool isReachable = true;
    std::size_t calls = 0;

private:
    struct call
    {
        monotonic_time dueAt {0};
        std::function<void()> carryOut;
        std::function<void(error)> fail;
    };

    struct pending_watch
    {
        store_revision after = 0;
        monotonic_time until {0};
        handler done;
    };

    void start(std::vector<call> &calls, std::function<void()> carryOut,
               std::function<void(error)> fail)
    {
        ++this->calls;
        const monotonic_time delay =
            isReachable ? monotonic_time(4ms) + randomTime(m_random, 20ms) : monotonic_time(1500ms);
        calls.push_back({m_clock.now() + delay, std::move(carryOut), std::move(fail)});
    }

    void read(std::function<void()> carryOut, std::function<void(error)> fail)
    {
        start(m_reads, std::move(carryOut), std::move(fail));
    }

    void write(const fleet_change &made, write_handler done)
    {
        // The answer may be lost, and the write may be carried out long after it.
        const bool isLost = m_random.next() % 10 == 0;
        start(
            m_others,
            [this, made, done, isLost] {
                if (!isLost)
                    m_store.change(made);
                done(isLost ? make_error_code(error::OutcomeUnknown) : std::error_code());
            },
            [done](error code) { done(code); });
        if (isLost)
            m_others.push_back({m_clock.now() + randomTime(m_random, 3s),
                                [this, made] { m_store.change(made); },
                                [](error /*code*/) {
                                }});
    }

    void tickWatch()
    {
        if (!m_watch.done)
            return;
        const auto changes = m_store.changesAfter(m_watch.after);
        const bool hasNews = !changes || !changes.value().changes.empty();
        if (isReachable ? !hasNews && m_clock.now() < m_watch.until
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
    std::vector<call> m_reads;
    std::vector<call> m_others;
    pending_watch m_watch;
};

/** One process of an instance: the parts of entry_process without sockets and packets. */
class model_process : public peer_sink
{
public:
    model_process(model_store &store, virtual_network &network, const stepped_clock &clock,
                  const instance_registration &own, const std::vector<endpoint> &seeds,
                  std::uint64_t seed)
        : m_network(network)
        , m_clock(clock)
        , m_own(own)
        , m_random(seed)
        , m_log(::open("/dev/null", O_WRONLY), clock)
        , m_placement(directory, {own.domain, 3, seed})
        , m_health(directory, own.name, own.domain)
        , m_latencies(directory, m_placement)
        , state(routes, directory, m_placement, m_log)
        , client(store, clock, m_random)
        , m_follower(client, state, clock, m_random, m_log)
        , talk(own, seeds, state, m_health, m_latencies, *this, clock, m_random, m_log,
               gossipSettings())
        , m_registrar(own, client, state, clock, m_random, m_log)
        , m_publisher(own.domain, client, state, clock, m_log, publisherSettings())
    {
        m_follower.setReaderPolicy([this] { return talk.duty(); });
        m_follower.setPatiencePolicy([this] { return talk.patience(); });
        m_follower.setPeerCount([this] { return talk.countPeers(); });
        m_follower.setSnapshotHandler(
            [this](store_revision revision) { m_publisher.noteSnapshot(revision); });
        m_follower.setUpdateHandler([this] {
            talk.noteStoreAnswer();
            talk.announceChanges();
        });
    }

    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override
    {
        sentBytes += datagram.size();
        m_network.send(m_own.peerAddress, peer, datagram);
    }

    /** Queues a datagram; a process that does not run reads it later. */
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
            if (talk.receive(m_inbox.front().first, m_inbox.front().second))
                talk.announceChanges();
        }
        client.tick();
        m_follower.tick();
        talk.tick();
        if (m_clock.now() < m_nextSecond)
            return;
        m_nextSecond = m_clock.now() + 1s;
        state.expire(m_clock.now());
        m_registrar.registerSelf();
        if (talk.isReader() && m_follower.isStoreReachable())
            m_registrar.removeSilentInstance(talk.silentInstances());
        m_publisher.tick(talk.isFirstWorkingReader());
    }

    monotonic_time suspendedUntil {0};
    std::size_t sentBytes = 0;
    routing_table routes;
    upstream_directory directory;

private:
    static gossip_settings gossipSettings()
    {
        gossip_settings settings;
        settings.storeInterval = follower_settings {}.watchWait;
        settings.maxPatience = 500ms;
        settings.silence = 12s;
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
    instance_registration m_own;
    seeded_random m_random;
    event_log m_log;
    domain_first_placement m_placement;
    upstream_health m_health;
    latency_pool m_latencies;

public:
    fleet_state state;
    model_client client;

private:
    store_follower m_follower;

public:
    gossip talk;

private:
    instance_registrar m_registrar;
    snapshot_publisher m_publisher;
    std::deque<std::pair<endpoint, std::vector<std::byte>>> m_inbox;
    monotonic_time m_nextSecond {0};
    bool m_wasSuspended = false;
};

} // namespace chicoryhead::test
