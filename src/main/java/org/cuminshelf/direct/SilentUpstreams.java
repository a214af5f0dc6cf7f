package org.cuminshelf.direct;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Tells which upstreams have sent nothing for a while although requests of this entry wait there. */
final class SilentUpstreams {

    private final UpstreamTable upstreams;
    private final WatchedClock watchedClock;

    SilentUpstreams(UpstreamTable upstreams, WatchedClock watchedClock) {
        this.upstreams = upstreams;
        this.watchedClock = watchedClock;
    }

    /** Returns the ids of the silent upstreams of a service. */
    Set<String> of(long now, String service) {
        long watchedNow = watchedClock.look(now);
        Set<String> silent = new HashSet<>();
        for (UpstreamInstance upstream : upstreams.instancesOf(service)) {
            if (upstream.isSilent(watchedNow)) {
                silent.add(upstream.id);
            }
        }
        return silent;
    }

    /** Returns those beside which another upstream of the same role serves that is not silent. */
    Set<String> replaceable(long now, String service) {
        Set<String> silent = of(now, service);
        if (silent.isEmpty()) {
            return silent;
        }
        List<UpstreamInstance> sound = upstreams.instancesOf(service).stream()
                .filter(upstream -> !silent.contains(upstream.id) && upstream.isServing(now))
                .toList();
        upstreams.instancesOf(service).stream()
                .filter(upstream -> sound.stream().noneMatch(other -> other.role == upstream.role))
                .forEach(upstream -> silent.remove(upstream.id));
        return silent;
    }
}
