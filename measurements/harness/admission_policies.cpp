#include "harness/admission_policies.h"

#include "kernel/kernel.h"
#include "services/configuration_source.h"

#include <algorithm>
#include <unordered_map>

namespace crocuslane {

namespace {

/// Counts grants. Forwards to the plug-in admission if there is one; otherwise admits by the limit divided by the
/// number of VMs, or without limits.
class counting_admission : public plugin, public admission_controller
{
public:
    counting_admission(admission_policy policy, std::size_t vmCount, grant_counts &counts)
        : m_policy(policy)
        , m_vmCount(vmCount)
        , m_counts(counts)
    {
    }

    std::string_view name() const override
    {
        return "counting-admission";
    }

    std::vector<std::string_view> dependencies() const override
    {
        if (m_policy == admission_policy::product) {
            return {"admission"};
        }
        return {};
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
        m_start = context.time.steadyNow();
        m_inner = context.services.tryFind<admission_controller>();
        context.services.offer<admission_controller>(*this);
    }

    void handle(const event & /*event*/, action_list & /*actions*/) override
    {
    }

    std::variant<admission_grant, request_error> admit(const request_id &request,
                                                       const caller &caller,
                                                       const service_id &service,
                                                       std::uint64_t expectedTokens) override
    {
        auto result =
            m_inner != nullptr ? m_inner->admit(request, caller, service, expectedTokens) : admitLocally(caller);
        const auto *grant = std::get_if<admission_grant>(&result);
        if (grant != nullptr && grant->tier == admission_tier::within_bound) {
            m_counts.count(caller.group, m_context->time.steadyNow() - m_start);
        }
        return result;
    }

    void release(const request_id &request) override
    {
        if (m_inner != nullptr) {
            m_inner->release(request);
        }
    }

    void noteQueued(const request_id &request) override
    {
        if (m_inner != nullptr) {
            m_inner->noteQueued(request);
        }
    }

    std::vector<group_demand> localDemand() const override
    {
        return m_inner != nullptr ? m_inner->localDemand() : std::vector<group_demand>();
    }

    void setRemoteDemand(const vm_id &vm, const std::vector<group_demand> &demand) override
    {
        if (m_inner != nullptr) {
            m_inner->setRemoteDemand(vm, demand);
        }
    }

    void removeRemote(const vm_id &vm) override
    {
        if (m_inner != nullptr) {
            m_inner->removeRemote(vm);
        }
    }

private:
    struct bucket {
        double level = 0.0;
        steady_time lastRefill;
    };

    std::variant<admission_grant, request_error> admitLocally(const caller &caller)
    {
        if (m_policy == admission_policy::none) {
            return admission_grant{};
        }
        const auto settings = m_context->services.find<configuration_source>().current();
        const double rate = settings->callerGroups.at(caller.group).requestsPerSecond / static_cast<double>(m_vmCount);
        const steady_time now = m_context->time.steadyNow();
        const auto [found, isNew] = m_buckets.try_emplace(caller.group);
        bucket &bucket = found->second;
        const double capacity = std::max(2.0, rate);
        bucket.level = isNew ? capacity : std::min(capacity, bucket.level + rate * toSeconds(now - bucket.lastRefill));
        bucket.lastRefill = now;
        if (bucket.level < 1.0) {
            return request_error{error_code::limit_exceeded, execution_state::not_run, "limit of this VM", 1.0};
        }
        bucket.level -= 1.0;
        return admission_grant{};
    }

    admission_policy m_policy;
    std::size_t m_vmCount;
    grant_counts &m_counts;
    plugin_context *m_context = nullptr;
    admission_controller *m_inner = nullptr;
    steady_time m_start;
    std::unordered_map<caller_group_id, bucket> m_buckets;
};

} // namespace

void grant_counts::count(const caller_group_id &group, duration sinceStart)
{
    m_perSecond[group][static_cast<int>(toSeconds(sinceStart))] += 1.0;
}

double grant_counts::meanRate(const caller_group_id &group, int fromSecond, int untilSecond) const
{
    const auto found = m_perSecond.find(group);
    double sum = 0.0;
    if (found != m_perSecond.end()) {
        for (const auto &[second, count] : found->second) {
            sum += second >= fromSecond && second < untilSecond ? count : 0.0;
        }
    }
    return sum / (untilSecond - fromSecond);
}

double grant_counts::highestRate(const caller_group_id &group, int fromSecond, int untilSecond, int window) const
{
    double highest = 0.0;
    for (int second = fromSecond; second + window <= untilSecond; ++second) {
        highest = std::max(highest, meanRate(group, second, second + window));
    }
    return highest;
}

void addAdmission(kernel &target, admission_policy policy, std::size_t vmCount, grant_counts &counts)
{
    if (policy == admission_policy::product) {
        target.add(makePlugin("membership"));
        target.add(makePlugin("admission"));
    }
    target.add(std::make_unique<counting_admission>(policy, vmCount, counts));
}

} // namespace crocuslane
