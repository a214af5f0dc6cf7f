package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The slots of each software version among the upstreams open to a stream, and how many of them new streams leave to
 * begun ones that wait.
 */
final class VersionRoom {

    /**
     * Cost of a new stream at a version whose slots are all in use, in the unit of the cost of a late answer, which is
     * twice as much. It keeps room at each version for the streams that only this version can continue.
     */
    private static final double FULL_VERSION_COST = 0.3;

    /** The slots of the upstreams of one version that generate. */
    private static final class Slots {
        private int all;
        private int free;

        private void add(UpstreamInstance upstream) {
            all += upstream.slots;
            free += Math.max(0, upstream.slots - upstream.totalAttempts());
        }

        private double shareInUse() {
            return all == 0 ? 1 : 1 - (double) free / all;
        }
    }

    private final Map<String, Slots> byVersion;
    private final BegunStreamWaits waits;
    private final String service;

    private VersionRoom(Map<String, Slots> byVersion, BegunStreamWaits waits, String service) {
        this.byVersion = byVersion;
        this.waits = waits;
        this.service = service;
    }

    /** Returns the room for a call among the upstreams open to it. */
    static VersionRoom of(DirectCall call, List<UpstreamInstance> open, BegunStreamWaits waits) {
        Map<String, Slots> byVersion = new HashMap<>();
        boolean matters = !call.isBegun() && (!waits.isEmpty() || !UpstreamInstance.haveOneVersion(open));
        if (matters) {
            open.stream()
                    .filter(UpstreamInstance::generatesTokens)
                    .forEach(upstream -> byVersion
                            .computeIfAbsent(upstream.version, version -> new Slots())
                            .add(upstream));
        }
        return new VersionRoom(byVersion, waits, call.service);
    }

    /**
     * Returns whether the call may take a slot of a version: begun streams may, and a new one if as many slots stay
     * free as begun streams wait for.
     */
    boolean isFreeFor(String version) {
        Slots slots = byVersion.get(version);
        int waiting = waits.isEmpty() ? 0 : waits.waiting(service, version);
        return slots == null || waiting == 0 || slots.free > waiting;
    }

    /** Returns the cost of taking a slot of a version; 0 where one version serves. */
    double cost(String version) {
        Slots slots = byVersion.get(version);
        return slots == null || byVersion.size() == 1 ? 0 : FULL_VERSION_COST * slots.shareInUse();
    }
}
