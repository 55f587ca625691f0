#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
common="review/rig-2/processes.cpp review/rig-2/sockets.cpp review/rig-2/site.cpp review/rig-2/databases.cpp review/rig-2/clients.cpp"
for scenario in freeze values reports foreign restart; do
    # shellcheck disable=SC2086
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-2/$scenario" $common "review/rig-2/$scenario.cpp"
done
