/**
 * @file core_type.h
 * Identifiers, time and outcome types that every subsystem uses.
 */

#pragma once

#include <boost/outcome/result.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <system_error>

namespace chicoryhead {

/** Outcome of an operation that can fail: a value or an error code. */
template<typename T>
using result = boost::outcome_v2::result<T, std::error_code>;

/** Time since an arbitrary start that never goes back, in microseconds. */
using monotonic_time = std::chrono::microseconds;

/** Number of an upstream within one process; never reused. */
enum class upstream_id : std::uint32_t {};

/** Numbered version of the configuration; 0 means that none is in force. */
using config_version = std::uint64_t;

/** The upstream id that stands for "none". */
inline constexpr upstream_id noUpstream {0};

/** Numeric value of an identifier. */
template<typename Id>
constexpr auto idValue(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

/** IPv4 address and port, both in host byte order. */
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

/**
 * Parses "a.b.c.d:port".
 * @return the endpoint, or errc::invalid_argument.
 */
result<endpoint> parseEndpoint(const std::string &text);

/** Formats an endpoint as "a.b.c.d:port". */
std::string toString(const endpoint &value);

/** Transport protocol numbers of IPv4 that are steered. */
enum class transport : std::uint8_t { Tcp = 6, Udp = 17 };

/** The 5-tuple of a flow, always in the direction from caller to service. */
struct flow_key
{
    endpoint caller;
    endpoint service;
    transport protocol = transport::Tcp;

    auto operator<=>(const flow_key &) const = default; // NOLINT(modernize-use-nullptr)
};

/** Formats a flow as "caller>service". */
std::string toString(const flow_key &value);

/** 64-bit hash of a flow_key. */
using flow_hash = std::uint64_t;

/** Hash of a flow key, the same on every instance and in every release. */
flow_hash hashFlow(const flow_key &key);

/** Mixes two 64-bit values; the score for rendezvous hashing. */
std::uint64_t mixHash(std::uint64_t a, std::uint64_t b);

} // namespace chicoryhead
