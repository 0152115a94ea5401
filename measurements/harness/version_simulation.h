#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "kernel/kernel.h"
#include "services/configuration_source.h"
#include "services/version_chooser.h"

#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace crocuslane {

/// True behaviour of a version for one kind of request, which the router can only estimate from ratings and answers.
struct answer_profile {
    /// Mean rating of an answer that is not empty, 0 to 1.
    double quality = 0.9;
    /// Share of answers that are empty.
    double emptyRate = 0.01;
    double secondsPerToken = 0.02;
};

struct simulated_kind {
    kind_id id;
    double qualityTarget = 0.0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /// Share of all requests.
    double share = 0.0;
};

struct simulated_version {
    version_id id;
    std::uint64_t inputCost = 0;
    std::uint64_t outputCost = 0;
    /// In percent of new traffic; 0 for an active version.
    double canaryPercent = 0.0;
    std::optional<version_id> replaces;
    std::vector<answer_profile> byKind;
};

struct rating_settings {
    /// Share of answers that are rated.
    double share = 0.1;
    duration shortestDelay = std::chrono::seconds(20);
    duration longestDelay = std::chrono::seconds(60);
    /// Sum of the two parameters of the beta distribution of ratings; a larger value means less noise.
    double concentration = 8.0;
};

/// Cost and quality of the answer to one request.
struct simulated_answer {
    std::size_t kind = 0;
    version_id version;
    double cost = 0.0;
    /// True mean rating of such an answer.
    double quality = 0.0;
    bool wasEscalated = false;
};

/// Simulates versions, answers and ratings without runners or queues, to measure the choice of versions separately.
class version_simulation
{
public:
    /// Chooses the order of versions for a request of a kind.
    using policy = std::function<std::vector<version_id>(const model_request &)>;

    version_simulation(std::vector<simulated_kind> kinds,
                       std::vector<simulated_version> versions,
                       rating_settings ratings,
                       std::uint64_t seed);
    ~version_simulation();

    /// Choice by the plug-in versions.
    policy productPolicy();
    /// Advances the clock by @p gap, delivers the ratings that are due and runs one request.
    simulated_answer serveNext(const policy &choose, duration gap);
    void setProfile(const version_id &version, std::size_t kind, const answer_profile &answer);
    double answerCost(const version_id &version, std::size_t kind, bool isEmpty) const;
    const answer_profile &profileOf(const version_id &version, std::size_t kind) const;
    const std::vector<simulated_kind> &kinds() const;
    const std::vector<simulated_version> &versions() const;
    /// Called for each rating when it is delivered, for baselines that use ratings.
    std::function<void(const answer_rating &)> onRating;

private:
    class configuration_plugin;
    class null_timeline;
    struct due_rating {
        steady_time when;
        answer_rating rating;
        bool operator>(const due_rating &other) const;
    };

    void deliverRatings();
    double drawScore(double mean);
    std::size_t drawKind();
    const simulated_version &find(const version_id &version) const;

    std::vector<simulated_kind> m_kinds;
    std::vector<simulated_version> m_versions;
    rating_settings m_ratings;
    manual_clock m_clock;
    seeded_random m_random;
    seeded_random m_productRandom;
    std::unique_ptr<null_timeline> m_timeline;
    std::unique_ptr<kernel> m_kernel;
    version_chooser *m_chooser = nullptr;
    std::priority_queue<due_rating, std::vector<due_rating>, std::greater<>> m_dueRatings;
    std::uint64_t m_lastRequest = 0;
    std::mt19937_64 m_scores;
};

} // namespace crocuslane
