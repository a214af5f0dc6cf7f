package org.cuminshelf.direct;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parts of prompts that an engine probably holds: what was sent there lately, least recently used first out. */
final class PartCache {

    /** Parts remembered for one engine; an engine of half a million tokens holds some thousand short parts. */
    private static final int MOST_PARTS = 4_096;

    private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MOST_PARTS;
        }
    };

    /** Notes that the engine was given a prompt. */
    void add(List<PromptPart> prompt) {
        prompt.forEach(part -> parts.put(part.id(), part.tokens()));
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

    void clear() {
        parts.clear();
    }
}
