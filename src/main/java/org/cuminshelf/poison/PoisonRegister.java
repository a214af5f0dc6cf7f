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
public final class PoisonRegister {

    private final CrashTable crashes = new CrashTable();
    private final Quarantine quarantine = new Quarantine();
    private final List<QuarantinedRequest> changed = new ArrayList<>();

    /** Makes an empty register. */
    public PoisonRegister() {}

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
     * @param numbers     number the change
     * @return whether that is news
     */
    public boolean crashed(
            long now, String upstream, Fingerprint request, Involvement involvement, ChangeNumbers numbers) {
        Involvement counted = quarantine.isReleasedFrom(request, upstream) ? Involvement.CLEARED : involvement;
        boolean news = crashes.note(now, upstream, request, counted, numbers);
        if (news && quarantine.holds(request)) {
            crashes.explain(request, quarantine::holds);
        }
        return news;
    }

    /**
     * Notes that a request ended well: it caused no crash. One that was quarantined is released.
     *
     * @param now     the time in nanoseconds
     * @param request the request
     * @param by      names who saw it
     * @param numbers number the change
     * @return whether that is news
     */
    public boolean endedWell(long now, Fingerprint request, String by, ChangeNumbers numbers) {
        boolean released = quarantine
                .released(request, by, "it ended well", 0)
                .filter(row -> merge(now, row, numbers))
                .isPresent();
        if (crashes.points(request) == 0) {
            return released;
        }
        return crashes.clear(now, request, numbers) || released;
    }

    /**
     * Quarantines the requests that are poison by what is known now.
     *
     * @param now     the time in nanoseconds
     * @param foundBy names this process
     * @param numbers number the changes
     */
    public void findPoison(long now, String foundBy, ChangeNumbers numbers) {
        for (Fingerprint request : crashes.findPoison(now, quarantine::holds)) {
            merge(now, quarantine.quarantined(request, crashes.crashesUnder(request), foundBy), numbers);
        }
    }

    /**
     * Takes what another process knows.
     *
     * @param now      the time in nanoseconds
     * @param told     crashes
     * @param requests quarantined and released requests
     * @param numbers  number the changes
     */
    public void merge(long now, List<UpstreamCrash> told, List<QuarantinedRequest> requests, ChangeNumbers numbers) {
        requests.forEach(row -> merge(now, row, numbers));
        for (UpstreamCrash crash : told) {
            for (CrashedRun run : crash.getRunsList()) {
                Fingerprint request = new Fingerprint(run.getHigh(), run.getLow());
                crashed(now, crash.getUpstream(), request, run.getInvolvement(), numbers);
            }
        }
    }

    /**
     * Takes what is known of one request.
     *
     * @param now     the time in nanoseconds
     * @param row     what is known
     * @param numbers number the change
     * @return whether it is news
     */
    public boolean merge(long now, QuarantinedRequest row, ChangeNumbers numbers) {
        Fingerprint request = Quarantine.fingerprint(row);
        boolean wasHeld = quarantine.holds(request);
        if (!quarantine.merge(row, numbers)) {
            return false;
        }
        if (row.getReleased()) {
            crashes.clear(now, request, numbers);
        }
        crashes.explain(request, quarantine::holds);
        if (wasHeld != quarantine.holds(request)) {
            changed.add(row);
        }
        return true;
    }

    /**
     * Takes the rows of the quarantine that changed since the last question.
     *
     * @return the rows as they became, in order
     */
    public List<QuarantinedRequest> takeChanged() {
        List<QuarantinedRequest> taken = List.copyOf(changed);
        changed.clear();
        return taken;
    }

    /**
     * Tells whether a request is refused as poison.
     *
     * @param request its fingerprint
     * @return whether it is
     */
    public boolean isQuarantined(Fingerprint request) {
        return quarantine.holds(request);
    }

    /**
     * Tells whether a request has what makes it poison, and who else was at the crashes may not be known yet.
     *
     * @param now     the time in nanoseconds
     * @param request its fingerprint
     * @return whether it should wait
     */
    public boolean isUnsettled(long now, Fingerprint request) {
        return crashes.isUnsettled(now, request);
    }

    /**
     * The starts that crashed under a request and that it was not cleared of.
     *
     * @param request its fingerprint
     * @return their identities
     */
    public List<String> crashesUnder(Fingerprint request) {
        return crashes.crashesUnder(request);
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
    public long suspects() {
        return crashes.suspects();
    }

    /**
     * Crashes of which something changed since a number.
     *
     * @param changeNumber the number
     * @return the crashes with what changed
     */
    public List<UpstreamCrash> crashesSince(long changeNumber) {
        return crashes.since(changeNumber);
    }

    /**
     * When {@link #findPoison} is due.
     *
     * @return the time in nanoseconds
     */
    public long nextDue() {
        return crashes.nextDue();
    }
}
