/**
 * @file replay.cpp
 * Replay of traces in virtual time.
 */

#include "core/core_error.h"
#include "recorded_instance_base.h"
#include "replay_func.h"
#include "trace_func.h"

#include <boost/outcome/try.hpp>
#include <fmt/format.h>

#include <variant>

namespace chicoryhead {

namespace {

constexpr std::size_t eventsAround = 5;
constexpr std::size_t shownLength = 160; ///< of an event's text

std::string textOf(const std::vector<std::byte> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

/** The surroundings of the instance: the trace's time, and a store that the trace answers for. */
class replay_surroundings : public clock_source,
                            public random_source,
                            public packet_sink,
                            public peer_sink,
                            public load_prober,
                            public key_value_store,
                            public trace_sink
{
public:
    using any_handler =
        std::variant<std::monostate, get_handler, put_handler, keys_handler, list_handler>;

    monotonic_time time {0};
    std::vector<std::string> outcomes; ///< of the current event
    std::vector<any_handler> calls;    ///< by number less 1; monostate once answered

    monotonic_time now() const override { return time; }
    wall_time wallNow() const override { return wall_time {0}; }
    std::uint64_t next() override { return 0; }
    void sendToUpstream(const endpoint &, std::span<const std::byte>) override { }
    void sendToCaller(std::span<const std::byte>) override { }
    void sendToPeer(const endpoint &, std::span<const std::byte>) override { }
    void probe(upstream_id, const endpoint &) override { }
    void get(const std::string &, get_handler handler) override
    {
        calls.emplace_back(std::move(handler));
    }
    void watch(const std::string &, std::uint64_t, monotonic_time, get_handler handler) override
    {
        calls.emplace_back(std::move(handler));
    }
    void put(const std::string &, std::string, std::uint64_t, put_handler handler) override
    {
        calls.emplace_back(std::move(handler));
    }
    void remove(const std::string &, put_handler handler) override
    {
        calls.emplace_back(std::move(handler));
    }
    void listKeys(const std::string &, keys_handler handler) override
    {
        calls.emplace_back(std::move(handler));
    }
    void listInstances(list_handler handler) override { calls.emplace_back(std::move(handler)); }
    void onInput(monotonic_time, const std::string &) override { }
    void onOutcome(const std::string &text) override { outcomes.push_back(text); }
};

using words = std::vector<std::string>;

/** An answer of the store as words; the type tells the kind. */
result<key_value> parseAnswer(const words &answer, std::type_identity<key_value>)
{
    if (answer.size() != 4 || answer[0] != "value")
        return error::Malformed;
    BOOST_OUTCOME_TRY(index, parseNumber<std::uint64_t>(answer[1]));
    BOOST_OUTCOME_TRY(key, parseBytes(answer[2]));
    BOOST_OUTCOME_TRY(value, parseBytes(answer[3]));
    return key_value {textOf(key), textOf(value), index};
}

result<bool> parseAnswer(const words &answer, std::type_identity<bool>)
{
    if (answer.size() != 2 || answer[0] != "done" || (answer[1] != "0" && answer[1] != "1"))
        return error::Malformed;
    return answer[1] == "1";
}

result<std::vector<std::string>> parseAnswer(const words &answer,
                                             std::type_identity<std::vector<std::string>>)
{
    if (answer[0] != "keys")
        return error::Malformed;
    std::vector<std::string> keys;
    for (std::size_t index = 1; index < answer.size(); ++index) {
        BOOST_OUTCOME_TRY(key, parseBytes(answer[index]));
        keys.push_back(textOf(key));
    }
    return keys;
}

result<std::vector<listed_instance>> parseAnswer(const words &answer,
                                                 std::type_identity<std::vector<listed_instance>>)
{
    if (answer[0] != "list" || answer.size() % 4 != 1)
        return error::Malformed;
    std::vector<listed_instance> listed;
    for (std::size_t index = 1; index < answer.size(); index += 4) {
        BOOST_OUTCOME_TRY(id, parseNumber<std::uint32_t>(answer[index]));
        BOOST_OUTCOME_TRY(address, parseEndpoint(answer[index + 1]));
        BOOST_OUTCOME_TRY(domain, parseNumber<std::uint16_t>(answer[index + 2]));
        listed.push_back({instance_id {id}, address, domain_id {domain}, answer[index + 3] == "1"});
    }
    return listed;
}

/** Hands an answer to the handler of a call; false if it isn't of the call's kind. */
template<typename Answer>
bool deliver(const words &answer, const std::function<void(result<Answer>)> &handler)
{
    if (answer.size() == 2 && answer[0] == "error") {
        const auto code = parseNumber<std::uint32_t>(answer[1]);
        if (!code)
            return false;
        handler(std::error_code(static_cast<int>(code.value()), errorCategory()));
        return true;
    }
    auto parsed = parseAnswer(answer, std::type_identity<Answer> {});
    if (!parsed)
        return false;
    handler(std::move(parsed));
    return true;
}

bool deliver(const words &, std::monostate)
{
    return false;
}

/** One replay. */
class replayer
{
public:
    explicit replayer(const trace &recorded)
        : m_header(recorded.header)
        , m_instance(recorded.header.settings, recorded.header,
                     {m_around, m_around, m_around, m_around, m_around, m_around}, m_around)
    {
    }

    /** Carries out an event; a message if its outcomes differ. */
    std::string run(const trace_event &event)
    {
        m_around.time = event.time;
        if (event.words[0] != "start") // else these are the constructor's
            m_around.outcomes.clear();
        if (!hand(event.words))
            return "input can't be carried out: its arguments are not valid, or the store was not "
                   "called as recorded";
        return compare(event.outcomes);
    }

private:
    std::string compare(const std::vector<std::string> &expected) const
    {
        const auto &actual = m_around.outcomes;
        for (std::size_t index = 0; index < std::max(expected.size(), actual.size()); ++index) {
            const std::string wanted = index < expected.size() ? expected[index] : "nothing";
            const std::string got = index < actual.size() ? actual[index] : "nothing";
            if (wanted != got)
                return fmt::format("outcome {}: expected \"{}\", got \"{}\"", index + 1, wanted,
                                   got);
        }
        return {};
    }

    bool hand(const words &input)
    {
        const std::string &name = input[0];
        if (name == "start")
            return true;
        if (name == "tick")
            m_instance.tick();
        else if (name == "leave")
            m_instance.beginLeaving();
        else if (name == "audit")
            m_instance.readAudit([](const auto &) {});
        else if (name == "fabric" || name == "peer")
            return handDatagram(input);
        else if (name == "probe")
            return handProbe(input);
        else if (name == "submit")
            return handPatch(input[1]);
        else
            return handAnswer(input);
        return true;
    }

    bool handDatagram(const words &input)
    {
        const auto from = parseEndpoint(input[1]);
        const auto bytes = parseBytes(input[2]);
        if (!from || !bytes)
            return false;
        if (input[0] == "fabric")
            m_instance.onFabricPacket(bytes.value(), from.value());
        else
            m_instance.onPeerDatagram(bytes.value(), from.value());
        return true;
    }

    bool handProbe(const words &input)
    {
        std::vector<std::uint64_t> numbers;
        for (std::size_t index = 1; index < input.size(); ++index) {
            const auto number = parseNumber<std::uint64_t>(input[index]);
            if (!number)
                return false;
            numbers.push_back(number.value());
        }
        const upstream_id upstream {static_cast<std::uint32_t>(numbers[0])};
        if (numbers.size() == 1) {
            m_instance.onProbeOutcome(upstream, std::nullopt);
            return true;
        }
        if (numbers.size() != 8)
            return false;
        load_report report;
        report.isHealthy = numbers[1] != 0;
        report.isShedding = numbers[2] != 0;
        report.busySlots = static_cast<std::uint32_t>(numbers[3]);
        report.queued = static_cast<std::uint32_t>(numbers[4]);
        report.openFlows = static_cast<std::uint32_t>(numbers[5]);
        report.startedAt = numbers[6];
        report.sequence = numbers[7];
        m_instance.onProbeOutcome(upstream, report);
        return true;
    }

    bool handPatch(const std::string &text)
    {
        std::vector<config_problem> problems;
        const auto patch = parsePatch(text, problems);
        if (!patch)
            return false;
        m_instance.submit(patch.value(), [](const patch_outcome &) {});
        return true;
    }

    bool handAnswer(const words &input)
    {
        const auto number = parseNumber<std::uint64_t>(input[1]);
        if (!number || number.value() == 0 || number.value() > m_around.calls.size())
            return false;
        const auto handler = std::exchange(m_around.calls[number.value() - 1], std::monostate {});
        const words answer(input.begin() + 2, input.end());
        return std::visit([&](const auto &known) { return deliver(answer, known); }, handler);
    }

    trace_header m_header;
    replay_surroundings m_around;
    recorded_instance m_instance;
};

std::string describeEvent(const trace_event &event)
{
    std::string text = fmt::format("line {}: {}", event.line, event.time.count());
    for (const auto &word : event.words)
        text += ' ' + word;
    if (text.size() > shownLength)
        text = text.substr(0, shownLength) + "...";
    text += '\n';
    for (const auto &outcome : event.outcomes)
        text += "    > " + outcome + '\n';
    return text;
}

} // namespace

std::optional<replay_difference> replayTrace(const trace &recorded)
{
    replayer replay(recorded);
    for (std::size_t index = 0; index < recorded.events.size(); ++index) {
        std::string message = replay.run(recorded.events[index]);
        if (!message.empty())
            return replay_difference {index, std::move(message)};
    }
    return std::nullopt;
}

std::string describeDifference(const trace &recorded, const replay_difference &difference)
{
    const std::size_t at = difference.event;
    const std::size_t first = at < eventsAround ? 0 : at - eventsAround;
    const std::size_t last = std::min(recorded.events.size(), at + eventsAround + 1);
    std::string text =
        fmt::format("line {}, {} us: {}\nevents around it:\n", recorded.events[at].line,
                    recorded.events[at].time.count(), difference.message);
    for (std::size_t index = first; index < last; ++index)
        text += (index == at ? "* " : "  ") + describeEvent(recorded.events[index]);
    return text;
}

} // namespace chicoryhead
