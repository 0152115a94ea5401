#pragma once

#include <string>
#include <string_view>

namespace crocuslane {

/// The functions below edit a configuration text and preserve its comments, order and spacing. Sections are named as in
/// the text, such as "version small@1". The result is not checked.

/// Sets the value of a key. Adds the key when it is missing, and the section at the end of the text when it is missing.
std::string withKey(std::string_view text, std::string_view section, std::string_view key, std::string_view value);
/// Removes a key. Returns the text unchanged when it has no such key.
std::string withoutKey(std::string_view text, std::string_view section, std::string_view key);
/// Adds a name to a list. Returns the text unchanged when the list already contains it.
std::string
withListEntry(std::string_view text, std::string_view section, std::string_view key, std::string_view entry);

/// Settings of a version for one stage of its roll-out as a canary.
struct canary_stage {
    std::string_view version;
    std::string_view replaces;
    /// Share of the new sessions of the model, 0 to 100.
    double percent = 0.0;
};

/// Makes a version a canary with a share of new sessions. Adds the version when the text doesn't have it.
std::string withCanary(std::string_view text, const canary_stage &stage);
/// Makes @p version active and @p replaced draining; an empty @p replaced is ignored.
std::string withPromotion(std::string_view text, std::string_view version, std::string_view replaced);
/// Withdraws a version, which then takes no new requests.
std::string withWithdrawal(std::string_view text, std::string_view version);
/// Allows @p version for every organisation that may use @p reference.
std::string withSameRights(std::string_view text, std::string_view version, std::string_view reference);

} // namespace crocuslane
