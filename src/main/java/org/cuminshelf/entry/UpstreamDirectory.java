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
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.HeldDirectories;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.OpenSession;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamKind;

/**
 * The table of upstreams: who is there according to the control processes, and the sessions with those in this
 * entry's subset.
 *
 * <p>An upstream is gone when no control process lists it any more; the view of one alone removes nothing. When no
 * control process can be reached the table stays as it was. A session's silence is this entry's own view: it keeps
 * new work away from here and tells nobody else.
 */
final class UpstreamDirectory {

    private static final long OPEN_AGAIN = Durations.nanos(500);
    private static final long HEARTBEAT_IN_USE = Durations.nanos(1_000);
    private static final long HEARTBEAT_IDLE = Durations.nanos(5_000);
    private static final long IN_USE = Durations.nanos(10_000);
    private static final long SILENT = Durations.nanos(2_500);
    private static final long FIRST_AVOID = Durations.nanos(250);
    private static final int LARGEST_AVOID_SHIFT = 6;

    private final EntrySettings settings;
    private final Address self;
    private final Map<Address, UpstreamRow> rows = new TreeMap<>();
    private final Map<String, List<UpstreamRow>> subsets = new HashMap<>();
    /** Number of upstreams of each target in the whole directory. */
    private final Map<String, Integer> totals = new HashMap<>();

    private final HeldDirectories directories = HeldDirectories.none();
    private boolean changed;
    private long nextHeartbeat;

    UpstreamDirectory(EntrySettings settings, Address self, long now) {
        this.settings = settings;
        this.self = self;
        this.nextHeartbeat = now;
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

    /** The upstreams of a service or model among which this entry chooses. */
    List<UpstreamRow> subset(String target) {
        rebuildIfChanged();
        return subsets.getOrDefault(target, List.of());
    }

    /**
     * How many entries send to each upstream of a subset, by the size of the fleet and the number of entries.
     *
     * @return at least 1
     */
    double entriesSharing(String target, int entries) {
        rebuildIfChanged();
        int all = totals.getOrDefault(target, 1);
        return Math.max(1, (double) entries * subset(target).size() / all);
    }

    void onUpdate(Address control, Update update) {
        if (directories.isStale(control, update)) {
            return;
        }
        directories.note(control, update);
        if (update.getWholeDirectory()) {
            rows.values().forEach(row -> row.listedBy.remove(control));
            changed = true;
        }
        for (Member member : update.getMembersList()) {
            onMember(control, member);
        }
    }

    private void onMember(Address control, Member member) {
        changed = true;
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

    /** Takes the session of a sidecar; returns whether the sidecar is another incarnation than before. */
    boolean onSession(long now, UpstreamRow row, long incarnation, long session, LoadReport load) {
        boolean restarted = row.session != 0 && (row.incarnation != incarnation || row.session != session);
        if (row.incarnation != incarnation || restarted) {
            row.restart(incarnation);
        }
        row.session = session;
        heard(now, row);
        row.onLoad(load);
        return restarted;
    }

    void heard(long now, UpstreamRow row) {
        row.lastHeard = now;
        row.unansweredSince = 0;
    }

    void succeeded(UpstreamRow row) {
        row.failures = 0;
    }

    /** Keeps new work away for a while that doubles with each failure in a row. */
    void failed(long now, UpstreamRow row) {
        int shift = Math.min(row.failures, LARGEST_AVOID_SHIFT);
        row.failures++;
        row.avoidUntil = Math.max(row.avoidUntil, now + (FIRST_AVOID << shift));
    }

    /**
     * Whether questions to the sidecar stay without an answer. An upstream that was asked nothing is not silent:
     * between two heartbeats of an idle one more time passes than silence would take.
     */
    boolean isSilent(long now, UpstreamRow row) {
        return row.unansweredSince != 0 && now - row.unansweredSince > SILENT;
    }

    void tick(long now, Outbox out) {
        rebuildIfChanged();
        if (now < nextHeartbeat) {
            return;
        }
        nextHeartbeat = now + OPEN_AGAIN;
        for (UpstreamRow row : openRows()) {
            long every = heartbeatEvery(now, row);
            if (row.openSentAt == 0 || now - row.openSentAt >= every) {
                open(now, row, out);
            }
        }
        rows.values().removeIf(row -> !row.isListed() && row.running == 0 && isSilent(now, row));
    }

    private static long heartbeatEvery(long now, UpstreamRow row) {
        if (row.session == 0 || row.unansweredSince != 0) {
            return OPEN_AGAIN;
        }
        return now - row.lastUsed < IN_USE ? HEARTBEAT_IN_USE : HEARTBEAT_IDLE;
    }

    long nextDue() {
        return rows.isEmpty() ? Core.NEVER : nextHeartbeat;
    }

    private void open(long now, UpstreamRow row, Outbox out) {
        row.openSentAt = now;
        row.unansweredSince = row.unansweredSince == 0 ? now : row.unansweredSince;
        Envelope.Builder message = Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance());
        if (row.session != 0 && isSilent(now, row)) {
            out.sendFresh(row.address, message);
        } else {
            out.send(row.address, message);
        }
    }

    private Set<UpstreamRow> openRows() {
        Set<UpstreamRow> open = new LinkedHashSet<>();
        subsets.values().forEach(open::addAll);
        rows.values().stream().filter(row -> row.running > 0).forEach(open::add);
        return open;
    }

    private void rebuildIfChanged() {
        if (!changed) {
            return;
        }
        changed = false;
        subsets.clear();
        for (UpstreamRow row : rows.values()) {
            if (row.isListed()) {
                for (String target : targets(row)) {
                    subsets.computeIfAbsent(target, key -> new ArrayList<>()).add(row);
                }
            }
        }
        totals.clear();
        subsets.forEach((target, all) -> totals.put(target, all.size()));
        subsets.replaceAll((target, all) -> choose(all));
    }

    private static List<String> targets(UpstreamRow row) {
        return row.member.getKind() == UpstreamKind.UPSTREAM_ENGINE
                ? row.member.getModelsList()
                : List.of(row.member.getService());
    }

    /** Two thirds from the own availability zone, the rest from the others, each by rendezvous hashing. */
    private List<UpstreamRow> choose(List<UpstreamRow> all) {
        if (all.size() <= settings.subsetSize()) {
            return all;
        }
        List<UpstreamRow> near = ranked(all, true);
        List<UpstreamRow> far = ranked(all, false);
        int fromNear = Math.min(near.size(), settings.subsetSize() * 2 / 3);
        int fromFar = Math.min(far.size(), settings.subsetSize() - fromNear);
        fromNear = Math.min(near.size(), settings.subsetSize() - fromFar);
        List<UpstreamRow> chosen = new ArrayList<>(near.subList(0, fromNear));
        chosen.addAll(far.subList(0, fromFar));
        return chosen;
    }

    private List<UpstreamRow> ranked(List<UpstreamRow> all, boolean near) {
        return all.stream()
                .filter(row -> row.member.getZone().equals(settings.zone()) == near)
                .sorted(Comparator.comparingLong(this::rank))
                .toList();
    }

    private long rank(UpstreamRow row) {
        byte[] pair = (self.value() + "|" + row.address.value()).getBytes(StandardCharsets.US_ASCII);
        return LongHashFunction.xx3().hashBytes(pair);
    }
}
