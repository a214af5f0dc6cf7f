package org.cuminshelf.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.UpstreamCrash;

/**
 * What one process knows about poison requests and attributes: the crashes and the quarantine. Each entry and control
 * process has a registry and sends the changes to the others.
 */
public final class PoisonRegistry {

    private final CrashTable crashes = new CrashTable();
    private final Quarantine quarantine = new Quarantine();
    private final List<QuarantinedRequest> changedRows = new ArrayList<>();

    /** Creates an empty registry. */
    public PoisonRegistry() {}

    /**
     * Checks whether the registry is empty, so that no request's fingerprint is needed.
     *
     * @return whether neither crashes nor quarantined or released requests are known
     */
    public boolean isEmpty() {
        return crashes.isEmpty() && quarantine.isEmpty();
    }

    /**
     * Checks whether an upstream instance is known to have crashed.
     *
     * @param upstream identity of the upstream instance
     * @return whether it is
     */
    public boolean hasCrashed(String upstream) {
        return crashes.contains(upstream);
    }

    /**
     * Records that requests with an attribute were at an upstream instance that crashed.
     *
     * @param now         the time in nanoseconds
     * @param upstream    identity of the upstream instance
     * @param attribute   the attribute, or one whole request
     * @param involvement how long they had been running; the shortest time of several
     * @param requests    requests with the attribute and that involvement
     * @param sequence    numbers the change
     * @return whether this changed the registry
     */
    public boolean onCrash(
            long now,
            String upstream,
            RequestAttribute attribute,
            Involvement involvement,
            int requests,
            ChangeSequence sequence) {
        Fingerprint fingerprint = attribute.fingerprint();
        Involvement counted =
                quarantine.isReleasedAfterCrash(fingerprint, upstream) ? Involvement.CLEARED : involvement;
        boolean changed = crashes.recordRun(now, upstream, attribute, counted, requests, sequence);
        if (changed && quarantine.isQuarantined(fingerprint)) {
            crashes.updateExplained(fingerprint, quarantine::isQuarantined);
            if (attribute.isShared() && counted == Involvement.JUST_BEGUN) {
                quarantine.failedTrialRow(fingerprint, upstream).ifPresent(row -> merge(now, row, sequence));
            }
        }
        return changed;
    }

    /**
     * Records that a request succeeded, so that neither it nor an attribute of it caused a crash. What is quarantined
     * of these is released.
     *
     * @param now        the time in nanoseconds
     * @param attributes the whole request and its shared attributes
     * @param author     identity of the process that observed it
     * @param sequence   numbers the changes
     * @return those of which this changed the registry
     */
    public List<RequestAttribute> onSuccess(
            long now, List<RequestAttribute> attributes, String author, ChangeSequence sequence) {
        return attributes.stream()
                .filter(attribute -> onSuccess(now, attribute.fingerprint(), author, sequence))
                .toList();
    }

    /**
     * Records that requests with an attribute, or one whole request, succeeded. If it is quarantined, it is released.
     *
     * @param now         the time in nanoseconds
     * @param fingerprint the fingerprint of the request or attribute
     * @param author      identity of the process that observed it
     * @param sequence    numbers the change
     * @return whether this changed the registry
     */
    public boolean onSuccess(long now, Fingerprint fingerprint, String author, ChangeSequence sequence) {
        boolean released = quarantine
                .releaseRow(fingerprint, author, "it ended well", 0)
                .filter(row -> merge(now, row, sequence))
                .isPresent();
        return crashes.clear(now, fingerprint, sequence) || released;
    }

    /**
     * Counts an answer that ended well, after its request and attributes were cleared.
     *
     * @param service the service that gave it
     */
    public void countAnswer(String service) {
        crashes.causeFinder().countAnswer(service);
    }

    /**
     * Quarantines the requests that are poison as far as is known now.
     *
     * @param now      the time in nanoseconds
     * @param foundBy  identity of this process
     * @param sequence numbers the changes
     */
    public void quarantinePoison(long now, String foundBy, ChangeSequence sequence) {
        for (Fingerprint fingerprint : crashes.findPoison(now, quarantine::isQuarantined)) {
            crashes.suspect(fingerprint).ifPresent(suspect -> {
                List<String> upstreams = crashes.crashedUpstreams(fingerprint);
                merge(now, quarantine.quarantineRow(suspect.attribute, upstreams, foundBy), sequence);
            });
        }
    }

    /**
     * Merges the state of another process.
     *
     * @param now           the time in nanoseconds
     * @param remoteCrashes its crashes
     * @param rows          its quarantined and released requests
     * @param sequence      numbers the changes
     */
    public void merge(
            long now, List<UpstreamCrash> remoteCrashes, List<QuarantinedRequest> rows, ChangeSequence sequence) {
        rows.forEach(row -> merge(now, row, sequence));
        for (UpstreamCrash crash : remoteCrashes) {
            for (CrashedRun run : crash.getRunsList()) {
                onCrash(
                        now,
                        crash.getUpstream(),
                        RequestAttribute.of(run),
                        run.getInvolvement(),
                        Math.max(1, run.getRequests()),
                        sequence);
            }
        }
    }

    /**
     * Merges the quarantine row of one request.
     *
     * @param now      the time in nanoseconds
     * @param row      the row
     * @param sequence numbers the change
     * @return whether this changed the registry
     */
    public boolean merge(long now, QuarantinedRequest row, ChangeSequence sequence) {
        Fingerprint request = Quarantine.fingerprint(row);
        boolean wasQuarantined = quarantine.isQuarantined(request);
        if (!quarantine.merge(row, sequence)) {
            return false;
        }
        if (row.getReleased()) {
            crashes.clear(now, request, sequence);
        }
        crashes.updateExplained(request, quarantine::isQuarantined);
        if (wasQuarantined != quarantine.isQuarantined(request)) {
            changedRows.add(row);
        }
        return true;
    }

    /**
     * Returns and clears the quarantine rows of requests that were quarantined or released since the last call.
     *
     * @return the rows, in the order of the changes
     */
    public List<QuarantinedRequest> takeChangedRows() {
        List<QuarantinedRequest> rows = List.copyOf(changedRows);
        changedRows.clear();
        return rows;
    }

    /**
     * Checks whether a request is refused as poison.
     *
     * @param request its fingerprint
     * @return whether it is
     */
    public boolean isQuarantined(Fingerprint request) {
        return quarantine.isQuarantined(request);
    }

    /**
     * Returns for how long requests with a shared attribute are held back, as it may have caused crashes.
     *
     * @param now         the time in nanoseconds
     * @param fingerprint the fingerprint of the attribute
     * @return the time, which may be over, or empty if the attribute is not suspected
     */
    public Optional<HoldBack> holdBack(long now, Fingerprint fingerprint) {
        return crashes.causeFinder().holdBack(now, fingerprint);
    }

    /**
     * Checks whether a request has enough crashes to be poison while other requests at these crashes may not be
     * reported yet.
     *
     * @param now     the time in nanoseconds
     * @param request its fingerprint
     * @return whether it should wait
     */
    public boolean isSettling(long now, Fingerprint request) {
        return crashes.isSettling(now, request);
    }

    /**
     * Returns the upstream instances that crashed under a request, without the crashes that it was cleared of.
     *
     * @param request its fingerprint
     * @return their identities
     */
    public List<String> crashedUpstreams(Fingerprint request) {
        return crashes.crashedUpstreams(request);
    }

    /**
     * Returns the quarantine.
     *
     * @return quarantined and released requests
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /**
     * Counts the requests that may have caused a crash.
     *
     * @return their number
     */
    public long suspectCount() {
        return crashes.suspectCount();
    }

    /**
     * Returns the crashes that changed since a number.
     *
     * @param changeNumber the number
     * @return the crashes with their changed requests
     */
    public List<UpstreamCrash> crashesChangedSince(long changeNumber) {
        return crashes.changedSince(changeNumber);
    }

    /**
     * Returns when {@link #quarantinePoison} is due.
     *
     * @return the time in nanoseconds
     */
    public long nextDue() {
        return crashes.causeFinder().nextDue();
    }
}
