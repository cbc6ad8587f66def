/**
 * @file patch_json.cpp
 * Strict reading of an operator's patch.
 */

#include "config_json_func.h"
#include "core/core_error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>
#include <limits>

namespace chicoryhead {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxTextBytes = 1024;
constexpr std::uint64_t maxVersion = std::numeric_limits<std::int64_t>::max();
/// 9999-12-31; keeps sums of times far from overflow.
constexpr std::uint64_t maxWallSeconds = 253402300799;

/** Reads the members of one JSON object and collects problems with their paths. */
class object_reader
{
public:
    object_reader(const json &value, std::string path, std::vector<config_problem> &problems)
        : m_value(value), m_path(std::move(path)), m_problems(problems)
    {
        if (!m_value.is_object())
            report("", "must be an object");
    }

    /** Reports each key that is not in the list. */
    void allowOnly(std::initializer_list<std::string_view> keys)
    {
        if (!m_value.is_object())
            return;
        for (const auto &[key, value] : m_value.items()) {
            if (std::find(keys.begin(), keys.end(), key) == keys.end())
                report(key, "unknown key");
        }
    }

    /** The member with a key; reports a missing one if it is required. */
    const json *find(const char *key, bool isRequired)
    {
        if (!m_value.is_object())
            return nullptr;
        const auto at = m_value.find(key);
        if (at != m_value.end())
            return &*at;
        if (isRequired)
            report(key, "missing");
        return nullptr;
    }

    void readText(const char *key, std::string &target)
    {
        const json *value = find(key, true);
        if (value == nullptr)
            return;
        if (!value->is_string())
            return report(key, "must be a string");
        target = value->get<std::string>();
        if (target.empty() || target.size() > maxTextBytes)
            report(key, "must have 1 to " + std::to_string(maxTextBytes) + " bytes");
    }

    template<typename Number>
    void readNumber(const char *key, Number &target, std::uint64_t low, std::uint64_t high,
                    bool isRequired)
    {
        const json *value = find(key, isRequired);
        if (value == nullptr)
            return;
        if (!value->is_number_integer())
            return report(key, "must be an integer");
        const bool isNegative = !value->is_number_unsigned();
        const auto number = isNegative ? 0 : value->get<std::uint64_t>();
        if (isNegative || number < low || number > high)
            return report(key, "must be " + std::to_string(low) + " to " + std::to_string(high));
        target = static_cast<Number>(number);
    }

    void readTime(const char *key, wall_time &target, bool isRequired)
    {
        std::uint64_t seconds = static_cast<std::uint64_t>(target.count());
        readNumber(key, seconds, 0, maxWallSeconds, isRequired);
        target = wall_time(static_cast<wall_time::rep>(seconds));
    }

    void readEndpoint(const char *key, endpoint &target, bool isRequired)
    {
        const json *value = find(key, isRequired);
        if (value == nullptr)
            return;
        if (!value->is_string())
            return report(key, "must be a string a.b.c.d:port");
        const auto parsed = parseEndpoint(value->get<std::string>());
        if (!parsed || parsed.value().port == 0)
            return report(key, "must be a.b.c.d:port with a port from 1 to 65535");
        target = parsed.value();
    }

    /** Reads a name from a table of count enumerators. */
    template<typename Enum>
    bool readEnum(const char *key, Enum &target, std::size_t count)
    {
        const json *value = find(key, true);
        if (value == nullptr)
            return false;
        std::string allowed;
        for (std::size_t i = 0; i < count; ++i) {
            const auto name = toString(static_cast<Enum>(i));
            if (value->is_string() && value->get_ref<const std::string &>() == name) {
                target = static_cast<Enum>(i);
                return true;
            }
            allowed += (i == 0 ? "" : ", ") + std::string(name);
        }
        report(key, "must be one of " + allowed);
        return false;
    }

    /** The array with a key; reports another type. */
    const json *findArray(const char *key, bool isRequired)
    {
        const json *value = find(key, isRequired);
        if (value == nullptr || value->is_array())
            return value;
        report(key, "must be an array");
        return nullptr;
    }

    std::string pathOf(const std::string &key) const
    {
        if (key.empty() || m_path.empty())
            return m_path + key;
        return m_path + '.' + key;
    }

    std::vector<config_problem> &problems() { return m_problems; }

private:
    void report(const std::string &key, std::string message)
    {
        m_problems.push_back({pathOf(key), std::move(message)});
    }

    const json &m_value;
    std::string m_path;
    std::vector<config_problem> &m_problems;
};

constexpr std::uint64_t max32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max16 = std::numeric_limits<std::uint16_t>::max();

void readLimits(object_reader &parent, service_limits &limits, bool isRequired)
{
    const json *value = parent.find("limits", isRequired);
    if (value == nullptr)
        return;
    object_reader reader(*value, parent.pathOf("limits"), parent.problems());
    reader.allowOnly(
        {"new_flows_per_second", "max_flows", "retry_budget_percent", "retry_after_ms"});
    reader.readNumber("new_flows_per_second", limits.newFlowsPerSecond, 0, max32, false);
    reader.readNumber("max_flows", limits.maxFlows, 0, max32, false);
    reader.readNumber("retry_budget_percent", limits.retryBudgetPercent, 0, 100, false);
    reader.readNumber("retry_after_ms", limits.retryAfterMs, 1, 600000, false);
}

void readUpstream(object_reader &reader, upstream_config &upstream)
{
    reader.allowOnly({"name", "domain", "address", "health", "weight", "slots", "max_flows"});
    reader.readText("name", upstream.name);
    reader.readNumber("domain", upstream.domain, 0, max16, true);
    reader.readEndpoint("address", upstream.address, true);
    reader.readEndpoint("health", upstream.health, false);
    reader.readNumber("weight", upstream.weight, 1, 1000, false);
    reader.readNumber("slots", upstream.slots, 1, max16, false);
    reader.readNumber("max_flows", upstream.maxFlows, 1, max32, false);
}

void readCreateService(object_reader &reader, patch_operation &operation)
{
    reader.allowOnly({"operation", "service", "address", "protocol", "limits", "upstreams"});
    service_config &service = operation.newService;
    service.name = operation.service;
    reader.readEndpoint("address", service.address, true);
    reader.readEnum("protocol", service.protocol, 3);
    readLimits(reader, service.limits, false);
    const json *upstreams = reader.findArray("upstreams", false);
    if (upstreams == nullptr)
        return;
    for (std::size_t i = 0; i < upstreams->size(); ++i) {
        object_reader item((*upstreams)[i], reader.pathOf("upstreams[" + std::to_string(i) + ']'),
                           reader.problems());
        readUpstream(item, service.upstreams.emplace_back());
    }
}

void readAddUpstream(object_reader &reader, patch_operation &operation)
{
    reader.allowOnly({"operation", "service", "upstream"});
    const json *value = reader.find("upstream", true);
    if (value == nullptr)
        return;
    object_reader item(*value, reader.pathOf("upstream"), reader.problems());
    readUpstream(item, operation.newUpstream);
}

void readOperation(object_reader &reader, patch_operation &operation)
{
    if (!reader.readEnum("operation", operation.kind, 8))
        return;
    reader.readText("service", operation.service);
    switch (operation.kind) {
    case patch_operation_kind::CreateService:
        return readCreateService(reader, operation);
    case patch_operation_kind::AddUpstream:
        return readAddUpstream(reader, operation);
    case patch_operation_kind::SetWeight:
        reader.allowOnly({"operation", "service", "upstream", "weight"});
        reader.readText("upstream", operation.upstream);
        return reader.readNumber("weight", operation.weight, 1, 1000, true);
    case patch_operation_kind::MarkLeaving:
        reader.allowOnly({"operation", "service", "upstream", "leaving_at", "final_time"});
        reader.readText("upstream", operation.upstream);
        reader.readTime("leaving_at", operation.leavingAt, true);
        return reader.readTime("final_time", operation.finalTime, false);
    case patch_operation_kind::RemoveUpstream:
        reader.allowOnly({"operation", "service", "upstream"});
        return reader.readText("upstream", operation.upstream);
    case patch_operation_kind::SetLimits:
        reader.allowOnly({"operation", "service", "limits"});
        return readLimits(reader, operation.limits, true);
    case patch_operation_kind::RemoveService:
    case patch_operation_kind::Settle:
        return reader.allowOnly({"operation", "service"});
    }
}

} // namespace

result<config_patch> parsePatch(const std::string &text, std::vector<config_problem> &problems)
{
    const json document = json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        problems.push_back({"", "not a JSON document"});
        return error::Malformed;
    }
    const std::size_t before = problems.size();
    config_patch patch;
    object_reader reader(document, "", problems);
    reader.allowOnly({"id", "author", "reason", "base_version", "submitted_at", "operations"});
    reader.readText("id", patch.id);
    reader.readText("author", patch.author);
    reader.readText("reason", patch.reason);
    reader.readNumber("base_version", patch.baseVersion, 0, maxVersion, true);
    reader.readTime("submitted_at", patch.submittedAt, false);
    if (const json *operations = reader.findArray("operations", true)) {
        for (std::size_t i = 0; i < operations->size(); ++i) {
            object_reader item((*operations)[i], "operations[" + std::to_string(i) + ']', problems);
            readOperation(item, patch.operations.emplace_back());
        }
    }
    if (problems.size() != before)
        return error::ValidationFailed;
    return patch;
}

} // namespace chicoryhead
