package org.cuminshelf.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Update;

/** Tests which configuration is in force at an entry, and when the entry is ready. */
class ConfigSubscriptionTest {

    private static final Address A = Address.of("10.0.0.1:7000");
    private static final Address B = Address.of("10.0.0.2:7000");
    private final RecordingOutbox out = new RecordingOutbox();
    private final EntryCore core = EntryCore.start(
            EntrySettings.of("r", "z", "e", List.of(A, B), 10, 8, "region"),
            Address.of("10.0.1.1:7000"),
            1,
            0,
            Invariants.throwing());

    @Example
    void anOlderConfigurationThatArrivesLateIsIgnored() {
        deliver(A, update(5, true));
        deliver(B, update(4, true));
        assertThat(core.configVersion()).isEqualTo(5);
    }

    /*
     * Guards against the return of a removed limit after a restart. Entries have no disk; a new entry that served after
     * the answer of one stale control process would apply an older configuration.
     */
    @Example
    void aNewEntryIsNotReadyAfterTheAnswerOfOneControlProcess() {
        deliver(A, update(4, false));
        assertThat(core.isReady()).isFalse();
    }

    @Example
    void aNewEntryIsReadyOnceAQuorumConfirmed() {
        deliver(A, update(4, true));
        assertThat(core.isReady()).isTrue();
    }

    @Example
    void anEntryWithoutAQuorumIsReadyOnceEveryControlProcessOfItsRegionAnsweredAsAVoter() {
        deliver(A, update(4, false));
        deliver(B, update(6, false));
        assertThat(core.isReady()).isTrue();
        assertThat(core.configVersion()).isEqualTo(6);
    }

    /*
     * Guards against returning to an older configuration. One control process has lost its disk; its answer must not
     * count, because the earlier incarnation of this entry may have received from it a configuration that it has lost.
     */
    @Example
    void aControlProcessThatLostItsDiskDoesNotCount() {
        deliver(A, update(4, false));
        deliver(B, update(0, false).toBuilder().setVoter(false).build());
        assertThat(core.isReady()).isFalse();
    }

    private void deliver(Address from, Update update) {
        core.accept(
                1, Envelope.newBuilder().setFrom(from.value()).setUpdate(update).build(), out);
    }

    private static Update update(long version, boolean confirmed) {
        return Update.newBuilder()
                .setConfigVersion(version)
                .setConfig(ByteString.copyFromUtf8("{}"))
                .setConfirmed(confirmed)
                .setVoter(true)
                .build();
    }
}
