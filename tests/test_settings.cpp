/**
 * @file test_settings.cpp
 * Parsing, validation and documentation of the settings file.
 */

#include "core/core_error.h"
#include "settings/settings_func.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

using namespace chicoryhead;
using namespace std::string_literals;

namespace {

const std::string minimal = R"([instance]
id = 7
domain = 2
[listen]
data = 127.0.0.1:6080
peer = 127.0.0.1:6081
[fabric]
egress = 127.0.0.1:6000
[platform]
url = http://127.0.0.1:8500/
[peers]
key = 0123456789abcdef
)";

struct parse_outcome
{
    result<daemon_settings> settings;
    std::vector<setting_problem> problems;
};

parse_outcome parse(const std::string &text)
{
    std::vector<setting_problem> problems;
    auto settings = parseSettingsText(text, "test.ini", problems);
    return {settings, problems};
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

/** Problems found when a line is added to the minimal file, one per line. */
std::string problemsWith(const std::string &added)
{
    std::string all;
    for (const auto &problem : parse(minimal + added).problems)
        all += formatProblem(problem) + "\n";
    return all;
}

std::filesystem::path findDocs()
{
    auto directory = std::filesystem::current_path();
    while (!std::filesystem::exists(directory / "docs" / "design.md")) {
        REQUIRE(directory.has_relative_path());
        directory = directory.parent_path();
    }
    return directory / "docs";
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

} // namespace

TEST_CASE("a minimal settings file gets the documented defaults", "[settings]")
{
    const auto [settings, problems] = parse(minimal);
    REQUIRE(settings);
    CHECK(problems.empty());
    const daemon_settings &s = settings.value();
    CHECK(idValue(s.instance) == 7);
    CHECK(idValue(s.domain) == 2);
    CHECK(toString(s.peer) == "127.0.0.1:6081");
    CHECK(toString(s.http) == "127.0.0.1:8080");
    CHECK(s.platformUrl == "http://127.0.0.1:8500");
    CHECK(s.steering == steering_choice::Tracked);
    CHECK(s.drainQuiet.count() == 2000);
    CHECK(s.drainLimit.count() == 30000);
    CHECK(s.operatorToken.empty());
}

TEST_CASE("a list of seeds may go on in indented lines", "[settings]")
{
    const auto [settings, problems] =
        parse(minimal + "seeds = 10.0.0.1:1, 10.0.0.2:2,\n  10.0.0.3:3\n");
    REQUIRE(settings);
    CHECK(settings.value().seeds.size() == 3);
}

// Guards against a daemon that starts although it ignored part of its settings.
TEST_CASE("input that would be ignored is refused", "[settings]")
{
    CHECK(problemsWith("[peers]\nkeys = 1\n").find("unknown key") != std::string::npos);
    CHECK(problemsWith("[peer]\nkey = 1\n").find("unknown section") != std::string::npos);
    CHECK(problemsWith("[instance]\nid = 8\n").find("given before in line 2") != std::string::npos);
    CHECK(problemsWith("no value\n").find("test.ini:13: malformed line") != std::string::npos);
    CHECK(problemsWith("[limits\n").find("malformed line") != std::string::npos);
    CHECK(problemsWith("[log]\nlevel = info\n  error\n").find("given before") != std::string::npos);
    CHECK(problemsWith("seeds = " + std::string(300, ' ') + "10.0.0.1:1\n").find("longer than")
          != std::string::npos);
    CHECK(problemsWith(std::string("; \0\n", 4)).find("zero byte") != std::string::npos);
}

TEST_CASE("values out of range are refused with what is allowed", "[settings]")
{
    CHECK(problemsWith("[limits]\nflows = 5\n")
          == "test.ini:14: [limits] flows = \"5\": not allowed; allowed: 1024 to 16777216\n");
    for (const char *line :
         {"[limits]\nflows = 2000x\n", "[limits]\nflows = -1\n", "[listen]\nhttp = 1.2.3.4:0\n",
          "[listen]\nhttp = localhost:80\n", "seeds = 10.0.0.1:1,,10.0.0.2:1\n",
          "[steering]\npolicy = Tracked\n", "[operator]\ntoken = short\n", "[limits]\nflows =\n",
          "[drain]\nquiet_ms = 5000\nlimit_ms = 4000\n", "[log]\nlevel = debug\n"}) {
        INFO(line);
        const auto outcome = parse(minimal + line);
        CHECK(outcome.settings.has_error());
        CHECK(outcome.problems.size() == 1);
    }
    CHECK(parse(replaced(minimal, "6081", "6080")).problems.size() == 1);
    CHECK(parse(replaced(minimal, "http://", "https://")).problems.size() == 1);
}

TEST_CASE("all problems are reported at once", "[settings]")
{
    const auto [settings, problems] = parse("[instance]\nid = 0\n");
    REQUIRE(settings.has_error());
    CHECK(settings.error() == error::ValidationFailed);
    CHECK(problems.size() == 7);
}

TEST_CASE("a secret is not shown in a problem", "[settings]")
{
    const std::string text = problemsWith("[operator]\ntoken = hunter2\n");
    CHECK(text.find("hunter2") == std::string::npos);
    CHECK(text.find("16 to 128") != std::string::npos);
    CHECK(problemsWith("[operator]\ntokn = hunter2\n").find("hunter2") == std::string::npos);
    CHECK(problemsWith("[operater]\ntoken = hunter2\n").find("hunter2") == std::string::npos);
    CHECK(problemsWith("key = hunter2\n").find("hunter2") == std::string::npos);
}

// Guards against input that is neither accepted nor explained, and against reads out of bounds.
TEST_CASE("a damaged file is accepted or explained", "[settings][fuzz]")
{
    std::mt19937 random(20261204);
    const std::string alphabet = "[]=:;# \t\n\r\0,.az09\xff"s; // contains a zero byte
    for (int round = 0; round < 5000; ++round) {
        std::string text = minimal + "seeds = 10.0.0.1:1, 10.0.0.2:2\n";
        for (unsigned int change = random() % 8; change > 0; --change) {
            const std::size_t at = random() % text.size();
            text.replace(at, random() % 3, random() % 4, alphabet[random() % alphabet.size()]);
        }
        const auto [settings, problems] = parse(text);
        REQUIRE(settings.has_value() == problems.empty());
    }
}

TEST_CASE("a file that cannot be read is reported", "[settings]")
{
    std::vector<setting_problem> problems;
    const auto settings = parseSettings("/nonexistent/chicoryheadd.ini", problems);
    REQUIRE(settings.has_error());
    CHECK(settings.error() == error::NotFound);
    CHECK(problems.size() == 1);
}

// Guards against a page or an example that differs from what the program accepts.
TEST_CASE("the settings page and the example file follow from the table", "[settings]")
{
    const auto docs = findDocs();
    CHECK(readFile(docs / "settings.md") == renderSettingsPage());
    CHECK(readFile(docs / "chicoryheadd.example.ini") == renderExampleFile());
    std::vector<setting_problem> problems;
    CHECK(parseSettings((docs / "chicoryheadd.example.ini").string(), problems));
    CHECK(problems.empty());
}
