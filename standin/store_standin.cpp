/**
 * @file store_standin.cpp
 * The simulated store, on RESTinio. Implements the part of the platform's published protocol that
 * is used.
 */

#include "store_standin.h"

#include "platform/platform_names.h"
#include "platform/record_codec.h"

#include <restinio/all.hpp>

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <list>
#include <utility>
#include <vector>

namespace chicoryhead::standin {

namespace {

using nlohmann::json;

struct server_traits : restinio::default_single_thread_traits_t
{
    using request_handler_t =
        std::function<restinio::request_handling_status_t(const restinio::request_handle_t &)>;
};

using restinio_server = restinio::http_server_t<server_traits>;

struct item
{
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
};

struct change
{
    std::uint64_t revision = 0;
    std::string key;
    item written;
    bool isDeleted = false;
};

/** A long-polling watch request that waits for a change. */
struct pending_watch
{
    restinio::request_handle_t request;
    std::string prefix;
    std::uint64_t after = 0;
    std::shared_ptr<asio::steady_timer> deadline;
};

json itemFields(const std::string &key, const item &stored)
{
    return {{"key", key},
            {"value", platform::encodeBase64(stored.value)},
            {"revision", stored.revision},
            {"created_rev", stored.created},
            {"lease_id", 0}};
}

json changeFields(const change &made)
{
    if (made.isDeleted)
        return {{"key", made.key}, {"revision", made.revision}, {"deleted", true}};
    return itemFields(made.key, made.written);
}

std::string textParameter(const restinio::query_string_params_t &query, const char *name)
{
    return query.has(name) ? std::string(query[name]) : std::string();
}

std::uint64_t numberParameter(const restinio::query_string_params_t &query, const char *name)
{
    return query.has(name) ? std::stoull(std::string(query[name])) : 0;
}

} // namespace

struct store_copy::content
{
    std::map<std::string, item> items;
    std::vector<change> history;
    std::uint64_t revision = 100;
    std::uint64_t compactedRevision = 0; ///< changes up to it are dropped
};

struct store_standin::implementation
{
    implementation(asio::io_context &ioContext, const endpoint &listen)
        : context(ioContext), local(listen)
    {
        server = std::make_unique<restinio_server>(
            restinio::external_io_context(context), [this, listen](auto &settings) {
                settings.address(asio::ip::address_v4(listen.address))
                    .port(listen.port)
                    .handle_request_timeout(std::chrono::seconds(60))
                    .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
                        local.port = acceptor.local_endpoint().port();
                    })
                    .request_handler([this](const auto &request) { return handle(request); });
            });
        server->open_sync();
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        const std::string path(request->header().path());
        ++calls[path];
        switch (behaviour) {
        case store_behaviour::Serving:
            serve(path, request);
            break;
        case store_behaviour::Busy:
            respond(request, 503, json::object());
            break;
        case store_behaviour::Throttled:
            respond(request, 429, json::object());
            break;
        case store_behaviour::Silent:
            unansweredRequests.push_back(request);
            break;
        case store_behaviour::Lossy:
            serve(path, request);
            break;
        case store_behaviour::Garbage:
            request->create_response().set_body("{\"at_rev\":").done();
            break;
        }
        return restinio::request_accepted();
    }

    void respond(const restinio::request_handle_t &request, int status, const json &body) const
    {
        auto response = request->create_response(restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(status)), "Status"));
        response.append_header(restinio::http_field::content_type, "application/json");
        if (sendsEpoch)
            response.append_header(std::string(platform::names::storeEpochHeader),
                                   std::to_string(epoch));
        response.set_body(body.dump());
        response.done();
    }

    void serve(const std::string &path, const restinio::request_handle_t &request)
    {
        if (path == platform::names::itemPath)
            serveItem(request);
        else if (path == platform::names::rangePath)
            serveRange(request);
        else if (path == platform::names::watchPath)
            serveWatch(request);
        else if (path == platform::names::transactionPath)
            serveTransaction(request);
        else
            respond(request, 404, json::object());
    }

    void serveItem(const restinio::request_handle_t &request)
    {
        const auto query =
            restinio::parse_query<restinio::parse_query_traits::relaxed>(request->header().query());
        const auto found = content.items.find(textParameter(query, "key"));
        if (found == content.items.end()) {
            respond(request, 404, json::object());
            return;
        }
        json fields = itemFields(found->first, found->second);
        fields["at_rev"] = content.revision;
        respond(request, 200, fields);
    }

    void serveRange(const restinio::request_handle_t &request)
    {
        const auto query =
            restinio::parse_query<restinio::parse_query_traits::relaxed>(request->header().query());
        const std::string prefix = textParameter(query, "prefix");
        const std::string after = textParameter(query, "after");
        json page {{"items", json::array()}, {"has_more", false}, {"at_rev", content.revision}};
        for (const auto &[key, stored] : content.items) {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            if (page["items"].size() == pageSize) {
                page["has_more"] = true;
                break;
            }
            page["items"].push_back(itemFields(key, stored));
        }
        respond(request, 200, page);
    }

    void serveWatch(const restinio::request_handle_t &request)
    {
        const auto query =
            restinio::parse_query<restinio::parse_query_traits::relaxed>(request->header().query());
        pending_watch watch {request, textParameter(query, "prefix"),
                             numberParameter(query, "after"),
                             std::make_shared<asio::steady_timer>(context)};
        if (watch.after < content.compactedRevision || watch.after > content.revision) {
            respond(request, 410, json::object());
            return;
        }
        if (answerWatch(watch, false))
            return;
        watch.deadline->expires_after(std::chrono::milliseconds(numberParameter(query, "wait_ms")));
        watches.push_back(watch);
        watch.deadline->async_wait([this, request](std::error_code code) {
            if (!code)
                endWatch(request);
        });
    }

    void serveTransaction(const restinio::request_handle_t &request)
    {
        const json body = json::parse(request->body(), nullptr, false);
        for (const json &row : body["expect"]) {
            const auto found = content.items.find(row["key"]);
            const std::uint64_t current = found == content.items.end() ? 0 : found->second.revision;
            if (row["revision"] != current) {
                respond(request, 412, {{"items", json::array()}});
                return;
            }
        }
        for (const json &row : body["puts"]) {
            const auto value = platform::decodeBase64(row["value"].get<std::string>());
            put(row["key"], value.value());
        }
        for (const json &key : body["deletes"])
            remove(key);
        if (behaviour == store_behaviour::Lossy)
            unansweredRequests.push_back(request);
        else
            respond(request, 200, {{"revision", content.revision}});
    }

    bool answerWatch(const pending_watch &watch, bool evenIfEmpty)
    {
        json events = json::array();
        for (const change &made : content.history) {
            if (made.revision > watch.after && made.key.starts_with(watch.prefix))
                events.push_back(changeFields(made));
        }
        if (events.empty() && !evenIfEmpty)
            return false;
        respond(watch.request, 200, {{"events", events}, {"at_rev", content.revision}});
        return true;
    }

    void endWatch(const restinio::request_handle_t &request)
    {
        watches.remove_if([&](const pending_watch &watch) {
            return watch.request == request && answerWatch(watch, true);
        });
    }

    void record(change made)
    {
        content.history.push_back(std::move(made));
        if (behaviour == store_behaviour::Serving || behaviour == store_behaviour::Lossy)
            watches.remove_if([this](const pending_watch &watch) {
                const bool isAnswered = answerWatch(watch, false);
                if (isAnswered)
                    watch.deadline->cancel();
                return isAnswered;
            });
    }

    void put(const std::string &key, const std::string &value)
    {
        item &stored = content.items[key];
        stored.value = value;
        stored.revision = ++content.revision;
        if (stored.created == 0)
            stored.created = content.revision;
        record({content.revision, key, stored, false});
    }

    void remove(const std::string &key)
    {
        if (content.items.erase(key) > 0)
            record({++content.revision, key, {}, true});
    }

    void restore(const store_copy::content &copied)
    {
        content = copied;
        ++epoch;
        for (const pending_watch &watch : std::exchange(watches, {})) {
            watch.deadline->cancel();
            respond(watch.request, 410, json::object());
        }
    }

    asio::io_context &context;
    endpoint local;
    std::unique_ptr<restinio_server> server;
    store_copy::content content;
    std::list<pending_watch> watches;
    std::list<restinio::request_handle_t> unansweredRequests; ///< kept open
    std::map<std::string, std::size_t> calls;
    bool sendsEpoch = true;
    std::uint64_t epoch = 1; ///< counts up with each restore
    std::size_t pageSize = 500;
    store_behaviour behaviour = store_behaviour::Serving;
};

std::string_view toString(store_behaviour behaviour)
{
    constexpr std::array<std::string_view, 6> names {"serving", "busy",  "throttled",
                                                     "silent",  "lossy", "garbage"};
    return names.at(static_cast<std::size_t>(behaviour));
}

store_standin::store_standin(asio::io_context &context, const endpoint &listen)
    : m_implementation(std::make_unique<implementation>(context, listen))
{
}

store_standin::~store_standin() = default;

endpoint store_standin::address() const
{
    return m_implementation->local;
}

std::uint64_t store_standin::put(const std::string &key, const std::string &value)
{
    m_implementation->put(key, value);
    return m_implementation->content.revision;
}

void store_standin::remove(const std::string &key)
{
    m_implementation->remove(key);
}

std::string store_standin::value(const std::string &key) const
{
    const auto found = m_implementation->content.items.find(key);
    return found == m_implementation->content.items.end() ? std::string() : found->second.value;
}

store_copy store_standin::copy() const
{
    return {std::make_shared<store_copy::content>(m_implementation->content)};
}

void store_standin::restore(const store_copy &copied)
{
    m_implementation->restore(*copied.kept);
}

std::uint64_t store_standin::epoch() const
{
    return m_implementation->epoch;
}

void store_standin::setSendsEpoch(bool sendsEpoch)
{
    m_implementation->sendsEpoch = sendsEpoch;
}

std::uint64_t store_standin::revision() const
{
    return m_implementation->content.revision;
}

std::vector<std::string> store_standin::keys(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (const auto &[key, stored] : m_implementation->content.items) {
        if (key.starts_with(prefix))
            found.push_back(key);
    }
    return found;
}

void store_standin::dropHistory()
{
    m_implementation->content.history.clear();
    m_implementation->content.compactedRevision = m_implementation->content.revision;
}

void store_standin::setBehaviour(store_behaviour behaviour)
{
    m_implementation->behaviour = behaviour;
}

void store_standin::setPageSize(std::size_t items)
{
    m_implementation->pageSize = items;
}

std::size_t store_standin::calls(const std::string &path) const
{
    const auto found = m_implementation->calls.find(path);
    return found == m_implementation->calls.end() ? 0 : found->second;
}

} // namespace chicoryhead::standin
