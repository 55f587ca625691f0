#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace nutmegtide {

// Returns whether the bytes are well-formed UTF-8. Text that doesn't come out of a JSON parser may
// hold any bytes, and JSON can't hold others than these.
bool isUtf8(std::string_view text);

// Returns whether the text can be one field of a line between processes: not empty, UTF-8, without
// blanks and control characters.
bool isWord(std::string_view text);

// Serializes JSON that is read again: commands, stored states and messages. Throws MessageError
// where a text in it isn't UTF-8.
std::string encodeJson(const nlohmann::json &json);

// Serializes JSON, and replaces bytes that aren't UTF-8. For answers, and for settings, which were
// checked when they were submitted.
std::string encodeJsonLossy(const nlohmann::json &json);

} // namespace nutmegtide
