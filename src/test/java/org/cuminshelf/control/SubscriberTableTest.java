package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Subscribe;

/** The sum of what entries were offered, as one control process keeps it. */
class SubscriberTableTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private final SubscriberTable subscribers = new SubscriberTable();
    private long now;

    private void tell(long prefill) {
        now += Durations.nanos(500);
        Subscribe subscribe = Subscribe.newBuilder()
                .addOffered(OfferedWork.newBuilder().setModel("m").setPrefill(prefill))
                .build();
        subscribers.onSubscribe(now, ENTRY, 1, subscribe);
        subscribers.tick(now);
    }

    /*
     * A control process that was killed comes back and takes all that its entries were offered in the last hour for the
     * work of one moment: a hundred engines seem to be wanted, for as long as its forecast remembers.
     */
    @Example
    void whatAnEntryWasOfferedBeforeItWasHeardOfIsNoWorkOfThisMoment() {
        tell(3_600_000_000L);
        assertThat(subscribers.demand("m").prefill()).isZero();
        tell(3_601_000_000L);
        assertThat(subscribers.demand("m").prefill()).isEqualTo(1_000_000L);
    }

    /*
     * A poison request ends more upstreams than it must: what an entry saw after its restart was never heard. It comes
     * back at its address within the lease of its former life, control says that it has heard far more changes than the
     * entry ever made, and the entry tells only what comes after those. Cause: the count of changes heard belonged to
     * the address, not to the start.
     */
    @Example
    void ofAnEntryThatWasRestartedNothingIsHeardYet() {
        now += Durations.nanos(500);
        Subscribe before = Subscribe.newBuilder().setPoisonVersion(40).build();
        assertThat(subscribers.onSubscribe(now, ENTRY, 1, before).poisonHeard).isEqualTo(40);
        Subscribe after = Subscribe.newBuilder().setPoisonVersion(1).build();
        assertThat(subscribers.onSubscribe(now, ENTRY, 2, after).poisonHeard).isEqualTo(1);
    }

    @Example
    void anEntryThatWasRestartedCountsAnew() {
        tell(0);
        tell(5_000_000);
        tell(1_000_000);
        assertThat(subscribers.demand("m").prefill()).isEqualTo(6_000_000L);
    }
}
