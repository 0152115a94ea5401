#include "kernel/plugin.h"
#include "plugins/admission/arrival_rate.h"
#include "plugins/admission/fair_order.h"
#include "plugins/admission/idle_capacity.h"
#include "plugins/admission/limit_share.h"
#include "plugins/admission/remote_demand.h"
#include "plugins/admission/request_bucket.h"
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

constexpr std::chrono::seconds demandTime{3};
// Demand that rises counts for the own share only when the other VMs have heard of it and given way.
constexpr std::chrono::seconds toldDelay{1};
constexpr std::chrono::milliseconds shareInterval{100};
constexpr double idleRate = 0.01;
// Standard deviations of smoothed random arrivals at the limit beyond which a group is taken to be over its limit.
constexpr double clearDeviations = 4.0;
// Excess requests of a group that may be in progress at this VM when no report tells how much capacity is idle.
constexpr std::size_t smallestExcess = 8;
constexpr double excessSeconds = 2.0;

// Demand of a group that is within its limit rarely looks higher. The variance of a smoothed Poisson process is its
// rate divided by twice the time constant.
double clearlyOver(double limit)
{
    return limit + clearDeviations * std::sqrt(limit / (2.0 * toSeconds(demandTime)));
}

} // namespace

/// Limits per caller group over all entry VMs, and the order of waiting requests.
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
            m_idle.noteLoad(report->load, now());
        } else if (const auto *unreachable = std::get_if<runner_unreachable>(&event)) {
            m_idle.noteUnreachable(unreachable->runner);
        } else if (const auto *list = std::get_if<vm_list_read>(&event)) {
            m_idle.setBackendServers(list->entries);
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
    struct account {
        arrival_rate rate{demandTime};
        told_rate toldRate{toldDelay};
        request_bucket bucket;
        double share = 0.0;
        /// Demand at the other VMs, as last heard.
        double remoteRate = 0.0;
        std::optional<steady_time> shareComputedAt;
        std::size_t excessInProgress = 0;
        std::uint64_t tokensInFlight = 0;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        std::uint64_t queued = 0;
        std::set<service_id> services;
    };

    struct granted {
        caller_group_id group;
        admission_tier standing = admission_tier::within_bound;
        double order = 0.0;
        std::uint64_t tokens = 0;
        bool wasQueued = false;
    };

    steady_time now() const
    {
        return m_context->time.steadyNow();
    }

    const caller_group_settings *settings(const caller_group_id &group);
    std::size_t vmCount() const;
    void updateShare(const caller_group_id &group, const caller_group_settings &settings, account &account);
    bool fitsTokens(const caller_group_id &group,
                    const caller_group_settings &settings,
                    const account &account,
                    std::uint64_t tokens) const;
    bool takeExcess(const service_id &service, const caller_group_settings &settings, const account &account);
    fair_order &orderOf(admission_tier standing);

    plugin_context *m_context = nullptr;
    std::shared_ptr<const configuration> m_configuration;
    std::unordered_map<caller_group_id, account> m_accounts;
    std::unordered_map<request_id, granted> m_granted;
    remote_demand m_remote;
    fair_order m_withinOrder;
    fair_order m_excessOrder;
    idle_capacity m_idle;
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
                                   account &account)
{
    if (account.shareComputedAt && now() - *account.shareComputedAt < shareInterval) {
        return;
    }
    account.shareComputedAt = now();
    share_inputs inputs;
    inputs.limit = settings.requestsPerSecond;
    inputs.vmCount = vmCount();
    inputs.ownRate = account.toldRate.lowest(account.rate.perSecond(now()), now());
    for (const auto &[vm, demand] : m_remote.vms()) {
        const auto found = demand.groups.find(group);
        const double rate = found == demand.groups.end() ? 0.0 : found->second.arrivalRate;
        switch (remote_demand::standing(demand, now())) {
        case demand_standing::heard:
            inputs.heardRates.push_back(rate);
            break;
        case demand_standing::doubtful:
            inputs.doubtfulRates.push_back(rate);
            break;
        case demand_standing::lost:
            break;
        }
    }
    account.remoteRate = std::accumulate(inputs.heardRates.begin(), inputs.heardRates.end(), 0.0);
    account.share = limitShare(inputs);
    account.bucket.setRate(settings.requestsPerSecond * account.share, now());
}

// Tokens in flight at others are known, so what is left of the limit is open to all: a share of it could be too small
// for a single long request. VMs that are not heard are left their even part.
bool admission_plugin::fitsTokens(const caller_group_id &group,
                                  const caller_group_settings &settings,
                                  const account &account,
                                  std::uint64_t tokens) const
{
    std::size_t heard = 1;
    std::uint64_t inFlight = account.tokensInFlight;
    for (const auto &[vm, demand] : m_remote.vms()) {
        if (remote_demand::standing(demand, now()) != demand_standing::heard) {
            continue;
        }
        ++heard;
        const auto found = demand.groups.find(group);
        inFlight += found == demand.groups.end() ? 0 : found->second.tokensInFlight;
    }
    const double part = static_cast<double>(heard) / static_cast<double>(std::max(vmCount(), heard));
    return inFlight == 0
        || static_cast<double>(inFlight + tokens) <= part * static_cast<double>(settings.tokensInFlight);
}

// Beyond its limit a group gets idle capacity only, and of that an even part when several groups want it.
bool admission_plugin::takeExcess(const service_id &service,
                                  const caller_group_settings &settings,
                                  const account &account)
{
    const std::optional<double> available = m_idle.available(service, vmCount(), now());
    if (!available) {
        const auto bound = static_cast<std::size_t>(settings.requestsPerSecond * account.share * excessSeconds);
        return account.excessInProgress < std::max(smallestExcess, bound);
    }
    const double recent = static_cast<double>(m_idle.recent(service, now()));
    const std::size_t ownRecent = m_idle.recentOf(service, settings.id);
    const std::size_t groups = m_idle.recentGroups(service) + (ownRecent == 0 ? 1 : 0);
    if (recent + 1.0 > *available
        || static_cast<double>(ownRecent) + 1.0 > std::max(1.0, *available / static_cast<double>(groups))) {
        return false;
    }
    m_idle.take(service, settings.id, now());
    return true;
}

fair_order &admission_plugin::orderOf(admission_tier standing)
{
    return standing == admission_tier::within_bound ? m_withinOrder : m_excessOrder;
}

std::variant<admission_grant, request_error> admission_plugin::admit(const request_id &request,
                                                                     const caller &caller,
                                                                     const service_id &service,
                                                                     std::uint64_t expectedTokens)
{
    account &account = m_accounts[caller.group];
    account.toldRate.sample(account.rate.perSecond(now()), now());
    account.rate.count(now());
    account.services.insert(service);

    granted grant{caller.group, admission_tier::within_bound, 0.0, expectedTokens, false};
    double weight = 1.0;
    // Without settings no limit is known; who may call at all is decided elsewhere.
    if (const caller_group_settings *limits = settings(caller.group)) {
        updateShare(caller.group, *limits, account);
        weight = limits->requestsPerSecond;
        const bool isWithin = fitsTokens(caller.group, *limits, account, expectedTokens) && account.bucket.take(now());
        if (!isWithin) {
            grant.standing = admission_tier::excess;
        }
        // Arrivals at one VM are uneven: a group that is within its limit as a whole may find this VM's part used up.
        // Its requests then wait behind those within the limit, but they are not turned away.
        const bool isOverLimit =
            account.rate.perSecond(now()) + account.remoteRate > clearlyOver(limits->requestsPerSecond);
        if (!isWithin && isOverLimit && !takeExcess(service, *limits, account)) {
            ++account.refused;
            return request_error{error_code::limit_exceeded,
                                 execution_state::not_run,
                                 "caller group " + caller.group.value() + " is beyond its limit",
                                 std::max(1.0, account.bucket.secondsToNext(now()))};
        }
    }
    grant.order = orderOf(grant.standing).arrive(caller.group, static_cast<double>(expectedTokens), weight);
    ++account.admitted;
    account.tokensInFlight += expectedTokens;
    account.excessInProgress += grant.standing == admission_tier::excess ? 1 : 0;
    const admission_grant result{grant.standing, grant.order};
    m_granted.insert_or_assign(request, std::move(grant));
    return result;
}

void admission_plugin::release(const request_id &request)
{
    const auto found = m_granted.find(request);
    if (found == m_granted.end()) {
        return;
    }
    const granted &grant = found->second;
    account &account = m_accounts[grant.group];
    account.tokensInFlight -= grant.tokens;
    account.excessInProgress -= grant.standing == admission_tier::excess ? 1 : 0;
    orderOf(grant.standing).leave(grant.order);
    m_granted.erase(found);
}

void admission_plugin::noteQueued(const request_id &request)
{
    const auto found = m_granted.find(request);
    if (found != m_granted.end() && !found->second.wasQueued) {
        found->second.wasQueued = true;
        ++m_accounts[found->second.group].queued;
    }
}

std::vector<group_demand> admission_plugin::localDemand() const
{
    std::vector<group_demand> demand;
    for (const auto &[group, account] : m_accounts) {
        const double rate = account.rate.perSecond(now());
        if (rate >= idleRate || account.tokensInFlight > 0) {
            demand.push_back({group, rate, account.tokensInFlight, account.admitted, account.refused, account.queued});
        }
    }
    return demand;
}

void admission_plugin::setRemoteDemand(const vm_id &vm, const std::vector<group_demand> &demand)
{
    m_remote.set(vm, demand, now());
}

void admission_plugin::removeRemote(const vm_id &vm)
{
    m_remote.remove(vm);
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
    for (const auto &[group, account] : m_accounts) {
        add({group,
             account.rate.perSecond(now()),
             account.tokensInFlight,
             account.admitted,
             account.refused,
             account.queued});
        for (const service_id &service : account.services) {
            std::string &services = totals[group].services;
            services += (services.empty() ? "" : ", ") + service.value();
        }
    }
    for (const auto &[vm, demand] : m_remote.vms()) {
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
    // Who is furthest beyond a limit stands first.
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
