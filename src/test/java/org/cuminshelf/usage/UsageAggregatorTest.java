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

/** Tests the aggregation of the counts of entries. */
class UsageAggregatorTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private UsageAggregator aggregator;

    @BeforeTry
    void start() {
        aggregator = UsageAggregator.create();
    }

    private static Map<String, Integer> counts(UsageWindow window) {
        Map<String, Integer> counts = new HashMap<>();
        window.getCountsList().forEach(row -> counts.put(row.getOrganisation(), row.getCount()));
        return counts;
    }

    private static Subscribe report(UsageCounter counter, long since, long firstOpenWindow) {
        return Subscribe.newBuilder()
                .setUsageVersion(counter.version())
                .setUsageSince(since)
                .addAllUsage(counter.changesSince(since))
                .setUsageUntil(firstOpenWindow)
                .build();
    }

    /*
     * Guards against usage that is counted twice or too low when reports of an entry to control are lost, late or
     * repeated. Once the last report has arrived, the sum equals what the entry counted.
     */
    @Property(tries = 100, seed = "11")
    void lostLateAndRepeatedReportsDoNotChangeTheSum(@ForAll long seed) {
        Random random = new Random(seed);
        UsageCounter counter = UsageCounter.create();
        List<Subscribe> late = new ArrayList<>();
        Map<String, Integer> expected = new HashMap<>();
        long receivedVersion = 0;
        for (int step = 0; step < 40; step++) {
            String organisation = "o" + random.nextInt(4);
            counter.count(5, organisation);
            expected.merge(organisation, 1, Integer::sum);
            Subscribe report = report(counter, receivedVersion, 5);
            switch (random.nextInt(4)) {
                case 0 -> late.add(report);
                case 1 -> receivedVersion = aggregator.onReport(0, ENTRY, 1, report);
                case 2 -> {
                    aggregator.onReport(0, ENTRY, 1, report);
                    receivedVersion = aggregator.onReport(0, ENTRY, 1, report);
                }
                default -> {
                    // The report is lost.
                }
            }
        }
        receivedVersion = aggregator.onReport(0, ENTRY, 1, report(counter, receivedVersion, 6));
        late.forEach(report -> aggregator.onReport(0, ENTRY, 1, report));
        assertThat(receivedVersion).isEqualTo(counter.version());
        assertThat(counts(aggregator.sum(5))).isEqualTo(expected);
    }

    /* An entry is killed within a window: its reported counts stay, and those of its next incarnation are added. */
    @Example
    void countsThatAnEntryReportedBeforeItWasKilledStay() {
        UsageCounter before = UsageCounter.create();
        before.count(5, "o");
        before.count(5, "o");
        aggregator.onReport(0, ENTRY, 1, report(before, 0, 5));
        UsageCounter after = UsageCounter.create();
        after.count(5, "o");
        aggregator.onReport(0, ENTRY, 2, report(after, 0, 6));
        assertThat(counts(aggregator.sum(5))).containsExactly(Map.entry("o", 3));
    }

    /* A restarted control process receives only changes: its answer makes the entry report all counts again. */
    @Example
    void aRestartedControlProcessReceivesAllCountsAgain() {
        UsageCounter counter = UsageCounter.create();
        counter.count(5, "a");
        long reportedBefore = counter.version();
        counter.count(5, "b");
        long receivedVersion = aggregator.onReport(0, ENTRY, 1, report(counter, reportedBefore, 5));
        assertThat(receivedVersion).isZero();
        aggregator.onReport(0, ENTRY, 1, report(counter, receivedVersion, 5));
        assertThat(counts(aggregator.sum(5))).containsOnlyKeys("a", "b");
    }

    @Example
    void aWindowIsCompleteOnceAllLiveEntriesHavePassedIt() {
        Address other = Address.of("10.0.1.2:7000");
        aggregator.onReport(0, ENTRY, 1, Subscribe.newBuilder().setUsageUntil(6).build());
        aggregator.onReport(0, other, 1, Subscribe.newBuilder().setUsageUntil(5).build());
        assertThat(aggregator.isComplete(0, 5)).isFalse();
        long later = Durations.nanos(5_000);
        aggregator.onReport(
                later, ENTRY, 1, Subscribe.newBuilder().setUsageUntil(6).build());
        assertThat(aggregator.isComplete(later, 5)).isTrue();
    }

    /* One entry's clock is hours ahead. Windows that the other entries have not begun must not be committed. */
    @Example
    void theWindowOfTheFleetIsTheMedian() {
        for (int number = 1; number <= 5; number++) {
            Address entry = Address.of("10.0.1." + number + ":7000");
            aggregator.onReport(
                    0,
                    entry,
                    1,
                    Subscribe.newBuilder()
                            .setUsageUntil(number == 5 ? 9_000 : 7)
                            .build());
        }
        assertThat(aggregator.currentWindow(0)).hasValue(7);
    }

    @Example
    void theFirstCommittedCountsOfAWindowAreFinal() {
        CommittedUsage usage = CommittedUsage.create();
        usage.commit(window(5, 3));
        usage.commit(window(5, 4));
        assertThat(usage.nextToReport()).hasValue(window(5, 3));
        usage.acknowledge(5);
        usage.commit(window(5, 4));
        assertThat(usage.nextToReport()).isEmpty();
        assertThat(usage.lastWindow()).isEqualTo(5);
    }

    private static UsageWindow window(long number, int count) {
        return UsageWindow.newBuilder()
                .setWindow(number)
                .addCounts(OrganisationCount.newBuilder().setOrganisation("o").setCount(count))
                .build();
    }
}
