package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/** Tests from which control process the body of a configuration is fetched, and when. */
class ConfigSourceSelectorTest {

    private static final List<Address> CONTROL =
            List.of(Address.of("10.0.0.1:7"), Address.of("10.0.0.2:7"), Address.of("10.0.0.3:7"));

    private final ConfigSourceSelector selector = new ConfigSourceSelector();
    private long now = Durations.nanos(10_000);

    /*
     * Guards against congested links for seconds after a configuration of a thousand routes: every control process
     * sends the body to every entry, repeatedly while the first copy is still in transit.
     */
    @Example
    void onlyOneBodyIsFetchedAtATimeHoweverOftenItsVersionIsAnnounced() {
        List<Address> asked = new ArrayList<>();
        for (int announcement = 0; announcement < 30; announcement++) {
            selector.onVersionAnnounced(now, CONTROL.get(announcement % 3), 9);
            selector.selectSource(now, 7).ifPresent(asked::add);
            now += Durations.nanos(20);
        }
        assertThat(asked).hasSize(1);
    }

    /* Guards against outdated routes at an entry whose chosen control process is cut off before it responds. */
    @Example
    void anotherControlProcessIsAskedAfterATimeout() {
        CONTROL.forEach(address -> selector.onVersionAnnounced(now, address, 9));
        Address first = selector.selectSource(now, 7).orElseThrow();
        now += Durations.nanos(900);
        assertThat(selector.selectSource(now, 7)).isPresent().get().isNotEqualTo(first);
    }

    @Example
    void theHighestVersionIsFetched() {
        selector.onVersionAnnounced(now, CONTROL.get(0), 8);
        selector.onVersionAnnounced(now, CONTROL.get(1), 9);
        selector.onVersionAnnounced(now, CONTROL.get(2), 8);
        assertThat(selector.selectSource(now, 7)).contains(CONTROL.get(1));
    }

    @Example
    void aHeldVersionOrOneBeingParsedIsNotFetched() {
        selector.onVersionAnnounced(now, CONTROL.get(0), 7);
        assertThat(selector.nextDue(7)).isEqualTo(Core.NEVER);
        selector.onVersionAnnounced(now, CONTROL.get(0), 9);
        selector.selectSource(now, 7);
        selector.onBodyReceived();
        now += Durations.nanos(5_000);
        assertThat(selector.selectSource(now, 7)).isEmpty();
        selector.onBodyParsed();
        selector.onVersionAnnounced(now, CONTROL.get(0), 9);
        assertThat(selector.selectSource(now, 9)).isEmpty();
    }

    /* Guards against endless fetches from a dead control process that announced a version which no other has. */
    @Example
    void anOldAnnouncementIsIgnored() {
        selector.onVersionAnnounced(now, CONTROL.get(0), 9);
        now += Durations.nanos(3_000);
        selector.onVersionAnnounced(now, CONTROL.get(1), 7);
        assertThat(selector.selectSource(now, 7)).isEmpty();
    }
}
