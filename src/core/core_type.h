/**
 * @file core_type.h
 * Identifier, time and result types used by all subsystems.
 */

#pragma once

#include <boost/outcome/result.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <system_error>

namespace chicoryhead {

/** Result of an operation that can fail: a value or an error code. */
template<typename T>
using result = boost::outcome_v2::result<T, std::error_code>;

/** Time since an arbitrary epoch, in microseconds; never goes backwards. */
using monotonic_time = std::chrono::microseconds;

/** Identifies an upstream within one process; never reused. */
enum class upstream_id : std::uint32_t {};

/** Version number of the configuration; 0 means that none is active. */
using config_version = std::uint64_t;

/** Upstream id that means "none". */
inline constexpr upstream_id noUpstream {0};

/** Returns the numeric value of an identifier. */
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
 * @return the endpoint, or std::errc::invalid_argument.
 */
result<endpoint> parseEndpoint(const std::string &text);

/** Formats an endpoint as "a.b.c.d:port". */
std::string toString(const endpoint &value);

/** IPv4 protocol numbers of the supported transports. */
enum class transport : std::uint8_t { Tcp = 6, Udp = 17 };

/** 5-tuple of a flow, always in the direction from caller to service. */
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

/** Hashes a flow key; the result is the same on all instances and in all releases. */
flow_hash hashFlow(const flow_key &key);

/** Hashes two 64-bit values into one. */
std::uint64_t mixHash(std::uint64_t a, std::uint64_t b);

} // namespace chicoryhead
