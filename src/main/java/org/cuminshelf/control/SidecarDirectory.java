package org.cuminshelf.control;

import java.util.Collection;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.PauseDetector;
import org.cuminshelf.message.Announce;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.Update;

/**
 * The upstreams whose sidecars announce themselves to this control process, and the version counter of the changes sent
 * to subscribers. The directory is not replicated: each sidecar announces itself to every control process of its
 * region, and each control process sends its subscribers only the changes.
 */
final class SidecarDirectory {

    /** Time without an announcement after which an upstream is marked as gone. */
    private static final long LEASE_NANOS = Durations.nanos(4_000);

    private static final long MAX_TICK_INTERVAL_NANOS = Durations.nanos(1_000);
    /** Time since the last announcement after which an upstream is removed. */
    private static final long GONE_RETENTION_NANOS = Durations.nanos(120_000);

    /** An upstream and its last announcement. */
    static final class AnnouncedUpstream {
        Member member;
        LoadReport load;
        long lastAnnouncedAt;
        long configVersion;
        boolean checksFence;
    }

    private final PauseDetector pauses = PauseDetector.create(MAX_TICK_INTERVAL_NANOS);
    private final long incarnation;
    private final Map<Address, AnnouncedUpstream> upstreamsByAddress = new TreeMap<>();
    private long version = 1;
    private long urgentVersion = 1;
    /** Subscribers that hold an older version get the complete directory, because upstreams were removed since. */
    private long oldestIncrementalVersion = 1;

    SidecarDirectory(long incarnation) {
        this.incarnation = incarnation;
    }

    long version() {
        return version;
    }

    /** Assigns a version to an urgent change of another list that is published together with this one. */
    long nextVersion() {
        return nextVersion(true);
    }

    /** Assigns a version to a change; one that is not urgent is sent in reply to a subscriber's next request. */
    long nextVersion(boolean urgent) {
        version++;
        urgentVersion = urgent ? version : urgentVersion;
        return version;
    }

    /** The version of the last change that is published to subscribers at once. */
    long urgentVersion() {
        return urgentVersion;
    }

    Collection<AnnouncedUpstream> upstreams() {
        return upstreamsByAddress.values();
    }

    Optional<AnnouncedUpstream> find(Address address) {
        return Optional.ofNullable(upstreamsByAddress.get(address));
    }

    void onAnnounce(long now, Address from, long sidecarIncarnation, Announce announce) {
        AnnouncedUpstream upstream = upstreamsByAddress.computeIfAbsent(from, key -> new AnnouncedUpstream());
        upstream.lastAnnouncedAt = now;
        upstream.load = announce.getLoad();
        upstream.configVersion = announce.getConfigVersion();
        upstream.checksFence = announce.getChecksFence();
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
        update(upstream, member);
    }

    private void update(AnnouncedUpstream upstream, Member member) {
        boolean unchanged = upstream.member != null
                && upstream.member.toBuilder().setChangedAt(0).build().equals(member);
        if (!unchanged) {
            upstream.member = member.toBuilder().setChangedAt(nextVersion()).build();
        }
    }

    /** Marks upstreams with silent sidecars as gone, and removes them after the retention time. */
    void tick(long now) {
        long pauseNanos = pauses.onTick(now);
        if (pauseNanos > 0) {
            // Announcements that arrived meanwhile have not been read yet.
            upstreamsByAddress
                    .values()
                    .forEach(upstream ->
                            upstream.lastAnnouncedAt = Math.min(now, upstream.lastAnnouncedAt + pauseNanos));
        }
        Iterator<Map.Entry<Address, AnnouncedUpstream>> upstreams =
                upstreamsByAddress.entrySet().iterator();
        while (upstreams.hasNext()) {
            AnnouncedUpstream upstream = upstreams.next().getValue();
            if (!upstream.member.getGone() && now - upstream.lastAnnouncedAt > LEASE_NANOS) {
                update(
                        upstream,
                        upstream.member.toBuilder()
                                .setGone(true)
                                .setChangedAt(0)
                                .build());
            } else if (upstream.member.getGone() && now - upstream.lastAnnouncedAt > GONE_RETENTION_NANOS) {
                oldestIncrementalVersion = Math.max(oldestIncrementalVersion, upstream.member.getChangedAt() + 1);
                upstreams.remove();
            }
        }
    }

    long nextDue(long now) {
        return upstreamsByAddress.isEmpty() ? Core.NEVER : now + LEASE_NANOS / 4;
    }

    /** Adds the changes that a subscriber lacks to an update. Returns whether the update holds the complete list. */
    boolean addMissing(long heldIncarnation, long heldVersion, Update.Builder update) {
        boolean complete = heldIncarnation != incarnation || heldVersion < oldestIncrementalVersion;
        update.setDirectoryIncarnation(incarnation)
                .setDirectoryVersion(version)
                .setDirectorySince(heldVersion)
                .setWholeDirectory(complete);
        for (AnnouncedUpstream upstream : upstreamsByAddress.values()) {
            boolean changed = upstream.member.getChangedAt() > heldVersion;
            if (complete ? !upstream.member.getGone() : changed) {
                update.addMembers(upstream.member);
            }
        }
        return complete;
    }
}
