package org.cuminshelf.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.OrganisationCount;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.UsageWindow;

/** Counts of entries put together. */
class UsageAggregatorTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private UsageAggregator tally;

    @BeforeTry
    void start() {
        tally = UsageAggregator.create();
    }

    private static Map<String, Integer> counts(UsageWindow window) {
        Map<String, Integer> counts = new HashMap<>();
        window.getCountsList().forEach(row -> counts.put(row.getOrganisation(), row.getCount()));
        return counts;
    }

    private static Subscribe told(UsageCounter ledger, long since, long until) {
        return Subscribe.newBuilder()
                .setUsageVersion(ledger.version())
                .setUsageSince(since)
                .addAllUsage(ledger.changesSince(since))
                .setUsageUntil(until)
                .build();
    }

    /*
     * Usage is reported twice or too low: words of an entry to control are lost, come late or twice. Whatever came, the
     * sum is what the entry counted once its last word is there.
     */
    @Property(tries = 100, seed = "11")
    void lostLateAndRepeatedWordsChangeNoSum(@ForAll long seed) {
        Random random = new Random(seed);
        UsageCounter ledger = UsageCounter.create();
        List<Subscribe> late = new ArrayList<>();
        Map<String, Integer> truth = new HashMap<>();
        long heard = 0;
        for (int step = 0; step < 40; step++) {
            String organisation = "o" + random.nextInt(4);
            ledger.count(5, organisation);
            truth.merge(organisation, 1, Integer::sum);
            Subscribe word = told(ledger, heard, 5);
            switch (random.nextInt(4)) {
                case 0 -> late.add(word);
                case 1 -> heard = tally.onReport(0, ENTRY, 1, word);
                case 2 -> {
                    tally.onReport(0, ENTRY, 1, word);
                    heard = tally.onReport(0, ENTRY, 1, word);
                }
                default -> {
                    // It is lost.
                }
            }
        }
        heard = tally.onReport(0, ENTRY, 1, told(ledger, heard, 6));
        late.forEach(word -> tally.onReport(0, ENTRY, 1, word));
        assertThat(heard).isEqualTo(ledger.version());
        assertThat(counts(tally.sum(5))).isEqualTo(truth);
    }

    /* An entry is killed within a window: what it told before counts, and what its next start counts comes on top. */
    @Example
    void whatAnEntryCountedBeforeItWasKilledStays() {
        UsageCounter before = UsageCounter.create();
        before.count(5, "o");
        before.count(5, "o");
        tally.onReport(0, ENTRY, 1, told(before, 0, 5));
        UsageCounter after = UsageCounter.create();
        after.count(5, "o");
        tally.onReport(0, ENTRY, 2, told(after, 0, 6));
        assertThat(counts(tally.sum(5))).containsExactly(Map.entry("o", 3));
    }

    /* A control process is restarted and hears changes only: it says so, and is told all that does not stand yet. */
    @Example
    void aControlProcessThatHeardNothingBeforeIsToldAllAgain() {
        UsageCounter ledger = UsageCounter.create();
        ledger.count(5, "a");
        long toldBefore = ledger.version();
        ledger.count(5, "b");
        long heard = tally.onReport(0, ENTRY, 1, told(ledger, toldBefore, 5));
        assertThat(heard).isZero();
        tally.onReport(0, ENTRY, 1, told(ledger, heard, 5));
        assertThat(counts(tally.sum(5))).containsOnlyKeys("a", "b");
    }

    @Example
    void aWindowIsWholeOnceAllEntriesThatAreHeardAreBeyondIt() {
        Address other = Address.of("10.0.1.2:7000");
        tally.onReport(0, ENTRY, 1, Subscribe.newBuilder().setUsageUntil(6).build());
        tally.onReport(0, other, 1, Subscribe.newBuilder().setUsageUntil(5).build());
        assertThat(tally.isComplete(0, 5)).isFalse();
        long later = Durations.nanos(5_000);
        tally.onReport(later, ENTRY, 1, Subscribe.newBuilder().setUsageUntil(6).build());
        assertThat(tally.isComplete(later, 5)).isTrue();
    }

    /* One entry's clock is hours ahead. Windows must not be settled that the others have not begun. */
    @Example
    void theWindowOfTheFleetIsThatInTheMiddle() {
        for (int number = 1; number <= 5; number++) {
            Address entry = Address.of("10.0.1." + number + ":7000");
            tally.onReport(
                    0,
                    entry,
                    1,
                    Subscribe.newBuilder()
                            .setUsageUntil(number == 5 ? 9_000 : 7)
                            .build());
        }
        assertThat(tally.currentWindow(0)).hasValue(7);
    }

    @Example
    void theFirstCountsOfAWindowThatWereWrittenDownStand() {
        CommittedUsage settled = CommittedUsage.create();
        settled.commit(window(5, 3));
        settled.commit(window(5, 4));
        assertThat(settled.nextToReport()).hasValue(window(5, 3));
        settled.acknowledge(5);
        settled.commit(window(5, 4));
        assertThat(settled.nextToReport()).isEmpty();
        assertThat(settled.lastWindow()).isEqualTo(5);
    }

    private static UsageWindow window(long number, int count) {
        return UsageWindow.newBuilder()
                .setWindow(number)
                .addCounts(OrganisationCount.newBuilder().setOrganisation("o").setCount(count))
                .build();
    }
}
