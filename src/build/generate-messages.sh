#!/bin/sh
# Regenerates the message classes from src/main/proto. Needed only after a change of the .proto file; the build itself
# runs no generator. Maven brings the compiler.
set -eu
cd "$(dirname "$0")/../.."
version=4.34.1
case $(uname -m) in
    aarch64 | arm64) machine=linux-aarch_64 ;;
    *) machine=linux-x86_64 ;;
esac
mvn -q -B org.apache.maven.plugins:maven-dependency-plugin:3.8.1:copy \
    -Dartifact=com.google.protobuf:protoc:$version:exe:$machine -DoutputDirectory=target/protoc
chmod +x target/protoc/protoc-$version-$machine.exe
rm -rf src/main/java/org/cuminshelf/message
target/protoc/protoc-$version-$machine.exe --java_out=lite:src/main/java -Isrc/main/proto src/main/proto/messages.proto
