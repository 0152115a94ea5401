#include "kernel/types.h"

#include "base/name_table.h"

namespace crocuslane {

namespace {

constexpr auto executionStateNames = makeNameTable<execution_state>({
    {execution_state::not_run, "not_run"},
    {execution_state::ran, "ran"},
    {execution_state::unknown, "unknown"},
});

constexpr auto errorCodeNames = makeNameTable<error_code>({
    {error_code::bad_request, "bad_request"},
    {error_code::unauthenticated, "unauthenticated"},
    {error_code::forbidden, "forbidden"},
    {error_code::unknown_model, "unknown_model"},
    {error_code::unknown_service, "unknown_service"},
    {error_code::limit_exceeded, "limit_exceeded"},
    {error_code::no_capacity, "no_capacity"},
    {error_code::configuration_unconfirmed, "configuration_unconfirmed"},
    {error_code::session_version_withdrawn, "session_version_withdrawn"},
    {error_code::session_invalid, "session_invalid"},
    {error_code::idempotency_key_required, "idempotency_key_required"},
    {error_code::idempotency_key_expired, "idempotency_key_expired"},
    {error_code::idempotency_key_conflict, "idempotency_key_conflict"},
    {error_code::not_repeated, "not_repeated"},
    {error_code::log_unavailable, "log_unavailable"},
    {error_code::backend_failed, "backend_failed"},
    {error_code::bill_pending, "bill_pending"},
    {error_code::shutting_down, "shutting_down"},
    {error_code::publication_conflict, "publication_conflict"},
    {error_code::publication_invalid, "publication_invalid"},
    {error_code::request_in_progress, "request_in_progress"},
    {error_code::internal, "internal"},
});

constexpr auto finishReasonNames = makeNameTable<finish_reason>({
    {finish_reason::stop, "stop"},
    {finish_reason::length, "length"},
    {finish_reason::refusal, "content_filter"},
});

constexpr auto attemptFailureNames = makeNameTable<attempt_failure>({
    {attempt_failure::not_sent, "not_sent"},
    {attempt_failure::rejected, "rejected"},
    {attempt_failure::connection_lost, "connection_lost"},
    {attempt_failure::failed, "failed"},
    {attempt_failure::cancelled, "cancelled"},
    {attempt_failure::oversized, "oversized"},
    {attempt_failure::malformed, "malformed"},
});

constexpr auto backendStateNames = makeNameTable<backend_state>({
    {backend_state::live, "live"},
    {backend_state::leaving, "leaving"},
});

constexpr auto vmRoleNames = makeNameTable<vm_role>({
    {vm_role::entry, "entry"},
    {vm_role::model, "model"},
    {vm_role::plain, "plain"},
});

} // namespace

std::string_view toName(execution_state value)
{
    return executionStateNames.name(value);
}

std::string_view toName(error_code value)
{
    return errorCodeNames.name(value);
}

std::string_view toName(finish_reason value)
{
    return finishReasonNames.name(value);
}

std::string_view toName(attempt_failure value)
{
    return attemptFailureNames.name(value);
}

std::string_view toName(backend_state value)
{
    return backendStateNames.name(value);
}

std::string_view toName(vm_role value)
{
    return vmRoleNames.name(value);
}

std::optional<vm_role> vmRoleFromName(std::string_view name)
{
    return vmRoleNames.value(name);
}

std::optional<backend_state> backendStateFromName(std::string_view name)
{
    return backendStateNames.value(name);
}

std::optional<finish_reason> finishReasonFromName(std::string_view name)
{
    return finishReasonNames.value(name);
}

} // namespace crocuslane
