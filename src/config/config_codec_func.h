/**
 * @file config_codec_func.h
 * Binary form of changes and snapshots, for the store and for pages between instances.
 */

#pragma once

#include "config_change_type.h"

#include <string>
#include <string_view>

namespace chicoryhead {

/** Encodes a change. Deterministic. */
std::string encodeChange(const config_change &change);

/** Decodes a change; error::Malformed or error::Unsupported. */
result<config_change> decodeChange(std::string_view bytes);

/** Encodes a snapshot. Deterministic. */
std::string encodeSnapshot(const config_snapshot &snapshot);

/** Decodes a snapshot; error::Malformed or error::Unsupported. */
result<config_snapshot> decodeSnapshot(std::string_view bytes);

} // namespace chicoryhead
