/**
 * @file recorded_instance_base.h
 * An instance whose inputs and outcomes are written to a trace.
 */

#pragma once

#include "trace_type.h"
#include "trace_writer_base.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace chicoryhead {

namespace detail {

/**
 * Passes the calls of an instance on to its real environment and tells the sink of them.
 *
 * The clock stands still during an input and the random source is seeded, so that a replay sees
 * the same values.
 */
class recording_environment : protected clock_source,
                              protected random_source,
                              protected packet_sink,
                              protected peer_sink,
                              protected load_prober,
                              protected key_value_store
{
public:
    recording_environment(const trace_header &header, const instance_environment &inner,
                          trace_sink &sink);
    ~recording_environment() override;
    recording_environment(const recording_environment &) = delete;
    recording_environment &operator=(const recording_environment &) = delete;

protected:
    /** The environment to build the instance with. */
    instance_environment environment() { return {*this, *this, *this, *this, *this, *this}; }

    /** Carries out an input, or queues it while another one is being carried out. */
    void handle(const std::string &text, std::function<void()> action);

    /** Tells the sink what the instance's state says of the input just carried out. */
    virtual void onInputDone() = 0;
    /** Id of the instance at a peer address, or noInstance. */
    virtual instance_id findPeer(const endpoint &peer) const = 0;

    trace_sink &sink() { return m_sink; }
    /** Codec with the deployment's key. */
    const peer_codec &wireCodec() const { return m_wireCodec; }

private:
    template<typename Answer>
    std::function<void(result<Answer>)> wrap(const std::string &call,
                                             std::function<void(result<Answer>)> handler);

    monotonic_time now() const override { return m_now; }
    wall_time wallNow() const override;
    std::uint64_t next() override { return m_random(); }
    void sendToUpstream(const endpoint &upstream, std::span<const std::byte> packet) override;
    void sendToCaller(std::span<const std::byte> packet) override;
    void sendToPeer(const endpoint &peer, std::span<const std::byte> datagram) override;
    void probe(upstream_id upstream, const endpoint &health) override;
    void get(const std::string &key, get_handler handler) override;
    void watch(const std::string &key, std::uint64_t afterIndex, monotonic_time wait,
               get_handler handler) override;
    void put(const std::string &key, std::string value, std::uint64_t casIndex,
             put_handler handler) override;
    void remove(const std::string &key, put_handler handler) override;
    void listKeys(const std::string &prefix, keys_handler handler) override;
    void listInstances(list_handler handler) override;

    trace_sink &m_sink;
    peer_codec m_wireCodec;
    instance_environment m_inner;
    std::mt19937_64 m_random;
    std::int64_t m_wallOffset;
    monotonic_time m_now;
    std::uint64_t m_calls = 0; ///< store calls so far; numbers them
    bool m_isHandling = false;
    std::deque<std::pair<std::string, std::function<void()>>> m_waiting;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< false for late answers
};

} // namespace detail

/** Describes an instance for the head of a trace; draws the seed from the environment. */
trace_header makeTraceHeader(const instance_settings &settings,
                             const instance_environment &environment);

/** An instance that tells a sink of its inputs and outcomes. */
class recorded_instance : private detail::recording_environment, public instance
{
public:
    /**
     * @param settings with the deployment's peer key; the trace gets tracePeerKey.
     * @param header as makeTraceHeader() gives it, or of the trace that is replayed.
     * @param sink outlives the instance.
     */
    recorded_instance(const instance_settings &settings, const trace_header &header,
                      const instance_environment &environment, trace_sink &sink);

    void onFabricPacket(std::span<const std::byte> bytes, const endpoint &outerSource) override;
    void onPeerDatagram(std::span<const std::byte> datagram, const endpoint &from) override;
    void onProbeOutcome(upstream_id upstream, std::optional<load_report> report) override;
    void tick() override;
    void submit(const config_patch &patch,
                std::function<void(const patch_outcome &)> handler) override;
    void readAudit(std::function<void(result<std::vector<audit_entry>>)> handler) override;
    void beginLeaving() override;

private:
    std::vector<std::byte> resign(std::span<const std::byte> datagram) const;
    void onInputDone() override;
    instance_id findPeer(const endpoint &peer) const override;

    peer_codec m_traceCodec; ///< with tracePeerKey
    std::array<std::uint64_t, 8> m_droppedBefore {};
    std::uint64_t m_rejectedBefore = 0;
    config_version m_versionBefore = 0;
    member_state m_stateBefore = member_state::Joining;
};

/**
 * Builds an instance that is recorded to a stream.
 * @param stream outlives the instance.
 */
std::unique_ptr<instance> makeRecordedInstance(const instance_settings &settings,
                                               const instance_environment &environment,
                                               std::ostream &stream);

} // namespace chicoryhead
