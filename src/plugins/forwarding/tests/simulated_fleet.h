#pragma once

#include "base/random_source.h"
#include "kernel/kernel.h"
#include "services/member_view.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace crocuslane {

/// Entry VMs with the decision code of forwarded requests, runners that a prompt part crashes, and the messages between
/// the VMs. Time passes in steps of 10 ms.
class simulated_fleet
{
public:
    static constexpr std::uint64_t sharedPart = 1;
    static constexpr std::uint64_t crashingPart = 0xbad;
    static constexpr std::uint64_t crashingFingerprint = 0xdead;

    struct sent_request {
        steady_time at;
        std::size_t vm = 0;
        bool isCrashing = false;
        std::string runner;
    };

    simulated_fleet(std::size_t vmCount, std::size_t runnerCount);
    ~simulated_fleet();

    /// Sends a request at the VM with number @p vm; its prompt is sharedPart, @p part, and a part of its own.
    void send(std::size_t vm, std::uint64_t part);
    /// Sends the request that crashes each runner, again under a new id. Its parts are sharedPart and @p part, or it
    /// has no prompt.
    void sendCrashingRequest(std::size_t vm, std::optional<std::uint64_t> part);
    void run(duration time);
    /// Replaces the VM by a new process.
    void restart(std::size_t vm);
    /// Whether requests with the crashing part end their runners (as at the beginning) or are answered.
    void setCrashing(bool isCrashing);
    /// Ends a running runner for a reason of its own.
    void endRandomRunner();
    /// Six tenths of the runners lose this share of their answers, without ending.
    void setLostAnswers(double share);

    /// From now on, the first @p count runners state this limit in their answers; without a value they state none.
    void setLimit(std::size_t count, std::optional<double> requestsPerSecond);
    /// The VM neither receives nor sends messages, as if it were cut off from the other VMs.
    void setCut(std::size_t vm, bool isCut);
    /// The VM stands still: it handles nothing until it is released.
    void setFrozen(std::size_t vm, bool isFrozen);

    steady_time now() const;
    std::size_t vmCount() const;
    /// Most requests that one of the runners with a limit got in any @p window that began after @p from. Requests of
    /// the VMs in @p excused don't count.
    std::size_t
    mostArrivalsAtLimited(steady_time from, duration window, const std::set<std::size_t> &excused = {}) const;
    /// Requests that reached runners with a limit after @p time.
    std::size_t arrivalsAtLimitedAfter(steady_time time) const;
    const std::vector<steady_time> &crashes() const;
    /// Crashing requests that reached a running runner after @p time.
    std::size_t crashingRequestsSentAfter(steady_time time) const;
    /// Refusals with the given reason since the last call of clearRefusals(), by VM.
    std::map<std::size_t, std::size_t> refusals(refusal_reason reason) const;
    void clearRefusals();
    /// Sound requests that were refused because they, or a part of them, were taken for the cause of crashes.
    std::size_t refusedSoundRequests() const;
    /// Sound requests that failed, and failed again when their callers repeated them.
    std::size_t failedSoundRequests() const;
    std::size_t answered(std::uint64_t part) const;
    /// Most parts and runners in one message between VMs.
    std::size_t largestMessage() const;
    /// Log lines of all VMs with the given name.
    std::size_t logLines(std::string_view event) const;

private:
    struct vm;
    struct attempt;
    struct message;
    struct known_request {
        forward_request content;
        std::uint64_t part = 0;
        bool isCrashing = false;
        bool isRepeated = false;
    };
    struct planned_repeat {
        steady_time at;
        known_request request;
    };

    void step();
    void start(std::size_t number);
    void sendKnown(std::size_t number, known_request request);
    void repeatFailed();
    void refused(std::size_t number, const refuse_forward &action);
    void handle(std::size_t number, event event);
    void apply(std::size_t number, const action_list &actions);
    void startForward(std::size_t number, const start_forward &action);
    void progress();
    void crash(std::string runner);
    void updateRunners();
    void sendList(std::size_t number);
    void sendToPeer(std::size_t number, const send_to_peer &action);

    manual_clock m_clock;
    std::vector<std::unique_ptr<vm>> m_vms;
    std::shared_ptr<forward_configuration> m_configuration;
    /// Runners that are listed; the value is when the entry is removed.
    std::map<std::string, std::optional<steady_time>> m_listed;
    std::set<std::string> m_running;
    std::set<std::string> m_limited;
    std::optional<double> m_limit;
    std::set<std::size_t> m_cut;
    std::set<std::size_t> m_frozen;
    std::deque<steady_time> m_starts;
    std::size_t m_runnerNumber = 0;
    std::vector<attempt> m_attempts;
    std::vector<message> m_messages;
    std::map<std::string, known_request> m_known;
    std::deque<planned_repeat> m_repeats;
    std::size_t m_failedSoundRequests = 0;
    std::vector<steady_time> m_crashes;
    std::vector<sent_request> m_sent;
    std::map<refusal_reason, std::map<std::size_t, std::size_t>> m_refusals;
    std::map<std::uint64_t, std::size_t> m_answered;
    std::map<std::string, std::size_t, std::less<>> m_logLines;
    std::uint64_t m_requests = 0;
    double m_lostAnswers = 0.0;
    bool m_isCrashing = true;
    std::size_t m_refusedSoundRequests = 0;
    std::size_t m_largestMessage = 0;
    seeded_random m_random{7};
};

} // namespace crocuslane
