package org.cuminshelf.direct;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminshelf.message.Role;

/** Tells which upstreams have sent nothing for a while although requests of this entry wait there. */
final class SilentUpstreams {

    private final UpstreamTable upstreams;
    private final UpstreamSelector selector;
    private final WatchedClock watchedClock;

    SilentUpstreams(UpstreamTable upstreams, UpstreamSelector selector, WatchedClock watchedClock) {
        this.upstreams = upstreams;
        this.selector = selector;
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

    /** Returns the ids of the upstreams of a service from which nothing was received since a time in nanoseconds. */
    Set<String> withoutResponseSince(long sinceNanos, String service) {
        return upstreams.instancesOf(service).stream()
                .filter(upstream -> upstream.lastResponseAtNanos <= sinceNanos)
                .map(upstream -> upstream.id)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the ids of the upstreams of a service that may be silent too while one is, because nothing was received
     * from them lately. Empty while none of them is awaited: there is no sign of a common cause then, and waiting would
     * bring none.
     *
     * @param now     the time in nanoseconds
     * @param service the service
     * @param inUse   ids of the upstreams that run attempts of the call, on which the decision does not depend
     */
    Set<String> undecided(long now, String service, Set<String> inUse) {
        long watchedNow = watchedClock.look(now);
        Set<String> unheard = withoutResponseSince(now - UpstreamInstance.SUSPECT_SILENCE_NANOS, service);
        unheard.removeAll(inUse);
        boolean awaited = upstreams.instancesOf(service).stream()
                .anyMatch(upstream -> unheard.contains(upstream.id) && upstream.isAwaited(watchedNow));
        return awaited ? unheard : Set.of();
    }

    /**
     * Returns those that a call can do without: another upstream of the same role may take it and is not silent. Plain
     * requests may take long without a byte, so that their upstreams are never taken for silent.
     */
    Set<String> avoidable(long now, DirectCall call) {
        if (!call.isStream()) {
            return Set.of();
        }
        String service = call.service;
        Set<String> silent = of(now, service);
        silent.removeAll(call.excludedUpstreams);
        if (silent.isEmpty()) {
            return silent;
        }
        Set<Role> soundRoles = EnumSet.noneOf(Role.class);
        upstreams.instancesOf(service).stream()
                .filter(upstream -> !silent.contains(upstream.id) && selector.isOpen(now, upstream, call))
                .forEach(upstream -> soundRoles.add(upstream.role));
        upstreams.instancesOf(service).stream()
                .filter(upstream -> !soundRoles.contains(upstream.role))
                .forEach(upstream -> silent.remove(upstream.id));
        return silent;
    }
}
