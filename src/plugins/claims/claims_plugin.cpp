#include "plugins/claims/claims_plugin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

// All claims use one partition; the number in the name allows for more of them.
constexpr std::string_view streamName = "claims-0";
// Maximum time from the arrival of a request to the sending of its call. Later the caller has retried at another VM.
constexpr duration maximumSendDelay = 10s;

const plugin_registrar autoRegistrar("claims",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<claims_plugin>(); });

} // namespace

claims_plugin::claims_plugin(claim_controls controls)
    : m_controls(controls)
    , m_reader(std::string(streamName))
{
}

std::string_view claims_plugin::name() const
{
    return "claims";
}

std::vector<std::string_view> claims_plugin::dependencies() const
{
    return {"appends"};
}

void claims_plugin::initialize(plugin_context &context)
{
    m_context = &context;
    claim_settings settings;
    if (const auto *offered = context.services.tryFind<claim_settings>()) {
        settings = *offered;
    }
    m_ledger = std::make_unique<claim_ledger>(settings.window);
    m_writer =
        std::make_unique<group_writer>(context.node, std::string(streamName), context.services.find<append_budget>());
    context.services.offer<claim_registry>(*this);
}

void claims_plugin::start(action_list &actions)
{
    m_reader.follow(actions);
}

void claims_plugin::handle(const event &event, action_list &actions)
{
    const steady_time now = m_context->time.steadyNow();
    const std::vector<entry_ticket> acknowledged = m_writer->handle(event, now);
    if (!m_controls.decidesByLogOrder) {
        grantAcknowledged(acknowledged);
    }
    if (const auto batch = m_reader.handle(event)) {
        m_ledger->detectGap(*batch);
        for (const read_entry &entry : batch->entries) {
            handleEntry(entry);
        }
        m_writer->handleRead(*batch);
    }
    failOverdueClaims(now);
    m_writer->send(now, actions);
}

steady_time claims_plugin::nextDeadline() const
{
    steady_time next = m_writer->nextDeadline(m_context->time.steadyNow());
    for (const auto &[request, claim] : m_ownClaims) {
        if (!claim.isGranted) {
            next = std::min(next, claim.receivedAt + maximumSendDelay);
        }
    }
    return next;
}

bool claims_plugin::isIdle() const
{
    return m_ownClaims.empty() && m_writer->isEmpty();
}

void claims_plugin::describe(nlohmann::json &status) const
{
    status["known_claims"] = m_ledger->size();
    status["open_claims"] = m_ownClaims.size();
    status["unsent_entries"] = m_writer->pendingEntries();
    status["log_reachable"] = m_reader.isReachable();
    status["unreadable_records"] = m_reader.unreadableRecords();
}

// Claims of this process.

void claims_plugin::claim(const service_call &call, const caller &caller)
{
    if (m_ownClaims.contains(call.request)) {
        postDecision({call.request, claim_verdict::unknown, 0, {}, error_code::request_in_progress}, "in_progress");
        return;
    }
    const claim_key key{caller.organisation, call.operation, call.idempotencyKey};
    if (!claim_ledger::keyTime(key.idempotencyKey)) {
        refuse(call.request, error_code::bad_request);
        return;
    }
    // The first claim of a key is final, so a granted one answers the request without another append.
    if (const granted_claim *granted = m_ledger->find(key)) {
        answerFromGrantedClaim(call.request, *granted, call.bodyHash);
        return;
    }
    if (!m_reader.isReachable()) {
        refuse(call.request, error_code::log_unavailable);
        return;
    }
    const node_identity &node = m_context->node;
    own_claim claim{key,
                    {node.id, node.incarnation, call.request, ++m_lastClaimNumber},
                    call.bodyHash,
                    m_context->time.steadyNow()};
    claim.ticket = m_writer->add(claim_entry{claim.key, claim.by, claim.bodyHash}, claim.receivedAt);
    m_ownClaims.emplace(call.request, std::move(claim));
    m_context->timeline.record(timeline_kind::claim_appended, call.request, "operation=" + call.operation.value());
}

bool claims_plugin::confirmSend(const request_id &request)
{
    const auto found = m_ownClaims.find(request);
    if (found == m_ownClaims.end() || !found->second.isGranted) {
        return false;
    }
    if (m_context->time.steadyNow() > found->second.receivedAt + maximumSendDelay && m_controls.stopsUndecidedClaims) {
        recordNotRun(request);
        return false;
    }
    return true;
}

void claims_plugin::recordOutcome(const request_id &request, std::uint32_t status, const std::string &body)
{
    const auto found = m_ownClaims.find(request);
    if (found == m_ownClaims.end()) {
        return;
    }
    // A claim without an outcome counts as unknown anyway, so a lost answer needs no record.
    if (status != 0 || !body.empty()) {
        appendOutcome(found->second, execution_state::ran, status, body);
    }
    m_ownClaims.erase(found);
}

void claims_plugin::recordNotRun(const request_id &request)
{
    const auto found = m_ownClaims.find(request);
    if (found == m_ownClaims.end()) {
        return;
    }
    appendOutcome(found->second, execution_state::not_run, 0, {});
    m_ownClaims.erase(found);
}

void claims_plugin::appendOutcome(const own_claim &claim,
                                  execution_state execution,
                                  std::uint32_t status,
                                  std::string body)
{
    m_writer->add(outcome_entry{claim.key, claim.by, execution, status, std::move(body)}, m_context->time.steadyNow());
}

// Decisions from the log.

bool claims_plugin::isFromThisProcess(const claimant &by) const
{
    return by.vm == m_context->node.id && by.incarnation == m_context->node.incarnation;
}

void claims_plugin::handleEntry(const read_entry &entry)
{
    if (const auto *claim = std::get_if<claim_entry>(&entry.content)) {
        const auto rejection = m_ledger->add(*claim, entry.appendTime);
        if (isFromThisProcess(claim->by)) {
            decideOwnClaim(*claim, rejection);
        }
    } else if (const auto *outcome = std::get_if<outcome_entry>(&entry.content)) {
        m_ledger->add(*outcome);
    }
}

void claims_plugin::decideOwnClaim(const claim_entry &claim, std::optional<claim_rejection> rejection)
{
    const request_id &request = claim.by.request;
    const granted_claim *first = m_ledger->find(claim.key);
    const auto own = m_ownClaims.find(request);
    if (own == m_ownClaims.end() || own->second.by != claim.by) {
        // No request waits for this claim any more, and its call was not sent.
        if (first && first->by == claim.by && first->state == claim_state::open) {
            appendOutcome({claim.key, claim.by, {}, {}, 0, false}, execution_state::not_run, 0, {});
        }
        return;
    }
    if (own->second.isGranted) {
        return;
    }
    if (first && first->by == claim.by) {
        own->second.isGranted = true;
        postDecision({request, claim_verdict::granted, 0, {}, error_code::internal}, "granted");
        return;
    }
    const own_claim ownClaim = own->second;
    m_ownClaims.erase(own);
    if (first) {
        answerFromGrantedClaim(request, *first, ownClaim.bodyHash);
    } else if (rejection == claim_rejection::bad_key) {
        refuse(request, error_code::bad_request);
    } else {
        // An earlier call with this key may have run, and its record may have been removed.
        postDecision({request, claim_verdict::unknown, 0, {}, error_code::idempotency_key_expired}, "expired");
        appendOutcome(ownClaim, execution_state::not_run, 0, {});
    }
}

void claims_plugin::grantAcknowledged(const std::vector<entry_ticket> &tickets)
{
    for (auto &[request, claim] : m_ownClaims) {
        if (!claim.isGranted && std::find(tickets.begin(), tickets.end(), claim.ticket) != tickets.end()) {
            claim.isGranted = true;
            postDecision({request, claim_verdict::granted, 0, {}, error_code::internal}, "granted");
        }
    }
}

void claims_plugin::answerFromGrantedClaim(const request_id &request,
                                           const granted_claim &granted,
                                           const std::string &bodyHash)
{
    if (granted.bodyHash != bodyHash) {
        refuse(request, error_code::idempotency_key_conflict);
        return;
    }
    switch (granted.state) {
    case claim_state::ran:
        postDecision({request, claim_verdict::stored, granted.status, granted.body, error_code::internal}, "stored");
        return;
    case claim_state::not_run:
        refuse(request, error_code::not_repeated);
        return;
    case claim_state::open:
        postDecision({request, claim_verdict::unknown, 0, {}, error_code::not_repeated}, "unknown");
        return;
    }
}

void claims_plugin::failOverdueClaims(steady_time now)
{
    for (auto entry = m_ownClaims.begin(); entry != m_ownClaims.end();) {
        const own_claim &claim = entry->second;
        if (claim.isGranted || now < claim.receivedAt + maximumSendDelay) {
            ++entry;
            continue;
        }
        if (m_writer->withdraw(claim.ticket) || !m_controls.stopsUndecidedClaims) {
            refuse(entry->first, error_code::log_unavailable);
        } else {
            postDecision({entry->first, claim_verdict::unknown, 0, {}, error_code::log_unavailable}, "unread");
        }
        entry = m_ownClaims.erase(entry);
    }
}

void claims_plugin::refuse(const request_id &request, error_code reason)
{
    postDecision({request, claim_verdict::refused, 0, {}, reason}, "refused");
}

void claims_plugin::postDecision(claim_decided decision, std::string_view detail)
{
    m_context->timeline.record(timeline_kind::claim_decided, decision.request, "verdict=" + std::string(detail));
    m_context->post(std::move(decision));
}

} // namespace crocuslane
