#include "nutmegtide/base/jsondepth.h"

namespace nutmegtide {

bool isTooDeepJson(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString && c == '\\')
            ++i;
        else if (c == '"')
            isInString = !isInString;
        else if (!isInString && (c == '[' || c == '{') && ++depth > DeepestJson)
            return true;
        else if (!isInString && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return false;
}

} // namespace nutmegtide
