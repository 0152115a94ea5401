#include "edge/traffic_metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <map>
#include <unordered_map>

namespace crocuslane {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned binCount = 40;
constexpr double shortestSeconds = 1e-6;
constexpr double longestSeconds = 1e3;

using logarithmic_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using seconds_histogram = histogram::histogram<std::tuple<logarithmic_axis>>;

/// Durations in seconds on a logarithmic axis.
class duration_histogram
{
public:
    duration_histogram(std::string name, std::string help)
        : m_name(std::move(name))
        , m_help(std::move(help))
        , m_bins(histogram::make_histogram(logarithmic_axis(binCount, shortestSeconds, longestSeconds)))
    {
    }

    void add(duration value)
    {
        const double seconds = toSeconds(value);
        m_bins(std::max(seconds, shortestSeconds));
        m_sum += seconds;
        ++m_count;
    }

    void write(std::string &text) const
    {
        text += fmt::format("# HELP {} {}\n# TYPE {} histogram\n", m_name, m_help, m_name);
        double cumulativeCount = 0;
        for (auto &&bin : histogram::indexed(m_bins)) {
            cumulativeCount += *bin;
            text += fmt::format("{}_bucket{{le=\"{:.6g}\"}} {:.0f}\n", m_name, bin.bin().upper(), cumulativeCount);
        }
        text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n{}_sum {:.6f}\n{}_count {}\n",
                            m_name,
                            m_count,
                            m_name,
                            m_sum,
                            m_name,
                            m_count);
    }

private:
    std::string m_name;
    std::string m_help;
    seconds_histogram m_bins;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

struct request_times {
    steady_time received;
    steady_time lastToken;
    bool hasFirstToken = false;
};

} // namespace

struct traffic_metrics::private_data {
    explicit private_data(const clock &clock)
        : time(clock)
    {
    }

    void begin(const request_id &request)
    {
        requests[request] = {time.steadyNow(), {}, false};
        ++received;
    }

    void end(const request_id &request, std::string_view outcome)
    {
        ++outcomes[std::string(outcome)];
        const auto found = requests.find(request);
        if (found != requests.end()) {
            requestDuration.add(time.steadyNow() - found->second.received);
            requests.erase(found);
        }
    }

    void recordToken(const request_id &request)
    {
        ++tokens;
        const auto found = requests.find(request);
        if (found == requests.end()) {
            return;
        }
        request_times &times = found->second;
        const steady_time now = time.steadyNow();
        if (times.hasFirstToken) {
            tokenGap.add(now - times.lastToken);
        } else {
            firstToken.add(now - times.received);
        }
        times.hasFirstToken = true;
        times.lastToken = now;
    }

    const clock &time;
    std::unordered_map<request_id, request_times> requests;
    std::uint64_t received = 0;
    std::uint64_t tokens = 0;
    std::uint64_t attempts = 0;
    std::uint64_t attemptFailures = 0;
    std::uint64_t peerBytesSent = 0;
    std::uint64_t exceptions = 0;
    std::size_t evacuatedZones = 0;
    /// Refusals of forwarded requests, by reason.
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> outcomes;
    duration_histogram firstToken{"crocuslane_first_token_seconds", "Time from a request to its first token"};
    duration_histogram tokenGap{"crocuslane_token_gap_seconds", "Time between two tokens of an answer"};
    duration_histogram requestDuration{"crocuslane_request_seconds", "Time from a request to the end of its answer"};
    duration_histogram step{"crocuslane_decision_step_seconds", "Time to handle one event in the decision code"};
    duration_histogram loopDelay{"crocuslane_loop_delay_seconds", "How late the event loop calls its timers"};
};

traffic_metrics::traffic_metrics(const clock &clock)
    : d(std::make_unique<private_data>(clock))
{
}

traffic_metrics::~traffic_metrics() = default;

void traffic_metrics::observe(const event &event)
{
    if (const auto *model = std::get_if<model_request_received>(&event)) {
        d->begin(model->request.request);
    } else if (const auto *call = std::get_if<service_call_received>(&event)) {
        d->begin(call->call.request);
    } else if (const auto *abandoned = std::get_if<request_abandoned>(&event)) {
        d->end(abandoned->request, "abandoned");
    } else if (std::holds_alternative<attempt_failed>(event)) {
        ++d->attemptFailures;
    }
}

void traffic_metrics::observe(const action &action)
{
    if (const auto *token = std::get_if<send_token>(&action)) {
        d->recordToken(token->request);
    } else if (const auto *finished = std::get_if<finish_answer>(&action)) {
        d->end(finished->request, "served");
    } else if (const auto *answered = std::get_if<answer_call>(&action)) {
        d->end(answered->request, "served");
    } else if (const auto *refused = std::get_if<refuse_request>(&action)) {
        d->end(refused->request, toName(refused->error.code));
    } else if (const auto *forward = std::get_if<refuse_forward>(&action)) {
        ++d->refusals[std::string(toName(forward->reason))];
    } else if (std::holds_alternative<start_attempt>(action) || std::holds_alternative<start_call>(action)) {
        ++d->attempts;
    }
}

void traffic_metrics::observeStep(duration time)
{
    d->step.add(time);
}

void traffic_metrics::observeLoopDelay(duration delay)
{
    d->loopDelay.add(delay);
}

void traffic_metrics::countException()
{
    ++d->exceptions;
}

void traffic_metrics::setPeerBytesSent(std::uint64_t bytes)
{
    d->peerBytesSent = bytes;
}

void traffic_metrics::setEvacuatedZones(std::size_t count)
{
    d->evacuatedZones = count;
}

std::string traffic_metrics::text() const
{
    std::string text;
    const auto counter = [&text](std::string_view name, std::string_view help, std::uint64_t value) {
        text += fmt::format("# HELP {0} {1}\n# TYPE {0} counter\n{0} {2}\n", name, help, value);
    };
    counter("crocuslane_requests_total", "Requests received", d->received);
    counter("crocuslane_tokens_total", "Tokens sent to callers", d->tokens);
    counter("crocuslane_attempts_total", "Attempts at backend servers", d->attempts);
    counter("crocuslane_attempt_failures_total", "Attempts without a complete answer", d->attemptFailures);
    counter("crocuslane_peer_bytes_total", "Bytes sent to other entry VMs", d->peerBytesSent);
    counter("crocuslane_exceptions_total", "Messages dropped because of an unexpected exception", d->exceptions);
    text += "# HELP crocuslane_outcomes_total Ended requests by outcome\n# TYPE crocuslane_outcomes_total counter\n";
    for (const auto &[outcome, count] : d->outcomes) {
        text += fmt::format("crocuslane_outcomes_total{{outcome=\"{}\"}} {}\n", outcome, count);
    }
    text += fmt::format("# HELP crocuslane_requests_in_progress Requests in progress\n"
                        "# TYPE crocuslane_requests_in_progress gauge\ncrocuslane_requests_in_progress {}\n",
                        d->requests.size());
    text += "# HELP crocuslane_refusals_total Refused forwarded requests by reason\n"
            "# TYPE crocuslane_refusals_total counter\n";
    for (const auto &[reason, count] : d->refusals) {
        text += fmt::format("crocuslane_refusals_total{{reason=\"{}\"}} {}\n", reason, count);
    }
    text += fmt::format("# HELP crocuslane_evacuated_zones Availability zones whose runners get no requests\n"
                        "# TYPE crocuslane_evacuated_zones gauge\ncrocuslane_evacuated_zones {}\n",
                        d->evacuatedZones);
    d->firstToken.write(text);
    d->tokenGap.write(text);
    d->requestDuration.write(text);
    d->step.write(text);
    d->loopDelay.write(text);
    return text;
}

} // namespace crocuslane
