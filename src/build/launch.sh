#!/bin/sh
# Finds a Java runtime of version 25 or later and runs the archive that follows this script in the same file.
fit() { [ -x "$1" ] && v=$("$1" -version 2>&1 | sed -n '1s/.*version "\([0-9]*\).*/\1/p') && [ -n "$v" ] && [ "$v" -ge 25 ]; }
for java in "${CUMINSHELF_JAVA:-}" "${JAVA_HOME:-}/bin/java" "$(command -v java)" /usr/lib/jvm/*/bin/java /opt/*/bin/java; do
    if fit "$java"; then
        exec "$java" -XX:+UseSerialGC -XX:+UseCompactObjectHeaders -XX:TieredStopAtLevel="${CUMINSHELF_TIER:-4}" -Xss512k \
            -XX:-UsePerfData -Xshare:auto --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
            ${CUMINSHELF_JAVA_OPTS:-} -jar "$0" "$@"
    fi
done
echo "cuminshelf: no Java 25 or later found; set CUMINSHELF_JAVA to the java program of such a runtime." >&2
exit 69
