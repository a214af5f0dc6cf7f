package org.cuminshelf.streams;

/**
 * What is recorded of one stream.
 *
 * @param service    service that began it
 * @param version    software version that began it
 * @param sinceNanos time of its first event in monotonic nanoseconds of this process
 * @param keptNanos  time at which it was last recorded here, in the same nanoseconds
 * @param ambiguous  whether records of the stream state different services or versions
 */
public record RecordedStream(String service, String version, long sinceNanos, long keptNanos, boolean ambiguous) {

    /** Returns what is recorded after one more record of the same stream has arrived. */
    RecordedStream merge(RecordedStream later) {
        boolean agrees = service.equals(later.service) && version.equals(later.version);
        return new RecordedStream(
                later.service,
                later.version,
                Math.min(sinceNanos, later.sinceNanos),
                later.keptNanos,
                ambiguous || !agrees);
    }
}
