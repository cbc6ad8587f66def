/**
 * @file gossip_type.h
 * Messages between instances.
 */

#pragma once

#include "core/core_type.h"
#include "health/latency_report_type.h"
#include "health/liveness_report_type.h"
#include "sync/fleet_store_base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryhead {

/** An instance that reads the store, as far as other instances report. */
struct reader_report
{
    std::uint64_t rank = 0;  ///< hash of the instance's name; the lowest ranks read
    std::uint32_t ageMs = 0; ///< since the store answered it
};

/** What an instance tells others at regular times. */
struct gossip_digest
{
    instance_registration sender;
    store_revision revision = 0;           ///< that its state includes
    store_revision contentRevision = 0;    ///< of the last change that meant something
    config_version configVersion = 0;      ///< of the configuration in force
    std::uint32_t ageMs = 0;               ///< since the revision was confirmed
    std::vector<reader_report> readers;    ///< in the sender's domain
    std::vector<latency_report> latencies; ///< measured lately; empty to other domains
};

/** What an instance knows of upstreams that don't answer. */
struct gossip_liveness_reports
{
    std::string domain;   ///< of the sender
    bool isReply = false; ///< to reports of the receiver; not replied to
    std::vector<liveness_report> reports;
};

/** Asks for the state of the receiver. */
struct gossip_state_request
{
    config_version configVersion = 0; ///< of the asker's configuration; 0 for none
    store_revision revision = 0;      ///< that the asker's state includes; 0 for none
    std::uint64_t nonce = 0;          ///< drawn by the asker; the answer repeats it
};

/** Part of the state of an instance. */
struct gossip_state_fragment
{
    std::uint64_t nonce = 0; ///< of the question that it answers
    std::uint16_t index = 0;
    std::uint16_t count = 1;
    std::vector<std::uint8_t> bytes;
};

} // namespace chicoryhead
