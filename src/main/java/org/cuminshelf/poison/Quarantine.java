package org.cuminshelf.poison;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.message.QuarantinedRequest;

/**
 * The requests and shared attributes that are refused as poison, and those that were and have been released.
 *
 * <p>Of several rows of one request or attribute the latest is kept: the one with the higher generation, of one
 * generation the release, and else the one with more failed trials. So rows merge in any order. Only a release ends a
 * quarantine. That of a whole request is never tried: refusing one request costs little, and a trial an upstream.
 */
public final class Quarantine {

    /**
     * Most rows kept, including released requests: each was found at the cost of three upstream crashes, and takes some
     * 400 bytes. Released requests are evicted first, then the oldest.
     */
    private static final int MAX_ROWS = 1_024;

    private static final Comparator<QuarantinedRequest> BY_RECENCY = Comparator.comparingInt(
                    QuarantinedRequest::getGeneration)
            .thenComparing(QuarantinedRequest::getReleased)
            .thenComparingInt(QuarantinedRequest::getFailedTrials)
            .thenComparingLong(QuarantinedRequest::getFoundMs);

    private record Row(QuarantinedRequest request, long changeNumber) {}

    private final Map<Fingerprint, Row> rows = new LinkedHashMap<>();
    private long changeCount;
    /** Number of the latest change. */
    private long lastChangeNumber = Long.MIN_VALUE;

    /** Creates an empty quarantine. */
    public Quarantine() {}

    /**
     * Returns the request of a row.
     *
     * @param row the row
     * @return its fingerprint
     */
    public static Fingerprint fingerprint(QuarantinedRequest row) {
        return new Fingerprint(row.getHigh(), row.getLow());
    }

    /**
     * Merges a row.
     *
     * @param row      the row
     * @param sequence numbers the change
     * @return whether this changed the quarantine
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
     * Checks whether a request is refused.
     *
     * @param request its fingerprint
     * @return whether it is quarantined and not released
     */
    public boolean isQuarantined(Fingerprint request) {
        Row row = rows.get(request);
        return row != null && !row.request.getReleased();
    }

    /**
     * Checks whether a crash was among those for which a request was quarantined, and the request has been released
     * since.
     *
     * @param request  its fingerprint
     * @param upstream identity of the upstream instance that crashed
     * @return whether it has been released
     */
    public boolean isReleasedAfterCrash(Fingerprint request, String upstream) {
        Row row = rows.get(request);
        return row != null
                && row.request.getReleased()
                && row.request.getUpstreamsList().contains(upstream);
    }

    /**
     * Creates the row that quarantines a request, or quarantines it again after a release.
     *
     * @param attribute the request, or the attribute that requests share
     * @param upstreams identities of the upstream instances that crashed under it
     * @param foundBy   identity of the process that found it
     * @return the row
     */
    public QuarantinedRequest quarantineRow(RequestAttribute attribute, List<String> upstreams, String foundBy) {
        Fingerprint fingerprint = attribute.fingerprint();
        int generation = row(fingerprint).map(QuarantinedRequest::getGeneration).orElse(0);
        return QuarantinedRequest.newBuilder()
                .setHigh(fingerprint.high())
                .setLow(fingerprint.low())
                .setKind(attribute.kind())
                .setService(attribute.service())
                .setName(attribute.name())
                .setGeneration(generation + 1)
                .addAllUpstreams(upstreams)
                .setFoundBy(foundBy)
                .build();
    }

    /**
     * Creates the row of a quarantined attribute under which another upstream instance crashed.
     *
     * @param attribute its fingerprint
     * @param upstream  identity of the upstream instance
     * @return the row, or empty if it is not quarantined or that crash is in its row
     */
    Optional<QuarantinedRequest> failedTrialRow(Fingerprint attribute, String upstream) {
        return row(attribute)
                .filter(row -> !row.getReleased() && !row.getUpstreamsList().contains(upstream))
                .map(row -> row.toBuilder()
                        .addUpstreams(upstream)
                        .setFailedTrials(row.getFailedTrials() + 1)
                        .build());
    }

    /**
     * Returns the row of a request or attribute.
     *
     * @param fingerprint its fingerprint
     * @return the row, released or not, or empty if it never was quarantined
     */
    public Optional<QuarantinedRequest> row(Fingerprint fingerprint) {
        return Optional.ofNullable(rows.get(fingerprint)).map(Row::request);
    }

    /**
     * Creates the row that releases a request.
     *
     * @param request  its fingerprint
     * @param author   who releases it
     * @param reason   why
     * @param atMillis when, in Unix milliseconds; 0 if unknown
     * @return the row, or empty if the request is not quarantined
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
     * Checks whether there is no row.
     *
     * @return whether no request is quarantined or was released
     */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /**
     * Returns all rows, the oldest first.
     *
     * @return the rows
     */
    public Collection<QuarantinedRequest> all() {
        return changedSince(Long.MIN_VALUE);
    }

    /**
     * Returns the rows that changed since a number.
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
     * Checks whether the quarantine already has a row or a later one of the same request.
     *
     * @param row the row
     * @return whether merging it would change nothing
     */
    public boolean hasSameOrNewer(QuarantinedRequest row) {
        Row known = rows.get(fingerprint(row));
        return known != null && BY_RECENCY.compare(row, known.request) <= 0;
    }

    /**
     * Returns a counter of changes, by which a reader detects them.
     *
     * @return a number that rises with each change
     */
    public long changeCount() {
        return changeCount;
    }

    /** Removes all rows, before a saved state is restored. */
    public void clear() {
        rows.clear();
        changeCount++;
    }
}
