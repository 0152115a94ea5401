#pragma once

#include "logrecords/log_entry.h"

#include <boost/leaf/result.hpp>

#include <string_view>

namespace crocuslane {

enum class log_record_error {
    /// Not a valid buffer of entries.
    malformed,
    /// A valid buffer, but an entry has an unknown type or no content.
    incomplete,
};

/// Payload of one log record that contains @p entries.
std::string encodeEntries(const std::vector<log_entry> &entries);
/// Accepts any bytes, which are verified first. Fails with log_record_error.
boost::leaf::result<std::vector<log_entry>> decodeEntries(std::string_view payload);
/// Approximate number of bytes that @p entry adds to a record.
std::size_t approximateSize(const log_entry &entry);

} // namespace crocuslane
