package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Tests how often an entry looks at a call whose upstream is silent. */
class SilentCallTest {

    private static final long LATENCY_MILLIS = 400;
    private static final long SLOWER_MILLIS = 800;
    private static final int SLOWER_CALLS = 4;
    private static final long SILENCE_MILLIS = 3_000;
    /** Ten checks a second, and what an entry without a call does. */
    private static final int MAX_TICKS = (int) (100 * SILENCE_MILLIS / 1_000);

    /*
     * Guards against an entry that does nothing but look at a call, and keeps its lock meanwhile: both the call and its
     * upstream are silent, and the call may take longer than was thought when it was sent.
     */
    @Example
    void anEntryIsSeldomDueWhileAnUpstreamIsSilentThatHasBecomeSlower() {
        DirectFixture entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.IDEMPOTENT, 1));
        entry.becomeReady().addUpstream("u", Role.ROLE_DECODE);
        entry.sendRequest("first", "Deadline", "8000");
        entry.advance(LATENCY_MILLIS);
        entry.lastSent().respond(200, "a");
        List<DirectFixture.SentRequest> slower = new ArrayList<>();
        for (int number = 0; number < SLOWER_CALLS; number++) {
            entry.sendRequest("slower-" + number, "Deadline", "8000");
            slower.add(entry.lastSent());
        }
        entry.advance(SLOWER_MILLIS - 10);
        entry.sendRequest("a", "Deadline", "8000");
        entry.advance(10);
        slower.forEach(request -> request.respond(200, "a"));
        assertThat(ticksIn(entry, SILENCE_MILLIS)).isLessThanOrEqualTo(MAX_TICKS);
    }

    /** Returns how often an entry is ticked in some time, and stops once that is too often. */
    private static int ticksIn(DirectFixture entry, long millis) {
        long end = entry.now + Durations.nanos(millis);
        int ticks = 0;
        while (entry.now < end && ticks <= MAX_TICKS) {
            entry.now = Math.max(entry.now, entry.core.nextDue());
            entry.core.tick(entry.now, entry.out);
            ticks++;
        }
        return ticks;
    }
}
