/**
 * @file http.cpp
 * Routing, authorization and error documents of the operators' HTTP interface.
 */

#include "http_func.h"

#include "core/core_error.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::string_view metricsType = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::string_view textType = "text/plain; charset=utf-8";
constexpr std::string_view bearerPrefix = "Bearer ";

using route_function = void (*)(operator_api &, std::string_view token, const operator_request &,
                                const response_handler &);

struct route
{
    std::string_view method;
    std::string_view path;
    route_function answer;
};

operator_response outcomeResponse(const operator_outcome &outcome)
{
    const int status = httpStatus(outcome.code);
    if (outcome.document.empty())
        return errorResponse(status, outcome.code ? outcome.code.message() : "done");
    return {status, "application/json", outcome.document, {}};
}

template<std::string (operator_api::*document)() const>
void answerDocument(operator_api &api, std::string_view /*token*/,
                    const operator_request & /*request*/, const response_handler &respond)
{
    respond({200, "application/json", (api.*document)(), {}});
}

template<bool (operator_api::*condition)() const>
void answerCondition(operator_api &api, std::string_view /*token*/,
                     const operator_request & /*request*/, const response_handler &respond)
{
    const bool holds = (api.*condition)();
    respond({holds ? 200 : 503, std::string(textType), holds ? "ok\n" : "no\n", {}});
}

void answerMetrics(operator_api &api, std::string_view /*token*/,
                   const operator_request & /*request*/, const response_handler &respond)
{
    respond({200, std::string(metricsType), api.metricsText(), {}});
}

void answerAudit(operator_api &api, std::string_view /*token*/,
                 const operator_request & /*request*/, const response_handler &respond)
{
    api.readAudit([respond](const operator_outcome &o) { respond(outcomeResponse(o)); });
}

void answerPatch(operator_api &api, std::string_view token, const operator_request &request,
                 const response_handler &respond)
{
    if (!isAuthorized(request.authorization, token))
        return respond(errorResponse(401, "a patch needs \"Authorization: Bearer <token>\""));
    if (!nlohmann::json::accept(request.body))
        return respond(errorResponse(400, "the body is not a JSON document"));
    api.submitPatch(request.body,
                    [respond](const operator_outcome &o) { respond(outcomeResponse(o)); });
}

constexpr std::array<route, 9> routes {{
    {"GET", "/v1/config", answerDocument<&operator_api::configDocument>},
    {"POST", "/v1/patches", answerPatch},
    {"GET", "/v1/audit", answerAudit},
    {"GET", "/v1/instances", answerDocument<&operator_api::instancesDocument>},
    {"GET", "/v1/upstreams", answerDocument<&operator_api::upstreamsDocument>},
    {"GET", "/v1/flows", answerDocument<&operator_api::flowsDocument>},
    {"GET", "/healthz", answerCondition<&operator_api::isLive>},
    {"GET", "/readyz", answerCondition<&operator_api::isReady>},
    {"GET", "/metrics", answerMetrics},
}};

} // namespace

int httpStatus(std::error_code code)
{
    if (!code)
        return 200;
    if (code == error::Malformed)
        return 400;
    if (code == error::VersionConflict)
        return 409;
    if (code == error::ValidationFailed)
        return 422;
    if (code == error::StoreUnavailable)
        return 503;
    if (code == error::OutcomeUnknown || code == error::Timeout)
        return 504;
    return 500;
}

operator_response errorResponse(int status, std::string_view message)
{
    const nlohmann::json document {{"error", message}, {"status", status}};
    // Messages may quote input that is not UTF-8, which dump() would otherwise throw on.
    const auto text = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return {status, "application/json", text + "\n", {}};
}

bool isAuthorized(std::string_view authorization, std::string_view token)
{
    if (token.empty())
        return true;
    if (!authorization.starts_with(bearerPrefix))
        return false;
    authorization.remove_prefix(bearerPrefix.size());

    // Digests have the same length, so that the comparison does not reveal the token's length.
    using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;
    const auto hash = [](std::string_view text) {
        digest value {};
        SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), value.data());
        return value;
    };
    const digest given = hash(authorization);
    const digest expected = hash(token);
    return CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void handleRequest(operator_api &api, std::string_view token, const operator_request &request,
                   const response_handler &respond)
{
    if (request.body.size() > maxRequestBody)
        return respond(errorResponse(413, "the body is larger than 65536 bytes"));

    std::string allowed;
    for (const route &candidate : routes) {
        if (candidate.path != request.path)
            continue;
        if (candidate.method == request.method)
            return candidate.answer(api, token, request, respond);
        allowed = candidate.method;
    }
    if (allowed.empty())
        return respond(errorResponse(404, "no such path: " + request.path));
    operator_response response = errorResponse(405, "this path takes " + allowed + " only");
    response.allow = allowed;
    respond(response);
}

} // namespace chicoryhead
