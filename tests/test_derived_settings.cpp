/**
 * @file test_derived_settings.cpp
 * Derived settings of the modules under bounds that differ from those of known deployments.
 */

#include "entry/derived_settings.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

entry_settings settingsWith(monotonic_time bound, monotonic_time grace)
{
    entry_settings settings;
    settings.configBound = bound;
    settings.drainBound = bound * 2;
    settings.stopGrace = grace;
    settings.storeHistory = 20s;
    settings.maxValueBytes = 1048576;
    settings.linkBytesPerSecond = 1'250'000;
    return settings;
}

} // namespace

TEST_CASE("Derived times fit into each propagation bound", "[settings]")
{
    // Guards against constants that only fit the bounds of one deployment.
    for (const monotonic_time bound : {600ms, 1500ms, 3000ms, 6000ms, 12000ms, 60000ms}) {
        const auto settings = settingsWith(bound, 6s);
        const auto follower = deriveFollowerSettings(settings);
        const auto gossip = deriveGossipSettings(settings);
        const auto calls = deriveStoreCallTimes(settings);
        INFO("bound " << bound.count() / 1000 << " ms");
        // A watch on a dead connection times out with time left for another call.
        CHECK(follower.watchTimeout + calls.watchMargin <= bound * 2 / 3);
        CHECK(calls.timeout <= bound / 2);
        // An instance with old state reads the store in time, even after its read delay.
        CHECK(follower.maxStateAge + gossip.maxStoreReadDelay < bound);
        CHECK(follower.batchInterval * follower.backupBatchFactor < follower.watchTimeout);
        CHECK(follower.nonReaderRetryDelay <= bound / 2);
    }
}

TEST_CASE("A verdict ends within each window in which flows may be reset for a disruption",
          "[settings]")
{
    // Guards against resets after the window of a deployment with a shorter one than others.
    for (const monotonic_time window : {1000ms, 2500ms, 4000ms, 6000ms, 60000ms}) {
        auto settings = settingsWith(3s, 6s);
        settings.disruptionWindow = window;
        const auto limits = deriveHealthLimits(settings);
        INFO("window " << window.count() / 1'000'000 << " ms");
        CHECK(limits.maxRequestAge < window);
        CHECK(limits.maxRequestAge <= limits.maxEvidenceAge);
        // A request is known to be unanswered when its caller repeats it.
        CHECK(limits.maxRequestAge > 2 * limits.minRetransmissionDelay + limits.refutationTime);
    }
    CHECK(deriveHealthLimits(settingsWith(3s, 6s)).maxRequestAge == 3s);
}

TEST_CASE("A shutdown outlasts removal from rotation under each grace period that allows it",
          "[settings]")
{
    // Guards against lost packets where the grace period is shorter than in other deployments.
    for (const monotonic_time grace : {2s, 3s, 6s, 30s}) {
        const auto shutdown = deriveShutdownSettings(settingsWith(3s, grace));
        INFO("grace " << grace.count() / 1'000'000 << " s");
        CHECK(shutdown.gracePeriod - shutdown.exitReserve >= shutdown.rotationRemovalTime);
        CHECK(shutdown.exitReserve > 0s);
    }
}

TEST_CASE("Snapshot interval and transfer rate follow the store history and the link rate",
          "[settings]")
{
    auto settings = settingsWith(3s, 6s);
    CHECK(derivePublisherSettings(settings).interval * 2 < settings.storeHistory);
    settings.storeHistory = 0s;
    CHECK(derivePublisherSettings(settings).interval == 0s);
    CHECK(deriveTransferLimits(settings).bytesPerSecond == settings.linkBytesPerSecond / 4);
}

TEST_CASE("The grace period after a restore outlasts the announcement of an upstream that is gone",
          "[settings]")
{
    // Guards against an upstream that is used again because a restored store still lists it.
    auto settings = settingsWith(3s, 6s);
    CHECK(deriveRestoreGracePeriod(settings) > 0s);
    for (const monotonic_time interval : {300ms, 1200ms, 5000ms}) {
        settings.announcementInterval = interval;
        CHECK(deriveRestoreGracePeriod(settings) > interval * 3);
    }
}
