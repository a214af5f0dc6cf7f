package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.engines.EngineLatencyModel;
import org.cuminshelf.engines.StreamIntervalModel;

/** The models of the engines of each service. */
final class EngineLatencyModels {

    private final Map<String, EngineLatencyModel> models = new HashMap<>();
    private final Map<String, StreamIntervalModel> intervalModels = new HashMap<>();

    /** Returns the model of a service; one without observations if the service is new. */
    EngineLatencyModel of(String service) {
        return models.computeIfAbsent(service, key -> EngineLatencyModel.create());
    }

    /** Returns the model of event intervals of a service; one without observations if the service is new. */
    StreamIntervalModel intervalsOf(String service) {
        return intervalModels.computeIfAbsent(service, key -> StreamIntervalModel.create());
    }
}
