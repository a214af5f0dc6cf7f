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

/** Tests the load reports that entries exchange. */
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

    /** Removes and returns the load reports that an entry has sent. */
    private static List<EntryLoad> sentReports(DirectFixture entry) {
        return entry.out.take(Envelope::hasEntryLoad).stream()
                .map(Envelope::getEntryLoad)
                .toList();
    }

    /*
     * Guards against five prompts waiting for each other at one engine while other engines are idle: five entries found
     * it idle within 3 ms, as each received the reports of the others 50 ms later.
     */
    @Example
    void aSentPromptIsReportedWithinMilliseconds() {
        DirectFixture entry = entry();
        sentReports(entry);
        entry.sendRequest("r", "Tokens", "4000");
        entry.advance(5);
        List<EntryLoad> reports = sentReports(entry);
        assertThat(reports).hasSize(1);
        assertThat(reports.getFirst().getUpstreams(0).getPromptsList()).hasSize(1);
        assertThat(reports.getFirst().getSent(0).getUpstream()).isEqualTo(entry.lastSent().upstream);
        assertThat(reports.getFirst().getSent(0).getReadyUs()).isPositive();
    }

    /*
     * Guards against late answers with 33 entries of a quarter of a core each: if each entry reports each prompt to
     * each other entry, a third of their processor time is spent on reports.
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
        sentReports(entry);
        for (int request = 0; request < 100; request++) {
            entry.sendRequest("r" + request, "Tokens", "100");
            entry.advance(10);
        }
        return sentReports(entry).size();
    }

    /*
     * Guards against an engine that seems busy for ever because another entry reported a prompt there once and does not
     * report it any more.
     */
    @Example
    void loadThatAnotherEntryNoLongerReportsIsRemoved() {
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
    void promptsOfOtherEntriesCountAtTheirEngine() {
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

    /* Guards against prefilling a shared segment again although an engine has prefilled it for another entry. */
    @Example
    void segmentsOfPromptsFromOtherEntriesAreFetched() {
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
    void anInvalidReportOfAPromptIsIgnored() {
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

    /** Guards against each entry spending a request to learn what an upstream has announced to another entry. */
    @Example
    void limitsAndBackoffsOfUpstreamsAreReported() {
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
        sentReports(entry);
        entry.advance(150);
        EntryLoad reports = sentReports(entry).getLast();
        assertThat(reports.getLimits(0).getPerSecond()).isEqualTo(2.5);
        assertThat(reports.getDemands(0).getCallsPerSecond()).isPositive();
        assertThat(reports.getRests(0).getLeftUs()).isBetween(2_700_000L, 3_000_000L);
        assertThat(reports.getLeavingList()).containsExactly("u1");
    }

    @Example
    void limitsAndShutdownsReportedByAnotherEntryApply() {
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
