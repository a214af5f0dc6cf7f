package org.cuminshelf.entry;

import java.util.List;
import java.util.Optional;
import org.cuminshelf.config.ModelConfig;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.Role;

/**
 * Chooses the upstream of a call: the one expected to answer first.
 *
 * <p>For an engine that is the time to take in the prompts waiting there and the part of this prompt it has not cached,
 * and then the time to give the output expected beside the streams running there. The load counted is the last
 * report plus what this entry sent since.
 */
final class Router {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double OTHER_ZONE_SECONDS = 0.001;
    private static final double OTHER_ADAPTER_SECONDS = 0.5;
    private static final double OTHER_ROLE_SECONDS = 2;
    private static final long BLOCK_TOKENS = 64;
    /** Slow start: an upstream met less than this ago is given work as if it were busier. */
    private static final double SECONDS_PER_SERVICE_CALL = 0.01;

    private final EntryTables tables;

    /**
     * What was chosen.
     *
     * @param upstream          the upstream
     * @param uncachedTokens    prompt tokens expected not to be cached there
     * @param firstTokenSeconds time expected until the first token
     * @param totalSeconds      time expected until the end, with penalties
     */
    record Choice(UpstreamRow upstream, long uncachedTokens, double firstTokenSeconds, double totalSeconds) {}

    Router(EntryTables tables) {
        this.tables = tables;
    }

    /** The best upstream with a free slot for the call, if there is one. */
    Optional<Choice> choose(long now, CallRow call) {
        Choice best = null;
        for (UpstreamRow row : tables.upstreams.subset(call.target())) {
            if (!isCandidate(now, call, row)) {
                continue;
            }
            Choice choice = call.isGeneration() ? forEngine(call, row) : forService(row);
            if (best == null || choice.totalSeconds < best.totalSeconds) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Whether there is an upstream that could take the call now or later. */
    boolean hasAny(CallRow call) {
        return !tables.upstreams.subset(call.target()).isEmpty();
    }

    /** Seconds until a slot is likely to be free, by the output of the calls running there. */
    double secondsUntilFree(CallRow call) {
        List<UpstreamRow> rows = tables.upstreams.subset(call.target());
        double freedPerSecond = 0;
        for (UpstreamRow row : rows) {
            freedPerSecond += Math.max(1, row.load.getSlots()) / expectedSeconds(call);
        }
        return freedPerSecond == 0 ? 1 : (tables.waiting.size() + 1) / freedPerSecond;
    }

    private double expectedSeconds(CallRow call) {
        if (!call.isGeneration()) {
            return SECONDS_PER_SERVICE_CALL;
        }
        ModelConfig model = tables.config.config().models().get(call.target());
        double tokens = tables.estimates.expected(call.request.getOrganisation(), call.generation());
        double gap = model == null ? 0.04 : model.tokenGapMillis() / 1000.0;
        return Math.max(0.01, tokens * gap);
    }

    private boolean isCandidate(long now, CallRow call, UpstreamRow row) {
        boolean full = row.load.getSlots() > 0 && row.occupancy() >= row.load.getSlots();
        return row.isOpen(now) && !full && !call.excluded.contains(row.address) && !tables.upstreams.isSilent(now, row);
    }

    private Choice forService(UpstreamRow row) {
        double seconds = (row.occupancy() + 1) * SECONDS_PER_SERVICE_CALL + zonePenalty(row);
        return new Choice(row, 0, 0, seconds);
    }

    private Choice forEngine(CallRow call, UpstreamRow row) {
        Generation generation = call.generation();
        ModelConfig model = tables.config.config().models().get(call.target());
        long uncached = uncached(call, row);
        double first =
                (row.load.getQueuedPromptTokens() + row.pendingPrompt + uncached) / (double) model.prefillSpeed();
        double output = tables.estimates.expected(call.request.getOrganisation(), generation)
                - Math.min(generation.getMaxTokens(), call.delivered.size());
        double gap =
                Math.max(model.tokenGapMillis() / 1000.0 / 4, (row.occupancy() + 1) / (double) model.decodeSpeed());
        double total = first + Math.max(1, output) * gap + zonePenalty(row);
        if (!generation.getAdapter().isEmpty() && !row.load.getAdaptersList().contains(generation.getAdapter())) {
            total += OTHER_ADAPTER_SECONDS;
        }
        total += rolePenalty(row, uncached, output);
        return new Choice(row, uncached, first, total);
    }

    /** A call goes to the engines whose role fits the heavier part of its work, unless those are far busier. */
    private static double rolePenalty(UpstreamRow row, long uncached, double output) {
        Role role = row.load.getRole();
        boolean promptHeavy = uncached > output * 4;
        boolean fits = role == Role.ROLE_MIXED || (role == Role.ROLE_PREFILL) == promptHeavy;
        return fits ? 0 : OTHER_ROLE_SECONDS;
    }

    private long uncached(CallRow call, UpstreamRow row) {
        Generation generation = call.generation();
        long cachedBlocks = 0;
        for (long block : generation.getPrefixList()) {
            if (!row.holds(block)) {
                break;
            }
            cachedBlocks++;
        }
        long cached = Math.min(generation.getPromptTokens(), cachedBlocks * BLOCK_TOKENS);
        return generation.getPromptTokens() - cached + call.delivered.size();
    }

    private double zonePenalty(UpstreamRow row) {
        return row.member.getZone().equals(tables.settings.zone()) ? 0 : OTHER_ZONE_SECONDS;
    }

    /** Nanoseconds in a number of seconds. */
    static long nanos(double seconds) {
        return Math.min((long) (seconds * NANOS_PER_SECOND), Durations.nanos(3_600_000));
    }
}
