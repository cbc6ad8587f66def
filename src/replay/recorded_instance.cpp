/**
 * @file recorded_instance.cpp
 * Recording of an instance's inputs and outcomes.
 */

#include "core/core_error.h"
#include "recorded_instance_base.h"
#include "trace_func.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace chicoryhead {

namespace {

constexpr std::int64_t microsPerSecond = 1'000'000;

constexpr std::array<std::string_view, 6> probeNames {"none",         "ping", "ack",
                                                      "ping_request", "sync", "sync_page"};

std::span<const std::byte> bytesOf(const std::string &text)
{
    return std::as_bytes(std::span(text));
}

std::string describePacket(std::span<const std::byte> packet)
{
    return fmt::format("{:016x} {}", XXH3_64bits(packet.data(), packet.size()), packet.size());
}

std::string describeAnswer(const key_value &value)
{
    return fmt::format("value {} {} {}", value.modifyIndex, formatBytes(bytesOf(value.key)),
                       formatBytes(bytesOf(value.value)));
}

std::string describeAnswer(bool isDone)
{
    return isDone ? "done 1" : "done 0";
}

std::string describeAnswer(const std::vector<std::string> &keys)
{
    std::string text = "keys";
    for (const auto &key : keys)
        text += ' ' + formatBytes(bytesOf(key));
    return text;
}

std::string describeAnswer(const std::vector<listed_instance> &listed)
{
    std::string text = "list";
    for (const auto &one : listed)
        text += fmt::format(" {} {} {} {}", idValue(one.id), toString(one.peerAddress),
                            idValue(one.domain), one.leaving ? 1 : 0);
    return text;
}

/// Only the library's own codes are told apart by the core.
std::string describeError(const std::error_code &code)
{
    return fmt::format("error {}", code.category() == errorCategory() ? code.value() : 0);
}

} // namespace

namespace detail {

recording_environment::recording_environment(const trace_header &header,
                                             const instance_environment &inner, trace_sink &sink)
    : m_sink(sink)
    , m_wireCodec(header.settings.peerKey)
    , m_inner(inner)
    , m_random(header.seed)
    , m_wallOffset(header.wallOffset)
    , m_now(header.start)
{
    // The constructor of the instance already contacts its seeds.
    m_sink.onInput(m_now, "start");
}

recording_environment::~recording_environment()
{
    *m_isAlive = false;
}

void recording_environment::handle(const std::string &text, std::function<void()> action)
{
    m_waiting.emplace_back(text, std::move(action));
    if (m_isHandling)
        return;
    m_isHandling = true;
    while (!m_waiting.empty()) {
        const auto [line, run] = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_now = std::max(m_now, m_inner.clock.now());
        m_sink.onInput(m_now, line);
        run();
        onInputDone();
    }
    m_isHandling = false;
}

wall_time recording_environment::wallNow() const
{
    return std::chrono::floor<wall_time>(m_now + monotonic_time(m_wallOffset));
}

void recording_environment::sendToUpstream(const endpoint &upstream,
                                           std::span<const std::byte> packet)
{
    m_sink.onOutcome(fmt::format("upstream {} {}", toString(upstream), describePacket(packet)));
    m_inner.packets.sendToUpstream(upstream, packet);
}

void recording_environment::sendToCaller(std::span<const std::byte> packet)
{
    m_sink.onOutcome("caller " + describePacket(packet));
    m_inner.packets.sendToCaller(packet);
}

void recording_environment::sendToPeer(const endpoint &peer, std::span<const std::byte> datagram)
{
    const auto kind = peerDatagramKind(datagram);
    if (kind && kind.value() == peer_datagram_kind::Relay) {
        const auto relay = m_wireCodec.decodeRelay(datagram).value();
        const bool isReply = relay.header.direction == relay_direction::ToCaller;
        m_sink.onOutcome(fmt::format("relay {} {} {} {} {}", idValue(findPeer(peer)),
                                     isReply ? "to_caller" : "to_upstream", relay.header.hops,
                                     idValue(relay.header.upstream), describePacket(relay.packet)));
    } else {
        const auto message = m_wireCodec.decode(datagram).value();
        const auto probe =
            message.probe ? static_cast<std::size_t>(message.probe->kind) : std::size_t {0};
        m_sink.onOutcome(fmt::format("message {} {} version {} records {} payloads {}",
                                     toString(peer), probeNames.at(probe), message.version,
                                     message.handover.records.size(), message.payloads.size()));
    }
    m_inner.peers.sendToPeer(peer, datagram);
}

void recording_environment::probe(upstream_id upstream, const endpoint &health)
{
    m_sink.onOutcome(fmt::format("probe {} {}", idValue(upstream), toString(health)));
    m_inner.prober.probe(upstream, health);
}

template<typename Answer>
std::function<void(result<Answer>)>
recording_environment::wrap(const std::string &call, std::function<void(result<Answer>)> handler)
{
    const std::uint64_t number = ++m_calls;
    m_sink.onOutcome(fmt::format("call {} {}", number, call));
    return [this, number, alive = m_isAlive, handler = std::move(handler)](result<Answer> answer) {
        if (!*alive)
            return handler(std::move(answer));
        const std::string text =
            answer ? describeAnswer(answer.value()) : describeError(answer.error());
        handle(fmt::format("answer {} {}", number, text), [handler, answer] { handler(answer); });
    };
}

void recording_environment::get(const std::string &key, get_handler handler)
{
    m_inner.store.get(key, wrap<key_value>("get " + key, std::move(handler)));
}

void recording_environment::watch(const std::string &key, std::uint64_t afterIndex,
                                  monotonic_time wait, get_handler handler)
{
    const auto call = fmt::format("watch {} after {} wait {}", key, afterIndex, wait.count());
    m_inner.store.watch(key, afterIndex, wait, wrap<key_value>(call, std::move(handler)));
}

void recording_environment::put(const std::string &key, std::string value, std::uint64_t casIndex,
                                put_handler handler)
{
    const auto call =
        fmt::format("put {} cas {} {}", key, casIndex, describePacket(bytesOf(value)));
    m_inner.store.put(key, std::move(value), casIndex, wrap<bool>(call, std::move(handler)));
}

void recording_environment::remove(const std::string &key, put_handler handler)
{
    m_inner.store.remove(key, wrap<bool>("remove " + key, std::move(handler)));
}

void recording_environment::listKeys(const std::string &prefix, keys_handler handler)
{
    m_inner.store.listKeys(
        prefix, wrap<std::vector<std::string>>("list_keys " + prefix, std::move(handler)));
}

void recording_environment::listInstances(list_handler handler)
{
    m_inner.store.listInstances(
        wrap<std::vector<listed_instance>>("list_instances", std::move(handler)));
}

} // namespace detail

trace_header makeTraceHeader(const instance_settings &settings,
                             const instance_environment &environment)
{
    trace_header header;
    header.settings = settings;
    header.seed = environment.random.next();
    header.start = environment.clock.now();
    header.wallOffset =
        environment.clock.wallNow().count() * microsPerSecond - header.start.count();
    return header;
}

recorded_instance::recorded_instance(const instance_settings &settings, const trace_header &header,
                                     const instance_environment &environment, trace_sink &sink)
    : recording_environment(header, environment, sink)
    , instance(settings, recording_environment::environment())
    , m_traceCodec(tracePeerKey)
{
}

std::vector<std::byte> recorded_instance::resign(std::span<const std::byte> datagram) const
{
    const auto kind = peerDatagramKind(datagram);
    if (kind && kind.value() == peer_datagram_kind::Relay) {
        if (const auto relay = wireCodec().decodeRelay(datagram))
            return m_traceCodec.encodeRelay(relay.value().sender, relay.value().header,
                                            relay.value().packet);
    } else if (const auto message = wireCodec().decode(datagram)) {
        return m_traceCodec.encode(message.value());
    }
    return {datagram.begin(), datagram.end()}; // rejected under any key
}

void recorded_instance::onFabricPacket(std::span<const std::byte> bytes,
                                       const endpoint &outerSource)
{
    handle(fmt::format("fabric {} {}", toString(outerSource), formatBytes(bytes)),
           [this, copy = std::vector(bytes.begin(), bytes.end()), outerSource] {
               instance::onFabricPacket(copy, outerSource);
           });
}

void recorded_instance::onPeerDatagram(std::span<const std::byte> datagram, const endpoint &from)
{
    handle(fmt::format("peer {} {}", toString(from), formatBytes(resign(datagram))),
           [this, copy = std::vector(datagram.begin(), datagram.end()), from] {
               instance::onPeerDatagram(copy, from);
           });
}

void recorded_instance::onProbeOutcome(upstream_id upstream, std::optional<load_report> report)
{
    std::string text = fmt::format("probe {}", idValue(upstream));
    if (report)
        text += fmt::format(" {} {} {} {} {} {} {}", report->isHealthy ? 1 : 0,
                            report->isShedding ? 1 : 0, report->busySlots, report->queued,
                            report->openFlows, report->startedAt, report->sequence);
    handle(text, [this, upstream, report] { instance::onProbeOutcome(upstream, report); });
}

void recorded_instance::tick()
{
    handle("tick", [this] { instance::tick(); });
}

void recorded_instance::submit(const config_patch &patch,
                               std::function<void(const patch_outcome &)> handler)
{
    std::string text = formatPatch(patch);
    std::replace(text.begin(), text.end(), '\n', ' ');
    handle("submit " + text, [this, patch, handler = std::move(handler)] {
        instance::submit(patch, [this, id = patch.id, handler](const patch_outcome &outcome) {
            sink().onOutcome(
                fmt::format("patch {} {} version {}", id, outcome.code.message(), outcome.version));
            handler(outcome);
        });
    });
}

void recorded_instance::readAudit(std::function<void(result<std::vector<audit_entry>>)> handler)
{
    handle("audit", [this, handler = std::move(handler)] {
        instance::readAudit([this, handler](const result<std::vector<audit_entry>> &entries) {
            sink().onOutcome(entries ? fmt::format("audit {}", entries.value().size())
                                     : "audit failed: " + entries.error().message());
            handler(entries);
        });
    });
}

void recorded_instance::beginLeaving()
{
    handle("leave", [this] { instance::beginLeaving(); });
}

instance_id recorded_instance::findPeer(const endpoint &peer) const
{
    const auto &members = board().members;
    const auto found = std::find_if(members.begin(), members.end(), [&](const auto &candidate) {
        return candidate.second.address == peer;
    });
    return found == members.end() ? noInstance : found->first;
}

void recorded_instance::onInputDone()
{
    for (std::size_t index = 0; index < m_droppedBefore.size(); ++index) {
        const auto reason = static_cast<drop_reason>(index);
        for (; m_droppedBefore[index] < dropped(reason); ++m_droppedBefore[index])
            sink().onOutcome(fmt::format("drop {}", toString(reason)));
    }
    for (; m_rejectedBefore < board().counters.peerMessagesRejected; ++m_rejectedBefore)
        sink().onOutcome("reject");
    if (board().config->version != m_versionBefore) {
        m_versionBefore = board().config->version;
        sink().onOutcome(fmt::format("version {}", m_versionBefore));
    }
    if (board().self.state != m_stateBefore) {
        m_stateBefore = board().self.state;
        sink().onOutcome(fmt::format("state {}", toString(m_stateBefore)));
    }
}

namespace {

/** A recorded instance with the writer of its trace, which ends after it. */
class instance_with_writer : private trace_writer, public recorded_instance
{
public:
    instance_with_writer(const instance_settings &settings, const trace_header &header,
                         const instance_environment &environment, std::ostream &stream)
        : trace_writer(stream, header)
        , recorded_instance(settings, header, environment, static_cast<trace_writer &>(*this))
    {
    }
};

} // namespace

std::unique_ptr<instance> makeRecordedInstance(const instance_settings &settings,
                                               const instance_environment &environment,
                                               std::ostream &stream)
{
    return std::make_unique<instance_with_writer>(settings, makeTraceHeader(settings, environment),
                                                  environment, stream);
}

} // namespace chicoryhead
