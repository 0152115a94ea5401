#include "load/load_plan.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>
#include <stdexcept>

namespace crocuslane {

namespace {

/// Shares of all requests by class of the kind; the remaining requests are calls of plain services.
const std::map<std::string, double, std::less<>> shareOfClass{
    {"interactive", 0.60}, {"standard", 0.33}, {"batch", 0.03}};
/// Share of the long requests whose answers are longer still, and the factor of their length.
constexpr double veryLongShare = 0.1;
constexpr double veryLongFactor = 4.0;
constexpr std::uint32_t maximumAnswerTokens = 100000;

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> names;
    std::istringstream stream(text);
    for (std::string name; std::getline(stream, name, ',');) {
        const std::size_t first = name.find_first_not_of(' ');
        const std::size_t last = name.find_last_not_of(' ');
        if (first != std::string::npos) {
            names.push_back(name.substr(first, last - first + 1));
        }
    }
    return names;
}

} // namespace

load_plan::load_plan(const std::string &configurationFile, load_shape shape, random_source &random)
    : m_shape(shape)
    , m_random(random)
{
    read(configurationFile);
    for (const kind_entry &kind : m_kinds) {
        m_kindShares += kind.share;
    }
    if (m_kinds.empty() || m_groups.empty()) {
        throw std::runtime_error(configurationFile + " has no kind of model request or no caller group");
    }
}

void load_plan::read(const std::string &configurationFile)
{
    boost::property_tree::ptree text;
    try {
        boost::property_tree::ini_parser::read_ini(configurationFile, text);
    } catch (const boost::property_tree::ini_parser_error &error) {
        throw std::runtime_error(error.what());
    }
    std::map<std::string, std::vector<std::string>> servicesOfOrganisation;
    std::map<std::string, double> kindCountOfClass;
    for (const auto &[section, values] : text) {
        if (section.starts_with("organisation ")) {
            servicesOfOrganisation[section.substr(13)] = splitList(values.get("services", ""));
        } else if (section.starts_with("kind ")) {
            kindCountOfClass[values.get("class", "standard")] += 1.0;
        }
    }
    for (const auto &[section, values] : text) {
        if (section.starts_with("kind ")) {
            const std::string className = values.get("class", "standard");
            const auto share = shareOfClass.find(className);
            m_kinds.push_back({section.substr(5),
                               values.get("service", ""),
                               share == shareOfClass.end() ? 0.0 : share->second / kindCountOfClass[className],
                               values.get("expected_tokens", 200U)});
        } else if (section.starts_with("operation ")) {
            m_operations.push_back(
                {section.substr(10), values.get("service", ""), values.get("repeatable", "false") == "true"});
        } else if (section.starts_with("group ") && values.get("operator", "false") != "true") {
            const std::string name = section.substr(6);
            const std::size_t slash = name.find('/');
            m_groups.push_back({"dev-" + name.substr(slash + 1),
                                values.get("requests_per_s", 1.0),
                                servicesOfOrganisation[name.substr(0, slash)]});
        }
    }
}

planned_request load_plan::next()
{
    ++m_sequence;
    const double position = m_random.unit();
    if (position >= m_kindShares && !m_operations.empty()) {
        return drawCall();
    }
    return drawModelRequest(std::min(position, m_kindShares));
}

planned_request load_plan::drawModelRequest(double position)
{
    const kind_entry *kind = &m_kinds.back();
    for (const kind_entry &candidate : m_kinds) {
        if (position < candidate.share) {
            kind = &candidate;
            break;
        }
        position -= candidate.share;
    }
    planned_request request;
    request.kind = kind->name;
    request.service = kind->service;
    request.path = "/v1/chat/completions";
    request.key = drawGroup(kind->service).key;
    request.isModelRequest = true;
    request.isStreaming = m_random.unit() < m_shape.streamedShare;
    request.answerTokens = drawAnswerTokens(*kind);
    // Prompts of the same kind and group share a prefix, like prompts that are built from a template.
    request.prompt = fmt::format("Instructions for {} of {}. ", kind->name, request.key);
    while (request.prompt.size() < 600) {
        request.prompt += "Answer from the records of the last season. ";
    }
    request.prompt += fmt::format("Case {}. answer_tokens={}", m_sequence, request.answerTokens);
    return request;
}

planned_request load_plan::drawCall()
{
    const operation_entry &operation = m_operations[m_random.below(m_operations.size())];
    planned_request request;
    request.kind = operation.name;
    request.service = operation.service;
    request.path = fmt::format("/v1/services/{}/{}", operation.service, operation.name);
    request.key = drawGroup(operation.service).key;
    request.prompt = fmt::format(R"({{"case":{}}})", m_sequence);
    if (!operation.isRepeatable) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        request.idempotencyKey =
            fmt::format("{}-{:x}", std::chrono::duration_cast<std::chrono::seconds>(now).count(), m_random.next());
    }
    return request;
}

const load_plan::group_entry &load_plan::drawGroup(const std::string &service)
{
    const auto isPermitted = [&service](const group_entry &group) {
        return std::find(group.services.begin(), group.services.end(), service) != group.services.end();
    };
    double total = 0.0;
    const group_entry *last = &m_groups.front();
    for (const group_entry &group : m_groups) {
        if (isPermitted(group)) {
            total += group.weight;
            last = &group;
        }
    }
    double position = m_random.unit() * total;
    for (const group_entry &group : m_groups) {
        if (!isPermitted(group)) {
            continue;
        }
        if (position < group.weight) {
            return group;
        }
        position -= group.weight;
    }
    return *last;
}

std::uint32_t load_plan::drawAnswerTokens(const kind_entry &kind)
{
    double tokens = kind.expectedTokens * m_shape.tokenScale * (0.5 + m_random.unit());
    const bool isLong = kind.share < shareOfClass.find("standard")->second / 2.0;
    if (isLong && m_random.unit() < veryLongShare) {
        tokens *= veryLongFactor;
    }
    return static_cast<std::uint32_t>(std::clamp(tokens, 1.0, static_cast<double>(maximumAnswerTokens)));
}

double load_plan::rate(duration sinceStart) const
{
    const double period = toSeconds(m_shape.swingPeriod);
    const double ramp = toSeconds(m_shape.swingRamp);
    const double position = std::fmod(toSeconds(sinceStart), period);
    // First half of the period: base rate. Third quarter: high rate, reached by a ramp; a ramp back follows it.
    const double rise = std::clamp((position - period / 2.0) / ramp, 0.0, 1.0);
    const double fall = std::clamp((position - period * 3.0 / 4.0) / ramp, 0.0, 1.0);
    return m_shape.requestsPerSecond * (1.0 + (m_shape.swingFactor - 1.0) * (rise - fall));
}

duration load_plan::nextGap(duration sinceStart)
{
    return fromSeconds(-std::log(1.0 - m_random.unit()) / std::max(rate(sinceStart), 1e-3));
}

} // namespace crocuslane
