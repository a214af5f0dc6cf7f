package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** When an upstream of each software version of each service was last known to exist. */
final class VersionHistory {

    private final Map<String, Map<String, Long>> lastSeenNanos = new HashMap<>();

    /** Records that an upstream exists, or has existed until now. */
    void onSeen(long now, String service, String version) {
        lastSeenNanos.computeIfAbsent(service, key -> new HashMap<>()).merge(version, now, Math::max);
    }

    /** Adds the versions of a service that have existed since a time in nanoseconds. */
    Set<String> since(long sinceNanos, String service) {
        Set<String> versions = new TreeSet<>();
        lastSeenNanos.getOrDefault(service, Map.of()).forEach((version, seen) -> {
            if (seen >= sinceNanos) {
                versions.add(version);
            }
        });
        return versions;
    }

    /** Forgets what was last seen before a time in nanoseconds. */
    void forgetBefore(long nanos) {
        lastSeenNanos.values().forEach(versions -> versions.values().removeIf(seen -> seen < nanos));
        lastSeenNanos.values().removeIf(Map::isEmpty);
    }
}
