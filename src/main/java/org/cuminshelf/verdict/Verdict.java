package org.cuminshelf.verdict;

import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Ran;

/**
 * Says whether a request may have run. This is the error type of the whole path: it stands in the HTTP answer
 * ({@code Cuminshelf-Verdict} header and problem body), in logs and in spans.
 */
public sealed interface Verdict {

    /**
     * The request did not run and never will under the attempts made for it.
     *
     * @param cause            why
     * @param retryAfterMillis when a new try makes sense, in milliseconds; 0 when unknown
     */
    record NotRun(Cause cause, long retryAfterMillis) implements Verdict {}

    /**
     * The request may have run, once; nobody can swear either way.
     *
     * @param cause why this is unknown
     */
    record MayHaveRun(Cause cause) implements Verdict {}

    /**
     * The request ran.
     *
     * @param cause why the answer is not whole, or {@link Cause#CAUSE_NONE}
     */
    record HasRun(Cause cause) implements Verdict {}

    /**
     * Makes a verdict from its parts as they stand in messages.
     *
     * @param ran              whether the request may have run; unspecified counts as may have run
     * @param cause            the cause
     * @param retryAfterMillis milliseconds, 0 when unknown
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
     * The word used for this verdict in headers, logs and spans.
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
     * Why the request was not answered in full.
     *
     * @return the cause
     */
    Cause cause();
}
