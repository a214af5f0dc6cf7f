package org.cuminshelf.direct;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Parts of prompts that an engine probably holds: what entries sent there lately, least recently used first out.
 *
 * <p>A part counts as held only until its engine's memory took as much after it; without that bound parts counted as
 * held for as long as the engine lived, though under load it keeps one for some ten seconds, and prompts took half as
 * long again as expected.
 *
 * <p>A part that is still being read is as good as held for the next prompt on the same engine, which reads in order.
 * Another engine can't fetch it yet: prompts that named such a source read all of it again, 0.7 s where 0.1 s was
 * expected.
 */
final class PrefixCacheTracker {

    /** Parts remembered for one engine where its memory is not known. */
    private static final int MOST_PARTS = 4_096;

    /**
     * A part.
     *
     * @param tokens  its tokens
     * @param readyAt when it has been read, in nanoseconds
     */
    private record Held(int tokens, long readyAt) {}

    private final LinkedHashMap<String, Held> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long mostTokens = Long.MAX_VALUE;
    private long tokens;

    /** Bounds the tokens that the engine has room for. */
    void setCapacityTokens(long most) {
        mostTokens = most;
    }

    /**
     * Notes that the engine was given a prompt.
     *
     * @param prompt  its parts in order
     * @param readyAt when it will probably have been read, in nanoseconds
     */
    void recordPrompt(List<PromptSegment> prompt, long readyAt) {
        for (PromptSegment part : prompt) {
            Held before = parts.get(part.id());
            long ready = before == null ? readyAt : Math.min(before.readyAt, readyAt);
            parts.put(part.id(), new Held(part.tokens(), ready));
            tokens += part.tokens() - (before == null ? 0 : before.tokens);
        }
        Iterator<Held> eldest = parts.values().iterator();
        while (eldest.hasNext() && (tokens > mostTokens || parts.size() > MOST_PARTS)) {
            tokens -= eldest.next().tokens;
            eldest.remove();
        }
    }

    /** Tokens at the beginning of a prompt that the engine will hold when it comes to it. */
    int cachedPrefixTokens(List<PromptSegment> prompt) {
        return fetchablePrefixTokens(prompt, Long.MAX_VALUE);
    }

    /**
     * Tokens at the beginning of a prompt that another engine can fetch from this one: a part counts only if all before
     * it do.
     */
    int fetchablePrefixTokens(List<PromptSegment> prompt, long now) {
        int ready = 0;
        for (PromptSegment part : prompt) {
            Held held = parts.get(part.id());
            if (held == null || held.readyAt > now) {
                return ready;
            }
            ready += part.tokens();
        }
        return ready;
    }
}
