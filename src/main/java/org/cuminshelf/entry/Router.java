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
    private static final double MILLIS_PER_SECOND = 1e3;
    /** Share of the model's gap up to which new streams are taken in; the measured mean hides slower ones. */
    private static final double GAP_MARGIN = 0.9;

    private static final double OTHER_ZONE_SECONDS = 0.001;
    private static final double OTHER_ADAPTER_SECONDS = 0.5;
    private static final double OTHER_ROLE_SECONDS = 2;
    private static final long BLOCK_TOKENS = 64;
    /** Slow start: an upstream met less than this ago is given work as if it were busier. */
    private static final double SECONDS_PER_SERVICE_CALL = 0.01;

    private final EntryState tables;
    private long turn;

    /**
     * What was chosen.
     *
     * @param upstream          the upstream
     * @param uncachedTokens    prompt tokens expected to be taken in there
     * @param prefillOnly       whether the engine is to hand the stream over after the first token
     * @param firstTokenSeconds time expected until the next token
     * @param totalSeconds      time expected until the end, with penalties
     */
    record Choice(
            UpstreamRow upstream,
            long uncachedTokens,
            boolean prefillOnly,
            double firstTokenSeconds,
            double totalSeconds) {}

    Router(EntryState tables) {
        this.tables = tables;
    }

    /** The best upstream with a free slot for the call, if there is one. */
    Optional<Choice> choose(long now, CallRow call) {
        List<UpstreamRow> subset = tables.upstreams.subset(call.target());
        if (call.isGeneration() && call.delivered.isEmpty() && !hasRoomForStream(now, call, subset)) {
            return Optional.empty();
        }
        boolean handsOver = call.isGeneration() && hasRole(now, subset, Role.ROLE_DECODE);
        return switch (tables.settings.routing()) {
            case RoutingPolicy.EarliestAnswer earliest -> best(now, call, subset, handsOver);
            case RoutingPolicy.LeastLoaded least -> leastLoaded(now, call, subset, handsOver);
            case RoutingPolicy.RoundRobin turn -> inTurn(now, call, subset, handsOver);
        };
    }

    private Optional<Choice> best(long now, CallRow call, List<UpstreamRow> subset, boolean handsOver) {
        Choice best = null;
        for (UpstreamRow row : subset) {
            if (!isCandidate(now, call, row)) {
                continue;
            }
            Choice choice = estimate(call, row, handsOver);
            if (best == null || choice.totalSeconds < best.totalSeconds) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Choice> leastLoaded(long now, CallRow call, List<UpstreamRow> subset, boolean handsOver) {
        return subset.stream()
                .filter(row -> isCandidate(now, call, row) && fits(call, row))
                .min(java.util.Comparator.comparingInt(row -> row.load.getRunning() + row.load.getQueued()))
                .map(row -> estimate(call, row, handsOver));
    }

    private Optional<Choice> inTurn(long now, CallRow call, List<UpstreamRow> subset, boolean handsOver) {
        for (int i = 0; i < subset.size(); i++) {
            UpstreamRow row = subset.get((int) (turn++ % subset.size()));
            if (isCandidate(now, call, row) && fits(call, row)) {
                return Optional.of(estimate(call, row, handsOver));
            }
        }
        return Optional.empty();
    }

    /**
     * Whether one stream more can run somewhere at the model's gap between tokens. Failure this guards against: under
     * overload every engine's batch fills up to its slots, every stream there slows below the gap, and all answers come
     * late where some could have come in time.
     */
    private boolean hasRoomForStream(long now, CallRow call, List<UpstreamRow> subset) {
        double limit = gapLimit(call);
        boolean anyOpen = false;
        double room = 0;
        for (UpstreamRow row : subset) {
            if (row.isOpen(now) && row.load.getRole() != Role.ROLE_PREFILL) {
                anyOpen = true;
                room += row.streamsAt(limit) - row.occupancy();
            }
        }
        // Streams that are being prefilled now, here and at the other entries, will want that room too.
        double onTheirWay = tables.prefilling * tables.upstreams.entriesSharing(call.target(), tables.config.entries());
        return !anyOpen || room > onTheirWay;
    }

    private double gapLimit(CallRow call) {
        ModelConfig model = tables.config.config().models().get(call.target());
        return model.tokenGapMillis() / MILLIS_PER_SECOND * GAP_MARGIN;
    }

    private Choice estimate(CallRow call, UpstreamRow row, boolean handsOver) {
        return call.isGeneration() ? forEngine(call, row, handsOver) : forService(row);
    }

    private static boolean hasRole(long now, List<UpstreamRow> rows, Role role) {
        return rows.stream().anyMatch(row -> row.load.getRole() == role && row.isOpen(now));
    }

    /** Whether the engine's role is meant for what the call needs next. */
    private static boolean fits(CallRow call, UpstreamRow row) {
        return switch (row.load.getRole()) {
            case ROLE_PREFILL -> call.kvFrom.isEmpty();
            case ROLE_DECODE -> !call.kvFrom.isEmpty();
            case ROLE_MIXED, UNRECOGNIZED -> true;
        };
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
        boolean full = row.load.getSlots() > 0 && row.occupancy() >= row.load.getSlots()
                || call.isGeneration() && call.delivered.isEmpty() && isSlow(call, row);
        return row.isOpen(now) && !full && !call.excluded.contains(row.address) && !tables.upstreams.isSilent(now, row);
    }

    private boolean isSlow(CallRow call, UpstreamRow row) {
        return row.load.getRole() != Role.ROLE_PREFILL && row.tokenGapSeconds() > gapLimit(call);
    }

    private Choice forService(UpstreamRow row) {
        double seconds = (row.occupancy() + 1) * SECONDS_PER_SERVICE_CALL + zonePenalty(row);
        return new Choice(row, 0, false, 0, seconds);
    }

    private Choice forEngine(CallRow call, UpstreamRow row, boolean handsOver) {
        Generation generation = call.generation();
        ModelConfig model = tables.config.config().models().get(call.target());
        boolean prefillOnly = handsOver && row.load.getRole() == Role.ROLE_PREFILL;
        long uncached = call.kvFrom.isEmpty() ? uncached(call, row) : 0;
        double first = (row.promptWaiting() + uncached) / row.prefillPerSecond(model.prefillSpeed());
        double output = prefillOnly
                ? 1
                : tables.estimates.expected(call.request.getOrganisation(), generation)
                        - Math.min(generation.getMaxTokens(), call.delivered.size());
        double gap =
                Math.max(model.tokenGapMillis() / 1000.0 / 4, (row.occupancy() + 1) / (double) model.decodeSpeed());
        double total = first + Math.max(1, output) * gap + zonePenalty(row);
        if (!generation.getAdapter().isEmpty() && !row.load.getAdaptersList().contains(generation.getAdapter())) {
            total += OTHER_ADAPTER_SECONDS;
        }
        if (!fits(call, row)) {
            total += OTHER_ROLE_SECONDS;
        }
        return new Choice(row, uncached, prefillOnly, first, total);
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
