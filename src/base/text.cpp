#include "nutmegtide/base/text.h"

#include "nutmegtide/base/errors.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

constexpr int Compact = -1; // indentation

bool isBlankOrControl(char letter)
{
    const auto byte = static_cast<unsigned char>(letter);
    return byte <= ' ' || byte == 0x7f;
}

} // namespace

bool isUtf8(std::string_view text)
{
    try {
        encodeJson(Json(text));
        return true;
    } catch (const MessageError &) {
        return false;
    }
}

bool isWord(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), isBlankOrControl)
            && isUtf8(text);
}

std::string encodeJson(const Json &json)
{
    try {
        return json.dump();
    } catch (const Json::type_error &fault) {
        throw MessageError(std::string("text that is not UTF-8: ") + fault.what());
    }
}

std::string encodeJsonLossy(const Json &json)
{
    return json.dump(Compact, ' ', false, Json::error_handler_t::replace);
}

} // namespace nutmegtide
