#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <cstdint>
#include <random>
#include <vector>

namespace nutmegtide {

// What an entry proxy knows of a server that could run a read.
struct ServerEstimate
{
    ServerId server;
    int slots = 1;
    // Smoothed response time of its statements.
    Duration responseTime {};
    // This process's own statements that are under way there.
    int underWay = 0;
    // Wait at the server's home, by its latest report, discounted for the report's age.
    Duration wait {};
    // Smoothed share of the statements that failed or had no reply in time, 0 to 1.
    double failureShare = 0;
    // Price of using it, in response time: distance, slots that writes need, data that it lacks.
    Duration price {};
};

// Spreads reads over servers whose load is known from old reports only.
//
// Every entry proxy decides for itself, at the same time as all others and from equally old
// reports. If each took the server that looks best, they would all take the same one, until the
// next reports make them all leave it. So a server is drawn at random. Its weight falls with the
// square of the time in which it is expected to answer, and exponentially with its price: a server
// that is a little slower gets a little less, none is left altogether because of its load, and a
// distant one is hardly used unless the near ones are slow.
//
//   LoadBalancer balancer(seed);
//   const ServerId &server = balancer.choose(estimates).server;
class LoadBalancer
{
public:
    explicit LoadBalancer(std::uint64_t seed)
        : m_random(seed)
    { }

    // Draws one of the servers. There must be at least one.
    const ServerEstimate &choose(const std::vector<ServerEstimate> &servers);
    // Draws an index by weight.
    std::size_t draw(const std::vector<double> &weights);
    // Returns the expected time until the server answers a statement, without its price.
    static Duration expectedTime(const ServerEstimate &server);
    // Returns what is left of a wait that was reported so long ago. A server's queue changes within
    // fractions of a second.
    static Duration waitAfter(Duration reported, Duration age);
    // Returns the weights by which servers are drawn.
    static std::vector<double> weightsOf(const std::vector<ServerEstimate> &servers);
    // Returns the weights that they would have if all were equally fast.
    static std::vector<double> fairWeightsOf(const std::vector<ServerEstimate> &servers);

private:
    std::mt19937_64 m_random;
};

} // namespace nutmegtide
