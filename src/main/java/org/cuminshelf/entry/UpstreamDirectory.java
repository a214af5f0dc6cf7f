package org.cuminshelf.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.DirectoryVersions;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.OpenSession;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamKind;

/**
 * The upstreams that the control processes list, and the sessions with those in this entry's subset.
 *
 * <p>An upstream is removed only when no control process lists it any more. If no control process can be reached, the
 * directory stays unchanged. Whether a session is silent is a local observation: this entry stops sending new work to
 * the upstream but does not report it to other processes.
 */
final class UpstreamDirectory {

    private static final long REOPEN_INTERVAL_NANOS = Durations.nanos(500);
    private static final long ACTIVE_HEARTBEAT_INTERVAL_NANOS = Durations.nanos(1_000);
    private static final long IDLE_HEARTBEAT_INTERVAL_NANOS = Durations.nanos(5_000);
    /** Time since the last dispatch during which an upstream counts as active. */
    private static final long ACTIVE_PERIOD_NANOS = Durations.nanos(10_000);

    private static final long SILENCE_TIMEOUT_NANOS = Durations.nanos(2_500);
    /** Time without new work after the first failure; doubles with each consecutive failure. */
    private static final long MIN_AVOIDANCE_NANOS = Durations.nanos(250);

    private static final int MAX_AVOIDANCE_DOUBLINGS = 6;

    private final EntrySettings settings;
    private final Address self;
    private final Map<Address, UpstreamRow> rows = new TreeMap<>();
    /** The upstreams of each service or model to which this entry sends. */
    private final Map<String, List<UpstreamRow>> subsetByTarget = new HashMap<>();
    /** The number of listed upstreams of each service or model. */
    private final Map<String, Integer> totalByTarget = new HashMap<>();

    private final DirectoryVersions directories = DirectoryVersions.none();
    private boolean subsetsOutdated;
    private long nextHeartbeatNanos;

    UpstreamDirectory(EntrySettings settings, Address self, long now) {
        this.settings = settings;
        this.self = self;
        this.nextHeartbeatNanos = now;
    }

    Optional<UpstreamRow> row(Address address) {
        return Optional.ofNullable(rows.get(address));
    }

    Collection<UpstreamRow> rows() {
        return rows.values();
    }

    long directoryVersion(Address control) {
        return directories.version(control);
    }

    long directoryIncarnation(Address control) {
        return directories.incarnation(control);
    }

    /** Returns the upstreams of a service or model to which this entry may send. */
    List<UpstreamRow> subset(String target) {
        rebuildSubsetsIfOutdated();
        return subsetByTarget.getOrDefault(target, List.of());
    }

    /**
     * Estimates how many entries send to each upstream of a subset, from the number of upstreams and of entries.
     *
     * @return at least 1
     */
    double entriesPerUpstream(String target, int entryCount) {
        rebuildSubsetsIfOutdated();
        int all = totalByTarget.getOrDefault(target, 1);
        return Math.max(1, (double) entryCount * subset(target).size() / all);
    }

    void onUpdate(Address control, Update update) {
        if (directories.isStale(control, update)) {
            return;
        }
        directories.recordUpdate(control, update);
        if (update.getWholeDirectory()) {
            rows.values().forEach(row -> row.listedBy.remove(control));
            subsetsOutdated = true;
        }
        for (Member member : update.getMembersList()) {
            onMember(control, member);
        }
    }

    private void onMember(Address control, Member member) {
        subsetsOutdated = true;
        Address address = Address.of(member.getAddress());
        UpstreamRow row = rows.get(address);
        if (member.getGone()) {
            if (row != null) {
                row.listedBy.remove(control);
            }
            return;
        }
        if (row == null) {
            row = new UpstreamRow(member);
            rows.put(address, row);
        }
        row.onMember(member);
        row.listedBy.add(control);
    }

    /** Stores an opened session; returns whether it replaces another session or incarnation of the sidecar. */
    boolean onSession(long now, UpstreamRow row, long incarnation, long session, LoadReport load) {
        boolean restarted = row.session != 0 && (row.incarnation != incarnation || row.session != session);
        if (row.incarnation != incarnation || restarted) {
            row.restart(incarnation);
        }
        row.session = session;
        onMessage(now, row);
        row.onLoad(load);
        return restarted;
    }

    /** Notes that the sidecar responds. */
    void onMessage(long now, UpstreamRow row) {
        row.lastMessageAtNanos = now;
        row.unansweredSinceNanos = 0;
    }

    void onSuccess(UpstreamRow row) {
        row.consecutiveFailures = 0;
    }

    /** Sends no new work to the upstream for a time that doubles with each consecutive failure. */
    void onFailure(long now, UpstreamRow row) {
        int shift = Math.min(row.consecutiveFailures, MAX_AVOIDANCE_DOUBLINGS);
        row.consecutiveFailures++;
        row.avoidUntilNanos = Math.max(row.avoidUntilNanos, now + (MIN_AVOIDANCE_NANOS << shift));
    }

    /**
     * Returns whether a request to the sidecar has been unanswered for longer than the silence timeout. An upstream
     * without an outstanding request is not silent: the heartbeat interval of an idle one exceeds that timeout.
     */
    boolean isSilent(long now, UpstreamRow row) {
        return row.unansweredSinceNanos != 0 && now - row.unansweredSinceNanos > SILENCE_TIMEOUT_NANOS;
    }

    /** Leaves a pause of this process out of the silence of all sidecars. */
    void discountPause(long now, long pauseNanos) {
        rows.values().stream()
                .filter(row -> row.unansweredSinceNanos != 0)
                .forEach(row -> row.unansweredSinceNanos = Math.min(now, row.unansweredSinceNanos + pauseNanos));
    }

    void tick(long now, Outbox out) {
        rebuildSubsetsIfOutdated();
        if (now < nextHeartbeatNanos) {
            return;
        }
        nextHeartbeatNanos = now + REOPEN_INTERVAL_NANOS;
        for (UpstreamRow row : monitoredRows()) {
            long intervalNanos = heartbeatIntervalNanos(now, row);
            if (row.openSentAtNanos == 0 || now - row.openSentAtNanos >= intervalNanos) {
                sendOpenSession(now, row, out);
            }
        }
        rows.values().removeIf(row -> !row.isListed() && row.ownAttempts == 0 && isSilent(now, row));
    }

    private static long heartbeatIntervalNanos(long now, UpstreamRow row) {
        if (row.session == 0 || row.unansweredSinceNanos != 0) {
            return REOPEN_INTERVAL_NANOS;
        }
        return now - row.lastDispatchAtNanos < ACTIVE_PERIOD_NANOS
                ? ACTIVE_HEARTBEAT_INTERVAL_NANOS
                : IDLE_HEARTBEAT_INTERVAL_NANOS;
    }

    long nextDue() {
        return rows.isEmpty() ? Core.NEVER : nextHeartbeatNanos;
    }

    private void sendOpenSession(long now, UpstreamRow row, Outbox out) {
        row.openSentAtNanos = now;
        row.unansweredSinceNanos = row.unansweredSinceNanos == 0 ? now : row.unansweredSinceNanos;
        Envelope.Builder message = Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance());
        if (row.session != 0 && isSilent(now, row)) {
            out.sendOnNewConnection(row.address, message);
        } else {
            out.send(row.address, message);
        }
    }

    /** Returns the upstreams with which sessions are kept: the subsets, and those with attempts of this entry. */
    private Set<UpstreamRow> monitoredRows() {
        Set<UpstreamRow> monitored = new LinkedHashSet<>();
        subsetByTarget.values().forEach(monitored::addAll);
        rows.values().stream().filter(row -> row.ownAttempts > 0).forEach(monitored::add);
        return monitored;
    }

    private void rebuildSubsetsIfOutdated() {
        if (!subsetsOutdated) {
            return;
        }
        subsetsOutdated = false;
        subsetByTarget.clear();
        for (UpstreamRow row : rows.values()) {
            if (row.isListed()) {
                for (String target : targets(row)) {
                    subsetByTarget
                            .computeIfAbsent(target, key -> new ArrayList<>())
                            .add(row);
                }
            }
        }
        totalByTarget.clear();
        subsetByTarget.forEach((target, all) -> totalByTarget.put(target, all.size()));
        subsetByTarget.replaceAll((target, all) -> selectSubset(all));
    }

    private static List<String> targets(UpstreamRow row) {
        return row.member.getKind() == UpstreamKind.UPSTREAM_ENGINE
                ? row.member.getModelsList()
                : List.of(row.member.getService());
    }

    /** Selects two thirds from this entry's availability zone and the rest from other zones, by rendezvous hashing. */
    private List<UpstreamRow> selectSubset(List<UpstreamRow> all) {
        if (all.size() <= settings.subsetSize()) {
            return all;
        }
        List<UpstreamRow> sameZone = ranked(all, true);
        List<UpstreamRow> otherZones = ranked(all, false);
        int sameZoneCount = Math.min(sameZone.size(), settings.subsetSize() * 2 / 3);
        int otherZonesCount = Math.min(otherZones.size(), settings.subsetSize() - sameZoneCount);
        sameZoneCount = Math.min(sameZone.size(), settings.subsetSize() - otherZonesCount);
        List<UpstreamRow> selected = new ArrayList<>(sameZone.subList(0, sameZoneCount));
        selected.addAll(otherZones.subList(0, otherZonesCount));
        return selected;
    }

    /** Returns the upstreams in or outside this entry's zone, ordered by their rendezvous hash with this entry. */
    private List<UpstreamRow> ranked(List<UpstreamRow> all, boolean sameZone) {
        return all.stream()
                .filter(row -> row.member.getZone().equals(settings.zone()) == sameZone)
                .sorted(Comparator.comparingLong(this::rank))
                .toList();
    }

    private long rank(UpstreamRow row) {
        byte[] pair = (self.value() + "|" + row.address.value()).getBytes(StandardCharsets.US_ASCII);
        return LongHashFunction.xx3().hashBytes(pair);
    }
}
