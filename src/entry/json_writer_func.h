/**
 * @file json_writer_func.h
 * Members of the JSON documents that an instance serves.
 */

#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string_view>

namespace chicoryhead::detail {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

inline void writeText(json_writer &writer, const char *key, std::string_view text)
{
    writer.Key(key);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

inline void writeCount(json_writer &writer, const char *key, std::uint64_t count)
{
    writer.Key(key);
    writer.Uint64(count);
}

} // namespace chicoryhead::detail
