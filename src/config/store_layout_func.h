/**
 * @file store_layout_func.h
 * Keys and values of the configuration in the platform's key-value service.
 */

#pragma once

#include "config_change_type.h"
#include "config_json_func.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryhead {

/// A snapshot is written every 256 versions; an audit key covers the same range.
inline constexpr config_version snapshotInterval = 256;
/// Accepted patches that are remembered to answer when they are sent again.
inline constexpr std::size_t acceptedWindow = 4096;
/// Half of the service's limit of one megabyte; base64 on the way adds a third.
inline constexpr std::size_t maxValueBytes = 512000;

inline constexpr const char *logPrefix = "chicoryhead/log/";
inline constexpr const char *headKey = "chicoryhead/head";
inline constexpr const char *snapshotPrefix = "chicoryhead/snapshot/";
inline constexpr const char *auditPrefix = "chicoryhead/audit/";

/** Key of an accepted version. */
std::string logKey(config_version version);
/** Key of one part of a snapshot. */
std::string snapshotKey(config_version version, std::size_t part);
/** Key of the audit entries from a version on. */
std::string auditKey(config_version first);
/** First version of the audit key that covers a version. */
config_version firstAudited(config_version version);
/** The number that follows a prefix in a key, up to the next '/'. */
std::optional<config_version> parseKey(std::string_view key, std::string_view prefix);
/** Parses a decimal number; for the value of head. */
std::optional<config_version> parseNumber(std::string_view text);

/** Value of a log key. */
struct log_entry
{
    config_patch patch;
    config_change change;
};

/** Builds the log entry of a patch that was applied to from and led to to. */
log_entry makeLogEntry(const config_patch &patch, const configuration &from,
                       const configuration &to);
/** Encodes a log entry: the patch as one line of JSON, then the encoded change. */
std::string encodeLogEntry(const log_entry &entry);
/** Decodes a log entry; error::Malformed or error::Unsupported. */
result<log_entry> decodeLogEntry(std::string_view value);

/** Audit entry of an accepted patch. */
audit_entry makeAuditEntry(const log_entry &entry);
/** Reads what formatAudit() wrote; error::Malformed. */
result<std::vector<audit_entry>> parseAudit(const std::string &json);

/** Splits an encoded snapshot into values; each starts with the number of parts and a '/'. */
std::vector<std::string> splitSnapshot(const std::string &encoded);
/** Number of parts that a value of splitSnapshot() announces, or nothing if it is damaged. */
std::optional<std::size_t> snapshotPartCount(std::string_view value);
/** Content of a value of splitSnapshot(). */
std::string_view snapshotPartContent(std::string_view value);

} // namespace chicoryhead
