package org.cuminshelf.control;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
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
 * <p>Failure it guards against: a heartbeat is delayed and arrives after the word that its sender is gone, or after a
 * newer one. The sequence orders the words of one start; a start that said it is gone stays gone.
 */
final class Registry {

    /** Silence after which an upstream counts as lapsed: four heartbeats of 1.2 s, so that a lost one is no matter. */
    private static final long LEASE = Durations.nanos(5_000);
    /** How long the word that an upstream is gone is kept; delayed heartbeats arrive within seconds. */
    private static final long GONE_KEPT = Durations.nanos(60_000);

    private static final class Row {
        private UpstreamBeat beat;
        private long heardAt;
        private Role changingTo = Role.ROLE_MIXED;
        private long changingUntil;
    }

    private final Directory versions;
    private final Map<String, Row> rows = new TreeMap<>();

    Registry(Directory versions) {
        this.versions = versions;
    }

    /** Takes an announcement; what came from the upstream itself is passed on to the other control processes. */
    void onBeat(long now, UpstreamBeat beat, List<Address> others, Outbox out) {
        Row row = rows.get(beat.getId());
        boolean stale = row != null
                && (row.beat.getDeleted() || !beat.getDeleted() && beat.getSequence() < row.beat.getSequence());
        if (stale) {
            return;
        }
        if (row == null) {
            row = new Row();
            rows.put(beat.getId(), row);
        }
        row.heardAt = now;
        put(row, merged(row.beat, beat));
        if (!beat.getPassedOn()) {
            UpstreamBeat passed = row.beat.toBuilder().setPassedOn(true).build();
            others.forEach(other -> out.send(other, Envelope.newBuilder().setUpstreamBeat(passed)));
        }
    }

    /** The word that an upstream is gone names nothing but its identity; the rest stays as it was. */
    private static UpstreamBeat merged(UpstreamBeat before, UpstreamBeat beat) {
        if (beat.getDeleted() && before != null) {
            return before.toBuilder().setDeleted(true).setLapsed(false).build();
        }
        boolean leaving = beat.getLeaving() || before != null && before.getLeaving();
        boolean changing = before != null && before.getChanging();
        return beat.toBuilder()
                .setLeaving(leaving)
                .setLapsed(false)
                .setChanging(changing)
                .build();
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
    void changing(String id, Role role, long until) {
        Row row = rows.get(id);
        if (row != null && row.beat.getRole() != role) {
            row.changingTo = role;
            row.changingUntil = until;
            put(row, row.beat.toBuilder().setChanging(true).build());
        }
    }

    /** The upstreams that are neither gone nor leaving. */
    List<UpstreamBeat> serving() {
        return rows.values().stream()
                .map(row -> row.beat)
                .filter(beat -> !beat.getDeleted() && !beat.getLapsed() && !beat.getLeaving())
                .toList();
    }

    Optional<UpstreamBeat> row(String id) {
        return Optional.ofNullable(rows.get(id)).map(row -> row.beat);
    }

    void tick(long now) {
        Iterator<Row> all = rows.values().iterator();
        while (all.hasNext()) {
            Row row = all.next();
            if (row.beat.getChanging() && (row.beat.getRole() == row.changingTo || now > row.changingUntil)) {
                put(row, row.beat.toBuilder().setChanging(false).build());
            }
            boolean ended = row.beat.getDeleted() || row.beat.getLapsed();
            if (!ended && now - row.heardAt > LEASE) {
                put(row, row.beat.toBuilder().setLapsed(true).build());
            } else if (ended && now - row.heardAt > GONE_KEPT) {
                all.remove();
            }
        }
    }

    /** Adds what a subscriber lacks to an update. */
    void describe(boolean whole, long heldVersion, Update.Builder update) {
        for (Row row : rows.values()) {
            if (whole || row.beat.getChangedAt() > heldVersion) {
                update.addUpstreams(row.beat);
            }
        }
    }
}
