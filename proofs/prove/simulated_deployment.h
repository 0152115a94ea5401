#pragma once

#include "history.h"

#include "plugins/billing/billing_plugin.h"
#include "plugins/claims/claims_plugin.h"
#include "plugins/duties/lease_manager.h"
#include "plugins/publication/publication_settings.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace crocuslane {

/// Disables single mechanisms, so that a control run can show that the checkers detect their absence.
struct deployment_controls {
    publication_controls publication;
    claim_controls claims;
    billing_controls billing;
    lease_controls leases;
    /// False: every version may serve every request.
    bool checksPermissions = true;
    /// False: the session token of a request is ignored.
    bool keepsSessions = true;
    /// False: the VM list and the load reports do not show that a backend server is leaving.
    bool announcesLeaving = true;
    /// False: a process ends as soon as a stop is requested.
    bool drains = true;
    /// False: a call whose connection was lost after the send is reported as not sent.
    bool reportsLostCalls = true;
    /// False: tokens of an earlier attempt are delivered as tokens of the newest attempt at the VM.
    bool separatesAttempts = true;
};

/// Entry VMs with all plug-ins, connected to simulated platform services, backend servers and callers, and driven by
/// one manual clock. The same options and seed give the same history.
class simulated_deployment
{
public:
    struct options {
        std::size_t vms = 3;
        /// How long the log keeps records.
        duration retention = std::chrono::seconds(60);
        deployment_controls controls;
    };

    simulated_deployment(options options, std::uint64_t seed);
    ~simulated_deployment();

    manual_clock &time();
    random_source &random();
    const history &observations() const;
    std::uint64_t events() const;
    std::uint64_t faults() const;
    std::size_t vmCount() const;

    void at(duration offset, std::function<void()> task);
    void run(duration length);
    void finish();

    // Callers.
    /// Publishes the text, after a unique first line "# NUMBER", through a VM as the successor of version @p replaces.
    void publish(std::size_t vm, const std::string &text, std::uint64_t replaces);
    std::uint64_t versionAt(std::size_t vm) const;
    /// Calls an operation that must not be repeated. The caller tries up to three VMs with the same idempotency key.
    void sendServiceCall(const std::string &request, const std::string &key, std::size_t vm);
    /// Sends a model request. After a failure the caller continues at another VM behind the tokens it has received. An
    /// earlier @p sessionRequest continues that request's session; @p requestedVersion may be empty.
    void sendModelRequest(const std::string &request,
                          const std::string &organisation,
                          const std::string &sessionRequest,
                          std::size_t vm,
                          const std::string &requestedVersion);

    // Faults. All but kill, leave and stop end after @p length. The function names are the names of the faults in the
    // history.

    /// Makes the log unreachable for one VM, or for all without a @p vm.
    void failLog(std::optional<std::size_t> vm, duration length);
    /// Half of the appends are stored, but their answers are lost.
    void loseAnswers(duration length);
    /// Half of the appends take effect 1 s to 6 s later, and their answers are lost.
    void delayAppends(duration length);
    void slowReads(duration length);
    /// Suspends a process. With @p beforeActions it is suspended after its next decision, before the actions take
    /// effect.
    void pause(std::size_t vm, duration length, bool beforeActions);
    void kill(std::size_t vm, duration downtime);
    /// Separates a group of VMs from the others, and from the log with @p alsoFromLog.
    void cut(std::set<std::size_t> group, duration length, bool alsoFromLog);
    /// Drops the messages in one direction between two VMs.
    void silence(std::size_t from, std::size_t to, duration length);
    /// Some calls are not sent or lose their connection, and some token streams stall.
    void failBackends(duration length);
    /// VMs read an outdated VM list.
    void freezeVmList(duration length);
    /// Marks a runner as leaving.
    void leave(std::size_t runner);
    /// Requests a planned stop of a process.
    void stop(std::size_t vm);

private:
    struct private_data;
    std::unique_ptr<private_data> m_data;
};

/// Number of tokens of the complete answer to a request.
std::uint32_t answerLength(const std::string &request);
/// Configuration text in which the version small@2 has the given state.
std::string configurationText(const std::string &stateOfSmall2);

} // namespace crocuslane
