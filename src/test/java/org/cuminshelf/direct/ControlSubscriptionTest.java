package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.cuminshelf.backpressure.LeavingUpstreams;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.message.ConfigBody;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Update;
import org.cuminshelf.routes.RouteTable;
import org.cuminshelf.streams.StreamRecordHolders;

/** Tests which configurations an entry installs when they are parsed asynchronously. */
class ControlSubscriptionTest {

    private static final Address FIRST = Address.of("10.0.0.1:7000");
    private static final Address SECOND = Address.of("10.0.0.2:7000");

    private final List<Consumer<Optional<RouteTable>>> pendingReads = new ArrayList<>();
    private final RecordingOutbox out = new RecordingOutbox();
    private long now = Durations.nanos(10_000);
    private final UpstreamTable upstreams = new UpstreamTable(LeavingUpstreams.create(), DecisionLog.none());
    private final ControlSubscription subscription = new ControlSubscription(
            new DirectSettings("r", "z", "vm", List.of(FIRST), new RetryLimits(0.2, 100, 10_000)),
            (deflated, onRead) -> pendingReads.add(onRead),
            upstreams,
            new PoisonGuard(
                    DirectFixture.noClient(), upstreams, () -> now, DirectFixture.SELF, "vm", DecisionLog.none()),
            new UsageMeter(OptionalLong.empty(), DecisionLog.none()),
            now,
            Invariants.throwing(),
            DecisionLog.none());

    /*
     * Guards against a return to routes that a change has removed: the control process that was asked first responds
     * late, with an older version, while the newer version from the next one is being parsed.
     */
    @Example
    void anOlderBodyParsedAfterANewerOneIsNotInstalled() {
        announceVersion(FIRST, 8);
        announceVersion(SECOND, 9);
        subscription.onConfigBody(now, SECOND, configBody(9));
        subscription.onConfigBody(now, FIRST, configBody(8));
        assertThat(pendingReads).hasSize(2);
        pendingReads.get(0).accept(Optional.of(routeTable(9)));
        assertThat(subscription.configVersion()).isEqualTo(9);
        pendingReads.get(1).accept(Optional.of(routeTable(8)));
        assertThat(subscription.configVersion()).isEqualTo(9);
        assertThat(subscription.routes().version()).isEqualTo(9);
    }

    @Example
    void theSameBodyIsInstalledOnce() {
        announceVersion(FIRST, 9);
        subscription.onConfigBody(now, FIRST, configBody(9));
        subscription.onConfigBody(now, SECOND, configBody(9));
        pendingReads.forEach(onRead -> onRead.accept(Optional.of(routeTable(9))));
        assertThat(subscription.configVersion()).isEqualTo(9);
    }

    /* An unreadable body fetched repeatedly would use bandwidth that requests need. */
    @Example
    void anUnreadableBodyIsNotFetchedAgain() {
        announceVersion(FIRST, 9);
        subscription.tick(now, out);
        subscription.onConfigBody(now, FIRST, configBody(9));
        pendingReads.getFirst().accept(Optional.empty());
        out.take(message -> true);
        now += Durations.nanos(5_000);
        announceVersion(FIRST, 9);
        subscription.tick(now, out);
        assertThat(out.take(Envelope::hasConfigFetch)).isEmpty();
        assertThat(subscription.configVersion()).isZero();
    }

    /* A starting entry is ready only once it has parsed the version that a quorum confirmed. */
    @Example
    void anEntryIsReadyOnceTheConfirmedVersionIsInstalled() {
        subscription.onUpdate(
                now,
                FIRST,
                Update.newBuilder().setConfigVersion(9).setConfirmed(true).build());
        assertThat(subscription.isReady()).isFalse();
        subscription.onConfigBody(now, FIRST, configBody(9));
        assertThat(subscription.isReady()).isFalse();
        pendingReads.getFirst().accept(Optional.of(routeTable(9)));
        assertThat(subscription.isReady()).isTrue();
    }

    /** Guards against two rings that alternate, so that a record is looked for where it was never sent. */
    @Example
    void theEntriesAreThoseThatAnyOfTheControlProcessesHears() {
        sendEntries(FIRST, 11, "10.0.1.1:7000", "10.0.1.2:7000");
        sendEntries(SECOND, 12, "10.0.1.2:7000", "10.0.1.3:7000");
        assertThat(subscription.entries()).isEqualTo(addresses("10.0.1.1:7000", "10.0.1.2:7000", "10.0.1.3:7000"));
        sendEntries(FIRST, 11);
        assertThat(subscription.entries()).hasSize(3);
    }

    /** Guards against the whole list in each update, as a control process is told the hash of another one's list. */
    @Example
    void eachControlProcessIsToldTheHashOfItsOwnList() {
        sendEntries(FIRST, 11, "10.0.1.1:7000", "10.0.1.2:7000");
        sendEntries(SECOND, 12, "10.0.1.2:7000", "10.0.1.3:7000");
        announceControl();
        subscription.tick(now, out);
        Map<String, Long> hashes = new TreeMap<>();
        out.takeSent().stream()
                .filter(sent -> sent.message().hasSubscribe())
                .forEach(sent -> hashes.put(
                        sent.to().value(), sent.message().getSubscribe().getEntriesHash()));
        assertThat(hashes).isEqualTo(Map.of(FIRST.value(), 11L, SECOND.value(), 12L));
    }

    /** Guards against entries that have gone but stay in the list of a control process that is cut off. */
    @Example
    void theListOfAControlProcessThatIsSilentNoLongerCounts() {
        sendEntries(FIRST, 11, "10.0.1.1:7000", "10.0.1.2:7000");
        sendEntries(SECOND, 12, "10.0.1.2:7000", "10.0.1.3:7000");
        now += Durations.nanos(2_000);
        sendEntries(SECOND, 12);
        assertThat(subscription.entries()).isEqualTo(addresses("10.0.1.2:7000", "10.0.1.3:7000"));
        sendEntries(FIRST, 11);
        assertThat(subscription.entries()).hasSize(3);
    }

    @Example
    void theHoldersOfRecordsStayTheSameWhileTheListsAreEqual() {
        sendEntries(FIRST, 11, "10.0.1.1:7000", "10.0.1.2:7000");
        StreamRecordHolders holders = subscription.recordHolders();
        sendEntries(SECOND, 11, "10.0.1.1:7000", "10.0.1.2:7000");
        sendEntries(FIRST, 11);
        assertThat(subscription.recordHolders()).isSameAs(holders);
    }

    private void sendEntries(Address control, long hash, String... entries) {
        subscription.onUpdate(
                now,
                control,
                Update.newBuilder()
                        .setEntriesHash(hash)
                        .addAllEntryAddresses(List.of(entries))
                        .build());
    }

    private void announceControl() {
        subscription.onUpdate(
                now,
                FIRST,
                Update.newBuilder()
                        .setEntriesHash(11)
                        .addControl(FIRST.value())
                        .addControl(SECOND.value())
                        .build());
    }

    private static List<Address> addresses(String... values) {
        return List.of(values).stream().map(Address::of).toList();
    }

    private void announceVersion(Address control, long version) {
        subscription.onUpdate(
                now, control, Update.newBuilder().setConfigVersion(version).build());
    }

    private static ConfigBody configBody(long version) {
        return ConfigBody.newBuilder()
                .setVersion(version)
                .setDeflated(ByteString.copyFromUtf8("x"))
                .build();
    }

    private static RouteTable routeTable(long version) {
        return RouteTable.of(version, List.of(), Map.of(), CallerLimits.DEFAULT);
    }
}
