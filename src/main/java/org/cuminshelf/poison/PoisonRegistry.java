package org.cuminshelf.poison;

import java.util.ArrayList;
import java.util.List;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.UpstreamCrash;

/**
 * What one process knows of poison requests: the crashes and the quarantine. Entries and control processes have one
 * each, and tell each other what changed.
 */
public final class PoisonRegistry {

    private final CrashTable crashes = new CrashTable();
    private final Quarantine quarantine = new Quarantine();
    private final List<QuarantinedRequest> changedRows = new ArrayList<>();

    /** Makes an empty register. */
    public PoisonRegistry() {}

    /**
     * Tells whether no crash is known, so that nobody needs a request's fingerprint.
     *
     * @return whether neither crashes nor quarantined requests are known
     */
    public boolean isEmpty() {
        return crashes.isEmpty() && quarantine.isEmpty();
    }

    /**
     * Tells whether a start is known to have crashed.
     *
     * @param upstream identity of the start
     * @return whether it is
     */
    public boolean hasCrashed(String upstream) {
        return crashes.contains(upstream);
    }

    /**
     * Notes that a request was at a start that crashed.
     *
     * @param now         the time in nanoseconds
     * @param upstream    identity of the start
     * @param request     the request
     * @param involvement how far it had come
     * @param sequence     number the change
     * @return whether that is news
     */
    public boolean onCrash(
            long now, String upstream, Fingerprint request, Involvement involvement, ChangeSequence sequence) {
        Involvement counted = quarantine.isReleasedAfterCrash(request, upstream) ? Involvement.CLEARED : involvement;
        boolean changed = crashes.record(now, upstream, request, counted, sequence);
        if (changed && quarantine.isQuarantined(request)) {
            crashes.updateExplained(request, quarantine::isQuarantined);
        }
        return changed;
    }

    /**
     * Notes that a request ended well: it caused no crash. One that was quarantined is released.
     *
     * @param now     the time in nanoseconds
     * @param request the request
     * @param author      names who saw it
     * @param sequence number the change
     * @return whether that is news
     */
    public boolean onSuccess(long now, Fingerprint request, String author, ChangeSequence sequence) {
        boolean released = quarantine
                .releaseRow(request, author, "it ended well", 0)
                .filter(row -> merge(now, row, sequence))
                .isPresent();
        if (crashes.points(request) == 0) {
            return released;
        }
        return crashes.clear(now, request, sequence) || released;
    }

    /**
     * Quarantines the requests that are poison by what is known now.
     *
     * @param now     the time in nanoseconds
     * @param foundBy names this process
     * @param sequence number the changes
     */
    public void quarantinePoison(long now, String foundBy, ChangeSequence sequence) {
        for (Fingerprint request : crashes.findPoison(now, quarantine::isQuarantined)) {
            merge(now, quarantine.quarantineRow(request, crashes.crashedUpstreams(request), foundBy), sequence);
        }
    }

    /**
     * Takes what another process knows.
     *
     * @param now      the time in nanoseconds
     * @param remoteCrashes     crashes
     * @param rows quarantined and released requests
     * @param sequence  number the changes
     */
    public void merge(
            long now, List<UpstreamCrash> remoteCrashes, List<QuarantinedRequest> rows, ChangeSequence sequence) {
        rows.forEach(row -> merge(now, row, sequence));
        for (UpstreamCrash crash : remoteCrashes) {
            for (CrashedRun run : crash.getRunsList()) {
                Fingerprint request = new Fingerprint(run.getHigh(), run.getLow());
                onCrash(now, crash.getUpstream(), request, run.getInvolvement(), sequence);
            }
        }
    }

    /**
     * Takes what is known of one request.
     *
     * @param now     the time in nanoseconds
     * @param row     what is known
     * @param sequence number the change
     * @return whether it is news
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
     * Takes the rows of the quarantine that changed since the last question.
     *
     * @return the rows as they became, in order
     */
    public List<QuarantinedRequest> takeChangedRows() {
        List<QuarantinedRequest> rows = List.copyOf(changedRows);
        changedRows.clear();
        return rows;
    }

    /**
     * Tells whether a request is refused as poison.
     *
     * @param request its fingerprint
     * @return whether it is
     */
    public boolean isQuarantined(Fingerprint request) {
        return quarantine.isQuarantined(request);
    }

    /**
     * Tells whether a request has what makes it poison, and who else was at the crashes may not be known yet.
     *
     * @param now     the time in nanoseconds
     * @param request its fingerprint
     * @return whether it should wait
     */
    public boolean isSettling(long now, Fingerprint request) {
        return crashes.isSettling(now, request);
    }

    /**
     * The starts that crashed under a request and that it was not cleared of.
     *
     * @param request its fingerprint
     * @return their identities
     */
    public List<String> crashedUpstreams(Fingerprint request) {
        return crashes.crashedUpstreams(request);
    }

    /**
     * The quarantine.
     *
     * @return quarantined and released requests
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /**
     * Counts requests that may have caused a crash.
     *
     * @return their number
     */
    public long suspectCount() {
        return crashes.suspectCount();
    }

    /**
     * Crashes of which something changed since a number.
     *
     * @param changeNumber the number
     * @return the crashes with what changed
     */
    public List<UpstreamCrash> crashesChangedSince(long changeNumber) {
        return crashes.changedSince(changeNumber);
    }

    /**
     * When {@link #quarantinePoison} is due.
     *
     * @return the time in nanoseconds
     */
    public long nextDue() {
        return crashes.nextDue();
    }
}
