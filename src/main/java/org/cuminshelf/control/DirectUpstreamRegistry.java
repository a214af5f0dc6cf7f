package org.cuminshelf.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.core.PauseDetector;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;

/**
 * The upstreams that announce themselves directly to control, without a sidecar. Each sends its heartbeats to one
 * control process at a time, which forwards them to the others. The registry is not replicated: a restarted control
 * process receives heartbeats from all upstreams within one heartbeat interval.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>A heartbeat is delayed and arrives after a newer one or after the deletion of its sender. The sequence number
 *       orders the heartbeats of one incarnation, and a deleted incarnation stays deleted.</li>
 *   <li>An upstream restarts under the same name and its sequence restarts too. Ordered by sequence alone, its
 *       heartbeats would be ignored until they exceed the old sequence, and the state of the former incarnation would
 *       be applied to it. Each incarnation therefore has its own identity, made of the name and the start time. Only
 *       the newest incarnation is current; heartbeats of older ones are ignored.</li>
 *   <li>All control processes lose power while an engine changes its role, and read the order from their logs before
 *       they receive the engine's next heartbeat. A change stored with the engine's entry would be lost, and the
 *       engine, which appears idle, would be sent requests that it rejects: 42 calls within 1.5 s. Pending changes are
 *       therefore kept by name, whether or not the engine is known. This leaves 17 rejected calls, from the time before
 *       the group has a leader again.</li>
 * </ul>
 */
final class DirectUpstreamRegistry {

    /** Silence after which an upstream has lapsed: four heartbeat intervals of 1.2 s, so that one may be lost. */
    private static final long LEASE_NANOS = Durations.nanos(5_000);
    /** Time for which a deleted or lapsed upstream is kept; delayed heartbeats arrive within seconds. */
    private static final long ENDED_RETENTION_NANOS = Durations.nanos(60_000);

    private static final long MAX_TICK_INTERVAL_NANOS = Durations.nanos(1_000);

    /** One run of an upstream, from its start to its end. */
    private static final class Incarnation {
        private UpstreamBeat heartbeat;
        private long lastReceivedAt;
    }

    /**
     * An ordered role change that the engine has not yet completed.
     *
     * @param targetRole the role that the engine will have
     * @param expiresAt  time after which the change is no longer expected, in nanoseconds
     */
    private record PendingChange(Role targetRole, long expiresAt) {}

    /** The incarnations of one upstream name, oldest first; start times are Unix milliseconds, -1 if none. */
    private static final class Incarnations {
        /** Start time of the newest incarnation that sent a heartbeat. */
        private long newestBornMillis = -1;
        /** Incarnations that started up to this time are deleted. */
        private long deletedUpToBornMillis = -1;

        private final List<Incarnation> all = new ArrayList<>();
    }

    private final SidecarDirectory directory;
    private final PauseDetector pauses = PauseDetector.create(MAX_TICK_INTERVAL_NANOS);
    private final Map<String, Incarnations> incarnationsByName = new TreeMap<>();
    private final Map<String, PendingChange> pendingChanges = new TreeMap<>();

    DirectUpstreamRegistry(SidecarDirectory directory) {
        this.directory = directory;
    }

    /**
     * Handles a heartbeat or deletion. One received from the upstream itself is forwarded to the other control
     * processes.
     *
     * @param now           the time in nanoseconds
     * @param wallMillis    the wall clock in Unix milliseconds
     * @param heartbeat     the heartbeat or deletion
     * @param otherControls the other control processes
     * @param out           receives the forwarded messages
     */
    void onHeartbeat(long now, long wallMillis, UpstreamBeat heartbeat, List<Address> otherControls, Outbox out) {
        UpstreamBeat merged =
                heartbeat.getDeleted() ? onDeleted(now, wallMillis, heartbeat) : onRunning(now, heartbeat);
        if (!merged.getName().isEmpty() && !heartbeat.getPassedOn()) {
            UpstreamBeat forwarded = merged.toBuilder().setPassedOn(true).build();
            otherControls.forEach(
                    control -> out.send(control, Envelope.newBuilder().setUpstreamBeat(forwarded)));
        }
    }

    /** Applies a heartbeat. Returns the resulting state, or an empty message if the heartbeat was outdated. */
    private UpstreamBeat onRunning(long now, UpstreamBeat heartbeat) {
        Incarnations incarnations = incarnationsByName.computeIfAbsent(heartbeat.getName(), key -> new Incarnations());
        if (heartbeat.getBornMs() <= incarnations.deletedUpToBornMillis
                || heartbeat.getBornMs() < incarnations.newestBornMillis) {
            return UpstreamBeat.getDefaultInstance();
        }
        if (heartbeat.getBornMs() > incarnations.newestBornMillis) {
            if (incarnations.newestBornMillis >= 0) {
                // The pending change was addressed to the previous incarnation.
                pendingChanges.remove(heartbeat.getName());
            }
            incarnations.all.forEach(this::markDeleted);
            incarnations.newestBornMillis = heartbeat.getBornMs();
            incarnations.all.add(new Incarnation());
        }
        Incarnation incarnation = incarnations.all.getLast();
        if (incarnation.heartbeat != null && heartbeat.getSequence() < incarnation.heartbeat.getSequence()) {
            return UpstreamBeat.getDefaultInstance();
        }
        incarnation.lastReceivedAt = now;
        update(incarnation, merge(incarnation.heartbeat, heartbeat));
        return incarnation.heartbeat;
    }

    /**
     * Applies a deletion. If it does not name an incarnation, it applies to the newest known one, or, if the upstream
     * is unknown, to every incarnation started up to now.
     */
    private UpstreamBeat onDeleted(long now, long wallMillis, UpstreamBeat heartbeat) {
        Incarnations incarnations = incarnationsByName.computeIfAbsent(heartbeat.getName(), key -> new Incarnations());
        long defaultBornMillis = incarnations.newestBornMillis >= 0 ? incarnations.newestBornMillis : wallMillis;
        long bornMillis = heartbeat.getBornMs() > 0 ? heartbeat.getBornMs() : defaultBornMillis;
        incarnations.deletedUpToBornMillis = Math.max(incarnations.deletedUpToBornMillis, bornMillis);
        if (incarnations.newestBornMillis < 0) {
            Incarnation incarnation = new Incarnation();
            update(
                    incarnation,
                    heartbeat.toBuilder()
                            .setId(incarnationId(heartbeat.getName(), bornMillis))
                            .setBornMs(bornMillis)
                            .build());
            incarnations.all.add(incarnation);
        }
        for (Incarnation incarnation : incarnations.all) {
            incarnation.lastReceivedAt = now;
            if (incarnation.heartbeat.getBornMs() <= incarnations.deletedUpToBornMillis) {
                markDeleted(incarnation);
            }
        }
        return UpstreamBeat.newBuilder()
                .setName(heartbeat.getName())
                .setBornMs(incarnations.deletedUpToBornMillis)
                .setDeleted(true)
                .build();
    }

    private void markDeleted(Incarnation incarnation) {
        update(
                incarnation,
                incarnation.heartbeat.toBuilder()
                        .setDeleted(true)
                        .setLapsed(false)
                        .build());
    }

    /** Builds the identity of an incarnation; the name alone where upstreams report no start time. */
    private static String incarnationId(String name, long bornMillis) {
        return bornMillis == 0 ? name : name + '@' + bornMillis;
    }

    private UpstreamBeat merge(UpstreamBeat previous, UpstreamBeat heartbeat) {
        boolean leaving = heartbeat.getLeaving() || previous != null && previous.getLeaving();
        return heartbeat.toBuilder()
                .setId(incarnationId(heartbeat.getName(), heartbeat.getBornMs()))
                .setLeaving(leaving)
                .setLapsed(false)
                .setChanging(isChanging(heartbeat))
                .build();
    }

    private boolean isChanging(UpstreamBeat heartbeat) {
        PendingChange change = pendingChanges.get(heartbeat.getName());
        return change != null && change.targetRole != heartbeat.getRole();
    }

    private void update(Incarnation incarnation, UpstreamBeat heartbeat) {
        boolean unchanged = incarnation.heartbeat != null
                && withoutVolatileFields(incarnation.heartbeat).equals(withoutVolatileFields(heartbeat));
        if (unchanged) {
            incarnation.heartbeat = heartbeat.toBuilder()
                    .setChangedAt(incarnation.heartbeat.getChangedAt())
                    .build();
        } else {
            incarnation.heartbeat =
                    heartbeat.toBuilder().setChangedAt(directory.nextVersion()).build();
        }
    }

    /** Clears the fields whose change alone need not be published to subscribers, such as the sequence number. */
    private static UpstreamBeat withoutVolatileFields(UpstreamBeat heartbeat) {
        return heartbeat.toBuilder()
                .clearSequence()
                .clearPassedOn()
                .clearChangedAt()
                .clearColdMs()
                .build();
    }

    /** Marks an upstream as accepting no new work until it has the given role, or until {@code expiresAt}. */
    void markChanging(String name, Role role, long expiresAt) {
        pendingChanges.put(name, new PendingChange(role, expiresAt));
        newestIncarnation(name).ifPresent(this::updateChanging);
    }

    private void updateChanging(Incarnation incarnation) {
        boolean changing = isChanging(incarnation.heartbeat);
        if (incarnation.heartbeat.getChanging() != changing) {
            update(
                    incarnation,
                    incarnation.heartbeat.toBuilder().setChanging(changing).build());
        }
    }

    /** The upstreams that are neither deleted, lapsed nor leaving. */
    List<UpstreamBeat> serving() {
        return incarnations()
                .map(incarnation -> incarnation.heartbeat)
                .filter(heartbeat -> !heartbeat.getDeleted() && !heartbeat.getLapsed() && !heartbeat.getLeaving())
                .toList();
    }

    /** The software versions of a service that have served, or may have, since a time in nanoseconds. */
    Set<String> versionsSince(long sinceNanos, String service) {
        Set<String> versions = new TreeSet<>();
        incarnations()
                .filter(incarnation -> incarnation.heartbeat.getService().equals(service))
                .filter(incarnation -> mayHaveServedSince(sinceNanos, incarnation))
                .forEach(incarnation -> versions.add(incarnation.heartbeat.getVersion()));
        return versions;
    }

    /** An upstream that has ended may have served until its lease was over. */
    private static boolean mayHaveServedSince(long sinceNanos, Incarnation incarnation) {
        boolean ended = incarnation.heartbeat.getDeleted() || incarnation.heartbeat.getLapsed();
        return !ended || incarnation.lastReceivedAt + LEASE_NANOS >= sinceNanos;
    }

    /** The last heartbeat of the newest incarnation of a name. */
    Optional<UpstreamBeat> find(String name) {
        return newestIncarnation(name).map(incarnation -> incarnation.heartbeat);
    }

    private Optional<Incarnation> newestIncarnation(String name) {
        return Optional.ofNullable(incarnationsByName.get(name)).map(incarnations -> incarnations.all.getLast());
    }

    private Stream<Incarnation> incarnations() {
        return incarnationsByName.values().stream().flatMap(incarnations -> incarnations.all.stream());
    }

    void tick(long now) {
        long pauseNanos = pauses.onTick(now);
        if (pauseNanos > 0) {
            // Heartbeats that arrived meanwhile have not been read yet.
            incarnations()
                    .forEach(incarnation ->
                            incarnation.lastReceivedAt = Math.min(now, incarnation.lastReceivedAt + pauseNanos));
        }
        pendingChanges.entrySet().removeIf(change -> now > change.getValue().expiresAt);
        incarnations().forEach(incarnation -> tick(now, incarnation));
        incarnationsByName
                .values()
                .forEach(incarnations -> incarnations.all.removeIf(incarnation -> isExpired(now, incarnation)));
        incarnationsByName.values().removeIf(incarnations -> incarnations.all.isEmpty());
    }

    private void tick(long now, Incarnation incarnation) {
        updateChanging(incarnation);
        boolean ended = incarnation.heartbeat.getDeleted() || incarnation.heartbeat.getLapsed();
        if (!ended && now - incarnation.lastReceivedAt > LEASE_NANOS) {
            update(
                    incarnation,
                    incarnation.heartbeat.toBuilder().setLapsed(true).build());
        }
    }

    private static boolean isExpired(long now, Incarnation incarnation) {
        boolean ended = incarnation.heartbeat.getDeleted() || incarnation.heartbeat.getLapsed();
        return ended && now - incarnation.lastReceivedAt > ENDED_RETENTION_NANOS;
    }

    /** Adds the upstreams that changed after {@code heldVersion}, or all if {@code complete}, to an update. */
    void addMissing(boolean complete, long heldVersion, Update.Builder update) {
        incarnations()
                .filter(incarnation -> complete || incarnation.heartbeat.getChangedAt() > heldVersion)
                .forEach(incarnation -> update.addUpstreams(incarnation.heartbeat));
    }
}
