package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Tests the answered shares of large and usual prompts under a load of which a part is refused. */
class SizeFairnessTest {

    private static final int CALLS = 6_000;
    private static final double LARGEST_RANK = 0.9;

    /** Answered share of all calls and of the largest tenth. */
    private record Shares(double all, double largest) {}

    /** Runs calls of heavy-tailed sizes; calls above a size are refused unless their group has credit. */
    private static Shares run(long seed, double admittedShare, boolean withFairness) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        SizeFairness fairness = new SizeFairness();
        int answered = 0;
        int large = 0;
        int largeAnswered = 0;
        for (int call = 0; call < CALLS; call++) {
            double rank = random.nextDouble();
            double size = 1_000 * Math.pow(1 - rank, -0.7);
            SizeFairness.Claim claim = fairness.register("r", size);
            boolean sent = rank < admittedShare || withFairness && claim.hasCredit();
            if (sent) {
                claim.onSent();
            }
            claim.onEnded(sent);
            answered += sent ? 1 : 0;
            large += rank >= LARGEST_RANK ? 1 : 0;
            largeAnswered += sent && rank >= LARGEST_RANK ? 1 : 0;
        }
        return new Shares((double) answered / CALLS, (double) largeAnswered / large);
    }

    /*
     * Guards against refusing all of the largest prompts: whenever there is more work than the engines can do, their
     * answers are worth less than the engine time that they take.
     */
    @Property(tries = 60, seed = "31")
    void theLargestAreAnsweredMoreThanHalfAsOftenAsAll(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.2, max = 0.9) double admittedShare) {
        assertThat(run(seed, admittedShare, false).largest()).isZero();
        Shares shares = run(seed, admittedShare, true);
        assertThat(shares.largest()).isGreaterThan(0.55 * shares.all());
    }

    /* Guards against the opposite: large prompts using all engine time, and usual ones refused for them. */
    @Property(tries = 60, seed = "32")
    void theLargestAreNotPreferredToTheOthers(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.2, max = 0.9) double admittedShare) {
        Shares shares = run(seed, admittedShare, true);
        assertThat(shares.largest()).isLessThan(shares.all());
    }

    /*
     * Guards against delaying current calls to compensate for an outage: engines fail for half a minute and all large
     * prompts are refused. Once the engines are back, the refused callers are gone.
     */
    @Example
    void callsRefusedInALongOutageAreNotCompensated() {
        SizeFairness fairness = new SizeFairness();
        for (int call = 0; call < 400; call++) {
            fairness.register("r", 1 + call % 100).onEnded(call % 2 == 0);
        }
        int withCredit = 0;
        for (int call = 0; call < 100; call++) {
            SizeFairness.Claim claim = fairness.register("r", 1_000);
            withCredit += claim.hasCredit() ? 1 : 0;
            claim.onSent();
            claim.onEnded(true);
        }
        assertThat(withCredit).isBetween(3, 16);
    }

    /*
     * Guards against delaying short replies: with each burst, large prompts that are late anyway were sent first,
     * although all of them had been answered until then. Earlier answers count against the credit, up to a bound.
     */
    @Example
    void aShortBurstSendsNoLargeCallsIfTheyWereAnsweredBefore() {
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
    void theCreditOfACallThatWasNotAnsweredIsReturned() {
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
