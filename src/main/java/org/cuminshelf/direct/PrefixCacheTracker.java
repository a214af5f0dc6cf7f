package org.cuminshelf.direct;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Tracks the prompt segments that an engine's prefix cache probably holds: those that entries sent there last, evicted
 * in least recently used order.
 *
 * <p>A segment counts as cached only until later segments have filled the engine's memory. Without that bound segments
 * counted as cached for as long as the engine lived, although under load it evicts them after some ten seconds, and
 * prompts took half as long again as expected.
 *
 * <p>A segment that is still being prefilled counts as cached for the next prompt on the same engine, which prefills in
 * order. Another engine cannot fetch it yet: prompts that named such a source were prefilled completely, in 0.7 s where
 * 0.1 s was expected.
 */
final class PrefixCacheTracker {

    /** Maximum number of segments tracked for one engine, which bounds them if its memory size is unknown. */
    private static final int MAX_SEGMENTS = 4_096;

    /**
     * A segment.
     *
     * @param tokens  its length in tokens
     * @param readyAt when its prefill ends, in nanoseconds
     */
    private record CachedSegment(int tokens, long readyAt) {}

    private final LinkedHashMap<String, CachedSegment> segments = new LinkedHashMap<>(16, 0.75f, true);
    private long maxTokens = Long.MAX_VALUE;
    private long tokens;

    /** Sets the number of tokens that the engine's prefix cache can hold. */
    void setCapacityTokens(long capacityTokens) {
        maxTokens = capacityTokens;
    }

    /**
     * Records that a prompt was sent to the engine.
     *
     * @param prompt  its segments in order
     * @param readyAt when it will probably be prefilled, in nanoseconds
     */
    void recordPrompt(List<PromptSegment> prompt, long readyAt) {
        for (PromptSegment segment : prompt) {
            CachedSegment previous = segments.get(segment.id());
            long firstReadyAt = previous == null ? readyAt : Math.min(previous.readyAt, readyAt);
            segments.put(segment.id(), new CachedSegment(segment.tokens(), firstReadyAt));
            tokens += segment.tokens() - (previous == null ? 0 : previous.tokens);
        }
        Iterator<CachedSegment> eldest = segments.values().iterator();
        while (eldest.hasNext() && (tokens > maxTokens || segments.size() > MAX_SEGMENTS)) {
            tokens -= eldest.next().tokens;
            eldest.remove();
        }
    }

    /** Returns the tokens at the beginning of a prompt that the engine will have cached when it prefills the prompt. */
    int cachedPrefixTokens(List<PromptSegment> prompt) {
        return fetchablePrefixTokens(prompt, Long.MAX_VALUE);
    }

    /**
     * Returns the tokens at the beginning of a prompt that another engine can fetch from this one. A segment counts
     * only if all segments before it do.
     */
    int fetchablePrefixTokens(List<PromptSegment> prompt, long now) {
        int readyTokens = 0;
        for (PromptSegment segment : prompt) {
            CachedSegment cached = segments.get(segment.id());
            if (cached == null || cached.readyAt > now) {
                return readyTokens;
            }
            readyTokens += segment.tokens();
        }
        return readyTokens;
    }
}
