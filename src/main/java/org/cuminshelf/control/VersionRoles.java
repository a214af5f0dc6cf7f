package org.cuminshelf.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;
import org.tinylog.Logger;

/**
 * Sees to it that each software version of a service keeps an engine that generates. A stream may go on at the version
 * that began it only, and a prompt that one version has prefilled is of no use to another one, so that engines of a
 * version where none generates serve nobody.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>The only engine of a version that generates ends, and the streams of that version are refused for as long as
 *       the load asks for no change. One of the version's other engines is to generate, at once.</li>
 *   <li>A change for the sake of the load takes the last such engine of a version. It takes one of the version that
 *       has most of them, and a change to the decode role one of the version that has fewest.</li>
 *   <li>The engines of a version start one after the other, and the first is ordered to generate a moment before one
 *       that does starts. A version that has not generated yet, as far as this process knows, has no streams that
 *       could go on, and gets an order only after {@link #START_UP_NANOS}.</li>
 * </ul>
 */
final class VersionRoles {

    private static final String LOG = "control: ";
    /** Time for which a version that has not generated yet may have engines that only prefill. */
    private static final long START_UP_NANOS = Durations.nanos(8_000);
    /** Time for which a version is remembered without an engine that serves; returning engines take seconds. */
    private static final long RETENTION_NANOS = Durations.nanos(60_000);
    /** Minimum interval between log lines on a version without an engine that may be ordered to generate. */
    private static final long LOG_INTERVAL_NANOS = Durations.nanos(2_000);

    /**
     * A software version of a service.
     *
     * @param service the service
     * @param name    the version; empty if its engines state none
     */
    private record Version(String service, String name) implements Comparable<Version> {

        private static Version of(PlannedEngine engine) {
            return new Version(
                    engine.heartbeat().getService(), engine.heartbeat().getVersion());
        }

        @Override
        public int compareTo(Version other) {
            int byService = service.compareTo(other.service);
            return byService != 0 ? byService : name.compareTo(other.name);
        }
    }

    /** What is known of a version over time. */
    private static final class History {
        private boolean hasGenerated;
        private long lastServedAt;
        /** Since when no engine generates or is to; {@link Core#NEVER} while one does. */
        private long withoutSince = Core.NEVER;

        private long loggedAt = Long.MIN_VALUE / 2;
    }

    private final CrashHints crashHints;
    private final Map<Version, History> histories = new HashMap<>();
    /** The engines that serve, at the last observation. */
    private Map<Version, List<PlannedEngine>> engines = Map.of();

    VersionRoles(CrashHints crashHints) {
        this.crashHints = crashHints;
    }

    /**
     * Records the engines that serve. Every control process observes, so that a new leader knows which versions have
     * generated.
     *
     * @param now     the time in nanoseconds
     * @param serving the engines that are neither deleted, lapsed nor leaving, of all services and roles
     */
    void observe(long now, List<PlannedEngine> serving) {
        serving.forEach(engine -> crashHints.observe(engine.heartbeat()));
        engines = serving.stream().collect(Collectors.groupingBy(Version::of, TreeMap::new, Collectors.toList()));
        engines.forEach((version, ofVersion) -> {
            History history = histories.computeIfAbsent(version, key -> new History());
            history.lastServedAt = now;
            history.hasGenerated |= generatingCount(version) > 0;
            boolean covered = ofVersion.stream().anyMatch(engine -> engine.isToGenerate() && isPresent(engine));
            history.withoutSince = covered ? Core.NEVER : Math.min(history.withoutSince, now);
        });
        histories.values().removeIf(history -> now - history.lastServedAt > RETENTION_NANOS);
    }

    /** Returns the engines that must be ordered to generate: one of each version that has lost its last such engine. */
    List<PlannedEngine> missingGenerators(long now) {
        List<PlannedEngine> missing = new ArrayList<>();
        engines.forEach((version, ofVersion) -> {
            if (isLacking(now, histories.get(version))) {
                Optional<PlannedEngine> candidate = ofVersion.stream()
                        .filter(engine -> engine.role() == Role.ROLE_PREFILL && engine.orderable() && isPresent(engine))
                        .findFirst();
                candidate.ifPresentOrElse(missing::add, () -> logNoCandidate(now, version, ofVersion));
            }
        });
        return missing;
    }

    private static boolean isLacking(long now, History history) {
        long graceNanos = history.hasGenerated ? 0 : START_UP_NANOS;
        return history.withoutSince != Core.NEVER && now - history.withoutSince >= graceNanos;
    }

    private void logNoCandidate(long now, Version version, List<PlannedEngine> ofVersion) {
        History history = histories.get(version);
        if (now - history.loggedAt < LOG_INTERVAL_NANOS) {
            return;
        }
        history.loggedAt = now;
        Logger.info(
                LOG + "event=plan id={} version={} wants={} reason={} outcome=none-may-be-ordered readers={}",
                version.service,
                version.name.isEmpty() ? "none" : version.name,
                Role.ROLE_DECODE,
                OrderReason.VERSION_WITHOUT_GENERATING_ENGINE.label(),
                ofVersion.size());
    }

    /**
     * Returns how late an engine is chosen for a change of its role for the sake of the load: the one with the lowest
     * number first, and one with {@link Integer#MAX_VALUE} never.
     */
    int rankForChange(PlannedEngine engine) {
        int generating = generatingCount(Version.of(engine));
        boolean isLast = engine.isToGenerate() && generating <= 1;
        if (!engine.orderable() || isLast) {
            return Integer.MAX_VALUE;
        }
        return engine.isToGenerate() ? Integer.MAX_VALUE - 1 - generating : generating;
    }

    /** Returns the number of engines of a version that generate now, without those that are changing their role. */
    private int generatingCount(Version version) {
        return (int) engines.getOrDefault(version, List.of()).stream()
                .filter(engine -> engine.generates() && isPresent(engine))
                .count();
    }

    private boolean isPresent(PlannedEngine engine) {
        return !crashHints.isProbablyGone(engine.heartbeat());
    }
}
