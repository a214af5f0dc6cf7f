package org.cuminshelf.standin;

import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Generates the output of the stand-in engine. The output depends only on the prompt and the token limit, so callers
 * can verify an answer.
 */
public final class StandInText {

    private static final String[] WORDS = {
        "record", "title", "prefix", "author", "press", "shelf", "glaze", "sheet", "tile", "board", "index", "print",
        "order", "sample", "entry", "library"
    };

    private StandInText() {}

    /**
     * Returns one token of an answer.
     *
     * @param promptHash the prompt hash from {@link #hashPrompt}
     * @param position   the position of the token in the answer, from 0
     * @return the token, including its leading space
     */
    public static String answerToken(long promptHash, int position) {
        long mixed = LongHashFunction.xx3(promptHash).hashLong(position);
        return " " + WORDS[(int) (mixed & (WORDS.length - 1))] + position;
    }

    /**
     * Computes the hash of a prompt.
     *
     * @param prompt the prompt
     * @return the hash
     */
    public static long hashPrompt(String prompt) {
        return LongHashFunction.xx3().hashChars(prompt);
    }

    /**
     * Returns the number of tokens in an answer.
     *
     * @param promptHash the prompt hash from {@link #hashPrompt}
     * @param maxTokens  the requested maximum number of tokens
     * @return a number from half the maximum to the maximum, at least 1
     */
    public static int answerLength(long promptHash, int maxTokens) {
        int half = maxTokens / 2;
        return Math.max(1, half + (int) Long.remainderUnsigned(promptHash, (long) maxTokens - half + 1));
    }

    /**
     * Returns the complete answer.
     *
     * @param prompt    the prompt
     * @param maxTokens the requested maximum number of tokens
     * @return the tokens of the answer
     */
    public static List<String> answer(String prompt, int maxTokens) {
        long promptHash = hashPrompt(prompt);
        List<String> tokens = new ArrayList<>();
        for (int position = 0; position < answerLength(promptHash, maxTokens); position++) {
            tokens.add(answerToken(promptHash, position));
        }
        return tokens;
    }
}
