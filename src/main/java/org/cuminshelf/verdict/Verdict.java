package org.cuminshelf.verdict;

import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Ran;

/**
 * Whether a request may have been executed. This is the error type of the whole request path: it appears in the HTTP
 * response ({@code Cuminshelf-Verdict} header and problem body), in logs and in tracing spans.
 */
public sealed interface Verdict {

    /**
     * The request did not run, and none of the attempts made for it will still run it. Retrying is safe.
     *
     * @param cause            why it did not run
     * @param retryAfterMillis recommended delay before a retry in milliseconds; 0 if unknown
     */
    record NotRun(Cause cause, long retryAfterMillis) implements Verdict {}

    /**
     * The request may have run at most once; whether it did is unknown.
     *
     * @param cause why it is unknown
     */
    record MayHaveRun(Cause cause) implements Verdict {}

    /**
     * The request ran.
     *
     * @param cause why the response is incomplete, or {@link Cause#CAUSE_NONE}
     */
    record HasRun(Cause cause) implements Verdict {}

    /**
     * Creates a verdict from the fields of a message.
     *
     * @param ran              whether the request ran; unspecified and unknown values count as may have run
     * @param cause            the cause
     * @param retryAfterMillis recommended delay before a retry in milliseconds, 0 if unknown; ignored unless the
     *                         request did not run
     * @return the verdict
     */
    static Verdict of(Ran ran, Cause cause, long retryAfterMillis) {
        return switch (ran) {
            case NOT_RUN -> new NotRun(cause, retryAfterMillis);
            case RAN -> new HasRun(cause);
            case MAY_HAVE_RUN, RAN_UNSPECIFIED, UNRECOGNIZED -> new MayHaveRun(cause);
        };
    }

    /**
     * Returns the name of this verdict in headers, logs and spans.
     *
     * @return {@code not-run}, {@code may-have-run} or {@code ran}
     */
    default String label() {
        return switch (this) {
            case NotRun notRun -> "not-run";
            case MayHaveRun mayHaveRun -> "may-have-run";
            case HasRun hasRun -> "ran";
        };
    }

    /**
     * Returns why the request failed or its response is incomplete.
     *
     * @return the cause
     */
    Cause cause();
}
