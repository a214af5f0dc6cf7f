package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.engines.EngineModel;

/** What is learnt of the engines of each service. */
final class EngineModels {

    private final Map<String, EngineModel> models = new HashMap<>();

    /** The model of a service, which knows nothing at first. */
    EngineModel of(String service) {
        return models.computeIfAbsent(service, key -> EngineModel.fresh());
    }
}
