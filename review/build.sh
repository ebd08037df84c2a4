#!/bin/sh
# Builds the stand-ins of the cases into target/review. Run it at the project's root, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/rig/*.java
