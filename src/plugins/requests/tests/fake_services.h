#pragma once

#include "services/admission_controller.h"
#include "services/bill_ledger.h"
#include "services/claim_registry.h"
#include "services/configuration_source.h"
#include "services/runner_picker.h"
#include "services/version_chooser.h"

#include "kernel/plugin.h"

#include <deque>
#include <map>

namespace crocuslane {

/// Fakes of all services that the requests plug-in uses. Tests set their results.
class fake_services : public plugin,
                      public configuration_source,
                      public version_chooser,
                      public admission_controller,
                      public runner_picker,
                      public claim_registry,
                      public bill_ledger
{
public:
    std::shared_ptr<configuration> settings = std::make_shared<configuration>();
    bool isFresh = true;
    std::vector<version_id> candidates{version_id("small@1"), version_id("large@1")};
    bool isBoundBySession = false;
    std::set<version_id> forbidden;
    std::vector<request_id> queuedRequests;
    bool admitsRequests = true;
    std::map<request_id, admission_grant> grants;
    std::set<request_id> admitted;
    unsigned releases = 0;
    /// Free runners in the order in which they are picked.
    std::deque<std::string> freeRunners;
    work_estimate work;
    std::optional<duration> hedgeAfter;
    unsigned remainingHedges = 10;
    unsigned remainingRetries = 10;
    std::map<attempt_number, std::optional<attempt_failure>> endedAttempts;
    bool areBillsDurable = true;
    std::vector<bill> bills;
    bool canConfirmSend = true;
    std::vector<request_id> claimedCalls;
    std::vector<request_id> callsRecordedNotRun;
    std::vector<std::pair<request_id, std::uint32_t>> outcomes;

    std::string_view name() const override
    {
        return "fakes";
    }
    void initialize(plugin_context &context) override
    {
        m_context = &context;
        context.services.offer<configuration_source>(*this);
        context.services.offer<version_chooser>(*this);
        context.services.offer<admission_controller>(*this);
        context.services.offer<runner_picker>(*this);
        context.services.offer<runner_use_exchange>(*this);
        context.services.offer<claim_registry>(*this);
        context.services.offer<bill_ledger>(*this);
    }
    void handle(const event & /*event*/, action_list & /*actions*/) override
    {
    }

    std::shared_ptr<const configuration> current() const override
    {
        return settings;
    }
    std::uint64_t version() const override
    {
        return 1;
    }
    bool mayTakeRequests() const override
    {
        return isFresh;
    }

    std::variant<version_candidates, request_error> choose(const model_request & /*request*/,
                                                           const caller & /*caller*/) override
    {
        return version_candidates{candidates, isBoundBySession};
    }
    bool mayServe(const version_id &version,
                  const organisation_id & /*organisation*/,
                  bool /*isBoundBySession*/) const override
    {
        return !forbidden.contains(version);
    }
    std::string
    sessionToken(const model_request & /*request*/, const caller & /*caller*/, const version_id &version) override
    {
        return "session-" + version.value();
    }
    void observe(const answer_observation & /*observation*/) override
    {
    }
    std::uint64_t cost(const version_id & /*version*/, const token_usage &usage) const override
    {
        return usage.promptTokens + 10ULL * usage.outputTokens;
    }

    std::variant<admission_grant, request_error> admit(const request_id &request,
                                                       const caller & /*caller*/,
                                                       const service_id & /*service*/,
                                                       std::uint64_t /*expectedTokens*/) override
    {
        if (!admitsRequests) {
            return request_error{error_code::limit_exceeded, execution_state::not_run, "limit", 1.0};
        }
        admitted.insert(request);
        return grants[request];
    }
    void release(const request_id &request) override
    {
        releases += admitted.erase(request);
    }
    void noteQueued(const request_id &request) override
    {
        queuedRequests.push_back(request);
    }
    std::vector<group_demand> localDemand() const override
    {
        return {};
    }
    void setRemoteDemand(const vm_id & /*vm*/, const std::vector<group_demand> & /*demand*/) override
    {
    }

    std::optional<runner_choice> pick(const pick_request &request) override
    {
        for (auto candidate = freeRunners.begin(); candidate != freeRunners.end(); ++candidate) {
            const runner_id runner(*candidate);
            if (!request.excluded.contains(runner)) {
                freeRunners.erase(candidate);
                return runner_choice{runner, "address-" + runner.value()};
            }
        }
        return std::nullopt;
    }
    bool hasRunner(const service_id & /*service*/, const version_id & /*version*/) const override
    {
        return true;
    }
    void
    attemptStarted(attempt_number /*attempt*/, const pick_request & /*request*/, const runner_id & /*runner*/) override
    {
    }
    void tokenReceived(attempt_number /*attempt*/) override
    {
    }
    void attemptEnded(attempt_number attempt, std::optional<attempt_failure> failure) override
    {
        endedAttempts[attempt] = failure;
    }
    work_estimate estimate(const model_request & /*request*/) const override
    {
        return work;
    }
    void answerFinished(const kind_id & /*kind*/, const token_usage & /*usage*/) override
    {
    }
    std::optional<duration> hedgeDelay(const work_estimate & /*work*/) const override
    {
        return hedgeAfter;
    }
    bool spendHedge(const work_estimate & /*work*/) override
    {
        return remainingHedges > 0 && remainingHedges-- > 0;
    }
    bool spendRetry() override
    {
        return remainingRetries > 0 && remainingRetries-- > 0;
    }
    duration silenceLimit(const runner_id & /*runner*/, const work_estimate & /*work*/) const override
    {
        return std::chrono::seconds(2);
    }
    std::vector<runner_use> localUse() const override
    {
        return {};
    }
    void setRemoteUse(const vm_id & /*vm*/, const std::vector<runner_use> & /*use*/) override
    {
    }
    void removeRemote(const vm_id & /*vm*/) override
    {
    }

    void claim(const service_call &call, const caller & /*caller*/) override
    {
        claimedCalls.push_back(call.request);
    }
    bool confirmSend(const request_id & /*request*/) override
    {
        return canConfirmSend;
    }
    void recordOutcome(const request_id &request, std::uint32_t status, const std::string & /*body*/) override
    {
        outcomes.emplace_back(request, status);
    }
    void recordNotRun(const request_id &request) override
    {
        callsRecordedNotRun.push_back(request);
    }

    void charge(const bill &bill) override
    {
        bills.push_back(bill);
        if (areBillsDurable) {
            m_context->post(bill_durable{bill.request});
        }
    }

private:
    plugin_context *m_context = nullptr;
};

} // namespace crocuslane
