#include "settings/quantity.h"

#include <charconv>
#include <limits>
#include <span>
#include <string>

namespace nutmegtide {

namespace {

struct Unit
{
    std::string_view name;
    std::int64_t factor;
};

constexpr Unit DurationUnits[] = {{"ms", 1}, {"s", 1'000}, {"min", 60'000}, {"h", 3'600'000}};
constexpr Unit SizeUnits[] = {{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}};

std::string namesOf(std::span<const Unit> units)
{
    std::string names;
    for (const Unit &unit : units) {
        names += names.empty() ? "" : ", ";
        names += unit.name;
    }
    return names;
}

std::int64_t scale(std::int64_t number, std::int64_t factor, const std::string &quoted)
{
    if (number > std::numeric_limits<std::int64_t>::max() / factor)
        throw QuantityError(quoted + " is out of range");
    return number * factor;
}

std::int64_t parseQuantity(std::string_view text, std::span<const Unit> units)
{
    const std::string quoted = '"' + std::string(text) + '"';
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, number);
    if (fault == std::errc::result_out_of_range)
        throw QuantityError(quoted + " is out of range");
    if (fault != std::errc() || number < 0)
        throw QuantityError(quoted + " is no whole number with a unit");
    if (stop == end)
        throw QuantityError("missing unit in " + quoted + "; use one of " + namesOf(units));
    const std::string_view name(stop, static_cast<std::size_t>(end - stop));
    for (const Unit &unit : units) {
        if (unit.name == name)
            return scale(number, unit.factor, quoted);
    }
    throw QuantityError("unknown unit in " + quoted + "; use one of " + namesOf(units));
}

} // namespace

std::chrono::milliseconds parseDuration(std::string_view text)
{
    return std::chrono::milliseconds(parseQuantity(text, DurationUnits));
}

std::uint64_t parseSize(std::string_view text)
{
    return static_cast<std::uint64_t>(parseQuantity(text, SizeUnits));
}

} // namespace nutmegtide
