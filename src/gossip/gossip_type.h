/**
 * @file gossip_type.h
 * Messages of the gossip protocol.
 */

#pragma once

#include "core/core_type.h"
#include "health/latency_report_type.h"
#include "health/liveness_report_type.h"
#include "sync/fleet_store_base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryhead {

/** A reader of the store, as reported by digests. */
struct reader_report
{
    std::uint64_t rank = 0;  ///< hash of the reader's name; the lowest ranks read
    std::uint32_t ageMs = 0; ///< since the last response of the store to it
};

/** Summary of an instance's state, sent to others in each gossip round. */
struct gossip_digest
{
    instance_registration sender;
    store_revision revision;               ///< latest one that its state includes
    store_revision contentRevision;        ///< of the last change that concerned this system
    bool hasEpoch = true;                  ///< false if the sender's release does not report epochs
    config_version configVersion = 0;      ///< of the active configuration
    std::uint32_t ageMs = 0;               ///< since the revision was confirmed to be current
    std::vector<reader_report> readers;    ///< of the sender's domain
    std::vector<latency_report> latencies; ///< recent measurements; empty to remote domains
    /// Not present if the sender's release does not support evacuations.
    std::optional<evacuated_domains> evacuations;
};

/** Reports of an instance about upstreams that do not answer. */
struct gossip_liveness_reports
{
    std::string domain;   ///< of the sender
    bool isReply = false; ///< to a message of the receiver; gets no reply
    std::vector<liveness_report> reports;
};

/** Requests the state of the receiver. */
struct gossip_state_request
{
    config_version configVersion = 0; ///< that the requester has; 0 for none
    store_revision revision;          ///< that the requester's state includes; 0 for none
    std::uint64_t nonce = 0;          ///< random; the response repeats it
    bool hasEpoch = true;             ///< false if the requester's release does not report epochs
};

/** One fragment of an encoded state. */
struct gossip_state_fragment
{
    std::uint64_t nonce = 0; ///< of the request that it answers
    std::uint16_t index = 0;
    std::uint16_t count = 1;
    std::vector<std::uint8_t> bytes;
};

} // namespace chicoryhead
