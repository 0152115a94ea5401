#include "plugins/routing/length_estimator.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::size_t historyCapacity = 256;
constexpr std::size_t minimumAnswers = 16;
constexpr std::size_t maximumHistories = 1024;
constexpr unsigned answersPerUpdate = 8;
constexpr double typicalQuantile = 0.6;
// Answer lengths can have a long tail, so whether a kind counts as long is decided by an upper quantile.
constexpr double upperQuantile = 0.9;
constexpr std::uint32_t defaultOutputTokens = 200;
constexpr double longAnswerTokens = 400.0;
constexpr std::uint32_t longPromptTokens = 8000;

} // namespace

work_estimate length_estimator::estimate(const model_request &request, const kind_settings *settings) const
{
    work_estimate work;
    work.urgency = settings ? settings->urgency : request_class::standard;
    work.promptTokens = request.promptTokens;
    double typicalTokens = settings ? settings->expectedTokens : defaultOutputTokens;
    double upperTokens = typicalTokens;
    const auto found = m_histories.find(request.kind);
    if (found != m_histories.end() && found->second.samples >= minimumAnswers) {
        typicalTokens = found->second.typicalTokens;
        upperTokens = found->second.upperTokens;
    }
    if (request.maximumTokens > 0) {
        typicalTokens = std::min(typicalTokens, static_cast<double>(request.maximumTokens));
        upperTokens = std::min(upperTokens, static_cast<double>(request.maximumTokens));
    }
    const auto wholeAnswerTokens = static_cast<std::uint32_t>(std::max(1.0, typicalTokens));
    work.outputTokens = wholeAnswerTokens > request.resumeFrom ? wholeAnswerTokens - request.resumeFrom : 1;
    work.isLong = upperTokens >= longAnswerTokens || request.promptTokens >= longPromptTokens;
    return work;
}

void length_estimator::addAnswer(const kind_id &kind, std::uint32_t outputTokens)
{
    if (!m_histories.contains(kind) && m_histories.size() >= maximumHistories) {
        return;
    }
    history &history =
        m_histories.try_emplace(kind, crocuslane::length_estimator::history{quantile_window(historyCapacity)})
            .first->second;
    history.outputTokens.add(outputTokens);
    ++history.samples;
    // Each request needs the quantiles and they change slowly, so they are computed only every few answers.
    if (history.samples < minimumAnswers || history.samples - history.samplesAtLastUpdate < answersPerUpdate) {
        return;
    }
    history.samplesAtLastUpdate = history.samples;
    history.typicalTokens = history.outputTokens.quantile(typicalQuantile, 1).value_or(0.0);
    history.upperTokens = history.outputTokens.quantile(upperQuantile, 1).value_or(0.0);
}

} // namespace crocuslane
