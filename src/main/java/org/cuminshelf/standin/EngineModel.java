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
 * A model engine in virtual time: continuous batching with chunked prefill, a prefix cache of limited size, priorities,
 * streams that resume and cancel, load reports with a lag, and orders that take seconds.
 *
 * <p>It works in iterations. Each takes one chunk of waiting prompt and one step of every running stream, so prefill
 * slows the streams beside it; an engine of role prefill takes large chunks, one of role decode tiny ones while it
 * decodes, a mixed one small ones. A stream that is to be prefilled only ends after its first token as {@code moved};
 * one that brings its KV cache from another engine needs only the time to import it.
 */
public final class EngineModel {

    /** Prompt tokens in one block of the prefix cache. */
    public static final int BLOCK_TOKENS = 64;

    /** Reason of the end of a stream that was prefilled only. */
    public static final String MOVED = "moved";

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int CHUNK_PREFILL = 2_048;
    private static final int CHUNK_MIXED = 192;
    private static final int CHUNK_DECODE = 64;

    private static final class Stream implements Comparable<Stream> {
        private final long id;
        private final int priority;
        private final long order;
        private final long textHash;
        private final int length;
        private final List<Long> prefix;
        private final boolean prefillOnly;
        private long promptLeft;
        private int position;

        private Stream(long id, int priority, long order, Generation generation, long promptLeft) {
            this.id = id;
            this.priority = priority;
            this.order = order;
            this.textHash = StandInText.hash(generation.getPrompt());
            this.length = StandInText.length(textHash, generation.getMaxTokens());
            this.prefix = generation.getPrefixList();
            this.prefillOnly = generation.getPrefillOnly();
            this.promptLeft = promptLeft;
            this.position = generation.getHeldCount();
        }

        @Override
        public int compareTo(Stream other) {
            int byPriority = Integer.compare(other.priority, priority);
            return byPriority != 0 ? byPriority : Long.compare(order, other.order);
        }
    }

    private record TimedReport(long at, LoadReport report) {}

    private final EngineSpeed speed;
    private final boolean checksFence;
    private final List<String> models = new ArrayList<>();
    private final List<String> adapters = new ArrayList<>();
    private final Map<Long, Stream> streams = new TreeMap<>();
    private final TreeSet<Stream> waiting = new TreeSet<>();
    private final Map<Long, Stream> decoding = new TreeMap<>();
    private final Map<Long, Boolean> cache;
    private final Deque<Long> newBlocks = new ArrayDeque<>();
    private final Deque<TimedReport> reports = new ArrayDeque<>();
    private Role role = Role.ROLE_MIXED;
    private Optional<Order> change = Optional.empty();
    private long changeEndsAt = Core.NEVER;
    private long fence;
    private long iterationEndsAt = Core.NEVER;
    private Stream filling;
    private long fillingTokens;
    private long nextOrder;
    private long promptDone;
    private long outputDone;

    private EngineModel(EngineSpeed speed, boolean checksFence, List<String> models) {
        this.speed = speed;
        this.checksFence = checksFence;
        this.models.addAll(models);
        this.cache = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > speed.cacheBlocks();
            }
        };
    }

    /**
     * Makes an idle engine.
     *
     * @param speed       how fast it is
     * @param checksFence whether it refuses an order with a fencing number at or below the last one
     * @param models      the models it has loaded
     * @return the engine
     */
    public static EngineModel idle(EngineSpeed speed, boolean checksFence, List<String> models) {
        return new EngineModel(speed, checksFence, models);
    }

    /**
     * Makes an idle engine in a role.
     *
     * @param speed       how fast it is
     * @param checksFence whether it refuses an order with a fencing number at or below the last one
     * @param models      the models it has loaded
     * @param role        the role it starts in
     * @return the engine
     */
    public static EngineModel idle(EngineSpeed speed, boolean checksFence, List<String> models, Role role) {
        EngineModel engine = new EngineModel(speed, checksFence, models);
        engine.role = role;
        return engine;
    }

    /**
     * Starts a stream.
     *
     * @param now        the time in nanoseconds
     * @param id         names the stream
     * @param generation what to generate; it goes on after the tokens held
     * @param priority   0 to 9
     */
    public void start(long now, long id, Generation generation, int priority) {
        long cachedBlocks = 0;
        for (long block : generation.getPrefixList()) {
            if (!cache.containsKey(block)) {
                break;
            }
            cachedBlocks++;
        }
        long prompt = generation.getPromptTokens() + generation.getHeldCount();
        long uncached = Math.max(1, prompt - cachedBlocks * BLOCK_TOKENS);
        long left = generation.getKvFrom().isEmpty() ? uncached : importCost(uncached);
        Stream stream = new Stream(id, priority, nextOrder++, generation, left);
        streams.put(id, stream);
        waiting.add(stream);
        beginIteration(now);
    }

    /** Importing a KV cache takes as long as taking in so many prompt tokens. */
    private long importCost(long tokens) {
        return Math.max(1, tokens * speed.prefillPerSecond() / speed.kvPerSecond());
    }

    /**
     * Ends a stream without another event.
     *
     * @param id the stream
     */
    public void cancel(long id) {
        Stream stream = streams.remove(id);
        if (stream != null) {
            waiting.remove(stream);
            decoding.remove(id);
        }
    }

    /**
     * Takes an order. A role change while streams run cuts them: keeping them is the sidecar's task.
     *
     * @param now   the time in nanoseconds
     * @param order the order
     * @return why it was refused, or {@link Cause#CAUSE_NONE}
     */
    public Cause order(long now, Order order) {
        if (checksFence && order.getNumber() <= fence) {
            return Cause.STALE_ORDER;
        }
        if (change.isPresent()) {
            return Cause.ORDER_PENDING;
        }
        fence = order.getNumber();
        change = Optional.of(order);
        boolean isRole = order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE;
        changeEndsAt = now + (isRole ? speed.changeNanos() : speed.loadNanos());
        if (isRole) {
            streams.clear();
            waiting.clear();
            decoding.clear();
            iterationEndsAt = Core.NEVER;
        }
        return Cause.CAUSE_NONE;
    }

    /**
     * Tells when something happens next.
     *
     * @return the time in nanoseconds, or {@link Core#NEVER}
     */
    public long nextDue() {
        return Math.min(iterationEndsAt, changeEndsAt);
    }

    /**
     * Does everything that is due.
     *
     * @param now    the time in nanoseconds
     * @param events receives what happens
     */
    public void advance(long now, EngineEvents events) {
        if (now >= changeEndsAt) {
            long endedAt = changeEndsAt;
            finishChange();
            beginIteration(endedAt);
        }
        while (iterationEndsAt <= now) {
            long end = iterationEndsAt;
            finishIteration(events);
            iterationEndsAt = Core.NEVER;
            beginIteration(end);
        }
    }

    /**
     * The state as it is published: the load with its lag, the order in hand without.
     *
     * @param now the time in nanoseconds
     * @return the state
     */
    public UpstreamState state(long now) {
        reports.add(new TimedReport(now, load()));
        while (reports.size() > 1 && secondReport().at <= now - speed.reportLagNanos()) {
            reports.poll();
        }
        LoadReport.Builder load = reports.peek().report().toBuilder()
                .setRole(role)
                .clearModels()
                .addAllModels(models)
                .clearAdapters()
                .addAllAdapters(adapters);
        while (!newBlocks.isEmpty() && load.getCachedCount() < 256) {
            load.addCached(newBlocks.poll());
        }
        return UpstreamState.newBuilder()
                .setReachable(true)
                .setLoad(load)
                .setFence(checksFence ? fence : 0)
                .setChanging(change.isPresent())
                .build();
    }

    /**
     * Counts the streams.
     *
     * @return streams waiting or running
     */
    public int streamCount() {
        return streams.size();
    }

    /**
     * The role in force.
     *
     * @return the role
     */
    public Role role() {
        return role;
    }

    private TimedReport secondReport() {
        var all = reports.iterator();
        all.next();
        return all.next();
    }

    private LoadReport load() {
        long queued = 0;
        for (Stream stream : waiting) {
            queued += stream.promptLeft;
        }
        return LoadReport.newBuilder()
                .setRunning(decoding.size())
                .setQueued(waiting.size())
                .setQueuedPromptTokens(queued)
                .setActiveOutputTokens(decoding.size())
                .setSlots(speed.slots())
                .setPromptTokensDone(promptDone)
                .setOutputTokensDone(outputDone)
                .build();
    }

    private void finishChange() {
        OrderBody body = change.orElseThrow().getBody();
        change = Optional.empty();
        changeEndsAt = Core.NEVER;
        switch (body.getKindCase()) {
            case CHANGE_ROLE -> role = body.getChangeRole();
            case LOAD_MODEL -> addOnce(models, body.getLoadModel());
            case LOAD_ADAPTER -> addOnce(adapters, body.getLoadAdapter());
            case UNLOAD_ADAPTER -> adapters.remove(body.getUnloadAdapter());
            case DRAIN, KIND_NOT_SET -> {
                // Nothing changes in the engine.
            }
        }
    }

    private static void addOnce(List<String> names, String name) {
        if (!names.contains(name)) {
            names.add(name);
        }
    }

    private void beginIteration(long now) {
        boolean roleChanging = change.filter(order -> order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE)
                .isPresent();
        if (iterationEndsAt != Core.NEVER || roleChanging || waiting.isEmpty() && decoding.isEmpty()) {
            return;
        }
        filling = decoding.size() < speed.slots() && !waiting.isEmpty() ? waiting.first() : null;
        fillingTokens = filling == null ? 0 : Math.min(filling.promptLeft, chunk());
        double seconds = fillingTokens / (double) speed.prefillPerSecond();
        long step = decoding.isEmpty()
                ? 0
                : Math.max(speed.stepNanos(), (long) (decoding.size() * NANOS_PER_SECOND / speed.decodePerSecond()));
        iterationEndsAt = now + Math.max(1, (long) (seconds * NANOS_PER_SECOND) + step);
    }

    private int chunk() {
        if (decoding.isEmpty()) {
            return CHUNK_PREFILL;
        }
        return switch (role) {
            case ROLE_PREFILL -> CHUNK_PREFILL;
            case ROLE_DECODE -> CHUNK_DECODE;
            case ROLE_MIXED, UNRECOGNIZED -> CHUNK_MIXED;
        };
    }

    private void finishIteration(EngineEvents events) {
        for (Stream stream : List.copyOf(decoding.values())) {
            emit(stream, events);
        }
        if (filling != null && streams.containsKey(filling.id)) {
            filling.promptLeft -= fillingTokens;
            promptDone += fillingTokens;
            if (filling.promptLeft <= 0) {
                waiting.remove(filling);
                decoding.put(filling.id, filling);
                remember(filling.prefix);
                emit(filling, events);
            }
        }
    }

    private void emit(Stream stream, EngineEvents events) {
        if (stream.position < stream.length) {
            events.tokens(stream.id, List.of(StandInText.token(stream.textHash, stream.position)));
            stream.position++;
            outputDone++;
        }
        boolean whole = stream.position >= stream.length;
        if (whole || stream.prefillOnly) {
            streams.remove(stream.id);
            decoding.remove(stream.id);
            events.finished(stream.id, whole ? "stop" : MOVED);
        }
    }

    private void remember(List<Long> blocks) {
        for (Long block : blocks) {
            if (cache.put(block, Boolean.TRUE) == null) {
                newBlocks.add(block);
            }
        }
        while (newBlocks.size() > speed.cacheBlocks()) {
            newBlocks.poll();
        }
    }
}
