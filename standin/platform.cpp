/**
 * @file platform.cpp
 * Stand-in of the platform's key-value service and of its list of instances.
 */

#include "common.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <list>
#include <set>

DEFINE_string(http, "127.0.0.1:6010", "HTTP address");
DEFINE_uint64(seed, 1, "seed of the session ids");

using namespace standin;

namespace {

constexpr std::size_t maxValueBytes = 1U << 20U;
constexpr tick maxWait = std::chrono::minutes(10);

std::string encodeBase64(const std::string &bytes)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < bytes.size() ? std::uint8_t(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18U - 6U * j) & 63U] : '=';
    }
    return text;
}

/** Number at the start of a query's value; nothing if the query or the number is missing. */
std::optional<std::uint64_t> queryNumber(const http_request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    if (found == request.query.end() || found->second.empty()
        || std::isdigit(static_cast<unsigned char>(found->second[0])) == 0)
        return std::nullopt;
    return std::strtoull(found->second.c_str(), nullptr, 10);
}

/** The `wait` of a blocking query: "<n>ms", "<n>s" or "<n>m"; the published default is 5 min. */
tick waitOf(const http_request &request)
{
    const auto number = queryNumber(request, "wait");
    if (!number)
        return std::chrono::minutes(5);
    const std::string &text = request.query.at("wait");
    const std::string unit = text.substr(text.find_first_not_of("0123456789"));
    const std::uint64_t factor = unit == "ms" ? 1 : unit == "m" ? 60000 : 1000;
    return std::min(maxWait, tick(*number * factor));
}

/** The platform's service. */
class platform
{
public:
    explicit platform(asio::io_context &context)
        : m_context(context)
        , m_random(FLAGS_seed)
        , m_server(context, endpointOrExit(FLAGS_http),
                   [this](const http_request &request, const http_reply &reply) {
                       onRequest(request, reply);
                   })
    {
    }

private:
    struct entry
    {
        std::string value;
        std::uint64_t createIndex = 0;
        std::uint64_t modifyIndex = 0;
        std::string session; ///< holder of the lock
    };

    struct watcher
    {
        std::string key;
        std::uint64_t afterIndex = 0;
        http_reply reply;
        asio::steady_timer timer;
    };

    void onRequest(const http_request &request, const http_reply &reply)
    {
        if (request.path.starts_with("/test/")) {
            reply(onTest(request));
            return;
        }
        const auto answer = [this, request, reply] {
            onCall(request, reply);
        };
        if (m_delay == tick::zero()) {
            answer();
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_context, m_delay);
        timer->async_wait([timer, answer](const std::error_code &) { answer(); });
    }

    http_response onTest(const http_request &request)
    {
        if (request.path == "/test/counters")
            return jsonResponse(m_counters);
        const json document = json::parse(request.body, nullptr, false);
        if (document.is_discarded())
            return {400, "not JSON", {}};
        if (request.path == "/test/instances") {
            m_instances = publishedList(document);
        } else if (request.path == "/test/fault") {
            m_delay = tick(document.value("delay_ms", m_delay.count()));
            m_isUnavailable = document.value("unavailable", m_isUnavailable);
            m_lostAnswers = document.value("lose_answers", m_lostAnswers);
            m_hasSilentWatches = document.value("silent_watches", m_hasSilentWatches);
        } else {
            return {404, {}, {}};
        }
        return jsonResponse(true);
    }

    void onCall(const http_request &request, const http_reply &reply)
    {
        static const std::string kvPath = "/v1/kv/";
        count("calls");
        if (m_isUnavailable) {
            count("unavailable");
            reply({500, "No cluster leader", {}});
        } else if (request.path.starts_with(kvPath)) {
            onKey(request, request.path.substr(kvPath.size()), reply);
        } else if (request.path == "/v1/session/create" && request.method == "PUT") {
            count("sessions");
            reply(jsonResponse({{"ID", createSession()}}));
        } else if (request.path == "/v1/health/service/chicoryhead") {
            count("lists");
            reply(jsonResponse(m_instances));
        } else {
            reply({404, {}, {}});
        }
    }

    void onKey(const http_request &request, const std::string &key, const http_reply &reply)
    {
        if (request.method == "GET") {
            onRead(request, key, reply);
            return;
        }
        if (request.method != "PUT" && request.method != "DELETE") {
            reply({405, {}, {}});
            return;
        }
        count(request.method == "PUT" ? "writes" : "deletes");
        const http_response response =
            request.method == "PUT" ? write(request, key) : remove(request, key);
        if (m_lostAnswers > 0) {
            --m_lostAnswers;
            count("lost_answers");
            return; // the connection closes without an answer
        }
        reply(response);
    }

    void onRead(const http_request &request, const std::string &key, const http_reply &reply)
    {
        if (request.query.contains("keys")) {
            count("key_lists");
            reply(listKeys(key));
            return;
        }
        const auto afterIndex = queryNumber(request, "index");
        if (!afterIndex || *afterIndex == 0) {
            count("reads");
            reply(read(key));
            return;
        }
        count("watches");
        if (m_hasSilentWatches) {
            count("silent_watches");
            m_silentWatches.push_back(reply);
            return;
        }
        if (indexOf(key) > *afterIndex) {
            reply(read(key));
            return;
        }
        auto waiting = m_watchers.insert(
            m_watchers.end(),
            watcher {key, *afterIndex, reply, asio::steady_timer(m_context, waitTime(request))});
        waiting->timer.async_wait([this, waiting](const std::error_code &error) {
            if (!error)
                answerWatcher(waiting);
        });
    }

    /** The wait plus up to a sixteenth, as the published interface has it. */
    tick waitTime(const http_request &request)
    {
        const tick wait = waitOf(request);
        return wait
            + tick(std::uniform_int_distribution<tick::rep>(0, wait.count() / 16)(m_random));
    }

    void answerWatcher(std::list<watcher>::iterator waiting)
    {
        waiting->reply(read(waiting->key));
        m_watchers.erase(waiting);
    }

    void wakeWatchers()
    {
        for (auto waiting = m_watchers.begin(); waiting != m_watchers.end();) {
            const auto current = waiting++;
            if (indexOf(current->key) > current->afterIndex)
                answerWatcher(current);
        }
    }

    /**
     * Index of a key's last change. A missing key has none of its own: as in the published
     * interface, it has that of the last write to any key, so that such a watch wakes early.
     */
    std::uint64_t indexOf(const std::string &key) const
    {
        const auto found = m_entries.find(key);
        return found == m_entries.end() ? m_index : found->second.modifyIndex;
    }

    http_response read(const std::string &key) const
    {
        const std::string index = std::to_string(indexOf(key));
        const auto found = m_entries.find(key);
        if (found == m_entries.end())
            return {404, {}, {{"X-Consul-Index", index}}};
        const entry &stored = found->second;
        json item = {{"Key", key},
                     {"Value", encodeBase64(stored.value)},
                     {"CreateIndex", stored.createIndex},
                     {"ModifyIndex", stored.modifyIndex},
                     {"LockIndex", stored.session.empty() ? 0 : 1},
                     {"Flags", 0}};
        if (!stored.session.empty())
            item["Session"] = stored.session;
        http_response response = jsonResponse(json::array({item}));
        response.headers["X-Consul-Index"] = index;
        return response;
    }

    http_response listKeys(const std::string &prefix) const
    {
        json keys = json::array();
        for (auto i = m_entries.lower_bound(prefix);
             i != m_entries.end() && i->first.starts_with(prefix); ++i)
            keys.push_back(i->first);
        if (keys.empty())
            return {404, {}, {}};
        return jsonResponse(keys);
    }

    /** Whether the check-and-set index of a request allows the change. */
    bool isAllowed(const http_request &request, const std::string &key)
    {
        const auto expected = queryNumber(request, "cas");
        const auto found = m_entries.find(key);
        const std::uint64_t actual = found == m_entries.end() ? 0 : found->second.modifyIndex;
        if (!expected || *expected == actual)
            return true;
        count("cas_refused");
        return false;
    }

    http_response write(const http_request &request, const std::string &key)
    {
        if (request.body.size() > maxValueBytes)
            return {413, "value exceeds 1 MB", {}};
        if (!isAllowed(request, key))
            return jsonResponse(false);
        const auto acquire = request.query.find("acquire");
        const auto release = request.query.find("release");
        const auto found = m_entries.find(key);
        const std::string holder = found == m_entries.end() ? "" : found->second.session;
        if (acquire != request.query.end()
            && (!m_sessions.contains(acquire->second)
                || (!holder.empty() && holder != acquire->second)))
            return jsonResponse(false);
        if (release != request.query.end() && holder != release->second)
            return jsonResponse(false);
        entry &stored = m_entries[key];
        stored.value = request.body;
        stored.modifyIndex = ++m_index;
        if (stored.createIndex == 0)
            stored.createIndex = m_index;
        if (acquire != request.query.end())
            stored.session = acquire->second;
        if (release != request.query.end())
            stored.session.clear();
        wakeWatchers();
        return jsonResponse(true);
    }

    http_response remove(const http_request &request, const std::string &key)
    {
        if (!isAllowed(request, key))
            return jsonResponse(false);
        if (m_entries.erase(key) != 0) {
            ++m_index;
            wakeWatchers();
        }
        return jsonResponse(true);
    }

    std::string createSession()
    {
        std::array<char, 37> text {};
        const std::uint64_t high = m_random();
        const std::uint64_t low = m_random();
        std::snprintf(text.data(), text.size(), "%08x-%04x-%04x-%04x-%012llx",
                      unsigned(high >> 32U), unsigned(high >> 16U & 0xffffU),
                      unsigned(high & 0xffffU), unsigned(low >> 48U),
                      static_cast<unsigned long long>(low & 0xffffffffffffU));
        return *m_sessions.insert(text.data()).first;
    }

    /** The list in the published form, from {"id", "address", "domain", "state"} entries. */
    static json publishedList(const json &instances)
    {
        json list = json::array();
        for (const json &item : instances) {
            const endpoint peer = endpointOrThrow(item.at("address").get<std::string>());
            list.push_back({{"Service",
                             {{"ID", std::to_string(item.at("id").get<std::uint32_t>())},
                              {"Address", asio::ip::address_v4(peer.address).to_string()},
                              {"Port", peer.port},
                              {"Meta",
                               {{"domain", std::to_string(item.at("domain").get<std::uint32_t>())},
                                {"state", item.value("state", "live")}}}}}});
        }
        return list;
    }

    void count(const std::string &name) { m_counters[name] = m_counters.value(name, 0) + 1; }

    asio::io_context &m_context;
    std::mt19937_64 m_random;
    std::map<std::string, entry> m_entries;
    std::set<std::string> m_sessions;
    std::list<watcher> m_watchers;
    std::vector<http_reply> m_silentWatches; ///< kept, so that their connections stay open
    std::uint64_t m_index = 1;
    json m_instances = json::array(); ///< in the published form
    json m_counters = json::object();
    tick m_delay {0};
    bool m_isUnavailable = false;
    int m_lostAnswers = 0;
    bool m_hasSilentWatches = false;
    http_server m_server;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context(1);
    const platform self(context);
    runUntilSignal(context);
    return 0;
}
