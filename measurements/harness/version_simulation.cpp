#include "harness/version_simulation.h"

#include <algorithm>

namespace crocuslane {

namespace {

constexpr double emptyScore = 0.05;
const caller_group_id callerGroup("organisation/group");
const organisation_id callerOrganisation("organisation");
const service_id service("advice");

} // namespace

class version_simulation::null_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

/// Offers a fixed configuration in place of the plug-in publication.
class version_simulation::configuration_plugin : public plugin, public configuration_source
{
public:
    configuration_plugin(const std::vector<simulated_kind> &kinds, const std::vector<simulated_version> &versions)
    {
        auto built = std::make_shared<configuration>();
        service_settings advice;
        advice.id = service;
        organisation_settings organisation;
        organisation.id = callerOrganisation;
        organisation.allowedServices = {service};
        for (const simulated_version &version : versions) {
            const model_id model(version.id.value());
            advice.models.push_back(model);
            built->models[model] = {model, version.inputCost, version.outputCost};
            const version_state state = version.canaryPercent > 0 ? version_state::canary : version_state::active;
            built->versions[version.id] = {version.id, model, state, version.canaryPercent, version.replaces};
            organisation.allowedVersions.insert(version.id);
        }
        for (const simulated_kind &kind : kinds) {
            built->kinds[kind.id] = {kind.id, service, kind.qualityTarget, request_class::standard, kind.outputTokens};
        }
        built->services[service] = advice;
        built->organisations[callerOrganisation] = organisation;
        m_configuration = built;
    }

    std::string_view name() const override
    {
        return "publication";
    }

    void initialize(plugin_context &context) override
    {
        context.services.offer<configuration_source>(*this);
    }

    void handle(const event & /*event*/, action_list & /*actions*/) override
    {
    }

    std::shared_ptr<const configuration> current() const override
    {
        return m_configuration;
    }

    std::uint64_t version() const override
    {
        return 1;
    }

    std::uint64_t confirmedVersion() const override
    {
        return 1;
    }

    bool mayTakeRequests() const override
    {
        return true;
    }

private:
    std::shared_ptr<const configuration> m_configuration;
};

bool version_simulation::due_rating::operator>(const due_rating &other) const
{
    return when > other.when;
}

version_simulation::version_simulation(std::vector<simulated_kind> kinds,
                                       std::vector<simulated_version> versions,
                                       rating_settings ratings,
                                       std::uint64_t seed)
    : m_kinds(std::move(kinds))
    , m_versions(std::move(versions))
    , m_ratings(ratings)
    , m_random(seed)
    , m_productRandom(seed + 1)
    , m_timeline(std::make_unique<null_timeline>())
    , m_scores(seed + 2)
{
    m_kernel =
        std::make_unique<kernel>(kernel::environment{m_clock, m_productRandom, {}, shared_secrets{"key"}, *m_timeline});
    m_kernel->add(std::make_unique<configuration_plugin>(m_kinds, m_versions));
    m_kernel->add(makePlugin("versions"));
    m_kernel->start();
    const auto &source = m_kernel->services().find<configuration_source>();
    m_kernel->handle(configuration_changed{source.current(), 1});
    m_chooser = &m_kernel->services().find<version_chooser>();
}

version_simulation::~version_simulation() = default;

version_simulation::policy version_simulation::productPolicy()
{
    return [this](const model_request &request) {
        return std::get<version_candidates>(m_chooser->choose(request, {callerOrganisation, callerGroup})).versions;
    };
}

simulated_answer version_simulation::serveNext(const policy &choose, duration gap)
{
    m_clock.advance(gap);
    deliverRatings();
    simulated_answer answer;
    answer.kind = drawKind();
    const simulated_kind &kind = m_kinds[answer.kind];
    model_request request;
    request.request = request_id(std::to_string(++m_lastRequest));
    request.service = service;
    request.kind = kind.id;
    request.promptTokens = kind.promptTokens;
    const std::vector<version_id> order = choose(request);
    for (std::size_t step = 0; step < order.size(); ++step) {
        const answer_profile &profile = profileOf(order[step], answer.kind);
        const bool isEmpty = m_random.unit() < profile.emptyRate;
        const bool isLast = step + 1 == order.size();
        answer.cost += answerCost(order[step], answer.kind, isEmpty);
        answer_observation observation;
        observation.request = request.request;
        observation.version = order[step];
        observation.kind = kind.id;
        observation.wasEmpty = isEmpty;
        // The load of runners varies, so the time per token varies by a third in both directions.
        observation.timePerToken = fromSeconds(profile.secondsPerToken * (0.67 + 0.66 * m_random.unit()));
        m_chooser->observe(observation);
        if (isEmpty && !isLast) {
            answer.wasEscalated = true;
            continue;
        }
        answer.version = order[step];
        answer.quality = isEmpty ? emptyScore : profile.quality;
        break;
    }
    if (m_random.unit() < m_ratings.share) {
        const duration spread = m_ratings.longestDelay - m_ratings.shortestDelay;
        const steady_time when = m_clock.steadyNow() + m_ratings.shortestDelay
            + std::chrono::duration_cast<duration>(spread * m_random.unit());
        m_dueRatings.push({when, {request.request, answer.version, kind.id, drawScore(answer.quality)}});
    }
    return answer;
}

void version_simulation::deliverRatings()
{
    ratings_read read;
    while (!m_dueRatings.empty() && m_dueRatings.top().when <= m_clock.steadyNow()) {
        read.ratings.push_back(m_dueRatings.top().rating);
        if (onRating) {
            onRating(m_dueRatings.top().rating);
        }
        m_dueRatings.pop();
    }
    if (!read.ratings.empty()) {
        m_kernel->handle(std::move(read));
    }
}

double version_simulation::drawScore(double mean)
{
    // Beta distribution, drawn as the share of one gamma variable in the sum of two.
    std::gamma_distribution<double> good(mean * m_ratings.concentration);
    std::gamma_distribution<double> bad((1.0 - mean) * m_ratings.concentration);
    const double first = good(m_scores);
    const double second = bad(m_scores);
    return first + second > 0.0 ? first / (first + second) : mean;
}

std::size_t version_simulation::drawKind()
{
    double draw = m_random.unit();
    for (std::size_t kind = 0; kind + 1 < m_kinds.size(); ++kind) {
        if (draw < m_kinds[kind].share) {
            return kind;
        }
        draw -= m_kinds[kind].share;
    }
    return m_kinds.size() - 1;
}

void version_simulation::setProfile(const version_id &version, std::size_t kind, const answer_profile &answer)
{
    for (simulated_version &candidate : m_versions) {
        if (candidate.id == version) {
            candidate.byKind[kind] = answer;
        }
    }
}

const simulated_version &version_simulation::find(const version_id &version) const
{
    return *std::find_if(m_versions.begin(), m_versions.end(), [&version](const simulated_version &candidate) {
        return candidate.id == version;
    });
}

double version_simulation::answerCost(const version_id &version, std::size_t kind, bool isEmpty) const
{
    const simulated_version &settings = find(version);
    const double input = static_cast<double>(m_kinds[kind].promptTokens * settings.inputCost);
    const double output = isEmpty ? 0.0 : static_cast<double>(m_kinds[kind].outputTokens * settings.outputCost);
    return (input + output) / 1000.0;
}

const answer_profile &version_simulation::profileOf(const version_id &version, std::size_t kind) const
{
    return find(version).byKind[kind];
}

const std::vector<simulated_kind> &version_simulation::kinds() const
{
    return m_kinds;
}

const std::vector<simulated_version> &version_simulation::versions() const
{
    return m_versions;
}

} // namespace crocuslane
