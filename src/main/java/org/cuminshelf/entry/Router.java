package org.cuminshelf.entry;

import java.util.List;
import java.util.Optional;
import org.cuminshelf.config.ModelConfig;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.Role;

/**
 * Chooses the upstream of a call, by default the one expected to finish the answer first.
 *
 * <p>The time expected at an engine is that to prefill the queued prompts and the uncached part of this prompt, and
 * then to generate the expected output beside the running streams. The load is that of the last report plus what this
 * entry has sent since.
 */
final class Router {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;
    /** Share of the model's token gap up to which streams are added; the reported mean hides slower streams. */
    private static final double MAX_TOKEN_GAP_SHARE = 0.9;

    private static final double OTHER_ZONE_PENALTY_SECONDS = 0.001;
    /** Penalty of an engine that has not loaded the adapter of the generation. */
    private static final double ADAPTER_LOAD_PENALTY_SECONDS = 0.5;
    /** Penalty of an engine whose role does not match the next step of the call. */
    private static final double OTHER_ROLE_PENALTY_SECONDS = 2;
    /** Prompt tokens in one block of the prefix hashes. */
    private static final long PREFIX_BLOCK_TOKENS = 64;
    /** Assumed duration of a call to a service. */
    private static final double SECONDS_PER_SERVICE_CALL = 0.01;

    private final EntryState state;
    /** Position of the round-robin policy. */
    private long nextIndex;

    /**
     * A chosen upstream with its estimates.
     *
     * @param upstream          the upstream
     * @param uncachedTokens    prompt tokens that the engine is expected to prefill
     * @param prefillOnly       whether the stream moves to another engine after the first token
     * @param firstTokenSeconds expected time until the next token
     * @param totalSeconds      expected time until the end of the answer, with penalties
     */
    record Choice(
            UpstreamRow upstream,
            long uncachedTokens,
            boolean prefillOnly,
            double firstTokenSeconds,
            double totalSeconds) {}

    Router(EntryState state) {
        this.state = state;
    }

    /** Returns the best upstream with a free slot for the call; empty if there is none. */
    Optional<Choice> choose(long now, CallRow call) {
        List<UpstreamRow> subset = state.upstreams.subset(call.target());
        if (call.isGeneration() && call.deliveredTokens.isEmpty() && !hasRoomForStream(now, call, subset)) {
            return Optional.empty();
        }
        boolean disaggregated = call.isGeneration() && hasRole(now, subset, Role.ROLE_DECODE);
        return switch (state.settings.routingPolicy()) {
            case RoutingPolicy.EarliestAnswer earliest -> earliestAnswer(now, call, subset, disaggregated);
            case RoutingPolicy.LeastLoaded least -> leastLoaded(now, call, subset, disaggregated);
            case RoutingPolicy.RoundRobin roundRobin -> roundRobin(now, call, subset, disaggregated);
        };
    }

    /**
     * Returns the best upstream to which a call could move from its current one without the KV cache that it has there;
     * empty if there is none. The call is not changed.
     */
    Optional<Choice> chooseForRestart(long now, CallRow call, Address current) {
        boolean added = call.excludedUpstreams.add(current);
        String kvCacheSource = call.kvCacheSource;
        call.kvCacheSource = "";
        Optional<Choice> choice = choose(now, call);
        call.kvCacheSource = kvCacheSource;
        if (added) {
            call.excludedUpstreams.remove(current);
        }
        return choice;
    }

    private Optional<Choice> earliestAnswer(long now, CallRow call, List<UpstreamRow> subset, boolean disaggregated) {
        Choice best = null;
        for (UpstreamRow row : subset) {
            if (!isCandidate(now, call, row)) {
                continue;
            }
            Choice choice = estimate(call, row, disaggregated);
            if (best == null || choice.totalSeconds < best.totalSeconds) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Choice> leastLoaded(long now, CallRow call, List<UpstreamRow> subset, boolean disaggregated) {
        return subset.stream()
                .filter(row -> isCandidate(now, call, row) && matchesRole(call, row))
                .min(java.util.Comparator.comparingInt(row -> row.load.getRunning() + row.load.getQueued()))
                .map(row -> estimate(call, row, disaggregated));
    }

    private Optional<Choice> roundRobin(long now, CallRow call, List<UpstreamRow> subset, boolean disaggregated) {
        for (int i = 0; i < subset.size(); i++) {
            UpstreamRow row = subset.get((int) (nextIndex++ % subset.size()));
            if (isCandidate(now, call, row) && matchesRole(call, row)) {
                return Optional.of(estimate(call, row, disaggregated));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether another stream can run at some engine within the model's token gap. Failure this guards against:
     * under overload every engine's batch fills all slots, every stream exceeds the token gap, and all answers are late
     * although some could have been on time.
     */
    private boolean hasRoomForStream(long now, CallRow call, List<UpstreamRow> subset) {
        double limit = maxTokenGapSeconds(call);
        boolean anyAccepts = false;
        double room = 0;
        for (UpstreamRow row : subset) {
            if (row.acceptsWork(now) && row.load.getRole() != Role.ROLE_PREFILL) {
                anyAccepts = true;
                room += row.maxStreamsAtGap(limit) - row.estimatedAttempts();
            }
        }
        // Streams now in prefill, sent by this entry and by the other entries, need part of that room.
        double prefillingStreams = state.prefillOnlyAttempts
                * state.upstreams.entriesPerUpstream(call.target(), state.config.entryCount());
        return !anyAccepts || room > prefillingStreams;
    }

    private double maxTokenGapSeconds(CallRow call) {
        ModelConfig model = state.config.config().models().get(call.target());
        return model.tokenGapMillis() / MILLIS_PER_SECOND * MAX_TOKEN_GAP_SHARE;
    }

    private Choice estimate(CallRow call, UpstreamRow row, boolean disaggregated) {
        return call.isGeneration() ? estimateEngine(call, row, disaggregated) : estimateService(row);
    }

    private static boolean hasRole(long now, List<UpstreamRow> rows, Role role) {
        return rows.stream().anyMatch(row -> row.load.getRole() == role && row.acceptsWork(now));
    }

    /** Returns whether the engine's role matches the next step of the call, prefill or decode. */
    private static boolean matchesRole(CallRow call, UpstreamRow row) {
        return switch (row.load.getRole()) {
            case ROLE_PREFILL -> call.kvCacheSource.isEmpty();
            case ROLE_DECODE -> !call.kvCacheSource.isEmpty();
            case ROLE_MIXED, UNRECOGNIZED -> true;
        };
    }

    /** Returns whether any upstream serves the call's service or model, busy or not. */
    boolean hasUpstream(CallRow call) {
        return !state.upstreams.subset(call.target()).isEmpty();
    }

    /** Estimates the seconds until a slot is free for the call, from the number of waiting calls and all slots. */
    double secondsUntilFreeSlot(CallRow call) {
        List<UpstreamRow> rows = state.upstreams.subset(call.target());
        double freedPerSecond = 0;
        for (UpstreamRow row : rows) {
            freedPerSecond += Math.max(1, row.load.getSlots()) / expectedSeconds(call);
        }
        return freedPerSecond == 0 ? 1 : (state.waitingCalls.size() + 1) / freedPerSecond;
    }

    private double expectedSeconds(CallRow call) {
        if (!call.isGeneration()) {
            return SECONDS_PER_SERVICE_CALL;
        }
        ModelConfig model = state.config.config().models().get(call.target());
        double tokens = state.outputLengths.expectedTokens(call.request.getOrganisation(), call.generation());
        double gap = model == null ? 0.04 : model.tokenGapMillis() / 1000.0;
        return Math.max(0.01, tokens * gap);
    }

    private boolean isCandidate(long now, CallRow call, UpstreamRow row) {
        boolean full = row.load.getSlots() > 0 && row.estimatedAttempts() >= row.load.getSlots()
                || call.isGeneration() && call.deliveredTokens.isEmpty() && exceedsTokenGap(call, row);
        return row.acceptsWork(now)
                && !full
                && !call.excludedUpstreams.contains(row.address)
                && !state.upstreams.isSilent(now, row);
    }

    private boolean exceedsTokenGap(CallRow call, UpstreamRow row) {
        return row.load.getRole() != Role.ROLE_PREFILL && row.expectedTokenGapSeconds() > maxTokenGapSeconds(call);
    }

    private Choice estimateService(UpstreamRow row) {
        double seconds = (row.estimatedAttempts() + 1) * SECONDS_PER_SERVICE_CALL + zonePenalty(row);
        return new Choice(row, 0, false, 0, seconds);
    }

    private Choice estimateEngine(CallRow call, UpstreamRow row, boolean disaggregated) {
        Generation generation = call.generation();
        ModelConfig model = state.config.config().models().get(call.target());
        boolean prefillOnly = disaggregated && row.load.getRole() == Role.ROLE_PREFILL;
        long uncached = call.kvCacheSource.isEmpty() ? uncachedTokens(call, row) : 0;
        double first = (row.queuedPromptTokens() + uncached)
                / row.prefillTokensPerSecond(model.initialPrefillTokensPerSecond());
        double output = prefillOnly
                ? 1
                : state.outputLengths.expectedTokens(call.request.getOrganisation(), generation)
                        - Math.min(generation.getMaxTokens(), call.deliveredTokens.size());
        double gap = Math.max(
                model.tokenGapMillis() / 1000.0 / 4,
                (row.estimatedAttempts() + 1) / (double) model.initialDecodeTokensPerSecond());
        double total = first + Math.max(1, output) * gap + zonePenalty(row);
        if (!generation.getAdapter().isEmpty() && !row.load.getAdaptersList().contains(generation.getAdapter())) {
            total += ADAPTER_LOAD_PENALTY_SECONDS;
        }
        if (!matchesRole(call, row)) {
            total += OTHER_ROLE_PENALTY_SECONDS;
        }
        return new Choice(row, uncached, prefillOnly, first, total);
    }

    private long uncachedTokens(CallRow call, UpstreamRow row) {
        Generation generation = call.generation();
        long cachedBlocks = 0;
        for (long block : generation.getPrefixList()) {
            if (!row.hasCachedBlock(block)) {
                break;
            }
            cachedBlocks++;
        }
        long cached = Math.min(generation.getPromptTokens(), cachedBlocks * PREFIX_BLOCK_TOKENS);
        return generation.getPromptTokens() - cached + call.deliveredTokens.size();
    }

    private double zonePenalty(UpstreamRow row) {
        return row.member.getZone().equals(state.settings.zone()) ? 0 : OTHER_ZONE_PENALTY_SECONDS;
    }

    /** Converts seconds to nanoseconds; the result is at most one hour. */
    static long nanos(double seconds) {
        return Math.min((long) (seconds * NANOS_PER_SECOND), Durations.nanos(3_600_000));
    }
}
