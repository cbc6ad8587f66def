/**
 * @file test_instance_request.cpp
 * Which ledger decides for a non-idempotent request that is relayed between homes.
 */

#include "instance/instance_base.h"
#include "packet/packet_func.h"
#include "support/fake_store.h"
#include "support/virtual_time.h"

#include <catch2/catch.hpp>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

using std::chrono::milliseconds;

const std::string key = "key of this test only";
const endpoint serviceAddress {0x0a0a0001, 443};
const endpoint callerAddress {0x0a010001, 4000};

/** One instance with a request service of one upstream. */
struct lone_instance : packet_sink, peer_sink, load_prober
{
    lone_instance()
        : store(clock, 1)
        , client(store)
        , core(makeSettings(), {clock, random, *this, *this, *this, client})
    {
        patch_operation create;
        create.kind = patch_operation_kind::CreateService;
        create.service = create.newService.name = "desk";
        create.newService.address = serviceAddress;
        create.newService.protocol = service_protocol::Request;
        upstream_config upstream;
        upstream.name = "u1";
        upstream.domain = domain_id {1};
        upstream.address = {0x7f000001, 6080};
        create.newService.upstreams.push_back(upstream);
        config_patch patch;
        patch.id = patch.author = patch.reason = "test";
        patch.operations.push_back(create);
        core.submit(patch, [](const patch_outcome &) {});
        for (int step = 0; step < 500; ++step) {
            clock.runUntil(clock.now() + milliseconds(10));
            core.tick();
        }
    }

    static instance_settings makeSettings()
    {
        instance_settings settings;
        settings.id = instance_id {1};
        settings.domain = domain_id {1};
        settings.peerAddress = {0x7f000001, 9001};
        settings.peerKey = key;
        return settings;
    }

    /** Hands in a request that another home relayed with its decision. */
    void relayRequest(bool isAdmitted)
    {
        request_frame frame;
        frame.requestId = 7;
        frame.remainingMs = 1000;
        const auto packet = buildUdpPacket(callerAddress, serviceAddress, encodeFrame(frame));
        const auto upstream = core.board().config->findService("desk")->upstreams.front().id;
        const relay_header header {relay_direction::ToUpstream, 2, upstream, isAdmitted};
        core.onPeerDatagram(codec.encodeRelay(instance_id {2}, header, packet), {});
    }

    void sendToUpstream(const endpoint &, std::span<const std::byte>) override { ++forwarded; }
    void sendToCaller(std::span<const std::byte>) override { }
    void sendToPeer(const endpoint &, std::span<const std::byte>) override { }
    void probe(upstream_id, const endpoint &) override { }

    event_clock clock;
    stepped_random random {1};
    fake_store store;
    fake_store_client client;
    peer_codec codec {key};
    int forwarded = 0;
    instance core;
};

} // namespace

TEST_CASE("a request that home 1 has admitted is not judged again by another ledger",
          "[instance][request]")
{
    // Two ledgers for one request let two copies pass, each one its own; see relay_header.
    lone_instance one;
    REQUIRE(one.core.board().config->version == 1);
    one.relayRequest(true);
    one.relayRequest(true);
    CHECK(one.forwarded == 2);
}

TEST_CASE("a relayed request that no ledger has admitted passes once", "[instance][request]")
{
    lone_instance one;
    one.relayRequest(false);
    one.relayRequest(false);
    CHECK(one.forwarded == 1);
}
