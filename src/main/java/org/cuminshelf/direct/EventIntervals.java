package org.cuminshelf.direct;

import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.StreamIntervalModel;
import org.cuminshelf.message.UpstreamLoad;

/**
 * Observes the intervals between the events of streams, and exchanges sums of them in load reports: each entry sees
 * only a small part of an engine's streams.
 */
final class EventIntervals {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;
    /** Events of a stream from which its longest gap is observed; with fewer the first gap dominates. */
    private static final int MIN_EVENTS_FOR_PAUSE = 5;
    /**
     * Time without anything received for which this entry may itself have stood still, as its share of the processor is
     * used up or its memory is cleaned up. Events that arrived meanwhile are unread, so waits do not count on.
     */
    private static final long MAX_OWN_PAUSE_NANOS = Durations.nanos(100);

    private final UpstreamTable upstreams;
    private final EngineLatencyModels models;
    /** When anything was last received from any upstream. */
    private long lastReceivedAt;

    private long streamsWithLongGaps;

    EventIntervals(UpstreamTable upstreams, EngineLatencyModels models, long now) {
        this.upstreams = upstreams;
        this.models = models;
        this.lastReceivedAt = now;
    }

    /** Records that a part of any response arrived. */
    void onReceived(long now) {
        lastReceivedAt = now;
    }

    /** Records that the queue of prompts at an upstream has changed. */
    void onPromptQueued(long now, UpstreamInstance upstream) {
        updatePrefill(now, upstream);
    }

    /**
     * Records events of an attempt that arrived at one time and were delivered. Their intervals are taken as equal:
     * events arrive together after a pause of the network or of this entry.
     */
    void onEvents(long now, DirectAttempt attempt, int count) {
        if (count == 0 || attempt.ended) {
            return;
        }
        UpstreamInstance upstream = attempt.upstream;
        double prefillMillis = updatePrefill(now, upstream);
        if (attempt.lastEventAtNanos != Core.NEVER && now > attempt.lastEventAtNanos) {
            double elapsedMillis = (now - attempt.lastEventAtNanos) / NANOS_PER_MILLI;
            double prefillShare = (prefillMillis - attempt.prefillMillisAtLastEvent) / elapsedMillis;
            upstream.eventWaits.addInterval(count, elapsedMillis);
            modelOf(upstream)
                    .observe(
                            upstream.id,
                            now,
                            upstream.generatingStreams(),
                            Math.clamp(prefillShare, 0, 1),
                            elapsedMillis / count);
        }
        attempt.lastEventAtNanos = now;
        attempt.prefillMillisAtLastEvent = prefillMillis;
        upstream.eventWaits.onEvent(now, attempt.number);
    }

    /**
     * Records the longest gap of a stream that one engine has produced, and counts it if that exceeded the limit of the
     * route.
     */
    void onStreamCompleted(DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (!attempt.isSuccess()) {
            return;
        }
        double intervalMillis = attempt.gapForecast.intervalMillis();
        if (intervalMillis > 0 && call.attemptCount == 1 && call.deliveredEvents >= MIN_EVENTS_FOR_PAUSE) {
            modelOf(attempt.upstream).observePause(intervalMillis, call.longestGapNanos / NANOS_PER_MILLI);
        }
        long maxGapMillis = call.route.maxEventGapMillis();
        if (maxGapMillis > 0 && call.longestGapNanos > Durations.nanos(maxGapMillis)) {
            streamsWithLongGaps++;
        }
    }

    /** Returns the number of completed streams with too long a gap since the start. */
    long streamsWithLongGaps() {
        return streamsWithLongGaps;
    }

    /** Tells the model of an upstream for how long a stream of this entry has waited there for its next event. */
    void observeAwaited(long now, UpstreamInstance upstream) {
        double awaitedMillis = awaitedMillis(now, upstream);
        if (awaitedMillis > 0) {
            observeAwaited(now, upstream, awaitedMillis);
        }
    }

    /** Adds the intervals since the last report and the longest wait to a load report. */
    void addTo(long now, UpstreamInstance upstream, UpstreamLoad.Builder load) {
        EventWaits waits = upstream.eventWaits;
        load.setIntervals(waits.unreportedCount())
                .setIntervalsUs(micros(waits.unreportedMillis()))
                .setAwaitedUs(micros(awaitedMillis(now, upstream)));
        waits.clearUnreported();
    }

    /** Applies what another entry has observed at an upstream; it counts as of its arrival. */
    void onReport(long now, UpstreamLoad load) {
        upstreams.instance(load.getId()).ifPresent(upstream -> onReport(now, upstream, load));
    }

    private void onReport(long now, UpstreamInstance upstream, UpstreamLoad load) {
        if (load.getIntervals() <= 0 && load.getAwaitedUs() <= 0) {
            return;
        }
        updatePrefill(now, upstream);
        if (load.getIntervals() > 0) {
            modelOf(upstream)
                    .observeRemote(
                            upstream.id,
                            now,
                            load.getIntervals(),
                            load.getIntervalsUs() / MICROS_PER_MILLI / load.getIntervals(),
                            upstream.generatingStreams(),
                            upstream.eventWaits.prefillClock.recentShare());
        }
        if (load.getAwaitedUs() > 0) {
            observeAwaited(now, upstream, load.getAwaitedUs() / MICROS_PER_MILLI);
        }
    }

    private void observeAwaited(long now, UpstreamInstance upstream, double awaitedMillis) {
        modelOf(upstream)
                .observeAwaited(
                        upstream.id, now, upstream.generatingStreams(), queuedMillis(now, upstream), awaitedMillis);
    }

    private double awaitedMillis(long now, UpstreamInstance upstream) {
        if (upstream.eventWaits.isEmpty()) {
            return 0;
        }
        long watchedUntil = Math.max(lastReceivedAt, now - MAX_OWN_PAUSE_NANOS);
        double usualMillis = modelOf(upstream).intervalMillis(upstream.id, now, upstream.generatingStreams());
        return upstream.eventWaits.awaitedMillis(watchedUntil, usualMillis);
    }

    private double updatePrefill(long now, UpstreamInstance upstream) {
        return upstream.eventWaits.prefillClock.update(now, queuedMillis(now, upstream));
    }

    private double queuedMillis(long now, UpstreamInstance upstream) {
        double latencyMillis = models.of(upstream.service).latencyMillis(upstream.id, upstream.generatesTokens());
        return upstream.pendingPrompts.waitMillis(now, latencyMillis);
    }

    private StreamIntervalModel modelOf(UpstreamInstance upstream) {
        return models.intervalsOf(upstream.service);
    }

    private static int micros(double millis) {
        return (int) Math.max(0, millis * MICROS_PER_MILLI);
    }
}
