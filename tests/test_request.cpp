/**
 * @file test_request.cpp
 * Request ledger: at most one run, and true outcomes.
 */

#include "core/core_error.h"
#include "request/ledger_base.h"
#include "steering/homes_base.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

struct fake_clock : clock_source
{
    monotonic_time time {1s};
    monotonic_time now() const override { return time; }
    wall_time wallNow() const override { return {}; }
};

constexpr ledger_verdict passed {true, request_outcome::None};
constexpr ledger_verdict dropped {false, request_outcome::None};
constexpr ledger_verdict refused {false, request_outcome::Refused};
constexpr ledger_verdict unknown {false, request_outcome::Unknown};
constexpr flow_hash flow = 1234;

request_frame makeFrame(std::uint64_t id, std::uint8_t attempt = 0, std::uint16_t part = 0,
                        std::uint16_t parts = 1)
{
    request_frame frame;
    frame.requestId = id;
    frame.attempt = attempt;
    frame.part = part;
    frame.partCount = parts;
    frame.remainingMs = 2000;
    return frame;
}

/** A ledger that has been home for so long that its history is complete. */
struct fixture
{
    fake_clock clock;
    request_ledger ledger {clock, instance_id {1}};

    fixture() { clock.time += 11min; }

    /** A member that was home 1 of the flow before this instance. */
    static instance_id formerHome()
    {
        std::uint32_t id = 2;
        while (homeOf(flow, id) != instance_id {id})
            ++id;
        return instance_id {id};
    }

    /** Home 1 of a flow when instance 1 and another one are ready, as steering chooses it. */
    static instance_id homeOf(flow_hash hash, std::uint32_t other)
    {
        const fake_clock clock;
        blackboard board;
        for (const std::uint32_t ready : {1U, other}) {
            member &one = board.members[instance_id {ready}];
            one.id = instance_id {ready};
            one.state = member_state::Ready;
        }
        return home_table(board, clock).flowHomes(hash).first;
    }
};

} // namespace

TEST_CASE("each part is passed on once and copies are dropped", "[request]")
{
    fixture f;
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 0, 0, 2)) == passed);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 0, 0, 2)) == dropped);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1, 1, 2)) == passed);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1, 1, 2)) == dropped);
    CHECK(f.ledger.onRequest(flow + 1, makeFrame(1)) == passed);
}

TEST_CASE("a later attempt of a request that was passed on whole gets `unknown` at once",
          "[request]")
{
    // It was dropped before, and a caller whose answer was lost never learnt any outcome.
    fixture f;
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 0, 0, 2)) == passed);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1, 0, 2)) == dropped);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1, 1, 2)) == passed);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1, 1, 2)) == dropped);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 2, 0, 2)) == unknown);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 0, 1, 2)) == dropped);
}

TEST_CASE("a later attempt without an entry may have run", "[request]")
{
    fixture f;
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1)) == unknown);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 0)) == unknown);
}

TEST_CASE("a cancel that overtakes its request prevents the run", "[request]")
{
    fixture f;
    CHECK(f.ledger.onCancel(flow, makeFrame(1)) == refused);
    CHECK(f.ledger.onRequest(flow, makeFrame(1)) == refused);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1)) == refused);
}

TEST_CASE("a cancel after the request goes on, and the outcome comes at once", "[request]")
{
    fixture f;
    f.ledger.onRequest(flow, makeFrame(1, 0, 0, 2));
    CHECK(f.ledger.onCancel(flow, makeFrame(1)) == ledger_verdict {true, request_outcome::Unknown});
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 0, 1, 2)) == unknown);
}

TEST_CASE("a cancel without an entry after the loss of a home does not claim 'not run'",
          "[request]")
{
    fixture f;
    f.ledger.onHomeLost(fixture::formerHome());
    f.clock.time += 5s;
    CHECK(f.ledger.onCancel(flow, makeFrame(1)) == ledger_verdict {true, request_outcome::Unknown});
    CHECK(f.ledger.onRequest(flow, makeFrame(1)) == refused);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1)) == unknown);
}

TEST_CASE("a refused request stays refused, so that a late attempt does not run", "[request]")
{
    fixture f;
    CHECK(f.ledger.refuse(flow, makeFrame(1)) == refused);
    CHECK(f.ledger.onRequest(flow, makeFrame(1)) == refused);
    CHECK(f.ledger.onRequest(flow, makeFrame(1, 1)) == refused);
}

TEST_CASE("nothing is called refused after a part was passed on", "[request]")
{
    fixture f;
    f.ledger.onRequest(flow, makeFrame(1, 0, 0, 2));
    CHECK(f.ledger.refuse(flow, makeFrame(1, 0, 0, 2)) == dropped);
    CHECK(f.ledger.refuse(flow, makeFrame(1, 0, 1, 2)) == unknown);
    CHECK(f.ledger.refuse(flow, makeFrame(2, 1)) == unknown);
}

TEST_CASE("expired work is not passed on", "[request]")
{
    fixture f;
    auto frame = makeFrame(1);
    frame.remainingMs = 0;
    CHECK(f.ledger.onRequest(flow, frame) == refused);
}

TEST_CASE("for 1 s after a home's death first attempts may be copies", "[request]")
{
    fixture f;
    f.ledger.onHomeLost(fixture::formerHome());
    CHECK(f.ledger.onRequest(flow, makeFrame(1)) == unknown);
    f.clock.time += 1s;
    f.ledger.tick();
    CHECK(f.ledger.onRequest(flow, makeFrame(1)) == unknown);
    CHECK(f.ledger.onRequest(flow, makeFrame(2)) == passed);
}

TEST_CASE("flows that a dead member was home of are those that steering sent to it", "[request]")
{
    // With another ranking than steering's, copies of requests that the dead home had passed on
    // would run again, and requests of other flows would get `unknown` without need.
    fixture f;
    f.ledger.onHomeLost(instance_id {2});
    for (std::uint64_t number = 0; number < 200; ++number) {
        const flow_hash hash = mixHash(number, 17);
        const bool wasElsewhere = fixture::homeOf(hash, 2) == instance_id {2};
        CHECK(f.ledger.onRequest(hash, makeFrame(1)) == (wasElsewhere ? unknown : passed));
    }
}

TEST_CASE("entries are kept until the deadline plus 30 s", "[request]")
{
    fixture f;
    f.ledger.onRequest(flow, makeFrame(1));
    f.clock.time += 31999ms;
    f.ledger.tick();
    CHECK(f.ledger.size() == 1);
    f.clock.time += 1ms;
    f.ledger.tick();
    CHECK(f.ledger.size() == 0);
}

TEST_CASE("a full ledger never claims 'not run' without remembering it", "[request]")
{
    fake_clock clock;
    request_ledger ledger(clock, instance_id {1}, {.maxEntries = 16});
    clock.time += 11min;
    int passes = 0;
    int refusals = 0;
    for (std::uint64_t id = 0; id < 40; ++id) {
        const auto verdict = ledger.onRequest(flow, makeFrame(id));
        passes += verdict.isPassed ? 1 : 0;
        refusals += verdict == refused ? 1 : 0;
    }
    CHECK(passes == 14);
    CHECK(refusals == 2);
    CHECK(ledger.size() == 16);
    CHECK(ledger.onRequest(flow, makeFrame(39)) == unknown);
}

TEST_CASE("a handover keeps states, in both directions", "[request]")
{
    fixture a;
    fixture b;
    a.ledger.onRequest(flow, makeFrame(1, 0, 0, 2));
    a.ledger.refuse(flow, makeFrame(2));
    const auto entries = a.ledger.collect([](flow_hash) { return true; });
    const auto decoded = decodeLedgerEntries(encodeLedgerEntries(entries));
    REQUIRE(decoded);
    CHECK(decoded.value() == entries);
    for (const auto &entry : decoded.value())
        b.ledger.onHandover(entry);
    CHECK(b.ledger.onRequest(flow, makeFrame(1, 0, 0, 2)) == dropped);
    CHECK(b.ledger.onRequest(flow, makeFrame(1, 1, 1, 2)) == passed);
    CHECK(b.ledger.onRequest(flow, makeFrame(2)) == refused);
    for (const auto &entry : b.ledger.collect([](flow_hash) { return true; }))
        a.ledger.onHandover(entry);
    CHECK(a.ledger.onRequest(flow, makeFrame(1, 0, 1, 2)) == dropped);
}

TEST_CASE("contradicting entries of two homes become unknown", "[request]")
{
    fixture a;
    fixture b;
    a.ledger.onRequest(flow, makeFrame(1));
    b.ledger.refuse(flow, makeFrame(1));
    b.ledger.onHandover(a.ledger.collect([](flow_hash) { return true; }).at(0));
    CHECK(b.ledger.onRequest(flow, makeFrame(1, 1)) == unknown);
}

TEST_CASE("malformed entries are refused", "[request][fuzz]")
{
    const std::vector<ledger_entry> entries {{{flow, 1}, ledger_state::Passed, 1, 500}};
    const auto bytes = encodeLedgerEntries(entries);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeLedgerEntries(std::span(bytes).first(length)));
    std::mt19937 random(5);
    for (int i = 0; i < 2000; ++i) {
        auto damaged = bytes;
        damaged[random() % damaged.size()] = static_cast<std::byte>(random());
        const auto decoded = decodeLedgerEntries(damaged);
        if (decoded)
            CHECK(decoded.value().size() <= 64);
    }
}

TEST_CASE("random copies, cancels, refusals and losses never break an outcome", "[request]")
{
    std::mt19937_64 random(17);
    fixture f;
    struct history
    {
        int passes = 0;
        bool wasRefused = false;
    };
    std::map<std::uint64_t, history> histories;
    for (int i = 0; i < 50000; ++i) {
        f.clock.time += std::chrono::milliseconds(random() % 5);
        const std::uint64_t id = i / 50 + random() % 20;
        const auto frame = makeFrame(id, random() % 3);
        ledger_verdict verdict;
        bool isRequest = false;
        switch (random() % 8) {
        case 0:
            verdict = f.ledger.onCancel(flow, frame);
            break;
        case 1:
            verdict = f.ledger.refuse(flow, frame);
            break;
        case 2:
            if (random() % 100 == 0)
                f.ledger.onHomeLost(fixture::formerHome());
            break;
        default:
            verdict = f.ledger.onRequest(flow, frame);
            isRequest = true;
        }
        history &past = histories[id];
        past.passes += isRequest && verdict.isPassed ? 1 : 0;
        past.wasRefused = past.wasRefused || verdict.outcome == request_outcome::Refused;
        REQUIRE(past.passes <= 1);
        REQUIRE_FALSE((past.passes > 0 && past.wasRefused));
    }
}
