package org.cuminshelf.direct;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.EngineLatencyModel;
import org.cuminshelf.engines.PauseRisk;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.EngineCapacity;
import org.cuminshelf.routes.RoutedService;

/**
 * Selects the upstream of a request.
 *
 * <p>Requests other than streamed generations go to the upstream with the fewest requests per slot, counted over all
 * entries and weighted with its service time where service times differ, see {@link PlainServiceTimes}.
 *
 * <p>Generations go where the expected cost is least: the cost of a late answer, of the engine's time, of prefilling
 * shared segments of the prompt again and of transferring KV cache. Prefill takes most of the time. An engine in the
 * prefill role runs it at full speed and hands its KV cache over to another engine. An engine in another role runs it
 * at half the speed, interleaved with the decoding of its streams; its prefill backlog must stay short, or the pauses
 * of its streams grow too long.
 */
final class UpstreamSelector {

    /**
     * The upstream selected for a request.
     *
     * @param upstream     the upstream that the request is sent to
     * @param prefillOnly  whether that upstream only prefills the prompt, for another engine to generate the answer
     * @param estimate     the expected time of the prompt there
     * @param prefixSource another engine from which the upstream may fetch cached segments of the prompt that it lacks
     * @param gaps         the expected gaps between its events; if it is only prefilled there, at the best engine that
     *                     can generate the answer
     * @param withinGapLimits whether its gaps are expected to be in time, and the harm to other streams is no greater
     *                     than the value of its answer
     * @param netValue     expected value of the answer less the price of the engine's time and the harm to other
     *                     streams, in answers of usual size
     */
    record Choice(
            UpstreamInstance upstream,
            boolean prefillOnly,
            PromptEstimate estimate,
            Optional<UpstreamInstance> prefixSource,
            GapForecast gaps,
            boolean withinGapLimits,
            double netValue) {

        private static Choice of(UpstreamInstance upstream, double firstEventMillis, GapForecast gaps) {
            PromptEstimate estimate = PromptEstimate.withoutPrefill(firstEventMillis);
            return new Choice(upstream, false, estimate, Optional.empty(), gaps, true, 1);
        }

        double firstEventMillis() {
            return estimate.firstEventMillis();
        }

        double queueMillis() {
            return estimate.queueMillis();
        }

        /** Whether the answer is worth less than the engine's time and the gaps, its own and those that it causes. */
        boolean outweighedByGaps() {
            return !withinGapLimits && netValue <= 0;
        }
    }

    /**
     * Number of requests by which the home engine of a prompt prefix may exceed another engine and still be preferred
     * for its next stream. The home engine keeps the prefix that it fetched: engines that generate have memory for
     * segments that engines in the prefill role evict within seconds.
     */
    private static final double HOME_ENGINE_BONUS_REQUESTS = 6;
    /** Requests per slot of a plain upstream that cost as much as a lost answer: most callers have left by then. */
    private static final double PLAIN_LOAD_PER_LOST_ANSWER = 4;
    /** Milliseconds of queued prefill that weigh as much as one request on the engine. */
    private static final double QUEUE_MILLIS_PER_REQUEST = 14;

    /** Latency added for an upstream in another zone; also its weight in requests when a prompt is handed over. */
    private static final double CROSS_ZONE_MILLIS = 1;
    /** Cost of an answer that misses its latency target, relative to the value of an answer of usual size. */
    private static final double LATE_COST = 0.6;
    /**
     * Additional cost of each multiple of the latency target by which an answer is late, up to {@link
     * #MAX_TARGETS_LATE}: callers have disconnected by then.
     */
    private static final double LATENESS_COST_PER_TARGET = 0.4;

    private static final double MAX_TARGETS_LATE = 4;
    /**
     * Lower bound of the assumed error of an estimate, whatever was observed: clocks and network hops contribute as
     * much.
     */
    private static final double MIN_ERROR_MILLIS = 15;
    /** Steepness of a logistic function whose median absolute error is one. */
    private static final double LOGISTIC_STEEPNESS = 1.1;
    /**
     * Cost of transferring a gigabyte of KV cache, in the unit of {@link #LATE_COST}: the price in the first
     * deployments.
     */
    private static final double TRANSFER_COST_PER_GIGABYTE = 0.0275;

    private static final double BYTES_PER_GIGABYTE = 1e9;
    /**
     * Cost of prefilling a token of a shared segment again, in the unit of {@link #LATE_COST} and in addition to the
     * engine's time. It keeps requests with a common prefix on one engine while engines are idle, so that the prefix is
     * cached when they are busy.
     */
    private static final double REPEATED_PREFILL_COST_PER_TOKEN = 0.05e-3;
    /** Breaks ties between engines of equal cost in favour of the earlier first event. */
    private static final double LATENCY_COST_PER_MILLI = 1e-4;
    /**
     * Share of an engine's KV cache in use beyond which other engines are preferred. Beyond it the engine preempts
     * running requests and prefills their prompts again, which lengthens the pauses of all its streams.
     */
    private static final double MAX_MEMORY_SHARE = 0.8;
    /**
     * Share of an engine's KV cache that retains prompt segments after their requests end; running requests use the
     * rest.
     */
    private static final double PREFIX_CACHE_SHARE = 0.7;
    /**
     * Share of an engine's slots that may be in use, given that entries learn of each other's requests some 50 ms late.
     */
    private static final double MAX_SLOT_SHARE = 0.85;
    /** The same for short streams, which hold a slot for a tenth of a second where others hold it for two seconds. */
    private static final double MAX_SLOT_SHARE_SHORT_STREAM = 0.95;
    /** The same for calls that yield to more urgent ones, which find the remaining slots free. */
    private static final double MAX_FREE_SLOT_SHARE = 0.7;
    /** Events of a short stream: few compared with a usual stream. They take some 0.25 s in the first deployments. */
    private static final int MAX_SHORT_STREAM_EVENTS = 4;
    /**
     * Load added at a handover for each stream that is expected to be late because of it, in requests. One late stream
     * in ten outweighs {@link #HOME_ENGINE_BONUS_REQUESTS}.
     */
    private static final double LATE_STREAM_PENALTY_REQUESTS = 60;
    /** The same for an answer that is expected to be lost, in proportion to the cost of a late one. */
    private static final double LOST_ANSWER_PENALTY_REQUESTS = LATE_STREAM_PENALTY_REQUESTS / LATE_COST;
    /** Load added for an engine whose memory is full, in requests. */
    private static final double FULL_MEMORY_PENALTY_REQUESTS = 1_000;

    private static final double MICROS_PER_MILLI = 1e3;
    /** Time without any byte after which an upstream that is avoided after failures no longer passes for sound. */
    private static final long MAX_SOUND_SILENCE_NANOS = Durations.nanos(2_000);
    /** Shortest time until an engine whose role is being changed accepts calls again. */
    private static final long MIN_ROLE_CHANGE_NANOS = Durations.nanos(200);

    private final UpstreamTable upstreams;
    private final ControlSubscription control;
    private final EngineLatencyModels models;
    private final GapForecasts gapForecasts;
    private final Backpressure backpressure;
    private final UpstreamOutliers outliers;
    private final PlainServiceTimes serviceTimes;
    private final EngineTimePrices prices = new EngineTimePrices();
    private final AnswerValues values = new AnswerValues();
    private final Map<String, UnreportedWork> unreported = new HashMap<>();
    private final String zone;

    UpstreamSelector(
            UpstreamTable upstreams,
            ControlSubscription control,
            EngineLatencyModels models,
            GapForecasts gapForecasts,
            Backpressure backpressure,
            UpstreamOutliers outliers,
            PlainServiceTimes serviceTimes,
            String zone) {
        this.upstreams = upstreams;
        this.control = control;
        this.models = models;
        this.gapForecasts = gapForecasts;
        this.backpressure = backpressure;
        this.outliers = outliers;
        this.serviceTimes = serviceTimes;
        this.zone = zone;
    }

    /** Selects the upstream of a request; empty if no upstream accepts it now. */
    Optional<Choice> choose(long now, DirectCall call) {
        Optional<GenerationShape> shape = call.intent.generation();
        if (shape.isEmpty() || !call.isStream()) {
            return chooseByOccupancy(now, call);
        }
        return call.kvCache.isPresent() ? chooseForHandover(now, call) : chooseForPrompt(now, call, shape.get());
    }

    /** Returns whether any upstream is available for a call, whether or not it has a free slot. */
    boolean hasOpenUpstream(long now, DirectCall call) {
        return !openUpstreams(now, call).isEmpty();
    }

    /**
     * Returns in how many milliseconds the software version of a begun stream is expected to have an engine that
     * generates; empty if it has one, or no engine at all.
     */
    OptionalLong millisUntilGenerating(long now, DirectCall call) {
        return call.isStream() && call.origin.isPresent()
                ? upstreams.millisUntilGenerating(now, call)
                : OptionalLong.empty();
    }

    /** Returns whether every upstream available for a call has as many requests of all entries as slots. */
    boolean allSlotsTaken(long now, DirectCall call) {
        List<UpstreamInstance> open = openUpstreams(now, call);
        return !open.isEmpty() && open.stream().allMatch(upstream -> upstream.totalAttempts() >= upstream.slots);
    }

    /**
     * Returns the prefill time of a prompt in microseconds, on an engine that only prefills and has cached as much of
     * the prompt as any engine has.
     */
    long prefillMicros(long now, DirectCall call, GenerationShape shape) {
        values.observe(call, shape);
        SharedPrefixLocations shared = SharedPrefixLocations.of(shape, openUpstreams(now, call), now);
        int fetchableTokens = shared.maxFetchableTokens();
        double millis = models.of(call.service)
                .prefillMillis("", false, 0, fetchableTokens, Math.max(0, shape.promptTokens() - fetchableTokens));
        return (long) (MICROS_PER_MILLI * millis);
    }

    /** Returns how long a generation occupies a slot, in microseconds, on an engine with half of its slots in use. */
    long generationMicros(String service, GenerationShape shape) {
        Optional<EngineCapacity> limits = limits(service);
        int perEvent = tokensPerEvent(service);
        int usualStreams = limits.map(EngineCapacity::slots).orElse(1) / 2;
        double events = Math.ceil((double) shape.outputTokens() / perEvent);
        double millis = events * models.of(service).eventIntervalMillis(usualStreams);
        prices.recordGeneration(service, millis);
        return (long) (MICROS_PER_MILLI * millis);
    }

    /** Returns the value of a call's answer, in answers of usual size on its route. */
    double answerValue(DirectCall call) {
        return call.intent
                .generation()
                .map(shape -> values.valueOf(call, shape))
                .orElse(1.0);
    }

    private Optional<Choice> chooseByOccupancy(long now, DirectCall call) {
        UpstreamInstance best = null;
        double lowestLoad = Double.MAX_VALUE;
        List<UpstreamInstance> open = openUpstreams(now, call);
        PlainServiceTimes.Comparison speeds = serviceTimes.compare(now, open);
        for (UpstreamInstance upstream : open) {
            double load = speeds.load(upstream)
                    + PLAIN_LOAD_PER_LOST_ANSWER * outliers.cost(now, upstream, call)
                    + (upstream.zone.equals(zone) ? 0 : 1e-3)
                    + 1e-4 * pseudoRandomFraction(upstream, call.number);
            if (load < lowestLoad) {
                best = upstream;
                lowestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(upstream -> Choice.of(upstream, 0, GapForecast.NONE));
    }

    /**
     * Returns a number from 0 to 1 that depends only on the upstream and the call, to spread calls over equal
     * upstreams.
     */
    private static double pseudoRandomFraction(UpstreamInstance upstream, long number) {
        return (LongHashFunction.xx3(number).hashChars(upstream.id) >>> 40) / (double) (1 << 24);
    }

    /** Selects the least loaded engine to generate the answer to a prompt that another engine has prefilled. */
    private Optional<Choice> chooseForHandover(long now, DirectCall call) {
        UpstreamInstance best = null;
        double lowestLoad = Double.MAX_VALUE;
        EngineLatencyModel model = models.of(call.service);
        List<UpstreamInstance> open = openUpstreams(now, call);
        GapForecasts.Forecaster gaps = gapForecasts.of(now, call.service, maxGapMillis(call), open);
        GapForecast bestGaps = GapForecast.NONE;
        double speedWeight = gaps.speedWeight(open);
        Optional<SharedPrefixLocations> shared =
                call.intent.generation().map(shape -> SharedPrefixLocations.of(shape, open, now));
        for (UpstreamInstance upstream : open) {
            if (upstream.role == Role.ROLE_PREFILL) {
                continue;
            }
            boolean isHomeEngine = shared.filter(locations -> locations.isHomeOfStreams(upstream))
                    .isPresent();
            double queuedMillis = upstream.pendingPrompts.waitMillis(now, model.latencyMillis(upstream.id, true));
            GapForecast forecast = gaps.forecast(upstream, queuedMillis, 0);
            double load = memoryLoad(upstream, call)
                    + LOST_ANSWER_PENALTY_REQUESTS * outliers.cost(now, upstream, call)
                    - (isHomeEngine ? HOME_ENGINE_BONUS_REQUESTS : 0)
                    + gaps.streamLoad(upstream, speedWeight)
                    + queuedMillis / QUEUE_MILLIS_PER_REQUEST
                    + forecast.risk().lateStreams() * LATE_STREAM_PENALTY_REQUESTS
                    + (upstream.zone.equals(zone) ? 0 : CROSS_ZONE_MILLIS)
                    + pseudoRandomFraction(upstream, call.number);
            if (load < lowestLoad) {
                best = upstream;
                bestGaps = forecast;
                lowestLoad = load;
            }
        }
        return best == null
                ? Optional.empty()
                : Optional.of(Choice.of(best, model.handoverMillis(call.promptTokens()), bestGaps));
    }

    /**
     * Returns the memory use of an engine with a call added, expressed in requests: the used share times the engine's
     * slots, plus a large penalty if the call would not fit.
     */
    private double memoryLoad(UpstreamInstance upstream, DirectCall call) {
        long capacityTokens = kvCacheTokens(call);
        if (capacityTokens == 0) {
            return 0;
        }
        int requestTokens = call.intent
                .generation()
                .map(shape -> shape.promptTokens() + shape.outputTokens())
                .orElse(0);
        double share = (double) (upstream.totalMemoryTokens() + requestTokens) / capacityTokens;
        return share * upstream.slots + (share > MAX_MEMORY_SHARE ? FULL_MEMORY_PENALTY_REQUESTS * share : 0);
    }

    private long kvCacheTokens(DirectCall call) {
        return limits(call.service).map(EngineCapacity::kvCacheTokens).orElse(0L);
    }

    private double kvBytesPerToken(DirectCall call) {
        return limits(call.service).map(EngineCapacity::kvBytesPerToken).orElse(0.0);
    }

    private int tokensPerEvent(String service) {
        return limits(service).map(EngineCapacity::tokensPerEvent).orElse(1);
    }

    private Optional<EngineCapacity> limits(String service) {
        return control.routes().service(service).flatMap(RoutedService::engine);
    }

    /** Returns the tokens of prompts that each engine of a service can retain beside those of running requests. */
    private long prefixCacheTokens(DirectCall call) {
        long capacityTokens = kvCacheTokens(call);
        return capacityTokens == 0 ? Long.MAX_VALUE : (long) (PREFIX_CACHE_SHARE * capacityTokens);
    }

    /** Records that a call was sent to the selected upstream. */
    void onSent(long now, Choice choice) {
        if (choice.estimate.prefillMillis() > 0) {
            unreportedWork(choice.upstream.service)
                    .recordSent(now, choice.upstream.role, choice.estimate.prefillMillis());
        }
    }

    private UnreportedWork unreportedWork(String service) {
        return unreported.computeIfAbsent(service, key -> new UnreportedWork());
    }

    /**
     * Returns the milliseconds of prefill that other entries have probably sent to each open engine without this entry
     * knowing, by role.
     */
    private Map<Role, Double> unreportedMillisByRole(long now, String service, List<UpstreamInstance> open) {
        UnreportedWork work = unreportedWork(service);
        int otherEntries = Math.max(0, control.entries().size() - 1);
        Map<Role, Integer> engines = new EnumMap<>(Role.class);
        open.forEach(upstream -> engines.merge(upstream.role, 1, Integer::sum));
        Map<Role, Double> millis = new EnumMap<>(Role.class);
        engines.forEach((role, count) -> millis.put(
                role, work.expectedMillis(now, role, LoadGossip.minIntervalNanos(otherEntries), otherEntries, count)));
        return millis;
    }

    private Optional<Choice> chooseForPrompt(long now, DirectCall call, GenerationShape shape) {
        List<UpstreamInstance> open = openUpstreams(now, call);
        boolean maySplit = call.lastEventId.isEmpty() && !call.singleEngineOnly;
        EngineLatencyModel model = models.of(call.service);
        GapForecasts.Forecaster gaps = gapForecasts.of(now, call.service, maxGapMillis(call), open);
        Map<String, GapForecast> handovers = maySplit ? handoversByVersion(now, open, call, gaps) : Map.of();
        boolean hasPrefillEngines = open.stream()
                .anyMatch(upstream -> !upstream.generatesTokens() && handovers.containsKey(upstream.version));
        long cacheCapacityTokens = prefixCacheTokens(call);
        open.forEach(upstream -> upstream.promptCache.setCapacityTokens(cacheCapacityTokens));
        Choice best = null;
        double lowestCost = Double.MAX_VALUE;
        PrefixLocationsByVersion locations = PrefixLocationsByVersion.of(shape, open, now);
        Map<Role, Double> unreportedMillis = unreportedMillisByRole(now, call.service, open);
        long callHash = LongHashFunction.xx3().hashChars(call.intent.id());
        for (UpstreamInstance upstream : open) {
            SharedPrefixLocations shared = locations.readableBy(upstream);
            double unreportedHere =
                    unreportedMillis.get(upstream.role) * UnreportedWork.randomFactor(upstream.id, callHash);
            Choice estimated = estimate(now, upstream, model, call, shape, shared, unreportedHere);
            Choice choice = withGaps(estimated, gaps, handovers);
            boolean fits = upstream.generatesTokens()
                    ? canPrefillBesideStreams(choice, call, model, hasPrefillEngines)
                    : handovers.containsKey(upstream.version);
            double cost = fits ? cost(now, choice, call, model, shape, shared) : Double.MAX_VALUE;
            if (cost < lowestCost) {
                best = choice;
                lowestCost = cost;
            }
        }
        prices.updateScarcity(now, call.service, open, model);
        Optional.ofNullable(best)
                .ifPresent(choice -> prices.recordPrefill(call.service, choice.estimate.prefillMillis()));
        return Optional.ofNullable(best).map(choice -> withNetValue(now, choice, call, model, shape));
    }

    /**
     * Returns, for each software version of which an engine can take over a prompt that another one has prefilled, the
     * gaps at the engine where the fewest streams would be late because of it.
     */
    private Map<String, GapForecast> handoversByVersion(
            long now, List<UpstreamInstance> open, DirectCall call, GapForecasts.Forecaster gaps) {
        Map<String, List<UpstreamInstance>> candidates = open.stream()
                .filter(upstream -> upstream.generatesTokens() && hasFreeSlot(upstream, call))
                .collect(Collectors.groupingBy(upstream -> upstream.version));
        Map<String, GapForecast> handovers = new HashMap<>();
        candidates.forEach((version, engines) -> UpstreamInstance.withoutOutliers(engines).stream()
                .map(engine -> gaps.forecast(engine, queueMillis(now, engine), 0))
                .reduce(UpstreamSelector::lessRisky)
                .ifPresent(forecast -> handovers.put(version, forecast)));
        return handovers;
    }

    private static GapForecast lessRisky(GapForecast one, GapForecast other) {
        return other.risk().lateStreams() < one.risk().lateStreams() ? other : one;
    }

    private static Choice withGaps(Choice choice, GapForecasts.Forecaster gaps, Map<String, GapForecast> handovers) {
        GapForecast forecast = choice.prefillOnly
                ? handovers.getOrDefault(choice.upstream.version, GapForecast.NONE)
                : gaps.forecast(choice.upstream, choice.queueMillis(), choice.estimate.prefillMillis());
        return new Choice(choice.upstream, choice.prefillOnly, choice.estimate, choice.prefixSource, forecast, true, 0);
    }

    /** Returns whether an engine is left that can generate from the KV cache of a call, now or later. */
    boolean hasEngineForKvCache(DirectCall call) {
        return upstreams.instancesOf(call.service).stream()
                .anyMatch(upstream ->
                        upstream.generatesTokens() && !upstream.draining && call.acceptsVersion(upstream.version));
    }

    private Choice withNetValue(
            long now, Choice choice, DirectCall call, EngineLatencyModel model, GenerationShape shape) {
        double value = values.valueOf(call, shape);
        double inTimeProbability = (1 - lateProbability(now, choice, call, model))
                * (1 - choice.gaps.risk().own());
        double harm = LATE_COST * choice.gaps.risk().others();
        double expectedLoss = value * outliers.expectedLoss(now, choice.upstream, call);
        double timePrice = choice.estimate.prefillMillis() * prices.perMillisecond(call.service, choice.upstream);
        boolean ownGapsInTime = choice.gaps.isInTime();
        return new Choice(
                choice.upstream,
                choice.prefillOnly,
                choice.estimate,
                choice.prefixSource,
                choice.gaps,
                ownGapsInTime && harm <= value,
                value * (1 - LATE_COST * (1 - inTimeProbability)) - expectedLoss - timePrice - harm);
    }

    /**
     * Returns whether an engine that also generates may prefill a prompt: it must have a free slot and, if there are
     * engines in the prefill role, a short backlog. An idle engine always may.
     */
    private boolean canPrefillBesideStreams(
            Choice choice, DirectCall call, EngineLatencyModel model, boolean hasPrefillEngines) {
        UpstreamInstance upstream = choice.upstream;
        // A stream that the caller has received in part continues whatever the load: cutting it would waste that part.
        boolean idle = upstream.totalAttempts() == 0 || call.responseStarted;
        double backlog = choice.queueMillis() + choice.estimate.prefillMillis();
        return idle
                || hasFreeSlot(upstream, call)
                        && (!hasPrefillEngines
                                || backlog <= model.prefillAllowance().millis());
    }

    /**
     * Returns whether an engine has a slot and memory for one more stream. Guards against a failure in which all slots
     * are in use and an urgent request preempts another one: the preempted prompt is prefilled again beside the
     * streams, which slows all of them, so that slots are released ever later. A fleet stayed in that state for ten
     * seconds after the burst that caused it.
     */
    private boolean hasFreeSlot(UpstreamInstance upstream, DirectCall call) {
        double share = isShort(call) ? MAX_SLOT_SHARE_SHORT_STREAM : MAX_SLOT_SHARE;
        return upstream.totalAttempts() < share * upstream.slots
                && memoryLoad(upstream, call) < FULL_MEMORY_PENALTY_REQUESTS * MAX_MEMORY_SHARE;
    }

    /** Returns the longest gap between events that counts for a call, in milliseconds; 0 if none does. */
    private long maxGapMillis(DirectCall call) {
        return isShort(call) ? 0 : call.route.maxEventGapMillis();
    }

    /** Returns whether a call is expected to have so few events that it hardly waits between them. */
    private boolean isShort(DirectCall call) {
        int maxShortTokens = MAX_SHORT_STREAM_EVENTS * tokensPerEvent(call.service);
        return call.intent
                .generation()
                .filter(shape -> shape.outputTokens() <= maxShortTokens)
                .isPresent();
    }

    private Choice estimate(
            long now,
            UpstreamInstance upstream,
            EngineLatencyModel model,
            DirectCall call,
            GenerationShape shape,
            SharedPrefixLocations shared,
            double unreportedHere) {
        int ownTokens = shared.tokensCachedBy(upstream);
        int cachedTokens = shared.tokensAvailableTo(upstream);
        int uncachedTokens = Math.max(0, shape.promptTokens() - cachedTokens);
        boolean generates = upstream.generatesTokens();
        double latency = model.latencyMillis(upstream.id, generates);
        double work =
                model.prefillMillis(upstream.id, generates, upstream.totalAttempts(), cachedTokens, uncachedTokens)
                        + model.transferMillis(Math.max(0, cachedTokens - ownTokens));
        double wait = upstream.pendingPrompts.waitMillis(now, latency, call.queuePriority()) + unreportedHere;
        double handover = generates ? 0 : model.handoverMillis(shape.promptTokens());
        double first = wait + work + latency + (upstream.zone.equals(zone) ? 0 : CROSS_ZONE_MILLIS) + handover;
        PromptEstimate estimate = new PromptEstimate(cachedTokens, uncachedTokens, wait, work, first);
        return new Choice(upstream, !generates, estimate, shared.sourceFor(upstream), GapForecast.NONE, true, 0);
    }

    private double cost(
            long now,
            Choice choice,
            DirectCall call,
            EngineLatencyModel model,
            GenerationShape shape,
            SharedPrefixLocations shared) {
        UpstreamInstance upstream = choice.upstream;
        int ownTokens = shared.tokensCachedBy(upstream);
        int transferredTokens = Math.max(0, choice.estimate.cachedTokens() - ownTokens)
                + (choice.prefillOnly ? shape.promptTokens() : 0);
        double transferCost =
                transferredTokens * kvBytesPerToken(call) / BYTES_PER_GIGABYTE * TRANSFER_COST_PER_GIGABYTE;
        double repeatedTokensCost =
                Math.max(0, shared.tokens() - choice.estimate.cachedTokens()) * REPEATED_PREFILL_COST_PER_TOKEN;
        double work = choice.estimate.prefillMillis() * prices.perMillisecond(call.service, upstream);
        return latenessCost(now, choice, call, model)
                + outliers.cost(now, upstream, call)
                + gapCost(now, choice, call, model)
                + work
                + transferCost
                + repeatedTokensCost
                + choice.firstEventMillis() * LATENCY_COST_PER_MILLI;
    }

    /** Returns the expected cost of lateness, from its probability and its extent. */
    private static double latenessCost(long now, Choice choice, DirectCall call, EngineLatencyModel model) {
        double late = latenessMillis(now, choice, call) / call.route.targetLatencyMillis();
        return lateProbability(now, choice, call, model) * LATE_COST
                + Math.clamp(late, 0, MAX_TARGETS_LATE) * LATENESS_COST_PER_TARGET;
    }

    /** Returns the expected cost of gaps beyond their limit, here and at the other streams of the engine. */
    private static double gapCost(long now, Choice choice, DirectCall call, EngineLatencyModel model) {
        PauseRisk risk = choice.gaps.risk();
        double ownLate = risk.own() * (1 - lateProbability(now, choice, call, model));
        return LATE_COST * (ownLate + risk.others());
    }

    private static double lateProbability(long now, Choice choice, DirectCall call, EngineLatencyModel model) {
        double error = Math.max(MIN_ERROR_MILLIS, model.relativeError() * choice.firstEventMillis());
        return 1 / (1 + Math.exp(-LOGISTIC_STEEPNESS * latenessMillis(now, choice, call) / error));
    }

    /** Returns by how many milliseconds the first event is expected after the target; negative if before it. */
    private static double latenessMillis(long now, Choice choice, DirectCall call) {
        return Durations.millis(now - call.arrivedAtNanos)
                + choice.firstEventMillis()
                - call.route.targetLatencyMillis();
    }

    /**
     * Returns the upstreams that accept a call now. An upstream that requested a backoff from another entry is included
     * only if all upstreams of its role did, and one that is avoided after failures only if no other can answer.
     */
    private List<UpstreamInstance> openUpstreams(long now, DirectCall call) {
        List<UpstreamInstance> open = upstreams.instancesOf(call.service).stream()
                .filter(upstream -> isOpen(now, upstream, call))
                .toList();
        if (open.stream().noneMatch(upstream -> canAnswer(upstream, call))) {
            open = upstreams.instancesOf(call.service).stream()
                    .filter(upstream -> isOpen(now, upstream, call) || isLastResort(now, upstream, call))
                    .toList();
        }
        open = withoutUnconfirmed(open, call);
        if (!backpressure.backoffs().hasRemoteBackoffs()) {
            return open;
        }
        Set<Role> rolesWithoutRest = EnumSet.noneOf(Role.class);
        open.stream()
                .filter(upstream -> !isAskedElsewhere(now, upstream))
                .forEach(upstream -> rolesWithoutRest.add(upstream.role));
        return open.stream()
                .filter(upstream -> !isAskedElsewhere(now, upstream) || !rolesWithoutRest.contains(upstream.role))
                .toList();
    }

    /**
     * Leaves out upstreams that a minority of control processes lists, while there are several software versions and
     * others can answer. Guards against streams begun, behind a partition, at a version that entries on its other side
     * have not heard of: they would take theirs for the only one.
     */
    private List<UpstreamInstance> withoutUnconfirmed(List<UpstreamInstance> open, DirectCall call) {
        boolean beginsResumableStream = call.isStream() && call.isRetryable() && call.origin.isEmpty();
        if (!beginsResumableStream || UpstreamInstance.haveOneVersion(open)) {
            return open;
        }
        List<UpstreamInstance> confirmed = open.stream()
                .filter(upstream -> upstream.listedBy.size() >= control.majority())
                .toList();
        return confirmed.stream().anyMatch(upstream -> canAnswer(upstream, call)) ? confirmed : open;
    }

    private boolean isAskedElsewhere(long now, UpstreamInstance upstream) {
        return backpressure.backoffs().isBackedOffRemotely(now, upstream.id);
    }

    /**
     * Returns whether the selected upstream, or another of its role, has a short queue and free slots. Calls that yield
     * to more urgent ones are sent only then.
     */
    boolean hasFreeUpstream(long now, DirectCall call, Choice choice, double maxQueueMillis) {
        boolean generates = choice.upstream.generatesTokens();
        return isFree(choice.upstream, choice.queueMillis(), maxQueueMillis)
                || UpstreamInstance.withoutOutliers(openUpstreams(now, call)).stream()
                        .filter(upstream -> upstream.generatesTokens() == generates)
                        .anyMatch(upstream -> isFree(upstream, queueMillis(now, upstream), maxQueueMillis));
    }

    private static boolean isFree(UpstreamInstance upstream, double queueMillis, double maxQueueMillis) {
        return queueMillis < Math.max(MIN_ERROR_MILLIS, maxQueueMillis)
                && upstream.totalAttempts() < MAX_FREE_SLOT_SHARE * upstream.slots;
    }

    private double queueMillis(long now, UpstreamInstance upstream) {
        double latencyMillis = models.of(upstream.service).latencyMillis(upstream.id, upstream.generatesTokens());
        return upstream.pendingPrompts.waitMillis(now, latencyMillis);
    }

    /** Returns whether an upstream accepts a call now, whether or not it has a free slot. */
    boolean isOpen(long now, UpstreamInstance upstream, DirectCall call) {
        return !upstream.isAvoided(now) && isServing(now, upstream, call);
    }

    private boolean isServing(long now, UpstreamInstance upstream, DirectCall call) {
        boolean serving = !upstream.draining && !upstream.roleChanging && !call.excludedUpstreams.contains(upstream.id);
        return serving && call.acceptsVersion(upstream.version) && hasPermit(now, upstream, call);
    }

    /**
     * Returns whether a call is sent to an upstream that is avoided after failures, rather than be refused: the call
     * may run again and has no attempt elsewhere, and the upstream has sent something lately. All upstreams may be
     * silent for a moment and go on.
     */
    private boolean isLastResort(long now, UpstreamInstance upstream, DirectCall call) {
        return call.isRetryable()
                && !call.hasOpenAttempt()
                && upstream.isInFailureBackoff(now)
                && now - upstream.lastResponseAtNanos < MAX_SOUND_SILENCE_NANOS
                && isServing(now, upstream, call);
    }

    private boolean hasPermit(long now, UpstreamInstance upstream, DirectCall call) {
        boolean kept = call.reservedPermit.filter(upstream.id::equals).isPresent();
        return kept ? backpressure.maySendWithReservedPermit(now, upstream.id) : backpressure.maySend(now, upstream.id);
    }

    /** Returns whether an upstream can generate the answer to a call, rather than only prefill its prompt. */
    private static boolean canAnswer(UpstreamInstance upstream, DirectCall call) {
        return !call.isStream() || upstream.generatesTokens();
    }

    /**
     * Returns when a call may be sent, if every upstream that could answer it has requested a backoff or has used up
     * its rate limit.
     *
     * @return the time in nanoseconds; empty if an upstream is open, or if none of them limits requests
     */
    OptionalLong nextSendAt(long now, DirectCall call) {
        return nextSendAt(now, call, upstream -> !call.excludedUpstreams.contains(upstream.id));
    }

    /** Returns the same for a caller that retries later, whose request may go to any upstream. */
    OptionalLong nextRetryAt(long now, DirectCall call) {
        return nextSendAt(now, call, upstream -> true);
    }

    private OptionalLong nextSendAt(long now, DirectCall call, Predicate<UpstreamInstance> isCandidate) {
        long next = Core.NEVER;
        boolean askedToWait = false;
        for (UpstreamInstance upstream : upstreams.instancesOf(call.service)) {
            if (upstream.draining
                    || upstream.roleChanging
                    || !call.acceptsVersion(upstream.version)
                    || !canAnswer(upstream, call)
                    || !isCandidate.test(upstream)) {
                continue;
            }
            boolean limited = !hasPermit(now, upstream, call);
            if (!limited && !upstream.isAvoided(now)) {
                return OptionalLong.empty();
            }
            askedToWait |= limited;
            next = Math.min(next, openAt(now, upstream, call));
        }
        return askedToWait ? OptionalLong.of(next) : OptionalLong.empty();
    }

    /** Returns when an upstream accepts a call, as far as known here, in nanoseconds. */
    private long openAt(long now, UpstreamInstance upstream, DirectCall call) {
        long permittedAt = hasPermit(now, upstream, call) ? now : backpressure.nextSendTime(now, upstream.id);
        long changedAt = upstream.roleChanging ? now + MIN_ROLE_CHANGE_NANOS : now;
        return Math.max(upstream.avoidedUntilNanos(), Math.max(permittedAt, changedAt));
    }

    /**
     * Returns when the first upstream that could answer a call may accept it, whether or not it has a free slot then.
     *
     * @return the time in nanoseconds, which may have passed; empty if no upstream is left for the call
     */
    OptionalLong nextOpenAt(long now, DirectCall call) {
        return upstreams.instancesOf(call.service).stream()
                .filter(upstream -> !upstream.draining
                        && canAnswer(upstream, call)
                        && call.acceptsVersion(upstream.version)
                        && !call.excludedUpstreams.contains(upstream.id))
                .mapToLong(upstream -> openAt(now, upstream, call))
                .min();
    }

    /**
     * Returns the engine whose permit should be reserved for the handover of a call; empty if an engine without a rate
     * limit can take the handover.
     */
    Optional<UpstreamInstance> handoverEngineToReserve(long now, DirectCall call) {
        if (backpressure.limits().activeCount() == 0) {
            return Optional.empty();
        }
        UpstreamInstance best = null;
        for (UpstreamInstance upstream : openUpstreams(now, call)) {
            if (!upstream.generatesTokens() || !hasFreeSlot(upstream, call)) {
                continue;
            }
            if (!backpressure.limits().isLimited(upstream.id)) {
                return Optional.empty();
            }
            best = best == null || upstream.totalAttempts() < best.totalAttempts() ? upstream : best;
        }
        return Optional.ofNullable(best);
    }
}
