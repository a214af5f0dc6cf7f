package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.outliers.OutlierDetector;
import org.cuminshelf.outliers.OutlierEvidence;
import org.cuminshelf.outliers.TrialGate;

/**
 * The upstreams that answer more requests with errors than their peers: what that costs a call, and the trials that
 * show when they are sound again.
 *
 * <p>Guards against three engines that failed most requests at once while their health checks passed: they stayed the
 * least loaded, and ended 151 requests in 7 s.
 */
final class UpstreamOutliers {

    /** Excess of the error probability from which an upstream is an outlier, which only gets trial requests. */
    private static final double MIN_OUTLIER_EXCESS = 0.3;
    /** The same at which it ceases to be one. */
    private static final double MAX_SOUND_EXCESS = 0.1;
    /** Share of an answer's value that an error costs if the call may be sent once more. */
    private static final double REPEATABLE_COST_SHARE = 0.5;
    /**
     * Benefit of a trial, in answers: more than prefilling a usual shared prefix again costs, as a trial would never
     * take place otherwise, and less than a late answer costs.
     */
    private static final double TRIAL_BENEFIT = 0.3;
    /** Factor on the cost of an outlier: more streams than an engine usually makes late by one more call. */
    private static final double OUTLIER_COST_FACTOR = 20;
    /** Time after which other entries have heard of an outcome, in reports without urgency. */
    private static final long MIN_REPORT_NANOS = Durations.nanos(100);
    /** Report intervals for each entry over which trials are spread, so that seldom two entries send one at once. */
    private static final int SPREAD_FACTOR = 2;

    private static final int FIRST_SERVER_ERROR = 500;
    private static final double PERCENT = 100;

    private final UpstreamTable upstreams;
    private final ControlSubscription control;
    private final UnreportedOutcomes unreported;
    private final DecisionLog log;
    private final TrialGate trialGate;
    /** By service. */
    private final Map<String, OutlierDetector> detectors = new HashMap<>();
    /** The outliers by instance id. */
    private final Map<String, UpstreamInstance> outliers = new HashMap<>();
    /** The last attempt on each outlier, by instance id. */
    private final Map<String, DirectAttempt> trials = new HashMap<>();

    private long errors;
    private long sentToOutliers;

    UpstreamOutliers(
            UpstreamTable upstreams,
            ControlSubscription control,
            UnreportedOutcomes unreported,
            Address self,
            DecisionLog log) {
        this.upstreams = upstreams;
        this.control = control;
        this.unreported = unreported;
        this.log = log;
        this.trialGate = TrialGate.create(LongHashFunction.xx3().hashChars(self.value()));
    }

    // ---- choices

    /**
     * Returns what the errors of an upstream add to the cost of sending a call there, in answers. It is negative for a
     * trial, so that one takes place even if other upstreams are slightly cheaper. For another call at an outlier it
     * exceeds what the call may cost the streams at a sound one: an outlier is idle, so that it would attract all calls
     * as soon as the others are busy.
     */
    double cost(long now, UpstreamInstance upstream, DirectCall call) {
        if (mayTry(now, upstream, call)) {
            return -TRIAL_BENEFIT;
        }
        return expectedLoss(now, upstream, call) * (upstream.outlier ? OUTLIER_COST_FACTOR : 1);
    }

    /** Returns the expected loss of value by errors of an upstream if a call is sent there, in answers. */
    double expectedLoss(long now, UpstreamInstance upstream, DirectCall call) {
        double excess = detector(upstream.service).excessErrorProbability(upstream.id, now);
        return excess * (maySendOnceMore(call) ? REPEATABLE_COST_SHARE : 1);
    }

    private boolean mayTry(long now, UpstreamInstance upstream, DirectCall call) {
        boolean begun = call.attemptCount > 0 || call.responseStarted || call.lastFailure.isPresent();
        if (begun || !outliers.containsKey(upstream.id)) {
            return false;
        }
        if (Optional.ofNullable(trials.get(upstream.id))
                .filter(attempt -> attempt.ended)
                .isPresent()) {
            trialGate.onEnded(upstream.id);
        }
        return trialGate.mayTry(upstream.id, now, maySendOnceMore(call));
    }

    private static boolean maySendOnceMore(DirectCall call) {
        int remainingAttempts = call.route.maxAttempts() - call.attemptCount;
        return call.isRetryable() && remainingAttempts > 1;
    }

    /** Records that an attempt was sent. */
    void onSent(long now, DirectAttempt attempt) {
        String id = attempt.upstream.id;
        if (!outliers.containsKey(id)) {
            return;
        }
        sentToOutliers++;
        trials.put(id, attempt);
        trialGate.onSent(id, now);
        log.note("attempt", attempt.call.intent.id(), "upstream", id, "outcome", "sent-to-outlier");
    }

    // ---- outcomes

    /** Records that an upstream answered an attempt without an error: with its first event, if it is a stream. */
    void onAnswer(long now, DirectAttempt attempt) {
        onOutcome(now, attempt, false);
    }

    /** Records that an attempt failed by a fault of its upstream. */
    void onError(long now, DirectAttempt attempt) {
        errors++;
        onOutcome(now, attempt, true);
    }

    /** Records a complete response that is neither a success nor a rejection. */
    void onErrorResponse(long now, DirectAttempt attempt) {
        if (attempt.status >= FIRST_SERVER_ERROR) {
            onError(now, attempt);
        } else {
            onAnswer(now, attempt);
        }
    }

    /** Records that the connection of an attempt broke while its upstream went on listening. */
    void onReset(long now, DirectAttempt attempt) {
        if (attempt.call.isStream()) {
            onError(now, attempt);
        }
    }

    private void onOutcome(long now, DirectAttempt attempt, boolean error) {
        UpstreamInstance upstream = attempt.upstream;
        String kind = attempt.prefillOnly ? "prefill" : "route " + attempt.call.route.name();
        detector(upstream.service).observe(upstream.id, kind, now, 1, error ? 1 : 0);
        unreported.add(upstream.id, error);
        if (trials.get(upstream.id) == attempt) {
            trialGate.onEnded(upstream.id);
        }
        update(now, upstream, error, attempt.call.intent.id());
    }

    /** Applies the outcomes that another entry reported. */
    void onReport(long now, Address entry, UpstreamLoad load) {
        if (load.getAnswers() <= 0 && load.getErrors() <= 0) {
            return;
        }
        upstreams.instance(load.getId()).ifPresent(upstream -> onReport(now, entry, upstream, load));
    }

    private void onReport(long now, Address entry, UpstreamInstance upstream, UpstreamLoad load) {
        // Reports name no route, but engines of one role do the same work.
        String kind = upstream.role == Role.ROLE_PREFILL ? "reported prefill" : "reported";
        detector(upstream.service)
                .observeRemote(upstream.id, kind, now, Math.max(0, load.getAnswers()), Math.max(0, load.getErrors()));
        boolean error = load.getErrors() > 0;
        if (error || outliers.containsKey(upstream.id)) {
            update(now, upstream, error, entry);
        }
    }

    private OutlierDetector detector(String service) {
        return detectors.computeIfAbsent(service, key -> OutlierDetector.create());
    }

    // ---- changes

    /** Updates whether an upstream is an outlier after an outcome. */
    private void update(long now, UpstreamInstance upstream, boolean error, Object source) {
        boolean known = outliers.containsKey(upstream.id);
        if (!error && !known) {
            return;
        }
        double excess = detector(upstream.service).excessErrorProbability(upstream.id, now);
        if (!known && excess >= MIN_OUTLIER_EXCESS) {
            outliers.put(upstream.id, upstream);
            upstream.outlier = true;
            logChange(now, upstream, "outlier", excess, source);
        } else if (known && excess < MAX_SOUND_EXCESS) {
            clear(now, upstream, excess, source);
            return;
        }
        if (upstream.outlier) {
            trialGate.onOutcome(upstream.id, now, error, spreadNanos());
        }
    }

    private void clear(long now, UpstreamInstance upstream, double excess, Object source) {
        outliers.remove(upstream.id);
        upstream.outlier = false;
        logChange(now, upstream, "outlier-ended", excess, source);
    }

    /** Returns the time over which the entries spread their trials after an outcome that all know, in nanoseconds. */
    private long spreadNanos() {
        int others = Math.max(0, control.entries().size() - 1);
        long reportNanos = Math.max(MIN_REPORT_NANOS, LoadGossip.minIntervalNanos(others));
        return SPREAD_FACTOR * others * reportNanos;
    }

    private void logChange(long now, UpstreamInstance upstream, String outcome, double excess, Object source) {
        OutlierDetector detector = detector(upstream.service);
        OutlierEvidence evidence = detector.evidenceOf(upstream.id, now).orElse(new OutlierEvidence(0, 0, 0, 0, 0));
        log.note(
                "upstream",
                upstream.id,
                "outcome",
                outcome,
                "service",
                upstream.service,
                "role",
                upstream.role,
                "error-percent",
                Math.round(PERCENT * detector.errorProbability(upstream.id, now)),
                "over-peers-percent",
                Math.round(PERCENT * excess),
                "own",
                counts(evidence.ownErrors(), evidence.ownAnswers()),
                "reported",
                counts(evidence.reportedErrors(), evidence.reportedAnswers()),
                "evidence-age-ms",
                evidence.ageMillis(),
                "source",
                source);
    }

    private static String counts(double errors, double answers) {
        return Math.round(errors) + "/" + Math.round(answers);
    }

    /** Ends the suspicion of upstreams without new errors, and drops the state of those that are not known any more. */
    void tick(long now) {
        Set<String> known = new HashSet<>();
        upstreams.instances().forEach(upstream -> known.add(upstream.id));
        detectors.values().forEach(detector -> detector.retain(known, now));
        outliers.keySet().retainAll(known);
        for (UpstreamInstance upstream : List.copyOf(outliers.values())) {
            double excess = detector(upstream.service).excessErrorProbability(upstream.id, now);
            if (excess < MAX_SOUND_EXCESS) {
                clear(now, upstream, excess, "time");
            }
        }
        trials.keySet().retainAll(outliers.keySet());
        trialGate.retain(outliers.keySet());
    }

    // ---- figures

    /** Number of outliers. */
    int outlierCount() {
        return outliers.size();
    }

    /** Number of errors of upstreams that this entry has seen. */
    long errorCount() {
        return errors;
    }

    /** Number of requests that this entry has sent to outliers. */
    long sentToOutlierCount() {
        return sentToOutliers;
    }
}
