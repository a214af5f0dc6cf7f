package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The engines that have probably cached the shared prefix of one prompt, by the version of their software: an engine
 * reads no KV cache that another version wrote.
 */
final class PrefixLocationsByVersion {

    private final Map<String, SharedPrefixLocations> byVersion = new HashMap<>();

    private PrefixLocationsByVersion(GenerationShape shape, List<UpstreamInstance> engines, long now) {
        if (UpstreamInstance.haveOneVersion(engines)) {
            engines.stream()
                    .findFirst()
                    .ifPresent(engine -> byVersion.put(engine.version, SharedPrefixLocations.of(shape, engines, now)));
            return;
        }
        Map<String, List<UpstreamInstance>> enginesByVersion = new HashMap<>();
        engines.forEach(engine -> enginesByVersion
                .computeIfAbsent(engine.version, key -> new ArrayList<>())
                .add(engine));
        enginesByVersion.forEach((version, same) -> byVersion.put(version, SharedPrefixLocations.of(shape, same, now)));
    }

    static PrefixLocationsByVersion of(GenerationShape shape, List<UpstreamInstance> engines, long now) {
        return new PrefixLocationsByVersion(shape, engines, now);
    }

    /** Returns the locations whose KV cache an engine can read; the engine is one of those given. */
    SharedPrefixLocations readableBy(UpstreamInstance engine) {
        return byVersion.get(engine.version);
    }
}
