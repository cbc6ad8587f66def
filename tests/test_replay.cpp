/**
 * @file test_replay.cpp
 * Replay of the recorded traces, and proof that the replay finds changed outcomes.
 */

#include "replay/replay_func.h"
#include "replay/trace_func.h"
#include "support/trace_scenario.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace chicoryhead;
using namespace chicoryhead::test;

namespace {

constexpr std::uintmax_t maxFileBytes = 300'000;
constexpr std::uintmax_t maxFolderBytes = 2'000'000;

std::filesystem::path pathOf(const std::string &name)
{
    return std::filesystem::path(CHICORYHEAD_TRACE_FOLDER) / (name + ".trace");
}

trace readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path);
    trace_problem problem;
    auto read = readTrace(stream, problem);
    INFO(path.string() << ':' << problem.line << ": " << problem.message);
    REQUIRE(read);
    return std::move(read).value();
}

/** The problem of a text that can't be read. */
trace_problem problemOf(const std::string &text)
{
    std::istringstream stream(text);
    trace_problem problem;
    CHECK_FALSE(readTrace(stream, problem));
    return problem;
}

const std::string validHeader = "chicoryhead-trace 1\nid 1\ndomain 1\npeer 127.0.0.1:1\n"
                                "random-seed 1\nwall-offset 0\nstart 1\nevents\n";

/** Index of the first event with an outcome that begins with a word. */
std::size_t findOutcome(const trace &recorded, const std::string &word)
{
    for (std::size_t index = 0; index < recorded.events.size(); ++index) {
        const auto &outcomes = recorded.events[index].outcomes;
        if (!outcomes.empty() && outcomes.front().starts_with(word))
            return index;
    }
    FAIL("no outcome " << word);
    return 0;
}

void checkFoundAt(const trace &changed, std::size_t event)
{
    const auto difference = replayTrace(changed);
    REQUIRE(difference);
    CHECK(difference->event == event);
}

} // namespace

// Guards against a change of the core that alters what an instance does under a recorded fault.
TEST_CASE("all recorded traces have their stated outcomes", "[replay]")
{
    std::size_t files = 0;
    std::uintmax_t bytes = 0;
    for (const auto &entry : std::filesystem::directory_iterator(CHICORYHEAD_TRACE_FOLDER)) {
        INFO(entry.path().string());
        REQUIRE(entry.path().extension() == ".trace");
        CHECK(entry.file_size() < maxFileBytes);
        bytes += entry.file_size();
        ++files;
        const trace recorded = readFile(entry.path());
        const auto difference = replayTrace(recorded);
        if (difference)
            UNSCOPED_INFO(describeDifference(recorded, *difference));
        CHECK_FALSE(difference);
    }
    CHECK(files == traceScenarios().size());
    CHECK(bytes < maxFolderBytes);
}

// Guards against a trace folder that no longer matches the scenarios it is recorded from.
TEST_CASE("recording a scenario again gives the committed trace", "[replay]")
{
    for (const auto &scenario : traceScenarios()) {
        INFO(scenario.name);
        std::ostringstream again;
        CHECK(recordScenario(scenario, again));
        std::ifstream stream(pathOf(scenario.name));
        std::ostringstream committed;
        committed << stream.rdbuf();
        CHECK((again.str() == committed.str()));
    }
}

// Guards against a comparison that accepts whatever happens.
TEST_CASE("a replay finds a changed, a missing and an additional outcome", "[replay]")
{
    const trace recorded = readFile(pathOf("drain"));
    for (const char *word : {"upstream", "caller", "relay", "message", "call", "probe"}) {
        INFO(word);
        trace changed = recorded;
        const std::size_t at = findOutcome(changed, word);
        std::string &outcome = changed.events[at].outcomes.front();
        const std::string original = outcome;
        outcome.back() = outcome.back() == '1' ? '2' : '1';
        checkFoundAt(changed, at);
        changed.events[at].outcomes.erase(changed.events[at].outcomes.begin());
        checkFoundAt(changed, at);
        changed.events[at].outcomes.insert(changed.events[at].outcomes.begin(),
                                           {original, original});
        checkFoundAt(changed, at);
    }
}

// Guards against state outcomes (drops, rejects, versions, patches) that are not compared.
TEST_CASE("a replay finds a changed drop, reject, version and patch outcome", "[replay]")
{
    const auto change = [](const std::string &name, const std::string &from,
                           const std::string &to) {
        INFO(name << ": " << from);
        trace changed = readFile(pathOf(name));
        for (std::size_t index = 0; index < changed.events.size(); ++index) {
            for (auto &outcome : changed.events[index].outcomes) {
                if (!outcome.starts_with(from))
                    continue;
                outcome = to;
                return checkFoundAt(changed, index);
            }
        }
        FAIL("no outcome " << from);
    };
    change("malformed", "drop malformed", "drop expired");
    change("malformed", "reject", "drop malformed");
    change("drain", "version 2", "version 3");
    change("lost_answer", "patch patch-", "patch patch-2 no room version 1");
    change("leave_drain", "state leaving", "state ready");
}

// Guards against inputs that are ignored by the replay.
TEST_CASE("a replay finds a left-out input", "[replay]")
{
    trace changed = readFile(pathOf("drain"));
    const std::size_t at = findOutcome(changed, "upstream");
    changed.events[at].words = {"tick"};
    checkFoundAt(changed, at);
}

// Guards against an answer of the store that is dropped because no call waits for it.
TEST_CASE("a replay finds an answer that fits no call of the store", "[replay]")
{
    const trace recorded = readFile(pathOf("drain"));
    std::size_t at = 0;
    while (recorded.events[at].words[0] != "answer")
        ++at;
    for (const char *number : {"0", "9999", "x"}) {
        trace changed = recorded;
        changed.events[at].words[1] = number;
        checkFoundAt(changed, at);
    }
    trace wrongKind = recorded;
    wrongKind.events[at].words = {"answer", recorded.events[at].words[1], "gone", "1"};
    checkFoundAt(wrongKind, at);
    trace twice = recorded;
    twice.events.insert(twice.events.begin() + static_cast<std::ptrdiff_t>(at) + 1,
                        recorded.events[at]);
    checkFoundAt(twice, at + 1);
}

// Guards against traces from which tags made with the deployment's own key could be taken.
TEST_CASE("peer datagrams of a trace are signed with the key of traces", "[replay]")
{
    const peer_codec codec(tracePeerKey);
    std::size_t messages = 0;
    std::size_t relays = 0;
    for (const auto &event : readFile(pathOf("drain")).events) {
        if (event.words[0] != "peer")
            continue;
        const auto datagram = parseBytes(event.words[2]).value();
        const bool isRelay = peerDatagramKind(datagram).value() == peer_datagram_kind::Relay;
        if (isRelay)
            CHECK(codec.decodeRelay(datagram));
        else
            CHECK(codec.decode(datagram));
        ++(isRelay ? relays : messages);
    }
    CHECK(messages > 0);
    CHECK(relays > 0);
}

// Guards against a report that doesn't show where a trace differs.
TEST_CASE("a difference is described with the events around it", "[replay]")
{
    trace changed = readFile(pathOf("drain"));
    const std::size_t at = findOutcome(changed, "upstream");
    changed.events[at].outcomes.front() = "drop expired";
    const auto difference = replayTrace(changed);
    REQUIRE(difference);
    const std::string text = describeDifference(changed, *difference);
    CHECK(text.find("expected \"drop expired\", got \"upstream ") != std::string::npos);
    CHECK(text.find("line " + std::to_string(changed.events[at - 5].line)) != std::string::npos);
    CHECK(text.find("line " + std::to_string(changed.events[at + 5].line)) != std::string::npos);
}

// Guards against a damaged trace that passes as an empty or shorter one.
TEST_CASE("an unreadable trace is refused with its line", "[replay]")
{
    CHECK(problemOf("").message == "file ends before the line \"events\"");
    CHECK(problemOf("something else\n").line == 1);
    CHECK(problemOf("chicoryhead-trace 1\nid x\n").line == 2);
    CHECK(problemOf("chicoryhead-trace 1\nid 1\nid 1\n").line == 3);
    CHECK(problemOf("chicoryhead-trace 1\nid 1\nevents\n").line == 3);
    CHECK(problemOf(validHeader + "> reject\n").line == 9);
    CHECK(problemOf(validHeader + "5 tick\n").line == 9);
    CHECK(problemOf(validHeader + "x start\n").line == 9);
    CHECK(problemOf(validHeader + "1 start\n2 jump\n").line == 10);
    CHECK(problemOf(validHeader + "1 start\n2\n").line == 10);
    CHECK(problemOf(validHeader + "1 start\n2 fabric 1.2.3.4:5\n").line == 10);
    CHECK(problemOf(validHeader + "1 start\n9 tick\n8 tick\n").line == 11);
    CHECK(problemOf(validHeader + "1 start\n2 ticks 0 10\n").line == 10);
    CHECK(problemOf(validHeader + "1 start\n2 ticks 5000000 10\n").line == 10);
    CHECK(problemOf(validHeader + "1 start\n2 ticks 5 9000000000000000000\n").line == 10);
    CHECK(problemOf(validHeader + "1 start\n9000000000000000000 tick\n").line == 10);
    CHECK(problemOf(validHeader + "1 start\n2 tick\n2 start\n").line == 11);
}
