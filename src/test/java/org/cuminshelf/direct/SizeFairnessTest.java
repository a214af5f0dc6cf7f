package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Shares of large and usual prompts under a load of which a part is refused. */
class SizeFairnessTest {

    private static final int CALLS = 6_000;
    private static final double LARGEST = 0.9;

    /** Share answered of all calls and of the largest tenth. */
    private record Shares(double all, double largest) {}

    /** Plays calls of heavy-tailed sizes; what is above a size is refused unless it is owed. */
    private static Shares play(long seed, double fitting, boolean fair) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        SizeFairness fairness = new SizeFairness();
        int answered = 0;
        int large = 0;
        int largeAnswered = 0;
        for (int call = 0; call < CALLS; call++) {
            double rank = random.nextDouble();
            double size = 1_000 * Math.pow(1 - rank, -0.7);
            SizeFairness.Claim claim = fairness.register("r", size);
            boolean sent = rank < fitting || fair && claim.hasCredit();
            if (sent) {
                claim.onSent();
            }
            claim.onEnded(sent);
            answered += sent ? 1 : 0;
            large += rank >= LARGEST ? 1 : 0;
            largeAnswered += sent && rank >= LARGEST ? 1 : 0;
        }
        return new Shares((double) answered / CALLS, (double) largeAnswered / large);
    }

    /*
     * The dealer with the longest vehicle history never gets a draft on a busy morning: each time there is more work
     * than engines, and the largest prompts, worth less than the time they take, are the ones refused.
     */
    @Property(tries = 60, seed = "31")
    void theLargestAreAnsweredMoreThanHalfAsOftenAsAll(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.2, max = 0.9) double fitting) {
        assertThat(play(seed, fitting, false).largest()).isZero();
        Shares shares = play(seed, fitting, true);
        assertThat(shares.largest()).isGreaterThan(0.55 * shares.all());
    }

    /* The other side of it: large prompts take all there is, and the usual ones are refused for them. */
    @Property(tries = 60, seed = "32")
    void theLargestAreNotPreferredToTheOthers(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.2, max = 0.9) double fitting) {
        Shares shares = play(seed, fitting, true);
        assertThat(shares.largest()).isLessThan(shares.all());
    }

    /*
     * Engines are lost for half a minute and all large prompts are refused. Once the engines are back, what was refused
     * is gone with its callers: making up for it would delay those who ask now.
     */
    @Example
    void whatALongOutageRefusedIsNotMadeUpFor() {
        SizeFairness fairness = new SizeFairness();
        for (int call = 0; call < 400; call++) {
            fairness.register("r", 1 + call % 100).onEnded(call % 2 == 0);
        }
        int owed = 0;
        for (int call = 0; call < 100; call++) {
            SizeFairness.Claim claim = fairness.register("r", 1_000);
            owed += claim.hasCredit() ? 1 : 0;
            claim.onSent();
            claim.onEnded(true);
        }
        assertThat(owed).isBetween(3, 16);
    }

    /*
     * Counter staff wait for short replies: each time callers come in a burst, large prompts that are late anyway are
     * sent first, though all of them were answered until then. What they got before counts, up to a bound.
     */
    @Example
    void aShortBurstSendsNoLargeCallsWhereTheyWereAnsweredBefore() {
        SizeFairness fairness = new SizeFairness();
        for (int call = 0; call < 300; call++) {
            SizeFairness.Claim claim = fairness.register("r", 1 + call % 100);
            claim.onSent();
            claim.onEnded(true);
        }
        int refused = 0;
        SizeFairness.Claim next = fairness.register("r", 1_000);
        while (!next.hasCredit() && refused < 100) {
            refused++;
            next.onEnded(false);
            next = fairness.register("r", 1_000);
        }
        assertThat(refused).isBetween(4, 12);
    }

    @Example
    void whatWasSentInVainIsOwedAgain() {
        SizeFairness fairness = new SizeFairness();
        for (int call = 0; call < 100; call++) {
            fairness.register("r", call).onEnded(true);
        }
        SizeFairness.Claim claim = fairness.register("r", 1_000);
        claim.onSent();
        SizeFairness.Claim next = fairness.register("r", 1_000);
        next.onSent();
        assertThat(fairness.register("r", 1_000).hasCredit()).isTrue();
    }
}
