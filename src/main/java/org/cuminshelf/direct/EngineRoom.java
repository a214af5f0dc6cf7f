package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.routes.EngineCapacity;
import org.cuminshelf.routes.RoutedService;

/** Whether an engine has a slot and memory for one more stream, by the capacity that the configuration states. */
final class EngineRoom {

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
    /** Events of a short stream: few compared with a usual stream. They take some 0.25 s in the first deployments. */
    private static final int MAX_SHORT_STREAM_EVENTS = 4;
    /** Load added for an engine whose memory is full, in requests. */
    private static final double FULL_MEMORY_PENALTY_REQUESTS = 1_000;

    private final ControlSubscription control;

    EngineRoom(ControlSubscription control) {
        this.control = control;
    }

    /** Returns the capacity of the engines of a service, if the configuration states it. */
    Optional<EngineCapacity> limits(String service) {
        return control.routes().service(service).flatMap(RoutedService::engine);
    }

    int tokensPerEvent(String service) {
        return limits(service).map(EngineCapacity::tokensPerEvent).orElse(1);
    }

    double kvBytesPerToken(DirectCall call) {
        return limits(call.service).map(EngineCapacity::kvBytesPerToken).orElse(0.0);
    }

    private long kvCacheTokens(DirectCall call) {
        return limits(call.service).map(EngineCapacity::kvCacheTokens).orElse(0L);
    }

    /** Returns the tokens of prompts that each engine of a service can retain beside those of running requests. */
    long prefixCacheTokens(DirectCall call) {
        long capacityTokens = kvCacheTokens(call);
        return capacityTokens == 0 ? Long.MAX_VALUE : (long) (PREFIX_CACHE_SHARE * capacityTokens);
    }

    /**
     * Returns the memory use of an engine with a call added, expressed in requests: the used share times the engine's
     * slots, plus a large penalty if the call would not fit.
     */
    double memoryLoad(UpstreamInstance upstream, DirectCall call) {
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

    /**
     * Returns whether an engine has a slot and memory for one more stream; a begun stream may take any slot. Guards
     * against a failure in which all slots are in use and an urgent request preempts another one: the preempted prompt
     * is prefilled again beside the streams, which slows all of them, so that slots are released ever later. A fleet
     * stayed in that state for ten seconds after the burst that caused it.
     */
    boolean hasFreeSlot(UpstreamInstance upstream, DirectCall call) {
        return upstream.totalAttempts() < maxSlotShare(call) * upstream.slots
                && memoryLoad(upstream, call) < FULL_MEMORY_PENALTY_REQUESTS * MAX_MEMORY_SHARE;
    }

    private double maxSlotShare(DirectCall call) {
        if (call.isBegun()) {
            return 1;
        }
        return isShort(call) ? MAX_SLOT_SHARE_SHORT_STREAM : MAX_SLOT_SHARE;
    }

    /** Returns whether a call is expected to have so few events that it hardly waits between them. */
    boolean isShort(DirectCall call) {
        int maxShortTokens = MAX_SHORT_STREAM_EVENTS * tokensPerEvent(call.service);
        return call.intent
                .generation()
                .filter(shape -> shape.outputTokens() <= maxShortTokens)
                .isPresent();
    }
}
