#pragma once

#include "kernel/plugin.h"
#include "logstream/group_writer.h"
#include "plugins/claims/claim_ledger.h"
#include "services/claim_registry.h"

#include <memory>

namespace crocuslane {

/// Settings of a deployment. A daemon may offer them in the service registry before the start.
struct claim_settings {
    /// How long after the time in its key a call may be claimed. The log must keep records for a minute longer.
    duration window = std::chrono::hours(1);
};

/// Switches a mechanism off in controls of proofs; no setting of a daemon leads here.
struct claim_controls {
    /// False: a claim is granted when its append is acknowledged, and refused only for claims read before.
    bool decidesByLogOrder = true;
    /// False: a claim that was not read back in time counts as not run although it may be granted and sent later.
    bool stopsUndecidedClaims = true;
};

/// Calls that may not be repeated: the first valid claim of an idempotency key on the log may send the call.
class claims_plugin : public plugin, public claim_registry
{
public:
    explicit claims_plugin(claim_controls controls = {});

    std::string_view name() const override;
    std::vector<std::string_view> dependencies() const override;
    void initialize(plugin_context &context) override;
    void start(action_list &actions) override;
    void handle(const event &event, action_list &actions) override;
    steady_time nextDeadline() const override;
    bool isIdle() const override;
    void describe(nlohmann::json &status) const override;

    void claim(const service_call &call, const caller &caller) override;
    bool confirmSend(const request_id &request) override;
    void recordOutcome(const request_id &request, std::uint32_t status, const std::string &body) override;
    void recordNotRun(const request_id &request) override;

private:
    /// A claim of this process until its outcome is recorded.
    struct own_claim {
        claim_key key;
        claimant by;
        std::string bodyHash;
        steady_time received;
        entry_ticket ticket = 0;
        bool isGranted = false;
    };

    void read(const read_entry &entry);
    void settle(const claim_entry &claim, std::optional<claim_invalidity> invalidity);
    void answerKnown(const request_id &request, const known_claim &known, const std::string &bodyHash);
    void decide(claim_decided decision, std::string_view detail);
    void refuse(const request_id &request, error_code reason);
    void endOverdue(steady_time now);
    void appendOutcome(const own_claim &claim, execution_state execution, std::uint32_t status, std::string body);
    void grantAcknowledged(const std::vector<entry_ticket> &tickets);
    bool isOwn(const claimant &by) const;

    claim_controls m_controls;
    plugin_context *m_context = nullptr;
    stream_reader m_reader;
    std::unique_ptr<claim_ledger> m_ledger;
    std::unique_ptr<group_writer> m_writer;
    /// Own claims that are undecided, or granted and without outcome.
    std::map<request_id, own_claim> m_own;
    std::uint64_t m_lastNumber = 0;
};

} // namespace crocuslane
