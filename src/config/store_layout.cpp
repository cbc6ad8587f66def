/**
 * @file store_layout.cpp
 * Keys and values of the configuration in the platform's key-value service.
 */

#include "config_apply_func.h"
#include "config_codec_func.h"
#include "core/core_error.h"
#include "store_layout_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace chicoryhead {

namespace {

constexpr std::size_t maxSummaryBytes = 160;
constexpr std::size_t snapshotPartBytes = maxValueBytes - 32;
/// 1,024 parts hold 500 MB, far above the largest configuration.
constexpr std::size_t maxSnapshotParts = 1024;

std::string summarize(const config_patch &patch)
{
    std::string summary = patch.author + ':';
    for (const auto &operation : patch.operations) {
        summary += ' ' + describeOperation(operation) + ';';
        if (summary.size() > maxSummaryBytes) {
            summary.resize(maxSummaryBytes);
            break;
        }
    }
    summary.pop_back();
    return summary;
}

} // namespace

std::string logKey(config_version version)
{
    return logPrefix + std::to_string(version);
}

std::string snapshotKey(config_version version, std::size_t part)
{
    return snapshotPrefix + std::to_string(version) + '/' + std::to_string(part);
}

std::string auditKey(config_version first)
{
    return auditPrefix + std::to_string(first);
}

config_version firstAudited(config_version version)
{
    return version - (version - 1) % snapshotInterval;
}

std::optional<config_version> parseNumber(std::string_view text)
{
    config_version number = 0;
    const char *last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, number);
    if (code != std::errc {} || end != last)
        return std::nullopt;
    return number;
}

std::optional<config_version> parseKey(std::string_view key, std::string_view prefix)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    key.remove_prefix(prefix.size());
    return parseNumber(key.substr(0, key.find('/')));
}

log_entry makeLogEntry(const config_patch &patch, const configuration &from,
                       const configuration &to)
{
    log_entry entry {patch, computeChange(from, to)};
    entry.change.patchId = patch.id;
    entry.change.summary = summarize(patch);
    return entry;
}

std::string encodeLogEntry(const log_entry &entry)
{
    return formatPatch(entry.patch) + '\n' + encodeChange(entry.change);
}

result<log_entry> decodeLogEntry(std::string_view value)
{
    const auto end = value.find('\n');
    if (end == std::string_view::npos)
        return error::Malformed;
    std::vector<config_problem> problems;
    auto patch = parsePatch(std::string(value.substr(0, end)), problems);
    if (!patch)
        return error::Malformed;
    auto change = decodeChange(value.substr(end + 1));
    if (!change)
        return change.error();
    return log_entry {std::move(patch).value(), std::move(change).value()};
}

audit_entry makeAuditEntry(const log_entry &entry)
{
    const config_patch &patch = entry.patch;
    audit_entry audit {entry.change.version, patch.baseVersion, patch.id, patch.author,
                       patch.reason,         patch.submittedAt, {}};
    for (const auto &operation : patch.operations)
        audit.changes.push_back(describeOperation(operation));
    return audit;
}

result<std::vector<audit_entry>> parseAudit(const std::string &text)
{
    std::vector<audit_entry> entries;
    try {
        const auto document = nlohmann::json::parse(text);
        for (const auto &item : document) {
            entries.push_back(
                {item.at("version").get<config_version>(),
                 item.at("base_version").get<config_version>(), item.at("id").get<std::string>(),
                 item.at("author").get<std::string>(), item.at("reason").get<std::string>(),
                 wall_time(item.at("time").get<std::int64_t>()),
                 item.at("changes").get<std::vector<std::string>>()});
        }
    } catch (const nlohmann::json::exception &) {
        return error::Malformed;
    }
    return entries;
}

std::vector<std::string> splitSnapshot(const std::string &encoded)
{
    const std::size_t count =
        std::max<std::size_t>(1, (encoded.size() + snapshotPartBytes - 1) / snapshotPartBytes);
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < count; ++i)
        parts.push_back(std::to_string(count) + '/'
                        + encoded.substr(i * snapshotPartBytes, snapshotPartBytes));
    return parts;
}

std::optional<std::size_t> snapshotPartCount(std::string_view value)
{
    const auto end = value.find('/');
    const auto count = parseNumber(value.substr(0, std::min(end, std::size_t {8})));
    if (end == std::string_view::npos || !count || *count == 0 || *count > maxSnapshotParts)
        return std::nullopt;
    return static_cast<std::size_t>(*count);
}

std::string_view snapshotPartContent(std::string_view value)
{
    return value.substr(value.find('/') + 1);
}

} // namespace chicoryhead
