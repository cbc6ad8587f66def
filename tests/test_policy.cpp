/**
 * @file test_policy.cpp
 * Tests of the operators' policy file: parser, rereading, and the entry program with a policy.
 */

#include "cli/cli_base.h"
#include "http/http_connection_base.h"
#include "platform/standin_codec.h"
#include "policy/policy_file_base.h"
#include "standin/entry_program.h"

#include <catch2/catch.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

std::vector<policy_problem> problemsOf(std::string_view text)
{
    std::vector<policy_problem> problems;
    const auto policy = parsePolicy(text, problems);
    if (!problems.empty())
        CHECK(policy == traffic_policy {});
    return problems;
}

/// The only problem of a text, as it is shown.
std::string problemOf(std::string_view text)
{
    const auto problems = problemsOf(text);
    REQUIRE(problems.size() == 1);
    return toString(problems.front());
}

/** A folder for one test case, removed at its end. */
class test_folder
{
public:
    explicit test_folder(const std::string &name)
        : m_path(std::filesystem::temp_directory_path()
                 / ("chicoryhead-" + name + '-' + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_path);
    }
    ~test_folder() { std::filesystem::remove_all(m_path); }
    test_folder(const test_folder &) = delete;
    test_folder &operator=(const test_folder &) = delete;

    const std::filesystem::path &path() const { return m_path; }

    /// Replaces a file, so that no reader sees a part of it.
    std::string write(const std::string &name, const std::string &text) const
    {
        std::string file = m_path / name;
        std::ofstream(file + ".new") << text;
        std::filesystem::rename(file + ".new", file);
        return file;
    }

    std::string read(const std::string &name) const
    {
        std::ostringstream text;
        text << std::ifstream(m_path / name).rdbuf();
        return text.str();
    }

private:
    std::filesystem::path m_path;
};

/// Waits until a file has a line with a text; false after 5 s.
bool awaitText(const test_folder &folder, const std::string &name, const std::string &text)
{
    for (int attempt = 0; attempt < 250; ++attempt) {
        if (folder.read(name).find(text) != std::string::npos)
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

/// Settings of an instance on a loopback address that only this process uses, without a store.
entry_settings settingsOfInstance()
{
    const std::uint32_t address =
        0x7f000000 + (static_cast<std::uint32_t>(::getpid() & 0xffff) << 8U) + 9;
    entry_settings settings;
    settings.name = "f-1";
    settings.domain = "a";
    settings.dataAddress = {address, 28921};
    settings.statusAddress = {address, 28922};
    settings.peerAddress = {address, 28923};
    settings.storeAddress = {address, 28924};
    settings.configBound = 3s;
    settings.drainBound = 3s;
    settings.stopGrace = 6s;
    settings.flowLifetime = 60s;
    return settings;
}

} // namespace

TEST_CASE("A policy has the values of its file, and the defaults of missing keys", "[policy]")
{
    // Guards against a part that is on without its key, and against a value of the wrong part.
    std::vector<policy_problem> problems;
    CHECK(parsePolicy("", problems) == traffic_policy {});
    CHECK(parsePolicy("; only a comment\n[admission]\n[hedging]\n", problems) == traffic_policy {});
    CHECK(parsePolicy("[admission]\r\nenabled = true\r\n", problems)
          == traffic_policy {{true}, {}, {}});
    CHECK(parsePolicy("[balancing]\nexpected_wait=true\n", problems)
          == traffic_policy {{}, {true}, {}});
    CHECK(parsePolicy("# all\n[hedging]\nbudget_percent = 2.5\n[admission]\nenabled = false",
                      problems)
          == traffic_policy {{}, {}, {2.5}});
    CHECK(parsePolicy("[hedging]\nbudget_percent = 10", problems).hedging.isEnabled());
    CHECK_FALSE(parsePolicy("[hedging]\nbudget_percent = 0", problems).hedging.isEnabled());
    CHECK(problems.empty());
}

TEST_CASE("The example policy turns all parts on", "[policy]")
{
    // Guards against an example file that the parser rejects.
    const auto update = policy_file(CHICORYHEAD_SOURCE_FOLDER "/deploy/policy.ini").read();
    REQUIRE(update.policy);
    CHECK(*update.policy == traffic_policy {{true}, {true}, {2}});
}

TEST_CASE("Errors of a policy name section and key", "[policy]")
{
    // Guards against a mistyped key that silently leaves a part off or on.
    CHECK(problemOf("[admision]\nenabled = true\n") == "[admision]: unknown section");
    CHECK(problemOf("[admision]\n") == "[admision]: unknown section");
    CHECK(problemOf("[]\n") == "unknown section");
    CHECK(problemOf("[hedging]\nbudget = 2\n") == "[hedging] budget: unknown key");
    CHECK(problemOf("enabled = true\n") == "enabled: key outside a section");
    CHECK(problemOf("enabled =\n") == "enabled: key outside a section");
    CHECK(problemOf("[admission]\nenabled = yes\n")
          == "[admission] enabled: \"yes\" is not true or false");
    CHECK(problemOf("[admission]\nenabled = true ; on\n")
          == "[admission] enabled: \"true ; on\" is not true or false");
    for (const std::string value : {"", "two", "2x", "-1", "10.01", "nan", "inf", "0x2", "1e999"})
        CHECK(problemOf("[hedging]\nbudget_percent = " + value + "\n")
              == "[hedging] budget_percent: \"" + value + "\" is not a number from 0 to 10");
    CHECK(problemOf("[admission]\nenabled = true\nenabled = true\n")
          == "[admission] enabled: line 3: duplicate key name");
    CHECK(problemOf("[admission]\nenabled = true\n[hedging]\n[admission]\n")
          == "[admission]: duplicate section");
    CHECK(problemOf("[admission]\nenabled\n")
          == "[admission] enabled: line 2: '=' character not found in line");
    CHECK(problemOf("[admission] enabled = true\n")
          == "[admission]: expected one section name in brackets");
    CHECK(problemOf("[admission\n") == "[admission]: expected one section name in brackets");
    CHECK(problemOf(std::string(maxPolicyBytes + 1, ';')) == "file is larger than 65536 bytes");
    CHECK(problemsOf(std::string(maxPolicyBytes, ';')).empty());
    CHECK(problemsOf("[admission]\nenabled = 1\n[balancing]\nexpected_wait = 1\n").size() == 2);
}

TEST_CASE("A policy file reports each content once", "[policy]")
{
    // Guards against a log line per second for a file that stays invalid or is missing, and against
    // a missing file that counts as an empty one.
    const test_folder folder("policy-file");
    policy_file file(folder.path() / "policy.ini");
    auto update = file.read();
    CHECK(update.isChanged);
    CHECK_FALSE(update.policy);
    REQUIRE(update.problems.size() == 1);
    CHECK_FALSE(file.read().isChanged);

    folder.write("policy.ini", "");
    CHECK(file.read().policy == traffic_policy {});
    CHECK_FALSE(file.read().isChanged);
    folder.write("policy.ini", "[hedging]\nbudget_percent = 11\n");
    update = file.read();
    CHECK_FALSE(update.policy);
    CHECK(update.problems.size() == 1);
    CHECK_FALSE(file.read().isChanged);
    folder.write("policy.ini", std::string(2 * maxPolicyBytes, '\n'));
    CHECK(file.read().problems.size() == 1);
    CHECK_FALSE(policy_file(folder.path()).read().policy);
}

TEST_CASE("The entry program rejects an invalid policy with status 3", "[policy]")
{
    // Guards against a process that starts with a part off because of a mistyped policy.
    const test_folder folder("policy-check");
    const auto settings =
        folder.write("settings.json", platform::encodeSettings(settingsOfInstance()));
    const auto policy = folder.write("policy.ini", "[hedging]\nbudget_percent = 11\n");
    const auto run = [&](const std::string &flags) {
        const std::string command = std::string(CHICORYHEAD_ENTRY_PROGRAM)
            + " --settings=" + settings + " --policy=" + policy + flags + " > "
            + (folder.path() / "out").string() + " 2>&1";
        return std::system(command.c_str());
    };
    for (const std::string flags : {" --check", ""}) {
        const int status = run(flags);
        REQUIRE(WIFEXITED(status));
        CHECK(WEXITSTATUS(status) == 3);
        CHECK(folder.read("out").find("[hedging] budget_percent: \"11\" is not a number from 0 to")
              != std::string::npos);
    }
    folder.write("policy.ini", "[hedging]\nbudget_percent = 1\n");
    CHECK(run(" --check") == 0);
}

TEST_CASE("A running instance follows its policy file and keeps the policy if it is invalid",
          "[policy]")
{
    // Guards against a policy that is lost when the file becomes invalid, and against values that
    // do not reach the forwarder, whose budget the metric shows.
    const test_folder folder("policy-run");
    const auto policy = folder.write("policy.ini", "[hedging]\nbudget_percent = 2\n");
    const auto settings = settingsOfInstance();
    standin::entry_program program(CHICORYHEAD_ENTRY_PROGRAM, folder.path(), settings, policy);
    program.start();
    CHECK(awaitText(folder, "f-1.log",
                    "event=policy_applied admission=0 expected_wait=0 budget_percent=2\n"));
    folder.write("policy.ini", "[hedging]\nbudget_percent = 11\n");
    CHECK(
        awaitText(folder, "f-1.log", "event=policy_rejected reason=\"[hedging] budget_percent: "));
    const auto metrics = performRequest(settings.statusAddress, {"GET", "/metrics", {}, 1000ms});
    REQUIRE(metrics);
    CHECK(metrics.value().body.find("\nchicoryhead_hedge_budget_percent 2\n") != std::string::npos);
    folder.write("policy.ini", "[admission]\nenabled = true\n[balancing]\nexpected_wait = true\n");
    program.signal(SIGHUP);
    CHECK(awaitText(folder, "f-1.log",
                    "event=policy_applied admission=1 expected_wait=1 budget_percent=0\n"));
    std::this_thread::sleep_for(1100ms);
    const auto log = folder.read("f-1.log");
    CHECK(log.find("policy_rejected") == log.rfind("policy_rejected"));
}
