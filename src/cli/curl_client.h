/**
 * @file curl_client.h
 * The client's HTTP requests with libcurl.
 */

#pragma once

#include "cli_base.h"

namespace chicoryhead {

/** Sends requests with libcurl; accepts http URLs only and follows no redirects. */
class curl_client : public operator_client
{
public:
    result<client_response> get(const std::string &url) override;
    result<client_response> post(const std::string &url, const std::string &token,
                                 const std::string &body) override;
};

} // namespace chicoryhead
