/**
 * @file http_func.h
 * Routing, authorization and error documents of the operators' HTTP interface, without sockets.
 */

#pragma once

#include "http_base.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace chicoryhead {

/** Largest accepted request body, in bytes. */
inline constexpr std::size_t maxRequestBody = 65536;

/** The parts of an HTTP request that the interface uses. */
struct operator_request
{
    std::string method;        ///< upper case
    std::string path;          ///< without query
    std::string authorization; ///< value of the header, empty when absent
    std::string body;
};

/** An HTTP response. */
struct operator_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string allow; ///< value of the Allow header, for status 405
};

/** Takes the response to one request. */
using response_handler = std::function<void(const operator_response &)>;

/** HTTP status for the code of an operator_outcome; 500 for codes that it does not expect. */
int httpStatus(std::error_code code);

/** JSON error document: {"error": message, "status": status}. */
operator_response errorResponse(int status, std::string_view message);

/**
 * Whether a header value is "Bearer " and the token. The time it takes does not depend on how much
 * of the token matches.
 * @param token an empty token admits every request.
 */
bool isAuthorized(std::string_view authorization, std::string_view token);

/**
 * Answers one request.
 * @param respond called exactly once: before the function returns, or later when the store is
 * needed.
 */
void handleRequest(operator_api &api, std::string_view token, const operator_request &request,
                   const response_handler &respond);

} // namespace chicoryhead
