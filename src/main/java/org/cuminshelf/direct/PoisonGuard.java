package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamCrash;
import org.cuminshelf.poison.ChangeSequence;
import org.cuminshelf.poison.HoldBack;
import org.cuminshelf.poison.PoisonRegistry;
import org.cuminshelf.poison.RequestAttribute;

/**
 * Detects poison requests, which crash the upstreams that run them, together with the other entries, and refuses them:
 * single requests that return, and all requests with a shared attribute, such as a segment of their prompts.
 *
 * <p>Failure it guards against: a caller retries a poison request under another id and at another entry, or sends other
 * requests with the same poison attribute, and they are placed like any other. One such request ended sixteen engines,
 * each with 5 to 55 streams of other callers, and requests with one such segment ended 23.
 *
 * <p>Entries report crashes to all control processes, which distribute them to all entries. So the number of messages
 * grows only linearly with the number of entries, and an entry that was restarted or is cut off from another one has
 * the same information. All entries draw the same conclusion from the same crashes; the first to do so publishes it.
 *
 * <p>A request costs one comparison while no crash is known, otherwise a hash of its body and of each attribute.
 */
final class PoisonGuard {

    /** Retry-After of a quarantined request: an operator has to examine it first, and callers should stop retrying. */
    static final long QUARANTINED_RETRY_AFTER_MILLIS = 3_600_000;
    /** Retry-After of a request that may be poison: by then all crashes are reported and the case is decided. */
    static final long SETTLING_RETRY_AFTER_MILLIS = 500;
    /** Crashes under a request from which it is no longer retried within a call. */
    private static final int MAX_CRASHES_PER_CALL = 2;
    /** Change number of what was received from control: above 0, which means none, and below all local changes. */
    private static final long LEARNED_CHANGE_NUMBER = 1;
    /**
     * Time for which a crashed instance gets no calls: until it is removed, 5 s after its last heartbeat at control and
     * 6 s after that here. A restarted upstream is another instance. Otherwise each entry would find out by a failed
     * call, and one crash would cost as many calls as there are entries on routes with a single attempt. In a
     * simulation of a hundred entries, 0.92 of the calls around three crashes were served with this rule, and 0.66
     * without it.
     */
    private static final long CRASHED_AVOIDANCE_NANOS = Durations.nanos(12_000);
    /** Minimum time between two urgent reports to control, as one crash fails several attempts. */
    private static final long MIN_URGENT_REPORT_INTERVAL_NANOS = Durations.nanos(10);
    /** Interval of counting requests for the metrics, which other threads read. */
    private static final long COUNT_INTERVAL_NANOS = Durations.nanos(1_000);

    /** Why a call is refused. */
    sealed interface Refusal {

        /**
         * Upstreams crashed when they ran the request, or requests with an attribute of it.
         *
         * @param attribute        the attribute, or the whole request
         * @param retryAfterMillis when the caller may retry, in milliseconds from now
         */
        record Quarantined(RequestAttribute attribute, long retryAfterMillis) implements Refusal {}

        /**
         * Upstreams crashed when they ran the request, and it is being decided whether it is the cause.
         *
         * @param attribute        the whole request
         * @param retryAfterMillis when the caller may retry, in milliseconds from now
         */
        record Settling(RequestAttribute attribute, long retryAfterMillis) implements Refusal {}

        /** Returns the attribute, or the whole request, under which upstreams crashed. */
        RequestAttribute attribute();

        /** Returns when the caller may retry, in milliseconds from now. */
        long retryAfterMillis();
    }

    private final PoisonRegistry registry = new PoisonRegistry();
    private final UpstreamTable upstreams;
    private final CrashDetector crashDetector;
    private final String vm;
    private final DecisionLog log;
    private final AttributeTrials trials;
    /** The highest local change number that each control process has acknowledged. */
    private final Map<Address, Long> acknowledgedChanges = new HashMap<>();

    private final ChangeSequence localChanges = this::nextChangeNumber;
    private long lastChangeNumber = LEARNED_CHANGE_NUMBER;
    private boolean reportUrgent;
    private long nextUrgentReportNanos = Long.MIN_VALUE;
    private long nextCountNanos = Long.MIN_VALUE;
    private volatile long suspectCount;
    private volatile long quarantinedCount;

    PoisonGuard(
            UpstreamClient client,
            UpstreamTable upstreams,
            LongSupplier clock,
            Address self,
            String vm,
            DecisionLog log) {
        this.upstreams = upstreams;
        this.crashDetector = new CrashDetector(client, upstreams, clock, log, this::onCrash);
        this.trials = new AttributeTrials(self);
        this.vm = vm;
        this.log = log;
    }

    private long nextChangeNumber(boolean urgent) {
        reportUrgent |= urgent;
        return ++lastChangeNumber;
    }

    // ---- calls

    /** Returns the reason to refuse a new call, or empty if it may be placed. */
    Optional<Refusal> refusal(long now, DirectCall call) {
        if (registry.isEmpty()) {
            return Optional.empty();
        }
        for (RequestAttribute attribute : call.attributes()) {
            if (registry.isQuarantined(attribute.fingerprint()) && !startsTrial(now, call, attribute)) {
                return Optional.of(new Refusal.Quarantined(attribute, retryAfterMillis(now, attribute)));
            }
        }
        if (registry.isSettling(now, call.fingerprint())) {
            RequestAttribute request = RequestAttribute.request(call.fingerprint());
            return Optional.of(new Refusal.Settling(request, SETTLING_RETRY_AFTER_MILLIS));
        }
        return Optional.empty();
    }

    private boolean startsTrial(long now, DirectCall call, RequestAttribute attribute) {
        if (!attribute.isShared()) {
            return false;
        }
        boolean started = registry.quarantine()
                .row(attribute.fingerprint())
                .filter(row -> trials.tryStart(now, row))
                .isPresent();
        if (started) {
            call.attributeTrial = true;
            note(attribute, "trial", "request", call.intent.id());
        }
        return started;
    }

    /** Returns when a caller may retry whose request is quarantined, or has a quarantined attribute. */
    long retryAfterMillis(long now, RequestAttribute attribute) {
        long untilTrial = registry.quarantine()
                .row(attribute.fingerprint())
                .filter(row -> attribute.isShared())
                .map(row -> Durations.millis(trials.dueNanos(now, row) - now))
                .orElse(QUARANTINED_RETRY_AFTER_MILLIS);
        return Math.clamp(untilTrial, SETTLING_RETRY_AFTER_MILLIS, QUARANTINED_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns for how long a call is held back because of a shared attribute, or empty. One request at a time is let
     * through once that is over, to show whether the attribute crashes upstreams.
     */
    Optional<HoldBack> holdBack(long now, DirectCall call) {
        if (registry.isEmpty() || call.attributeTrial) {
            return Optional.empty();
        }
        List<HoldBack> holds = call.sharedAttributes().stream()
                .map(attribute -> registry.holdBack(now, attribute.fingerprint()))
                .flatMap(Optional::stream)
                .filter(hold -> hold.repeated() || now < hold.untilNanos())
                .toList();
        if (holds.size() == 1) {
            trials.onSeenAlone(now, holds.getFirst().attribute());
        }
        if (!holds.isEmpty() && trials.isDue(now, holds)) {
            startTrial(now, call, holds);
            return Optional.empty();
        }
        return holds.stream().max(Comparator.comparingLong(HoldBack::untilNanos));
    }

    private void startTrial(long now, DirectCall call, List<HoldBack> holds) {
        call.attributeTrial = true;
        trials.onStarted(now);
        for (HoldBack hold : holds) {
            note(hold.attribute(), "held-back-trial", "request", call.intent.id());
        }
    }

    /** Records the failed connection of an attempt that had been sent. */
    void onAttemptFailed(long now, DirectAttempt attempt) {
        crashDetector.onAttemptFailed(now, attempt);
    }

    /** Sets the receiver of attempts whose connection broke while their upstream went on listening. */
    void reportResetsTo(CrashDetector.ResetListener listener) {
        crashDetector.reportResetsTo(listener);
    }

    /**
     * Whether a call may be retried. Within one call a poison request could crash one upstream after another before any
     * report of the crashes arrives, so after the second crash its caller has to send it again. A call that tests an
     * attribute is not retried at all.
     */
    boolean mayRetry(DirectCall call) {
        return registry.isEmpty()
                || !call.attributeTrial
                        && registry.crashedUpstreams(call.fingerprint()).size() < MAX_CRASHES_PER_CALL;
    }

    /** Records a success, which clears the request and its attributes of suspicion. */
    void onSuccess(long now, DirectCall call) {
        if (registry.isEmpty()) {
            return;
        }
        for (RequestAttribute attribute : call.attributes()) {
            int crashes = registry.crashedUpstreams(attribute.fingerprint()).size();
            if (registry.onSuccess(now, attribute.fingerprint(), vm, localChanges) && crashes >= MAX_CRASHES_PER_CALL) {
                note(attribute, "cleared", "crashes", crashes);
            }
        }
        registry.countAnswer(call.service);
    }

    private void onCrash(long now, String upstream, FailedRuns.Presence presence) {
        avoidInstance(now, upstream);
        RequestAttribute attribute = presence.attribute();
        boolean changed =
                registry.onCrash(now, upstream, attribute, presence.involvement(), presence.requests(), localChanges);
        if (!changed) {
            return;
        }
        int crashes = registry.crashedUpstreams(attribute.fingerprint()).size();
        if (crashes >= MAX_CRASHES_PER_CALL) {
            note(
                    attribute,
                    "suspect",
                    "crashes",
                    crashes,
                    "upstream",
                    upstream,
                    "involvement",
                    presence.involvement(),
                    "requests",
                    presence.requests());
        }
    }

    /** Logs a decision on a request or attribute. */
    private void note(RequestAttribute attribute, String outcome, Object... fields) {
        List<Object> all = new ArrayList<>(List.of("outcome", outcome));
        if (attribute.isShared()) {
            all.addAll(List.of("of", attribute.description()));
        }
        all.addAll(List.of(fields));
        log.note("poison", attribute.fingerprint().toString(), all.toArray());
    }

    private void avoidInstance(long now, String upstream) {
        upstreams.instance(upstream).ifPresent(instance -> instance.avoid(now + CRASHED_AVOIDANCE_NANOS));
    }

    // ---- exchange with control

    void onUpdate(long now, Address control, Update update) {
        acknowledgedChanges.put(control, update.getPoisonHeard());
        if (update.getEntryAddressesCount() > 0) {
            trials.onEntries(
                    update.getEntryAddressesList().stream().map(Address::of).toList());
        }
        update.getCrashesList().stream()
                .map(UpstreamCrash::getUpstream)
                .filter(upstream -> !registry.hasCrashed(upstream))
                .forEach(upstream -> avoidInstance(now, upstream));
        registry.merge(
                now,
                update.getCrashesList(),
                update.getQuarantinedList(),
                ChangeSequence.constant(LEARNED_CHANGE_NUMBER));
        crashDetector.onUpstreamsChanged(now);
    }

    /** Adds the local changes that a control process has not acknowledged. */
    void addChanges(Address control, Subscribe.Builder subscribe) {
        long acknowledged = acknowledgedChanges.getOrDefault(control, 0L);
        subscribe
                .setPoisonVersion(lastChangeNumber)
                .setPoisonSince(acknowledged)
                .addAllCrashes(registry.crashesChangedSince(acknowledged))
                .addAllQuarantined(registry.quarantine().changedSince(acknowledged));
    }

    /** When an urgent report to control is due; {@link Core#NEVER} if there is none. */
    long nextReportDue() {
        return reportUrgent ? nextUrgentReportNanos : Core.NEVER;
    }

    /** Records that reports were sent to all control processes. */
    void onReported(long now) {
        reportUrgent = false;
        nextUrgentReportNanos = now + MIN_URGENT_REPORT_INTERVAL_NANOS;
    }

    // ---- time

    void tick(long now) {
        crashDetector.tick(now);
        if (now >= registry.nextDue()) {
            registry.quarantinePoison(now, vm, localChanges);
        }
        if (now >= nextCountNanos) {
            nextCountNanos = now + COUNT_INTERVAL_NANOS;
            suspectCount = registry.suspectCount();
            quarantinedCount = registry.quarantine().quarantinedCount();
            trials.retain(now, registry.quarantine());
        }
    }

    long nextDue() {
        return registry.nextDue();
    }

    /**
     * Returns the requests and attributes quarantined since the previous call, whose open calls must be cancelled; logs
     * all changes.
     */
    List<RequestAttribute> takeQuarantined() {
        List<RequestAttribute> newlyQuarantined = new ArrayList<>();
        for (QuarantinedRequest change : registry.takeChangedRows()) {
            RequestAttribute attribute = RequestAttribute.of(change);
            note(
                    attribute,
                    change.getReleased() ? "released" : "quarantined",
                    "generation",
                    change.getGeneration(),
                    "upstreams",
                    change.getUpstreamsList(),
                    "found-by",
                    change.getFoundBy(),
                    "released-by",
                    change.getReleasedBy(),
                    "reason",
                    change.getReason());
            if (!change.getReleased()) {
                newlyQuarantined.add(attribute);
            }
        }
        return newlyQuarantined;
    }

    /** Requests that may have crashed an upstream and were not cleared; updated once a second, safe for any thread. */
    long suspectCount() {
        return suspectCount;
    }

    /** Requests in quarantine; updated once a second, safe for any thread. */
    long quarantinedCount() {
        return quarantinedCount;
    }
}
