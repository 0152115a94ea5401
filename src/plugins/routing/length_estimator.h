#pragma once

#include "plugins/routing/quantile_window.h"
#include "services/runner_picker.h"

#include <unordered_map>

namespace crocuslane {

/// Work of a request before it runs, from its kind, its prompt and the lengths of past answers of the kind.
class length_estimator
{
public:
    /// @p settings may be null for a kind that the configuration doesn't name.
    work_estimate estimate(const model_request &request, const kind_settings *settings) const;
    void addAnswer(const kind_id &kind, std::uint32_t outputTokens);

private:
    struct history {
        quantile_window outputTokens;
        double typical = 0.0;
        double upper = 0.0;
        unsigned samples = 0;
        unsigned samplesAtRefresh = 0;
    };

    std::unordered_map<kind_id, history> m_histories;
};

} // namespace crocuslane
