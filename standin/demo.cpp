/**
 * @file demo.cpp
 * Demo of one deployment on this machine: starts the stand-ins and 15 instances, keeps flows open
 * while the configuration, an upstream and an instance change, and checks the invariants.
 */

#include "common.h"

#include <gflags/gflags.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

DEFINE_string(programs, "build", "build folder that holds the programs");
DEFINE_string(logs, "", "folder for logs and settings; empty for a temporary one");
DEFINE_double(loss, 0, "share of packets that the fabric loses");
DEFINE_double(duplicate, 0, "share of packets that the fabric doubles");
DEFINE_int32(delay_ms, 3, "delay of a packet between callers, upstreams and instances");
DEFINE_int32(jitter_ms, 1, "uniform addition to the delay");
DEFINE_uint64(seed, 1, "seed of the callers and the fabric");

using namespace standin;

namespace {

namespace fs = std::filesystem;

constexpr int instanceCount = 15;
constexpr int domainCount = 3;
constexpr int orderDeskUpstreams = 14;
constexpr int patternProofsUpstreams = 4;
constexpr int leavingIndex = 2; ///< upstream of the order desk that is drained
constexpr int leavingLimitMs = 3000;
constexpr double patchLimitSeconds = 7;
constexpr const char *operatorToken = "demo-operator-token";

/// Set by SIGINT and SIGTERM, so that the demo ends its processes before it ends.
volatile std::sig_atomic_t isInterrupted = 0;

struct demo_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** A process that the demo started; it ends with this object. */
class child_process
{
public:
    /** Starts a program with its output in `<log>.out` and `<log>.err`. */
    child_process(const fs::path &program, const std::vector<std::string> &arguments, fs::path log)
        : m_log(std::move(log))
    {
        std::vector<std::string> words {program.string()};
        words.insert(words.end(), arguments.begin(), arguments.end());
        std::vector<char *> pointers;
        pointers.reserve(words.size() + 1);
        for (std::string &word : words)
            pointers.push_back(word.data());
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        const int flags = O_WRONLY | O_CREAT | O_TRUNC;
        const std::string out = m_log.string() + ".out";
        const std::string err = m_log.string() + ".err";
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), flags, 0644);
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, err.c_str(), flags, 0644);
        const int code =
            posix_spawn(&m_pid, words[0].c_str(), &actions, nullptr, pointers.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (code != 0)
            throw demo_error("cannot start " + words[0] + "; build it first");
    }

    ~child_process()
    {
        signal(SIGTERM);
        if (!wait(tick(3000))) {
            signal(SIGKILL);
            wait(tick(3000));
        }
    }

    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number) const
    {
        if (m_isRunning)
            kill(m_pid, number);
    }

    /** Waits for the end; false when it is still running after the time. */
    bool wait(tick time)
    {
        for (const tick end = nowTick() + time; m_isRunning;
             std::this_thread::sleep_for(tick(20))) {
            m_isRunning = waitpid(m_pid, &m_status, WNOHANG) == 0;
            if (m_isRunning && nowTick() > end)
                return false;
        }
        return true;
    }

    /** Exit code after the end; 128 and more for a signal. */
    int exitCode() const
    {
        return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : 128 + WTERMSIG(m_status);
    }

    std::string output() const { return read(".out") + read(".err"); }
    json report() const { return json::parse(read(".out"), nullptr, false); }

private:
    std::string read(const std::string &suffix) const
    {
        std::ifstream stream(m_log.string() + suffix);
        return {std::istreambuf_iterator<char>(stream), {}};
    }

    fs::path m_log;
    pid_t m_pid = 0;
    int m_status = 0;
    bool m_isRunning = true;
};

/** Chooses ports that are free for TCP and UDP, below the range that the system hands out. */
class port_chooser
{
public:
    endpoint next()
    {
        while (m_port < 32000) {
            const std::uint16_t port = m_port++;
            std::error_code tcpError;
            std::error_code udpError;
            const auto address = asio::ip::address_v4::loopback();
            asio::ip::tcp::socket tcp(m_context, asio::ip::tcp::v4());
            asio::ip::udp::socket udp(m_context, asio::ip::udp::v4());
            tcp.bind({address, port}, tcpError);
            udp.bind({address, port}, udpError);
            if (!tcpError && !udpError)
                return {INADDR_LOOPBACK, port};
        }
        throw demo_error("no free port");
    }

    /** Several free ports as a comma-separated list. */
    std::string list(int count)
    {
        std::string text;
        for (int i = 0; i < count; ++i)
            text += (i == 0 ? "" : ",") + toString(next());
        return text;
    }

private:
    asio::io_context m_context;
    std::uint16_t m_port = static_cast<std::uint16_t>(10000 + std::random_device()() % 15000);
};

struct instance
{
    int id = 0;
    int domain = 0;
    endpoint data;
    endpoint peer;
    std::string url;
    std::unique_ptr<child_process> process;
    bool isLeaving = false;
};

/** A service with its process of upstreams and its process of callers. */
struct service
{
    std::string name;
    std::string address;
    std::string protocol;
    int upstreamCount = 0;
    std::string source; ///< first inner address of its callers
    std::vector<std::string> callerFlags;
    std::string tunnels;
    std::string loads;
    std::unique_ptr<child_process> upstreams;
    std::unique_ptr<child_process> callers;
    json callerReport = json::object();
    std::string callerUrl;

    std::string url(int upstream) const
    {
        return "http://" + toString(endpointsOrExit(loads).at(upstream));
    }
};

/** One line of the table at the end. */
struct result_line
{
    std::string name;
    double value = 0;
    std::string limit {}; ///< empty when there is none
    bool isKept = true;
};

class demo
{
public:
    demo() : m_programs(fs::absolute(FLAGS_programs)), m_folder(FLAGS_logs)
    {
        if (!m_folder.empty()) {
            fs::create_directories(m_folder);
            return;
        }
        std::string name = (fs::temp_directory_path() / "chicoryhead-demo-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr)
            throw demo_error("cannot make a temporary folder");
        m_folder = name;
    }

    ~demo()
    {
        // All at once: instances take a few seconds to drain.
        for (const instance &item : m_instances)
            item.process->signal(SIGTERM);
        const tick end = nowTick() + tick(5000);
        for (const instance &item : m_instances)
            if (!item.process->wait(std::max(tick(0), end - nowTick())))
                item.process->signal(SIGKILL);
    }

    demo(const demo &) = delete;
    demo &operator=(const demo &) = delete;

    /** Runs the demo. Returns whether all invariants held. */
    bool run()
    {
        startPlatform();
        startUpstreams();
        for (int i = 0; i < instanceCount; ++i)
            addInstance(i + 1, i % domainCount);
        for (const instance &item : m_instances)
            await("instance " + std::to_string(item.id) + " to answer", 20,
                  [&] { return httpCall("GET", item.url + "/healthz").status == 200; });
        progress("started " + std::to_string(instanceCount) + " instances in "
                 + std::to_string(domainCount) + " failure domains");
        submit("create both services", createOperations());
        for (const instance &item : m_instances)
            awaitReady(item);
        setSpray();
        progress("all instances are ready");
        startCallers();
        submit("halve the weight of one upstream",
               json::array({{{"operation", "set_weight"},
                             {"service", "order-desk"},
                             {"upstream", "order-desk-1"},
                             {"weight", 50}}}));
        pause(3);
        drainUpstream();
        pause(2);
        replaceInstance();
        pause(5);
        endCallers();
        const bool isKept = printTable();
        if (FLAGS_logs.empty() && isKept)
            fs::remove_all(m_folder);
        else
            std::cout << "logs: " << m_folder.string() << '\n';
        return isKept;
    }

private:
    // Progress

    void progress(const std::string &text) const
    {
        std::cout << std::fixed << std::setprecision(1) << std::setw(6)
                  << static_cast<double>((nowTick() - m_started).count()) / 1000 << " s  " << text
                  << std::endl;
    }

    static void pause(double seconds)
    {
        const tick end = nowTick() + tick(static_cast<int>(seconds * 1000));
        await("the end of a pause", seconds + 1, [end] { return nowTick() >= end; });
    }

    /** Waits until a condition holds; throws when it does not hold in time. */
    static void await(const std::string &what, double seconds,
                      const std::function<bool()> &condition)
    {
        const tick start = nowTick();
        while (!condition()) {
            if (isInterrupted != 0)
                throw demo_error("interrupted");
            if (nowTick() - start > tick(static_cast<int>(seconds * 1000)))
                throw demo_error("waited in vain for " + what);
            std::this_thread::sleep_for(tick(50));
        }
    }

    // Processes

    std::unique_ptr<child_process> start(const std::string &program, const std::string &name,
                                         const std::vector<std::string> &arguments)
    {
        return std::make_unique<child_process>(m_programs / program, arguments, m_folder / name);
    }

    void startPlatform()
    {
        const endpoint platform = m_ports.next();
        const endpoint control = m_ports.next();
        m_platformUrl = "http://" + toString(platform);
        m_fabricUrl = "http://" + toString(control);
        m_callerPort = m_ports.next();
        m_egress = m_ports.next();
        m_platform = start("standin/chicoryhead-standin-platform", "platform",
                           {"--http=" + toString(platform)});
        m_fabric =
            start("standin/chicoryhead-standin-fabric", "fabric",
                  {"--control=" + toString(control), "--caller=" + toString(m_callerPort),
                   "--egress=" + toString(m_egress), "--seed=" + std::to_string(FLAGS_seed)});
        await("the platform", 5, [this] {
            return httpCall("GET", m_platformUrl + "/test/counters").status == 200
                && httpCall("GET", m_fabricUrl + "/spray").status == 200;
        });
    }

    void startUpstreams()
    {
        for (service &item : m_services) {
            item.tunnels = m_ports.list(item.upstreamCount);
            item.loads = m_ports.list(item.upstreamCount);
            item.upstreams = start("standin/chicoryhead-standin-upstream", item.name + "-upstreams",
                                   {"--tunnels=" + item.tunnels, "--loads=" + item.loads,
                                    "--service=" + item.address, "--protocol=" + item.protocol,
                                    "--fabric=" + m_fabricUrl});
        }
    }

    void addInstance(int id, int domain)
    {
        instance added {id, domain, m_ports.next(), m_ports.next(), {}, nullptr};
        const endpoint http = m_ports.next();
        added.url = "http://" + toString(http);
        std::string seeds = toString(added.peer);
        for (std::size_t i = 0; i < m_instances.size() && i < 3; ++i)
            seeds += "," + toString(m_instances[i].peer);
        const fs::path settings = m_folder / ("instance-" + std::to_string(id) + ".ini");
        std::ofstream(settings) << "[instance]\nid = " << id << "\ndomain = " << domain
                                << "\n[listen]\ndata = " << toString(added.data)
                                << "\npeer = " << toString(added.peer)
                                << "\nhttp = " << toString(http)
                                << "\n[fabric]\negress = " << toString(m_egress)
                                << "\n[platform]\nurl = " << m_platformUrl
                                << "\n[peers]\nseeds = " << seeds
                                << "\nkey = demo-key-of-all-instances\n[operator]\ntoken = "
                                << operatorToken << "\n[limits]\nflows = 65536\n";
        added.process = start("src/daemon/chicoryheadd", "instance-" + std::to_string(id),
                              {"--config", settings.string()});
        m_instances.push_back(std::move(added));
        listInstances();
    }

    void listInstances()
    {
        json list = json::array();
        for (const instance &item : m_instances)
            list.push_back({{"id", item.id},
                            {"address", toString(item.peer)},
                            {"domain", item.domain},
                            {"state", item.isLeaving ? "leaving" : "live"}});
        httpCall("POST", m_platformUrl + "/test/instances", list.dump());
    }

    static void awaitReady(const instance &item)
    {
        await("instance " + std::to_string(item.id) + " to be ready", 30,
              [&] { return httpCall("GET", item.url + "/readyz").status == 200; });
    }

    void setSpray()
    {
        json list = json::array();
        for (const instance &item : m_instances)
            if (!item.isLeaving)
                list.push_back(toString(item.data));
        httpCall("POST", m_fabricUrl + "/spray",
                 json {{"instances", list},
                       {"loss", FLAGS_loss},
                       {"duplicate", FLAGS_duplicate},
                       {"delay_ms", FLAGS_delay_ms},
                       {"jitter_ms", FLAGS_jitter_ms}}
                     .dump());
    }

    void startCallers()
    {
        pause(0.5); // upstreams poll the fabric for the instances
        for (service &item : m_services) {
            const endpoint http = m_ports.next();
            item.callerUrl = "http://" + toString(http);
            std::vector<std::string> flags {"--fabric=" + toString(m_callerPort),
                                            "--service=" + item.address,
                                            "--protocol=" + item.protocol,
                                            "--source=" + item.source,
                                            "--http=" + toString(http),
                                            "--seconds=120",
                                            "--seed=" + std::to_string(FLAGS_seed)};
            flags.insert(flags.end(), item.callerFlags.begin(), item.callerFlags.end());
            item.callers =
                start("standin/chicoryhead-standin-caller", item.name + "-callers", flags);
        }
        pause(3);
        for (const service &item : m_services) {
            const json report = json::parse(httpCall("GET", item.callerUrl).body, nullptr, false);
            if (!report.is_object())
                throw demo_error("no report of the callers of " + item.name);
            progress(item.name + ": " + report.value("flows_open", json(0)).dump() + " flows open, "
                     + report.value("answered", json(0)).dump() + " requests answered");
        }
    }

    // Configuration

    json createOperations() const
    {
        json operations = json::array();
        for (const service &item : m_services) {
            const auto tunnels = endpointsOrExit(item.tunnels);
            const auto loads = endpointsOrExit(item.loads);
            json upstreams = json::array();
            for (int i = 0; i < item.upstreamCount; ++i)
                upstreams.push_back({{"name", item.name + "-" + std::to_string(i + 1)},
                                     {"domain", i % domainCount},
                                     {"address", toString(tunnels.at(i))},
                                     {"health", toString(loads.at(i))},
                                     {"weight", 100},
                                     {"slots", 3},
                                     {"max_flows", 4300}});
            operations.push_back({{"operation", "create_service"},
                                  {"service", item.name},
                                  {"address", item.address},
                                  {"protocol", item.protocol},
                                  {"upstreams", upstreams}});
        }
        return operations;
    }

    /** Version in force at an instance; 0 when it doesn't answer. */
    static std::uint64_t versionAt(const instance &item)
    {
        const http_response response = httpCall("GET", item.url + "/v1/instances", {}, 500);
        const json document = json::parse(response.body, nullptr, false);
        return document.is_object() ? document.value("version", std::uint64_t {0}) : 0;
    }

    /** Submits a patch by the client and takes the time until it is in force everywhere. */
    void submit(const std::string &reason, const json &operations)
    {
        const std::uint64_t version = ++m_version;
        const fs::path file = m_folder / ("patch-" + std::to_string(version) + ".json");
        std::ofstream(file) << json {
            {"id", "demo-" + std::to_string(version)},
            {"author", "demo"},
            {"reason", reason},
            {"base_version", version - 1},
            {"operations",
             operations}}.dump(2);
        const tick submitted = nowTick();
        const auto client =
            start("src/cli/chicoryhead", "patch-" + std::to_string(version),
                  {"--server=" + m_instances.front().url, std::string("--token=") + operatorToken,
                   "patch", "submit", file.string()});
        if (!client->wait(tick(15000)) || client->exitCode() != 0)
            throw demo_error("patch was not accepted: " + client->output());
        await("version " + std::to_string(version), 30, [&] {
            return std::all_of(m_instances.begin(), m_instances.end(), [&](const instance &item) {
                return item.isLeaving || versionAt(item) >= version;
            });
        });
        const double seconds = static_cast<double>((nowTick() - submitted).count()) / 1000;
        m_patchSeconds = std::max(m_patchSeconds, seconds);
        std::ostringstream text;
        text << std::fixed << std::setprecision(1) << "version " << version << " (" << reason
             << ") in force everywhere after " << seconds << " s";
        progress(text.str());
    }

    void drainUpstream()
    {
        const service &desk = m_services.front();
        const std::string name = desk.name + "-" + std::to_string(leavingIndex + 1);
        const auto now = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch());
        submit("drain " + name,
               json::array({{{"operation", "mark_leaving"},
                             {"service", desk.name},
                             {"upstream", name},
                             {"leaving_at", now.count()}}}));
        httpCall("POST", desk.url(leavingIndex) + "/mark",
                 json {{"after_ms", leavingLimitMs}}.dump());
    }

    void replaceInstance()
    {
        addInstance(instanceCount + 1, m_instances.at(1).domain);
        awaitReady(m_instances.back());
        instance &old = m_instances.at(1);
        old.process->signal(SIGTERM);
        // The fabric follows an instance's readiness, as a platform's health check does.
        await("the old instance to withdraw its readiness", 10,
              [&] { return httpCall("GET", old.url + "/readyz", {}, 500).status != 200; });
        old.isLeaving = true;
        setSpray();
        listInstances();
        if (!old.process->wait(tick(40000)))
            throw demo_error("the replaced instance did not end");
        progress("instance " + std::to_string(old.id) + " is replaced by instance "
                 + std::to_string(m_instances.back().id) + ", exit code "
                 + std::to_string(old.process->exitCode()));
    }

    // Results

    void endCallers()
    {
        for (const service &item : m_services)
            item.callers->signal(SIGTERM);
        for (service &item : m_services) {
            if (!item.callers->wait(tick(20000)))
                throw demo_error("callers of " + item.name + " did not end");
            item.callerReport = item.callers->report();
            if (!item.callerReport.is_object())
                throw demo_error("no report of the callers of " + item.name);
        }
        progress("callers have closed their flows");
    }

    double sumOfCallers(std::initializer_list<const char *> names) const
    {
        double total = 0;
        for (const service &item : m_services)
            for (const char *name : names)
                total += item.callerReport.value(name, 0.0);
        return total;
    }

    static json reportOf(const service &item, int upstream)
    {
        json report =
            json::parse(httpCall("GET", item.url(upstream) + "/report").body, nullptr, false);
        if (!report.is_object())
            throw demo_error("no report of an upstream of " + item.name);
        return report;
    }

    double sumOfUpstreams(std::initializer_list<const char *> names) const
    {
        double total = 0;
        for (const service &item : m_services)
            for (int i = 0; i < item.upstreamCount; ++i) {
                const json report = reportOf(item, i);
                for (const char *name : names)
                    total += report.at(name).get<double>();
            }
        return total;
    }

    /** Requests that were run although their callers were told that they were not. */
    double refusedButRun() const
    {
        double total = 0;
        for (const service &item : m_services) {
            const json runs = json::parse(httpCall("POST", item.url(0) + "/runs",
                                                   item.callerReport.at("refused_requests").dump())
                                              .body);
            for (const json &count : runs)
                total += count.get<int>() > 0 ? 1 : 0;
        }
        return total;
    }

    /** Requests run twice; counted over all upstreams of a process by each of them. */
    double runTwice() const
    {
        double total = 0;
        for (const service &item : m_services)
            total += reportOf(item, 0).at("process_run_twice").get<double>();
        return total;
    }

    static result_line atMost(const std::string &name, double value, double limit)
    {
        std::ostringstream text;
        text << "at most " << limit;
        return {name, value, text.str(), value <= limit};
    }

    static result_line some(const std::string &name, double value)
    {
        return {name, value, "more than 0", value > 0};
    }

    bool printTable() const
    {
        const double leavingFlows =
            reportOf(m_services.front(), leavingIndex).at("flows_opened_after_mark").get<double>();
        const std::vector<result_line> lines {
            some("flows opened", sumOfCallers({"flows_opened"})),
            atMost("flows broken", sumOfCallers({"flows_broken"}), 0),
            {"flows refused or unanswered", sumOfCallers({"flows_refused", "flows_unanswered"})},
            atMost("packets sent to a wrong service", sumOfUpstreams({"wrong_service"}), 0),
            atMost("payload bytes sent to a wrong upstream", sumOfUpstreams({"stray_bytes"}), 0),
            some("requests answered", sumOfCallers({"answered"})),
            {"requests refused or unknown", sumOfCallers({"refused", "unknown"})},
            {"requests without an outcome", sumOfCallers({"unanswered"})},
            atMost("answers incomplete, damaged or foreign",
                   sumOfCallers({"incomplete", "damaged", "wrong_request", "foreign_answers"}), 0),
            atMost("requests run twice", runTwice(), 0),
            atMost("requests refused but run",
                   refusedButRun() + sumOfCallers({"answered_after_refused"}), 0),
            atMost("new flows on the leaving upstream after 3 s", leavingFlows, 0),
            atMost("seconds until a patch held on every instance", m_patchSeconds,
                   patchLimitSeconds)};
        bool isKept = true;
        for (const result_line &line : lines) {
            isKept = isKept && line.isKept;
            std::cout << std::left << std::setw(48) << line.name << std::right << std::setw(10)
                      << std::setprecision(line.name.starts_with("seconds") ? 1 : 0) << line.value
                      << "  "
                      << (line.limit.empty() ? ""
                              : line.isKept  ? "kept: "
                                             : "BROKEN: ")
                      << line.limit << '\n';
        }
        std::cout << (isKept ? "all invariants held" : "an invariant was broken") << '\n';
        return isKept;
    }

    tick m_started = nowTick();
    fs::path m_programs;
    fs::path m_folder;
    port_chooser m_ports;
    std::string m_platformUrl;
    std::string m_fabricUrl;
    endpoint m_callerPort;
    endpoint m_egress;
    std::uint64_t m_version = 0;
    double m_patchSeconds = 0;
    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<child_process> m_fabric;
    std::vector<service> m_services = makeServices();
    std::vector<instance> m_instances;

    static std::vector<service> makeServices()
    {
        std::vector<service> services(2);
        services[0].name = "order-desk";
        services[0].address = "10.10.0.1:443";
        services[0].protocol = "request";
        services[0].upstreamCount = orderDeskUpstreams;
        services[0].source = "10.1.0.0:20000";
        services[0].callerFlags = {"--flows=600", "--rate=300", "--churn=20",
                                   "--idempotent_share=0.3"};
        services[1].name = "pattern-proofs";
        services[1].address = "10.10.0.2:443";
        services[1].protocol = "tcp";
        services[1].upstreamCount = patternProofsUpstreams;
        services[1].source = "10.2.0.0:20000";
        services[1].callerFlags = {"--flows=300", "--rate=100", "--churn=10"};
        return services;
    }
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGINT, [](int) { isInterrupted = 1; });
    std::signal(SIGTERM, [](int) { isInterrupted = 1; });
    try {
        return demo().run() ? 0 : 1;
    } catch (const std::exception &failure) {
        std::cerr << "demo failed: " << failure.what() << '\n';
        return 1;
    }
}
