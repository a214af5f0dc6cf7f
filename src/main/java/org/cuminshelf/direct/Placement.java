package org.cuminshelf.direct;

import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.message.Role;

/**
 * Chooses the upstream of a request.
 *
 * <p>Plain services: the one with the fewest requests for each of its slots, as all entries report them. Generations:
 * the way that gives the first token soonest. Prompts are what takes time: an engine in the prefill role takes them in
 * at full speed and hands its KV cache on; one in another role takes them in itself, at half the speed.
 */
final class Placement {

    /**
     * A choice.
     *
     * @param upstream       where the request goes
     * @param prefillOnly    whether only its prompt is taken in there
     * @param uncachedTokens prompt tokens that are probably not in the cache there
     * @param firstTokenNanos expected time to the first token
     */
    record Choice(UpstreamRow upstream, boolean prefillOnly, int uncachedTokens, double firstTokenNanos) {}

    /** Prompt tokens that an engine in the prefill role takes in each millisecond, until measured. */
    private static final double PREFILL_TOKENS_PER_MILLI = 80;
    /** An engine in another role takes prompts in between tokens of streams, at about half of that. */
    private static final double DECODE_TOKENS_PER_MILLI = 40;
    /** One more hop and the move of the KV cache: some 10 ms for a long prompt over links of the day. */
    private static final double HANDOVER_MILLIS = 18;
    /** Milliseconds that each stream already running on an engine adds to the next one's first token. */
    private static final double MILLIS_PER_STREAM = 0.3;
    /** Extra milliseconds for the way to another availability zone. */
    private static final double OTHER_ZONE_MILLIS = 1;
    /**
     * Part of a shared prompt that is taken for cached at the engine to which all entries turn first for it, though
     * this entry did not send it there itself. Makes the entries agree on one engine for each subject.
     */
    private static final double HOME_CREDIT = 0.6;

    private static final double NANOS_PER_MILLI = 1e6;

    private final UpstreamTable upstreams;
    private final String zone;

    Placement(UpstreamTable upstreams, String zone) {
        this.upstreams = upstreams;
        this.zone = zone;
    }

    /** Chooses for a request, or finds nothing that takes it. */
    Optional<Choice> choose(long now, CallRow call) {
        return call.intent.generation().isPresent() && call.isStream()
                ? forGeneration(now, call, call.intent.generation().get())
                : forService(now, call);
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
        return Optional.ofNullable(best).map(row -> new Choice(row, false, 0, 0));
    }

    private static double spread(UpstreamRow row, long number) {
        return (LongHashFunction.xx3(number).hashChars(row.id) >>> 40) / (double) (1 << 24);
    }

    private Optional<Choice> forGeneration(long now, CallRow call, GenerationShape shape) {
        Choice best = null;
        String home = home(now, call, shape);
        for (UpstreamRow row : upstreams.ofService(call.service)) {
            boolean mayPrefill = call.cache.isEmpty() && call.lastEvent.isEmpty();
            boolean prefill = row.role == Role.ROLE_PREFILL;
            if (!isOpen(now, row, call) || prefill && !mayPrefill) {
                continue;
            }
            Choice choice = estimate(row, call, shape, prefill, home);
            if (best == null || choice.firstTokenNanos < best.firstTokenNanos) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    private Choice estimate(UpstreamRow row, CallRow call, GenerationShape shape, boolean prefill, String home) {
        int held = row.cache.heldTokens(shape.parts());
        if (row.id.equals(home)) {
            held = Math.max(held, (int) (HOME_CREDIT * sharedTokens(shape.parts())));
        }
        int uncached = call.cache.isPresent() ? 0 : Math.max(0, shape.promptTokens() - held);
        double speed = prefill ? PREFILL_TOKENS_PER_MILLI : DECODE_TOKENS_PER_MILLI;
        double millis = (row.promptBacklog() + uncached) / speed
                + row.occupancy() * MILLIS_PER_STREAM
                + (row.zone.equals(zone) ? 0 : OTHER_ZONE_MILLIS)
                + (prefill ? HANDOVER_MILLIS : 0);
        return new Choice(row, prefill, uncached, millis * NANOS_PER_MILLI);
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
    private String home(long now, CallRow call, GenerationShape shape) {
        int parts = shape.parts().size();
        if (parts < 2) {
            return "";
        }
        String subject = shape.parts().get(parts - 2).id();
        String best = "";
        long highest = Long.MIN_VALUE;
        for (UpstreamRow row : upstreams.ofService(call.service)) {
            if (row.role != Role.ROLE_PREFILL || !isOpen(now, row, call)) {
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
        return !row.leaving && !row.isAvoided(now) && !call.excluded.contains(row.id);
    }
}
