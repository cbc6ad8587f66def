/**
 * @file setting_value.cpp
 * Checks and converts the values of settings.
 */

#include "core/core_error.h"
#include "setting_description.h"
#include "table/setting_table.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace chicoryhead {

namespace {

constexpr std::string_view urlPrefix = "http://";

std::string trim(std::string_view text)
{
    constexpr std::string_view space = " \t\r\n";
    const auto first = text.find_first_not_of(space);
    if (first == std::string_view::npos)
        return {};
    return std::string(text.substr(first, text.find_last_not_of(space) - first + 1));
}

result<endpoint> parseAddress(const std::string &text)
{
    const auto address = parseEndpoint(text);
    if (!address || address.value().port == 0)
        return error::Malformed;
    return address;
}

result<std::vector<endpoint>> parseAddresses(std::string_view text)
{
    std::vector<endpoint> addresses;
    if (text.empty())
        return addresses;
    while (true) {
        const auto comma = text.find(',');
        const auto address = parseAddress(trim(text.substr(0, comma)));
        if (!address)
            return error::Malformed;
        addresses.push_back(address.value());
        if (comma == std::string_view::npos)
            return addresses;
        text.remove_prefix(comma + 1);
    }
}

result<std::uint64_t> parseNumber(const setting_description &description, const std::string &text)
{
    std::uint64_t number = 0;
    const char *last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, number);
    if (code != std::errc {} || end != last)
        return error::Malformed;
    if (number < description.minimum || number > description.maximum)
        return error::Malformed;
    return number;
}

result<std::string> parseUrl(const std::string &text)
{
    if (!text.starts_with(urlPrefix))
        return error::Malformed;
    std::string address = text.substr(urlPrefix.size());
    if (address.ends_with('/'))
        address.pop_back();
    if (!parseAddress(address))
        return error::Malformed;
    return std::string(urlPrefix) + address;
}

result<std::string> parseSecret(const setting_description &description, const std::string &text)
{
    const bool isPrintable =
        std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
    if (!isPrintable || text.size() < description.minimum || text.size() > description.maximum)
        return error::Malformed;
    return text;
}

result<std::uint64_t> parseChoice(const setting_description &description, const std::string &text)
{
    const auto &choices = description.choices;
    const auto found = std::find(choices.begin(), choices.end(), text);
    if (found == choices.end())
        return error::Malformed;
    return static_cast<std::uint64_t>(found - choices.begin());
}

} // namespace

std::span<const setting_description> settingDescriptions()
{
    return detail::settingTable;
}

std::string allowedValues(const setting_description &description)
{
    auto range = std::to_string(description.minimum) + " to " + std::to_string(description.maximum);
    switch (description.kind) {
    case setting_kind::Integer:
        return range;
    case setting_kind::Endpoint:
        return "ip:port, port 1 to 65535";
    case setting_kind::EndpointList:
        return "ip:port separated by commas";
    case setting_kind::Url:
        return "http://ip:port";
    case setting_kind::Secret:
        return range + " printable ASCII characters without spaces";
    case setting_kind::Choice:
        break;
    }
    std::string names;
    for (const auto &name : description.choices)
        names += (names.empty() ? "" : ", ") + std::string(name);
    return names;
}

result<setting_value> parseSettingValue(const setting_description &description,
                                        const std::string &text)
{
    setting_value value;
    switch (description.kind) {
    case setting_kind::Integer: {
        BOOST_OUTCOME_TRY(parsed, parseNumber(description, text));
        value.number = parsed;
        break;
    }
    case setting_kind::Endpoint: {
        BOOST_OUTCOME_TRY(parsed, parseAddress(text));
        value.address = parsed;
        break;
    }
    case setting_kind::EndpointList: {
        BOOST_OUTCOME_TRY(parsed, parseAddresses(text));
        value.addresses = std::move(parsed);
        break;
    }
    case setting_kind::Url: {
        BOOST_OUTCOME_TRY(parsed, parseUrl(text));
        value.text = std::move(parsed);
        break;
    }
    case setting_kind::Secret: {
        BOOST_OUTCOME_TRY(parsed, parseSecret(description, text));
        value.text = std::move(parsed);
        break;
    }
    case setting_kind::Choice: {
        BOOST_OUTCOME_TRY(parsed, parseChoice(description, text));
        value.number = parsed;
        break;
    }
    }
    return value;
}

} // namespace chicoryhead
