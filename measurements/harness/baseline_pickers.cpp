#include "harness/baseline_pickers.h"

#include "plugins/routing/length_estimator.h"
#include "plugins/routing/quantile_window.h"
#include "services/configuration_source.h"
#include "services/runner_picker.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::size_t hedgeWindow = 512;
constexpr std::size_t hedgeMinimumSamples = 40;
constexpr double hedgeQuantile = 0.95;
constexpr std::chrono::seconds minimumSilenceLimit{2};
// Same limit as the plug-in routing has before its first observation.
constexpr std::chrono::milliseconds timePerPromptToken{2};

class baseline_picker : public plugin, public runner_picker
{
public:
    explicit baseline_picker(const baseline_options &options)
        : m_options(options)
    {
    }

    std::string_view name() const override
    {
        return "baseline";
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
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
            applyList(*list, actions);
        }
        if (const auto *report = std::get_if<runner_load_reported>(&event)) {
            for (runner &runner : m_runners) {
                if (runner.id == report->load.runner) {
                    runner.reportedLoad = report->load.slotsUsed + report->load.queued;
                }
            }
        }
    }

    std::optional<runner_choice> pick(const pick_request &request) override
    {
        std::vector<const runner *> candidates;
        for (const runner &runner : m_runners) {
            if (!request.excluded.contains(runner.id)) {
                candidates.push_back(&runner);
            }
        }
        if (candidates.empty()) {
            return std::nullopt;
        }
        const runner *chosen = choose(candidates);
        return runner_choice{chosen->id, chosen->address};
    }

    bool hasRunner(const service_id & /*service*/, const version_id & /*version*/) const override
    {
        return !m_runners.empty();
    }

    void attemptStarted(attempt_number number, const pick_request &request, const runner_id &runner) override
    {
        m_attempts[number] = {runner, m_context->time.steadyNow(), request.work.isLong, false};
        changeInFlight(runner, +1);
    }

    void tokenReceived(attempt_number number) override
    {
        const auto found = m_attempts.find(number);
        if (found == m_attempts.end() || found->second.hasFirstToken) {
            return;
        }
        found->second.hasFirstToken = true;
        if (!found->second.isLong) {
            m_firstTokenSeconds.add(toSeconds(m_context->time.steadyNow() - found->second.started));
            m_hedgeDelay = m_firstTokenSeconds.quantile(hedgeQuantile, hedgeMinimumSamples);
        }
    }

    void attemptEnded(attempt_number number, std::optional<attempt_failure> /*failure*/) override
    {
        const auto found = m_attempts.find(number);
        if (found != m_attempts.end()) {
            changeInFlight(found->second.runner, -1);
            m_attempts.erase(found);
        }
    }

    work_estimate estimate(const model_request &request) const override
    {
        const auto current = m_configuration->current();
        const auto kind = current->kinds.find(request.kind);
        return m_lengths.estimate(request, kind == current->kinds.end() ? nullptr : &kind->second);
    }

    void answerFinished(const kind_id &kind, const token_usage &usage) override
    {
        m_lengths.addAnswer(kind, usage.outputTokens);
    }

    std::optional<duration> hedgeDelay(const work_estimate &work) const override
    {
        if (!m_options.isHedging || work.isLong || !m_hedgeDelay) {
            return std::nullopt;
        }
        return fromSeconds(*m_hedgeDelay);
    }

    bool spendHedge(const work_estimate & /*work*/) override
    {
        return true;
    }

    bool spendRetry() override
    {
        return true;
    }

    duration silenceLimit(const runner_id & /*runner*/, const work_estimate &work) const override
    {
        return std::max<duration>(minimumSilenceLimit, work.promptTokens * timePerPromptToken);
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

private:
    struct runner {
        runner_id id;
        std::string address;
        std::uint32_t reportedLoad = 0;
        int inFlight = 0;
    };
    struct attempt {
        runner_id runner;
        steady_time started;
        bool isLong = false;
        bool hasFirstToken = false;
    };

    void applyList(const vm_list_read &list, action_list &actions)
    {
        std::vector<runner> updated;
        watch_runners watch;
        for (const vm_entry &entry : list.entries) {
            if (entry.role == vm_role::entry || entry.region != m_context->node.region
                || entry.state == backend_state::leaving) {
                continue;
            }
            const auto existing = std::find_if(m_runners.begin(), m_runners.end(), [&entry](const runner &candidate) {
                return candidate.id.value() == entry.id;
            });
            updated.push_back(existing != m_runners.end() ? *existing
                                                          : runner{runner_id(entry.id), entry.address, 0, 0});
            watch.runners.push_back({runner_id(entry.id), entry.address});
        }
        m_runners = std::move(updated);
        actions.push_back(std::move(watch));
    }

    const runner *choose(const std::vector<const runner *> &candidates)
    {
        random_source &random = m_context->random;
        switch (m_options.kind) {
        case baseline_kind::round_robin:
            return candidates[m_nextIndex++ % candidates.size()];
        case baseline_kind::least_reported_load: {
            const std::size_t start = random.below(candidates.size());
            const runner *best = candidates[start];
            for (std::size_t step = 1; step < candidates.size(); ++step) {
                const runner *other = candidates[(start + step) % candidates.size()];
                best = other->reportedLoad < best->reportedLoad ? other : best;
            }
            return best;
        }
        case baseline_kind::two_random_choices: {
            const runner *first = candidates[random.below(candidates.size())];
            const runner *second = candidates[random.below(candidates.size())];
            return second->inFlight < first->inFlight ? second : first;
        }
        }
        return candidates.front();
    }

    void changeInFlight(const runner_id &id, int change)
    {
        for (runner &runner : m_runners) {
            if (runner.id == id) {
                runner.inFlight += change;
            }
        }
    }

    baseline_options m_options;
    plugin_context *m_context = nullptr;
    configuration_source *m_configuration = nullptr;
    std::vector<runner> m_runners;
    std::unordered_map<attempt_number, attempt> m_attempts;
    length_estimator m_lengths;
    quantile_window m_firstTokenSeconds{hedgeWindow};
    std::optional<double> m_hedgeDelay;
    std::size_t m_nextIndex = 0;
};

} // namespace

std::unique_ptr<plugin> makeBaseline(const baseline_options &options)
{
    return std::make_unique<baseline_picker>(options);
}

} // namespace crocuslane
