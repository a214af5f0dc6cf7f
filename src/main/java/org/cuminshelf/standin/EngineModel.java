package org.cuminshelf.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminshelf.core.Core;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamState;

/**
 * Simulates a model engine in virtual time: continuous batching with chunked prefill, an LRU prefix cache, priorities,
 * resumable and cancellable streams, delayed load reports, and orders that take seconds to complete.
 *
 * <p>The engine works in iterations. Each iteration prefills one chunk of a waiting prompt and runs one decode step for
 * every running stream, so prefill slows down the decoding streams. While streams are decoding, the chunk size depends
 * on the role: large for prefill, small for mixed, smallest for decode. A prefill-only stream ends after its first
 * token with finish reason {@link #MOVED}. A stream whose KV cache comes from another engine takes only the
 * import time.
 *
 * <p>All times are in nanoseconds. The class is not thread-safe.
 */
public final class EngineModel {

    /** Number of prompt tokens in one block of the prefix cache. */
    public static final int BLOCK_TOKENS = 64;

    /** Finish reason of a prefill-only stream. */
    public static final String MOVED = "moved";

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PREFILL_CHUNK_TOKENS = 2_048;
    private static final int MIXED_CHUNK_TOKENS = 192;
    private static final int DECODE_CHUNK_TOKENS = 64;

    private static final class Stream implements Comparable<Stream> {
        private final long id;
        private final int priority;
        private final long arrivalNumber;
        private final long promptHash;
        private final int outputLength;
        private final List<Long> prefixBlocks;
        private final boolean prefillOnly;
        private long remainingPromptTokens;
        private int outputPosition;

        private Stream(long id, int priority, long arrivalNumber, Generation generation, long remainingPromptTokens) {
            this.id = id;
            this.priority = priority;
            this.arrivalNumber = arrivalNumber;
            this.promptHash = StandInText.hashPrompt(generation.getPrompt());
            this.outputLength = StandInText.answerLength(promptHash, generation.getMaxTokens());
            this.prefixBlocks = generation.getPrefixList();
            this.prefillOnly = generation.getPrefillOnly();
            this.remainingPromptTokens = remainingPromptTokens;
            this.outputPosition = generation.getHeldCount();
        }

        @Override
        public int compareTo(Stream other) {
            int byPriority = Integer.compare(other.priority, priority);
            return byPriority != 0 ? byPriority : Long.compare(arrivalNumber, other.arrivalNumber);
        }
    }

    private record TimedReport(long takenAt, LoadReport report) {}

    private final EngineSpeed speed;
    private final boolean checksFence;
    private final List<String> models = new ArrayList<>();
    private final List<String> adapters = new ArrayList<>();
    private final Map<Long, Stream> streams = new TreeMap<>();
    private final TreeSet<Stream> waiting = new TreeSet<>();
    private final Map<Long, Stream> decoding = new TreeMap<>();
    private final Map<Long, Boolean> prefixCache;
    private final Deque<Long> unreportedBlocks = new ArrayDeque<>();
    private final Deque<TimedReport> reports = new ArrayDeque<>();
    private Role role = Role.ROLE_MIXED;
    private Optional<Order> pendingOrder = Optional.empty();
    private long orderCompletesAt = Core.NEVER;
    private long lastOrderNumber;
    private long iterationEndsAt = Core.NEVER;
    private Stream prefilling;
    private long prefillChunkTokens;
    private long nextArrivalNumber;
    private long promptTokensDone;
    private long outputTokensDone;

    private EngineModel(EngineSpeed speed, boolean checksFence, List<String> models) {
        this.speed = speed;
        this.checksFence = checksFence;
        this.models.addAll(models);
        this.prefixCache = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > speed.prefixCacheBlocks();
            }
        };
    }

    /**
     * Creates an idle engine in the mixed role.
     *
     * @param speed       the performance parameters
     * @param checksFence whether an order is refused if its number is not above that of the last accepted order
     * @param models      the loaded models
     * @return the engine
     */
    public static EngineModel idle(EngineSpeed speed, boolean checksFence, List<String> models) {
        return new EngineModel(speed, checksFence, models);
    }

    /**
     * Creates an idle engine in the given role.
     *
     * @param speed       the performance parameters
     * @param checksFence whether an order is refused if its number is not above that of the last accepted order
     * @param models      the loaded models
     * @param role        the initial role
     * @return the engine
     */
    public static EngineModel idle(EngineSpeed speed, boolean checksFence, List<String> models, Role role) {
        EngineModel engine = new EngineModel(speed, checksFence, models);
        engine.role = role;
        return engine;
    }

    /**
     * Queues a stream.
     *
     * @param now        the current time in nanoseconds
     * @param id         the stream id
     * @param generation the request; generation continues after the tokens it already holds
     * @param priority   the priority from 0 to 9; streams with a higher value are prefilled first
     */
    public void start(long now, long id, Generation generation, int priority) {
        long cachedBlocks = 0;
        for (long block : generation.getPrefixList()) {
            if (!prefixCache.containsKey(block)) {
                break;
            }
            cachedBlocks++;
        }
        long prompt = generation.getPromptTokens() + generation.getHeldCount();
        long uncached = Math.max(1, prompt - cachedBlocks * BLOCK_TOKENS);
        long remainingPromptTokens = generation.getKvFrom().isEmpty() ? uncached : kvImportPromptTokens(uncached);
        Stream stream = new Stream(id, priority, nextArrivalNumber++, generation, remainingPromptTokens);
        streams.put(id, stream);
        waiting.add(stream);
        beginIteration(now);
    }

    /** Returns the number of prompt tokens whose prefill takes as long as importing the KV cache of {@code tokens}. */
    private long kvImportPromptTokens(long tokens) {
        return Math.max(1, tokens * speed.prefillTokensPerSecond() / speed.kvImportTokensPerSecond());
    }

    /**
     * Cancels a stream without emitting an event. An unknown id is ignored.
     *
     * @param id the stream id
     */
    public void cancel(long id) {
        Stream stream = streams.remove(id);
        if (stream != null) {
            waiting.remove(stream);
            decoding.remove(id);
        }
    }

    /**
     * Starts executing an order. A role change drops all streams without an event; the sidecar is responsible for
     * preserving them.
     *
     * @param now   the current time in nanoseconds
     * @param order the order
     * @return {@link Cause#CAUSE_NONE} if the order was accepted, {@link Cause#STALE_ORDER} if its number is too low,
     *     {@link Cause#ORDER_PENDING} if another order is in progress
     */
    public Cause order(long now, Order order) {
        if (checksFence && order.getNumber() <= lastOrderNumber) {
            return Cause.STALE_ORDER;
        }
        if (pendingOrder.isPresent()) {
            return Cause.ORDER_PENDING;
        }
        lastOrderNumber = order.getNumber();
        pendingOrder = Optional.of(order);
        boolean changesRole = order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE;
        orderCompletesAt = now + (changesRole ? speed.roleChangeNanos() : speed.loadNanos());
        if (changesRole) {
            streams.clear();
            waiting.clear();
            decoding.clear();
            iterationEndsAt = Core.NEVER;
        }
        return Cause.CAUSE_NONE;
    }

    /**
     * Returns the time at which {@link #advance} has to be called next.
     *
     * @return the time in nanoseconds, or {@link Core#NEVER} if the engine is idle
     */
    public long nextDue() {
        return Math.min(iterationEndsAt, orderCompletesAt);
    }

    /**
     * Processes every iteration and order that has completed by the given time.
     *
     * @param now    the current time in nanoseconds
     * @param events the listener for tokens and completed streams
     */
    public void advance(long now, EngineEvents events) {
        if (now >= orderCompletesAt) {
            long completedAt = orderCompletesAt;
            completeOrder();
            beginIteration(completedAt);
        }
        while (iterationEndsAt <= now) {
            long end = iterationEndsAt;
            finishIteration(events);
            iterationEndsAt = Core.NEVER;
            beginIteration(end);
        }
    }

    /**
     * Returns the state as the engine publishes it. The load is delayed by the report lag; role, models, adapters and
     * the order in progress are current. Each newly cached block is reported at most once.
     *
     * @param now the current time in nanoseconds
     * @return the published state
     */
    public UpstreamState state(long now) {
        reports.add(new TimedReport(now, load()));
        while (reports.size() > 1 && secondOldestReport().takenAt <= now - speed.reportLagNanos()) {
            reports.poll();
        }
        LoadReport.Builder load = reports.peek().report().toBuilder()
                .setRole(role)
                .clearModels()
                .addAllModels(models)
                .clearAdapters()
                .addAllAdapters(adapters);
        while (!unreportedBlocks.isEmpty() && load.getCachedCount() < 256) {
            load.addCached(unreportedBlocks.poll());
        }
        return UpstreamState.newBuilder()
                .setReachable(true)
                .setLoad(load)
                .setFence(checksFence ? lastOrderNumber : 0)
                .setChanging(pendingOrder.isPresent())
                .build();
    }

    /**
     * Returns the number of streams.
     *
     * @return the number of waiting and running streams
     */
    public int streamCount() {
        return streams.size();
    }

    /**
     * Returns the current role.
     *
     * @return the role
     */
    public Role role() {
        return role;
    }

    private TimedReport secondOldestReport() {
        var all = reports.iterator();
        all.next();
        return all.next();
    }

    private LoadReport load() {
        long queued = 0;
        for (Stream stream : waiting) {
            queued += stream.remainingPromptTokens;
        }
        return LoadReport.newBuilder()
                .setRunning(decoding.size())
                .setQueued(waiting.size())
                .setQueuedPromptTokens(queued)
                .setActiveOutputTokens(decoding.size())
                .setSlots(speed.slots())
                .setPromptTokensDone(promptTokensDone)
                .setOutputTokensDone(outputTokensDone)
                .build();
    }

    private void completeOrder() {
        OrderBody body = pendingOrder.orElseThrow().getBody();
        pendingOrder = Optional.empty();
        orderCompletesAt = Core.NEVER;
        switch (body.getKindCase()) {
            case CHANGE_ROLE -> role = body.getChangeRole();
            case LOAD_MODEL -> addIfAbsent(models, body.getLoadModel());
            case LOAD_ADAPTER -> addIfAbsent(adapters, body.getLoadAdapter());
            case UNLOAD_ADAPTER -> adapters.remove(body.getUnloadAdapter());
            case DRAIN, KIND_NOT_SET -> {
                // These orders do not change the engine.
            }
        }
    }

    private static void addIfAbsent(List<String> names, String name) {
        if (!names.contains(name)) {
            names.add(name);
        }
    }

    private void beginIteration(long now) {
        boolean roleChanging = pendingOrder
                .filter(order -> order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE)
                .isPresent();
        if (iterationEndsAt != Core.NEVER || roleChanging || waiting.isEmpty() && decoding.isEmpty()) {
            return;
        }
        prefilling = decoding.size() < speed.slots() && !waiting.isEmpty() ? waiting.first() : null;
        prefillChunkTokens = prefilling == null ? 0 : Math.min(prefilling.remainingPromptTokens, maxChunkTokens());
        double seconds = prefillChunkTokens / (double) speed.prefillTokensPerSecond();
        long step = decoding.isEmpty()
                ? 0
                : Math.max(speed.decodeStepNanos(), (long)
                        (decoding.size() * NANOS_PER_SECOND / speed.decodeTokensPerSecond()));
        iterationEndsAt = now + Math.max(1, (long) (seconds * NANOS_PER_SECOND) + step);
    }

    private int maxChunkTokens() {
        if (decoding.isEmpty()) {
            return PREFILL_CHUNK_TOKENS;
        }
        return switch (role) {
            case ROLE_PREFILL -> PREFILL_CHUNK_TOKENS;
            case ROLE_DECODE -> DECODE_CHUNK_TOKENS;
            case ROLE_MIXED, UNRECOGNIZED -> MIXED_CHUNK_TOKENS;
        };
    }

    private void finishIteration(EngineEvents events) {
        for (Stream stream : List.copyOf(decoding.values())) {
            emitToken(stream, events);
        }
        if (prefilling != null && streams.containsKey(prefilling.id)) {
            prefilling.remainingPromptTokens -= prefillChunkTokens;
            promptTokensDone += prefillChunkTokens;
            if (prefilling.remainingPromptTokens <= 0) {
                waiting.remove(prefilling);
                decoding.put(prefilling.id, prefilling);
                cachePrefix(prefilling.prefixBlocks);
                emitToken(prefilling, events);
            }
        }
    }

    private void emitToken(Stream stream, EngineEvents events) {
        if (stream.outputPosition < stream.outputLength) {
            events.tokens(stream.id, List.of(StandInText.answerToken(stream.promptHash, stream.outputPosition)));
            stream.outputPosition++;
            outputTokensDone++;
        }
        boolean complete = stream.outputPosition >= stream.outputLength;
        if (complete || stream.prefillOnly) {
            streams.remove(stream.id);
            decoding.remove(stream.id);
            events.finished(stream.id, complete ? "stop" : MOVED);
        }
    }

    private void cachePrefix(List<Long> blocks) {
        for (Long block : blocks) {
            if (prefixCache.put(block, Boolean.TRUE) == null) {
                unreportedBlocks.add(block);
            }
        }
        while (unreportedBlocks.size() > speed.prefixCacheBlocks()) {
            unreportedBlocks.poll();
        }
    }
}
