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
 */
final class PartCache {

    /** Parts remembered for one engine where its memory is not known. */
    private static final int MOST_PARTS = 4_096;

    private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long mostTokens = Long.MAX_VALUE;
    private long tokens;

    /** Bounds the tokens that the engine has room for. */
    void bound(long most) {
        mostTokens = most;
    }

    /**
     * Notes that the engine was given a prompt.
     *
     * @param prompt its parts in order
     */
    void add(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Integer before = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Integer> eldest = parts.values().iterator();
        while (eldest.hasNext() && (tokens > mostTokens || parts.size() > MOST_PARTS)) {
            tokens -= eldest.next();
            eldest.remove();
        }
    }

    /** Tokens at the beginning of a prompt that the engine holds: a part counts only if all before it do. */
    int heldTokens(List<PromptPart> prompt) {
        int held = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.id())) {
                return held;
            }
            held += part.tokens();
        }
        return held;
    }
}
