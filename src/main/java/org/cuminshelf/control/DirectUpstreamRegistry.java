package org.cuminshelf.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;

/**
 * The upstreams that announce themselves straight to control, each to one control process at a time, which passes the
 * word on to the others. Not replicated: a control process that restarts hears from all again within a heartbeat.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>A heartbeat is delayed and arrives after the word that its sender is gone, or after a newer one. The sequence
 *       orders the words of one start; a start that said it is gone stays gone.</li>
 *   <li>An upstream starts again under its name and counts anew. Ordered by the sequence alone it would not be heard
 *       until it has counted past its former self, and what is known of the former start would be believed of it. Each
 *       start has an identity of its own, made of the name and the time of the start; the newest is the one that is
 *       there, and words of older ones change nothing.</li>
 *   <li>All control processes lose power while an engine changes its role, and read the order in their logs before they
 *       hear the engine again. Were the change kept with the engine it would be lost, and the engine, which looks idle,
 *       be given whatever comes: on a recorded day 42 calls in 1.5 s, all of which it refused. So changes are kept by
 *       name, whether or not the engine is known; 17 calls are left, from before the group has a leader again.</li>
 * </ul>
 */
final class DirectUpstreamRegistry {

    /** Silence after which an upstream counts as lapsed: four heartbeats of 1.2 s, so that a lost one is no matter. */
    private static final long LEASE = Durations.nanos(5_000);
    /** How long the word that an upstream is gone is kept; delayed heartbeats arrive within seconds. */
    private static final long GONE_KEPT = Durations.nanos(60_000);

    private static final class Row {
        private UpstreamBeat beat;
        private long heardAt;
    }

    /**
     * An order to change a role that is on its way.
     *
     * @param to    the role that the engine will have
     * @param until when it is given up, in nanoseconds
     */
    private record Change(Role to, long until) {}

    /** The starts of one name. */
    private static final class Starts {
        private long newest = -1;
        private long goneUpTo = -1;
        private final List<Row> rows = new ArrayList<>();
    }

    private final SidecarDirectory versions;
    private final Map<String, Starts> names = new TreeMap<>();
    private final Map<String, Change> changes = new TreeMap<>();

    DirectUpstreamRegistry(SidecarDirectory versions) {
        this.versions = versions;
    }

    /**
     * Takes an announcement; what came from the upstream itself is passed on to the other control processes.
     *
     * @param now        the time in nanoseconds
     * @param wallMillis the time of day in Unix milliseconds
     * @param beat       the announcement
     * @param others     the other control processes
     * @param out        takes what is passed on
     */
    void onBeat(long now, long wallMillis, UpstreamBeat beat, List<Address> others, Outbox out) {
        UpstreamBeat known = beat.getDeleted() ? onGone(now, wallMillis, beat) : onAlive(now, beat);
        if (!known.getName().isEmpty() && !beat.getPassedOn()) {
            UpstreamBeat passed = known.toBuilder().setPassedOn(true).build();
            others.forEach(other -> out.send(other, Envelope.newBuilder().setUpstreamBeat(passed)));
        }
    }

    /** Takes a heartbeat; returns what is known then, or an empty word if it came too late to change anything. */
    private UpstreamBeat onAlive(long now, UpstreamBeat beat) {
        Starts starts = names.computeIfAbsent(beat.getName(), key -> new Starts());
        if (beat.getBornMs() <= starts.goneUpTo || beat.getBornMs() < starts.newest) {
            return UpstreamBeat.getDefaultInstance();
        }
        if (beat.getBornMs() > starts.newest) {
            if (starts.newest >= 0) {
                // The order was for the former start.
                changes.remove(beat.getName());
            }
            starts.rows.forEach(this::end);
            starts.newest = beat.getBornMs();
            starts.rows.add(new Row());
        }
        Row row = starts.rows.getLast();
        if (row.beat != null && beat.getSequence() < row.beat.getSequence()) {
            return UpstreamBeat.getDefaultInstance();
        }
        row.heardAt = now;
        put(row, merged(row.beat, beat));
        return row.beat;
    }

    /**
     * Takes the word that an upstream is gone. It may not say which start of it: then it is the newest that is known,
     * or where none is, any that started up to now.
     */
    private UpstreamBeat onGone(long now, long wallMillis, UpstreamBeat beat) {
        Starts starts = names.computeIfAbsent(beat.getName(), key -> new Starts());
        long unnamed = starts.newest >= 0 ? starts.newest : wallMillis;
        long upTo = beat.getBornMs() > 0 ? beat.getBornMs() : unnamed;
        starts.goneUpTo = Math.max(starts.goneUpTo, upTo);
        if (starts.newest < 0) {
            Row row = new Row();
            put(
                    row,
                    beat.toBuilder()
                            .setId(identity(beat.getName(), upTo))
                            .setBornMs(upTo)
                            .build());
            starts.rows.add(row);
        }
        for (Row row : starts.rows) {
            row.heardAt = now;
            if (row.beat.getBornMs() <= starts.goneUpTo) {
                end(row);
            }
        }
        return UpstreamBeat.newBuilder()
                .setName(beat.getName())
                .setBornMs(starts.goneUpTo)
                .setDeleted(true)
                .build();
    }

    private void end(Row row) {
        put(row, row.beat.toBuilder().setDeleted(true).setLapsed(false).build());
    }

    /** Names a start; where upstreams take a new name with each start that name does. */
    private static String identity(String name, long bornMillis) {
        return bornMillis == 0 ? name : name + '@' + bornMillis;
    }

    private UpstreamBeat merged(UpstreamBeat before, UpstreamBeat beat) {
        boolean leaving = beat.getLeaving() || before != null && before.getLeaving();
        return beat.toBuilder()
                .setId(identity(beat.getName(), beat.getBornMs()))
                .setLeaving(leaving)
                .setLapsed(false)
                .setChanging(isChanging(beat))
                .build();
    }

    private boolean isChanging(UpstreamBeat beat) {
        Change change = changes.get(beat.getName());
        return change != null && change.to != beat.getRole();
    }

    private void put(Row row, UpstreamBeat beat) {
        boolean same = row.beat != null && essence(row.beat).equals(essence(beat));
        if (same) {
            row.beat = beat.toBuilder().setChangedAt(row.beat.getChangedAt()).build();
        } else {
            row.beat = beat.toBuilder().setChangedAt(versions.nextVersion()).build();
        }
    }

    /** What subscribers must hear of at once; a sequence that merely rose is none of it. */
    private static UpstreamBeat essence(UpstreamBeat beat) {
        return beat.toBuilder()
                .clearSequence()
                .clearPassedOn()
                .clearChangedAt()
                .clearColdMs()
                .build();
    }

    /** Notes that an upstream takes no new work until it has a role, or until a time at the latest. */
    void changing(String name, Role role, long until) {
        changes.put(name, new Change(role, until));
        newest(name).ifPresent(this::putChanging);
    }

    private void putChanging(Row row) {
        boolean changing = isChanging(row.beat);
        if (row.beat.getChanging() != changing) {
            put(row, row.beat.toBuilder().setChanging(changing).build());
        }
    }

    /** The upstreams that are neither gone nor leaving. */
    List<UpstreamBeat> serving() {
        return rows().map(row -> row.beat)
                .filter(beat -> !beat.getDeleted() && !beat.getLapsed() && !beat.getLeaving())
                .toList();
    }

    /** What is known of the newest start of a name. */
    Optional<UpstreamBeat> row(String name) {
        return newest(name).map(row -> row.beat);
    }

    private Optional<Row> newest(String name) {
        return Optional.ofNullable(names.get(name)).map(starts -> starts.rows.getLast());
    }

    private Stream<Row> rows() {
        return names.values().stream().flatMap(starts -> starts.rows.stream());
    }

    void tick(long now) {
        changes.entrySet().removeIf(change -> now > change.getValue().until);
        rows().forEach(row -> tick(now, row));
        names.values().forEach(starts -> starts.rows.removeIf(row -> isForgotten(now, row)));
        names.values().removeIf(starts -> starts.rows.isEmpty());
    }

    private void tick(long now, Row row) {
        putChanging(row);
        boolean ended = row.beat.getDeleted() || row.beat.getLapsed();
        if (!ended && now - row.heardAt > LEASE) {
            put(row, row.beat.toBuilder().setLapsed(true).build());
        }
    }

    private static boolean isForgotten(long now, Row row) {
        boolean ended = row.beat.getDeleted() || row.beat.getLapsed();
        return ended && now - row.heardAt > GONE_KEPT;
    }

    /** Adds what a subscriber lacks to an update. */
    void describe(boolean whole, long heldVersion, Update.Builder update) {
        rows().filter(row -> whole || row.beat.getChangedAt() > heldVersion)
                .forEach(row -> update.addUpstreams(row.beat));
    }
}
