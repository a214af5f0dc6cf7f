package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.direct.RetryCount;

/** Counts what reached engines beyond the first of each request in sliding windows. */
final class RetryWindows {

    private RetryWindows() {}

    /** Describes a window with more repeats than the limits allow for all services, if there is one. */
    static Optional<String> excess(
            DirectFleet.Shape shape, List<DirectFleet.Call> calls, Map<String, List<Long>> deliveries) {
        List<Long> requests = calls.stream().map(call -> call.askedAt).toList();
        List<Long> repeats = new ArrayList<>();
        deliveries.values().forEach(times -> repeats.addAll(times.subList(1, times.size())));
        return RetryCount.of(shape.retries(), shape.services(), requests, repeats)
                .excess();
    }
}
