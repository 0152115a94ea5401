#include "checkers.h"

#include "simulated_deployment.h"

#include <map>
#include <set>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;
/// Process and request.
using submission_id = std::pair<std::string, std::string>;

// Freshness limit of 6 s, plus 1 s for requests that were decided just before it.
constexpr duration maximumStaleness = 7s;
// Interval of the load reports (1 s), plus the time that a VM may be paused before its configuration counts as stale.
constexpr duration maximumLeavingDelay = 8s;

std::string describe(const observation &observed)
{
    return observed.process + " " + observed.request + " at "
        + std::to_string(toSeconds(observed.at.time_since_epoch()) - toSeconds(24h)) + " s";
}

bool hasRun(const observation &observed)
{
    return observed.kind == observation_kind::call_run || observed.kind == observation_kind::attempt_run;
}

/// Calls @p check for the first attempt of each submission of a request to a VM.
template<typename function>
void forEachNewlyServed(const history &history, function check)
{
    std::set<submission_id> served;
    for (const observation &observed : history) {
        const submission_id id{observed.process, observed.request};
        if (observed.kind == observation_kind::sent) {
            served.erase(id);
        } else if (observed.kind == observation_kind::served && served.insert(id).second) {
            check(observed);
        }
    }
}

} // namespace

std::string toText(const observation &observed)
{
    constexpr std::size_t maximumTextLength = 60;
    static const std::vector<std::string> kinds = {"fault",
                                                   "sent",
                                                   "served",
                                                   "call_run",
                                                   "attempt_run",
                                                   "token",
                                                   "answered",
                                                   "refused",
                                                   "accepted",
                                                   "in_force",
                                                   "bill_logged",
                                                   "bills_counted",
                                                   "two_holders",
                                                   "leaving",
                                                   "stop_requested",
                                                   "stopped",
                                                   "killed"};
    std::string line = describe(observed) + " " + kinds.at(static_cast<std::size_t>(observed.kind));
    if (observed.kind == observation_kind::refused) {
        line += " " + std::string(toName(observed.code)) + " " + std::string(toName(observed.execution));
    }
    return line + " number=" + std::to_string(observed.number) + " version=" + observed.version
        + " runner=" + observed.runner + " text=" + observed.text.substr(0, maximumTextLength);
}

violation_list checkBooking(const history &history)
{
    violation_list violations;
    std::map<std::string, std::string> runs;
    for (const observation &observed : history) {
        if (observed.kind != observation_kind::call_run) {
            continue;
        }
        const auto [first, isNew] = runs.try_emplace(observed.text, describe(observed));
        if (!isNew) {
            violations.push_back("key " + observed.text + " was run by " + first->second + " and by "
                                 + describe(observed));
        }
    }
    return violations;
}

violation_list checkRefusal(const history &history)
{
    struct submission_state {
        bool hasRun = false;
        bool wasRefused = false;
    };
    violation_list violations;
    std::map<submission_id, submission_state> submissions;
    std::set<std::string> keysRun;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::call_run) {
            keysRun.insert(observed.text);
        }
    }
    for (const observation &observed : history) {
        submission_state &submission = submissions[{observed.process, observed.request}];
        const bool wasNotRun =
            observed.kind == observation_kind::refused && observed.execution == execution_state::not_run;
        if (observed.kind == observation_kind::sent) {
            submission = {};
        } else if (hasRun(observed)) {
            if (submission.wasRefused) {
                violations.push_back("run after refusal as not_run: " + describe(observed));
            }
            submission.hasRun = true;
        } else if (wasNotRun) {
            if (submission.hasRun) {
                violations.push_back("refused as not_run after a run: " + describe(observed));
            }
            // An idempotency key identifies one call, so a refusal applies to all submissions of the key.
            if (!observed.text.empty() && keysRun.contains(observed.text)) {
                violations.push_back("refused as not_run, but the key ran: " + describe(observed));
            }
            submission.wasRefused = true;
        }
    }
    return violations;
}

violation_list checkConfiguration(const history &history)
{
    violation_list violations;
    std::map<std::uint64_t, std::string> texts;
    std::map<std::string, std::uint64_t> versions;
    std::map<std::uint64_t, steady_time> accepted;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::in_force) {
            const auto [text, isNew] = texts.try_emplace(observed.number, observed.text);
            if (!isNew && text->second != observed.text) {
                violations.push_back("different texts of version " + std::to_string(observed.number) + ": "
                                     + describe(observed));
            }
            if (observed.number < versions[observed.process]) {
                violations.push_back("version decreased: " + describe(observed));
            }
            versions[observed.process] = observed.number;
        } else if (observed.kind == observation_kind::accepted
                   && !accepted.try_emplace(observed.number, observed.at).second) {
            violations.push_back("two publications accepted as one version: " + describe(observed));
        }
    }
    forEachNewlyServed(history, [&](const observation &observed) {
        for (const auto &[version, at] : accepted) {
            if (observed.number < version && observed.at > at + maximumStaleness) {
                violations.push_back("served under version " + std::to_string(observed.number) + " after "
                                     + std::to_string(version) + " was accepted: " + describe(observed));
                return;
            }
        }
    });
    return violations;
}

violation_list checkBilling(const history &history)
{
    violation_list violations;
    std::map<std::string, std::set<std::string>> billed;
    std::set<std::string> billedRequests;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::bill_logged) {
            billed[observed.organisation].insert(observed.request);
            billedRequests.insert(observed.request);
        }
    }
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::answered && !observed.version.empty()
            && !billedRequests.contains(observed.request)) {
            violations.push_back("answered without a bill: " + describe(observed));
        }
        if (observed.kind == observation_kind::bills_counted
            && observed.number != billed[observed.organisation].size()) {
            violations.push_back(observed.process + " counts " + std::to_string(observed.number) + " bills of "
                                 + observed.organisation + " for "
                                 + std::to_string(billed[observed.organisation].size()) + " requests");
        }
    }
    return violations;
}

violation_list checkLeases(const history &history)
{
    violation_list violations;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::two_holders) {
            violations.push_back("two holders: " + observed.text + describe(observed));
        }
    }
    return violations;
}

violation_list checkWithdrawal(const history &history)
{
    violation_list violations;
    std::map<std::uint64_t, bool> withdraws;
    std::optional<steady_time> withdrawnAt;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::in_force) {
            withdraws[observed.number] =
                observed.text.find("[version small@2]\nstate = withdrawn") != std::string::npos;
        } else if (observed.kind == observation_kind::accepted && withdraws[observed.number] && !withdrawnAt) {
            withdrawnAt = observed.at;
        }
    }
    forEachNewlyServed(history, [&](const observation &observed) {
        if (withdrawnAt && observed.version == "small@2" && observed.at > *withdrawnAt + maximumStaleness) {
            violations.push_back("withdrawn version served a request: " + describe(observed));
        }
    });
    return violations;
}

violation_list checkPermission(const history &history)
{
    violation_list violations;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::attempt_run && observed.organisation == "beta"
            && observed.version != "small@1") {
            violations.push_back("beta ran on " + observed.version + ": " + describe(observed));
        }
    }
    return violations;
}

violation_list checkSession(const history &history)
{
    violation_list violations;
    std::map<std::string, std::string> expected;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::sent && !observed.version.empty()) {
            expected[observed.request] = observed.version;
        }
        const auto found = expected.find(observed.request);
        if (observed.kind == observation_kind::attempt_run && found != expected.end()
            && found->second != observed.version) {
            violations.push_back("session of " + found->second + " ran on " + observed.version + ": "
                                 + describe(observed));
        }
    }
    return violations;
}

violation_list checkAnswers(const history &history)
{
    violation_list violations;
    std::map<std::string, std::uint64_t> received;
    std::map<std::string, std::string> versions;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::token) {
            const std::string expected = observed.request + ":" + std::to_string(received[observed.request]++) + ":";
            if (!observed.text.starts_with(expected)) {
                violations.push_back("received " + observed.text + " instead of " + expected + ": "
                                     + describe(observed));
                continue;
            }
            const std::string version = observed.text.substr(expected.size());
            if (versions.try_emplace(observed.request, version).first->second != version) {
                violations.push_back("answer contains tokens of several versions: " + describe(observed));
            }
        } else if (observed.kind == observation_kind::answered && !observed.version.empty()
                   && received[observed.request] != answerLength(observed.request)) {
            violations.push_back("answer ends after " + std::to_string(received[observed.request]) + " of "
                                 + std::to_string(answerLength(observed.request)) + " tokens: " + describe(observed));
        }
    }
    return violations;
}

violation_list checkLeaving(const history &history)
{
    violation_list violations;
    std::map<std::string, steady_time> leaving;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::leaving) {
            leaving.try_emplace(observed.runner, observed.at);
        }
        const auto found = leaving.find(observed.runner);
        if (observed.kind == observation_kind::served && found != leaving.end()
            && observed.at > found->second + maximumLeavingDelay) {
            violations.push_back("leaving runner " + observed.runner + " received a request: " + describe(observed));
        }
    }
    return violations;
}

violation_list checkShutdown(const history &history)
{
    violation_list violations;
    std::set<std::string> stopping;
    for (const observation &observed : history) {
        if (observed.kind == observation_kind::stop_requested) {
            stopping.insert(observed.process);
        } else if (observed.kind == observation_kind::killed) {
            stopping.erase(observed.process);
        } else if (observed.kind == observation_kind::stopped) {
            stopping.erase(observed.process);
            if (observed.number > 0) {
                violations.push_back("stop interrupted " + observed.text + ": " + describe(observed));
            }
        }
    }
    for (const std::string &process : stopping) {
        violations.push_back("stop has not ended: " + process);
    }
    return violations;
}

} // namespace crocuslane
