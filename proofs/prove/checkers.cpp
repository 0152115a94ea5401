#include "checkers.h"

#include "world.h"

#include <map>
#include <set>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;
using try_id = std::pair<std::string, std::string>;

// Freshness limit, and one second for the request that was decided last.
constexpr duration staleLimit = 7s;
// Interval of the load reports, plus the time that a VM may stand still without losing its freshness.
constexpr duration leavingLimit = 8s;

std::string describe(const observation &seen)
{
    return seen.process + " " + seen.request + " at "
        + std::to_string(toSeconds(seen.at.time_since_epoch()) - toSeconds(24h)) + " s";
}

bool hasRun(const observation &seen)
{
    return seen.kind == observation_kind::call_run || seen.kind == observation_kind::attempt_run;
}

/// Calls @p check for the first attempt of each new request at a VM.
template<typename function>
void forEachNewlyServed(const history &history, function check)
{
    std::set<try_id> served;
    for (const observation &seen : history) {
        const try_id id{seen.process, seen.request};
        if (seen.kind == observation_kind::sent) {
            served.erase(id);
        } else if (seen.kind == observation_kind::served && served.insert(id).second) {
            check(seen);
        }
    }
}

} // namespace

std::string toText(const observation &seen)
{
    constexpr std::size_t shownText = 60;
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
    std::string line = describe(seen) + " " + kinds.at(static_cast<std::size_t>(seen.kind));
    if (seen.kind == observation_kind::refused) {
        line += " " + std::string(toName(seen.code)) + " " + std::string(toName(seen.execution));
    }
    return line + " number=" + std::to_string(seen.number) + " version=" + seen.version + " runner=" + seen.runner
        + " text=" + seen.text.substr(0, shownText);
}

violation_list checkBooking(const history &history)
{
    violation_list violations;
    std::map<std::string, std::string> runs;
    for (const observation &seen : history) {
        if (seen.kind != observation_kind::call_run) {
            continue;
        }
        const auto [first, isNew] = runs.try_emplace(seen.text, describe(seen));
        if (!isNew) {
            violations.push_back("key " + seen.text + " ran by " + first->second + " and by " + describe(seen));
        }
    }
    return violations;
}

violation_list checkRefusal(const history &history)
{
    struct try_state {
        bool hasRun = false;
        bool wasRefused = false;
    };
    violation_list violations;
    std::map<try_id, try_state> tries;
    std::set<std::string> keysRun;
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::call_run) {
            keysRun.insert(seen.text);
        }
    }
    for (const observation &seen : history) {
        try_state &state = tries[{seen.process, seen.request}];
        const bool isNotRun = seen.kind == observation_kind::refused && seen.execution == execution_state::not_run;
        if (seen.kind == observation_kind::sent) {
            state = {};
        } else if (hasRun(seen)) {
            if (state.wasRefused) {
                violations.push_back("run after not_run: " + describe(seen));
            }
            state.hasRun = true;
        } else if (isNotRun) {
            if (state.hasRun) {
                violations.push_back("not_run after a run: " + describe(seen));
            }
            // A key names one call, so a refusal speaks of every try of it.
            if (!seen.text.empty() && keysRun.contains(seen.text)) {
                violations.push_back("not_run for a key that ran: " + describe(seen));
            }
            state.wasRefused = true;
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
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::in_force) {
            const auto [text, isNew] = texts.try_emplace(seen.number, seen.text);
            if (!isNew && text->second != seen.text) {
                violations.push_back("two texts of version " + std::to_string(seen.number) + ": " + describe(seen));
            }
            if (seen.number < versions[seen.process]) {
                violations.push_back("version went back: " + describe(seen));
            }
            versions[seen.process] = seen.number;
        } else if (seen.kind == observation_kind::accepted && !accepted.try_emplace(seen.number, seen.at).second) {
            violations.push_back("two publications accepted as one version: " + describe(seen));
        }
    }
    forEachNewlyServed(history, [&](const observation &seen) {
        for (const auto &[version, at] : accepted) {
            if (seen.number < version && seen.at > at + staleLimit) {
                violations.push_back("served under version " + std::to_string(seen.number) + " after "
                                     + std::to_string(version) + " was accepted: " + describe(seen));
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
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::bill_logged) {
            billed[seen.organisation].insert(seen.request);
            billedRequests.insert(seen.request);
        }
    }
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::answered && !seen.version.empty()
            && !billedRequests.contains(seen.request)) {
            violations.push_back("answered without a bill: " + describe(seen));
        }
        if (seen.kind == observation_kind::bills_counted && seen.number != billed[seen.organisation].size()) {
            violations.push_back(seen.process + " counts " + std::to_string(seen.number) + " bills of "
                                 + seen.organisation + " for " + std::to_string(billed[seen.organisation].size())
                                 + " requests");
        }
    }
    return violations;
}

violation_list checkLeases(const history &history)
{
    violation_list violations;
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::two_holders) {
            violations.push_back("two holders: " + seen.text + describe(seen));
        }
    }
    return violations;
}

violation_list checkWithdrawal(const history &history)
{
    violation_list violations;
    std::map<std::uint64_t, bool> withdraws;
    std::optional<steady_time> withdrawnAt;
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::in_force) {
            withdraws[seen.number] = seen.text.find("[version small@2]\nstate = withdrawn") != std::string::npos;
        } else if (seen.kind == observation_kind::accepted && withdraws[seen.number] && !withdrawnAt) {
            withdrawnAt = seen.at;
        }
    }
    forEachNewlyServed(history, [&](const observation &seen) {
        if (withdrawnAt && seen.version == "small@2" && seen.at > *withdrawnAt + staleLimit) {
            violations.push_back("withdrawn version got a request: " + describe(seen));
        }
    });
    return violations;
}

violation_list checkPermission(const history &history)
{
    violation_list violations;
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::attempt_run && seen.organisation == "beta" && seen.version != "small@1") {
            violations.push_back("beta ran on " + seen.version + ": " + describe(seen));
        }
    }
    return violations;
}

violation_list checkSession(const history &history)
{
    violation_list violations;
    std::map<std::string, std::string> expected;
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::sent && !seen.version.empty()) {
            expected[seen.request] = seen.version;
        }
        const auto found = expected.find(seen.request);
        if (seen.kind == observation_kind::attempt_run && found != expected.end() && found->second != seen.version) {
            violations.push_back("session of " + found->second + " ran on " + seen.version + ": " + describe(seen));
        }
    }
    return violations;
}

violation_list checkAnswers(const history &history)
{
    violation_list violations;
    std::map<std::string, std::uint64_t> received;
    std::map<std::string, std::string> versions;
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::token) {
            const std::string expected = seen.request + ":" + std::to_string(received[seen.request]++) + ":";
            if (!seen.text.starts_with(expected)) {
                violations.push_back("got " + seen.text + " in place of " + expected + ": " + describe(seen));
                continue;
            }
            const std::string version = seen.text.substr(expected.size());
            if (versions.try_emplace(seen.request, version).first->second != version) {
                violations.push_back("answer mixes versions: " + describe(seen));
            }
        } else if (seen.kind == observation_kind::answered && !seen.version.empty()
                   && received[seen.request] != answerLength(seen.request)) {
            violations.push_back("answer ends after " + std::to_string(received[seen.request]) + " of "
                                 + std::to_string(answerLength(seen.request)) + " tokens: " + describe(seen));
        }
    }
    return violations;
}

violation_list checkLeaving(const history &history)
{
    violation_list violations;
    std::map<std::string, steady_time> leaving;
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::leaving) {
            leaving.try_emplace(seen.runner, seen.at);
        }
        const auto found = leaving.find(seen.runner);
        if (seen.kind == observation_kind::served && found != leaving.end() && seen.at > found->second + leavingLimit) {
            violations.push_back("leaving runner " + seen.runner + " got a request: " + describe(seen));
        }
    }
    return violations;
}

violation_list checkShutdown(const history &history)
{
    violation_list violations;
    std::set<std::string> stopping;
    for (const observation &seen : history) {
        if (seen.kind == observation_kind::stop_requested) {
            stopping.insert(seen.process);
        } else if (seen.kind == observation_kind::killed) {
            stopping.erase(seen.process);
        } else if (seen.kind == observation_kind::stopped) {
            stopping.erase(seen.process);
            if (seen.number > 0) {
                violations.push_back("stop broke off " + seen.text + ": " + describe(seen));
            }
        }
    }
    for (const std::string &process : stopping) {
        violations.push_back("stop never ended: " + process);
    }
    return violations;
}

} // namespace crocuslane
