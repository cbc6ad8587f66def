/**
 * @file test_cli.cpp
 * The operators' client against scripted answers.
 */

#include "cli/cli_base.h"
#include "config/config_json_func.h"
#include "core/core_error.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

using namespace chicoryhead;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::string server = "http://127.0.0.1:8080";
const std::string instances = R"({"self":1,"version":41,"instances":[
    {"id":1,"address":"10.0.0.1:1","domain":1,"state":"ready","version":41,"incarnation":0},
    {"id":2,"address":"10.0.0.2:1","domain":2,"state":"ready","version":40,"incarnation":0},
    {"id":3,"address":"10.0.0.3:1","domain":3,"state":"dead","version":7,"incarnation":0}]})";

/** Answers from a map of URLs and keeps what was posted. */
class scripted_client : public operator_client
{
public:
    result<client_response> get(const std::string &url) override
    {
        const auto found = answers.find(url);
        if (found == answers.end())
            return std::make_error_code(std::errc::host_unreachable);
        return found->second;
    }

    result<client_response> post(const std::string &url, const std::string &token,
                                 const std::string &body) override
    {
        urls.push_back(url);
        lastToken = token;
        lastBody = body;
        if (postError)
            return postError;
        return postAnswer;
    }

    std::map<std::string, client_response> answers;
    client_response postAnswer {200, R"({"accepted":true,"version":42})"};
    std::error_code postError; ///< instead of an answer
    std::vector<std::string> urls;
    std::string lastToken;
    std::string lastBody;
};

/** Runs commands in virtual time. */
struct cli_fixture
{
    scripted_client client;
    std::ostringstream out;
    std::ostringstream err;
    std::map<std::string, std::string> variables {{"USER", "thandi"}};
    std::chrono::milliseconds time {0};
    std::function<void()> onSleep = [] {
    };

    cli_fixture() { client.answers[server + "/v1/instances"] = {200, instances}; }

    exit_code run(const std::string &line)
    {
        std::istringstream words(line);
        std::vector<std::string> arguments;
        for (std::string word; words >> word;)
            arguments.push_back(word);
        out.str("");
        err.str("");
        const cli_environment environment {out,
                                           err,
                                           client,
                                           [this](const char *name) { return variables[name]; },
                                           [this] { return time; },
                                           [] { return wall_time(1700000000); },
                                           [this](std::chrono::milliseconds duration) {
                                               time += duration;
                                               onSleep();
                                           },
                                           [] {
                                               return std::string("patch-1");
                                           }};
        return runCli(arguments, environment);
    }

    /** The patch that was posted last. */
    config_patch posted() const
    {
        std::vector<config_problem> problems;
        const auto patch = parsePatch(client.lastBody, problems);
        REQUIRE(patch);
        return patch.value();
    }

    bool printed(const std::string &text) const
    {
        return (out.str() + err.str()).find(text) != std::string::npos;
    }
};

/** A file that lives as long as the object. */
struct temporary_file
{
    std::string path;

    explicit temporary_file(const std::string &text)
        : path((std::filesystem::temp_directory_path()
                / ("chicoryhead-test-" + std::to_string(reinterpret_cast<std::uintptr_t>(this))))
                   .string())
    {
        std::ofstream(path) << text;
    }
    ~temporary_file() { std::filesystem::remove(path); }
};

} // namespace

TEST_CASE("every command of the overview has help and refuses surplus operands", "[cli]")
{
    cli_fixture fixture;
    REQUIRE(fixture.run("--help") == exit_code::Done);
    std::istringstream overview(fixture.out.str());
    std::size_t commands = 0;
    for (std::string line; std::getline(overview, line);) {
        if (!line.starts_with("  ") || std::isdigit(line[2]))
            continue;
        ++commands;
        // The name of a command is in lower case, its operands are not.
        std::string name = line.substr(2, line.find("  ", 2) - 2);
        name = name.substr(0, name.find_first_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ["));
        name += name.ends_with(' ') ? "" : " ";
        INFO(name);
        CHECK(fixture.run(name + "--help") == exit_code::Done);
        CHECK(fixture.printed("usage: chicoryhead " + name.substr(0, name.size() - 1)));
        CHECK(fixture.printed("--server"));
        CHECK(fixture.run(name + "a b c d e") == exit_code::Usage);
    }
    CHECK(commands == 20);
    CHECK(fixture.client.urls.empty());
}

// gflags' own parser would end the process with code 1, which means "refused" here.
TEST_CASE("wrong usage ends with code 2 and sends nothing", "[cli]")
{
    cli_fixture fixture;
    for (const char *line :
         {"", "nonsense", "upstream", "upstream leave", "config wait x", "config show --weight 3",
          "config version --nope", "upstream weight gate g1 many --reason r",
          "upstream leave gate g1 --reason", "config wait 3 --timeout soon",
          "upstream leave gate g1", "upstream leave gate g1 --reason r --final_time later",
          "service create desk --reason r --protocol tcp", "patch submit /nonexistent/patch.json",
          "upstream add gate g9 --address 10.0.0.1:1 --reason r", "upstream -x"}) {
        INFO(line);
        CHECK(fixture.run(line) == exit_code::Usage);
        CHECK_FALSE(fixture.err.str().empty());
    }
    CHECK(fixture.client.urls.empty());
}

TEST_CASE("a change reads the version and submits one patch", "[cli]")
{
    cli_fixture fixture;
    fixture.variables["CHICORYHEAD_TOKEN"] = "secret";
    REQUIRE(fixture.run("upstream leave gate g1 --reason maintenance --final-time=+600")
            == exit_code::Done);
    CHECK(fixture.printed("accepted as version 42, patch patch-1"));
    CHECK(fixture.client.urls == std::vector {server + "/v1/patches"});
    CHECK(fixture.client.lastToken == "secret");
    const auto patch = fixture.posted();
    CHECK(patch.id == "patch-1");
    CHECK(patch.author == "thandi");
    CHECK(patch.reason == "maintenance");
    CHECK(patch.baseVersion == 41);
    REQUIRE(patch.operations.size() == 1);
    CHECK(patch.operations[0].kind == patch_operation_kind::MarkLeaving);
    CHECK(patch.operations[0].upstream == "g1");
    CHECK(patch.operations[0].leavingAt == wall_time(1700000000));
    CHECK(patch.operations[0].finalTime == wall_time(1700000600));
}

TEST_CASE("each change becomes its operation", "[cli]")
{
    cli_fixture fixture;
    const std::string common = " --reason r --base 5 --id x --author a";
    const temporary_file upstreams(
        R"([{"name":"d1","domain":1,"address":"10.0.0.9:6080","weight":50}])");
    REQUIRE(
        fixture.run("service create desk --address 10.10.0.1:443 --protocol request --upstreams "
                    + upstreams.path + common)
        == exit_code::Done);
    auto patch = fixture.posted();
    CHECK(patch.baseVersion == 5);
    CHECK(patch.id == "x");
    CHECK(patch.operations[0].newService.protocol == service_protocol::Request);
    REQUIRE(patch.operations[0].newService.upstreams.size() == 1);
    CHECK(patch.operations[0].newService.upstreams[0].weight == 50);

    REQUIRE(fixture.run("upstream add desk d2 --address 10.0.0.8:6080 --domain 2 --slots 2 "
                        "--health 10.0.0.8:80"
                        + common)
            == exit_code::Done);
    CHECK(fixture.posted().operations[0].newUpstream.slots == 2);
    CHECK(fixture.posted().operations[0].newUpstream.maxFlows == 4300);
    CHECK(toString(fixture.posted().operations[0].newUpstream.health) == "10.0.0.8:80");
    REQUIRE(fixture.run("upstream weight desk d2 250" + common) == exit_code::Done);
    CHECK(fixture.posted().operations[0].weight == 250);
    fixture.client.answers[server + "/v1/flows"] = {200, R"({"self":1,"upstreams":[]})"};
    REQUIRE(fixture.run("upstream remove desk d2" + common) == exit_code::Done);
    CHECK(fixture.posted().operations[0].kind == patch_operation_kind::RemoveUpstream);
    REQUIRE(fixture.run("service settle desk --force" + common) == exit_code::Done);
    CHECK(fixture.posted().operations[0].kind == patch_operation_kind::Settle);
    REQUIRE(fixture.run("service remove desk" + common) == exit_code::Done);
    CHECK(fixture.posted().operations[0].kind == patch_operation_kind::RemoveService);
}

// Removing an upstream breaks the flows it still has.
TEST_CASE("nothing is removed while an instance holds its flows", "[cli]")
{
    cli_fixture fixture;
    const std::string line = "upstream remove gate g1 --reason r --server " + server + ",b:2";
    CHECK(fixture.run(line) == exit_code::Unavailable);
    fixture.client.answers[server + "/v1/flows"] = {
        200, R"({"upstreams":[{"service":"gate","name":"g2","flows":5}]})"};
    fixture.client.answers["http://b:2/v1/flows"] = {
        200, R"({"upstreams":[{"service":"gate","name":"g1","flows":1}]})"};
    CHECK(fixture.run(line) == exit_code::Invalid);
    CHECK(fixture.printed("http://b:2 holds 1 flows"));
    CHECK(fixture.run("service remove gate --reason r") == exit_code::Invalid);
    CHECK(fixture.client.urls.empty());
    CHECK(fixture.run(line + " --force") == exit_code::Done);
    CHECK(fixture.client.urls.size() == 1);
}

// Settling too early sends flows that are recorded nowhere to another upstream.
TEST_CASE("a service is settled only when no flow can break", "[cli]")
{
    cli_fixture fixture;
    const auto setSlots = [&fixture](const std::string &slots) {
        fixture.client.answers[server + "/v1/config"] = {
            200,
            R"({"version":41,"services":[{"name":"gate","upstreams":[{"id":1,"state":"active"},
            {"id":2,"state":"leaving"},{"id":3,"state":"active"}],"slots":)"
                + slots + "}]}"};
    };
    const std::string line = "service settle gate --reason r";
    fixture.client.answers[server + "/v1/flows"] = {200, R"({"records":0})"};
    setSlots("[[1,1,true],[1,3,true]]");
    CHECK(fixture.run(line) == exit_code::Invalid);
    CHECK(fixture.printed("1 slots have unrecorded flows"));
    setSlots("[[1,1,true],[2,3,true]]");
    fixture.client.answers[server + "/v1/flows"] = {200, R"({"records":7})"};
    CHECK(fixture.run(line) == exit_code::Invalid);
    CHECK(fixture.printed("holds 7 records"));
    CHECK(fixture.client.urls.empty());
    fixture.client.answers[server + "/v1/flows"] = {200, R"({"records":0})"};
    CHECK(fixture.run(line) == exit_code::Done);
}

// set_limits replaces all limits, so the client must send those it was not asked to change.
TEST_CASE("limits without a flag stay as they are", "[cli]")
{
    cli_fixture fixture;
    fixture.client.answers[server + "/v1/config"] = {
        200, R"({"version":41,"services":[{"name":"gate","limits":{"new_flows_per_second":700,
            "max_flows":9,"retry_budget_percent":5,"retry_after_ms":250}}]})"};
    REQUIRE(fixture.run("service limits gate --max-flows 0 --reason r") == exit_code::Done);
    CHECK(fixture.posted().operations[0].limits == service_limits {700, 0, 5, 250});
    CHECK(fixture.run("service limits desk --max-flows 1 --reason r") == exit_code::Invalid);
}

TEST_CASE("a change that is not valid is not sent", "[cli]")
{
    cli_fixture fixture;
    CHECK(fixture.run("upstream weight gate g1 5000 --reason r") == exit_code::Invalid);
    CHECK(fixture.printed("operations[0].weight: must be 1 to 1000"));
    CHECK(fixture.run("upstream add gate g2 --domain 1 --address 10.0.0.1:0 --reason r")
          == exit_code::Invalid);
    CHECK(fixture.client.urls.empty());
}

TEST_CASE("the outcome of a change decides the exit code", "[cli]")
{
    cli_fixture fixture;
    const auto runWith = [&fixture](const client_response &answer, std::error_code code = {}) {
        fixture.client.postAnswer = answer;
        fixture.client.postError = code;
        return fixture.run("service settle gate --reason r --force");
    };
    const auto unreachable = std::make_error_code(std::errc::host_unreachable);
    CHECK(runWith({409, R"({"accepted":false,"version":44,"error":"old",
        "changed_since":["43: settle desk","44: set_weight gate/g1 to 5"]})"})
          == exit_code::Refused);
    CHECK(fixture.printed("based on version 41, current version 44"));
    CHECK(fixture.printed("since then: 44: set_weight gate/g1 to 5"));
    CHECK(runWith({422, R"({"error":"bad","problems":[{"path":"operations[0]",
        "message":"no such service"}]})"})
          == exit_code::Invalid);
    CHECK(fixture.printed("operations[0]: no such service"));
    CHECK(runWith({401, R"({"error":"token"})"}) == exit_code::Invalid);
    CHECK(runWith({503, "{}"}) == exit_code::Unavailable);
    CHECK(runWith({}, unreachable) == exit_code::Unavailable);
    CHECK(runWith({504, "{}"}) == exit_code::Unknown);
    CHECK(runWith({500, "rubbish"}) == exit_code::Unknown);
    CHECK(runWith({200, "<html>"}) == exit_code::Unknown);
    CHECK(runWith({}, error::OutcomeUnknown) == exit_code::Unknown);
    CHECK(fixture.printed("--id patch-1 --base 41"));
}

// A patch that may have been accepted must not go to a second instance without the operator.
TEST_CASE("the next server is asked only if nothing was sent", "[cli]")
{
    cli_fixture fixture;
    const std::string line =
        "service settle gate --reason r --base 1 --force --server a:1,http://b:2/";
    fixture.client.postError = std::make_error_code(std::errc::host_unreachable);
    CHECK(fixture.run(line) == exit_code::Unavailable);
    CHECK(fixture.client.urls
          == std::vector<std::string> {"http://a:1/v1/patches", "http://b:2/v1/patches"});
    fixture.client.urls.clear();
    fixture.client.postError = error::OutcomeUnknown;
    CHECK(fixture.run(line) == exit_code::Unknown);
    CHECK(fixture.client.urls.size() == 1);
}

TEST_CASE("a patch file is completed and checked", "[cli]")
{
    cli_fixture fixture;
    const temporary_file file(
        R"({"reason":"from file","operations":[{"operation":"settle","service":"gate"}]})");
    REQUIRE(fixture.run("patch submit " + file.path) == exit_code::Done);
    CHECK(fixture.posted().baseVersion == 41);
    CHECK(fixture.posted().reason == "from file");
    CHECK(fixture.posted().author == "thandi");
    CHECK(fixture.run("patch check " + file.path) == exit_code::Invalid);
    CHECK(fixture.printed("base_version: missing"));

    const temporary_file wrong(R"({"reason":"r","operations":[{"operation":"explode"}]})");
    fixture.client.urls.clear();
    CHECK(fixture.run("patch submit " + wrong.path) == exit_code::Invalid);
    CHECK(fixture.client.urls.empty());
}

TEST_CASE("waiting ends when every living instance has the version", "[cli]")
{
    cli_fixture fixture;
    CHECK(fixture.run("config wait 41 --timeout 3") == exit_code::Timeout);
    CHECK(fixture.time == 3000ms);
    CHECK(fixture.printed("in force on 1 of 2 instances"));
    CHECK(fixture.printed("2        2       ready  40"));
    CHECK(fixture.run("config wait 40") == exit_code::Done);

    // Another instance knows more about itself than the first one has heard.
    fixture.client.answers["http://b:2/v1/instances"] = {
        200, R"({"self":2,"version":41,"instances":[{"id":2,"state":"ready","version":41}]})"};
    CHECK(fixture.run("config wait 41 --server " + server + ",b:2") == exit_code::Done);

    fixture.onSleep = [&fixture] {
        fixture.client.answers.clear();
    };
    CHECK(fixture.run("config wait 99 --timeout 3") == exit_code::Unavailable);
}

TEST_CASE("tables and JSON show the same documents", "[cli]")
{
    cli_fixture fixture;
    CHECK(fixture.run("config version") == exit_code::Done);
    CHECK(fixture.out.str() == "41\n");
    CHECK(fixture.run("instances") == exit_code::Done);
    CHECK(fixture.printed("2         10.0.0.2:1  2       ready  40       0\n"));
    CHECK(fixture.run("--json instances") == exit_code::Done);
    CHECK(json::parse(fixture.out.str()) == json::parse(instances));

    fixture.client.answers[server + "/v1/flows"] = {
        200, R"({"self":1,"version":41,"flows":7,"records":2,"upstreams":[
            {"service":"gate","name":"g1","mode":"leaving","flows":3},
            {"service":"desk","name":"d1","mode":"active","flows":4}]})"};
    CHECK(fixture.run("flows gate --server " + server + ",c:3") == exit_code::Unavailable);
    CHECK(fixture.printed("1         gate     g1        leaving  3\n"));
    CHECK(fixture.printed("1         41       7      2\n"));
    CHECK_FALSE(fixture.printed("d1"));
    CHECK(fixture.printed("http://c:3/v1/flows: "));

    fixture.client.answers[server + "/v1/audit"] = {
        200, R"([{"version":3,"base_version":2,"id":"p","author":"a","reason":"r","time":60,
            "changes":["settle gate","settle desk"]}])"};
    CHECK(fixture.run("audit") == exit_code::Done);
    CHECK(fixture.printed("3        2     1970-01-01T00:01:00Z  a       p      settle gate  r\n"));
    CHECK(fixture.printed("settle desk\n"));
}

TEST_CASE("an answer of another form ends with code 4", "[cli]")
{
    cli_fixture fixture;
    for (const char *body :
         {"[]", "3", "{\"version\":\"x\",\"self\":[]}", "{", "{\"instances\":[1]}"}) {
        INFO(body);
        fixture.client.answers[server + "/v1/instances"] = {200, body};
        CHECK(fixture.run("config version") == exit_code::Unavailable);
        CHECK(fixture.run("service settle gate --reason r --force") == exit_code::Unavailable);
    }
    CHECK(fixture.client.urls.empty());
}
