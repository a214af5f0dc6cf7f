package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamCrash;
import org.cuminshelf.poison.ChangeSequence;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.PoisonRegistry;
import org.cuminshelf.poison.Quarantine;

/**
 * Refuses poison requests, and finds them together with the other entries.
 *
 * <p>Failure it guards against: a request crashes each upstream that runs it, its caller sends it again, under another
 * id and to another entry, and it is placed like any other: one such request was seen to end sixteen engines, with 5 to
 * 55 streams of others each time. What an entry sees of crashes goes to all control processes, and from them to all
 * entries, so that messages grow with the number of entries, and an entry that was restarted, or doesn't hear another,
 * knows as much as the rest. Entries come to the same conclusion from the same crashes; whichever is first tells it.
 *
 * <p>Where no crash is known a request costs one comparison here; else a hash of its body.
 */
final class PoisonGuard {

    /**
     * When to come back with a quarantined request, in milliseconds: an operator has to look at it first. Callers that
     * honour it stop asking.
     */
    static final long QUARANTINED_RETRY_AFTER_MILLIS = 3_600_000;
    /** When to come back with one of which it isn't known yet whether it is poison: once all crashes are told. */
    static final long UNSETTLED_RETRY_AFTER_MILLIS = 500;
    /** Starts that crashed under a request from which it isn't placed again within a call. */
    private static final int MAX_CRASHES_PER_CALL = 2;
    /** Number of changes that came from control: below all of this entry's own, and above none. */
    private static final long LEARNED_CHANGE_NUMBER = 1;
    /**
     * How long a start that crashed gets no calls: until it is forgotten, 5 s after its last heartbeat at control and
     * 6 s after that here. What comes back is another start. Guards against each entry finding out by a call of its
     * own: a route with one attempt loses it, so that a crash costs as many calls as there are entries. At a hundred
     * entries in virtual time 0.66 of the calls around three crashes were served without it, 0.92 with it.
     */
    private static final long CRASHED_AVOIDANCE_NANOS = Durations.nanos(12_000);
    /** Least time between two urgent words to control: a crash is seen in several broken attempts. */
    private static final long MIN_URGENT_REPORT_INTERVAL_NANOS = Durations.nanos(10);
    /** How often requests are counted for the metrics, which other threads read. */
    private static final long COUNT_INTERVAL_NANOS = Durations.nanos(1_000);

    /** How the log names a refusal, and when the caller may come back. */
    record Refusal(String outcome, long retryAfterMillis) {}

    private final PoisonRegistry register = new PoisonRegistry();
    private final UpstreamTable upstreams;
    private final CrashDetector crashDetector;
    private final String vm;
    private final DecisionLog log;
    /** Up to which of this entry's changes each control process has heard. */
    private final Map<Address, Long> acknowledgedChanges = new HashMap<>();

    private final ChangeSequence localChanges = this::nextChangeNumber;
    private long version = LEARNED_CHANGE_NUMBER;
    private boolean reportUrgent;
    private long nextUrgentReportNanos = Long.MIN_VALUE;
    private long nextCountNanos = Long.MIN_VALUE;
    private volatile long suspects;
    private volatile long quarantined;

    PoisonGuard(UpstreamClient client, UpstreamTable upstreams, LongSupplier clock, String vm, DecisionLog log) {
        this.upstreams = upstreams;
        this.crashDetector = new CrashDetector(client, upstreams, clock, log, this::onCrash);
        this.vm = vm;
        this.log = log;
    }

    private long nextChangeNumber(boolean urgent) {
        reportUrgent |= urgent;
        return ++version;
    }

    // ---- calls

    /** Why a call is refused before anything is done for it, if it is. */
    Optional<Refusal> refusal(long now, DirectCall call) {
        if (register.isEmpty()) {
            return Optional.empty();
        }
        if (register.isQuarantined(call.fingerprint())) {
            return Optional.of(new Refusal("quarantined", QUARANTINED_RETRY_AFTER_MILLIS));
        }
        if (register.isSettling(now, call.fingerprint())) {
            return Optional.of(new Refusal("upstreams-crashed", UNSETTLED_RETRY_AFTER_MILLIS));
        }
        return Optional.empty();
    }

    /** An attempt that had been sent broke. */
    void onAttemptFailed(long now, DirectAttempt attempt) {
        crashDetector.onAttemptFailed(now, attempt);
    }

    /**
     * Whether a call may be placed once more. Guards against a request that ends upstream after upstream within one
     * call, faster than anybody can tell: from the second on its caller has to come back.
     */
    boolean mayRetry(DirectCall call) {
        return register.isEmpty()
                || register.crashedUpstreams(call.fingerprint()).size() < MAX_CRASHES_PER_CALL;
    }

    /** A call ended well, so it is no poison. */
    void onSuccess(long now, DirectCall call) {
        if (register.isEmpty()) {
            return;
        }
        int crashes = register.crashedUpstreams(call.fingerprint()).size();
        if (register.onSuccess(now, call.fingerprint(), vm, localChanges) && crashes >= MAX_CRASHES_PER_CALL) {
            log.note("poison", call.fingerprint().toString(), "outcome", "cleared", "crashes", crashes);
        }
    }

    private void onCrash(long now, String upstream, Fingerprint request, Involvement involvement) {
        avoidInstance(now, upstream);
        if (!register.onCrash(now, upstream, request, involvement, localChanges)) {
            return;
        }
        int crashes = register.crashedUpstreams(request).size();
        if (crashes >= MAX_CRASHES_PER_CALL) {
            log.note(
                    "poison",
                    request.toString(),
                    "outcome",
                    "suspect",
                    "crashes",
                    crashes,
                    "upstream",
                    upstream,
                    "involvement",
                    involvement);
        }
    }

    private void avoidInstance(long now, String upstream) {
        upstreams.instance(upstream).ifPresent(row -> row.avoid(now + CRASHED_AVOIDANCE_NANOS));
    }

    // ---- what control tells and hears

    void onUpdate(long now, Address control, Update update) {
        acknowledgedChanges.put(control, update.getPoisonHeard());
        update.getCrashesList().stream()
                .map(UpstreamCrash::getUpstream)
                .filter(upstream -> !register.hasCrashed(upstream))
                .forEach(upstream -> avoidInstance(now, upstream));
        register.merge(
                now,
                update.getCrashesList(),
                update.getQuarantinedList(),
                ChangeSequence.constant(LEARNED_CHANGE_NUMBER));
        crashDetector.onUpstreamsChanged(now);
    }

    /** Adds what a control process has not heard yet. */
    void addChanges(Address control, Subscribe.Builder subscribe) {
        long since = acknowledgedChanges.getOrDefault(control, 0L);
        subscribe
                .setPoisonVersion(version)
                .setPoisonSince(since)
                .addAllCrashes(register.crashesChangedSince(since))
                .addAllQuarantined(register.quarantine().changedSince(since));
    }

    /** When control has to be told of news. */
    long nextReportDue() {
        return reportUrgent ? nextUrgentReportNanos : Core.NEVER;
    }

    /** All control processes were told. */
    void onReported(long now) {
        reportUrgent = false;
        nextUrgentReportNanos = now + MIN_URGENT_REPORT_INTERVAL_NANOS;
    }

    // ---- time

    void tick(long now) {
        crashDetector.tick(now);
        if (now >= register.nextDue()) {
            register.quarantinePoison(now, vm, localChanges);
        }
        if (now >= nextCountNanos) {
            nextCountNanos = now + COUNT_INTERVAL_NANOS;
            suspects = register.suspectCount();
            quarantined = register.quarantine().quarantinedCount();
        }
    }

    long nextDue() {
        return register.nextDue();
    }

    /** Takes the requests that came to be quarantined since the last question; their calls are to be stopped. */
    List<Fingerprint> takeQuarantined() {
        List<Fingerprint> quarantined = new ArrayList<>();
        for (QuarantinedRequest row : register.takeChangedRows()) {
            Fingerprint request = Quarantine.fingerprint(row);
            log.note(
                    "poison",
                    request.toString(),
                    "outcome",
                    row.getReleased() ? "released" : "quarantined",
                    "generation",
                    row.getGeneration(),
                    "upstreams",
                    row.getUpstreamsList(),
                    "found-by",
                    row.getFoundBy(),
                    "released-by",
                    row.getReleasedBy(),
                    "reason",
                    row.getReason());
            if (!row.getReleased()) {
                quarantined.add(request);
            }
        }
        return quarantined;
    }

    /** Requests that may have crashed an upstream and were not cleared, as of the last second; any thread may ask. */
    long suspects() {
        return suspects;
    }

    /** Requests that are refused, as of the last second; any thread may ask. */
    long quarantined() {
        return quarantined;
    }
}
