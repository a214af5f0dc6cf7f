package org.cuminshelf.direct;

import java.util.Locale;

/** Why no further attempt of a call is sent, apart from the reasons of {@link AdmissionControl}. */
enum RetryRefusal {
    /** Its route does not allow another run. */
    NOT_REPEATABLE,
    /** The attempts that its route allows are used up. */
    ATTEMPTS_USED_UP,
    /** Too little of its time is left. */
    NO_TIME_LEFT,
    /** Upstreams crashed under the request. */
    UPSTREAMS_CRASHED,
    /** The retries of the service are used up. */
    RETRY_BUDGET_EMPTY;

    /** The name for the log. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
