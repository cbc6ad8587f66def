/**
 * @file core.cpp
 * Hashing, endpoint formatting and the error category.
 */

#include "core_error.h"
#include "core_type.h"

#include <xxhash.h>

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstring>
#include <string_view>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::size_t flowKeyBytes = 13;

constexpr std::array<std::pair<error, const char *>, 11> errorMessages {{
    {error::Truncated, "input is truncated"},
    {error::Malformed, "input is malformed"},
    {error::Unsupported, "unsupported format version"},
    {error::VersionConflict, "change is not based on the latest version"},
    {error::Rejected, "store does not accept the change"},
    {error::StoreUnavailable, "store unavailable"},
    {error::OutcomeUnknown, "outcome of the write is unknown"},
    {error::NotFound, "not found"},
    {error::Timeout, "deadline passed"},
    {error::HistoryLost, "history is no longer available"},
    {error::Throttled, "rate limit of the store reached"},
}};

class library_category : public std::error_category
{
public:
    const char *name() const noexcept override { return "chicoryhead"; }

    std::string message(int value) const override
    {
        for (const auto &[code, text] : errorMessages) {
            if (static_cast<int>(code) == value)
                return text;
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &errorCategory()
{
    static const library_category category;
    return category;
}

std::error_code make_error_code(error code) // NOLINT(readability-identifier-naming): std name
{
    return {static_cast<int>(code), errorCategory()};
}

result<endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::make_error_code(std::errc::invalid_argument);

    in_addr address {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1)
        return std::make_error_code(std::errc::invalid_argument);

    std::uint16_t port = 0;
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, code] = std::from_chars(first, last, port);
    if (code != std::errc {} || end != last)
        return std::make_error_code(std::errc::invalid_argument);
    return endpoint {ntohl(address.s_addr), port};
}

std::string toString(const endpoint &value)
{
    const in_addr address {htonl(value.address)};
    std::array<char, INET_ADDRSTRLEN> buffer {};
    inet_ntop(AF_INET, &address, buffer.data(), buffer.size());
    return std::string(buffer.data()) + ":" + std::to_string(value.port);
}

std::string toString(const flow_key &value)
{
    return toString(value.caller) + '>' + toString(value.service);
}

flow_hash hashFlow(const flow_key &key)
{
    std::array<unsigned char, flowKeyBytes> bytes {};
    std::memcpy(bytes.data(), &key.caller.address, 4);
    std::memcpy(bytes.data() + 4, &key.service.address, 4);
    std::memcpy(bytes.data() + 8, &key.caller.port, 2);
    std::memcpy(bytes.data() + 10, &key.service.port, 2);
    bytes[12] = static_cast<unsigned char>(key.protocol);
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t mixHash(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> words {a, b};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace chicoryhead
