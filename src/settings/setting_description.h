/**
 * @file setting_description.h
 * Description of one setting, from which parsing, validation and documentation follow.
 */

#pragma once

#include "settings_type.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace chicoryhead {

/** Form of a setting's value. */
enum class setting_kind : std::uint8_t {
    Integer,
    Endpoint,     ///< ip:port, port 1 to 65535
    EndpointList, ///< ip:port separated by commas
    Url,          ///< http://ip:port
    Secret,       ///< printable text without spaces; its value is never shown
    Choice,       ///< one of the description's names
};

/** A value after it was checked; which member counts depends on the kind. */
struct setting_value
{
    std::uint64_t number = 0; ///< Integer, or index of the chosen name
    endpoint address;
    std::vector<endpoint> addresses;
    std::string text; ///< Url, Secret
};

/** One row of the table of settings. */
struct setting_description
{
    std::string_view section;
    std::string_view key;
    setting_kind kind;
    std::uint64_t minimum;                     ///< Integer: least value. Secret: least length
    std::uint64_t maximum;                     ///< Integer: greatest value. Secret: greatest length
    std::span<const std::string_view> choices; ///< Choice: allowed names
    std::string_view unit;                     ///< empty when there is none
    std::string_view defaultValue;             ///< counts when isRequired is false
    bool isRequired;
    std::string_view example; ///< value in the example file
    std::string_view summary; ///< for the settings page and the example file
    void (*assign)(daemon_settings &settings, const setting_value &value);
};

/** All settings, in the order of the settings page. */
std::span<const setting_description> settingDescriptions();

/** The values that a setting allows, in words. */
std::string allowedValues(const setting_description &description);

/** Checks and converts a value. Returns error::Malformed when it is not allowed. */
result<setting_value> parseSettingValue(const setting_description &description,
                                        const std::string &text);

} // namespace chicoryhead
