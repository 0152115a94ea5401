#include "base/request_bucket.h"
#include "kernel/plugin.h"
#include "plugins/admission/arrival_rate.h"
#include "plugins/admission/fair_order.h"
#include "plugins/admission/idle_capacity.h"
#include "plugins/admission/limit_share.h"
#include "plugins/admission/remote_demand.h"
#include "services/admission_controller.h"
#include "services/configuration_source.h"
#include "services/member_view.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <unordered_map>

namespace crocuslane {

namespace {

// Time constant of the smoothed arrival rate of a group.
constexpr std::chrono::seconds demandTimeConstant{3};
// A rise of local demand enlarges this VM's share only after this time: by then the other VMs have received the new
// demand and reduced their shares.
constexpr std::chrono::seconds demandPropagationDelay{1};
constexpr std::chrono::milliseconds shareUpdateInterval{100};
// A group with a lower rate and no tokens in flight counts as idle and is left out of the demand sent to other VMs.
constexpr double idleRatePerSecond = 0.01;
// A group counts as over its limit when its smoothed rate exceeds the limit by more than this many standard deviations
// of random arrivals at the limit.
constexpr double overLimitDeviations = 4.0;
// Bound on the excess requests of a group in progress at this VM while no fresh report shows the idle capacity: what
// the group's share of the limit admits in excessSeconds, but at least smallestExcessBound.
constexpr std::size_t smallestExcessBound = 8;
constexpr double excessSeconds = 2.0;
// One interval of the demand exchange between VMs: shares can't follow demand any faster.
constexpr double burstSeconds = 0.5;
// In requests. Arrivals are not evenly spaced; with a smaller burst, a group of a few requests/s would often exceed its
// limit.
constexpr double smallestBurst = 2.0;

// Rate that the smoothed demand of a group within its limit rarely exceeds. The variance of a smoothed Poisson process
// is its rate divided by twice the time constant.
double overLimitThreshold(double limit)
{
    return limit + overLimitDeviations * std::sqrt(limit / (2.0 * toSeconds(demandTimeConstant)));
}

} // namespace

/// Enforces the limits of each caller group over all entry VMs and orders waiting requests fairly between groups.
class admission_plugin : public plugin, public admission_controller
{
public:
    std::string_view name() const override
    {
        return "admission";
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
        context.services.offer<admission_controller>(*this);
    }

    void handle(const event &event, action_list & /*actions*/) override
    {
        if (const auto *changed = std::get_if<configuration_changed>(&event)) {
            m_configuration = changed->current;
        } else if (const auto *report = std::get_if<runner_load_reported>(&event)) {
            m_idleCapacity.noteLoad(report->load, now());
        } else if (const auto *unreachable = std::get_if<runner_unreachable>(&event)) {
            m_idleCapacity.noteUnreachable(unreachable->runner);
        } else if (const auto *list = std::get_if<vm_list_read>(&event)) {
            m_idleCapacity.setBackendServers(list->entries);
        }
    }

    std::variant<admission_grant, request_error> admit(const request_id &request,
                                                       const caller &caller,
                                                       const service_id &service,
                                                       std::uint64_t expectedTokens) override;
    void release(const request_id &request) override;
    void noteQueued(const request_id &request) override;
    std::vector<group_demand> localDemand() const override;
    void setRemoteDemand(const vm_id &vm, const std::vector<group_demand> &demand) override;
    void removeRemote(const vm_id &vm) override;
    void describe(nlohmann::json &status) const override;

private:
    /// Demand, limits and counters of one caller group at this VM.
    struct group_usage {
        arrival_rate rate{demandTimeConstant};
        sliding_minimum_rate minimumRate{demandPropagationDelay};
        request_bucket bucket{request_bucket::initial_level::full};
        /// Part of the group's limit that this VM may use, 0 to 1.
        double share = 0.0;
        /// Sum of the arrival rates at the other VMs, from their last fresh messages.
        double remoteRate = 0.0;
        std::optional<steady_time> shareComputedAt;
        std::size_t excessInProgress = 0;
        std::uint64_t tokensInFlight = 0;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        std::uint64_t queued = 0;
        std::set<service_id> services;
    };

    struct granted_request {
        caller_group_id group;
        admission_tier tier = admission_tier::within_bound;
        double virtualStart = 0.0;
        std::uint64_t tokens = 0;
        bool wasQueued = false;
    };

    steady_time now() const
    {
        return m_context->time.steadyNow();
    }

    const caller_group_settings *settings(const caller_group_id &group);
    std::size_t vmCount() const;
    void updateShare(const caller_group_id &group, const caller_group_settings &settings, group_usage &usage);
    bool fitsTokenLimit(const caller_group_id &group,
                        const caller_group_settings &settings,
                        const group_usage &usage,
                        std::uint64_t tokens) const;
    bool tryAdmitExcess(const service_id &service, const caller_group_settings &settings, const group_usage &usage);
    fair_order &fairOrderOf(admission_tier tier);

    plugin_context *m_context = nullptr;
    std::shared_ptr<const configuration> m_configuration;
    std::unordered_map<caller_group_id, group_usage> m_usageByGroup;
    std::unordered_map<request_id, granted_request> m_grantedRequests;
    remote_demand m_remoteDemand;
    fair_order m_withinOrder;
    fair_order m_excessOrder;
    idle_capacity m_idleCapacity;
};

const caller_group_settings *admission_plugin::settings(const caller_group_id &group)
{
    if (!m_configuration) {
        if (const auto *source = m_context->services.tryFind<configuration_source>()) {
            m_configuration = source->current();
        }
    }
    if (!m_configuration) {
        return nullptr;
    }
    const auto found = m_configuration->callerGroups.find(group);
    return found == m_configuration->callerGroups.end() ? nullptr : &found->second;
}

std::size_t admission_plugin::vmCount() const
{
    const auto *members = m_context->services.tryFind<member_view>();
    return members == nullptr ? 1 : std::max<std::size_t>(1, members->members().size());
}

void admission_plugin::updateShare(const caller_group_id &group,
                                   const caller_group_settings &settings,
                                   group_usage &usage)
{
    if (usage.shareComputedAt && now() - *usage.shareComputedAt < shareUpdateInterval) {
        return;
    }
    usage.shareComputedAt = now();
    share_inputs inputs;
    inputs.limit = settings.requestsPerSecond;
    inputs.vmCount = vmCount();
    inputs.ownRate = usage.minimumRate.lowest(usage.rate.perSecond(now()), now());
    for (const auto &[vm, demand] : m_remoteDemand.vms()) {
        const auto found = demand.groups.find(group);
        const double rate = found == demand.groups.end() ? 0.0 : found->second.arrivalRate;
        switch (remote_demand::freshness(demand, now())) {
        case demand_freshness::fresh:
            inputs.freshRates.push_back(rate);
            break;
        case demand_freshness::stale:
            inputs.staleRates.push_back(rate);
            break;
        case demand_freshness::expired:
            break;
        }
    }
    usage.remoteRate = std::accumulate(inputs.freshRates.begin(), inputs.freshRates.end(), 0.0);
    usage.share = limitShare(inputs);
    const double rate = settings.requestsPerSecond * usage.share;
    usage.bucket.setRate(rate, std::max(smallestBurst, rate * burstSeconds), now());
}

// The VMs exchange their tokens in flight, so the unused part of the limit is open to each of them: a fixed share could
// be too small for a single long request. An even part is reserved for each VM without fresh demand.
bool admission_plugin::fitsTokenLimit(const caller_group_id &group,
                                      const caller_group_settings &settings,
                                      const group_usage &usage,
                                      std::uint64_t tokens) const
{
    std::size_t freshVms = 1;
    std::uint64_t inFlight = usage.tokensInFlight;
    for (const auto &[vm, demand] : m_remoteDemand.vms()) {
        if (remote_demand::freshness(demand, now()) != demand_freshness::fresh) {
            continue;
        }
        ++freshVms;
        const auto found = demand.groups.find(group);
        inFlight += found == demand.groups.end() ? 0 : found->second.tokensInFlight;
    }
    const double fraction = static_cast<double>(freshVms) / static_cast<double>(std::max(vmCount(), freshVms));
    return inFlight == 0
        || static_cast<double>(inFlight + tokens) <= fraction * static_cast<double>(settings.tokensInFlight);
}

// A group beyond its limit gets idle capacity only. Several such groups share that capacity evenly.
bool admission_plugin::tryAdmitExcess(const service_id &service,
                                      const caller_group_settings &settings,
                                      const group_usage &usage)
{
    const std::optional<double> available = m_idleCapacity.available(service, vmCount(), now());
    if (!available) {
        const auto bound = static_cast<std::size_t>(settings.requestsPerSecond * usage.share * excessSeconds);
        return usage.excessInProgress < std::max(smallestExcessBound, bound);
    }
    const double recent = static_cast<double>(m_idleCapacity.recentAdmissions(service, now()));
    const std::size_t ownRecent = m_idleCapacity.recentAdmissionsOf(service, settings.id);
    const std::size_t groups = m_idleCapacity.recentGroupCount(service) + (ownRecent == 0 ? 1 : 0);
    if (recent + 1.0 > *available
        || static_cast<double>(ownRecent) + 1.0 > std::max(1.0, *available / static_cast<double>(groups))) {
        return false;
    }
    m_idleCapacity.noteAdmitted(service, settings.id, now());
    return true;
}

fair_order &admission_plugin::fairOrderOf(admission_tier tier)
{
    return tier == admission_tier::within_bound ? m_withinOrder : m_excessOrder;
}

std::variant<admission_grant, request_error> admission_plugin::admit(const request_id &request,
                                                                     const caller &caller,
                                                                     const service_id &service,
                                                                     std::uint64_t expectedTokens)
{
    group_usage &usage = m_usageByGroup[caller.group];
    usage.minimumRate.sample(usage.rate.perSecond(now()), now());
    usage.rate.count(now());
    usage.services.insert(service);

    granted_request grant{caller.group, admission_tier::within_bound, 0.0, expectedTokens, false};
    double weight = 1.0;
    // A group without settings has no limit here. Access rights are checked elsewhere.
    if (const caller_group_settings *limits = settings(caller.group)) {
        updateShare(caller.group, *limits, usage);
        weight = limits->requestsPerSecond;
        const bool isWithin =
            fitsTokenLimit(caller.group, *limits, usage, expectedTokens) && usage.bucket.tryTake(now());
        if (!isWithin) {
            grant.tier = admission_tier::excess;
        }
        // Arrivals at one VM are uneven: a group within its overall limit may use up the share of this VM. Its requests
        // are then queued behind those within the limit, but not refused.
        const bool isOverLimit =
            usage.rate.perSecond(now()) + usage.remoteRate > overLimitThreshold(limits->requestsPerSecond);
        if (!isWithin && isOverLimit && !tryAdmitExcess(service, *limits, usage)) {
            ++usage.refused;
            return request_error{error_code::limit_exceeded,
                                 execution_state::not_run,
                                 "caller group " + caller.group.value() + " exceeds its limit",
                                 std::max(1.0, usage.bucket.secondsToNext(now()))};
        }
    }
    grant.virtualStart = fairOrderOf(grant.tier).arrive(caller.group, static_cast<double>(expectedTokens), weight);
    ++usage.admitted;
    usage.tokensInFlight += expectedTokens;
    usage.excessInProgress += grant.tier == admission_tier::excess ? 1 : 0;
    const admission_grant result{grant.tier, grant.virtualStart};
    m_grantedRequests.insert_or_assign(request, std::move(grant));
    return result;
}

void admission_plugin::release(const request_id &request)
{
    const auto found = m_grantedRequests.find(request);
    if (found == m_grantedRequests.end()) {
        return;
    }
    const granted_request &grant = found->second;
    group_usage &usage = m_usageByGroup[grant.group];
    usage.tokensInFlight -= grant.tokens;
    usage.excessInProgress -= grant.tier == admission_tier::excess ? 1 : 0;
    fairOrderOf(grant.tier).leave(grant.virtualStart);
    m_grantedRequests.erase(found);
}

void admission_plugin::noteQueued(const request_id &request)
{
    const auto found = m_grantedRequests.find(request);
    if (found != m_grantedRequests.end() && !found->second.wasQueued) {
        found->second.wasQueued = true;
        ++m_usageByGroup[found->second.group].queued;
    }
}

std::vector<group_demand> admission_plugin::localDemand() const
{
    std::vector<group_demand> demand;
    for (const auto &[group, usage] : m_usageByGroup) {
        const double rate = usage.rate.perSecond(now());
        if (rate >= idleRatePerSecond || usage.tokensInFlight > 0) {
            demand.push_back({group, rate, usage.tokensInFlight, usage.admitted, usage.refused, usage.queued});
        }
    }
    return demand;
}

void admission_plugin::setRemoteDemand(const vm_id &vm, const std::vector<group_demand> &demand)
{
    m_remoteDemand.set(vm, demand, now());
}

void admission_plugin::removeRemote(const vm_id &vm)
{
    m_remoteDemand.remove(vm);
}

void admission_plugin::describe(nlohmann::json &status) const
{
    struct total {
        group_demand sum;
        std::string services;
    };
    std::map<caller_group_id, total> totals;
    const auto add = [&totals](const group_demand &demand) {
        group_demand &sum = totals[demand.group].sum;
        sum.arrivalRate += demand.arrivalRate;
        sum.tokensInFlight += demand.tokensInFlight;
        sum.admitted += demand.admitted;
        sum.refused += demand.refused;
        sum.queued += demand.queued;
    };
    if (m_configuration) {
        for (const auto &[group, limits] : m_configuration->callerGroups) {
            totals[group];
        }
    }
    for (const auto &[group, usage] : m_usageByGroup) {
        add({group, usage.rate.perSecond(now()), usage.tokensInFlight, usage.admitted, usage.refused, usage.queued});
        for (const service_id &service : usage.services) {
            std::string &services = totals[group].services;
            services += (services.empty() ? "" : ", ") + service.value();
        }
    }
    for (const auto &[vm, demand] : m_remoteDemand.vms()) {
        for (const auto &[group, last] : demand.groups) {
            add(last);
        }
    }

    std::vector<nlohmann::json> rows;
    for (const auto &[group, total] : totals) {
        const caller_group_settings *limits = nullptr;
        if (m_configuration) {
            const auto found = m_configuration->callerGroups.find(group);
            limits = found == m_configuration->callerGroups.end() ? nullptr : &found->second;
        }
        rows.push_back({{"group", group.value()},
                        {"organisation", limits == nullptr ? "" : limits->organisation.value()},
                        {"service", total.services},
                        {"demand_per_s", total.sum.arrivalRate},
                        {"limit_per_s", limits == nullptr ? 0.0 : limits->requestsPerSecond},
                        {"admitted", total.sum.admitted},
                        {"refused", total.sum.refused},
                        {"queued", total.sum.queued},
                        {"tokens_in_flight", total.sum.tokensInFlight}});
    }
    // The group that exceeds its limit by the most comes first.
    const auto excess = [](const nlohmann::json &row) {
        return row["demand_per_s"].get<double>() - row["limit_per_s"].get<double>();
    };
    std::stable_sort(rows.begin(), rows.end(), [&excess](const nlohmann::json &left, const nlohmann::json &right) {
        return excess(left) > excess(right);
    });
    status["groups"] = std::move(rows);
}

namespace {

const plugin_registrar autoRegistrar("admission",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<admission_plugin>(); });

} // namespace

} // namespace crocuslane
