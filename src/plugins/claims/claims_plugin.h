#pragma once

#include "kernel/plugin.h"
#include "logstream/group_writer.h"
#include "plugins/claims/claim_ledger.h"
#include "services/claim_registry.h"

#include <memory>

namespace crocuslane {

/// Settings of the plug-in. A program may offer them in the service registry before the start.
struct claim_settings {
    /// How long after the time in its key a call may be claimed. The log must retain records at least a minute longer.
    duration window = std::chrono::hours(1);
};

/// Disables single mechanisms, so that the proof program can show that its checks detect their absence. No setting of
/// the daemon changes these values.
struct claim_controls {
    /// False: a claim is granted when its append is acknowledged, and refused only for claims read before.
    bool decidesByLogOrder = true;
    /// False: a claim that was not read back in time is reported as not run, although it may be granted and sent later.
    bool stopsUndecidedClaims = true;
};

/// Prevents repeated execution of calls that are not idempotent: only the first valid claim of an idempotency key in
/// the log may send the call.
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
    /// A claim of this process whose outcome is not recorded yet.
    struct own_claim {
        claim_key key;
        claimant by;
        std::string bodyHash;
        /// Arrival time of the request.
        steady_time receivedAt;
        entry_ticket ticket = 0;
        bool isGranted = false;
    };

    void handleEntry(const read_entry &entry);
    void decideOwnClaim(const claim_entry &claim, std::optional<claim_rejection> rejection);
    void answerFromGrantedClaim(const request_id &request, const granted_claim &granted, const std::string &bodyHash);
    void postDecision(claim_decided decision, std::string_view detail);
    void refuse(const request_id &request, error_code reason);
    void failOverdueClaims(steady_time now);
    void appendOutcome(const own_claim &claim, execution_state execution, std::uint32_t status, std::string body);
    void grantAcknowledged(const std::vector<entry_ticket> &tickets);
    bool isFromThisProcess(const claimant &by) const;

    claim_controls m_controls;
    plugin_context *m_context = nullptr;
    stream_reader m_reader;
    std::unique_ptr<claim_ledger> m_ledger;
    std::unique_ptr<group_writer> m_writer;
    /// Claims of this process that are undecided, or granted without an outcome.
    std::map<request_id, own_claim> m_ownClaims;
    std::uint64_t m_lastClaimNumber = 0;
};

} // namespace crocuslane
