package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.backpressure.UpstreamBackoffs;
import org.cuminshelf.backpressure.UpstreamRateLimits;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.engines.PromptQueue;
import org.cuminshelf.engines.PromptSample;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.HeardLimit;
import org.cuminshelf.message.RestingUpstream;
import org.cuminshelf.message.SentPrompt;
import org.cuminshelf.message.ServiceDemand;
import org.cuminshelf.message.TakenPrompt;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.message.WaitingPrompt;

/**
 * Exchange of load reports between entries: the requests that each has running at the engines, the prompts that it sent
 * there, how long their prefill took, the rate limits and backoffs that upstreams requested, and the begun streams that
 * wait. All entries thereby select upstreams by the same state, and learn from each other's requests.
 *
 * <p>Guards against several entries finding the same engine idle at once and all sending to it, so that prompts wait
 * for each other while other engines are idle. The report of a sent prompt leaves within milliseconds, one for each
 * other entry. With reports every 50 ms, five entries selected the same engine within 3 ms, and the last of their
 * prompts waited for 1.7 s.
 */
final class LoadGossip {

    /** Interval of reports without new prompts, as a message may be lost with its connection. */
    private static final long REPORT_INTERVAL_NANOS = Durations.nanos(100);
    /** Minimum interval between two reports for each other entry, if there are few entries. */
    private static final long MIN_INTERVAL_PER_ENTRY_NANOS = Durations.nanos(1);
    /**
     * Maximum rate of messages of all entries together, as long as the interval is below {@link #MAX_INTERVAL_NANOS}.
     * Each message costs some four system calls at its two ends. Without a bound the messages grew with the square of
     * the entries, to 640 a second at each of 33. On a heavy day there each entry used 0.144 of a core without the
     * bound, and 0.098 with it and with the sums kept in {@link UpstreamInstance}, on machines of different load. With
     * 18 entries, reports within 110 ms gave the same results as reports within 20; the effect with 33 entries is not
     * known.
     */
    private static final double MAX_MESSAGES_PER_SECOND = 6_000;
    /**
     * Interval beyond which a report would arrive after the first event of the prompts in it, which follows 200 to 400
     * ms after their sending.
     */
    private static final long MAX_INTERVAL_NANOS = Durations.nanos(250);

    private static final double NANOS_PER_SECOND = 1e9;
    /**
     * Maximum number of sent and of prefilled prompts in a report, which bounds its size. An entry sends fewer between
     * two reports.
     */
    private static final int MAX_PROMPTS_PER_REPORT = 64;

    private static final double MICROS_PER_MILLI = 1_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private final UpstreamTable upstreams;
    private final EngineLatencyModels models;
    private final EventIntervals eventIntervals;
    private final Backpressure backpressure;
    private final BackpressureListener backpressureListener;
    private final UnreportedOutcomes unreportedOutcomes;
    private final UpstreamOutliers outliers;
    private final PlainServiceTimes serviceTimes;
    private final BegunStreamWaits begunWaits;
    private final List<SentPrompt> sentPrompts = new ArrayList<>();
    private final List<TakenPrompt> prefilledPrompts = new ArrayList<>();
    private long nextReportAt;
    private long lastReportAt;
    /**
     * When intervals between events were last reported. They are not part of each report of a sent prompt: with few
     * entries there are hundreds of these in a second, and every receiver updates a model for each engine in them.
     */
    private long lastIntervalsAt;

    private int otherEntries;
    private boolean lastReportNonEmpty;

    LoadGossip(
            UpstreamTable upstreams,
            EngineLatencyModels models,
            EventIntervals eventIntervals,
            Backpressure backpressure,
            BackpressureListener backpressureListener,
            UnreportedOutcomes unreportedOutcomes,
            UpstreamOutliers outliers,
            PlainServiceTimes serviceTimes,
            BegunStreamWaits begunWaits,
            long now) {
        this.upstreams = upstreams;
        this.models = models;
        this.eventIntervals = eventIntervals;
        this.backpressure = backpressure;
        this.backpressureListener = backpressureListener;
        this.unreportedOutcomes = unreportedOutcomes;
        this.outliers = outliers;
        this.serviceTimes = serviceTimes;
        this.begunWaits = begunWaits;
        this.nextReportAt = now;
        this.lastReportAt = now;
        this.lastIntervalsAt = now - REPORT_INTERVAL_NANOS;
    }

    // ---- reports of this entry

    /**
     * Adds a sent prompt to the next report, which is sent early. The prompt will probably be prefilled in the given
     * milliseconds.
     */
    void onPromptSent(UpstreamInstance upstream, GenerationShape shape, double readyMillis) {
        nextReportAt = Math.min(nextReportAt, lastReportAt + minIntervalNanos());
        if (sentPrompts.size() >= MAX_PROMPTS_PER_REPORT) {
            return;
        }
        SentPrompt.Builder prompt =
                SentPrompt.newBuilder().setUpstream(upstream.id).setReadyUs(micros(readyMillis));
        for (PromptSegment segment : shape.segments()) {
            prompt.addParts(segment.id());
            prompt.addTokens(segment.tokens());
        }
        sentPrompts.add(prompt.build());
    }

    /** Adds a prompt whose prefill has completed to the next report, and to the model of its engine. */
    void onPrefillCompleted(UpstreamInstance upstream, PromptSample sample) {
        models.of(upstream.service).observePrompt(sample);
        if (prefilledPrompts.size() >= MAX_PROMPTS_PER_REPORT) {
            return;
        }
        prefilledPrompts.add(TakenPrompt.newBuilder()
                .setUpstream(upstream.id)
                .setBesideStreams(sample.alsoDecodes())
                .setStreams(sample.streams())
                .setHeld(sample.cachedTokens())
                .setUncached(sample.uncachedTokens())
                .setWaitUs(micros(sample.waitMillis()))
                .setTookUs(micros(sample.elapsedMillis()))
                .build());
    }

    /** Returns the minimum interval between two reports, in nanoseconds. */
    private long minIntervalNanos() {
        return minIntervalNanos(otherEntries);
    }

    /** Returns the minimum interval between two reports to a given number of other entries, in nanoseconds. */
    static long minIntervalNanos(int otherEntries) {
        double intervalAtMaxRateNanos = otherEntries * (otherEntries + 1) / MAX_MESSAGES_PER_SECOND * NANOS_PER_SECOND;
        return Math.clamp(
                (long) intervalAtMaxRateNanos,
                otherEntries * MIN_INTERVAL_PER_ENTRY_NANOS,
                Math.max(otherEntries * MIN_INTERVAL_PER_ENTRY_NANOS, MAX_INTERVAL_NANOS));
    }

    /** Returns when the next report is due: never if no request is open and there is nothing to report. */
    long nextDue(boolean busy) {
        return busy || lastReportNonEmpty || !unreportedOutcomes.isEmpty() ? reportDueAt() : Core.NEVER;
    }

    /**
     * Returns when the next report is due if there is one; an error of an upstream, and a begun stream that begins or
     * ceases to wait, make it early.
     */
    private long reportDueAt() {
        boolean early = unreportedOutcomes.hasError() || begunWaits.hasUnreportedChange();
        return early ? Math.min(nextReportAt, lastReportAt + minIntervalNanos()) : nextReportAt;
    }

    /** Sends a report to the other entries if one is due. */
    void tick(long now, Outbox out, Address self, List<Address> entries) {
        if (now < reportDueAt()) {
            return;
        }
        lastReportAt = now;
        otherEntries = Math.max(0, entries.size() - 1);
        nextReportAt = now + Math.max(REPORT_INTERVAL_NANOS, minIntervalNanos());
        boolean withIntervals = now - lastIntervalsAt >= REPORT_INTERVAL_NANOS;
        lastIntervalsAt = withIntervals ? now : lastIntervalsAt;
        EntryLoad.Builder load = EntryLoad.newBuilder().addAllSent(sentPrompts).addAllTaken(prefilledPrompts);
        upstreams.instances().stream()
                .filter(upstream -> upstream.localAttempts > 0
                        || withIntervals && upstream.eventWaits.hasUnreported()
                        || unreportedOutcomes.contains(upstream.id))
                .forEach(upstream -> load.addUpstreams(upstreamLoad(now, upstream, withIntervals)));
        boolean hasBackpressure = addBackpressure(now, load);
        boolean hasWaiting = begunWaits.addTo(load);
        boolean isNonEmpty =
                load.getUpstreamsCount() > 0 || !prefilledPrompts.isEmpty() || hasBackpressure || hasWaiting;
        sentPrompts.clear();
        prefilledPrompts.clear();
        unreportedOutcomes.clear();
        if (isNonEmpty || lastReportNonEmpty) {
            entries.stream()
                    .filter(entry -> !entry.equals(self))
                    .forEach(entry -> out.send(entry, Envelope.newBuilder().setEntryLoad(load)));
        }
        lastReportNonEmpty = isNonEmpty;
    }

    /**
     * Adds the rate limits, backoffs and shutdowns that upstreams announced to this entry, and returns whether there
     * are any.
     */
    private boolean addBackpressure(long now, EntryLoad.Builder load) {
        for (UpstreamRateLimits.LimitReport limitReport : backpressure.limits().localLimitReports(now)) {
            HeardLimit.Builder limit = HeardLimit.newBuilder()
                    .setUpstream(limitReport.instanceId())
                    .setAgeUs((long) (limitReport.ageNanos() / NANOS_PER_MICRO));
            limitReport.perSecond().ifPresent(limit::setPerSecond);
            load.addLimits(limit);
        }
        for (UpstreamRateLimits.CallRateReport callRate : backpressure.limits().localCallRateReports(now)) {
            load.addDemands(
                    ServiceDemand.newBuilder().setService(callRate.service()).setCallsPerSecond(callRate.perSecond()));
        }
        for (UpstreamBackoffs.RemainingBackoff backoff : backpressure.backoffs().localReports(now)) {
            load.addRests(RestingUpstream.newBuilder()
                    .setUpstream(backoff.instanceId())
                    .setLeftUs((long) (backoff.remainingNanos() / NANOS_PER_MICRO)));
        }
        load.addAllLeaving(backpressure.leavingUpstreams().recentLocalReports(now));
        return load.getLimitsCount() + load.getDemandsCount() + load.getRestsCount() + load.getLeavingCount() > 0;
    }

    private UpstreamLoad upstreamLoad(long now, UpstreamInstance upstream, boolean withIntervals) {
        UpstreamLoad.Builder load = UpstreamLoad.newBuilder()
                .setId(upstream.id)
                .setRunning(upstream.localAttempts)
                .setTokens((int) upstream.localMemoryTokens);
        for (PromptQueue.PendingPrompt prompt : upstream.pendingPrompts.localPrompts()) {
            load.addPrompts(WaitingPrompt.newBuilder()
                    .setAgeUs((int) ((now - prompt.sentAt()) / NANOS_PER_MICRO))
                    .setWorkUs(micros(prompt.prefillMillis()))
                    .setPriority(prompt.priority()));
        }
        unreportedOutcomes.addTo(load);
        if (withIntervals) {
            eventIntervals.addTo(now, upstream, load);
        }
        return load.build();
    }

    private static int micros(double millis) {
        return (int) Math.max(0, millis * MICROS_PER_MILLI);
    }

    // ---- reports of other entries

    /** Applies the report of another entry. */
    void onLoad(long now, Address entry, EntryLoad load) {
        upstreams.applyLoad(now, entry, load);
        begunWaits.onReport(now, entry, load.getWaitingStreamsList());
        for (UpstreamLoad upstreamLoad : load.getUpstreamsList()) {
            eventIntervals.onReport(now, upstreamLoad);
            outliers.onReport(now, entry, upstreamLoad);
            serviceTimes.onReport(now, upstreamLoad);
        }
        load.getSentList().forEach(prompt -> onPromptSentElsewhere(now, prompt));
        load.getTakenList().forEach(prompt -> onPrefillCompletedElsewhere(now, prompt));
        load.getLimitsList().forEach(limit -> onLimitElsewhere(now, entry, limit));
        load.getLeavingList().forEach(id -> upstreams.markDraining(now, id, false, entry.value()));
        load.getRestsList().forEach(backoff -> onBackoffElsewhere(now, backoff));
        load.getDemandsList()
                .forEach(callRate -> backpressure
                        .limits()
                        .onRemoteReport(
                                now,
                                entry,
                                new UpstreamRateLimits.CallRateReport(
                                        callRate.getService(), callRate.getCallsPerSecond())));
    }

    private void onBackoffElsewhere(long now, RestingUpstream backoff) {
        long remainingNanos = (long) (backoff.getLeftUs() * NANOS_PER_MICRO);
        backpressure
                .backoffs()
                .onRemoteReport(now, new UpstreamBackoffs.RemainingBackoff(backoff.getUpstream(), remainingNanos));
    }

    private void onLimitElsewhere(long now, Address entry, HeardLimit limit) {
        OptionalDouble perSecond =
                limit.hasPerSecond() ? OptionalDouble.of(limit.getPerSecond()) : OptionalDouble.empty();
        long ageNanos = (long) (limit.getAgeUs() * NANOS_PER_MICRO);
        upstreams
                .instance(limit.getUpstream())
                .ifPresent(upstream -> backpressureListener.onEntryReport(
                        now, upstream, entry, new UpstreamRateLimits.LimitReport(upstream.id, perSecond, ageNanos)));
    }

    private void onPromptSentElsewhere(long now, SentPrompt prompt) {
        Optional<UpstreamInstance> upstream = upstreams.instance(prompt.getUpstream());
        if (upstream.isEmpty() || prompt.getPartsCount() != prompt.getTokensCount()) {
            return;
        }
        List<PromptSegment> segments = new ArrayList<>();
        for (int index = 0; index < prompt.getPartsCount(); index++) {
            segments.add(new PromptSegment(prompt.getParts(index), prompt.getTokens(index)));
        }
        upstream.get().promptCache.recordPrompt(segments, now + (long) (prompt.getReadyUs() * NANOS_PER_MICRO));
    }

    private void onPrefillCompletedElsewhere(long now, TakenPrompt prompt) {
        Optional<UpstreamInstance> upstream = upstreams.instance(prompt.getUpstream());
        if (upstream.isEmpty()) {
            return;
        }
        upstream.get().pendingPrompts.onPrefilled(now);
        models.of(upstream.get().service)
                .observePrompt(new PromptSample(
                        upstream.get().id,
                        prompt.getBesideStreams(),
                        prompt.getStreams(),
                        prompt.getHeld(),
                        prompt.getUncached(),
                        prompt.getWaitUs() / MICROS_PER_MILLI,
                        prompt.getTookUs() / MICROS_PER_MILLI));
    }

    /** Returns the prompts that another entry has queued at an engine, according to its report. */
    static List<PromptQueue.PendingPrompt> queuedPrompts(long now, UpstreamLoad load) {
        List<PromptQueue.PendingPrompt> prompts = new ArrayList<>(load.getPromptsCount());
        for (WaitingPrompt prompt : load.getPromptsList()) {
            long sentAt = now - (long) (prompt.getAgeUs() * NANOS_PER_MICRO);
            int priority = prompt.hasPriority() ? prompt.getPriority() : PromptQueue.DEFAULT_PRIORITY;
            prompts.add(new PromptQueue.PendingPrompt(sentAt, prompt.getWorkUs() / MICROS_PER_MILLI, priority));
        }
        return prompts;
    }
}
