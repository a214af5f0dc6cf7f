package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;

/**
 * Tells when a software version is expected to have an engine that generates, while its engines only prefill. Learns
 * from the role changes of a service how long one takes.
 *
 * <p>Guards against begun streams that wait for slots of engines that cannot go on with them, and against callers that
 * come back before there is an engine that can.
 */
final class RoleChangeForecast {

    /** Time that a role change takes where none was seen yet: as control expects it. */
    private static final long USUAL_CHANGE_MILLIS = 3_000;
    /** Time within which control orders an engine of a version to generate after the last one that did has gone. */
    private static final long ORDER_MILLIS = 1_000;
    /** Time after which to look again if a change should be complete. */
    private static final long MIN_WAIT_MILLIS = 200;

    /**
     * Duration of the last change to a role that generates, of an engine of each service, that was seen here. The other
     * way takes longer, as an engine's streams end first.
     */
    private final Map<String, Long> lastChangeMillis = new HashMap<>();

    /**
     * Records a heartbeat of an instance, after it was applied.
     *
     * @param now         the time in nanoseconds
     * @param instance    the instance
     * @param roleBefore  its role before the heartbeat
     * @param wasChanging whether its role was being changed before the heartbeat
     */
    void onHeartbeat(long now, UpstreamInstance instance, Role roleBefore, boolean wasChanging) {
        if (instance.roleChanging && !wasChanging) {
            instance.roleChangingSinceNanos = now;
        } else if (!instance.roleChanging && wasChanging) {
            if (instance.role != roleBefore && instance.generatesTokens()) {
                lastChangeMillis.put(instance.service, Durations.millis(now - instance.roleChangingSinceNanos));
            }
            instance.roleChangingSinceNanos = Core.NEVER;
        }
    }

    /**
     * Returns when the software version of a begun stream is expected to have an engine that generates.
     *
     * @param now       the time in nanoseconds
     * @param call      the stream
     * @param instances the instances of its service
     * @return milliseconds from now; empty if an engine of the version generates, or if no engine of it is left
     */
    OptionalLong millisUntilGenerating(long now, DirectCall call, List<UpstreamInstance> instances) {
        List<UpstreamInstance> ofVersion = instances.stream()
                .filter(instance -> !instance.draining && call.acceptsVersion(instance.version))
                .toList();
        boolean noneToChange = ofVersion.stream().allMatch(RoleChangeForecast::generates);
        if (noneToChange || ofVersion.stream().anyMatch(instance -> generatesSoon(now, instance))) {
            return OptionalLong.empty();
        }
        return ofVersion.stream()
                .mapToLong(instance -> millisUntilGenerating(now, instance))
                .min();
    }

    private static boolean generates(UpstreamInstance instance) {
        return instance.generatesTokens() && !instance.roleChanging;
    }

    /** Returns whether an instance generates, and accepts requests before another one could have changed its role. */
    private boolean generatesSoon(long now, UpstreamInstance instance) {
        return generates(instance) && avoidedMillis(now, instance) < changeMillis(instance);
    }

    private long millisUntilGenerating(long now, UpstreamInstance instance) {
        if (generates(instance)) {
            return avoidedMillis(now, instance);
        }
        if (!instance.roleChanging || instance.generatesTokens()) {
            return ORDER_MILLIS + changeMillis(instance);
        }
        long elapsedMillis = Durations.millis(now - instance.roleChangingSinceNanos);
        return Math.max(MIN_WAIT_MILLIS, changeMillis(instance) - elapsedMillis);
    }

    private static long avoidedMillis(long now, UpstreamInstance instance) {
        return Durations.millis(Math.max(now, instance.avoidedUntilNanos()) - now);
    }

    private long changeMillis(UpstreamInstance instance) {
        return lastChangeMillis.getOrDefault(instance.service, USUAL_CHANGE_MILLIS);
    }
}
