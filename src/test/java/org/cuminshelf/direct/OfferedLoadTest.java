package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.routes.RequestKind;

/** Tests the offered load that is reported to control, which plans the roles of engines from it. */
class OfferedLoadTest {

    private static final int CALLS = 40;
    /**
     * Slightly more than the interval of half a second at which an entry reports to control; calls of the fixture end
     * after 800 ms.
     */
    private static final long REPORT_INTERVAL_MILLIS = 510;
    /** Slots of an engine in the fixture. */
    private static final int SLOTS = 6;

    private static DirectFixture fleet() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false)).becomeReady();
        // An entry that has just started queues calls for upstreams that it has not discovered yet.
        entry.advance(5_000);
        entry.addUpstream("p0", Role.ROLE_PREFILL).addUpstream("d0", Role.ROLE_DECODE);
        entry.reportPrefillTimes("p0", Role.ROLE_PREFILL, 5, 12).reportPrefillTimes("d0", Role.ROLE_DECODE, 5, 24);
        return entry;
    }

    /** Returns the offered load in the next report to control. */
    private static OfferedWork reported(DirectFixture entry) {
        entry.advance(REPORT_INTERVAL_MILLIS);
        return entry.out.take(Envelope::hasSubscribe).stream()
                .map(Envelope::getSubscribe)
                .reduce((first, second) -> second)
                .map(Subscribe::getOfferedList)
                .filter(offered -> !offered.isEmpty())
                .map(offered -> offered.getFirst())
                .orElse(OfferedWork.getDefaultInstance());
    }

    /*
     * Guards against a wrong split of roles in which callers are refused for lack of a slot while prefill engines are
     * idle: refused calls counted as prefill too, although none of it was performed, so that prefill engines seemed to
     * lack capacity as well.
     */
    @Example
    void aCallRefusedForLackOfASlotIsNoLoadForPrefillEngines() {
        DirectFixture entry = fleet();
        for (int stream = 0; stream < SLOTS; stream++) {
            entry.sendRequest("s" + stream, "Tokens", "10");
        }
        OfferedWork before = reported(entry);
        int sentBefore = entry.sentRequests.size();
        for (int call = 0; call < CALLS; call++) {
            entry.sendRequest("r" + call, "Tokens", "600", "Shared", "1");
        }
        entry.advance(100);
        assertThat(entry.sentRequests).hasSize(sentBefore);
        OfferedWork after = reported(entry);
        assertThat(after.getDecode()).isGreaterThan(before.getDecode());
        assertThat(after.getPrefill()).isEqualTo(before.getPrefill());
    }

    /* A prompt that is prefilled by one engine and handed over to another is sent twice and counts once. */
    @Example
    void aHandedOverCallCountsOnce() {
        DirectFixture entry = fleet();
        entry.sendRequest("r", "Tokens", "4000", "Shared", "1");
        assertThat(entry.lastSent().upstream).isEqualTo("p0");
        OfferedWork beforeHandover = reported(entry);
        entry.lastSent().respond(200, "handle");
        assertThat(entry.lastSent().upstream).isEqualTo("d0");
        assertThat(reported(entry)).isEqualTo(beforeHandover);
    }

    /* Conversely, a call that no engine can prefill in time occupies no slot, although many are free. */
    @Example
    void aCallRefusedForLackOfTimeIsNoLoadForEnginesThatGenerate() {
        DirectFixture entry = fleet();
        entry.sendRequest("warm", "Tokens", "4000");
        OfferedWork one = reported(entry);
        for (int call = 0; call < CALLS; call++) {
            entry.sendRequest("r" + call, "Tokens", "4000");
        }
        OfferedWork all = reported(entry);
        assertThat(entry.sentRequests.size()).isLessThan(CALLS / 2);
        assertThat(all.getPrefill()).isGreaterThan(CALLS / 2 * one.getPrefill());
        assertThat(all.getDecode()).isLessThanOrEqualTo((entry.sentRequests.size() + 1) * one.getDecode());
    }
}
