package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/** Which control process is asked for the body of a configuration, and when. */
class ConfigSourceSelectorTest {

    private static final List<Address> CONTROL =
            List.of(Address.of("10.0.0.1:7"), Address.of("10.0.0.2:7"), Address.of("10.0.0.3:7"));

    private final ConfigSourceSelector source = new ConfigSourceSelector();
    private long now = Durations.nanos(10_000);

    /*
     * Nothing is served for seconds after a configuration of a thousand routes: every control process sends it to every
     * entry, and again while it is still on its way, until the links carry nothing else.
     */
    @Example
    void oneBodyIsUnderWayAtATimeHoweverOftenItsVersionIsTold() {
        List<Address> asked = new ArrayList<>();
        for (int told = 0; told < 30; told++) {
            source.onVersionAnnounced(now, CONTROL.get(told % 3), 9);
            source.selectSource(now, 7).ifPresent(asked::add);
            now += Durations.nanos(20);
        }
        assertThat(asked).hasSize(1);
    }

    /* An entry keeps the old routes: the control process that it asked was cut off before it answered. */
    @Example
    void anotherControlProcessIsAskedAfterASilence() {
        CONTROL.forEach(address -> source.onVersionAnnounced(now, address, 9));
        Address first = source.selectSource(now, 7).orElseThrow();
        now += Durations.nanos(900);
        assertThat(source.selectSource(now, 7)).isPresent().get().isNotEqualTo(first);
    }

    @Example
    void theHighestVersionIsAskedFor() {
        source.onVersionAnnounced(now, CONTROL.get(0), 8);
        source.onVersionAnnounced(now, CONTROL.get(1), 9);
        source.onVersionAnnounced(now, CONTROL.get(2), 8);
        assertThat(source.selectSource(now, 7)).contains(CONTROL.get(1));
    }

    @Example
    void nobodyIsAskedForWhatIsHeldOrBeingRead() {
        source.onVersionAnnounced(now, CONTROL.get(0), 7);
        assertThat(source.nextDue(7)).isEqualTo(Core.NEVER);
        source.onVersionAnnounced(now, CONTROL.get(0), 9);
        source.selectSource(now, 7);
        source.onBodyReceived();
        now += Durations.nanos(5_000);
        assertThat(source.selectSource(now, 7)).isEmpty();
        source.onBodyParsed();
        source.onVersionAnnounced(now, CONTROL.get(0), 9);
        assertThat(source.selectSource(now, 9)).isEmpty();
    }

    /* A control process that is gone is asked over and over, as it once told a version that nobody else has. */
    @Example
    void whatAControlProcessToldLongAgoDoesNotCount() {
        source.onVersionAnnounced(now, CONTROL.get(0), 9);
        now += Durations.nanos(3_000);
        source.onVersionAnnounced(now, CONTROL.get(1), 7);
        assertThat(source.selectSource(now, 7)).isEmpty();
    }
}
