#include "nutmegtide/settings/loader.h"

#include <doctest/doctest.h>
#include <random>

using namespace nutmegtide;

namespace {

constexpr unsigned Seed = 20261203;
constexpr int Rounds = 5'000;
constexpr int MostEdits = 6;

const std::string ValidText = "[database.A]\nvoters = 3\nrequest_id_kept = \"24h\"\n"
                              "[limits]\nretry_share = 0.1\nlargest_body = \"1MiB\"\n"
                              "[power]\nspares = [\"a\", \"b\"]\nmost_vms = 2\n"
                              "[reads]\nreplica_wait = \"20ms\"\n";

std::size_t below(std::mt19937 &random, std::size_t limit)
{
    return random() % limit;
}

// Replaces, removes, repeats or inserts bytes at one place.
void edit(std::string &text, std::mt19937 &random)
{
    const std::string pieces[] = {"\"", "[", "]", "=", "\n", ".", "9", "-", "retire=", "nan", "{"};
    const std::size_t place = below(random, text.size());
    switch (below(random, 4)) {
    case 0:
        text[place] = static_cast<char>(below(random, 256));
        break;
    case 1:
        text.erase(place, 1 + below(random, 8));
        break;
    case 2:
        text.insert(place, text.substr(below(random, text.size()), 20));
        break;
    default:
        text.insert(place, pieces[below(random, std::size(pieces))]);
    }
}

} // namespace

TEST_CASE("damaged settings are read or refused with a typed error")
{
    std::mt19937 random(Seed);
    int taken = 0;
    int refused = 0;
    for (int round = 0; round < Rounds; ++round) {
        std::string text = ValidText;
        for (std::size_t edits = 1 + below(random, MostEdits); edits > 0; --edits)
            edit(text, random);
        CAPTURE(round);
        CAPTURE(text);
        try {
            parseFleetSettings(text);
            ++taken;
        } catch (const SettingsError &error) {
            CHECK_FALSE(error.faults().empty());
            ++refused;
        }
    }
    CHECK(taken > 0);
    CHECK(refused > 0);
    CHECK(taken + refused == Rounds);
}
