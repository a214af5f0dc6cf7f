package org.cuminshelf.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminshelf.direct.DecisionLog;
import org.tinylog.Logger;

/**
 * Decisions as lines of names and values. Guards against a burst that fills the log and takes the processor from the
 * requests themselves: lines are bounded each second, those on the ordinary end of requests first, and what was left
 * out is counted in a line of its own. The lines are written by the log's own thread.
 */
final class RateLimitedDecisionLog implements DecisionLog {

    /** Lines a second on failures and beliefs; some 20 KB, a hundredth of what a small VM's link carries. */
    private static final int MOST_NOTES = 150;
    /** Lines a second on requests that ended as they should: enough to see the usual, at 0.1 ms of processor each. */
    private static final int MOST_ORDINARY = 5;

    private static final int TYPICAL_LINE = 160;

    private static final String REQUEST = "request";

    private final String prefix;
    private final DecisionMetrics metrics;
    private final AtomicLong dropped = new AtomicLong();
    private long second;
    private int notes;
    private int ordinary;

    private RateLimitedDecisionLog(String prefix, DecisionMetrics metrics) {
        this.prefix = prefix;
        this.metrics = metrics;
    }

    static RateLimitedDecisionLog create(String prefix, DecisionMetrics metrics) {
        return new RateLimitedDecisionLog(prefix, metrics);
    }

    @Override
    public synchronized void note(String kind, String id, Object... fields) {
        metrics.count(kind, fields);
        turnSecond();
        if (notes++ < MOST_NOTES) {
            write(kind, id, fields);
        } else {
            dropped.incrementAndGet();
        }
    }

    @Override
    public synchronized void noteCompletion(String id, Object... fields) {
        metrics.count(REQUEST, fields);
        turnSecond();
        if (ordinary++ < MOST_ORDINARY) {
            write(REQUEST, id, fields);
        }
    }

    private void turnSecond() {
        long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        if (now == second) {
            return;
        }
        second = now;
        notes = 0;
        ordinary = 0;
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            Logger.warn("{}event=lines-dropped count={}", prefix, lost);
        }
    }

    private void write(String kind, String id, Object... fields) {
        StringBuilder line = new StringBuilder(TYPICAL_LINE);
        line.append(prefix).append("event=").append(kind).append(" id=").append(id);
        for (int index = 0; index + 1 < fields.length; index += 2) {
            String value = String.valueOf(fields[index + 1]);
            line.append(' ').append(fields[index]).append('=');
            if (value.indexOf(' ') >= 0) {
                line.append('"').append(value.replace('"', '\'')).append('"');
            } else {
                line.append(value);
            }
        }
        Logger.info(line.toString());
    }
}
