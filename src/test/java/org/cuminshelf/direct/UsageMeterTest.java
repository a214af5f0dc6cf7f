package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrganisationCount;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.RequestKind;

/** Tests which calls an entry counts for the usage of organisations. */
class UsageMeterTest {

    private static final Organisations ACME =
            Organisations.of(List.of(new Organisation("acme", List.of(ApiKeyDigest.of("k")), OptionalInt.empty())));

    private static DirectFixture entry(RequestKind kind) {
        DirectFixture entry = new DirectFixture(ACME, DirectFixture.route(kind, 3, true))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_DECODE)
                .addUpstream("u2", Role.ROLE_DECODE);
        entry.core.accept(
                entry.now,
                Envelope.newBuilder()
                        .setFrom(Address.PROCESS.value())
                        .setWallClock(WallClock.newBuilder().setEpochMs(1_700_000_000_000L))
                        .build(),
                entry.out);
        return entry;
    }

    /** Returns the next message with usage counts to control. */
    private static Subscribe nextReport(DirectFixture entry) {
        entry.out.take(Envelope::hasSubscribe);
        entry.advance(600);
        return entry.out.take(Envelope::hasSubscribe).getFirst().getSubscribe();
    }

    private static int counted(DirectFixture entry) {
        return nextReport(entry).getUsageList().stream()
                .flatMap(window -> window.getCountsList().stream())
                .mapToInt(OrganisationCount::getCount)
                .sum();
    }

    @Example
    void aStreamCountsOnceItsFirstEventArrives() {
        DirectFixture entry = entry(RequestKind.STREAM);
        entry.sendRequest("x", "Key", "k");
        assertThat(counted(entry)).isZero();
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 1\ndata: a\n\n");
        assertThat(counted(entry)).isEqualTo(1);
    }

    /* Guards against charging an organisation twice for a call whose stream broke and continued at another upstream. */
    @Example
    void aStreamThatContinuesElsewhereCountsOnce() {
        DirectFixture entry = entry(RequestKind.STREAM);
        entry.sendRequest("x", "Key", "k");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 1\ndata: a\n\n");
        entry.lastSent().handler.onFailed(true, "reset");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 2\ndata: b\n\n");
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(counted(entry)).isEqualTo(1);
    }

    @Example
    void aPlainCallThatAnUpstreamRefusedDoesNotCount() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT);
        entry.sendRequest("x", "Key", "k");
        entry.lastSent().respondHead(503, "Not-Run", "1");
        entry.lastSent().handler.onComplete();
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(counted(entry)).isZero();
        entry.lastSent().respond(200, "done");
        assertThat(counted(entry)).isEqualTo(1);
    }

    /* Guards against omitting calls whose answers were lost: they ran nevertheless. */
    @Example
    void aPlainCallWhoseAnswerWasLostCounts() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT);
        entry.sendRequest("x", "Key", "k");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(counted(entry)).isEqualTo(1);
    }

    /* Control acknowledges a report, and the next report omits the acknowledged counts. */
    @Example
    void onlyUnacknowledgedCountsAreReportedAgain() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT);
        entry.sendRequest("x", "Key", "k");
        entry.lastSent().respond(200, "done");
        Subscribe first = nextReport(entry);
        assertThat(first.getUsageCount()).isEqualTo(1);
        assertThat(nextReport(entry).getUsageCount()).isEqualTo(1);
        entry.sendUpdate(Update.newBuilder().setVoter(true).setConfigVersion(7).setUsageHeard(first.getUsageVersion()));
        assertThat(nextReport(entry).getUsageCount()).isZero();
        assertThat(first.getUsageUntil()).isLessThanOrEqualTo(first.getUsage(0).getWindow());
    }
}
