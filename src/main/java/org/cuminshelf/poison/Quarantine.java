package org.cuminshelf.poison;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.message.QuarantinedRequest;

/**
 * The requests that are refused as poison, and those that were and have been released.
 *
 * <p>Of what is told of one request the later stands: the higher generation, and of one generation the release. So it
 * merges in any order. Only a release ends a quarantine: a trial now and then would end an upstream each time.
 */
public final class Quarantine {

    /**
     * Requests kept at the most, released ones among them: each was found at the price of three upstreams' ends, and
     * takes some 400 bytes. Of more the released go first, then the oldest.
     */
    private static final int MAX_ROWS = 1_024;

    private static final Comparator<QuarantinedRequest> BY_RECENCY = Comparator.comparingInt(
                    QuarantinedRequest::getGeneration)
            .thenComparing(QuarantinedRequest::getReleased)
            .thenComparingLong(QuarantinedRequest::getFoundMs);

    private record Row(QuarantinedRequest request, long changeNumber) {}

    private final Map<Fingerprint, Row> rows = new LinkedHashMap<>();
    private long changeCount;
    /** Number of the newest change. */
    private long lastChangeNumber = Long.MIN_VALUE;

    /** Makes an empty quarantine. */
    public Quarantine() {}

    /**
     * Names the request of a row.
     *
     * @param row the row
     * @return its fingerprint
     */
    public static Fingerprint fingerprint(QuarantinedRequest row) {
        return new Fingerprint(row.getHigh(), row.getLow());
    }

    /**
     * Takes what is known of a request.
     *
     * @param row    what is told of it
     * @param sequence number the change
     * @return whether it is news
     */
    public boolean merge(QuarantinedRequest row, ChangeSequence sequence) {
        Fingerprint request = fingerprint(row);
        if (hasSameOrNewer(row)) {
            return false;
        }
        long changeNumber = sequence.next(true);
        rows.put(request, new Row(row, changeNumber));
        lastChangeNumber = Math.max(lastChangeNumber, changeNumber);
        changeCount++;
        if (rows.size() > MAX_ROWS) {
            evict();
        }
        return true;
    }

    private void evict() {
        Fingerprint released = null;
        for (Map.Entry<Fingerprint, Row> row : rows.entrySet()) {
            if (row.getValue().request.getReleased()) {
                released = row.getKey();
                break;
            }
        }
        rows.remove(released == null ? rows.keySet().iterator().next() : released);
    }

    /**
     * Tells whether a request is refused.
     *
     * @param request its fingerprint
     * @return whether it is quarantined and not released
     */
    public boolean isQuarantined(Fingerprint request) {
        Row row = rows.get(request);
        return row != null && !row.request.getReleased();
    }

    /**
     * Tells whether a crash was held against a request before its release, and isn't any more.
     *
     * @param request  its fingerprint
     * @param upstream identity of the start that crashed
     * @return whether the request was released from it
     */
    public boolean isReleasedAfterCrash(Fingerprint request, String upstream) {
        Row row = rows.get(request);
        return row != null
                && row.request.getReleased()
                && row.request.getUpstreamsList().contains(upstream);
    }

    /**
     * Makes the row that quarantines a request, again where it was released before.
     *
     * @param request   its fingerprint
     * @param upstreams identities of the starts that crashed under it
     * @param foundBy   names who found it
     * @return the row
     */
    public QuarantinedRequest quarantineRow(Fingerprint request, List<String> upstreams, String foundBy) {
        int generation = Optional.ofNullable(rows.get(request))
                .map(row -> row.request.getGeneration())
                .orElse(0);
        return QuarantinedRequest.newBuilder()
                .setHigh(request.high())
                .setLow(request.low())
                .setGeneration(generation + 1)
                .addAllUpstreams(upstreams)
                .setFoundBy(foundBy)
                .build();
    }

    /**
     * Makes the row that releases a request.
     *
     * @param request  its fingerprint
     * @param author   who releases it
     * @param reason   why
     * @param atMillis when, in Unix milliseconds; 0 if unknown
     * @return the row, or nothing if the request is not quarantined
     */
    public Optional<QuarantinedRequest> releaseRow(Fingerprint request, String author, String reason, long atMillis) {
        if (!isQuarantined(request)) {
            return Optional.empty();
        }
        return Optional.of(rows.get(request).request.toBuilder()
                .setReleased(true)
                .setReleasedBy(author)
                .setReason(reason)
                .setReleasedMs(atMillis)
                .build());
    }

    /**
     * Tells whether nothing is kept.
     *
     * @return whether no request is quarantined or was released
     */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /**
     * All that is kept, the oldest first.
     *
     * @return the rows
     */
    public Collection<QuarantinedRequest> all() {
        return changedSince(Long.MIN_VALUE);
    }

    /**
     * What changed since a number.
     *
     * @param changeNumber the number
     * @return the rows
     */
    public List<QuarantinedRequest> changedSince(long changeNumber) {
        if (changeNumber >= lastChangeNumber) {
            return List.of();
        }
        return rows.values().stream()
                .filter(row -> row.changeNumber > changeNumber)
                .map(Row::request)
                .toList();
    }

    /**
     * Counts the requests that are refused.
     *
     * @return their number
     */
    public long quarantinedCount() {
        return rows.values().stream().filter(row -> !row.request.getReleased()).count();
    }

    /**
     * Tells whether what is known of a request is as late as a row.
     *
     * @param row the row
     * @return whether merging it would change nothing
     */
    public boolean hasSameOrNewer(QuarantinedRequest row) {
        Row known = rows.get(fingerprint(row));
        return known != null && BY_RECENCY.compare(row, known.request) <= 0;
    }

    /**
     * Counts changes, so that a reader sees when there is news.
     *
     * @return a number that rises with each change
     */
    public long changeCount() {
        return changeCount;
    }

    /** Forgets all, before a saved state is read. */
    public void clear() {
        rows.clear();
        changeCount++;
    }
}
