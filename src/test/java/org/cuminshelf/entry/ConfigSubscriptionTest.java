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

/** The configuration in force on an entry. */
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
    void anOlderConfigurationThatComesLateChangesNothing() {
        give(A, update(5, true));
        give(B, update(4, true));
        assertThat(core.configVersion()).isEqualTo(5);
    }

    /*
     * A limit that was lifted is back after a restart. A fresh entry is taught by one stale control process and serves
     * at once. Cause: no disk on entry VMs, and a peer that has not heard the newest version.
     */
    @Example
    void aFreshEntryIsNotReadyOnTheWordOfOneControlProcess() {
        give(A, update(4, false));
        assertThat(core.isReady()).isFalse();
    }

    @Example
    void aFreshEntryIsReadyOnceAQuorumConfirmed() {
        give(A, update(4, true));
        assertThat(core.isReady()).isTrue();
    }

    @Example
    void aPartedEntryIsReadyOnceEveryControlProcessOfItsRegionAnsweredAsAVoter() {
        give(A, update(4, false));
        give(B, update(6, false));
        assertThat(core.isReady()).isTrue();
        assertThat(core.configVersion()).isEqualTo(6);
    }

    /*
     * The same, but one control process has just lost its disk and knows nothing. Its answer must not count: the
     * earlier incarnation of this entry may have learnt from it what it no longer knows.
     */
    @Example
    void aControlProcessThatLostItsDiskDoesNotCount() {
        give(A, update(4, false));
        give(B, update(0, false).toBuilder().setVoter(false).build());
        assertThat(core.isReady()).isFalse();
    }

    private void give(Address from, Update update) {
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
