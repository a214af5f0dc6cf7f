package org.cuminshelf.standin;

import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** What the stand-in engine says: a text that follows from the prompt alone, so that anyone can check an answer. */
public final class StandInText {

    private static final String[] WORDS = {
        "record", "title", "prefix", "author", "press", "shelf", "glaze", "sheet", "tile", "board", "index", "print",
        "order", "sample", "entry", "library"
    };

    private StandInText() {}

    /**
     * A token of an answer.
     *
     * @param promptHash the hash of the prompt, by {@link #hash}
     * @param position   its place, from 0
     * @return the token with its leading space
     */
    public static String token(long promptHash, int position) {
        long mixed = LongHashFunction.xx3(promptHash).hashLong(position);
        return " " + WORDS[(int) (mixed & (WORDS.length - 1))] + position;
    }

    /**
     * The hash of a prompt.
     *
     * @param prompt the prompt
     * @return the hash
     */
    public static long hash(String prompt) {
        return LongHashFunction.xx3().hashChars(prompt);
    }

    /**
     * The number of tokens of an answer.
     *
     * @param promptHash the hash of the prompt
     * @param maxTokens  the most tokens asked for
     * @return between half and all of them
     */
    public static int length(long promptHash, int maxTokens) {
        int half = maxTokens / 2;
        return Math.max(1, half + (int) Long.remainderUnsigned(promptHash, (long) maxTokens - half + 1));
    }

    /**
     * The whole answer.
     *
     * @param prompt    the prompt
     * @param maxTokens the most tokens asked for
     * @return its tokens
     */
    public static List<String> answer(String prompt, int maxTokens) {
        long hash = hash(prompt);
        List<String> tokens = new ArrayList<>();
        for (int position = 0; position < length(hash, maxTokens); position++) {
            tokens.add(token(hash, position));
        }
        return tokens;
    }
}
