package org.cuminshelf.engines;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** What is learnt of engines that nobody has described. */
class EngineLatencyModelTest {

    private static final int OBSERVATIONS = 200;
    private static final int ENGINES = 12;

    /** A service's engines drawn at random: prefill from 15 to 120 tokens a millisecond, latencies from 5 to 200 ms. */
    private static final class Drawn {
        private final UniformRandomProvider random;
        private final double latency;
        private final double perThousand;
        private final double perMillionPairs;
        private final EngineLatencyModel model = EngineLatencyModel.create();
        private double slowFactor = 1;

        private Drawn(long seed) {
            this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            this.latency = 5 + 195 * random.nextDouble();
            this.perThousand = 8 + 58 * random.nextDouble();
            this.perMillionPairs = 0.1 + 0.9 * random.nextDouble();
        }

        private double took(int held, int uncached) {
            double pairs = (double) uncached * (held + uncached / 2.0);
            return latency + perThousand * uncached / 1e3 + perMillionPairs * pairs / 1e6;
        }

        private void observe(int engine, double wrongShare) {
            int held = 200 * random.nextInt(60);
            int uncached = 100 + 100 * random.nextInt(70);
            double took = took(held, uncached) * (engine == 0 ? slowFactor : 1) * (0.95 + 0.1 * random.nextDouble());
            if (random.nextDouble() < wrongShare) {
                // A part believed held was not, or the observer stood still for a while.
                took += 400 * random.nextDouble();
            }
            model.observePrompt(new PromptSample("e" + engine, false, 0, held, uncached, 0, took));
        }

        private double expected(int engine, int held, int uncached) {
            return model.prefillMillis("e" + engine, false, 0, held, uncached)
                    + model.latencyMillis("e" + engine, false);
        }
    }

    @Property(tries = 10, seed = "21")
    void twoHundredPromptsTellAnyEnginesTimesWithinFifteenPercent(@ForAll @LongRange(max = 1L << 40) long seed) {
        Drawn drawn = new Drawn(seed);
        for (int index = 0; index < OBSERVATIONS; index++) {
            drawn.observe(1 + index % ENGINES, 0.15);
        }
        List<Double> errors = new ArrayList<>();
        for (int size = 300; size <= 6_900; size += 300) {
            double real = drawn.took(4_000, size);
            errors.add(Math.abs(drawn.expected(1, 4_000, size) - real) / real);
        }
        errors.sort(Double::compare);
        assertThat(errors.get(errors.size() / 2)).isLessThan(0.15);
        assertThat(errors.get(errors.size() * 9 / 10)).isLessThan(0.4);
    }

    /*
     * Callers wait for seconds: one engine turned five times slower, while the others' prompts go on as before. Within
     * the ten prompts that it takes in some three seconds it must count as at least three times slower.
     */
    @Property(tries = 10, seed = "22")
    void anEngineThatTurnsFiveTimesSlowerIsToldWithinTenPrompts(@ForAll @LongRange(max = 1L << 40) long seed) {
        Drawn drawn = new Drawn(seed);
        for (int index = 0; index < OBSERVATIONS; index++) {
            drawn.observe(index % ENGINES, 0.15);
        }
        drawn.slowFactor = 5;
        for (int index = 0; index < 10 * ENGINES; index++) {
            drawn.observe(index % ENGINES, 0.15);
        }
        assertThat(drawn.model.slowdown("e0")).isGreaterThan(3);
        assertThat(drawn.model.slowdown("e1")).isBetween(0.7, 1.4);
    }

    /*
     * Two of five engines idle while the others have a second of prompts each: both were thought slow by mistake, were
     * sent nothing any more, and so never showed that they are not.
     */
    @Example
    void anEngineThatIsNotTriedCountsAsUsualAfterAWhile() {
        Drawn drawn = new Drawn(5);
        for (int index = 0; index < OBSERVATIONS; index++) {
            drawn.observe(index % ENGINES, 0);
        }
        drawn.slowFactor = 5;
        for (int index = 0; index < 10; index++) {
            drawn.observe(0, 0);
        }
        assertThat(drawn.model.slowdown("e0")).isGreaterThan(3);
        for (int index = 0; index < 1_200; index++) {
            drawn.observe(1 + index % 11, 0);
        }
        assertThat(drawn.model.slowdown("e0")).isLessThan(1.1);
    }

    @Example
    void handoversAndEventsAreLearntToo() {
        EngineLatencyModel model = EngineLatencyModel.create();
        for (int index = 0; index < OBSERVATIONS; index++) {
            int tokens = 500 * (index % 40);
            model.observeHandover(tokens, 30 + 2.5 * tokens / 1_000);
            model.observeEventInterval(index % 50, 12 + 0.8 * (index % 50));
        }
        assertThat(model.handoverMillis(10_000)).isBetween(52.0, 58.0);
        assertThat(model.transferMillis(10_000)).isBetween(23.0, 27.0);
        assertThat(model.eventIntervalMillis(30)).isBetween(34.0, 38.0);
    }

    /*
     * Streams pause for longer than callers bear, as prompts are read between their tokens; where the pauses stay
     * short, engines that generate stand idle while prompts queue elsewhere.
     */
    @Example
    void whatMayBeReadBesideStreamsFollowsTheirPauses() {
        PrefillAllowance allowance = PrefillAllowance.create();
        double first = allowance.millis();
        for (int index = 0; index < 6; index++) {
            allowance.observe(190, 200);
        }
        assertThat(allowance.millis()).isLessThan(first / 4);
        for (int index = 0; index < 400; index++) {
            allowance.observe(60, 200);
        }
        assertThat(allowance.millis()).isGreaterThan(2 * first);
        double before = allowance.millis();
        allowance.observe(10_000, 0);
        assertThat(allowance.millis()).isEqualTo(before);
    }
}
