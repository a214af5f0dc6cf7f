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
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.EngineLatencyModel;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.EngineCapacity;
import org.cuminshelf.routes.RoutedService;

/**
 * Chooses the upstream of a request.
 *
 * <p>Plain services: the one with the fewest requests for each of its slots, as all entries report them.
 *
 * <p>Generations: the way that costs least, where the costs are an answer that comes too late, shared parts of a prompt
 * that are read once more, and KV cache that is moved. Prompts are what takes time: an engine in the prefill role takes
 * them in at full speed and hands its KV cache on; one in another role takes them in at half the speed between the
 * tokens of its streams, so there only a little may wait at once, or the streams' pauses grow too long.
 */
final class UpstreamSelector {

    /**
     * A choice.
     *
     * @param upstream    where the request goes
     * @param prefillOnly whether only its prompt is taken in there
     * @param estimate    what its prompt is expected to take there
     * @param prefixSource    another engine from which it may fetch shared parts of the prompt that it lacks
     * @param netValue    what the answer is worth on average, in usual answers, less what its engine's time is worth
     */
    record Choice(
            UpstreamInstance upstream,
            boolean prefillOnly,
            PromptEstimate estimate,
            Optional<UpstreamInstance> prefixSource,
            double netValue) {

        private static Choice of(UpstreamInstance upstream, double firstMillis) {
            return new Choice(upstream, false, PromptEstimate.withoutPrefill(firstMillis), Optional.empty(), 1);
        }

        double firstEventMillis() {
            return estimate.firstEventMillis();
        }

        double queueMillis() {
            return estimate.queueMillis();
        }
    }

    /**
     * Requests that the home of a subject may have more than another engine and still get the next stream of it. What
     * it fetched it keeps: engines that generate have room for parts that those in the prefill role drop in seconds.
     */
    private static final double HOME_PREFERENCE = 6;
    /** Milliseconds of prompts on an engine that count as much as one more request there. */
    private static final double WAIT_OF_REQUEST_MILLIS = 14;

    private static final double OTHER_ZONE_MILLIS = 1;
    /** What an answer that misses its target loses, against one request of middling worth. */
    private static final double LATE_COST = 0.6;
    /** What each whole target adds by which it is missed, up to {@link #MOST_TARGETS_LATE}: callers leave by then. */
    private static final double LATER_COST = 0.4;

    private static final double MOST_TARGETS_LATE = 4;
    /** Least milliseconds by which expectations may be off, whatever was seen: the clocks and hops on the way. */
    private static final double LEAST_ERROR_MILLIS = 15;
    /** Steepness of the logistic function whose median error is one. */
    private static final double LOGISTIC = 1.1;
    /** What moving a gigabyte of KV cache costs, in the same unit: what the first deployments take for it. */
    private static final double MOVE_COST = 0.0275;

    private static final double BYTES_PER_GIGABYTE = 1e9;
    /**
     * What reading a token of a shared part once more costs, in the same unit, beside the engine's time. It keeps
     * subjects together where engines idle, so that the parts are there when they don't.
     */
    private static final double REREAD_COST = 0.05e-3;
    /** Decides between equals: the sooner. */
    private static final double MILLI_COST = 1e-4;
    /**
     * Part of an engine's memory that may be taken before others go first. Beyond it the engine puts running requests
     * back and reads their prompts again, which lengthens the pauses of all its streams.
     */
    private static final double MEMORY_SHARE = 0.8;
    /** Part of an engine's memory that holds parts of prompts once their requests ended; the rest is in use. */
    private static final double CACHED_SHARE = 0.7;
    /** Part of an engine's places that may be taken, by what entries know of each other some 50 ms late. */
    private static final double PLACES_SHARE = 0.85;
    /** The same for what is over soon: it holds a place for a tenth of a second, others for two. */
    private static final double PLACES_SHARE_BRIEF = 0.95;
    /** Events of a stream that are over soon: few beside those of a usual one, some 0.25 s at the first users. */
    private static final int BRIEF_EVENTS = 4;
    /** What a full engine counts for against one with room, in requests. */
    private static final double FULL_COST = 1_000;

    private static final double MICROS_PER_MILLI = 1e3;

    private final UpstreamTable upstreams;
    private final ControlSubscription control;
    private final EngineModels models;
    private final Backpressure backpressure;
    private final EngineTimePrices prices = new EngineTimePrices();
    private final AnswerValues values = new AnswerValues();
    private final Map<String, UnreportedWork> unseen = new HashMap<>();
    private final String zone;

    UpstreamSelector(
            UpstreamTable upstreams,
            ControlSubscription control,
            EngineModels models,
            Backpressure backpressure,
            String zone) {
        this.upstreams = upstreams;
        this.control = control;
        this.models = models;
        this.backpressure = backpressure;
        this.zone = zone;
    }

    /** Chooses for a request, or finds nothing that takes it. */
    Optional<Choice> choose(long now, DirectCall call) {
        Optional<GenerationShape> shape = call.intent.generation();
        if (shape.isEmpty() || !call.isStream()) {
            return forService(now, call);
        }
        return call.kvCache.isPresent() ? forHandover(now, call) : forPrompt(now, call, shape.get());
    }

    /** Whether any upstream is there for a call, with or without a place for it. */
    boolean hasOpen(long now, DirectCall call) {
        return upstreams.instancesOf(call.service).stream().anyMatch(row -> isOpen(now, row, call));
    }

    /** What a prompt takes of an engine that only reads prompts and holds as much of it as any engine does. */
    long prefillMicros(long now, DirectCall call, GenerationShape shape) {
        values.observe(call, shape);
        SharedPrefixLocations shared = SharedPrefixLocations.of(shape, open(now, call), now);
        int held = shared.maxCachedTokens();
        double millis =
                models.of(call.service).prefillMillis("", false, 0, held, Math.max(0, shape.promptTokens() - held));
        return (long) (MICROS_PER_MILLI * millis);
    }

    /** How long a generation takes a place of an engine that has a usual number of streams. */
    long generationMicros(String service, GenerationShape shape) {
        Optional<EngineCapacity> limits = limits(service);
        int perEvent = tokensPerEvent(service);
        int usualStreams = limits.map(EngineCapacity::slots).orElse(1) / 2;
        double events = Math.ceil((double) shape.outputTokens() / perEvent);
        double millis = events * models.of(service).eventIntervalMillis(usualStreams);
        prices.recordGeneration(service, millis);
        return (long) (MICROS_PER_MILLI * millis);
    }

    private Optional<Choice> forService(long now, DirectCall call) {
        UpstreamInstance best = null;
        double bestLoad = Double.MAX_VALUE;
        for (UpstreamInstance row : open(now, call)) {
            double load = (double) row.totalAttempts() / row.slots
                    + (row.zone.equals(zone) ? 0 : 1e-3)
                    + 1e-4 * spread(row, call.number);
            if (load < bestLoad) {
                best = row;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(row -> Choice.of(row, 0));
    }

    private static double spread(UpstreamInstance row, long number) {
        return (LongHashFunction.xx3(number).hashChars(row.id) >>> 40) / (double) (1 << 24);
    }

    /** The engine that goes on after the prompt was taken in elsewhere: the one with the least to do. */
    private Optional<Choice> forHandover(long now, DirectCall call) {
        UpstreamInstance best = null;
        double least = Double.MAX_VALUE;
        EngineLatencyModel model = models.of(call.service);
        List<UpstreamInstance> open = open(now, call);
        Optional<SharedPrefixLocations> shared =
                call.intent.generation().map(shape -> SharedPrefixLocations.of(shape, open, now));
        for (UpstreamInstance row : open) {
            if (row.role == Role.ROLE_PREFILL) {
                continue;
            }
            boolean home = shared.filter(parts -> parts.isHomeOfStreams(row)).isPresent();
            double load = memoryLoad(row, call)
                    - (home ? HOME_PREFERENCE : 0)
                    + row.totalAttempts()
                    + row.pendingPrompts.waitMillis(now, model.latencyMillis(row.id, true)) / WAIT_OF_REQUEST_MILLIS
                    + (row.zone.equals(zone) ? 0 : OTHER_ZONE_MILLIS)
                    + spread(row, call.number);
            if (load < least) {
                best = row;
                least = load;
            }
        }
        return Optional.ofNullable(best).map(row -> Choice.of(row, model.handoverMillis(call.promptTokens())));
    }

    /**
     * The engine's memory taken with a call on it, as a number of requests: the places of the engine, scaled by the
     * part of the memory, and much more where it would not fit.
     */
    private double memoryLoad(UpstreamInstance row, DirectCall call) {
        long capacity = cacheTokens(call);
        if (capacity == 0) {
            return 0;
        }
        int own = call.intent
                .generation()
                .map(shape -> shape.promptTokens() + shape.outputTokens())
                .orElse(0);
        double share = (double) (row.totalMemoryTokens() + own) / capacity;
        return share * row.slots + (share > MEMORY_SHARE ? FULL_COST * share : 0);
    }

    private long cacheTokens(DirectCall call) {
        return limits(call.service).map(EngineCapacity::kvCacheTokens).orElse(0L);
    }

    private double tokenBytes(DirectCall call) {
        return limits(call.service).map(EngineCapacity::kvBytesPerToken).orElse(0.0);
    }

    private int tokensPerEvent(String service) {
        return limits(service).map(EngineCapacity::tokensPerEvent).orElse(1);
    }

    private Optional<EngineCapacity> limits(String service) {
        return control.routes().service(service).flatMap(RoutedService::engine);
    }

    /** Tokens of prompts for which each engine of a call's service has room, beside those of running requests. */
    private long cacheRoom(DirectCall call) {
        long capacity = cacheTokens(call);
        return capacity == 0 ? Long.MAX_VALUE : (long) (CACHED_SHARE * capacity);
    }

    /** Takes note that a call was sent where it was chosen to go. */
    void onSent(long now, Choice choice) {
        if (choice.estimate.prefillMillis() > 0) {
            unseenOf(choice.upstream.service).recordSent(now, choice.upstream.role, choice.estimate.prefillMillis());
        }
    }

    private UnreportedWork unseenOf(String service) {
        return unseen.computeIfAbsent(service, key -> new UnreportedWork());
    }

    /** Milliseconds of work of other entries that is probably on its way to each open engine, by role. */
    private Map<Role, Double> unseenMillis(long now, String service, List<UpstreamInstance> open) {
        UnreportedWork work = unseenOf(service);
        int others = Math.max(0, control.entries().size() - 1);
        Map<Role, Integer> engines = new EnumMap<>(Role.class);
        open.forEach(row -> engines.merge(row.role, 1, Integer::sum));
        Map<Role, Double> millis = new EnumMap<>(Role.class);
        engines.forEach((role, count) ->
                millis.put(role, work.expectedMillis(now, role, LoadGossip.minIntervalNanos(others), others, count)));
        return millis;
    }

    private Optional<Choice> forPrompt(long now, DirectCall call, GenerationShape shape) {
        List<UpstreamInstance> open = open(now, call);
        boolean splits = call.lastEventId.isEmpty() && !call.singleEngineOnly;
        boolean prefillThere = splits && open.stream().anyMatch(row -> !row.generatesTokens());
        boolean placeThere = open.stream().anyMatch(row -> row.generatesTokens() && hasPlace(row, call));
        EngineLatencyModel model = models.of(call.service);
        long room = cacheRoom(call);
        open.forEach(row -> row.promptCache.setCapacityTokens(room));
        Choice best = null;
        double least = Double.MAX_VALUE;
        SharedPrefixLocations shared = SharedPrefixLocations.of(shape, open, now);
        Map<Role, Double> onTheirWay = unseenMillis(now, call.service, open);
        long callHash = LongHashFunction.xx3().hashChars(call.intent.id());
        for (UpstreamInstance row : open) {
            double onItsWay = onTheirWay.get(row.role) * UnreportedWork.randomShare(row.id, callHash);
            Choice choice = estimate(now, row, model, shape, shared, onItsWay);
            boolean fits =
                    row.generatesTokens() ? fitsBesideStreams(choice, call, model, prefillThere) : splits && placeThere;
            double cost = fits ? cost(now, choice, call, model, shape, shared) : Double.MAX_VALUE;
            if (cost < least) {
                best = choice;
                least = cost;
            }
        }
        prices.updateScarcity(now, call.service, open, model);
        Optional.ofNullable(best)
                .ifPresent(choice -> prices.recordPrefill(call.service, choice.estimate.prefillMillis()));
        return Optional.ofNullable(best).map(choice -> withGain(now, choice, call, model, shape));
    }

    private Choice withGain(long now, Choice choice, DirectCall call, EngineLatencyModel model, GenerationShape shape) {
        double answer = values.valueOf(call, shape) * (1 - LATE_COST * lateChance(now, choice, call, model));
        double time = choice.estimate.prefillMillis() * prices.perMillisecond(call.service, choice.upstream);
        return new Choice(choice.upstream, choice.prefillOnly, choice.estimate, choice.prefixSource, answer - time);
    }

    /** Whether a prompt may be taken in by an engine that also generates; more may wait there if no other can do it. */
    private boolean fitsBesideStreams(Choice choice, DirectCall call, EngineLatencyModel model, boolean prefillThere) {
        UpstreamInstance row = choice.upstream;
        // A stream that its caller has half of goes on beside what is there: cutting it would lose what it took so far.
        boolean idle = row.totalAttempts() == 0 || call.responseStarted;
        double backlog = choice.queueMillis() + choice.estimate.prefillMillis();
        return idle
                || hasPlace(row, call)
                        && (!prefillThere || backlog <= model.prefillAllowance().millis());
    }

    /**
     * Whether an engine has a place for one more stream, and memory. Failure this guards against: with all places taken
     * an urgent request puts another back, whose prompt is read again beside the streams, which slows them all, so that
     * places come free ever later. A fleet was seen to stay in that state for ten seconds after the burst that began
     * it.
     */
    private boolean hasPlace(UpstreamInstance row, DirectCall call) {
        int briefTokens = BRIEF_EVENTS * tokensPerEvent(call.service);
        boolean brief = call.intent
                .generation()
                .filter(shape -> shape.outputTokens() <= briefTokens)
                .isPresent();
        double share = brief ? PLACES_SHARE_BRIEF : PLACES_SHARE;
        return row.totalAttempts() < share * row.slots && memoryLoad(row, call) < FULL_COST * MEMORY_SHARE;
    }

    private Choice estimate(
            long now,
            UpstreamInstance row,
            EngineLatencyModel model,
            GenerationShape shape,
            SharedPrefixLocations shared,
            double onItsWay) {
        int own = shared.tokensCachedBy(row);
        int held = shared.tokensAvailableTo(row);
        int uncached = Math.max(0, shape.promptTokens() - held);
        boolean generates = row.generatesTokens();
        double latency = model.latencyMillis(row.id, generates);
        double work = model.prefillMillis(row.id, generates, row.totalAttempts(), held, uncached)
                + model.transferMillis(Math.max(0, held - own));
        double wait = row.pendingPrompts.waitMillis(now, latency) + onItsWay;
        double handover = generates ? 0 : model.handoverMillis(shape.promptTokens());
        double first = wait + work + latency + (row.zone.equals(zone) ? 0 : OTHER_ZONE_MILLIS) + handover;
        PromptEstimate estimate = new PromptEstimate(held, uncached, wait, work, first);
        return new Choice(row, !generates, estimate, shared.sourceFor(row), 0);
    }

    private double cost(
            long now,
            Choice choice,
            DirectCall call,
            EngineLatencyModel model,
            GenerationShape shape,
            SharedPrefixLocations shared) {
        UpstreamInstance row = choice.upstream;
        int own = shared.tokensCachedBy(row);
        int movedTokens =
                Math.max(0, choice.estimate.cachedTokens() - own) + (choice.prefillOnly ? shape.promptTokens() : 0);
        double moved = movedTokens * tokenBytes(call) / BYTES_PER_GIGABYTE * MOVE_COST;
        double reread = Math.max(0, shared.tokens() - choice.estimate.cachedTokens()) * REREAD_COST;
        double work = choice.estimate.prefillMillis() * prices.perMillisecond(call.service, row);
        return lateCost(now, choice, call, model) + work + moved + reread + choice.firstEventMillis() * MILLI_COST;
    }

    /** What is lost on average by an answer's coming late: its chance to, and by how much. */
    private static double lateCost(long now, Choice choice, DirectCall call, EngineLatencyModel model) {
        double late = lateMillis(now, choice, call) / call.route.targetLatencyMillis();
        return lateChance(now, choice, call, model) * LATE_COST + Math.clamp(late, 0, MOST_TARGETS_LATE) * LATER_COST;
    }

    private static double lateChance(long now, Choice choice, DirectCall call, EngineLatencyModel model) {
        double error = Math.max(LEAST_ERROR_MILLIS, model.relativeError() * choice.firstEventMillis());
        return 1 / (1 + Math.exp(-LOGISTIC * lateMillis(now, choice, call) / error));
    }

    /** Milliseconds by which the first event is expected after the target, or before it if negative. */
    private static double lateMillis(long now, Choice choice, DirectCall call) {
        return Durations.millis(now - call.arrivedAtNanos)
                + choice.firstEventMillis()
                - call.route.targetLatencyMillis();
    }

    /** The upstreams that take a call now; one that asked another entry for rest only if no other has its role. */
    private List<UpstreamInstance> open(long now, DirectCall call) {
        List<UpstreamInstance> open = upstreams.instancesOf(call.service).stream()
                .filter(row -> isOpen(now, row, call))
                .toList();
        if (!backpressure.backoffs().hasRemoteBackoffs()) {
            return open;
        }
        Set<Role> willing = EnumSet.noneOf(Role.class);
        open.stream().filter(row -> !isAskedElsewhere(now, row)).forEach(row -> willing.add(row.role));
        return open.stream()
                .filter(row -> !isAskedElsewhere(now, row) || !willing.contains(row.role))
                .toList();
    }

    private boolean isAskedElsewhere(long now, UpstreamInstance row) {
        return backpressure.backoffs().isBackedOffRemotely(now, row.id);
    }

    private boolean isOpen(long now, UpstreamInstance row, DirectCall call) {
        boolean serving =
                !row.draining && !row.roleChanging && !row.isAvoided(now) && !call.excludedUpstreams.contains(row.id);
        return serving && hasPermit(now, row, call);
    }

    private boolean hasPermit(long now, UpstreamInstance row, DirectCall call) {
        boolean kept = call.reservedPermit.filter(row.id::equals).isPresent();
        return kept ? backpressure.maySendWithReservedPermit(now, row.id) : backpressure.maySend(now, row.id);
    }

    /** Whether an upstream can answer a call, and not just read its prompt. */
    private static boolean canAnswer(UpstreamInstance row, DirectCall call) {
        return !call.isStream() || row.generatesTokens();
    }

    /**
     * When a call may be sent, where the upstreams that could answer it rest, or state limits and have no permit left.
     *
     * @return that time in nanoseconds; empty where an upstream is open, or none asked to wait
     */
    OptionalLong nextSend(long now, DirectCall call) {
        return nextSend(now, call, row -> !call.excludedUpstreams.contains(row.id));
    }

    /** The same for a caller that comes back, whose request may go to any upstream. */
    OptionalLong nextReturn(long now, DirectCall call) {
        return nextSend(now, call, row -> true);
    }

    private OptionalLong nextSend(long now, DirectCall call, Predicate<UpstreamInstance> counts) {
        long next = Core.NEVER;
        boolean askedToWait = false;
        for (UpstreamInstance row : upstreams.instancesOf(call.service)) {
            if (row.draining || row.roleChanging || !canAnswer(row, call) || !counts.test(row)) {
                continue;
            }
            boolean held = !hasPermit(now, row, call);
            if (!held && !row.isAvoided(now)) {
                return OptionalLong.empty();
            }
            askedToWait |= held;
            long open = Math.max(row.avoidedUntilNanos(), held ? backpressure.nextSendTime(now, row.id) : now);
            next = Math.min(next, open);
        }
        return askedToWait ? OptionalLong.of(next) : OptionalLong.empty();
    }

    /**
     * The engine of which a permit should be kept for the handover of a call: none if one without a limit can do it.
     */
    Optional<UpstreamInstance> handoverEngineToReserve(long now, DirectCall call) {
        if (backpressure.limits().activeCount() == 0) {
            return Optional.empty();
        }
        UpstreamInstance best = null;
        for (UpstreamInstance row : open(now, call)) {
            if (!row.generatesTokens() || !hasPlace(row, call)) {
                continue;
            }
            if (!backpressure.limits().isLimited(row.id)) {
                return Optional.empty();
            }
            best = best == null || row.totalAttempts() < best.totalAttempts() ? row : best;
        }
        return Optional.ofNullable(best);
    }
}
