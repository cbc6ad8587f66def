/**
 * @file config_apply.cpp
 * Validation and application of patches.
 */

#include "config_apply_func.h"
#include "core/core_error.h"
#include "slot_plan_func.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace chicoryhead {

namespace {

constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxTextBytes = 1024;
constexpr std::uint16_t maxWeight = 1000;

/// From this many operations on, an index of names is cheaper than looking through the services.
constexpr std::size_t indexedOperations = 8;

bool isPrintable(const std::string &text)
{
    return std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

/** Applies the operations of one patch in order to a copy of the base version. */
class patch_applier
{
public:
    patch_applier(const configuration &base, const config_patch &patch,
                  std::vector<config_problem> &problems)
        : m_base(base)
        , m_patch(patch)
        , m_problems(problems)
        , m_next(std::make_shared<configuration>(base))
    {
        ++m_next->version;
        if (patch.operations.size() < indexedOperations)
            return;
        m_isIndexed = true;
        for (const auto &[id, service] : base.services)
            m_names.emplace(service->name, id);
    }

    std::shared_ptr<const configuration> apply()
    {
        checkText("id", m_patch.id, maxTextBytes);
        checkText("author", m_patch.author, maxTextBytes);
        checkText("reason", m_patch.reason, maxTextBytes);
        const std::size_t count = m_patch.operations.size();
        if (count == 0 || count > maxPatchOperations) {
            problem("operations", "must be 1 to " + std::to_string(maxPatchOperations));
            return nullptr;
        }
        for (std::size_t i = 0; i < count; ++i) {
            m_path = "operations[" + std::to_string(i) + ']';
            applyOperation(m_patch.operations[i]);
        }
        for (const service_id id : m_replanned) {
            const auto at = m_edited.find(id);
            if (at != m_edited.end())
                planSlots(*at->second);
        }
        return m_next;
    }

private:
    void problem(const std::string &key, std::string message)
    {
        const bool isTop = m_path.empty() || key.empty();
        m_problems.push_back({m_path + (isTop ? "" : ".") + key, std::move(message)});
    }

    bool checkText(const std::string &key, const std::string &text, std::size_t maxBytes)
    {
        if (!text.empty() && text.size() <= maxBytes && isPrintable(text))
            return true;
        problem(key, "must be 1 to " + std::to_string(maxBytes) + " bytes without control codes");
        return false;
    }

    std::shared_ptr<const service_config> findService(const std::string &name) const
    {
        if (m_isIndexed) {
            const auto at = m_names.find(name);
            return at == m_names.end() ? nullptr : m_next->services.at(at->second);
        }
        for (const auto &[id, service] : m_next->services) {
            if (service->name == name)
                return service;
        }
        return nullptr;
    }

    /** A copy of a service that belongs to the new version alone. */
    service_config &edit(service_id id)
    {
        auto &copy = m_edited[id];
        if (!copy) {
            copy = std::make_shared<service_config>(*m_next->services.at(id));
            m_next->services[id] = copy;
        }
        return *copy;
    }

    /** The service that an operation names, or nullptr with a problem. */
    service_config *findForEdit(const std::string &name)
    {
        const auto service = findService(name);
        if (service)
            return &edit(service->id);
        problem("service", "no service has this name");
        return nullptr;
    }

    /** The upstream that an operation names, or nullptr with a problem. */
    upstream_config *findUpstream(service_config &service, const std::string &name)
    {
        for (auto &upstream : service.upstreams) {
            if (upstream.name == name)
                return &upstream;
        }
        problem("upstream", "no upstream of the service has this name");
        return nullptr;
    }

    bool checkLimits(const service_limits &limits)
    {
        if (limits.retryBudgetPercent <= 100 && limits.retryAfterMs >= 1
            && limits.retryAfterMs <= 600000)
            return true;
        problem("limits", "retry budget must be 0 to 100 percent, retry-after 1 to 600000 ms");
        return false;
    }

    bool checkWeight(const std::string &key, std::uint16_t weight)
    {
        if (weight >= 1 && weight <= maxWeight)
            return true;
        problem(key, "must be 1 to " + std::to_string(maxWeight));
        return false;
    }

    bool checkUpstream(const std::string &key, const upstream_config &upstream)
    {
        bool isValid = checkText(key + ".name", upstream.name, maxNameBytes);
        isValid &= checkWeight(key + ".weight", upstream.weight);
        if (upstream.address.port == 0 || upstream.address.address == 0) {
            problem(key + ".address", "must have an address and a port");
            isValid = false;
        }
        if (upstream.slots == 0 || upstream.maxFlows == 0) {
            problem(key, "slots and max_flows must be at least 1");
            isValid = false;
        }
        return isValid;
    }

    /** Adds an upstream; the name and address must be new, because replies name upstreams by it. */
    void addUpstream(service_config &service, const std::string &key, upstream_config upstream)
    {
        if (!checkUpstream(key, upstream))
            return;
        for (const auto &other : service.upstreams) {
            if (other.name == upstream.name)
                return problem(key + ".name", "is in use in this service");
            if (other.address == upstream.address)
                return problem(key + ".address", "is in use in this service");
        }
        upstream.id = upstream_id(++m_next->lastUpstreamId);
        upstream.mode = upstream_mode::Active;
        upstream.leavingSince = upstream.finalTime = wall_time(0);
        upstream.addedIn = m_next->version;
        service.upstreams.push_back(std::move(upstream));
    }

    void createService(const patch_operation &operation)
    {
        const service_config &wanted = operation.newService;
        const service_address address {wanted.address, wanted.transportProtocol()};
        if (!checkText("service", operation.service, maxNameBytes) || !checkLimits(wanted.limits))
            return;
        if (findService(operation.service))
            return problem("service", "is the name of another service");
        if (wanted.address.port == 0 || wanted.address.address == 0)
            return problem("address", "must have an address and a port");
        if (m_next->addresses.contains(address))
            return problem("address", "is in use by another service");
        if (wanted.upstreams.size() > maxUpstreamsPerService)
            return problem("upstreams",
                           "must be at most " + std::to_string(maxUpstreamsPerService));
        auto service = std::make_shared<service_config>();
        service->id = service_id(++m_next->lastServiceId);
        service->name = operation.service;
        service->address = wanted.address;
        service->protocol = wanted.protocol;
        service->limits = wanted.limits;
        for (std::size_t i = 0; i < wanted.upstreams.size(); ++i)
            addUpstream(*service, "upstreams[" + std::to_string(i) + ']', wanted.upstreams[i]);
        service->slots.resize(slotCountFor(wanted.upstreams.size()));
        m_next->addresses[address] = service->id;
        m_next->services[service->id] = service;
        m_edited[service->id] = service;
        m_replanned.insert(service->id);
        if (m_isIndexed)
            m_names.emplace(service->name, service->id);
    }

    void removeService(const std::string &name)
    {
        const auto service = findService(name);
        if (!service)
            return problem("service", "no service has this name");
        const bool isServing =
            std::any_of(service->upstreams.begin(), service->upstreams.end(),
                        [](const auto &item) { return item.mode == upstream_mode::Active; });
        if (isServing)
            return problem("service", "still has active upstreams; mark them leaving first");
        m_next->addresses.erase({service->address, service->transportProtocol()});
        m_next->services.erase(service->id);
        m_edited.erase(service->id);
        if (m_isIndexed)
            m_names.erase(name);
    }

    void addUpstreamTo(service_config &service, const upstream_config &upstream)
    {
        // With more upstreams than slots some would have no share at all.
        const std::size_t room = std::min(service.slots.size(), maxUpstreamsPerService);
        if (service.upstreams.size() >= room)
            return problem("upstream",
                           "the service has room for " + std::to_string(room) + " upstreams");
        addUpstream(service, "upstream", upstream);
        m_replanned.insert(service.id);
    }

    void setWeight(service_config &service, const patch_operation &operation)
    {
        upstream_config *upstream = findUpstream(service, operation.upstream);
        if (upstream == nullptr || !checkWeight("weight", operation.weight))
            return;
        upstream->weight = operation.weight;
        m_replanned.insert(service.id);
    }

    void markLeaving(service_config &service, const patch_operation &operation)
    {
        upstream_config *upstream = findUpstream(service, operation.upstream);
        if (upstream == nullptr)
            return;
        if (upstream->mode == upstream_mode::Leaving)
            return problem("upstream", "is already leaving");
        if (operation.leavingAt.count() <= 0)
            return problem("leaving_at", "must be a time");
        if (operation.finalTime.count() != 0 && operation.finalTime < operation.leavingAt)
            return problem("final_time", "must not be before leaving_at");
        upstream->mode = upstream_mode::Leaving;
        upstream->leavingSince = operation.leavingAt;
        upstream->finalTime = operation.finalTime;
        m_replanned.insert(service.id);
    }

    void removeUpstream(service_config &service, const std::string &name)
    {
        const upstream_config *upstream = findUpstream(service, name);
        if (upstream == nullptr)
            return;
        // Marking and removing in one patch would break the flows that are open.
        const auto before = m_base.services.find(service.id);
        const upstream_config *old =
            before == m_base.services.end() ? nullptr : before->second->findUpstream(upstream->id);
        if (old == nullptr || old->mode != upstream_mode::Leaving)
            return problem("upstream", "must have been leaving in the base version");
        const upstream_id id = upstream->id;
        releaseSlots(service, id);
        std::erase_if(service.upstreams, [id](const auto &item) { return item.id == id; });
        m_replanned.insert(service.id);
    }

    void applyOperation(const patch_operation &operation)
    {
        if (operation.kind == patch_operation_kind::CreateService)
            return createService(operation);
        if (operation.kind == patch_operation_kind::RemoveService)
            return removeService(operation.service);
        service_config *service = findForEdit(operation.service);
        if (service == nullptr)
            return;
        switch (operation.kind) {
        case patch_operation_kind::AddUpstream:
            return addUpstreamTo(*service, operation.newUpstream);
        case patch_operation_kind::SetWeight:
            return setWeight(*service, operation);
        case patch_operation_kind::MarkLeaving:
            return markLeaving(*service, operation);
        case patch_operation_kind::RemoveUpstream:
            return removeUpstream(*service, operation.upstream);
        case patch_operation_kind::SetLimits:
            if (checkLimits(operation.limits))
                service->limits = operation.limits;
            return;
        case patch_operation_kind::Settle:
            return settleSlots(*service);
        case patch_operation_kind::CreateService:
        case patch_operation_kind::RemoveService:
            return;
        }
    }

    const configuration &m_base;
    const config_patch &m_patch;
    std::vector<config_problem> &m_problems;
    std::shared_ptr<configuration> m_next;
    std::string m_path; ///< path of the operation that is being applied
    std::unordered_map<service_id, std::shared_ptr<service_config>> m_edited;
    std::set<service_id> m_replanned; ///< services whose table must be planned again
    bool m_isIndexed = false;
    std::unordered_map<std::string, service_id> m_names; ///< filled if m_isIndexed
};

} // namespace

result<std::shared_ptr<const configuration>> applyPatch(const configuration &base,
                                                        const config_patch &patch,
                                                        std::vector<config_problem> &problems)
{
    if (patch.baseVersion != base.version)
        return error::VersionConflict;
    const std::size_t before = problems.size();
    auto next = patch_applier(base, patch, problems).apply();
    if (problems.size() != before)
        return error::ValidationFailed;
    return next;
}

} // namespace chicoryhead
