package org.cuminshelf.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;

/** Groups that replicate many large documents: what they hold, and that no document is lost. */
class LargeEntriesTest {

    /** A document of 700 routes. */
    private static final int LARGE_BYTES = 195_000;

    private static final int BYTES_PER_ROUTE = 280;
    private static final int MAX_ROUTES = 1_000;
    /** In which a change must be acknowledged while a majority runs. */
    private static final long ACK_MILLIS = 4_000;

    /** In which a member has to have all that it missed. */
    private static final long CATCH_UP_MILLIS = 4_000;

    private static final long STANDSTILL_MILLIS = 12_000;
    /** How long a message takes over a slow connection. */
    private static final long SLOW_MILLIS = 500;

    /** What a leader may send to a member that doesn't answer, a small part of its heap of 140 MB. */
    private static final long MAX_BYTES_IN_VAIN = 4L << 20;

    /** What memory and disk may grow by with more changes. */
    private static final double FLATNESS = 1.1;

    // Guards against control processes that fill heap and disk with old configurations until none starts again.
    @Example
    void memoryAndDiskDoNotGrowWithTheNumberOfChanges() {
        LargeEntriesGroup group = new LargeEntriesGroup();
        changeAll(group, 1, 500);
        long held = group.takePeakHeldBytes();
        long disk = group.takePeakDiskBytes();
        changeAll(group, 501, 5_000);
        assertThat(group.takePeakHeldBytes()).isLessThanOrEqualTo((long) (FLATNESS * held));
        assertThat(group.takePeakDiskBytes()).isLessThanOrEqualTo((long) (FLATNESS * disk));
    }

    // Guards against a member that never catches up, as the entries that it lacks are no longer held.
    @Example
    void aMemberThatWasDownForManyChangesCatchesUp() {
        LargeEntriesGroup group = new LargeEntriesGroup();
        Address follower = follower(group);
        group.kill(follower);
        changeAll(group, 1, 400);
        group.start(follower);
        group.advance(CATCH_UP_MILLIS);
        assertThat(group.newest(follower)).isEqualTo(400);
    }

    // Guards against an empty replacement that never gets the state of a long history.
    @Example
    void anEmptyReplacementCatchesUpBesideChanges() {
        LargeEntriesGroup group = new LargeEntriesGroup();
        changeAll(group, 1, 200);
        group.kill(follower(group));
        Address replacement = group.addEmpty(4);
        changeAll(group, 201, 400);
        group.advance(CATCH_UP_MILLIS);
        assertThat(group.newest(replacement)).isEqualTo(400);
    }

    // Guards against a leader that runs out of memory as it sends the same entries again and again in vain.
    @Example
    void aMemberThatStandsStillIsSentLittleWhileChangesCome() {
        LargeEntriesGroup group = new LargeEntriesGroup();
        changeAll(group, 1, 20);
        Address follower = follower(group);
        group.standStill(follower, STANDSTILL_MILLIS);
        group.takeBytesTo(follower);
        changeAll(group, 21, 220);
        assertThat(group.takeBytesTo(follower)).isLessThan(MAX_BYTES_IN_VAIN);
        group.advance(STANDSTILL_MILLIS + CATCH_UP_MILLIS);
        assertThat(group.newest(follower)).isEqualTo(220);
    }

    // Guards against a leader that sends the same snapshot again and again over a connection that is slower than that.
    @Example
    void aSnapshotIsSentOnceOverASlowConnection() {
        LargeEntriesGroup group = new LargeEntriesGroup();
        Address follower = follower(group);
        group.kill(follower);
        changeAll(group, 1, 100);
        group.delayMessagesTo(follower, SLOW_MILLIS);
        group.start(follower);
        group.takeSnapshotsTo(follower);
        group.advance(CATCH_UP_MILLIS);
        assertThat(group.newest(follower)).isEqualTo(100);
        assertThat(group.takeSnapshotsTo(follower)).isEqualTo(1);
    }

    /*
     * Guards against the loss of an acknowledged document, and against growth, in drawn histories: documents of very
     * different sizes while members stand still, are killed, all at once too, or are replaced by empty ones.
     */
    @Property(tries = 50, seed = "6801")
    void noDocumentIsLostWhateverHappensToTheMembers(@ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        LargeEntriesGroup group = new LargeEntriesGroup();
        long number = 0;
        int added = 3;
        for (int round = 0; round < 5; round++) {
            Address victim = random.nextBoolean()
                    ? group.leader().orElseThrow()
                    : group.members().get(random.nextInt(group.members().size()));
            int kind = random.nextInt(4);
            switch (kind) {
                case 0 -> group.standStill(victim, STANDSTILL_MILLIS);
                case 1 -> group.kill(victim);
                case 2 -> {
                    List<Address> all = group.members();
                    all.forEach(group::kill);
                    all.forEach(group::start);
                }
                default -> {
                    group.kill(victim);
                    added++;
                    group.addEmpty(added);
                }
            }
            int changes = 20 + random.nextInt(20);
            for (int i = 0; i < changes; i++) {
                number++;
                int bytes = BYTES_PER_ROUTE * (1 + random.nextInt(MAX_ROUTES));
                assertThat(group.change(number, bytes, ACK_MILLIS))
                        .as("change %s, after a trouble of kind %s", number, kind)
                        .isTrue();
            }
            if (kind == 1) {
                group.start(victim);
            }
            group.advance(kind == 0 ? STANDSTILL_MILLIS + CATCH_UP_MILLIS : CATCH_UP_MILLIS);
            for (Address member : group.members()) {
                assertThat(group.newest(member)).as("document of %s", member).isEqualTo(number);
            }
        }
    }

    private static Address follower(LargeEntriesGroup group) {
        Address leader = group.leader().orElseThrow();
        return group.members().stream()
                .filter(member -> !member.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    private static void changeAll(LargeEntriesGroup group, int from, int to) {
        for (int number = from; number <= to; number++) {
            assertThat(group.change(number, LARGE_BYTES, ACK_MILLIS)).isTrue();
        }
    }
}
