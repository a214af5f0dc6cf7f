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
 * What entries tell each other: what each has under way at the engines, which prompts it sent there, how long prompts
 * took, and what upstreams ask for. With it all entries choose by the same view, and learn from each other's
 * requests.
 *
 * <p>Failure it guards against: several entries find the same engine free at once and all send to it, so that prompts
 * wait for each other while other engines idle. News of a prompt that was sent leaves within milliseconds, one for each
 * other entry. With news at fixed times, 50 ms apart, five entries chose the same engine within 3 ms, and the last of
 * their prompts waited for 1.7 s.
 */
final class LoadGossip {

    /** How often the state is told again without news, as a message may be lost with its connection. */
    private static final long TELL_EVERY = Durations.nanos(100);
    /** Least time between two messages for each other entry where there are few. */
    private static final long LEAST_GAP = Durations.nanos(1);
    /**
     * Messages a second that all entries together send at the most, up to {@link #LONGEST_GAP}. Each costs some four
     * system calls at its two ends; unbounded they grew with the square of the entries, to 640 a second at each of 33.
     * A heavy day there took 0.144 of a core for each entry before and 0.098 with the bound and the sums kept in
     * {@link UpstreamInstance}, on machines of other load. At 18 entries news within 110 ms was worth as
     * much as
     * news within
     * 20; at 33 that was not measured.
     */
    private static final double MOST_MESSAGES = 6_000;
    /** Gap beyond which news would come after the first event of the prompts that they tell of, 200 to 400 ms later. */
    private static final long LONGEST_GAP = Durations.nanos(250);

    private static final double NANOS_PER_SECOND = 1e9;
    /** News kept for the next message at the most: bounds its size. An entry sends fewer prompts between two. */
    private static final int MOST_NEWS = 64;

    private static final double MICROS_PER_MILLI = 1_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private final UpstreamTable upstreams;
    private final EngineModels models;
    private final Backpressure backpressure;
    private final BackpressureListener demandWatch;
    private final List<SentPrompt> sent = new ArrayList<>();
    private final List<TakenPrompt> taken = new ArrayList<>();
    private long nextTell;
    private long lastTell;
    private int listeners;
    private boolean toldSomething;

    LoadGossip(
            UpstreamTable upstreams,
            EngineModels models,
            Backpressure backpressure,
            BackpressureListener demandWatch,
            long now) {
        this.upstreams = upstreams;
        this.models = models;
        this.backpressure = backpressure;
        this.demandWatch = demandWatch;
        this.nextTell = now;
        this.lastTell = now;
    }

    // ---- what this entry has to tell

    /** A prompt was sent and will probably have been read in so many milliseconds; the others should know first. */
    void onPromptSent(UpstreamInstance upstream, GenerationShape shape, double readyMillis) {
        nextTell = Math.min(nextTell, lastTell + minIntervalNanos());
        if (sent.size() >= MOST_NEWS) {
            return;
        }
        SentPrompt.Builder prompt =
                SentPrompt.newBuilder().setUpstream(upstream.id).setReadyUs(micros(readyMillis));
        for (PromptSegment part : shape.segments()) {
            prompt.addParts(part.id());
            prompt.addTokens(part.tokens());
        }
        sent.add(prompt.build());
    }

    /** A prompt was taken in. */
    void onPrefillCompleted(UpstreamInstance upstream, PromptSample sample) {
        models.of(upstream.service).observePrompt(sample);
        if (taken.size() >= MOST_NEWS) {
            return;
        }
        taken.add(TakenPrompt.newBuilder()
                .setUpstream(upstream.id)
                .setBesideStreams(sample.alsoDecodes())
                .setStreams(sample.streams())
                .setHeld(sample.cachedTokens())
                .setUncached(sample.uncachedTokens())
                .setWaitUs(micros(sample.waitMillis()))
                .setTookUs(micros(sample.elapsedMillis()))
                .build());
    }

    /** Least time between two messages to each of the others, in nanoseconds. */
    private long minIntervalNanos() {
        return minIntervalNanos(listeners);
    }

    /** The same, where an entry tells so many others. */
    static long minIntervalNanos(int listeners) {
        double shared = listeners * (listeners + 1) / MOST_MESSAGES * NANOS_PER_SECOND;
        return Math.clamp((long) shared, listeners * LEAST_GAP, Math.max(listeners * LEAST_GAP, LONGEST_GAP));
    }

    long nextDue(boolean busy) {
        return busy || toldSomething ? nextTell : Core.NEVER;
    }

    /** Tells the other entries, if it is time. */
    void tick(long now, Outbox out, Address self, List<Address> entries) {
        if (now < nextTell) {
            return;
        }
        lastTell = now;
        listeners = Math.max(0, entries.size() - 1);
        nextTell = now + Math.max(TELL_EVERY, minIntervalNanos());
        EntryLoad.Builder load = EntryLoad.newBuilder().addAllSent(sent).addAllTaken(taken);
        upstreams.instances().stream()
                .filter(row -> row.localAttempts > 0)
                .forEach(row -> load.addUpstreams(underWay(now, row)));
        boolean asked = addDemands(now, load);
        boolean something = load.getUpstreamsCount() > 0 || !taken.isEmpty() || asked;
        sent.clear();
        taken.clear();
        if (something || toldSomething) {
            entries.stream()
                    .filter(entry -> !entry.equals(self))
                    .forEach(entry -> out.send(entry, Envelope.newBuilder().setEntryLoad(load)));
        }
        toldSomething = something;
    }

    /** Adds what upstreams ask for, and returns whether that is anything. */
    private boolean addDemands(long now, EntryLoad.Builder load) {
        for (UpstreamRateLimits.LimitReport heard : backpressure.limits().localLimitReports(now)) {
            HeardLimit.Builder limit = HeardLimit.newBuilder()
                    .setUpstream(heard.instanceId())
                    .setAgeUs((long) (heard.ageNanos() / NANOS_PER_MICRO));
            heard.perSecond().ifPresent(limit::setPerSecond);
            load.addLimits(limit);
        }
        for (UpstreamRateLimits.CallRateReport demand : backpressure.limits().localCallRateReports(now)) {
            load.addDemands(
                    ServiceDemand.newBuilder().setService(demand.service()).setCallsPerSecond(demand.perSecond()));
        }
        for (UpstreamBackoffs.RemainingBackoff rest : backpressure.backoffs().localReports(now)) {
            load.addRests(
                    RestingUpstream.newBuilder().setUpstream(rest.instanceId()).setLeftUs((long)
                            (rest.remainingNanos() / NANOS_PER_MICRO)));
        }
        load.addAllLeaving(backpressure.leavingUpstreams().recentLocalReports(now));
        return load.getLimitsCount() + load.getDemandsCount() + load.getRestsCount() + load.getLeavingCount() > 0;
    }

    private static UpstreamLoad underWay(long now, UpstreamInstance row) {
        UpstreamLoad.Builder load = UpstreamLoad.newBuilder()
                .setId(row.id)
                .setRunning(row.localAttempts)
                .setTokens((int) row.localMemoryTokens);
        for (PromptQueue.PendingPrompt prompt : row.pendingPrompts.localPrompts()) {
            load.addPrompts(WaitingPrompt.newBuilder()
                    .setAgeUs((int) ((now - prompt.sentAt()) / NANOS_PER_MICRO))
                    .setWorkUs(micros(prompt.prefillMillis())));
        }
        return load.build();
    }

    private static int micros(double millis) {
        return (int) Math.max(0, millis * MICROS_PER_MILLI);
    }

    // ---- what the others told

    void onLoad(long now, Address entry, EntryLoad load) {
        upstreams.applyLoad(now, entry, load);
        load.getSentList().forEach(prompt -> onSentElsewhere(now, prompt));
        load.getTakenList().forEach(prompt -> onTakenElsewhere(now, prompt));
        load.getLimitsList().forEach(limit -> onLimitHeardElsewhere(now, entry, limit));
        load.getLeavingList().forEach(id -> upstreams.markDraining(now, id, false, entry.value()));
        load.getRestsList().forEach(rest -> onRestElsewhere(now, rest));
        load.getDemandsList()
                .forEach(demand -> backpressure
                        .limits()
                        .onRemoteReport(
                                now,
                                entry,
                                new UpstreamRateLimits.CallRateReport(
                                        demand.getService(), demand.getCallsPerSecond())));
    }

    private void onRestElsewhere(long now, RestingUpstream rest) {
        long left = (long) (rest.getLeftUs() * NANOS_PER_MICRO);
        backpressure.backoffs().onRemoteReport(now, new UpstreamBackoffs.RemainingBackoff(rest.getUpstream(), left));
    }

    private void onLimitHeardElsewhere(long now, Address entry, HeardLimit limit) {
        OptionalDouble perSecond =
                limit.hasPerSecond() ? OptionalDouble.of(limit.getPerSecond()) : OptionalDouble.empty();
        long age = (long) (limit.getAgeUs() * NANOS_PER_MICRO);
        upstreams
                .instance(limit.getUpstream())
                .ifPresent(row -> demandWatch.onEntryReport(
                        now, row, entry, new UpstreamRateLimits.LimitReport(row.id, perSecond, age)));
    }

    private void onSentElsewhere(long now, SentPrompt prompt) {
        Optional<UpstreamInstance> row = upstreams.instance(prompt.getUpstream());
        if (row.isEmpty() || prompt.getPartsCount() != prompt.getTokensCount()) {
            return;
        }
        List<PromptSegment> parts = new ArrayList<>();
        for (int index = 0; index < prompt.getPartsCount(); index++) {
            parts.add(new PromptSegment(prompt.getParts(index), prompt.getTokens(index)));
        }
        row.get().promptCache.recordPrompt(parts, now + (long) (prompt.getReadyUs() * NANOS_PER_MICRO));
    }

    private void onTakenElsewhere(long now, TakenPrompt prompt) {
        Optional<UpstreamInstance> row = upstreams.instance(prompt.getUpstream());
        if (row.isEmpty()) {
            return;
        }
        row.get().pendingPrompts.onPrefilled(now);
        models.of(row.get().service)
                .observePrompt(new PromptSample(
                        row.get().id,
                        prompt.getBesideStreams(),
                        prompt.getStreams(),
                        prompt.getHeld(),
                        prompt.getUncached(),
                        prompt.getWaitUs() / MICROS_PER_MILLI,
                        prompt.getTookUs() / MICROS_PER_MILLI));
    }

    /** The prompts that an entry says it has at an engine. */
    static List<PromptQueue.PendingPrompt> queuedPrompts(long now, UpstreamLoad load) {
        List<PromptQueue.PendingPrompt> prompts = new ArrayList<>(load.getPromptsCount());
        for (WaitingPrompt prompt : load.getPromptsList()) {
            long sentAt = now - (long) (prompt.getAgeUs() * NANOS_PER_MICRO);
            prompts.add(new PromptQueue.PendingPrompt(sentAt, prompt.getWorkUs() / MICROS_PER_MILLI));
        }
        return prompts;
    }
}
