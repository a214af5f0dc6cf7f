package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.routes.RequestKind;

/** Tests what counts as an interval between two events, and as a wait for the next one. */
class EventIntervalsTest {

    private static final long INTERVAL_MILLIS = 60;

    private final DirectFixture entry =
            new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false, 8_000)).becomeReady();
    private int events;

    /** Starts a stream on a new engine, while the other engines have no free slots. */
    private DirectFixture.SentRequest startStream(String engine, String... others) {
        entry.addUpstream(engine, Role.ROLE_DECODE);
        EntryLoad.Builder load = EntryLoad.newBuilder();
        for (String other : others) {
            load.addUpstreams(UpstreamLoad.newBuilder().setId(other).setRunning(6));
        }
        entry.reportLoad(load);
        entry.sendRequest(engine, "Tokens", "20", "Deadline", "8000");
        entry.reportLoad(EntryLoad.newBuilder());
        assertThat(entry.lastSent().upstream).isEqualTo(engine);
        entry.lastSent().respondSealedHead(200);
        return entry.lastSent();
    }

    private void sendEvents(DirectFixture.SentRequest stream, int count) {
        StringBuilder text = new StringBuilder();
        for (int event = 0; event < count; event++) {
            text.append("id: ").append(++events).append("\ndata: a\n\n");
        }
        stream.respondBody(text.toString());
    }

    private void sendSteadily(int rounds, DirectFixture.SentRequest... streams) {
        for (int round = 0; round < rounds; round++) {
            for (DirectFixture.SentRequest stream : streams) {
                entry.advance(INTERVAL_MILLIS / streams.length);
                sendEvents(stream, 1);
            }
        }
    }

    /*
     * Guards against engines that are taken for slow because the network or this entry held their events back: three
     * events that arrive together are three intervals of a third of the time.
     */
    @Example
    void eventsThatArriveTogetherShareTheTimeSinceTheLastOne() {
        DirectFixture.SentRequest first = startStream("d0");
        DirectFixture.SentRequest second = startStream("d1", "d0");
        sendSteadily(20, first, second);
        for (int round = 0; round < 8; round++) {
            sendSteadily(3, second);
            sendEvents(first, 3);
        }
        assertThat(entry.core.slowUpstreams()).isZero();
    }

    /*
     * Guards against an entry that takes all engines for slow, and refuses calls, as it got no processor time for a
     * moment: what its engines sent meanwhile is unread.
     */
    @Example
    void aPauseOfThisEntryIsNoWait() {
        DirectFixture.SentRequest first = startStream("d0");
        DirectFixture.SentRequest second = startStream("d1", "d0");
        sendSteadily(30, first, second);
        entry.standStill(95);
        entry.sendRequest("r", "Tokens", "20");
        assertThat(entry.core.slowUpstreams()).isZero();
    }

    /*
     * Guards against an engine that is avoided because the connection of one of its streams is dead: it sends to the
     * other one.
     */
    @Example
    void aDeadConnectionCountsUpToOneIntervalBeyondTheOtherStreams() {
        EventWaits waits = new EventWaits();
        waits.onEvent(0, 1);
        for (int event = 1; event <= 10; event++) {
            waits.onEvent(event * 100_000_000L, 2);
        }
        assertThat(waits.awaitedMillis(1_050_000_000L, 100)).isEqualTo(150);
        waits.remove(2);
        assertThat(waits.awaitedMillis(1_050_000_000L, 100)).isEqualTo(1_050);
    }
}
