package org.cuminshelf.direct;

import java.util.Locale;

/**
 * The software version that began a stream.
 *
 * @param version    version of the upstream that sent the first event
 * @param source     how it is known here
 * @param sinceNanos when the first event was delivered, as far as known, in nanoseconds
 */
record StreamOrigin(String version, Source source, long sinceNanos) {

    /** How the version of a stream is known. */
    enum Source {
        /** This entry delivered the first event. */
        DELIVERED,
        /** An entry has a record of the stream. */
        RECORD,
        /** Upstreams of no other version can have begun it. */
        ONLY_VERSION;

        /** The name for the log. */
        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
