#pragma once

#include "nutmegtide/base/ids.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace nutmegtide {

// The servers whose confirmation counts in one term, as its promotion named
// them. A change of voters may name two sets; each of them then needs a majority.
//
//   const Voters voters({{a, b, c}});
//   voters.majorityValue<TimePoint>(latestOf); // reached by a majority of each set
class Voters
{
public:
    Voters() = default;
    explicit Voters(std::vector<std::vector<ServerId>> sets)
        : m_sets(std::move(sets))
    {
        for (std::vector<ServerId> &set : m_sets) {
            std::sort(set.begin(), set.end());
            set.erase(std::unique(set.begin(), set.end()), set.end());
        }
    }

    // Returns the highest value that a majority of every set has reached; nothing
    // where a set has none or no set is known.
    template <typename Value>
    std::optional<Value> majorityValue(
            const std::function<std::optional<Value>(const ServerId &)> &valueOf) const
    {
        std::optional<Value> lowest;
        for (const std::vector<ServerId> &set : m_sets) {
            const std::optional<Value> reached = majorityOf<Value>(set, valueOf);
            if (!reached)
                return std::nullopt;
            lowest = lowest ? std::min(*lowest, *reached) : *reached;
        }
        return lowest;
    }

private:
    template <typename Value>
    static std::optional<Value> majorityOf(
            const std::vector<ServerId> &set,
            const std::function<std::optional<Value>(const ServerId &)> &valueOf)
    {
        if (set.empty())
            return std::nullopt;
        std::vector<std::optional<Value>> values;
        values.reserve(set.size());
        for (const ServerId &server : set)
            values.push_back(valueOf(server));
        std::sort(values.begin(), values.end(), std::greater<>());
        return values[set.size() / 2];
    }

    std::vector<std::vector<ServerId>> m_sets;
};

} // namespace nutmegtide
