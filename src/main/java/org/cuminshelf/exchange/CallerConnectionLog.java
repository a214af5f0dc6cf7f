package org.cuminshelf.exchange;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;
import org.cuminshelf.core.Invariants;
import org.tinylog.Logger;

/**
 * Counts and logs how connections and requests of callers end. Many connections may be closed at once, so the log lines
 * are limited, those of closes that leave a request unanswered separately; the counters include all of them. The thread
 * of the logging library does the writing.
 */
public final class CallerConnectionLog {

    private static final int MAX_LINES_PER_SECOND = 20;
    private static final int MAX_UNANSWERED_LINES_PER_SECOND = 150;
    private static final String LOG = "exchange: ";

    private final Counter readRequests;
    private final Counter endedRequests;
    private final Counter closedConnections;
    private final Invariants invariants;
    private long currentSecond = Long.MIN_VALUE;
    private int linesThisSecond;
    private int unansweredLinesThisSecond;
    private long droppedLines;

    private CallerConnectionLog(PrometheusRegistry registry, Invariants invariants) {
        this.invariants = invariants;
        this.readRequests = Counter.builder()
                .name("cuminshelf_caller_requests_read")
                .help("Requests of callers that were read completely.")
                .register(registry);
        this.endedRequests = Counter.builder()
                .name("cuminshelf_caller_requests_ended")
                .help("Requests of callers that were read completely, by how they ended.")
                .labelNames("outcome")
                .register(registry);
        this.closedConnections = Counter.builder()
                .name("cuminshelf_caller_connections_closed")
                .help("Connections of callers that were closed, by reason.")
                .labelNames("reason")
                .register(registry);
    }

    /**
     * Creates a log and registers its counters.
     *
     * @param registry   registry for the counters
     * @param invariants receives the results of invariant checks
     * @return the log
     */
    public static CallerConnectionLog register(PrometheusRegistry registry, Invariants invariants) {
        return new CallerConnectionLog(registry, invariants);
    }

    /** Returns a log whose counters are not published, for listeners that serve no callers. */
    static CallerConnectionLog unpublished() {
        return new CallerConnectionLog(new PrometheusRegistry(), (holds, name, detail) -> {
            if (!holds) {
                Logger.error(LOG + "{} does not hold: {}.", name, detail.get());
            }
        });
    }

    Invariants invariants() {
        return invariants;
    }

    void countRead() {
        readRequests.inc();
    }

    void countEnds(RequestEnd end, long count) {
        endedRequests.labelValues(end.label()).inc(count);
    }

    /** Counts and logs a close; a caller that closes a connection without an open request gets no line. */
    void onClosed(CloseReason reason, String caller, long phaseMillis, long idleLimitMillis, RequestAccounts accounts) {
        closedConnections.labelValues(reason.label()).inc();
        if (reason == CloseReason.CLOSED_BY_CALLER && accounts.unanswered() == 0) {
            return;
        }
        if (mayLog(accounts.unanswered() > 0)) {
            Logger.info(
                    LOG
                            + "event=connection-closed reason={} caller={} idle-ms={} limit-ms={} requests={}"
                            + " unanswered={}",
                    reason.label(),
                    caller,
                    phaseMillis,
                    idleLimitMillis,
                    accounts.readRequests(),
                    accounts.unanswered());
        }
    }

    private synchronized boolean mayLog(boolean unanswered) {
        long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        if (now != currentSecond) {
            currentSecond = now;
            linesThisSecond = 0;
            unansweredLinesThisSecond = 0;
            logDroppedLines();
        }
        boolean written = unanswered
                ? unansweredLinesThisSecond++ < MAX_UNANSWERED_LINES_PER_SECOND
                : linesThisSecond++ < MAX_LINES_PER_SECOND;
        droppedLines += written ? 0 : 1;
        return written;
    }

    private void logDroppedLines() {
        if (droppedLines > 0) {
            Logger.warn(LOG + "event=lines-dropped count={}", droppedLines);
            droppedLines = 0;
        }
    }
}
