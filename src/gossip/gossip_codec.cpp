/**
 * @file gossip_codec.cpp
 * Serialization of gossip messages. Element counts are checked before memory is allocated.
 */

#include "gossip_codec_func.h"

#include "core/codec_func.h"
#include "core/field_limits.h"
#include "sync/registration_codec_func.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>

namespace chicoryhead {

namespace {

/// Incremented when a message changes. Messages of other versions are refused, so instances with
/// different versions read the store themselves.
constexpr std::uint8_t gossipFormatVersion = 4;

enum class message_type : std::uint8_t {
    Digest = 1,
    StateRequest = 2,
    StateFragment = 3,
    LivenessReports = 4
};

constexpr std::size_t maxReaders = 8;
constexpr std::size_t maxLatencies = 64;
constexpr std::size_t maxReports = 64;
constexpr std::size_t maxReporters = 16;
/// Encodes that no answer of the upstream is known.
constexpr std::uint32_t neverAnswered = UINT32_MAX;

/** Requests among the unanswered packets of a reporter. */
struct unanswered_requests
{
    std::uint8_t count = 0;
    std::uint32_t ageMs = 0;
};

template<typename Archive>
void serialize(Archive &archive, unanswered_requests &value)
{
    archive(value.count, value.ageMs);
}

/** Extension of liveness reports: one element for each reporter, in the order of the message. */
struct requests_extension
{
    std::vector<unanswered_requests> reporters;
};

template<typename Archive>
void save(Archive &archive, const requests_extension &value)
{
    saveBounded(archive, value.reporters);
}

template<typename Archive>
void load(Archive &archive, requests_extension &value)
{
    loadBounded(archive, value.reporters, maxReports * maxReporters);
}

/// Empty if no reporter has unanswered requests and no other extension follows.
std::optional<requests_extension> requestsOf(const std::vector<liveness_report> &reports,
                                             bool isFollowed)
{
    requests_extension extension;
    bool hasRequests = false;
    for (const liveness_report &report : reports) {
        for (const failure_reporter &reporter : report.reporters) {
            extension.reporters.push_back({reporter.requests, reporter.requestAgeMs});
            hasRequests = hasRequests || reporter.requests > 0;
        }
    }
    return hasRequests || isFollowed ? std::optional(extension) : std::nullopt;
}

/// Returns whether the extension has an element for each reporter.
bool setRequests(std::vector<liveness_report> &reports, const requests_extension &extension)
{
    auto next = extension.reporters.begin();
    for (liveness_report &report : reports) {
        for (failure_reporter &reporter : report.reporters) {
            if (next == extension.reporters.end())
                return false;
            reporter.requests = next->count;
            reporter.requestAgeMs = next->ageMs;
            ++next;
        }
    }
    return next == extension.reporters.end();
}

/** Requests of a reporter that wait for their answers. */
struct stalled_requests
{
    std::uint8_t waiting = 0;
    std::uint8_t stalled = 0;
    std::uint32_t ageMs = 0;
    std::uint32_t sinceAgeMs = 0;
};

template<typename Archive>
void serialize(Archive &archive, stalled_requests &value)
{
    archive(value.waiting, value.stalled, value.ageMs, value.sinceAgeMs);
}

/** Extension of liveness reports: one element for each report and for each reporter, in order. */
struct stalls_extension
{
    std::vector<std::uint32_t> requestAnsweredAgesMs; ///< or neverAnswered
    std::vector<stalled_requests> reporters;
};

template<typename Archive>
void save(Archive &archive, const stalls_extension &value)
{
    saveBounded(archive, value.requestAnsweredAgesMs);
    saveBounded(archive, value.reporters);
}

template<typename Archive>
void load(Archive &archive, stalls_extension &value)
{
    loadBounded(archive, value.requestAnsweredAgesMs, maxReports);
    loadBounded(archive, value.reporters, maxReports * maxReporters);
}

/// Empty if no report has the age of an answer to a request.
std::optional<stalls_extension> stallsOf(const std::vector<liveness_report> &reports)
{
    stalls_extension extension;
    bool isNeeded = false;
    for (const liveness_report &report : reports) {
        isNeeded = isNeeded || report.tellsRequestAnswers;
        const auto &answered =
            report.tellsRequestAnswers ? report.requestAnsweredAgeMs : report.answeredAgeMs;
        extension.requestAnsweredAgesMs.push_back(answered.value_or(neverAnswered));
        for (const failure_reporter &reporter : report.reporters)
            extension.reporters.push_back({reporter.waiting, reporter.stalled,
                                           reporter.stalledAgeMs, reporter.stalledSinceAgeMs});
    }
    return isNeeded ? std::optional(extension) : std::nullopt;
}

/// Returns whether the extension has an element for each report and each reporter.
bool setStalls(std::vector<liveness_report> &reports, const stalls_extension &extension)
{
    if (extension.requestAnsweredAgesMs.size() != reports.size())
        return false;
    auto answered = extension.requestAnsweredAgesMs.begin();
    auto next = extension.reporters.begin();
    for (liveness_report &report : reports) {
        report.tellsRequestAnswers = true;
        if (*answered != neverAnswered)
            report.requestAnsweredAgeMs = *answered;
        ++answered;
        for (failure_reporter &reporter : report.reporters) {
            if (next == extension.reporters.end())
                return false;
            reporter.waiting = next->waiting;
            reporter.stalled = next->stalled;
            reporter.stalledAgeMs = next->ageMs;
            reporter.stalledSinceAgeMs = next->sinceAgeMs;
            ++next;
        }
    }
    return next == extension.reporters.end();
}

} // namespace

template<typename Archive>
void serialize(Archive &archive, reader_report &value)
{
    archive(value.rank, value.ageMs);
}

template<typename Archive>
void serialize(Archive &archive, gossip_state_request &value)
{
    archive(value.configVersion, value.revision.number, value.nonce);
}

template<typename Archive>
void serialize(Archive &archive, latency_report &value)
{
    archive(value.upstream, value.latencyMs);
}

template<typename Archive>
void save(Archive &archive, const gossip_digest &value)
{
    archive(value.sender, value.revision.number, value.contentRevision.number, value.configVersion,
            value.ageMs);
    saveBounded(archive, value.readers);
    saveBounded(archive, value.latencies);
}

template<typename Archive>
void load(Archive &archive, gossip_digest &value)
{
    archive(value.sender, value.revision.number, value.contentRevision.number, value.configVersion,
            value.ageMs);
    loadBounded(archive, value.readers, maxReaders);
    loadBounded(archive, value.latencies, maxLatencies);
}

template<typename Archive>
void serialize(Archive &archive, failure_reporter &value)
{
    archive(value.instance, value.retransmissions, value.ageMs);
}

template<typename Archive>
void save(Archive &archive, const liveness_report &value)
{
    archive(value.upstream, value.answeredAgeMs.value_or(neverAnswered));
    saveBounded(archive, value.reporters);
}

template<typename Archive>
void load(Archive &archive, liveness_report &value)
{
    std::uint32_t answeredAgeMs = neverAnswered;
    archive(value.upstream, answeredAgeMs);
    if (answeredAgeMs != neverAnswered)
        value.answeredAgeMs = answeredAgeMs;
    loadBounded(archive, value.reporters, maxReporters);
}

template<typename Archive>
void save(Archive &archive, const gossip_liveness_reports &value)
{
    saveBytes(archive, value.domain);
    archive(static_cast<std::uint8_t>(value.isReply ? 1 : 0));
    saveBounded(archive, value.reports);
}

template<typename Archive>
void load(Archive &archive, gossip_liveness_reports &value)
{
    loadBytes(archive, value.domain, maxNameBytes);
    std::uint8_t isReply = 0;
    archive(isReply);
    value.isReply = isReply != 0;
    loadBounded(archive, value.reports, maxReports);
}

template<typename Archive>
void save(Archive &archive, const gossip_state_fragment &value)
{
    archive(value.nonce, value.index, value.count);
    saveBytes(archive, value.bytes);
}

template<typename Archive>
void load(Archive &archive, gossip_state_fragment &value)
{
    archive(value.nonce, value.index, value.count);
    loadBytes(archive, value.bytes, maxFragmentBytes);
}

namespace {

template<typename Message, typename... Extensions>
std::vector<std::byte> encodeAs(message_type type, const Message &message,
                                const std::optional<Extensions> &...extensions)
{
    auto encoded = encodeExtended(gossipFormatVersion, message, extensions...);
    encoded.insert(encoded.begin(), static_cast<std::byte>(type));
    return encoded;
}

template<typename Message>
result<gossip_message> decodeAs(std::span<const std::byte> bytes)
{
    auto decoded = decodeBinary<Message>(gossipFormatVersion, bytes);
    if (!decoded)
        return decoded.error();
    return gossip_message(std::move(decoded.value()));
}

result<gossip_message> decodeDigest(std::span<const std::byte> bytes)
{
    std::optional<evacuated_domains> evacuations;
    std::optional<detail::epoch_extension> epochs;
    auto decoded = decodeExtended<gossip_digest>(gossipFormatVersion, bytes, evacuations, epochs);
    if (!decoded)
        return decoded.error();
    decoded.value().evacuations = std::move(evacuations);
    detail::setEpochs(decoded.value(), epochs);
    return gossip_message(std::move(decoded.value()));
}

result<gossip_message> decodeStateRequest(std::span<const std::byte> bytes)
{
    std::optional<std::uint64_t> epoch;
    auto decoded = decodeExtended<gossip_state_request>(gossipFormatVersion, bytes, epoch);
    if (!decoded)
        return decoded.error();
    decoded.value().hasEpoch = epoch.has_value();
    decoded.value().revision.epoch = epoch.value_or(0);
    return gossip_message(decoded.value());
}

result<gossip_message> decodeLivenessReports(std::span<const std::byte> bytes)
{
    std::optional<requests_extension> requests;
    std::optional<stalls_extension> stalls;
    auto decoded =
        decodeExtended<gossip_liveness_reports>(gossipFormatVersion, bytes, requests, stalls);
    if (!decoded)
        return decoded.error();
    if (requests && !setRequests(decoded.value().reports, *requests))
        return error::Malformed;
    if (stalls && !setStalls(decoded.value().reports, *stalls))
        return error::Malformed;
    return gossip_message(std::move(decoded.value()));
}

} // namespace

std::vector<std::byte> encodeGossip(const gossip_digest &message)
{
    std::optional<detail::epoch_extension> epochs;
    if (message.hasEpoch)
        epochs = detail::epochsOf(message);
    return encodeAs(message_type::Digest, message, message.evacuations, epochs);
}

std::vector<std::byte> encodeGossip(const gossip_state_request &message)
{
    std::optional<std::uint64_t> epoch;
    if (message.hasEpoch)
        epoch = message.revision.epoch;
    return encodeAs(message_type::StateRequest, message, epoch);
}

std::vector<std::byte> encodeGossip(const gossip_state_fragment &message)
{
    return encodeAs(message_type::StateFragment, message);
}

std::vector<std::byte> encodeGossip(const gossip_liveness_reports &message)
{
    const auto stalls = stallsOf(message.reports);
    return encodeAs(message_type::LivenessReports, message,
                    requestsOf(message.reports, stalls.has_value()), stalls);
}

result<gossip_message> decodeGossip(std::span<const std::byte> datagram)
{
    if (datagram.empty())
        return error::Malformed;
    switch (static_cast<message_type>(datagram.front())) {
    case message_type::Digest:
        return decodeDigest(datagram.subspan(1));
    case message_type::StateRequest:
        return decodeStateRequest(datagram.subspan(1));
    case message_type::StateFragment:
        return decodeAs<gossip_state_fragment>(datagram.subspan(1));
    case message_type::LivenessReports:
        return decodeLivenessReports(datagram.subspan(1));
    }
    return error::Malformed;
}

} // namespace chicoryhead
