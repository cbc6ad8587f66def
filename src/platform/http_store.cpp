/**
 * @file http_store.cpp
 * The published form of the key-value API: paths, JSON and error codes.
 */

#include "core/core_error.h"
#include "http_client_base.h"
#include "http_store_func.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

namespace chicoryhead {

namespace {

using json = nlohmann::json;

constexpr long statusOk = 200;
constexpr long statusNotFound = 404;
constexpr long statusClientError = 400;
constexpr long statusServerError = 500;

/** Escapes all but unreserved characters and the separators of keys. */
std::string escapeKey(const std::string &key)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string path;
    for (const char c : key) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string_view("/-._~").find(c) != std::string_view::npos)
            path += c;
        else
            path += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
    return path;
}

std::optional<std::string> decodeBase64(const std::string &text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // EVP_DecodeBlock() counts the padding as bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

/** Error of a read that has no usable answer. */
std::error_code readError(const http_response &response)
{
    return response.progress == http_progress::TimedOut ? error::Timeout : error::StoreUnavailable;
}

result<key_value> parseValue(const std::string &key, const http_response &response)
{
    if (response.status == statusNotFound)
        return key_value {key, "", 0};
    if (response.status != statusOk)
        return readError(response);
    try {
        const json item = json::parse(response.body).at(0);
        key_value value {key, "", item.at("ModifyIndex").get<std::uint64_t>()};
        if (!item.at("Value").is_null()) {
            auto bytes = decodeBase64(item.at("Value").get_ref<const std::string &>());
            if (!bytes)
                return error::StoreUnavailable;
            value.value = std::move(*bytes);
        }
        return value;
    } catch (const json::exception &) {
        return error::StoreUnavailable;
    }
}

result<bool> parseWritten(const http_response &response)
{
    if (response.progress == http_progress::NotSent)
        return error::StoreUnavailable;
    if (response.status >= statusClientError && response.status < statusServerError)
        return error::StoreUnavailable;
    if (response.status != statusOk)
        return error::OutcomeUnknown;
    const std::string_view body(response.body);
    if (body.starts_with("true"))
        return true;
    if (body.starts_with("false"))
        return false;
    return error::OutcomeUnknown;
}

result<std::vector<std::string>> parseKeys(const http_response &response)
{
    if (response.status == statusNotFound)
        return std::vector<std::string> {};
    if (response.status != statusOk)
        return readError(response);
    try {
        return json::parse(response.body).get<std::vector<std::string>>();
    } catch (const json::exception &) {
        return error::StoreUnavailable;
    }
}

/** Reads one line of the list; nothing if it is not one of an instance. */
std::optional<listed_instance> parseInstance(const json &item)
{
    try {
        const json &service = item.at("Service");
        const auto &id = service.at("ID").get_ref<const std::string &>();
        const auto &domain = service.at("Meta").at("domain").get_ref<const std::string &>();
        const auto address = parseEndpoint(service.at("Address").get<std::string>() + ':'
                                           + std::to_string(service.at("Port").get<int>()));
        std::uint32_t idNumber = 0;
        std::uint16_t domainNumber = 0;
        const bool isNumeric =
            std::from_chars(id.data(), id.data() + id.size(), idNumber).ec == std::errc {}
            && std::from_chars(domain.data(), domain.data() + domain.size(), domainNumber).ec
                == std::errc {};
        if (!isNumeric || idNumber == 0 || !address)
            return std::nullopt;
        const bool isLeaving = service.at("Meta").value("state", "") == "leaving";
        return listed_instance {instance_id(idNumber), address.value(), domain_id(domainNumber),
                                isLeaving};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

result<std::vector<listed_instance>> parseInstances(const http_response &response)
{
    if (response.status != statusOk)
        return readError(response);
    const json document = json::parse(response.body, nullptr, false);
    if (!document.is_array())
        return error::StoreUnavailable;
    std::vector<listed_instance> instances;
    for (const auto &item : document) {
        if (const auto instance = parseInstance(item))
            instances.push_back(*instance);
    }
    return instances;
}

/** The client. Answers are parsed in the HTTP thread, so that the core's thread isn't held up. */
class http_store : public key_value_store
{
public:
    http_store(http_store_settings settings, http_store_executor executor)
        : m_settings(std::move(settings)), m_executor(std::move(executor))
    {
    }

    void get(const std::string &key, get_handler handler) override
    {
        call<key_value>(makeRequest("GET", keyUrl(key)), std::move(handler),
                        [key](const http_response &response) { return parseValue(key, response); });
    }

    void watch(const std::string &key, std::uint64_t afterIndex, monotonic_time wait,
               get_handler handler) override
    {
        const auto end = std::chrono::steady_clock::now() + wait;
        watchUntil(key, afterIndex, std::max<std::uint64_t>(afterIndex, 1), end,
                   std::move(handler));
    }

    void put(const std::string &key, std::string value, std::uint64_t casIndex,
             put_handler handler) override
    {
        auto request = makeRequest("PUT", keyUrl(key) + "?cas=" + std::to_string(casIndex));
        request.body = std::move(value);
        call<bool>(request, std::move(handler), parseWritten);
    }

    void remove(const std::string &key, put_handler handler) override
    {
        call<bool>(makeRequest("DELETE", keyUrl(key)), std::move(handler), parseWritten);
    }

    void listKeys(const std::string &prefix, keys_handler handler) override
    {
        // With a value, because some servers drop query parameters that have none.
        call<std::vector<std::string>>(makeRequest("GET", keyUrl(prefix) + "?keys=true"),
                                       std::move(handler), parseKeys);
    }

    void listInstances(list_handler handler) override
    {
        const auto url = m_settings.baseUrl + "/v1/health/service/" + m_settings.serviceName;
        call<std::vector<listed_instance>>(makeRequest("GET", url), std::move(handler),
                                           parseInstances);
    }

private:
    using end_time = std::chrono::steady_clock::time_point;

    std::string keyUrl(const std::string &key) const
    {
        return m_settings.baseUrl + "/v1/kv/" + escapeKey(key);
    }

    http_request makeRequest(std::string method, std::string url) const
    {
        return {std::move(method), std::move(url), "", m_settings.timeout,
                m_settings.connectTimeout};
    }

    template<typename Value, typename Parse>
    void call(const http_request &request, std::function<void(result<Value>)> handler, Parse parse)
    {
        m_client.send(request,
                      [this, handler = std::move(handler), parse](const http_response &response) {
                          m_executor([handler, value = parse(response)] { handler(value); });
                      });
    }

    /**
     * Blocks until an index is passed. A missing key has no index of its own: the service then
     * reports the index of the last write to any key, and answers at once for lower ones.
     */
    void watchUntil(const std::string &key, std::uint64_t afterIndex, std::uint64_t index,
                    end_time end, get_handler handler)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(end - std::chrono::steady_clock::now(), end_time::duration::zero()));
        // The service adds up to a sixteenth to the wait time.
        const auto wait = left * 15 / 16;
        auto request = makeRequest("GET",
                                   keyUrl(key) + "?index=" + std::to_string(index)
                                       + "&wait=" + std::to_string(wait.count()) + "ms");
        request.timeout += left;
        m_client.send(std::move(request),
                      [=, this, handler = std::move(handler)](const http_response &response) {
                          auto value = parseValue(key, response);
                          const bool isUnchanged = value && value.value().modifyIndex <= afterIndex;
                          // An index that went down means that the service was restored; it must be
                          // reset.
                          if (isUnchanged && response.index > index
                              && std::chrono::steady_clock::now() < end)
                              return watchUntil(key, afterIndex, response.index, end, handler);
                          m_executor([handler, value = std::move(value)] { handler(value); });
                      });
    }

    const http_store_settings m_settings;
    const http_store_executor m_executor;
    http_client m_client; ///< last: its thread uses the others until it is destroyed
};

} // namespace

std::unique_ptr<key_value_store> makeHttpStore(const http_store_settings &settings,
                                               http_store_executor executor)
{
    return std::make_unique<http_store>(settings, std::move(executor));
}

} // namespace chicoryhead
