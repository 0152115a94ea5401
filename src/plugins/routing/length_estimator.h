#pragma once

#include "plugins/routing/quantile_window.h"
#include "services/runner_picker.h"

#include <unordered_map>

namespace crocuslane {

/// Estimates the work of a request before it runs from its kind, its prompt and the lengths of past answers of that
/// kind.
class length_estimator
{
public:
    /// @p settings is null for a kind that isn't in the configuration.
    work_estimate estimate(const model_request &request, const kind_settings *settings) const;
    void addAnswer(const kind_id &kind, std::uint32_t outputTokens);

private:
    /// Lengths of the answers of one kind, with the quantiles computed at the last update.
    struct history {
        quantile_window outputTokens;
        double typicalTokens = 0.0;
        double upperTokens = 0.0;
        unsigned samples = 0;
        unsigned samplesAtLastUpdate = 0;
    };

    std::unordered_map<kind_id, history> m_histories;
};

} // namespace crocuslane
