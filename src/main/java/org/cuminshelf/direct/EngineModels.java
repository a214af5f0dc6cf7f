package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.engines.EngineLatencyModel;

/** What is learnt of the engines of each service. */
final class EngineModels {

    private final Map<String, EngineLatencyModel> models = new HashMap<>();

    /** The model of a service, which knows nothing at first. */
    EngineLatencyModel of(String service) {
        return models.computeIfAbsent(service, key -> EngineLatencyModel.create());
    }
}
