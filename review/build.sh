#!/bin/bash
# Builds the stand-in of the scripts in this folder into target/.
cd "$(dirname "$0")/.." && mkdir -p target \
    && g++ -std=c++20 -O1 -pthread -o target/review-databaseserver review/standin/databaseserver.cpp
