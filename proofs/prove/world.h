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

/// Mechanisms that a control switches off.
struct world_controls {
    publication_controls publication;
    claim_controls claims;
    billing_controls billing;
    lease_controls leases;
    /// False: every version may serve every request.
    bool checksRights = true;
    /// False: the session token of a request is ignored.
    bool keepsSessions = true;
    /// False: no VM learns that a backend server is leaving.
    bool showsLeaving = true;
    /// False: a process ends as soon as a stop is requested.
    bool drains = true;
    /// False: a call whose connection was lost after the send is reported as not sent.
    bool reportsLostCalls = true;
    /// False: tokens of an old attempt are taken for tokens of the newest attempt at the VM.
    bool separatesAttempts = true;
};

/// Entry VMs with all plug-ins, and small fakes at their interfaces, under one manual clock.
class world
{
public:
    struct options {
        std::size_t vms = 3;
        /// How long the log keeps records.
        duration retention = std::chrono::seconds(60);
        world_controls controls;
    };

    world(options options, std::uint64_t seed);
    ~world();

    manual_clock &time();
    random_source &random();
    const history &observations() const;
    std::uint64_t events() const;
    std::uint64_t faults() const;
    std::size_t vmCount() const;

    void at(duration offset, std::function<void()> what);
    void run(duration length);
    void finish();

    // Callers.
    /// Sends the text, with "# number" added, through a VM as the successor of the VM's version.
    void publish(std::size_t vm, const std::string &text, std::uint64_t replaces);
    std::uint64_t versionAt(std::size_t vm) const;
    /// A call that may not be repeated; the caller tries up to three VMs with the same key.
    void call(const std::string &request, const std::string &key, std::size_t vm);
    /// A model request of an organisation; repeated at other VMs with what was received. @p wanted names a version, or
    /// is empty.
    void ask(const std::string &request,
             const std::string &organisation,
             const std::string &sessionOf,
             std::size_t vm,
             const std::string &wanted);

    // Faults. All but kill and leave end after @p length.
    void failLog(std::optional<std::size_t> vm, duration length);
    void loseAnswers(duration length);
    void delayAppends(duration length);
    void slowReads(duration length);
    void pause(std::size_t vm, duration length, bool beforeActions);
    void kill(std::size_t vm, duration downTime);
    void cut(std::set<std::size_t> side, duration length, bool fromLogToo);
    void silence(std::size_t from, std::size_t to, duration length);
    void failBackends(duration length);
    void freezeVmList(duration length);
    void leave(std::size_t runner);
    void stop(std::size_t vm);

private:
    struct private_data;
    std::unique_ptr<private_data> m_data;
};

/// Tokens of the whole answer to a request.
std::uint32_t answerLength(const std::string &request);
/// Operators' text with a version small@2 in the given state.
std::string configurationText(const std::string &stateOfSecond);

} // namespace crocuslane
