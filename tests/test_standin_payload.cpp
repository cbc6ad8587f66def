/**
 * @file test_standin_payload.cpp
 * The stand-ins' check of answers: each kind of damage has to be found.
 */

#include "standin/common.h"
#include "standin/common_payload.h"

#include <catch2/catch.hpp>

using namespace standin;

namespace {

const message request {7, 2500, makePayload(1, 300)};

} // namespace

TEST_CASE("the owed answer passes the check", "[standin]")
{
    const auto decoded = decodeMessage(encodeMessage(request));
    REQUIRE(decoded);
    REQUIRE(checkAnswer(request, encodeMessage(makeAnswer(*decoded))) == answer_verdict::Good);
}

TEST_CASE("an answer with any one changed byte fails the check", "[standin]")
{
    byte_string answer = encodeMessage(makeAnswer(request));
    for (std::uint8_t &byte : answer) {
        byte ^= 1U;
        REQUIRE(checkAnswer(request, answer) != answer_verdict::Good);
        byte ^= 1U;
    }
}

TEST_CASE("a cut answer is reported as incomplete", "[standin]")
{
    const byte_string answer = encodeMessage(makeAnswer(request));
    for (const std::size_t size : {std::size_t(0), std::size_t(10), answer.size() - 1})
        REQUIRE(checkAnswer(request, std::span(answer).first(size)) == answer_verdict::Incomplete);
}

TEST_CASE("an answer that goes on after its end fails the check", "[standin]")
{
    byte_string answer = encodeMessage(makeAnswer(request));
    answer.push_back(0);
    REQUIRE(checkAnswer(request, answer) == answer_verdict::Damaged);
}

TEST_CASE("swapped parts of an answer fail the check", "[standin]")
{
    byte_string answer = encodeMessage(makeAnswer(request));
    std::swap_ranges(answer.begin() + 100, answer.begin() + 200, answer.begin() + 1100);
    REQUIRE(checkAnswer(request, answer) == answer_verdict::Damaged);
}

TEST_CASE("the answer to another request fails the check", "[standin]")
{
    message other = request;
    other.id = 8;
    REQUIRE(checkAnswer(request, encodeMessage(makeAnswer(other))) == answer_verdict::WrongRequest);
    // The same id, as two callers may use it, with another payload.
    other = {7, 2500, makePayload(2, 300)};
    REQUIRE(checkAnswer(request, encodeMessage(makeAnswer(other))) == answer_verdict::Damaged);
}

TEST_CASE("a request with any one changed byte is not decoded", "[standin]")
{
    byte_string bytes = encodeMessage(request);
    for (std::uint8_t &byte : bytes) {
        byte ^= 1U;
        REQUIRE_FALSE(decodeMessage(bytes));
        byte ^= 1U;
    }
}

TEST_CASE("a stream is cut into its messages whatever the sizes of its pieces", "[standin]")
{
    byte_string stream = encodeMessage(request);
    const byte_string second = encodeMessage({9, 0, {}});
    stream.insert(stream.end(), second.begin(), second.end());
    for (const std::size_t piece : {std::size_t(1), std::size_t(50), stream.size()}) {
        message_reader reader;
        std::vector<byte_string> messages;
        for (std::size_t at = 0; at < stream.size(); at += piece) {
            reader.append(std::span(stream).subspan(at).first(std::min(piece, stream.size() - at)));
            while (const auto bytes = reader.next())
                messages.push_back(*bytes);
        }
        REQUIRE(messages == std::vector {encodeMessage(request), second});
    }
}

TEST_CASE("a stream with an impossible length is reported as damaged", "[standin]")
{
    message_reader reader;
    reader.append(byte_string(64, 0xff));
    REQUIRE_FALSE(reader.next());
    REQUIRE(reader.isDamaged());
}

TEST_CASE("a packet with any one changed byte is rejected or differs", "[standin]")
{
    inner_packet packet;
    packet.source = {0x0a010000, 20000};
    packet.destination = {0x0a0a0001, 443};
    packet.segment.syn = true;
    packet.segment.sequence = 77;
    packet.segment.payload = makePayload(3, 100);
    auto bytes = buildPacket(packet);
    REQUIRE(parsePacket(bytes));
    REQUIRE(parsePacket(bytes)->segment.payload == packet.segment.payload);
    for (std::byte &byte : bytes) {
        byte ^= std::byte {1};
        REQUIRE_FALSE(parsePacket(bytes));
        byte ^= std::byte {1};
    }
}
