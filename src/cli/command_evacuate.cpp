/**
 * @file command_evacuate.cpp
 * Commands that start, end and follow the evacuation of a failure domain.
 */

#include "argument.h"
#include "command.h"
#include "instance_pages.h"
#include "text_table.h"

#include <algorithm>
#include <map>
#include <set>

namespace chicoryhead {

namespace {

/// Polling interval for the instances; flows often take minutes to end.
constexpr std::chrono::milliseconds waitInterval {1000};

/** Failure domains and services, as far as the store's items name them. */
struct domain_overview
{
    std::set<std::string> known;
    std::set<std::string> evacuated;
    /// Failure domains with upstreams that do not drain, by service.
    std::map<std::string, std::set<std::string>> byService;
};

domain_overview summariseDomains(const fleet_changes &fleet)
{
    domain_overview overview;
    for (const fleet_change &change : fleet.changes) {
        if (const auto *registration = std::get_if<instance_registration>(&change))
            overview.known.insert(registration->domain);
        const auto *evacuation = std::get_if<domain_evacuation>(&change);
        if (evacuation != nullptr && !evacuation->isEnded)
            overview.evacuated.insert(evacuation->domain);
        const auto *announced = std::get_if<upstream_announcement>(&change);
        if (announced == nullptr)
            continue;
        overview.known.insert(announced->domain);
        if (!announced->isDraining)
            overview.byService[announced->service].insert(announced->domain);
    }
    return overview;
}

/// Services that only the domain serves, apart from evacuated ones.
std::set<std::string> servicesWithoutAlternative(const domain_overview &overview,
                                                 const std::string &domain)
{
    std::set<std::string> services;
    for (const auto &[service, domains] : overview.byService) {
        const bool hasAlternative =
            std::any_of(domains.begin(), domains.end(), [&](const std::string &other) {
                return other != domain && !overview.evacuated.contains(other);
            });
        if (domains.contains(domain) && !hasAlternative)
            services.insert(service);
    }
    return services;
}

/// Prints why the change can't be made; Done if it can.
exit_code checkChange(const command_call &call, const domain_overview &overview,
                      const std::string &domain)
{
    const bool isEvacuated = overview.evacuated.contains(domain);
    if (FLAGS_end)
        return isEvacuated ? exit_code::Done
                           : fail(call, exit_code::Refused, domain + " is not being evacuated");
    if (isEvacuated)
        return fail(call, exit_code::Refused, domain + " is being evacuated already");
    if (!overview.known.contains(domain))
        return fail(call, exit_code::Invalid,
                    "unknown failure domain " + domain + "; known: " + join(overview.known, " "));
    const auto services = servicesWithoutAlternative(overview, domain);
    if (!services.empty() && !FLAGS_force)
        return fail(call, exit_code::Refused,
                    "no upstreams would be left for: " + join(services, " ")
                        + "; --force evacuates nevertheless");
    return exit_code::Done;
}

/// Determines the outcome of a write whose response was lost, by reading the store again.
std::error_code resolveUnknownOutcome(operator_store &store, const std::string &domain)
{
    const auto fleet = store.readFleet();
    if (!fleet)
        return error::OutcomeUnknown;
    const bool isEvacuated = summariseDomains(fleet.value()).evacuated.contains(domain);
    return isEvacuated != FLAGS_end ? std::error_code {} : error::OutcomeUnknown;
}

exit_code submit(const command_call &call, operator_store &store, const std::string &domain)
{
    auto failure = FLAGS_end ? store.endEvacuation(domain) : store.startEvacuation(domain);
    if (failure == error::OutcomeUnknown || failure == error::Timeout)
        failure = resolveUnknownOutcome(store, domain);
    if (failure == error::VersionConflict)
        return fail(call, exit_code::Refused,
                    domain + " was evacuated by another operator in the meantime");
    if (failure == error::Rejected)
        return fail(call, exit_code::Invalid, "the store rejected the evacuation of " + domain);
    if (failure == error::OutcomeUnknown)
        return fail(call, exit_code::Unknown,
                    "no response from the store; the change may still take effect, see "
                    "\"chicoryhead evacuations\" later");
    if (failure)
        return fail(call, exit_code::Unavailable, "nothing was changed: " + failure.message());
    call.environment.out << (FLAGS_end ? "the evacuation of " + domain + " has ended\n"
                                       : domain + " is being evacuated\n");
    return exit_code::Done;
}

/** How far the instances are with the start or the end of an evacuation. */
struct evacuation_progress
{
    std::size_t instances = 0;
    std::size_t following = 0;
    std::uint64_t flows = 0;       ///< recently observed; a flow counts once per instance
    std::set<std::string> lagging; ///< instances that do not follow yet, or do not answer

    bool operator==(const evacuation_progress &) const = default;
};

evacuation_progress readProgress(const command_call &call, const fleet_changes &fleet,
                                 const std::string &domain, bool isEvacuated)
{
    evacuation_progress progress;
    for (const instance_registration &instance : registeredInstances(fleet)) {
        ++progress.instances;
        const auto upstreams = readUpstreamPage(call, instance);
        bool isFollowing = static_cast<bool>(upstreams);
        for (const upstream_row &upstream :
             isFollowing ? upstreams.value() : std::vector<upstream_row> {}) {
            if (upstream.domain != domain)
                continue;
            progress.flows += upstream.flows;
            isFollowing = isFollowing && upstream.isEvacuated == isEvacuated;
        }
        if (isFollowing)
            ++progress.following;
        else
            progress.lagging.insert(instance.name);
    }
    return progress;
}

/// Polls until all instances follow and, unless the evacuation ends, no flows are left.
exit_code waitForInstances(const command_call &call, operator_store &store,
                           const std::string &domain)
{
    const auto deadline = call.environment.now() + std::chrono::seconds(FLAGS_timeout);
    evacuation_progress reported;
    while (true) {
        const auto fleet = store.readFleet();
        if (!fleet)
            return failStore(call, fleet.error());
        const auto progress = readProgress(call, fleet.value(), domain, !FLAGS_end);
        if (!(progress == reported))
            call.environment.out << progress.following << " of " << progress.instances
                                 << " instances follow, " << progress.flows << " flows\n"
                                 << std::flush;
        reported = progress;
        const bool isDone = FLAGS_end || progress.flows == 0;
        if (progress.lagging.empty() && progress.instances > 0 && isDone)
            return exit_code::Done;
        if (call.environment.now() >= deadline) {
            if (!progress.lagging.empty())
                return fail(call, exit_code::Timeout,
                            "behind or not answering: " + join(progress.lagging, " "));
            return fail(call, exit_code::Timeout,
                        progress.instances == 0 ? "no instance is registered"
                                                : "flows are left in " + domain);
        }
        call.environment.sleep(waitInterval);
    }
}

} // namespace

exit_code runEvacuate(const command_call &call)
{
    const std::string &domain = call.operands[0];
    return withFleet(call, [&](operator_store &store, const fleet_changes &fleet) {
        if (const auto code = checkChange(call, summariseDomains(fleet), domain);
            code != exit_code::Done)
            return code;
        if (const auto code = submit(call, store, domain); code != exit_code::Done)
            return code;
        return FLAGS_wait ? waitForInstances(call, store, domain) : exit_code::Done;
    });
}

exit_code runEvacuations(const command_call &call)
{
    return withFleet(call, [&call](operator_store & /*store*/, const fleet_changes &fleet) {
        text_table table({"DOMAIN", "INSTANCES", "FOLLOWING", "FLOWS"});
        for (const std::string &domain : summariseDomains(fleet).evacuated) {
            const auto progress = readProgress(call, fleet, domain, true);
            table.addRow({domain, std::to_string(progress.instances),
                          std::to_string(progress.following), std::to_string(progress.flows)});
        }
        table.print(call.environment.out);
        return exit_code::Done;
    });
}

} // namespace chicoryhead
