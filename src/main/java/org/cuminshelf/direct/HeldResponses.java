package org.cuminshelf.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The bytes of responses that are held until a whole answer or event has arrived, over all attempts.
 *
 * <p>Guards against upstreams that send without end: several at a time, each within the limit of one response, would
 * take up the memory of the process.
 */
final class HeldResponses {

    /** Largest response that is passed on, and largest event of a response that is none of an event stream. */
    static final int MAX_RESPONSE_BYTES = 16 << 20;
    /** Largest event; those of language models take some hundred bytes. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final int HEAP_PART = 8;

    /** What an attempt holds, and whether its response states its length. */
    private record Held(int bytes, boolean statesLength) {}

    private final long maxTotalBytes;
    private final Map<Long, Held> attempts = new HashMap<>();
    private long totalBytes;

    private HeldResponses(long maxTotalBytes) {
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Returns a table whose total is limited to a part of the heap that still holds one large response. */
    static HeldResponses ofHeap(long maxHeapBytes) {
        return new HeldResponses(Math.max(MAX_RESPONSE_BYTES, maxHeapBytes / HEAP_PART));
    }

    /**
     * Records how much an attempt holds now.
     *
     * @param attempt      number of an open attempt
     * @param bytes        the bytes of its response that it holds
     * @param statesLength whether its response states its length
     * @return number of the attempt to give up, as more is held than there is memory for; empty usually
     */
    OptionalLong record(long attempt, int bytes, boolean statesLength) {
        remove(attempt);
        if (bytes > 0) {
            attempts.put(attempt, new Held(bytes, statesLength));
            totalBytes += bytes;
        }
        return totalBytes > maxTotalBytes ? OptionalLong.of(largest()) : OptionalLong.empty();
    }

    /** Removes an attempt that has ended. */
    void remove(long attempt) {
        Held held = attempts.remove(attempt);
        totalBytes -= held == null ? 0 : held.bytes;
    }

    /** Returns the number of bytes held. */
    long totalBytes() {
        return totalBytes;
    }

    /** Returns the largest of those that state no length, which may have no end, or else of all. */
    private long largest() {
        return attempts.entrySet().stream()
                .max(Map.Entry.comparingByValue(
                        Comparator.comparing((Held held) -> !held.statesLength).thenComparing(Held::bytes)))
                .orElseThrow()
                .getKey();
    }
}
