/**
 * @file peer_type.h
 * Messages between instances.
 *
 * A peer message is control traffic: it carries membership and everything that is gossiped, queued
 * or paged. A relay is data traffic: it carries one IP packet to the instance that decides for it.
 */

#pragma once

#include "balance/balance_base.h"
#include "blackboard/blackboard_type.h"
#include "core/core_type.h"
#include "steering/steering_base.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chicoryhead {

/** Longest peer message, in bytes, so that it fits one Ethernet frame. */
inline constexpr std::size_t maxPeerMessageBytes = 1200;

/** IPv4 and UDP headers of each datagram; counted as control bytes too. */
inline constexpr std::size_t datagramOverheadBytes = 28;

/** Purpose of a membership probe. */
enum class probe_kind : std::uint8_t {
    Ping = 1,    ///< asks for an Ack with the same sequence
    Ack,         ///< answers a Ping, or a PingRequest on behalf of the target
    PingRequest, ///< asks the receiver to ping the target
    Sync,        ///< asks for members with ids above the target's
    SyncPage,    ///< answers a Sync; target is the highest id included, or none at the end
};

/** Membership part of a message. */
struct peer_probe
{
    probe_kind kind = probe_kind::Ping;
    std::uint32_t sequence = 0;
    instance_id target = noInstance; ///< for PingRequest, its Ack, Sync and SyncPage

    bool operator==(const peer_probe &) const = default;
};

/** What one instance says of another, or of itself. */
struct member_update
{
    instance_id id = noInstance;
    endpoint address;
    domain_id domain {0};
    std::uint32_t incarnation = 0;
    member_state state = member_state::Joining;

    bool operator==(const member_update &) const = default;
};

/** Version that a member has in force, passed on by others. */
struct version_report
{
    instance_id id = noInstance;
    config_version version = 0;

    bool operator==(const version_report &) const = default;
};

/** Parts of a message that other subsystems encode themselves. */
enum class payload_kind : std::uint8_t { ConfigPull = 1, ConfigPage, LedgerEntries };

/** An encoded part of a message. */
struct peer_payload
{
    payload_kind kind = payload_kind::ConfigPull;
    std::vector<std::uint8_t> bytes;

    bool operator==(const peer_payload &) const = default;
};

/** Records handed over to a home; repeated until the same sequence is acknowledged. */
struct handover_batch
{
    std::uint32_t sequence = 0; ///< 0 when there is no batch
    std::vector<flow_record> records;

    bool operator==(const handover_batch &) const = default;
};

/** One datagram of control traffic. */
struct peer_message
{
    member_update sender;       ///< the sender's view of itself
    config_version version = 0; ///< the sender's version in force
    std::optional<peer_probe> probe;
    std::vector<member_update> updates;
    std::vector<version_report> versions;
    std::vector<upstream_notice> notices;
    handover_batch handover;
    std::vector<std::uint32_t> handoverAcks;
    std::vector<peer_payload> payloads;

    bool operator==(const peer_message &) const = default;
};

/** A packet on its way to the instance that decides for it. */
struct relay_message
{
    instance_id sender = noInstance;
    relay_header header;
    std::span<const std::byte> packet; ///< refers to the datagram
};

} // namespace chicoryhead
