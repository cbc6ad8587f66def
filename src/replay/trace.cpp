/**
 * @file trace.cpp
 * Parser and formatter of traces.
 */

#include "core/core_error.h"
#include "trace_func.h"

#include <charconv>
#include <map>
#include <set>
#include <sstream>

namespace chicoryhead {

namespace {

constexpr std::string_view firstLine = "chicoryhead-trace 1";
constexpr std::size_t maxTicks = 1'000'000; ///< of one line; about 3 hours
/// Bounds that keep sums of times within 64 bits.
constexpr std::int64_t maxTime = 10'000'000'000'000'000; ///< about 300 years, in microseconds
constexpr std::int64_t maxStep = 3'600'000'000;          ///< one hour, in microseconds

/** Number of words that an input has, its name included; the least one for "list" and "keys". */
const std::map<std::string, std::size_t> &inputWords()
{
    static const std::map<std::string, std::size_t> words {
        {"fabric", 3}, {"peer", 3},   {"probe", 2}, {"tick", 1},  {"ticks", 3},
        {"answer", 3}, {"submit", 2}, {"leave", 1}, {"audit", 1}, {"start", 1},
    };
    return words;
}

std::vector<std::string> split(const std::string &line)
{
    std::istringstream stream(line);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

template<typename Number, typename Target>
bool assign(const std::string &text, Target &target)
{
    const auto number = parseNumber<Number>(text);
    if (number)
        target = Target(number.value());
    return number.has_value();
}

bool assignEndpoint(const std::string &text, endpoint &target)
{
    const auto parsed = parseEndpoint(text);
    if (parsed)
        target = parsed.value();
    return parsed.has_value();
}

bool assignSeeds(const std::vector<std::string> &words, std::vector<endpoint> &seeds)
{
    for (std::size_t index = 1; index < words.size(); ++index) {
        if (!assignEndpoint(words[index], seeds.emplace_back()))
            return false;
    }
    return true;
}

/** Reads one line of the header; false if it isn't valid. */
bool readSetting(const std::vector<std::string> &words, trace_header &header)
{
    instance_settings &settings = header.settings;
    const std::string &name = words[0];
    if (name == "seeds")
        return assignSeeds(words, settings.membership.seeds);
    if (words.size() != 2)
        return false;
    const std::string &value = words[1];
    if (name == "id")
        return assign<std::uint32_t>(value, settings.id);
    if (name == "domain")
        return assign<std::uint16_t>(value, settings.domain);
    if (name == "peer")
        return assignEndpoint(value, settings.peerAddress);
    if (name == "policy") {
        settings.isPlainPolicy = value == "plain";
        return value == "plain" || value == "tracked";
    }
    if (name == "drain-quiet")
        return assign<std::int64_t>(value, settings.drainQuiet);
    if (name == "drain-limit")
        return assign<std::int64_t>(value, settings.drainLimit);
    if (name == "max-flows")
        return assign<std::size_t>(value, settings.steering.maxFlows);
    if (name == "flows-per-second")
        return assign<std::uint32_t>(value, settings.limits.flowsPerSecond);
    if (name == "random-seed")
        return assign<std::uint64_t>(value, header.seed);
    if (name == "wall-offset")
        return assign<std::int64_t>(value, header.wallOffset);
    return name == "start" && assign<std::int64_t>(value, header.start);
}

/** Reads the time and the words of an input; an empty message if it is valid. */
std::string readEvent(const std::string &text, trace_event &event)
{
    event.words = split(text);
    if (!assign<std::int64_t>(event.words[0], event.time))
        return "time is not a number of microseconds: " + event.words[0];
    if (event.time.count() < 0 || event.time.count() > maxTime)
        return "time is out of range: " + event.words[0];
    event.words.erase(event.words.begin());
    if (event.words.empty())
        return "input is missing after the time";
    const std::string &name = event.words[0];
    const auto known = inputWords().find(name);
    if (known == inputWords().end())
        return "unknown input: " + name;
    if (event.words.size() < known->second)
        return "too few arguments of " + name;
    if (name == "submit") // JSON may contain runs of spaces
        event.words = {name, text.substr(text.find('{') == std::string::npos ? 0 : text.find('{'))};
    if (name != "ticks")
        return {};
    const auto count = parseNumber<std::size_t>(event.words[1]);
    const auto step = parseNumber<std::int64_t>(event.words[2]);
    if (!count || !step || count.value() == 0 || count.value() > maxTicks || step.value() < 0
        || step.value() > maxStep)
        return "ticks needs a count from 1 to 1000000 and a step of at most an hour";
    return {};
}

void appendEvent(trace_event event, std::vector<trace_event> &events)
{
    if (event.words[0] != "ticks") {
        events.push_back(std::move(event));
        return;
    }
    const auto count = parseNumber<std::size_t>(event.words[1]).value();
    const monotonic_time step(parseNumber<std::int64_t>(event.words[2]).value());
    event.words = {"tick"};
    for (std::size_t index = 0; index < count; ++index) {
        events.push_back(event);
        event.time += step;
    }
}

/** Takes one line after the header; an empty message if it is valid. */
std::string readBodyLine(const std::string &text, std::size_t line, trace &read)
{
    if (text.starts_with("> ")) {
        if (read.events.empty())
            return "outcome before the first input";
        read.events.back().outcomes.push_back(text.substr(2));
        return {};
    }
    trace_event event;
    event.line = line;
    std::string message = readEvent(text, event);
    if (!message.empty())
        return message;
    const monotonic_time last = read.events.empty() ? read.header.start : read.events.back().time;
    if (event.time < last)
        return "time goes back";
    if (read.events.empty() != (event.words[0] == "start"))
        return "the first input, and no other, has to be \"start\"";
    appendEvent(std::move(event), read.events);
    return {};
}

/** Takes one line of the header; an empty message if it is valid. */
std::string readHeaderLine(const std::string &text, trace &read, std::set<std::string> &seen)
{
    const auto words = split(text);
    if (!readSetting(words, read.header))
        return "setting is unknown or its value is not valid: " + text;
    if (!seen.insert(words[0]).second)
        return "setting is given twice: " + words[0];
    return {};
}

std::string missingSetting(const std::set<std::string> &seen)
{
    for (const char *name : {"id", "domain", "peer", "random-seed", "wall-offset", "start"}) {
        if (!seen.count(name))
            return std::string("setting is missing: ") + name;
    }
    return {};
}

} // namespace

template<typename Number>
result<Number> parseNumber(const std::string &text)
{
    Number number = 0;
    const char *last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, number);
    if (code != std::errc {} || end != last)
        return error::Malformed;
    return number;
}

template result<std::uint16_t> parseNumber(const std::string &);
template result<std::uint32_t> parseNumber(const std::string &);
template result<std::uint64_t> parseNumber(const std::string &);
template result<std::int64_t> parseNumber(const std::string &);

std::string formatBytes(std::span<const std::byte> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    if (bytes.empty())
        return "-";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const std::byte byte : bytes) {
        text += digits[std::to_integer<std::size_t>(byte >> 4)];
        text += digits[std::to_integer<std::size_t>(byte & std::byte {15})];
    }
    return text;
}

result<std::vector<std::byte>> parseBytes(const std::string &text)
{
    std::vector<std::byte> bytes;
    if (text == "-")
        return bytes;
    if (text.size() % 2 != 0)
        return error::Malformed;
    for (std::size_t at = 0; at < text.size(); at += 2) {
        std::uint8_t value = 0;
        const char *first = text.data() + at;
        const auto [end, code] = std::from_chars(first, first + 2, value, 16);
        if (code != std::errc {} || end != first + 2)
            return error::Malformed;
        bytes.push_back(std::byte {value});
    }
    return bytes;
}

std::string formatHeader(const trace_header &header)
{
    const instance_settings &settings = header.settings;
    std::ostringstream text;
    text << firstLine << "\nid " << idValue(settings.id) << "\ndomain " << idValue(settings.domain)
         << "\npeer " << toString(settings.peerAddress) << "\npolicy "
         << (settings.isPlainPolicy ? "plain" : "tracked") << "\ndrain-quiet "
         << settings.drainQuiet.count() << "\ndrain-limit " << settings.drainLimit.count()
         << "\nmax-flows " << settings.steering.maxFlows << "\nflows-per-second "
         << settings.limits.flowsPerSecond << "\nseeds";
    for (const endpoint &seed : settings.membership.seeds)
        text << ' ' << toString(seed);
    text << "\nrandom-seed " << header.seed << "\nwall-offset " << header.wallOffset << "\nstart "
         << header.start.count() << "\nevents\n";
    return text.str();
}

result<trace> readTrace(std::istream &stream, trace_problem &problem)
{
    enum class part { First, Header, Events };

    trace read;
    read.header.settings.peerKey = tracePeerKey;
    std::set<std::string> seen;
    part current = part::First;
    problem = {};
    for (std::string text; problem.message.empty() && std::getline(stream, text);) {
        ++problem.line;
        if (text.empty() || text[0] == '#')
            continue;
        if (text.find_first_not_of(" \t\r") == std::string::npos) {
            problem.message = "line consists of spaces";
        } else if (current == part::First) {
            current = part::Header;
            if (text != firstLine)
                problem.message = "first line is not \"" + std::string(firstLine) + '"';
        } else if (current == part::Header && text == "events") {
            current = part::Events;
            problem.message = missingSetting(seen);
        } else if (current == part::Header) {
            problem.message = readHeaderLine(text, read, seen);
        } else {
            problem.message = readBodyLine(text, problem.line, read);
        }
    }
    if (problem.message.empty() && current != part::Events)
        problem.message = "file ends before the line \"events\"";
    if (!problem.message.empty())
        return error::Malformed;
    return read;
}

} // namespace chicoryhead
