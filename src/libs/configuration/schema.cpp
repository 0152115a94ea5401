#include "configuration/schema.h"

#include "base/name_table.h"

#include <fmt/format.h>

#include <array>

namespace crocuslane {

namespace {

constexpr auto serviceTypeNames = makeNameTable<service_type>({
    {service_type::model, "model"},
    {service_type::plain, "plain"},
});

constexpr auto requestClassNames = makeNameTable<request_class>({
    {request_class::interactive, "interactive"},
    {request_class::standard, "standard"},
    {request_class::batch, "batch"},
});

constexpr auto versionStateNames = makeNameTable<version_state>({
    {version_state::active, "active"},
    {version_state::canary, "canary"},
    {version_state::draining, "draining"},
    {version_state::withdrawn, "withdrawn"},
});

const std::string &asText(const key_value &value)
{
    return std::get<std::string>(value);
}

template<typename id_type>
std::vector<id_type> asIds(const key_value &value)
{
    std::vector<id_type> ids;
    for (const std::string &part : std::get<std::vector<std::string>>(value)) {
        ids.emplace_back(part);
    }
    return ids;
}

template<typename id_type>
std::set<id_type> asIdSet(const key_value &value)
{
    const std::vector<id_type> ids = asIds<id_type>(value);
    return {ids.begin(), ids.end()};
}

template<typename container>
std::string formatIds(const container &ids)
{
    std::vector<std::string> parts;
    parts.reserve(ids.size());
    for (const auto &id : ids) {
        parts.push_back(id.value());
    }
    return joinList(parts);
}

std::string formatNumber(double value)
{
    return fmt::format("{}", value);
}

constexpr double maximumCost = 1e12;
constexpr double maximumTokens = 1e7;
constexpr double maximumTokensInFlight = 1e12;
constexpr double maximumRequestsPerSecond = 1e6;
constexpr double maximumSlots = 100'000;
constexpr double maximumPercent = 100.0;

const std::array serviceTable{
    key_binding<service_settings>{
        {.key = "type",
         .type = value_type::choice,
         .isRequired = true,
         .choices = "model, plain",
         .description = "Whether requests are answered by models or by a plain service."},
        [](service_settings &settings, const key_value &value) {
            settings.type = serviceTypeNames.value(asText(value)).value_or(service_type::model);
        },
        [](const service_settings &settings) { return std::string(serviceTypeNames.name(settings.type)); }},
    key_binding<service_settings>{
        {.key = "depends_on",
         .type = value_type::id_list,
         .reference = "service",
         .description = "Services whose failure makes this one fail."},
        [](service_settings &settings, const key_value &value) { settings.dependsOn = asIds<service_id>(value); },
        [](const service_settings &settings) { return formatIds(settings.dependsOn); }},
    key_binding<service_settings>{
        {.key = "models",
         .type = value_type::id_list,
         .reference = "model",
         .description = "Models that may answer requests; required for a model service, not allowed for a plain one."},
        [](service_settings &settings, const key_value &value) { settings.models = asIds<model_id>(value); },
        [](const service_settings &settings) { return formatIds(settings.models); }},
    key_binding<service_settings>{
        {.key = "slots_per_runner",
         .type = value_type::integer,
         .unit = "requests",
         .defaultValue = "8",
         .minimum = 1,
         .maximum = maximumSlots,
         .description = "Maximum number of concurrent requests per runner of a plain service."},
        [](service_settings &settings, const key_value &value) {
            settings.slotsPerRunner = static_cast<std::uint32_t>(std::get<std::uint64_t>(value));
        },
        [](const service_settings &settings) { return std::to_string(settings.slotsPerRunner); }},
};

const std::array operationTable{
    key_binding<operation_settings>{
        {.key = "service",
         .type = value_type::id,
         .isRequired = true,
         .reference = "service",
         .description = "Plain service that offers the operation."},
        [](operation_settings &settings, const key_value &value) { settings.service = service_id(asText(value)); },
        [](const operation_settings &settings) { return settings.service.value(); }},
    key_binding<operation_settings>{
        {.key = "repeatable",
         .type = value_type::boolean,
         .defaultValue = "false",
         .description =
             "Whether a call may be executed more than once; false: it runs at most once per idempotency key."},
        [](operation_settings &settings, const key_value &value) { settings.repeatable = std::get<bool>(value); },
        [](const operation_settings &settings) { return std::string(settings.repeatable ? "true" : "false"); }},
};

const std::array kindTable{
    key_binding<kind_settings>{
        {.key = "service",
         .type = value_type::id,
         .isRequired = true,
         .reference = "service",
         .description = "Model service that the kind of request belongs to."},
        [](kind_settings &settings, const key_value &value) { settings.service = service_id(asText(value)); },
        [](const kind_settings &settings) { return settings.service.value(); }},
    key_binding<kind_settings>{
        {.key = "quality_target",
         .type = value_type::number,
         .defaultValue = "0",
         .minimum = 0.0,
         .maximum = 1.0,
         .description = "Mean rating that answers must reach."},
        [](kind_settings &settings, const key_value &value) { settings.qualityTarget = std::get<double>(value); },
        [](const kind_settings &settings) { return formatNumber(settings.qualityTarget); }},
    key_binding<kind_settings>{
        {.key = "class",
         .type = value_type::choice,
         .defaultValue = "standard",
         .choices = "interactive, standard, batch",
         .description = "Priority class; queued requests are served in the order of the allowed values."},
        [](kind_settings &settings, const key_value &value) {
            settings.urgency = requestClassNames.value(asText(value)).value_or(request_class::standard);
        },
        [](const kind_settings &settings) { return std::string(requestClassNames.name(settings.urgency)); }},
    key_binding<kind_settings>{{.key = "expected_tokens",
                                .type = value_type::integer,
                                .unit = "tokens",
                                .defaultValue = "200",
                                .minimum = 1,
                                .maximum = maximumTokens,
                                .description = "Initial estimate of the answer length."},
                               [](kind_settings &settings, const key_value &value) {
                                   settings.expectedTokens = static_cast<std::uint32_t>(std::get<std::uint64_t>(value));
                               },
                               [](const kind_settings &settings) { return std::to_string(settings.expectedTokens); }},
};

const std::array modelTable{
    key_binding<model_settings>{
        {.key = "input_cost",
         .type = value_type::integer,
         .unit = "millionths of the currency unit per 1,000 tokens",
         .isRequired = true,
         .minimum = 0,
         .maximum = maximumCost,
         .description = "Cost of prompt tokens."},
        [](model_settings &settings, const key_value &value) { settings.inputCost = std::get<std::uint64_t>(value); },
        [](const model_settings &settings) { return std::to_string(settings.inputCost); }},
    key_binding<model_settings>{
        {.key = "output_cost",
         .type = value_type::integer,
         .unit = "millionths of the currency unit per 1,000 tokens",
         .isRequired = true,
         .minimum = 0,
         .maximum = maximumCost,
         .description = "Cost of answer tokens."},
        [](model_settings &settings, const key_value &value) { settings.outputCost = std::get<std::uint64_t>(value); },
        [](const model_settings &settings) { return std::to_string(settings.outputCost); }},
};

const std::array versionTable{
    key_binding<version_settings>{
        {.key = "state",
         .type = value_type::choice,
         .defaultValue = "active",
         .choices = "active, canary, draining, withdrawn",
         .description = "active takes new sessions; canary takes a share of them; draining takes only requests of its "
                        "existing sessions; withdrawn takes no requests."},
        [](version_settings &settings, const key_value &value) {
            settings.state = versionStateNames.value(asText(value)).value_or(version_state::withdrawn);
        },
        [](const version_settings &settings) { return std::string(versionStateNames.name(settings.state)); }},
    key_binding<version_settings>{
        {.key = "canary_percent",
         .type = value_type::number,
         .unit = "percent",
         .defaultValue = "0",
         .minimum = 0.0,
         .maximum = maximumPercent,
         .description = "Share of the model's new sessions; required for a canary, not allowed otherwise."},
        [](version_settings &settings, const key_value &value) { settings.canaryPercent = std::get<double>(value); },
        [](const version_settings &settings) { return formatNumber(settings.canaryPercent); }},
    key_binding<version_settings>{
        {.key = "replaces",
         .type = value_type::id,
         .reference = "version",
         .description = "Version of the same model that a canary replaces; required for a canary."},
        [](version_settings &settings, const key_value &value) { settings.replaces = version_id(asText(value)); },
        [](const version_settings &settings) {
            return settings.replaces ? settings.replaces->value() : std::string();
        }},
};

const std::array organisationTable{
    key_binding<organisation_settings>{
        {.key = "versions",
         .type = value_type::id_list,
         .reference = "version",
         .description = "Versions that may run requests of the organisation."},
        [](organisation_settings &settings, const key_value &value) {
            settings.allowedVersions = asIdSet<version_id>(value);
        },
        [](const organisation_settings &settings) { return formatIds(settings.allowedVersions); }},
    key_binding<organisation_settings>{
        {.key = "services",
         .type = value_type::id_list,
         .reference = "service",
         .description = "Services that the organisation may call."},
        [](organisation_settings &settings, const key_value &value) {
            settings.allowedServices = asIdSet<service_id>(value);
        },
        [](const organisation_settings &settings) { return formatIds(settings.allowedServices); }},
};

const std::array callerGroupTable{
    key_binding<caller_group_settings>{
        {.key = "keys",
         .type = value_type::sha256_list,
         .isRequired = true,
         .description = "SHA-256 of each API key of the group; a key belongs to one group only."},
        [](caller_group_settings &settings, const key_value &value) {
            const auto &hashes = std::get<std::vector<std::string>>(value);
            settings.keyHashes = {hashes.begin(), hashes.end()};
        },
        [](const caller_group_settings &settings) {
            return joinList({settings.keyHashes.begin(), settings.keyHashes.end()});
        }},
    key_binding<caller_group_settings>{
        {.key = "requests_per_s",
         .type = value_type::number,
         .unit = "requests/s",
         .defaultValue = "0",
         .minimum = 0.0,
         .maximum = maximumRequestsPerSecond,
         .description =
             "Rate limit over all entry VMs together; must be above 0 unless the group is an operator group."},
        [](caller_group_settings &settings, const key_value &value) {
            settings.requestsPerSecond = std::get<double>(value);
        },
        [](const caller_group_settings &settings) { return formatNumber(settings.requestsPerSecond); }},
    key_binding<caller_group_settings>{
        {.key = "tokens_in_flight",
         .type = value_type::integer,
         .unit = "tokens",
         .defaultValue = "0",
         .minimum = 0,
         .maximum = maximumTokensInFlight,
         .description =
             "Limit of prompt and answer tokens of requests in progress, over all entry VMs together; must be "
             "above 0 unless the group is an operator group."},
        [](caller_group_settings &settings, const key_value &value) {
            settings.tokensInFlight = std::get<std::uint64_t>(value);
        },
        [](const caller_group_settings &settings) { return std::to_string(settings.tokensInFlight); }},
    key_binding<caller_group_settings>{
        {.key = "operator",
         .type = value_type::boolean,
         .defaultValue = "false",
         .description = "Whether the group may use the operators' interface."},
        [](caller_group_settings &settings, const key_value &value) { settings.isOperator = std::get<bool>(value); },
        [](const caller_group_settings &settings) { return std::string(settings.isOperator ? "true" : "false"); }},
};

template<typename settings>
void describeSection(std::string &page, std::string_view heading, std::span<const key_binding<settings>> keys)
{
    page += fmt::format("### `[{}]`\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n", heading);
    for (const key_binding<settings> &binding : keys) {
        const key_rule &rule = binding.rule;
        const std::string defaultText = rule.defaultValue.empty() ? std::string(rule.isRequired ? "required" : "none")
                                                                  : fmt::format("`{}`", rule.defaultValue);
        page += fmt::format("| `{}` | {} | {} | {} |\n", rule.key, allowedText(rule), defaultText, rule.description);
    }
    page += '\n';
}

} // namespace

std::span<const key_binding<service_settings>> serviceKeys()
{
    return serviceTable;
}

std::span<const key_binding<operation_settings>> operationKeys()
{
    return operationTable;
}

std::span<const key_binding<kind_settings>> kindKeys()
{
    return kindTable;
}

std::span<const key_binding<model_settings>> modelKeys()
{
    return modelTable;
}

std::span<const key_binding<version_settings>> versionKeys()
{
    return versionTable;
}

std::span<const key_binding<organisation_settings>> organisationKeys()
{
    return organisationTable;
}

std::span<const key_binding<caller_group_settings>> callerGroupKeys()
{
    return callerGroupTable;
}

std::string_view toName(service_type value)
{
    return serviceTypeNames.name(value);
}

std::string_view toName(request_class value)
{
    return requestClassNames.name(value);
}

std::string_view toName(version_state value)
{
    return versionStateNames.name(value);
}

std::optional<version_state> versionStateFromName(std::string_view name)
{
    return versionStateNames.value(name);
}

std::string describeConfigurationKeys()
{
    std::string page;
    describeSection(page, "service NAME", serviceKeys());
    describeSection(page, "operation NAME", operationKeys());
    describeSection(page, "kind NAME", kindKeys());
    describeSection(page, "model NAME", modelKeys());
    describeSection(page, "version MODEL@VERSION", versionKeys());
    describeSection(page, "organisation NAME", organisationKeys());
    describeSection(page, "group ORGANISATION/NAME", callerGroupKeys());
    return page;
}

} // namespace crocuslane
