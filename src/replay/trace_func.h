/**
 * @file trace_func.h
 * Text of traces.
 */

#pragma once

#include "trace_type.h"

#include <istream>
#include <span>
#include <string>
#include <vector>

namespace chicoryhead {

/** Why a trace can't be read. */
struct trace_problem
{
    std::size_t line = 0; ///< from 1; 0 when the file can't be opened
    std::string message;
};

/** Reads a trace; on failure the problem is set and error::Malformed returned. */
result<trace> readTrace(std::istream &stream, trace_problem &problem);

/** Lines of a header, up to and including the line "events". */
std::string formatHeader(const trace_header &header);

/** Bytes as hexadecimal digits; "-" for none. */
std::string formatBytes(std::span<const std::byte> bytes);

/** Bytes of formatBytes(); error::Malformed for anything else. */
result<std::vector<std::byte>> parseBytes(const std::string &text);

/** Reads a whole decimal number; error::Malformed for anything else. */
template<typename Number>
result<Number> parseNumber(const std::string &text);

} // namespace chicoryhead
