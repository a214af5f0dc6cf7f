package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.RequestAttribute;

/** The requests of this entry that failed at one upstream instance, and the attributes that they shared. */
final class FailedRuns {

    /** Upper bound of requests; a crash report carries as many. */
    private static final int MAX_REQUESTS = 128;

    /**
     * How requests with an attribute were at an instance.
     *
     * @param attribute   the attribute, or one whole request
     * @param involvement how long they had been running; the shortest time of several
     * @param requests    requests with the attribute and that involvement
     */
    record Presence(RequestAttribute attribute, Involvement involvement, int requests) {

        private Presence with(Involvement other) {
            if (other == involvement) {
                return new Presence(attribute, involvement, requests + 1);
            }
            return other.getNumber() > involvement.getNumber() ? new Presence(attribute, other, 1) : this;
        }
    }

    private final Map<Fingerprint, Involvement> requests = new HashMap<>();
    private final Map<Fingerprint, Presence> presences = new LinkedHashMap<>();

    /** Adds a request, and returns what is now known of it and its attributes; nothing if it was known already. */
    List<Presence> add(DirectCall call, Involvement involvement) {
        Involvement before = requests.get(call.fingerprint());
        boolean known = before != null && before.getNumber() >= involvement.getNumber();
        if (known || before == null && requests.size() >= MAX_REQUESTS) {
            return List.of();
        }
        requests.put(call.fingerprint(), involvement);
        List<Presence> changed = new ArrayList<>();
        for (RequestAttribute attribute : call.attributes()) {
            Presence presence = presences.get(attribute.fingerprint());
            Presence next = presence == null ? new Presence(attribute, involvement, 1) : presence.with(involvement);
            presences.put(attribute.fingerprint(), next);
            changed.add(next);
        }
        return changed;
    }

    int requestCount() {
        return requests.size();
    }

    Collection<Presence> presences() {
        return presences.values();
    }

    void clear() {
        requests.clear();
        presences.clear();
    }
}
