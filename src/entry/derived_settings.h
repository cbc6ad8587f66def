/**
 * @file derived_settings.h
 * Derives the settings of the modules from the bounds in the settings file.
 */

#pragma once

#include "directory/directory_base.h"
#include "gossip/gossip_base.h"
#include "graceful_shutdown_base.h"
#include "health/upstream_health_base.h"
#include "platform/platform_store.h"
#include "settings/entry_settings_type.h"
#include "sync/snapshot_publisher_base.h"
#include "sync/store_follower_base.h"

namespace chicoryhead {

/** Time within which every change in the store has to be in force: the tightest bound. */
monotonic_time propagationBound(const entry_settings &settings);

shutdown_settings deriveShutdownSettings(const entry_settings &settings);
platform::store_call_timeouts deriveStoreCallTimes(const entry_settings &settings);
directory_settings deriveDirectorySettings(const entry_settings &settings);
follower_settings deriveFollowerSettings(const entry_settings &settings);
gossip_settings deriveGossipSettings(const entry_settings &settings);
publisher_settings derivePublisherSettings(const entry_settings &settings);
health_limits deriveHealthLimits(const entry_settings &settings);
transfer_limits deriveTransferLimits(const entry_settings &settings);

/** Time after a restore of the store in which upstreams and operators write again what it lost. */
monotonic_time deriveRestoreGracePeriod(const entry_settings &settings);

} // namespace chicoryhead
