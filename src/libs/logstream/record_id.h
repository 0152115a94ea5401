#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocuslane {

/// Id of a log record: its writer and a number that increases with each append of the writer.
struct record_id {
    /// Stream and VM. Contains the stream because the answer to an append has the record id only, which must therefore
    /// differ between the streams of a process.
    std::string writer;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    /// "writer/incarnation/number".
    std::string toText() const;
    /// Parses the result of toText(); empty for an id of another format.
    static std::optional<record_id> fromText(std::string_view text);
};

} // namespace crocuslane
