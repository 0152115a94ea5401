#include "logrecords/log_record_codec.h"

#include <log_records_generated.h>

#include <boost/leaf/error.hpp>

namespace crocuslane {

namespace {

using builder = flatbuffers::FlatBufferBuilder;
using encoded_content = std::pair<records::content, flatbuffers::Offset<void>>;

// Estimate for the fixed fields, table overhead and ids of an entry.
constexpr std::size_t entryOverheadBytes = 256;

std::string textOf(const flatbuffers::String *text)
{
    return text ? text->str() : std::string();
}

encoded_content encodeContent(builder &out, const publication_entry &entry)
{
    return {records::content_publication,
            records::CreatepublicationDirect(out,
                                             entry.replacesVersion,
                                             entry.request.value().c_str(),
                                             entry.vm.value().c_str(),
                                             entry.incarnation,
                                             entry.text.c_str(),
                                             entry.textHash.c_str())
                .Union()};
}

encoded_content encodeContent(builder &out, const snapshot_entry &entry)
{
    return {records::content_snapshot,
            records::CreatesnapshotDirect(out, entry.version, entry.asOf, entry.text.c_str(), entry.textHash.c_str())
                .Union()};
}

encoded_content encodeContent(builder &out, const claim_entry &entry)
{
    return {records::content_claim,
            records::CreateclaimDirect(out,
                                       entry.key.organisation.value().c_str(),
                                       entry.key.operation.value().c_str(),
                                       entry.key.idempotencyKey.c_str(),
                                       entry.bodyHash.c_str(),
                                       entry.by.request.value().c_str(),
                                       entry.by.vm.value().c_str(),
                                       entry.by.incarnation,
                                       entry.by.number)
                .Union()};
}

records::outcome_kind toRecord(execution_state state)
{
    switch (state) {
    case execution_state::ran:
        return records::outcome_kind_ran;
    case execution_state::not_run:
        return records::outcome_kind_not_run;
    case execution_state::unknown:
        break;
    }
    return records::outcome_kind_unknown;
}

execution_state fromRecord(records::outcome_kind kind)
{
    switch (kind) {
    case records::outcome_kind_ran:
        return execution_state::ran;
    case records::outcome_kind_not_run:
        return execution_state::not_run;
    case records::outcome_kind_unknown:
        break;
    }
    return execution_state::unknown;
}

encoded_content encodeContent(builder &out, const outcome_entry &entry)
{
    // The body may contain NUL bytes, so the C string overload can't be used.
    const auto body = out.CreateString(entry.body);
    const auto organisation = out.CreateString(entry.key.organisation.value());
    const auto operation = out.CreateString(entry.key.operation.value());
    const auto key = out.CreateString(entry.key.idempotencyKey);
    const auto request = out.CreateString(entry.by.request.value());
    const auto vm = out.CreateString(entry.by.vm.value());
    return {records::content_outcome,
            records::Createoutcome(out,
                                   organisation,
                                   operation,
                                   key,
                                   request,
                                   vm,
                                   entry.by.incarnation,
                                   toRecord(entry.execution),
                                   entry.status,
                                   body,
                                   entry.by.number)
                .Union()};
}

encoded_content encodeContent(builder &out, const lease_entry &entry)
{
    return {records::content_lease,
            records::CreateleaseDirect(out,
                                       entry.duty.c_str(),
                                       entry.vm.value().c_str(),
                                       entry.incarnation,
                                       entry.ticket,
                                       entry.replaces,
                                       entry.durationMilliseconds)
                .Union()};
}

encoded_content encodeContent(builder &out, const bill &entry)
{
    return {records::content_bill,
            records::CreatebillDirect(out,
                                      entry.request.value().c_str(),
                                      entry.organisation.value().c_str(),
                                      entry.group.value().c_str(),
                                      entry.service.value().c_str(),
                                      entry.kind.value().c_str(),
                                      entry.version.value().c_str(),
                                      entry.usage.promptTokens,
                                      entry.usage.cachedPromptTokens,
                                      entry.usage.outputTokens,
                                      entry.cost,
                                      entry.unixMilliseconds)
                .Union()};
}

log_entry decodeContent(const records::publication &entry)
{
    return publication_entry{entry.replaces_version(),
                             request_id(textOf(entry.request())),
                             vm_id(textOf(entry.vm())),
                             entry.incarnation(),
                             textOf(entry.text()),
                             textOf(entry.text_hash())};
}

log_entry decodeContent(const records::snapshot &entry)
{
    return snapshot_entry{entry.version(), entry.as_of(), textOf(entry.text()), textOf(entry.text_hash())};
}

template<typename table>
claim_key decodeKey(const table &entry)
{
    return claim_key{
        organisation_id(textOf(entry.organisation())), operation_id(textOf(entry.operation())), textOf(entry.key())};
}

template<typename table>
claimant decodeClaimant(const table &entry)
{
    return claimant{
        vm_id(textOf(entry.vm())), entry.incarnation(), request_id(textOf(entry.request())), entry.number()};
}

log_entry decodeContent(const records::claim &entry)
{
    return claim_entry{decodeKey(entry), decodeClaimant(entry), textOf(entry.body_hash())};
}

log_entry decodeContent(const records::outcome &entry)
{
    return outcome_entry{
        decodeKey(entry), decodeClaimant(entry), fromRecord(entry.kind()), entry.status(), textOf(entry.body())};
}

log_entry decodeContent(const records::lease &entry)
{
    return lease_entry{textOf(entry.duty()),
                       vm_id(textOf(entry.vm())),
                       entry.incarnation(),
                       entry.ticket(),
                       entry.replaces(),
                       entry.duration_ms()};
}

log_entry decodeContent(const records::bill &entry)
{
    bill decoded;
    decoded.request = request_id(textOf(entry.request()));
    decoded.organisation = organisation_id(textOf(entry.organisation()));
    decoded.group = caller_group_id(textOf(entry.group()));
    decoded.service = service_id(textOf(entry.service()));
    decoded.kind = kind_id(textOf(entry.kind()));
    decoded.version = version_id(textOf(entry.version()));
    decoded.usage = {entry.prompt_tokens(), entry.cached_prompt_tokens(), entry.output_tokens()};
    decoded.cost = entry.cost();
    decoded.unixMilliseconds = entry.unix_ms();
    return decoded;
}

template<typename table>
void decodeInto(std::vector<log_entry> &entries, const table *content)
{
    if (content) {
        entries.push_back(decodeContent(*content));
    }
}

void decodeEntry(std::vector<log_entry> &entries, const records::entry &entry)
{
    switch (entry.content_type()) {
    case records::content_publication:
        return decodeInto(entries, entry.content_as_publication());
    case records::content_snapshot:
        return decodeInto(entries, entry.content_as_snapshot());
    case records::content_claim:
        return decodeInto(entries, entry.content_as_claim());
    case records::content_outcome:
        return decodeInto(entries, entry.content_as_outcome());
    case records::content_lease:
        return decodeInto(entries, entry.content_as_lease());
    case records::content_bill:
        return decodeInto(entries, entry.content_as_bill());
    case records::content_NONE:
        return;
    }
}

} // namespace

std::string encodeEntries(const std::vector<log_entry> &entries)
{
    builder out;
    std::vector<flatbuffers::Offset<records::entry>> encoded;
    encoded.reserve(entries.size());
    for (const log_entry &entry : entries) {
        const encoded_content content =
            std::visit([&out](const auto &alternative) { return encodeContent(out, alternative); }, entry);
        encoded.push_back(records::Createentry(out, content.first, content.second));
    }
    records::Finishentry_groupBuffer(out, records::Createentry_groupDirect(out, &encoded));
    return std::string(reinterpret_cast<const char *>(out.GetBufferPointer()), out.GetSize());
}

boost::leaf::result<std::vector<log_entry>> decodeEntries(std::string_view payload)
{
    // Scalars are read in place, so the bytes are copied to an aligned buffer.
    const std::vector<std::uint64_t> aligned = [payload] {
        std::vector<std::uint64_t> words((payload.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
        std::copy(payload.begin(), payload.end(), reinterpret_cast<char *>(words.data()));
        return words;
    }();
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(aligned.data());
    // The verifier asserts on a buffer smaller than the root offset and the file identifier.
    constexpr std::size_t minimumBytes = sizeof(flatbuffers::uoffset_t) + flatbuffers::kFileIdentifierLength;
    if (payload.size() < minimumBytes) {
        return boost::leaf::new_error(log_record_error::malformed);
    }
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!records::Verifyentry_groupBuffer(verifier)) {
        return boost::leaf::new_error(log_record_error::malformed);
    }
    const records::entry_group *group = records::Getentry_group(bytes);
    if (!group->entries()) {
        return boost::leaf::new_error(log_record_error::incomplete);
    }
    std::vector<log_entry> entries;
    entries.reserve(group->entries()->size());
    for (const records::entry *entry : *group->entries()) {
        decodeEntry(entries, *entry);
    }
    // The whole record is rejected when an entry is unknown to this version: newer processes would process the entry
    // and come to another result.
    if (entries.size() != group->entries()->size()) {
        return boost::leaf::new_error(log_record_error::incomplete);
    }
    return entries;
}

std::size_t approximateSize(const log_entry &entry)
{
    if (const auto *publication = std::get_if<publication_entry>(&entry)) {
        return entryOverheadBytes + publication->text.size();
    }
    if (const auto *snapshot = std::get_if<snapshot_entry>(&entry)) {
        return entryOverheadBytes + snapshot->text.size();
    }
    if (const auto *outcome = std::get_if<outcome_entry>(&entry)) {
        return entryOverheadBytes + outcome->body.size();
    }
    return entryOverheadBytes;
}

} // namespace crocuslane
