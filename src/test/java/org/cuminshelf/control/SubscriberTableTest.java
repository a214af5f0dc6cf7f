package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Subscribe;

/** The sums of offered work and the versions that one control process keeps of its subscribers. */
class SubscriberTableTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private final SubscriberTable subscribers = new SubscriberTable();
    private long now;

    private void report(long prefill) {
        now += Durations.nanos(500);
        Subscribe subscribe = Subscribe.newBuilder()
                .addOffered(OfferedWork.newBuilder().setModel("m").setPrefill(prefill))
                .build();
        subscribers.onSubscribe(now, ENTRY, 1, subscribe);
        subscribers.tick(now);
    }

    /*
     * A restarted control process counts all work that entries were offered in the last hour as offered at once: a
     * hundred engines appear to be needed for as long as the forecast covers that moment.
     */
    @Example
    void workOfferedBeforeTheFirstReportIsNotCounted() {
        report(3_600_000_000L);
        assertThat(subscribers.demand("m").prefill()).isZero();
        report(3_601_000_000L);
        assertThat(subscribers.demand("m").prefill()).isEqualTo(1_000_000L);
    }

    /*
     * A poison request crashes more upstreams than necessary, because the crash reports of a restarted entry are lost.
     * The entry returns at its address within the lease of its previous incarnation. Control confirms a higher version
     * than the entry has reached, because it kept the version by address and not by incarnation, and the entry sends
     * only later changes.
     */
    @Example
    void thePoisonVersionOfARestartedEntryStartsAnew() {
        now += Durations.nanos(500);
        Subscribe before = Subscribe.newBuilder().setPoisonVersion(40).build();
        assertThat(subscribers.onSubscribe(now, ENTRY, 1, before).receivedPoisonVersion)
                .isEqualTo(40);
        Subscribe after = Subscribe.newBuilder().setPoisonVersion(1).build();
        assertThat(subscribers.onSubscribe(now, ENTRY, 2, after).receivedPoisonVersion)
                .isEqualTo(1);
    }

    @Example
    void theCountersOfARestartedEntryStartAnew() {
        report(0);
        report(5_000_000);
        report(1_000_000);
        assertThat(subscribers.demand("m").prefill()).isEqualTo(6_000_000L);
    }
}
