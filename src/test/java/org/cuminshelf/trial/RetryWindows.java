package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Durations;
import org.cuminshelf.direct.RetryLimits;

/** Counts what reached engines beyond the first of each request in sliding windows. */
final class RetryWindows {

    private RetryWindows() {}

    /** Describes a window with more repeats than the limits allow for all services, if there is one. */
    static Optional<String> excess(
            DirectFleet.Shape shape, List<DirectFleet.Call> calls, Map<String, List<Long>> deliveries) {
        RetryLimits limits = shape.retries();
        List<Long> repeats = new ArrayList<>();
        deliveries.values().forEach(times -> repeats.addAll(times.subList(1, times.size())));
        Collections.sort(repeats);
        long window = Durations.nanos(limits.windowMillis());
        for (long end : repeats) {
            long count = repeats.stream()
                    .filter(at -> at > end - window && at <= end)
                    .count();
            long requests = Math.max(
                    asked(calls, end, window),
                    Math.max(asked(calls, end - window / 2, window), asked(calls, end - window, window)));
            double allowed = limits.ratio() * requests + shape.services() * limits.allowance();
            if (count > allowed) {
                return Optional.of(count + " repeats up to " + Durations.millis(end) + " ms, allowed " + allowed);
            }
        }
        return Optional.empty();
    }

    private static long asked(List<DirectFleet.Call> calls, long end, long window) {
        return calls.stream()
                .filter(call -> call.askedAt > end - window && call.askedAt <= end)
                .count();
    }
}
