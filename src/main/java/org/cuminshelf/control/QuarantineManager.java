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
 * What control knows of poison requests: it passes on what entries tell, and keeps the quarantine in the global group's
 * log.
 *
 * <p>Failure it guards against: all processes lose power, nobody knows a quarantined request any more, and it ends
 * three more upstreams. The crashes themselves are kept in memory only: they matter for the seconds between the first
 * and the third, and each entry tells all it knows to a control process that started anew.
 */
final class QuarantineManager {

    /** Time after which an entry of the log that was not committed is proposed again. */
    private static final long PROPOSED_AGAIN = Durations.nanos(2_000);

    private static final long NOTHING_WRITTEN = -1;

    private final Replica replica;
    private final Quarantine durable;
    private final PoisonRegistry register;
    private final SidecarDirectory versions;
    private final Map<Fingerprint, Long> proposed = new HashMap<>();
    private long learnt;
    /** Changes of the register of which all are in the log, on a leader. */
    private long written = NOTHING_WRITTEN;

    private volatile long quarantined;

    QuarantineManager(Replica replica, Quarantine durable, PoisonRegistry register, SidecarDirectory versions) {
        this.replica = replica;
        this.durable = durable;
        this.register = register;
        this.versions = versions;
    }

    void onSubscribe(long now, Subscribe subscribe) {
        register.merge(now, subscribe.getCrashesList(), subscribe.getQuarantinedList(), versions::nextVersion);
    }

    /** Learns what the log holds, and, on the leader, writes down what it doesn't. */
    void tick(long now, long wallMillis) {
        if (learnt != durable.changeCount()) {
            learnt = durable.changeCount();
            durable.all().forEach(row -> register.merge(now, row, versions::nextVersion));
        }
        register.takeChangedRows().forEach(QuarantineManager::log);
        quarantined = register.quarantine().quarantinedCount();
        if (!replica.isLeader()) {
            proposed.clear();
            written = NOTHING_WRITTEN;
        } else if (written != register.quarantine().changeCount()) {
            writeDown(now, wallMillis);
        }
    }

    private void writeDown(long now, long wallMillis) {
        List<QuarantinedRequest> missing = register.quarantine().all().stream()
                .filter(row -> !durable.hasSameOrNewer(row))
                .toList();
        missing.forEach(row -> propose(now, wallMillis, row));
        if (missing.isEmpty()) {
            written = register.quarantine().changeCount();
        }
    }

    private static void log(QuarantinedRequest row) {
        Logger.info(
                "control: event=poison id={} outcome={} generation={} upstreams={} found-by={} released-by={}"
                        + " reason=\"{}\"",
                Quarantine.fingerprint(row),
                row.getReleased() ? "released" : "quarantined",
                row.getGeneration(),
                row.getUpstreamsList(),
                row.getFoundBy(),
                row.getReleasedBy(),
                row.getReason());
    }

    private void propose(long now, long wallMillis, QuarantinedRequest row) {
        Long before = proposed.get(Quarantine.fingerprint(row));
        if (before != null && now - before < PROPOSED_AGAIN) {
            return;
        }
        proposed.put(Quarantine.fingerprint(row), now);
        long foundMillis = row.getFoundMs() == 0 ? wallMillis : row.getFoundMs();
        replica.propose(
                now, LogEntry.newBuilder().setQuarantined(row.toBuilder().setFoundMs(foundMillis)));
    }

    /** Requests that are refused, for any thread to read. */
    long quarantined() {
        return quarantined;
    }

    /** What releases a request, or nothing where it is not quarantined. */
    Optional<QuarantinedRequest> release(long wallMillis, QuarantineRelease release) {
        Fingerprint request = new Fingerprint(release.getHigh(), release.getLow());
        return register.quarantine().releaseRow(request, release.getAuthor(), release.getReason(), wallMillis);
    }
}
