package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.engines.EngineLatencyModel;

/** The latency model of the engines of each service. */
final class EngineLatencyModels {

    private final Map<String, EngineLatencyModel> models = new HashMap<>();

    /** Returns the model of a service; one without observations if the service is new. */
    EngineLatencyModel of(String service) {
        return models.computeIfAbsent(service, key -> EngineLatencyModel.create());
    }
}
