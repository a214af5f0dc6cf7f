package org.cuminshelf.engines;

/**
 * One prompt that an engine took in, as an entry saw it.
 *
 * @param engine        names the engine
 * @param besideStreams whether the engine also generates
 * @param streams       streams that ran there when the prompt was sent
 * @param held          tokens at the prompt's beginning that the engine was believed to hold
 * @param uncached      the other tokens of the prompt
 * @param waitMillis    milliseconds that the prompts sent before it were believed to take still
 * @param tookMillis    milliseconds from sending the prompt to the first sign that it was taken in
 */
public record PromptSample(
        String engine,
        boolean besideStreams,
        int streams,
        int held,
        int uncached,
        double waitMillis,
        double tookMillis) {}
