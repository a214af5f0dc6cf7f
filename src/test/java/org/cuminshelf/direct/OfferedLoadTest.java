package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.routes.RequestKind;

/** What control is told of the work that callers offered, from which it plans the roles of engines. */
class OfferedLoadTest {

    private static final int CALLS = 40;
    /** Half a second is how often an entry asks control; calls of the fixture end after 800 ms. */
    private static final long ASKED_EVERY_MILLIS = 510;
    /** Places of an engine in the fixture. */
    private static final int PLACES = 6;

    private static DirectFixture fleet() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false)).becomeReady();
        // Long after its start: a young entry waits for upstreams that it has not heard of.
        entry.advance(5_000);
        entry.addUpstream("p0", Role.ROLE_PREFILL).addUpstream("d0", Role.ROLE_DECODE);
        entry.reportPrefillTimes("p0", Role.ROLE_PREFILL, 5, 12).reportPrefillTimes("d0", Role.ROLE_DECODE, 5, 24);
        return entry;
    }

    private static OfferedWork told(DirectFixture entry) {
        entry.advance(ASKED_EVERY_MILLIS);
        return entry.out.take(Envelope::hasSubscribe).stream()
                .map(Envelope::getSubscribe)
                .reduce((first, second) -> second)
                .map(Subscribe::getOfferedList)
                .filter(offered -> !offered.isEmpty())
                .map(offered -> offered.getFirst())
                .orElse(OfferedWork.getDefaultInstance());
    }

    /*
     * Callers are refused for want of a place, and engines that read prompts idle. Still no engine was moved: what was
     * refused counted as reading too, though none of it came so far, so that readers seemed to be short as well.
     */
    @Example
    void whatIsRefusedForWantOfAPlaceIsNoWorkForEnginesThatRead() {
        DirectFixture entry = fleet();
        for (int stream = 0; stream < PLACES; stream++) {
            entry.sendRequest("s" + stream, "Tokens", "10");
        }
        OfferedWork before = told(entry);
        int sentBefore = entry.sentRequests.size();
        for (int call = 0; call < CALLS; call++) {
            entry.sendRequest("r" + call, "Tokens", "600", "Shared", "1");
        }
        entry.advance(100);
        assertThat(entry.sentRequests).hasSize(sentBefore);
        OfferedWork after = told(entry);
        assertThat(after.getDecode()).isGreaterThan(before.getDecode());
        assertThat(after.getPrefill()).isEqualTo(before.getPrefill());
    }

    /* A prompt that is read by one engine and goes on at another is sent twice and offered once. */
    @Example
    void whatIsHandedOverIsOfferedOnce() {
        DirectFixture entry = fleet();
        entry.sendRequest("r", "Tokens", "4000", "Shared", "1");
        assertThat(entry.lastSent().upstream).isEqualTo("p0");
        OfferedWork read = told(entry);
        entry.lastSent().respond(200, "handle");
        assertThat(entry.lastSent().upstream).isEqualTo("d0");
        assertThat(told(entry)).isEqualTo(read);
    }

    /* The other way round: what no engine can read in time takes no place, though many are free. */
    @Example
    void whatIsRefusedForWantOfTimeIsNoWorkForEnginesThatGenerate() {
        DirectFixture entry = fleet();
        entry.sendRequest("warm", "Tokens", "4000");
        OfferedWork one = told(entry);
        for (int call = 0; call < CALLS; call++) {
            entry.sendRequest("r" + call, "Tokens", "4000");
        }
        OfferedWork all = told(entry);
        assertThat(entry.sentRequests.size()).isLessThan(CALLS / 2);
        assertThat(all.getPrefill()).isGreaterThan(CALLS / 2 * one.getPrefill());
        assertThat(all.getDecode()).isLessThanOrEqualTo((entry.sentRequests.size() + 1) * one.getDecode());
    }
}
