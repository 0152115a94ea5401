#include "kernel/plugin.h"
#include "plugins/routing/length_estimator.h"
#include "plugins/routing/prefix_index.h"
#include "plugins/routing/quantile_window.h"
#include "plugins/routing/runner_selector.h"
#include "plugins/routing/runner_table.h"
#include "plugins/routing/token_bucket.h"
#include "services/configuration_source.h"
#include "services/runner_picker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <unordered_map>

namespace crocuslane {

namespace {

constexpr std::size_t prefixCapacity = 65'536;
// Each attempt adds this share of its work to the hedge budget.
constexpr double hedgeWorkShare = 0.05;
constexpr double maximumHedgeTokens = 4000.0;
constexpr double initialHedgeTokens = 1000.0;
// Each attempt that succeeds adds this many retries to the retry budget.
constexpr double retriesPerAnswer = 0.1;
constexpr double maximumRetries = 50.0;
constexpr double initialRetries = 10.0;
// Quantile of the time to the first token after which a request is hedged.
constexpr double hedgeQuantile = 0.95;
constexpr std::size_t hedgeSampleWindow = 512;
constexpr std::size_t hedgeMinimumSamples = 40;
constexpr unsigned answersPerQuantileUpdate = 16;
constexpr std::chrono::milliseconds minimumHedgeDelay{20};
constexpr std::chrono::seconds minimumSilenceLimit{2};
// An attempt may be silent for this many typical token gaps.
constexpr int silenceLimitGaps = 20;
// Reading a prompt may take this many times the average observed time before the attempt counts as lost.
constexpr double promptSilenceFactor = 5.0;
constexpr double initialSecondsPerPromptToken = 0.0004;
// The time to the first token of a shorter prompt says little about the speed of reading prompts.
constexpr std::uint32_t minimumObservedPromptTokens = 512;
// Weight of the newest sample in the moving average of the time per prompt token.
constexpr double promptSpeedWeight = 0.05;
// Time to read a prompt token, relative to generating an output token. runner_selector.cpp uses the same value.
constexpr double promptTokenCost = 0.01;
// Part of the bandwidth of the link between regions that requests to runners of other regions may use. The link also
// has other traffic.
constexpr double spillLinkBytesPerSecond = 500'000.0;
constexpr double maximumSpillBytes = 2'000'000.0;
constexpr double bytesPerPromptToken = 4.0;
// A streamed token is sent as one event with its JSON frame.
constexpr double bytesPerOutputToken = 180.0;

double workTokens(const work_estimate &work)
{
    return promptTokenCost * work.promptTokens + work.outputTokens;
}

/// Selects runners for requests, estimates their load and speed, and limits hedges, retries and requests to other
/// regions.
class routing_plugin : public plugin, public runner_picker
{
public:
    std::string_view name() const override
    {
        return "routing";
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
        m_table = std::make_unique<runner_table>(context.node);
        m_selector = std::make_unique<runner_selector>(*m_table, m_prefixes, context.random);
        m_spillFilledAt = now();
        context.services.offer<runner_picker>(*this);
        context.services.offer<runner_use_exchange>(*this);
    }

    void start(action_list & /*actions*/) override
    {
        m_configuration = m_context->services.tryFind<configuration_source>();
    }

    void handle(const event &event, action_list &actions) override
    {
        if (const auto *list = std::get_if<vm_list_read>(&event)) {
            applyList(*list);
        } else if (const auto *report = std::get_if<runner_load_reported>(&event)) {
            m_table->applyReport(report->load, now());
            m_context->post(capacity_changed{});
        } else if (const auto *unreachable = std::get_if<runner_unreachable>(&event)) {
            m_table->applyUnreachable(unreachable->runner, now());
        } else if (const auto *cache = std::get_if<cache_events_reported>(&event)) {
            if (const std::optional<std::size_t> index = m_table->indexOf(cache->runner)) {
                m_prefixes.apply(*index, cache->events, now());
            }
        } else {
            return;
        }
        if (std::optional<watch_runners> watch = m_table->takeWatchChange(now())) {
            actions.push_back(std::move(*watch));
        }
    }

    void describe(nlohmann::json &status) const override
    {
        status["runners"] = m_table->size();
        status["attempts"] = m_attempts.size();
        status["hedgeBudgetTokens"] = m_hedgeBudget.level();
        status["retryBudget"] = m_retryBudget.level();
        status["spillBudgetBytes"] = m_spillBudget.level();
    }

    std::optional<runner_choice> pick(const pick_request &request) override
    {
        const runner_table::subset &subset = m_table->subsetOf(request.service, request.version);
        std::optional<std::size_t> chosen = m_selector->select(subset.local, request, now());
        if (!chosen && (request.maySpill || subset.local.empty())) {
            chosen = m_selector->select(subset.remote, request, now());
            if (chosen && !spendSpill(request.work)) {
                chosen.reset();
            }
        }
        if (!chosen) {
            return std::nullopt;
        }
        const runner_state &state = m_table->at(*chosen);
        return runner_choice{state.id, state.address};
    }

    bool hasRunner(const service_id &service, const version_id &version) const override
    {
        return m_table->hasRunner(service, version);
    }

    void attemptStarted(attempt_number number, const pick_request &request, const runner_id &runner) override
    {
        const std::optional<std::size_t> index = m_table->indexOf(runner);
        if (!index) {
            return;
        }
        runner_state &state = m_table->at(*index);
        state.changeOwnInFlight(+1, now());
        const double work = workTokens(request.work);
        state.ownRemainingTokens += work;
        m_prefixes.recordSentPrompt(*index, request.prefixHashes, now());
        m_attempts.emplace(number, attempt{runner, request.work, work, now(), {}, 0, request.version.isEmpty()});
        m_hedgeBudget.fill(hedgeWorkShare * work);
    }

    void tokenReceived(attempt_number number) override
    {
        const auto found = m_attempts.find(number);
        if (found == m_attempts.end()) {
            return;
        }
        attempt &attempt = found->second;
        runner_state *state = m_table->find(attempt.runner);
        if (!state) {
            return;
        }
        state->failures = 0;
        if (attempt.tokens == 0) {
            ++state->ownStreaming;
            state->speed.restartSilence(now());
            recordFirstToken(attempt);
        } else {
            const double inFlight = state->ownInFlight + state->othersInFlight(now());
            state->speed.addTokenGap(now() - attempt.lastToken, runner_state::expectedSlowdown(inFlight), now());
        }
        ++attempt.tokens;
        attempt.lastToken = now();
        // An answer that is longer than estimated counts as one token before its end, because most such answers end
        // soon.
        const double generatedTokens = std::min(1.0, std::max(0.0, attempt.remainingTokens - 1.0));
        attempt.remainingTokens -= generatedTokens;
        state->ownRemainingTokens -= generatedTokens;
    }

    void attemptEnded(attempt_number number, std::optional<attempt_failure> failure) override
    {
        const auto found = m_attempts.find(number);
        if (found == m_attempts.end()) {
            return;
        }
        const attempt ended = found->second;
        m_attempts.erase(found);
        if (!failure) {
            m_retryBudget.fill(retriesPerAnswer);
        }
        runner_state *state = m_table->find(ended.runner);
        if (!state || state->ownInFlight == 0) {
            return;
        }
        state->changeOwnInFlight(-1, now());
        state->ownRemainingTokens = std::max(0.0, state->ownRemainingTokens - ended.remainingTokens);
        if (ended.tokens > 0 && state->ownStreaming > 0) {
            --state->ownStreaming;
        }
        if (failure) {
            state->recordFailure(*failure, now());
            return;
        }
        state->failures = 0;
        if (ended.isPlainCall) {
            state->speed.addTokenGap(now() - ended.started, 1.0, now());
        }
    }

    work_estimate estimate(const model_request &request) const override
    {
        const std::shared_ptr<const configuration> current = m_configuration ? m_configuration->current() : nullptr;
        if (!current) {
            return m_lengths.estimate(request, nullptr);
        }
        const auto kind = current->kinds.find(request.kind);
        return m_lengths.estimate(request, kind == current->kinds.end() ? nullptr : &kind->second);
    }

    void answerFinished(const kind_id &kind, const token_usage &usage) override
    {
        m_lengths.addAnswer(kind, usage.outputTokens);
    }

    std::optional<duration> hedgeDelay(const work_estimate &work) const override
    {
        if (work.isLong || !m_hedgeDelay) {
            return std::nullopt;
        }
        return std::max<duration>(minimumHedgeDelay, *m_hedgeDelay);
    }

    bool spendHedge(const work_estimate &work) override
    {
        return m_hedgeBudget.take(workTokens(work));
    }

    bool spendRetry() override
    {
        return m_retryBudget.take(1.0);
    }

    duration silenceLimit(const runner_id &runner, const work_estimate &work) const override
    {
        const duration promptTime = fromSeconds(promptSilenceFactor * m_secondsPerPromptToken * work.promptTokens);
        const duration limit = std::max<duration>(minimumSilenceLimit, promptTime);
        const std::optional<std::size_t> index = m_table->indexOf(runner);
        return index ? std::max<duration>(limit, m_table->at(*index).speed.typicalGap() * silenceLimitGaps) : limit;
    }

    std::vector<runner_use> localUse() const override
    {
        return m_table->localUse();
    }

    void setRemoteUse(const vm_id &vm, const std::vector<runner_use> &use) override
    {
        m_table->setRemoteUse(vm, use, now());
    }

    void removeRemote(const vm_id &vm) override
    {
        m_table->removeRemote(vm);
    }

private:
    struct attempt {
        runner_id runner;
        work_estimate work;
        double remainingTokens = 0.0;
        steady_time started;
        steady_time lastToken;
        unsigned tokens = 0;
        bool isPlainCall = false;
    };

    steady_time now() const
    {
        return m_context->time.steadyNow();
    }

    void applyList(const vm_list_read &list)
    {
        if (!m_table->applyList(list.entries)) {
            return;
        }
        for (const std::size_t index : m_table->takeRemoved()) {
            m_prefixes.removeRunner(index);
        }
        m_context->post(capacity_changed{});
    }

    void recordFirstToken(const attempt &attempt)
    {
        if (attempt.work.promptTokens >= minimumObservedPromptTokens) {
            const double secondsPerToken = toSeconds(now() - attempt.started) / attempt.work.promptTokens;
            m_secondsPerPromptToken += promptSpeedWeight * (secondsPerToken - m_secondsPerPromptToken);
        }
        if (attempt.work.isLong) {
            return;
        }
        m_firstTokenSeconds.add(toSeconds(now() - attempt.started));
        ++m_firstTokens;
        if (m_firstTokens % answersPerQuantileUpdate != 0) {
            return;
        }
        if (const auto seconds = m_firstTokenSeconds.quantile(hedgeQuantile, hedgeMinimumSamples)) {
            m_hedgeDelay = fromSeconds(*seconds);
        }
    }

    bool spendSpill(const work_estimate &work)
    {
        m_spillBudget.fill(spillLinkBytesPerSecond * toSeconds(now() - m_spillFilledAt));
        m_spillFilledAt = now();
        return m_spillBudget.take(bytesPerPromptToken * work.promptTokens + bytesPerOutputToken * work.outputTokens);
    }

    plugin_context *m_context = nullptr;
    configuration_source *m_configuration = nullptr;
    prefix_index m_prefixes{prefixCapacity};
    std::unique_ptr<runner_table> m_table;
    std::unique_ptr<runner_selector> m_selector;
    length_estimator m_lengths;
    std::unordered_map<attempt_number, attempt> m_attempts;
    quantile_window m_firstTokenSeconds{hedgeSampleWindow};
    unsigned m_firstTokens = 0;
    std::optional<duration> m_hedgeDelay;
    double m_secondsPerPromptToken = initialSecondsPerPromptToken;
    token_bucket m_hedgeBudget{maximumHedgeTokens, initialHedgeTokens};
    token_bucket m_retryBudget{maximumRetries, initialRetries};
    token_bucket m_spillBudget{maximumSpillBytes, maximumSpillBytes};
    steady_time m_spillFilledAt;
};

const plugin_registrar autoRegistrar("routing",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<routing_plugin>(); });

} // namespace

} // namespace crocuslane
