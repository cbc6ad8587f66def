/**
 * @file test_cli.cpp
 * Tests of the operators' command-line client with an in-memory store and in-memory status pages.
 */

#include "cli/cli_base.h"
#include "platform/record_codec.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

using namespace chicoryhead;
using namespace std::chrono_literals;

namespace {

std::string configText(unsigned version)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r1","host":"198.18.0.1","prefix":"/443/","route_type":"idempotent",)"
          R"("timeout_ms":1200,"target_latency_ms":200,"priority":1,"service":"desk"}]})";
}

/** Contents of the test store, and the results that it returns. */
struct memory_store
{
    std::string config;
    store_revision revision = 0;
    std::vector<fleet_change> fleet;
    std::error_code readError;
    std::error_code writeError;        ///< result of a replacement
    bool appliesDespiteError = false;  ///< a replacement takes effect although it returns an error
    std::string concurrentReplacement; ///< written by another operator before each replacement
    std::uint64_t concurrentEpoch = 0; ///< of the store after concurrentReplacement
    std::string concurrentEvacuation;  ///< started by another operator before each start
    std::function<void()> onReadFleet = [] {
    };
};

class memory_store_access : public operator_store
{
public:
    explicit memory_store_access(memory_store &store) : m_store(store) { }

    result<stored_config> readConfig() override
    {
        if (m_store.readError)
            return m_store.readError;
        if (m_store.revision == 0)
            return stored_config {};
        return stored_config {m_store.revision, m_store.config,
                              platform::decodeConfig(m_store.config).value()};
    }

    result<fleet_changes> readFleet() override
    {
        m_store.onReadFleet();
        if (m_store.readError)
            return m_store.readError;
        return fleet_changes {m_store.revision, m_store.fleet};
    }

    std::error_code replaceConfig(const std::string &text, store_revision expected) override
    {
        if (!m_store.concurrentReplacement.empty())
            write(m_store.concurrentReplacement);
        m_store.revision.epoch = std::max(m_store.revision.epoch, m_store.concurrentEpoch);
        if (expected != m_store.revision && !m_store.writeError)
            return error::VersionConflict;
        if (!m_store.writeError || m_store.appliesDespiteError)
            write(text);
        return m_store.writeError;
    }

    std::error_code startEvacuation(const std::string &domain) override
    {
        if (!m_store.concurrentEvacuation.empty())
            m_store.fleet.emplace_back(domain_evacuation {m_store.concurrentEvacuation});
        if (!m_store.writeError && isEvacuated(domain))
            return error::VersionConflict;
        if (!m_store.writeError || m_store.appliesDespiteError)
            m_store.fleet.emplace_back(domain_evacuation {domain});
        return m_store.writeError;
    }

    std::error_code endEvacuation(const std::string &domain) override
    {
        if (!m_store.writeError || m_store.appliesDespiteError)
            std::erase_if(m_store.fleet, [&](const fleet_change &change) {
                return isEvacuationOf(change, domain);
            });
        return m_store.writeError;
    }

private:
    static bool isEvacuationOf(const fleet_change &change, const std::string &domain)
    {
        const auto *evacuation = std::get_if<domain_evacuation>(&change);
        return evacuation != nullptr && evacuation->domain == domain;
    }

    bool isEvacuated(const std::string &domain) const
    {
        return std::any_of(
            m_store.fleet.begin(), m_store.fleet.end(),
            [&](const fleet_change &change) { return isEvacuationOf(change, domain); });
    }

    void write(const std::string &text)
    {
        m_store.config = text;
        ++m_store.revision.number;
    }

    memory_store &m_store;
};

class memory_pages : public page_client
{
public:
    result<std::string> get(const endpoint &server, const std::string &path) override
    {
        const auto found = pages.find(toString(server) + path);
        if (found == pages.end())
            return error::StoreUnavailable;
        return found->second;
    }

    std::map<std::string, std::string> pages;
};

/** Runs commands in virtual time. */
struct cli_fixture
{
    cli_fixture()
    {
        store.config = configText(4);
        store.revision = 10;
        store.fleet = {instance_registration {"f-2", "b", {0x0a000002, 7720}},
                       instance_registration {"f-1", "a", {0x0a000001, 7720}}};
        setPage(1, 4);
        setPage(2, 4);
    }

    void setPage(int instance, int version)
    {
        pages.pages["10.0.0." + std::to_string(instance) + ":9102/v1/instance"] =
            R"({"state":"ready","version":)" + std::to_string(version)
            + R"(,"state_age_ms":120,"reads_store":true,"flows_observed":7})";
    }

    exit_code run(const std::vector<std::string> &arguments)
    {
        out.str("");
        err.str("");
        const cli_environment environment {out,
                                           err,
                                           in,
                                           pages,
                                           [this](const endpoint & /*server*/) {
                                               return std::make_unique<memory_store_access>(store);
                                           },
                                           platform::decodeConfig,
                                           [this](const char *name) { return variables[name]; },
                                           [this] { return time; },
                                           [this](std::chrono::milliseconds duration) {
                                               time += duration;
                                           }};
        return runCli(arguments, environment);
    }

    exit_code put(const std::string &text, std::vector<std::string> flags = {})
    {
        in.clear();
        in.str(text);
        flags.insert(flags.begin(), {"config", "put", "-"});
        return run(flags);
    }

    memory_store store;
    memory_pages pages;
    std::ostringstream out;
    std::ostringstream err;
    std::istringstream in;
    std::map<std::string, std::string> variables {{"CHICORYHEAD_STORE", "10.200.1.7:8169"}};
    std::chrono::milliseconds time {0};
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("Usage errors are reported before the store is read", "[cli]")
{
    cli_fixture fixture;
    CHECK(fixture.run({}) == exit_code::Usage);
    CHECK(fixture.run({"unknown"}) == exit_code::Usage);
    CHECK(fixture.run({"config", "wait"}) == exit_code::Usage);
    CHECK(fixture.run({"config", "wait", "4x"}) == exit_code::Usage);
    CHECK(fixture.run({"config", "version", "--base=3"}) == exit_code::Usage);
    CHECK(fixture.run({"upstreams", "--nothing"}) == exit_code::Usage);
    fixture.variables.clear();
    CHECK(fixture.run({"instances"}) == exit_code::Usage);
    CHECK(contains(fixture.err.str(), "CHICORYHEAD_STORE"));
    CHECK(fixture.run({"--help"}) == exit_code::Done);
    CHECK(contains(fixture.out.str(), "config put FILE"));
}

TEST_CASE("The configuration is shown", "[cli]")
{
    cli_fixture fixture;
    CHECK(fixture.run({"config", "version"}) == exit_code::Done);
    CHECK(fixture.out.str() == "4\n");
    CHECK(fixture.run({"config", "show"}) == exit_code::Done);
    CHECK(contains(fixture.out.str(), "198.18.0.1:443"));
    CHECK(fixture.run({"config", "show", "--json"}) == exit_code::Done);
    CHECK(fixture.out.str() == configText(4) + "\n");
    fixture.store.readError = error::StoreUnavailable;
    CHECK(fixture.run({"config", "show"}) == exit_code::Unavailable);
}

TEST_CASE("A configuration is replaced only by a newer version on the expected base", "[cli]")
{
    // Guards against an operator overwriting a configuration that they have not read.
    cli_fixture fixture;
    CHECK(fixture.put("{}") == exit_code::Invalid);
    CHECK(fixture.put(configText(4)) == exit_code::Invalid);
    CHECK(fixture.put(configText(5), {"--base=3"}) == exit_code::Refused);
    CHECK(fixture.store.config == configText(4));
    CHECK(fixture.put(configText(5), {"--base=4"}) == exit_code::Done);
    CHECK(fixture.store.config == configText(5));
    fixture.store.concurrentReplacement = configText(6);
    CHECK(fixture.put(configText(7)) == exit_code::Refused);
    CHECK(fixture.store.config == configText(6));
}

TEST_CASE("A version that instances have passed is rejected after the store was restored", "[cli]")
{
    // Guards against a configuration that the store accepts and no instance ever applies, because
    // the store returned to an older one.
    cli_fixture fixture;
    fixture.setPage(2, 8);
    CHECK(fixture.put(configText(7)) == exit_code::Invalid);
    CHECK(contains(fixture.err.str(), "not above version 8, which is in force"));
    CHECK(fixture.store.config == configText(4));
    CHECK(fixture.put(configText(9)) == exit_code::Done);
    SECTION("the store can be written while no instance answers")
    {
        fixture.pages.pages.clear();
        CHECK(fixture.put(configText(10)) == exit_code::Done);
    }
}

TEST_CASE("A replacement during which the store was restored is reported as such", "[cli]")
{
    cli_fixture fixture;
    fixture.store.writeError = error::OutcomeUnknown;
    fixture.store.concurrentReplacement = configText(3);
    fixture.store.concurrentEpoch = 2;
    CHECK(fixture.put(configText(5)) == exit_code::Refused);
    CHECK(contains(fixture.err.str(), "restored from a copy in the meantime and has version 3"));
}

TEST_CASE("A configuration with an unusable route is rejected", "[cli]")
{
    // Guards against a typing error in the file that removes a route still used by callers.
    cli_fixture fixture;
    const std::string broken =
        R"({"version":9,"routes":[{"name":"r1","host":"198.18.0.1","prefix":"443","service":"d"}]})";
    CHECK(fixture.put(broken) == exit_code::Invalid);
    CHECK(contains(fixture.err.str(), "1 routes without an address or a service"));
    CHECK(fixture.store.config == configText(4));
    fixture.in.clear();
    fixture.in.str(broken);
    CHECK(fixture.run({"config", "check", "-"}) == exit_code::Invalid);
    fixture.in.clear();
    fixture.in.str(configText(9));
    CHECK(fixture.run({"config", "check", "-"}) == exit_code::Done);
}

TEST_CASE("A policy file is checked alone or together with a configuration", "[cli][policy]")
{
    // Guards against an option that replaces or weakens the check of a configuration.
    cli_fixture fixture;
    const std::filesystem::path path = std::filesystem::temp_directory_path()
        / ("chicoryhead-cli-policy-" + std::to_string(::getpid()) + ".ini");
    std::ofstream(path) << "[hedging]\nbudget_percent = 2\n";
    const std::string flag = "--policy=" + path.string();
    CHECK(fixture.run({"config", "check"}) == exit_code::Usage);
    CHECK(fixture.run({"config", "check", flag}) == exit_code::Done);
    fixture.in.str("{}");
    CHECK(fixture.run({"config", "check", "-", flag}) == exit_code::Invalid);
    std::ofstream(path) << "[hedging]\nbudget_percent = 20\n";
    CHECK(fixture.run({"config", "check", flag}) == exit_code::Invalid);
    CHECK(fixture.err.str().find("[hedging] budget_percent: \"20\" is not a number from 0 to 10")
          != std::string::npos);
    std::filesystem::remove(path);
    CHECK(fixture.run({"config", "check", flag}) == exit_code::Unavailable);
}

TEST_CASE("A replacement with a lost response is resolved by reading the store", "[cli]")
{
    cli_fixture fixture;
    fixture.store.writeError = error::OutcomeUnknown;
    CHECK(fixture.put(configText(5)) == exit_code::Unknown);
    fixture.store.appliesDespiteError = true;
    CHECK(fixture.put(configText(5)) == exit_code::Done);
    fixture.store.appliesDespiteError = false;
    fixture.store.concurrentReplacement = configText(8);
    CHECK(fixture.put(configText(7)) == exit_code::Refused);
    fixture.store.concurrentReplacement.clear();
    fixture.store.writeError = error::Rejected;
    CHECK(fixture.put(configText(9)) == exit_code::Invalid);
    fixture.store.writeError = error::Throttled;
    CHECK(fixture.put(configText(9)) == exit_code::Unavailable);
}

TEST_CASE("Waiting for a version names the instances that lag", "[cli]")
{
    cli_fixture fixture;
    CHECK(fixture.run({"config", "wait", "4"}) == exit_code::Done);
    CHECK(fixture.out.str() == "version 4 is in force on 2 instances\n");
    CHECK(fixture.run({"config", "wait", "5", "--timeout=2"}) == exit_code::Timeout);
    CHECK(contains(fixture.err.str(), "f-1 f-2"));
    fixture.setPage(1, 5);
    fixture.pages.pages.erase("10.0.0.2:9102/v1/instance");
    CHECK(fixture.run({"config", "wait", "5", "--timeout=2"}) == exit_code::Timeout);
    CHECK(contains(fixture.err.str(), "not answering: f-2"));
    int reads = 0;
    fixture.store.onReadFleet = [&] {
        if (++reads == 3)
            fixture.setPage(2, 5);
    };
    CHECK(fixture.run({"config", "wait", "5"}) == exit_code::Done);
    fixture.store.fleet.clear();
    CHECK(fixture.run({"config", "wait", "5", "--timeout=1"}) == exit_code::Timeout);
}

TEST_CASE("Instances are listed with their status, or as not answering", "[cli]")
{
    cli_fixture fixture;
    fixture.pages.pages["10.0.0.2:9102/v1/instance"] = "{\"state\":1}";
    CHECK(fixture.run({"instances"}) == exit_code::Done);
    const std::string text = fixture.out.str();
    CHECK(contains(text, "f-1       a       10.0.0.1:7720  ready      4        120     yes     7"));
    CHECK(contains(text, "f-2       b       10.0.0.2:7720  no answer"));
}

TEST_CASE("Upstreams are filtered by service, and malformed announcements are reported", "[cli]")
{
    cli_fixture fixture;
    upstream_announcement announced;
    announced.name = "i-1";
    announced.service = "desk";
    announced.domain = "a";
    announced.isDraining = true;
    fixture.store.fleet.emplace_back(announced);
    announced.name = "i-2";
    announced.service = "proofs";
    fixture.store.fleet.emplace_back(announced);
    fixture.store.fleet.emplace_back(upstream_withdrawal {"i-3", true});
    CHECK(fixture.run({"upstreams", "desk"}) == exit_code::Done);
    CHECK(contains(fixture.out.str(), "draining"));
    CHECK_FALSE(contains(fixture.out.str(), "i-2"));
    CHECK(contains(fixture.err.str(), "i-3"));
}

TEST_CASE("Flows are listed by instance and upstream", "[cli]")
{
    cli_fixture fixture;
    fixture.pages.pages["10.0.0.1:9102/v1/upstreams"] =
        R"({"upstreams":[{"service":"desk","name":"i-1","standing":"ready","suspected":true,)"
        R"("latency_us":12340,"flows":9}]})";
    CHECK(fixture.run({"flows"}) == exit_code::Done);
    CHECK(contains(fixture.out.str(), "f-1       desk     i-1       ready     yes        12.3"));
    CHECK(contains(fixture.err.str(), "f-2"));
}

TEST_CASE("A hundred instances are summarised by failure domain", "[cli]")
{
    cli_fixture fixture;
    for (int i = 3; i <= 100; ++i) {
        const std::string name = "f-" + std::to_string(i);
        fixture.store.fleet.emplace_back(instance_registration {
            name, i % 2 == 0 ? "a" : "b", {0x0a000000U + static_cast<std::uint32_t>(i), 7720}});
        if (i != 50)
            fixture.setPage(i, i == 7 ? 3 : 4);
    }
    CHECK(fixture.run({"domains"}) == exit_code::Done);
    const std::string text = fixture.out.str();
    CHECK(std::count(text.begin(), text.end(), '\n') == 3);
    CHECK(
        contains(text, "a       50         49     1          49       4         120         343"));
    CHECK(
        contains(text, "b       50         50     0          50       3..4      120         350"));
}

TEST_CASE("Avoided upstreams are listed with the number of instances, healthy ones are omitted",
          "[cli]")
{
    cli_fixture fixture;
    const auto page = [](const char *verdict, bool isSuspected) {
        return std::string(R"({"upstreams":[{"service":"desk","name":"i-1","domain":"a",)")
            + R"("standing":"ready","suspected":)" + (isSuspected ? "true" : "false")
            + R"(,"verdict":")" + verdict + R"(","latency_us":0,"flows":0},)"
            + R"({"service":"desk","name":"i-2","standing":"ready","suspected":false,)"
            + R"("latency_us":0,"flows":0}]})";
    };
    fixture.pages.pages["10.0.0.1:9102/v1/upstreams"] = page("dead", true);
    fixture.pages.pages["10.0.0.2:9102/v1/upstreams"] = page("silent", false);
    CHECK(fixture.run({"unhealthy"}) == exit_code::Done);
    CHECK(contains(fixture.out.str(), "i-1       a       ready     2         1           1"));
    CHECK_FALSE(contains(fixture.out.str(), "i-2"));
    fixture.pages.pages.erase("10.0.0.2:9102/v1/upstreams");
    CHECK(fixture.run({"unhealthy", "desk"}) == exit_code::Done);
    CHECK(contains(fixture.err.str(), "1 instances did not answer"));
}

namespace {

/** Upstreams i-1 in domain a and i-2 in domain b serve "desk". */
struct evacuation_cli_fixture : cli_fixture
{
    evacuation_cli_fixture()
    {
        addUpstream("i-1", "desk", "a");
        addUpstream("i-2", "desk", "b");
        setUpstreams(1, false, 5);
        setUpstreams(2, false, 3);
    }

    void addUpstream(const std::string &name, const std::string &service, const std::string &domain)
    {
        upstream_announcement announced;
        announced.name = name;
        announced.service = service;
        announced.domain = domain;
        store.fleet.emplace_back(announced);
    }

    /// The page of an instance that observes flows to i-1.
    void setUpstreams(int instance, bool isEvacuated, int flows)
    {
        pages.pages["10.0.0." + std::to_string(instance) + ":9102/v1/upstreams"] =
            std::string(R"({"upstreams":[{"service":"desk","name":"i-1","domain":"a",)")
            + R"("standing":"ready","suspected":false,"latency_us":0,"evacuated":)"
            + (isEvacuated ? "true" : "false") + R"(,"flows":)" + std::to_string(flows)
            + R"(},{"service":"desk","name":"i-2","domain":"b","standing":"ready",)"
            + R"("suspected":false,"latency_us":0,"evacuated":false,"flows":40}]})";
    }
};

} // namespace

TEST_CASE("An evacuation is started and ended once, and only for a known failure domain", "[cli]")
{
    // Guards against a typing error that evacuates nothing and is taken for done.
    evacuation_cli_fixture fixture;
    CHECK(fixture.run({"evacuate", "c"}) == exit_code::Invalid);
    CHECK(contains(fixture.err.str(), "unknown failure domain c; known: a b"));
    CHECK(fixture.run({"evacuate", "--end", "a"}) == exit_code::Refused);
    CHECK(fixture.run({"evacuate", "a"}) == exit_code::Done);
    CHECK(fixture.out.str() == "a is being evacuated\n");
    CHECK(fixture.run({"evacuate", "a"}) == exit_code::Refused);
    CHECK(contains(fixture.err.str(), "a is being evacuated already"));
    CHECK(fixture.run({"evacuate", "--end", "a"}) == exit_code::Done);
    CHECK(fixture.out.str() == "the evacuation of a has ended\n");
    CHECK(fixture.run({"evacuations"}) == exit_code::Done);
    CHECK(fixture.out.str() == "DOMAIN  INSTANCES  FOLLOWING  FLOWS\n");
    SECTION("a domain that lost all its upstreams can be taken back")
    {
        fixture.store.fleet = {domain_evacuation {"a"}};
        CHECK(fixture.run({"evacuate", "--end", "a"}) == exit_code::Done);
        CHECK(fixture.store.fleet.empty());
    }
}

TEST_CASE("An evacuation that leaves a service without upstreams has to be forced", "[cli]")
{
    // Guards against an outage by two evacuations, or by one of the only domain of a service.
    evacuation_cli_fixture fixture;
    SECTION("the other failure domain is being evacuated")
    {
        REQUIRE(fixture.run({"evacuate", "b"}) == exit_code::Done);
        CHECK(fixture.run({"evacuate", "a"}) == exit_code::Refused);
        CHECK(contains(fixture.err.str(), "no upstreams would be left for: desk; --force"));
    }
    SECTION("a service has upstreams in one failure domain only")
    {
        fixture.addUpstream("i-3", "proofs", "a");
        CHECK(fixture.run({"evacuate", "a"}) == exit_code::Refused);
        CHECK(contains(fixture.err.str(), "no upstreams would be left for: proofs; --force"));
    }
    SECTION("the upstreams of the other failure domain drain")
    {
        for (fleet_change &change : fixture.store.fleet) {
            auto *announced = std::get_if<upstream_announcement>(&change);
            if (announced != nullptr && announced->domain == "b")
                announced->isDraining = true;
        }
        CHECK(fixture.run({"evacuate", "a"}) == exit_code::Refused);
    }
    CHECK(fixture.run({"evacuate", "--force", "a"}) == exit_code::Done);
}

TEST_CASE("An evacuation with a lost response is resolved by reading the store", "[cli]")
{
    evacuation_cli_fixture fixture;
    fixture.store.writeError = error::OutcomeUnknown;
    CHECK(fixture.run({"evacuate", "a"}) == exit_code::Unknown);
    fixture.store.appliesDespiteError = true;
    CHECK(fixture.run({"evacuate", "a"}) == exit_code::Done);
    CHECK(fixture.run({"evacuate", "--end", "a"}) == exit_code::Done);
    fixture.store.appliesDespiteError = false;
    fixture.store.writeError = error::Throttled;
    CHECK(fixture.run({"evacuate", "a"}) == exit_code::Unavailable);
    fixture.store.writeError = error::Rejected;
    CHECK(fixture.run({"evacuate", "a"}) == exit_code::Invalid);
    fixture.store.writeError = {};
    fixture.store.concurrentEvacuation = "a";
    CHECK(fixture.run({"evacuate", "a"}) == exit_code::Refused);
    CHECK(contains(fixture.err.str(), "by another operator"));
    fixture.store.readError = error::StoreUnavailable;
    CHECK(fixture.run({"evacuate", "a"}) == exit_code::Unavailable);
    CHECK(fixture.run({"evacuations"}) == exit_code::Unavailable);
}

TEST_CASE("Waiting for an evacuation ends when all instances follow and no flows are left", "[cli]")
{
    evacuation_cli_fixture fixture;
    SECTION("an instance does not follow")
    {
        fixture.setUpstreams(1, true, 0);
        CHECK(fixture.run({"evacuate", "--wait", "--timeout=3", "a"}) == exit_code::Timeout);
        CHECK(contains(fixture.out.str(), "1 of 2 instances follow, 3 flows\n"));
        CHECK(contains(fixture.err.str(), "behind or not answering: f-2"));
    }
    SECTION("an instance does not answer")
    {
        fixture.setUpstreams(1, true, 0);
        fixture.pages.pages.erase("10.0.0.2:9102/v1/upstreams");
        CHECK(fixture.run({"evacuate", "--wait", "--timeout=3", "a"}) == exit_code::Timeout);
        CHECK(contains(fixture.err.str(), "behind or not answering: f-2"));
    }
    SECTION("flows are left")
    {
        fixture.setUpstreams(1, true, 2);
        fixture.setUpstreams(2, true, 0);
        CHECK(fixture.run({"evacuate", "--wait", "--timeout=3", "a"}) == exit_code::Timeout);
        CHECK(contains(fixture.err.str(), "flows are left in a"));
        CHECK(fixture.run({"evacuations"}) == exit_code::Done);
        CHECK(contains(fixture.out.str(), "a       2          2          2"));
    }
    SECTION("the flows end one after the other")
    {
        int reads = 0;
        fixture.store.onReadFleet = [&] {
            ++reads;
            fixture.setUpstreams(1, reads > 2, std::max(5 - reads, 0));
            fixture.setUpstreams(2, reads > 3, 0);
        };
        CHECK(fixture.run({"evacuate", "--wait", "a"}) == exit_code::Done);
        CHECK(fixture.out.str()
              == "a is being evacuated\n0 of 2 instances follow, 3 flows\n"
                 "1 of 2 instances follow, 2 flows\n2 of 2 instances follow, 1 flows\n"
                 "2 of 2 instances follow, 0 flows\n");
    }
    SECTION("the end needs no flow to end")
    {
        fixture.store.fleet.emplace_back(domain_evacuation {"a"});
        fixture.setUpstreams(2, true, 3);
        CHECK(fixture.run({"evacuate", "--end", "--wait", "--timeout=3", "a"})
              == exit_code::Timeout);
        fixture.store.fleet.emplace_back(domain_evacuation {"a"});
        fixture.setUpstreams(2, false, 3);
        CHECK(fixture.run({"evacuate", "--end", "--wait", "a"}) == exit_code::Done);
    }
}

TEST_CASE("The log for a flow trace is read from standard input", "[cli]")
{
    cli_fixture fixture;
    fixture.in.str("1.5 f-1 t_ms=9 event=flow_refused flow=1.2.3.4:5>6.7.8.9:10 reason=no_route "
                   "version=4 state_age_ms=12\n");
    CHECK(fixture.run({"trace", "1.2.3.4:5>6.7.8.9:10"}) == exit_code::Done);
    CHECK(contains(fixture.out.str(),
                   "- refused at once: no_route, with configuration 4 confirmed 12 ms before"));
    fixture.in.clear();
    fixture.in.str("nothing\n");
    CHECK(fixture.run({"trace", "1.2.3.4:5>6.7.8.9:10"}) == exit_code::Invalid);
    CHECK(fixture.run({"trace", "x", "/nonexistent"}) == exit_code::Unavailable);
}
