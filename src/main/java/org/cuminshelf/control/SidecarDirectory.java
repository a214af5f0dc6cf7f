package org.cuminshelf.control;

import java.util.Collection;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Announce;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.Update;

/**
 * The upstreams that announce themselves to this control process. It is not replicated: each sidecar announces to
 * every control process of its region, and each of them tells its subscribers only what changed.
 */
final class SidecarDirectory {

    private static final long LEASE = Durations.nanos(4_000);
    private static final long GONE_KEPT = Durations.nanos(120_000);

    /** One upstream and what it said last. */
    static final class Row {
        Member member;
        LoadReport load;
        long heardAt;
        long configVersion;
        boolean checksFence;
    }

    private final long incarnation;
    private final Map<Address, Row> rows = new TreeMap<>();
    private long version = 1;
    private long urgentVersion = 1;
    /** Subscribers that hold an older version get the whole directory. */
    private long oldestComplete = 1;

    SidecarDirectory(long incarnation) {
        this.incarnation = incarnation;
    }

    long version() {
        return version;
    }

    /** The version of a change of another list that is told together with this one. */
    long nextVersion() {
        return nextVersion(true);
    }

    /** The same, for a change that need not be told before subscribers next ask. */
    long nextVersion(boolean urgent) {
        version++;
        urgentVersion = urgent ? version : urgentVersion;
        return version;
    }

    /** The version of the last change that subscribers hear of at once. */
    long urgentVersion() {
        return urgentVersion;
    }

    Collection<Row> rows() {
        return rows.values();
    }

    Optional<Row> row(Address address) {
        return Optional.ofNullable(rows.get(address));
    }

    void onAnnounce(long now, Address from, long sidecarIncarnation, Announce announce) {
        Row row = rows.computeIfAbsent(from, key -> new Row());
        row.heardAt = now;
        row.load = announce.getLoad();
        row.configVersion = announce.getConfigVersion();
        row.checksFence = announce.getChecksFence();
        Member member = Member.newBuilder()
                .setAddress(from.value())
                .setIncarnation(sidecarIncarnation)
                .setService(announce.getService())
                .setKind(announce.getKind())
                .setRegion(announce.getRegion())
                .setZone(announce.getZone())
                .setVm(announce.getVm())
                .setRole(announce.getLoad().getRole())
                .addAllModels(announce.getLoad().getModelsList())
                .addAllAdapters(announce.getLoad().getAdaptersList())
                .setLeaving(announce.getLeaving())
                .build();
        put(row, member);
    }

    private void put(Row row, Member member) {
        boolean same = row.member != null
                && row.member.toBuilder().setChangedAt(0).build().equals(member);
        if (!same) {
            row.member = member.toBuilder().setChangedAt(nextVersion()).build();
        }
    }

    /** Lapses the leases of sidecars that fell silent. */
    void tick(long now) {
        Iterator<Map.Entry<Address, Row>> all = rows.entrySet().iterator();
        while (all.hasNext()) {
            Row row = all.next().getValue();
            if (!row.member.getGone() && now - row.heardAt > LEASE) {
                put(row, row.member.toBuilder().setGone(true).setChangedAt(0).build());
            } else if (row.member.getGone() && now - row.heardAt > GONE_KEPT) {
                oldestComplete = Math.max(oldestComplete, row.member.getChangedAt() + 1);
                all.remove();
            }
        }
    }

    long nextDue(long now) {
        return rows.isEmpty() ? Core.NEVER : now + LEASE / 4;
    }

    /** Adds what a subscriber lacks to an update. Returns whether that is the whole list. */
    boolean describe(long heldIncarnation, long heldVersion, Update.Builder update) {
        boolean whole = heldIncarnation != incarnation || heldVersion < oldestComplete;
        update.setDirectoryIncarnation(incarnation)
                .setDirectoryVersion(version)
                .setDirectorySince(heldVersion)
                .setWholeDirectory(whole);
        for (Row row : rows.values()) {
            boolean news = row.member.getChangedAt() > heldVersion;
            if (whole ? !row.member.getGone() : news) {
                update.addMembers(row.member);
            }
        }
        return whole;
    }
}
