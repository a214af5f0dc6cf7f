package org.cuminshelf.direct;

import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.EngineLimits;
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
final class Placement {

    /**
     * A choice.
     *
     * @param upstream       where the request goes
     * @param prefillOnly    whether only its prompt is taken in there
     * @param promptMillis   time its prompt takes there, in milliseconds
     * @param firstMillis    expected time to the first token, in milliseconds
     * @param waitMillis     how much of it is for the prompts before it
     */
    record Choice(
            UpstreamRow upstream, boolean prefillOnly, double promptMillis, double firstMillis, double waitMillis) {}

    /** Times as long that a prompt takes on an engine that also generates. */
    private static final double MIXED_FACTOR = 2;
    /**
     * Milliseconds of prompts that may wait on an engine that also generates. One event of a stream takes 12 steps;
     * with a chunk of prompt in each it takes 180 ms, and pauses of 200 ms count as late.
     */
    private static final double MIXED_BACKLOG = 60;
    /** One more hop and the move of the KV cache: some 10 ms for a long prompt over links of the day. */
    private static final double HANDOVER_MILLIS = 20;
    /** Milliseconds that each stream already running on an engine adds to the next one's first token. */
    private static final double MILLIS_PER_STREAM = 0.3;

    private static final double OTHER_ZONE_MILLIS = 1;
    /** Part of the target up to which an expected time is as good as none: estimates are off by a third. */
    private static final double SAFE_SHARE = 0.6;
    /** What an answer that misses its target loses, against one request of middling worth. */
    private static final double LATE_COST = 2.5;
    /** What reading one token of a shared part once more costs, in the same unit. */
    private static final double REREAD_COST = 0.32e-3;
    /** What moving the KV cache of one token costs, in the same unit: 327 KB at 0.027 a GB. */
    private static final double MOVE_COST = 9e-6;
    /** What a millisecond of prompt costs the streams of an engine that also generates, for each of them. */
    private static final double STREAM_DELAY_COST = 2e-5;
    /** Decides between equals: the sooner. */
    private static final double MILLI_COST = 1e-4;
    /**
     * Part of a shared prompt that counts as held, for the time it takes, by the engine to which all entries turn first
     * for it, though this entry did not send it there itself.
     */
    private static final double HOME_CREDIT = 0.8;

    /**
     * Part of an engine's memory that may be taken before others go first. Beyond it the engine puts running requests
     * back and reads their prompts again, which lengthens the pauses of all its streams.
     */
    private static final double MEMORY_SHARE = 0.8;
    /** Part of an engine's places that may be taken, by what entries know of each other some 50 ms late. */
    private static final double PLACES_SHARE = 0.85;
    /** The same for what is over soon: it holds a place for a tenth of a second, others for two. */
    private static final double PLACES_SHARE_BRIEF = 0.95;
    /** Output tokens that are over soon: four events of twelve, some 0.25 s. */
    private static final int BRIEF_TOKENS = 48;
    /** What a full engine counts for against one with room, in requests. */
    private static final double FULL_COST = 1_000;

    private final UpstreamTable upstreams;
    private final ControlFeed control;
    private final String zone;

    Placement(UpstreamTable upstreams, ControlFeed control, String zone) {
        this.upstreams = upstreams;
        this.control = control;
        this.zone = zone;
    }

    /** Chooses for a request, or finds nothing that takes it. */
    Optional<Choice> choose(long now, CallRow call) {
        Optional<GenerationShape> shape = call.intent.generation();
        if (shape.isEmpty() || !call.isStream()) {
            return forService(now, call);
        }
        return call.cache.isPresent() ? forHandover(now, call) : forPrompt(now, call, shape.get());
    }

    /** Whether any upstream is there for a call, with or without a place for it. */
    boolean hasOpen(long now, CallRow call) {
        return upstreams.ofService(call.service).stream().anyMatch(row -> isOpen(now, row, call));
    }

    /** The work that a generation asks for, in prompt tokens that are not in the cache of the engine it turns to. */
    long offeredTokens(long now, CallRow call, GenerationShape shape) {
        List<UpstreamRow> open = upstreams.ofService(call.service).stream()
                .filter(row -> isOpen(now, row, call))
                .toList();
        String home = home(open, shape, true);
        int expected = (int) (HOME_CREDIT * sharedTokens(shape.parts()));
        int known = upstreams
                .row(home)
                .map(row -> row.cache.heldTokens(shape.parts()))
                .orElse(0);
        int held = Math.max(expected, known);
        return PromptWork.tokens(PromptWork.millis(held, Math.max(0, shape.promptTokens() - held)));
    }

    private Optional<Choice> forService(long now, CallRow call) {
        UpstreamRow best = null;
        double bestLoad = Double.MAX_VALUE;
        for (UpstreamRow row : upstreams.ofService(call.service)) {
            if (!isOpen(now, row, call)) {
                continue;
            }
            double load = (double) row.occupancy() / row.slots
                    + (row.zone.equals(zone) ? 0 : 1e-3)
                    + 1e-4 * spread(row, call.number);
            if (load < bestLoad) {
                best = row;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(row -> new Choice(row, false, 0, 0, 0));
    }

    private static double spread(UpstreamRow row, long number) {
        return (LongHashFunction.xx3(number).hashChars(row.id) >>> 40) / (double) (1 << 24);
    }

    /** The engine that goes on after the prompt was taken in elsewhere: the one with the least to do. */
    private Optional<Choice> forHandover(long now, CallRow call) {
        UpstreamRow best = null;
        double least = Double.MAX_VALUE;
        for (UpstreamRow row : upstreams.ofService(call.service)) {
            if (row.role == Role.ROLE_PREFILL || !isOpen(now, row, call)) {
                continue;
            }
            double load = memoryLoad(row, call)
                    + row.occupancy()
                    + row.backlogMillis(Integer.MAX_VALUE) / HANDOVER_MILLIS
                    + (row.zone.equals(zone) ? 0 : OTHER_ZONE_MILLIS)
                    + spread(row, call.number);
            if (load < least) {
                best = row;
                least = load;
            }
        }
        return Optional.ofNullable(best).map(row -> new Choice(row, false, 0, HANDOVER_MILLIS, 0));
    }

    /**
     * The engine's memory taken with a call on it, as a number of requests: the places of the engine, scaled by the
     * part of the memory, and much more where it would not fit.
     */
    private double memoryLoad(UpstreamRow row, CallRow call) {
        long capacity = control.routes()
                .service(call.service)
                .flatMap(RoutedService::engine)
                .map(EngineLimits::cacheTokens)
                .orElse(0L);
        if (capacity == 0) {
            return 0;
        }
        int own = call.intent
                .generation()
                .map(shape -> shape.promptTokens() + shape.outputTokens())
                .orElse(0);
        double share = (double) (row.memoryTokens() + own) / capacity;
        return share * row.slots + (share > MEMORY_SHARE ? FULL_COST * share : 0);
    }

    private Optional<Choice> forPrompt(long now, CallRow call, GenerationShape shape) {
        List<UpstreamRow> open = upstreams.ofService(call.service).stream()
                .filter(row -> isOpen(now, row, call))
                .toList();
        boolean splits = call.lastEvent.isEmpty() && !call.wholeOnly;
        boolean prefillThere = splits && open.stream().anyMatch(row -> row.role == Role.ROLE_PREFILL);
        boolean placeThere = open.stream().anyMatch(row -> row.role != Role.ROLE_PREFILL && hasPlace(row, call));
        Choice best = null;
        double least = Double.MAX_VALUE;
        String prefillHome = home(open, shape, true);
        String mixedHome = home(open, shape, false);
        for (UpstreamRow row : open) {
            boolean prefill = row.role == Role.ROLE_PREFILL;
            boolean home = row.id.equals(prefill ? prefillHome : mixedHome);
            Choice choice = estimate(row, call, shape, home);
            boolean fits = prefill ? splits && placeThere : fitsBesideStreams(choice, call, prefillThere);
            double cost = fits ? cost(choice, call, shape, home) : Double.MAX_VALUE;
            if (cost < least) {
                best = choice;
                least = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Whether a prompt may be taken in by an engine that also generates; more may wait there if no other can do it. */
    private boolean fitsBesideStreams(Choice choice, CallRow call, boolean prefillThere) {
        UpstreamRow row = choice.upstream;
        // A stream that its caller has half of goes on beside what is there: cutting it would lose what it took so far.
        boolean idle = row.occupancy() == 0 || call.begun;
        double backlog = row.backlogMillis(Integer.MAX_VALUE) + choice.promptMillis;
        return idle || hasPlace(row, call) && (!prefillThere || backlog <= MIXED_BACKLOG);
    }

    /**
     * Whether an engine has a place for one more stream, and memory. Failure this guards against: with all places taken
     * an urgent request puts another back, whose prompt is read again beside the streams, which slows them all, so that
     * places come free ever later. A fleet was seen to stay in that state for ten seconds after the burst that began
     * it.
     */
    private boolean hasPlace(UpstreamRow row, CallRow call) {
        boolean brief = call.intent
                .generation()
                .filter(shape -> shape.outputTokens() <= BRIEF_TOKENS)
                .isPresent();
        double share = brief ? PLACES_SHARE_BRIEF : PLACES_SHARE;
        return row.occupancy() < share * row.slots && memoryLoad(row, call) < FULL_COST * MEMORY_SHARE;
    }

    private Choice estimate(UpstreamRow row, CallRow call, GenerationShape shape, boolean home) {
        int held = row.cache.heldTokens(shape.parts());
        if (home) {
            held = Math.max(held, (int) (HOME_CREDIT * sharedTokens(shape.parts())));
        }
        boolean prefill = row.role == Role.ROLE_PREFILL;
        double factor = prefill ? 1 : MIXED_FACTOR;
        double prompt = factor * PromptWork.millis(held, Math.max(0, shape.promptTokens() - held));
        double wait = row.backlogMillis(Integer.MAX_VALUE);
        double first = wait
                + prompt
                + row.occupancy() * MILLIS_PER_STREAM
                + (row.zone.equals(zone) ? 0 : OTHER_ZONE_MILLIS)
                + (prefill ? HANDOVER_MILLIS : 0);
        return new Choice(row, prefill, prompt, first, wait);
    }

    private static double cost(Choice choice, CallRow call, GenerationShape shape, boolean home) {
        UpstreamRow row = choice.upstream;
        double safe = SAFE_SHARE * call.route.targetMillis();
        double late = Math.clamp((choice.firstMillis - safe) / call.route.targetMillis(), 0, 4) * LATE_COST;
        int shared = sharedTokens(shape.parts());
        int reread = home ? 0 : Math.max(0, shared - row.cache.heldTokens(shape.parts()));
        double moved = choice.prefillOnly ? shape.promptTokens() * MOVE_COST : 0;
        double delay = choice.prefillOnly ? 0 : choice.promptMillis * row.occupancy() * STREAM_DELAY_COST;
        return late + reread * REREAD_COST + moved + delay + choice.firstMillis * MILLI_COST;
    }

    private static int sharedTokens(List<PromptPart> parts) {
        int sum = 0;
        for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
            sum += part.tokens();
        }
        return sum;
    }

    /**
     * The engine to which all entries turn first for a subject: the last shared part, by rendezvous hashing, so that a
     * change of the fleet moves few subjects.
     */
    private static String home(List<UpstreamRow> open, GenerationShape shape, boolean prefill) {
        int parts = shape.parts().size();
        if (parts < 2) {
            return "";
        }
        String subject = shape.parts().get(parts - 2).id();
        String best = "";
        long highest = Long.MIN_VALUE;
        for (UpstreamRow row : open) {
            if ((row.role == Role.ROLE_PREFILL) != prefill) {
                continue;
            }
            long hash = LongHashFunction.xx3().hashChars(subject + row.id);
            if (hash > highest) {
                highest = hash;
                best = row.id;
            }
        }
        return best;
    }

    private static boolean isOpen(long now, UpstreamRow row, CallRow call) {
        return !row.leaving && !row.changing && !row.isAvoided(now) && !call.excluded.contains(row.id);
    }
}
