package org.cuminshelf.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.QuarantineRelease;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.PoisonRegistry;
import org.cuminshelf.poison.Quarantine;
import org.cuminshelf.replica.Replica;
import org.tinylog.Logger;

/**
 * Collects the crash reports and quarantined requests that entries send, and stores the quarantine in the log of the
 * global group. A quarantined (poison) request is one that crashes the upstreams that run it.
 *
 * <p>Failure it guards against: all processes lose power, the quarantine is lost, and a quarantined request crashes
 * three more upstreams. Crash reports are kept in memory only: they matter for the seconds between the first and the
 * third crash, and each entry sends all its reports to a restarted control process.
 */
final class QuarantineManager {

    /** Time after which a log entry that was not committed is proposed again. */
    private static final long REPROPOSE_INTERVAL_NANOS = Durations.nanos(2_000);

    private static final long NONE_PERSISTED = -1;

    private final Replica replica;
    private final Quarantine durable;
    private final PoisonRegistry register;
    private final SidecarDirectory directory;
    private final Map<Fingerprint, Long> proposedAt = new HashMap<>();
    private long mergedDurableChanges;
    /** On a leader, the change count of the register at which the log held all quarantined requests. */
    private long persistedRegisterChanges = NONE_PERSISTED;

    private volatile long quarantinedCount;

    QuarantineManager(Replica replica, Quarantine durable, PoisonRegistry register, SidecarDirectory directory) {
        this.replica = replica;
        this.durable = durable;
        this.register = register;
        this.directory = directory;
    }

    void onSubscribe(long now, Subscribe subscribe) {
        register.merge(now, subscribe.getCrashesList(), subscribe.getQuarantinedList(), directory::nextVersion);
    }

    /** Merges the log's quarantine into the register and, on the leader, proposes requests missing from the log. */
    void tick(long now, long wallMillis) {
        if (mergedDurableChanges != durable.changeCount()) {
            mergedDurableChanges = durable.changeCount();
            durable.all().forEach(request -> register.merge(now, request, directory::nextVersion));
        }
        register.takeChangedRows().forEach(QuarantineManager::log);
        quarantinedCount = register.quarantine().quarantinedCount();
        if (!replica.isLeader()) {
            proposedAt.clear();
            persistedRegisterChanges = NONE_PERSISTED;
        } else if (persistedRegisterChanges != register.quarantine().changeCount()) {
            proposeMissing(now, wallMillis);
        }
    }

    private void proposeMissing(long now, long wallMillis) {
        List<QuarantinedRequest> missing = register.quarantine().all().stream()
                .filter(request -> !durable.hasSameOrNewer(request))
                .toList();
        missing.forEach(request -> propose(now, wallMillis, request));
        if (missing.isEmpty()) {
            persistedRegisterChanges = register.quarantine().changeCount();
        }
    }

    private static void log(QuarantinedRequest request) {
        Logger.info(
                "control: event=poison id={} outcome={} generation={} upstreams={} found-by={} released-by={}"
                        + " reason=\"{}\"",
                Quarantine.fingerprint(request),
                request.getReleased() ? "released" : "quarantined",
                request.getGeneration(),
                request.getUpstreamsList(),
                request.getFoundBy(),
                request.getReleasedBy(),
                request.getReason());
    }

    private void propose(long now, long wallMillis, QuarantinedRequest request) {
        Long previous = proposedAt.get(Quarantine.fingerprint(request));
        if (previous != null && now - previous < REPROPOSE_INTERVAL_NANOS) {
            return;
        }
        proposedAt.put(Quarantine.fingerprint(request), now);
        long foundMillis = request.getFoundMs() == 0 ? wallMillis : request.getFoundMs();
        replica.propose(
                now, LogEntry.newBuilder().setQuarantined(request.toBuilder().setFoundMs(foundMillis)));
    }

    /** Number of quarantined requests; callable from any thread. */
    long quarantinedCount() {
        return quarantinedCount;
    }

    /** Builds the released state of a request, or empty if the request is not quarantined. */
    Optional<QuarantinedRequest> release(long wallMillis, QuarantineRelease release) {
        Fingerprint fingerprint = new Fingerprint(release.getHigh(), release.getLow());
        return register.quarantine().releaseRow(fingerprint, release.getAuthor(), release.getReason(), wallMillis);
    }
}
