package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.HeardLimit;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.SentPrompt;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.message.WaitingPrompt;
import org.cuminshelf.routes.RequestKind;

/** What entries tell each other of the prompts under way. */
class LoadGossipTest {

    private static final String OTHER = "10.0.1.2:7000";

    private static DirectFixture entry() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false)).becomeReady();
        entry.sendUpdate(Update.newBuilder()
                .addEntryAddresses(DirectFixture.SELF.value())
                .addEntryAddresses(OTHER));
        entry.advance(5_000);
        entry.addUpstream("p0", Role.ROLE_PREFILL);
        entry.addUpstream("p1", Role.ROLE_PREFILL);
        entry.addUpstream("d0", Role.ROLE_DECODE);
        entry.reportPrefillTimes("p0", Role.ROLE_PREFILL, 5, 12);
        entry.reportPrefillTimes("d0", Role.ROLE_DECODE, 5, 100);
        return entry;
    }

    private static List<EntryLoad> told(DirectFixture entry) {
        return entry.out.take(Envelope::hasEntryLoad).stream()
                .map(Envelope::getEntryLoad)
                .toList();
    }

    /*
     * Five prompts wait for each other at one engine while the others idle: five entries found it free within 3 ms, as
     * each heard of the others' prompts 50 ms later.
     */
    @Example
    void aPromptIsToldBeforeOthersChooseByAnOldView() {
        DirectFixture entry = entry();
        told(entry);
        entry.sendRequest("r", "Tokens", "4000");
        entry.advance(5);
        List<EntryLoad> told = told(entry);
        assertThat(told).hasSize(1);
        assertThat(told.getFirst().getUpstreams(0).getPromptsList()).hasSize(1);
        assertThat(told.getFirst().getSent(0).getUpstream()).isEqualTo(entry.lastSent().upstream);
        assertThat(told.getFirst().getSent(0).getReadyUs()).isPositive();
    }

    /*
     * Entries of a quarter of a core answer late at 33 entries: each tells each other one of each prompt, and a third
     * of their processor time goes into such news.
     */
    @Example
    void theMessagesOfAnEntryDoNotGrowWithTheNumberOfEntries() {
        assertThat(messagesPerSecond(5)).isBetween(100L, 1_000L);
        assertThat(messagesPerSecond(18)).isLessThan(400);
        assertThat(messagesPerSecond(33)).isLessThan(250);
    }

    private static long messagesPerSecond(int entries) {
        DirectFixture entry = entry();
        Update.Builder update = Update.newBuilder().addEntryAddresses(DirectFixture.SELF.value());
        for (int other = 1; other < entries; other++) {
            update.addEntryAddresses("10.0.2." + other + ":7000");
        }
        entry.sendUpdate(update);
        told(entry);
        for (int request = 0; request < 100; request++) {
            entry.sendRequest("r" + request, "Tokens", "100");
            entry.advance(10);
        }
        return told(entry).size();
    }

    /* An engine stays crowded for good in the view of an entry: another one named it once and has left it since. */
    @Example
    void whatAnotherEntryDoesNotNameAnyMoreIsForgotten() {
        DirectFixture entry = entry();
        entry.reportLoad(EntryLoad.newBuilder()
                .addUpstreams(UpstreamLoad.newBuilder()
                        .setId("p0")
                        .setRunning(1)
                        .addPrompts(WaitingPrompt.newBuilder().setWorkUs(190_000)))
                .addUpstreams(UpstreamLoad.newBuilder()
                        .setId("p1")
                        .setRunning(1)
                        .addPrompts(WaitingPrompt.newBuilder().setWorkUs(90_000))));
        entry.reportLoad(EntryLoad.newBuilder()
                .addUpstreams(UpstreamLoad.newBuilder()
                        .setId("p1")
                        .setRunning(1)
                        .addPrompts(WaitingPrompt.newBuilder().setWorkUs(90_000))));
        entry.sendRequest("r", "Tokens", "4000");
        assertThat(entry.lastSent().upstream).isEqualTo("p0");
    }

    @Example
    void whatTheOthersSentCountsAtTheEngineThatGotIt() {
        DirectFixture entry = entry();
        for (String busy : List.of("p0", "p1")) {
            entry.reportLoad(EntryLoad.newBuilder()
                    .addUpstreams(UpstreamLoad.newBuilder()
                            .setId(busy)
                            .setRunning(1)
                            .addPrompts(WaitingPrompt.newBuilder().setWorkUs(90_000))));
            entry.sendRequest("r" + busy, "Tokens", "4000");
            assertThat(entry.lastSent().upstream).isNotEqualTo(busy).startsWith("p");
            entry.lastSent().handler.onFailed(true, "reset");
        }
    }

    /*
     * A prompt's shared part is read again though an engine holds it, since another entry had it read there.
     */
    @Example
    void partsThatTheOthersSentAreFetched() {
        DirectFixture entry = entry();
        entry.reportLoad(EntryLoad.newBuilder()
                .addSent(SentPrompt.newBuilder()
                        .setUpstream("p0")
                        .addParts("shared")
                        .addTokens(5_000)
                        .setReadyUs(20_000)));
        entry.reportLoad(EntryLoad.newBuilder()
                .addUpstreams(UpstreamLoad.newBuilder()
                        .setId("p0")
                        .setRunning(1)
                        .addPrompts(WaitingPrompt.newBuilder().setWorkUs(150_000))));
        entry.advance(30);
        entry.sendRequest("r", "Tokens", "6000", "Shared", "5000");
        assertThat(entry.lastSent().upstream).isEqualTo("p1");
        assertThat(entry.lastSent().request.headers().get("Parts-From"))
                .isEqualTo(DirectFixture.address("p0").value());
    }

    @Example
    void anIncompleteWordOfAPromptChangesNothing() {
        DirectFixture entry = entry();
        entry.reportLoad(EntryLoad.newBuilder()
                .addSent(SentPrompt.newBuilder().setUpstream("p0").addParts("shared"))
                .addSent(SentPrompt.newBuilder()
                        .setUpstream("gone")
                        .addParts("x")
                        .addTokens(1)));
        entry.sendRequest("r", "Tokens", "6000", "Shared", "5000");
        assertThat(entry.lastSent().request.headers().contains("Parts-From")).isFalse();
    }

    /** Guards against entries that each pay a request to learn what another one was told by an upstream. */
    @Example
    void whatUpstreamsAskForIsTold() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.NON_IDEMPOTENT, 1, false))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_MIXED);
        entry.setEntries(DirectFixture.SELF.value(), "10.0.1.2:7000");
        entry.sendRequest("a");
        DirectFixture.SentRequest first = entry.lastSent();
        entry.sendRequest("b");
        first.respondHead(503, "Not-Run", "1", "Rest", "3000", "Limit", "2.5");
        first.handler.onComplete();
        entry.lastSent().respondHead(200, "Seal", "s", "Leaving", "1");
        told(entry);
        entry.advance(150);
        EntryLoad told = told(entry).getLast();
        assertThat(told.getLimits(0).getPerSecond()).isEqualTo(2.5);
        assertThat(told.getDemands(0).getCallsPerSecond()).isPositive();
        assertThat(told.getRests(0).getLeftUs()).isBetween(2_700_000L, 3_000_000L);
        assertThat(told.getLeavingList()).containsExactly("u1");
    }

    @Example
    void whatAnUpstreamAskedOfAnotherEntryIsTaken() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.NON_IDEMPOTENT, 1, false))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_MIXED)
                .addUpstream("u2", Role.ROLE_MIXED);
        entry.reportLoad(EntryLoad.newBuilder()
                .addLimits(HeardLimit.newBuilder().setUpstream("u1").setPerSecond(2))
                .addLeaving("u2"));
        assertThat(entry.core.limitedUpstreams()).isEqualTo(1);
        DirectFixture.CallerResponse refused = entry.sendRequest("a");
        assertThat(refused.status).isEqualTo(503);
        assertThat(entry.sentRequests).isEmpty();
        entry.advance(501);
        entry.sendRequest("b");
        assertThat(entry.lastSent().upstream).isEqualTo("u1");
    }
}
