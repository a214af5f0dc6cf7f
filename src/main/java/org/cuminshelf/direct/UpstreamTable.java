package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.backpressure.LeavingUpstreams;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.HeldDirectories;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamLoad;

/**
 * The upstreams that this entry knows.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>All control processes were just killed and know nobody yet. An upstream that none lists any more is kept for
 *       {@link #UNLISTED_KEPT}, in which a living one has announced itself several times.</li>
 *   <li>A delayed announcement of an upstream that is gone arrives late and brings it back. Starts that ended are
 *       remembered for {@link #ENDED_KEPT} and never taken in again.</li>
 *   <li>An upstream starts again under its name, and what it held and how fast it was is believed of the new start:
 *       prompts count on parts that it lost. Each start has a row of its own, and the newest ends those before.</li>
 *   <li>Another upstream has the address. It refuses, its identity being another, and the old one ends here.</li>
 * </ul>
 */
final class UpstreamTable {

    private static final long UNLISTED_KEPT = Durations.nanos(6_000);
    private static final long ENDED_KEPT = Durations.nanos(60_000);
    /** What another entry told counts for as long; it tells ten times a second. */
    private static final long LOAD_KEPT = Durations.nanos(1_000);

    /**
     * Starts of a name that ended.
     *
     * @param upTo when the last of them started, in Unix milliseconds
     * @param at   when that was told, in nanoseconds
     */
    private record Ended(long upTo, long at) {}

    /**
     * What another entry told last.
     *
     * @param at   when, in nanoseconds
     * @param rows the upstreams where it has something under way
     */
    private record TakenLoad(long at, Set<UpstreamRow> rows) {}

    /** In the order in which they became known, so that equal inputs give equal decisions. */
    private final Map<String, UpstreamRow> rows = new LinkedHashMap<>();

    private final Map<String, List<UpstreamRow>> byService = new HashMap<>();
    /** The newest start of each name. */
    private final Map<String, UpstreamRow> byName = new HashMap<>();

    private final LinkedHashMap<String, Ended> ended = new LinkedHashMap<>();
    private final HeldDirectories directories = HeldDirectories.none();
    private final Map<Address, TakenLoad> loads = new HashMap<>();
    private final LeavingUpstreams leavers;
    private final DecisionLog log;

    UpstreamTable(LeavingUpstreams leavers, DecisionLog log) {
        this.leavers = leavers;
        this.log = log;
    }

    Collection<UpstreamRow> rows() {
        return rows.values();
    }

    List<UpstreamRow> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    Optional<UpstreamRow> row(String id) {
        return Optional.ofNullable(rows.get(id));
    }

    long directoryIncarnation(Address control) {
        return directories.incarnation(control);
    }

    long directoryVersion(Address control) {
        return directories.version(control);
    }

    void onUpdate(long now, Address control, Update update) {
        if (directories.isStale(control, update)) {
            return;
        }
        directories.note(control, update);
        if (update.getWholeDirectory()) {
            rows.values().forEach(row -> unlist(now, row, control));
        }
        update.getUpstreamsList().forEach(beat -> onBeat(now, control, beat));
    }

    private void onBeat(long now, Address control, UpstreamBeat beat) {
        if (beat.getDeleted()) {
            Optional.ofNullable(byName.get(beat.getName()))
                    .filter(row -> row.bornMillis <= beat.getBornMs())
                    .ifPresent(row -> row.announcedEnd = true);
            end(now, beat.getName(), beat.getBornMs(), "deleted");
            return;
        }
        if (isPast(beat)) {
            return;
        }
        UpstreamRow row = rows.get(beat.getId());
        if (beat.getLapsed()) {
            if (row != null) {
                unlist(now, row, control);
            }
            return;
        }
        boolean known = row != null;
        if (!known) {
            row = add(now, beat);
        }
        boolean changed = row.onBeat(beat);
        row.listedBy.add(control);
        row.unlistedSince = Core.NEVER;
        if (changed || !known) {
            log.note(
                    "upstream",
                    row.id,
                    "state",
                    row.leaving ? "leaving" : "serving",
                    "service",
                    row.service,
                    "role",
                    row.role,
                    "address",
                    row.address,
                    "sequence",
                    row.sequence,
                    "told-by",
                    control);
        }
    }

    /** Whether a word is of a start that ended, or that a newer one of the same name followed. */
    private boolean isPast(UpstreamBeat beat) {
        Ended past = ended.get(beat.getName());
        UpstreamRow newest = byName.get(beat.getName());
        return past != null && beat.getBornMs() <= past.upTo || newest != null && beat.getBornMs() < newest.bornMillis;
    }

    private UpstreamRow add(long now, UpstreamBeat beat) {
        UpstreamRow before = byName.get(beat.getName());
        if (before != null) {
            end(now, before, "it started again");
        }
        UpstreamRow row = new UpstreamRow(now, beat);
        if (leavers.contains(row.id)) {
            row.leave();
        }
        rows.put(row.id, row);
        byName.put(row.name, row);
        byService.computeIfAbsent(row.service, key -> new ArrayList<>()).add(row);
        return row;
    }

    private static void unlist(long now, UpstreamRow row, Address control) {
        row.listedBy.remove(control);
        if (row.listedBy.isEmpty() && row.unlistedSince == Core.NEVER) {
            row.unlistedSince = now;
        }
    }

    /** A start said that it leaves, to this entry or to another one; it gets no new work. */
    void leaves(long now, String id, boolean directly, String source) {
        if (leavers.add(now, id, directly)) {
            row(id).ifPresent(UpstreamRow::leave);
            log.note("upstream", id, "outcome", "leaving-stated", "source", source);
        }
    }

    /** A start ended; it is never taken in again. */
    void end(long now, UpstreamRow row, String reason) {
        end(now, row.name, row.bornMillis, reason);
    }

    /** All starts of a name up to a time ended. */
    private void end(long now, String name, long upTo, String reason) {
        Ended before = ended.remove(name);
        ended.put(name, new Ended(before == null ? upTo : Math.max(upTo, before.upTo), now));
        UpstreamRow row = byName.get(name);
        if (row != null && row.bornMillis <= upTo) {
            row.leaving = true;
            remove(row);
            log.note("upstream", row.id, "state", "ended", "reason", reason);
        }
    }

    private void remove(UpstreamRow row) {
        rows.remove(row.id);
        byName.remove(row.name, row);
        byService.get(row.service).remove(row);
    }

    /**
     * Takes what another entry has under way. Only upstreams that it names, or named before, are touched: with all of
     * them looked at, this took four tenths of the processor time of an entry's decisions at 33 entries.
     */
    void onLoad(long now, Address entry, EntryLoad load) {
        Set<UpstreamRow> told = new HashSet<>();
        for (UpstreamLoad one : load.getUpstreamsList()) {
            UpstreamRow row = rows.get(one.getId());
            if (row != null) {
                row.onLoad(entry, one, LoadGossip.waiting(now, one));
                told.add(row);
            }
        }
        TakenLoad before = loads.put(entry, new TakenLoad(now, told));
        if (before == null) {
            return;
        }
        for (UpstreamRow row : before.rows) {
            if (!told.contains(row)) {
                row.forgetLoad(entry);
            }
        }
    }

    /** Forgets what is too old. */
    void tick(long now) {
        List<UpstreamRow> silent = rows.values().stream()
                .filter(row -> row.unlistedSince != Core.NEVER && now - row.unlistedSince > UNLISTED_KEPT)
                .toList();
        silent.forEach(this::forget);
        Iterator<Ended> oldest = ended.values().iterator();
        while (oldest.hasNext() && now - oldest.next().at > ENDED_KEPT) {
            oldest.remove();
        }
        loads.entrySet().removeIf(entry -> {
            boolean old = now - entry.getValue().at > LOAD_KEPT;
            if (old) {
                entry.getValue().rows.forEach(row -> row.forgetLoad(entry.getKey()));
            }
            return old;
        });
    }

    /** It fell silent; unlike a start that ended it may announce itself again. */
    private void forget(UpstreamRow row) {
        remove(row);
        log.note("upstream", row.id, "state", "silent", "service", row.service);
    }
}
