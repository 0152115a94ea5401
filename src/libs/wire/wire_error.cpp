#include "wire/wire_error.h"

#include "base/name_table.h"

namespace crocuslane {

namespace {

constexpr auto wireFaultNames = makeNameTable<wire_fault>({
    {wire_fault::frame_empty, "frame_empty"},
    {wire_fault::frame_too_large, "frame_too_large"},
    {wire_fault::malformed, "malformed"},
    {wire_fault::wrong_protocol_version, "wrong_protocol_version"},
    {wire_fault::unknown_message, "unknown_message"},
    {wire_fault::invalid_value, "invalid_value"},
    {wire_fault::wrong_sender, "wrong_sender"},
    {wire_fault::unexpected_hello, "unexpected_hello"},
    {wire_fault::authentication_failed, "authentication_failed"},
});

} // namespace

std::string_view toName(wire_fault fault)
{
    return wireFaultNames.name(fault);
}

} // namespace crocuslane
