package org.cuminshelf.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminshelf.direct.DecisionLog;
import org.tinylog.Logger;

/**
 * Logs decisions as lines of key-value pairs. Guards against bursts that fill the log and take CPU time from the
 * requests: the number of lines per second is limited, with a much lower limit for normally completed requests. A
 * separate line reports how many other lines were dropped. The thread of the logging library does the writing.
 */
final class RateLimitedDecisionLog implements DecisionLog {

    /** Limit for failures and upstream state; some 20 KB per second, 1/100 of the network bandwidth of a small VM. */
    private static final int MAX_EVENT_LINES_PER_SECOND = 150;
    /** Limit for normally completed requests: a sufficient sample, at 0.1 ms of CPU time per line. */
    private static final int MAX_COMPLETION_LINES_PER_SECOND = 5;

    private static final int TYPICAL_LINE_LENGTH = 160;

    private static final String REQUEST = "request";

    private final String prefix;
    private final DecisionMetrics metrics;
    private final AtomicLong droppedLines = new AtomicLong();
    private long currentSecond;
    private int eventLines;
    private int completionLines;
    private boolean completionsSampled = true;

    private RateLimitedDecisionLog(String prefix, DecisionMetrics metrics) {
        this.prefix = prefix;
        this.metrics = metrics;
    }

    static RateLimitedDecisionLog create(String prefix, DecisionMetrics metrics) {
        return new RateLimitedDecisionLog(prefix, metrics);
    }

    @Override
    public synchronized void note(String kind, String id, Object... fields) {
        metrics.observe(kind, fields);
        startSecondIfElapsed();
        if (eventLines++ < MAX_EVENT_LINES_PER_SECOND) {
            write(kind, id, fields);
        } else {
            droppedLines.incrementAndGet();
        }
    }

    @Override
    public synchronized void noteCompletion(String id, Object... fields) {
        metrics.observe(REQUEST, fields);
        startSecondIfElapsed();
        int limit = completionsSampled ? MAX_COMPLETION_LINES_PER_SECOND : MAX_EVENT_LINES_PER_SECOND;
        if (completionLines++ < limit) {
            write(REQUEST, id, fields);
        }
    }

    /** Raises the limit for normally completed requests to that for other lines, while the process stops. */
    synchronized void logMoreCompletions() {
        completionsSampled = false;
    }

    private void startSecondIfElapsed() {
        long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        if (now == currentSecond) {
            return;
        }
        currentSecond = now;
        eventLines = 0;
        completionLines = 0;
        long droppedCount = droppedLines.getAndSet(0);
        if (droppedCount > 0) {
            Logger.warn("{}event=lines-dropped count={}", prefix, droppedCount);
        }
    }

    private void write(String kind, String id, Object... fields) {
        StringBuilder line = new StringBuilder(TYPICAL_LINE_LENGTH);
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
