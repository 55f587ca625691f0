#include "nutmegtide/proxy/loadbalancer.h"

#include <algorithm>
#include <cmath>

namespace nutmegtide {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr Milliseconds PriceScale {4}; // a price this much higher divides the weight by e
constexpr Milliseconds MinTime {1}; // expected times below count as this one
constexpr int TimeExponent = 2;
// A failed statement has to run again elsewhere, after its caller has waited for it.
constexpr double FailureFactor = 4;
constexpr std::chrono::duration<double> WaitHalfLife {0.5};

Milliseconds timeOf(const ServerEstimate &server)
{
    return std::max(MinTime, Milliseconds(LoadBalancer::expectedTime(server)));
}

} // namespace

Duration LoadBalancer::expectedTime(const ServerEstimate &server)
{
    const double ownQueue = static_cast<double>(server.underWay) / std::max(1, server.slots);
    const auto running = server.responseTime * (1 + ownQueue)
            * (1 + FailureFactor * server.failureShare);
    return std::chrono::duration_cast<Duration>(running) + server.wait;
}

Duration LoadBalancer::waitAfter(Duration reported, Duration age)
{
    const double halfLives = std::chrono::duration<double>(std::max(age, Duration()))
            / WaitHalfLife;
    return std::chrono::duration_cast<Duration>(reported * std::exp2(-halfLives));
}

std::vector<double> LoadBalancer::fairWeightsOf(const std::vector<ServerEstimate> &servers)
{
    // Relative to the lowest price, so that the weights don't vanish together.
    const auto cheapest = std::min_element(servers.begin(), servers.end(),
                                           [](const ServerEstimate &a, const ServerEstimate &b) {
                                               return a.price < b.price;
                                           });
    std::vector<double> weights;
    for (const ServerEstimate &server : servers) {
        const Milliseconds dearer = server.price - cheapest->price;
        weights.push_back(std::max(1, server.slots) * std::exp(-(dearer / PriceScale)));
    }
    return weights;
}

std::vector<double> LoadBalancer::weightsOf(const std::vector<ServerEstimate> &servers)
{
    std::vector<double> weights = fairWeightsOf(servers);
    for (std::size_t i = 0; i < servers.size(); ++i)
        weights[i] /= std::pow(timeOf(servers[i]).count(), TimeExponent);
    return weights;
}

const ServerEstimate &LoadBalancer::choose(const std::vector<ServerEstimate> &servers)
{
    return servers[draw(weightsOf(servers))];
}

std::size_t LoadBalancer::draw(const std::vector<double> &weights)
{
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return distribution(m_random);
}

} // namespace nutmegtide
