package org.cuminshelf.engines;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Tests of predicted event intervals of engines with drawn parameters. */
class StreamIntervalModelTest {

    private static final int ENGINES = 12;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A service with drawn step times, of whose engines a third are up to 2.5 times as fast as the others. */
    private static final class DrawnService {
        private final UniformRandomProvider random;
        private final double constantMillis;
        private final double millisPerStream;
        private final double prefillMillis;
        private final double fastSpeed;
        private final StreamIntervalModel model = StreamIntervalModel.create();
        private long now;

        private DrawnService(long seed) {
            this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            this.constantMillis = 20 + 80 * random.nextDouble();
            this.millisPerStream = 0.3 + 1.7 * random.nextDouble();
            this.prefillMillis = 20 + 130 * random.nextDouble();
            this.fastSpeed = 1 + 1.5 * random.nextDouble();
        }

        private double intervalMillis(int engine, int streams, double prefillShare) {
            double speed = engine % 3 == 0 ? fastSpeed : 1;
            return (constantMillis + millisPerStream * streams + prefillMillis * prefillShare) / speed;
        }

        /** Runs all engines, the fast ones with more streams, for a number of rounds of 20 ms. */
        private void run(int rounds) {
            for (int round = 0; round < rounds; round++) {
                now += 20 * NANOS_PER_MILLI;
                for (int index = 0; index < ENGINES; index++) {
                    int engine = (index + 5 * round) % ENGINES;
                    int streams = (engine % 3 == 0 ? 15 : 5) + random.nextInt(40);
                    double share = Math.clamp(1.6 * random.nextDouble() - 0.3, 0, 1);
                    // The network or this process holds events back now and then.
                    double pauseFactor = random.nextInt(20) == 0 ? 1 + random.nextDouble() : 1;
                    double noise = (0.95 + 0.1 * random.nextDouble()) * pauseFactor;
                    double millis = noise * intervalMillis(engine, streams, share);
                    model.observe("e" + engine, now + index, streams, share, millis);
                }
            }
        }
    }

    /** Feeds a model with intervals of 100 ms on each of some engines, with 20 streams, for 5 s. */
    private static StreamIntervalModel steadyModel() {
        StreamIntervalModel model = StreamIntervalModel.create();
        for (int round = 1; round <= 50; round++) {
            for (int engine = 0; engine < ENGINES; engine++) {
                model.observe("e" + engine, 100L * round * NANOS_PER_MILLI, 20, false, 100);
            }
        }
        return model;
    }

    private static final long STEADY_END = 5_000 * NANOS_PER_MILLI;

    /*
     * Guards against gaps beyond the limit that nothing foresaw, as all engines were taken to be equally fast. The fast
     * engines have more streams, so a fit that ignored their speed would find that streams cost nothing.
     */
    @Property(tries = 20, seed = "31")
    void intervalsOfEnginesOfAnySpeedArePredictedWithinFifteenPercent(@ForAll @LongRange(max = 1L << 40) long seed) {
        DrawnService service = new DrawnService(seed);
        service.run(500);
        for (int engine = 0; engine < 4; engine++) {
            for (int streams = 10; streams <= 50; streams += 10) {
                assertThat(service.model.intervalMillis("e" + engine, service.now, streams))
                        .isBetween(
                                0.85 * service.intervalMillis(engine, streams, 0),
                                1.15 * service.intervalMillis(engine, streams, 0));
                assertThat(service.model.intervalMillis("e" + engine, service.now, streams, 10_000))
                        .isBetween(
                                0.85 * service.intervalMillis(engine, streams, 1),
                                1.15 * service.intervalMillis(engine, streams, 1));
            }
        }
    }

    /*
     * Guards against refusals because a long queue of prompts is taken to stop the streams: it is prefilled in chunks,
     * so it prolongs an interval by at most one chunk for each step.
     */
    @Property(tries = 10, seed = "32")
    void aLongerQueueProlongsAnIntervalNoFurther(@ForAll @LongRange(max = 1L << 40) long seed) {
        DrawnService service = new DrawnService(seed);
        service.run(500);
        double without = service.model.intervalMillis("e1", service.now, 30);
        double shortQueue = service.model.intervalMillis("e1", service.now, 30, 10);
        double longQueue = service.model.intervalMillis("e1", service.now, 30, 1_000);
        assertThat(shortQueue).isGreaterThan(without).isLessThan(without + 10.5);
        assertThat(service.model.intervalMillis("e1", service.now, 30, 5_000)).isEqualTo(longQueue);
    }

    /*
     * Guards against engines that get prompts for seconds while they are 2.5 times slower, and against one that stays
     * avoided after that.
     */
    @Example
    void aSlowPeriodIsRecognisedWithinFiveIntervalsAndOverAfterFive() {
        StreamIntervalModel model = steadyModel();
        long now = STEADY_END;
        for (int index = 0; index < 7; index++) {
            now += 20 * NANOS_PER_MILLI;
            model.observe("e0", now, 20, false, 250);
        }
        assertThat(model.intervalMillis("e0", now, 20)).isGreaterThan(180);
        assertThat(model.intervalMillis("e1", now, 20)).isBetween(85.0, 115.0);
        for (int index = 0; index < 7; index++) {
            now += 20 * NANOS_PER_MILLI;
            model.observe("e0", now, 20, false, 100);
        }
        assertThat(model.intervalMillis("e0", now, 20)).isLessThan(130);
    }

    /*
     * Guards against prompts for an engine that hangs: no interval ends there, so none is observed. The prediction
     * follows the wait at once, and falls back when an event arrives.
     */
    @Example
    void anUnansweredWaitRaisesThePredictionUntilAnEventArrives() {
        StreamIntervalModel model = steadyModel();
        long now = STEADY_END;
        model.observeAwaited("e0", now, 20, 0, 90);
        assertThat(model.intervalMillis("e0", now, 20)).isLessThan(105);
        model.observeAwaited("e0", now, 20, 0, 800);
        assertThat(model.intervalMillis("e0", now, 20)).isBetween(790.0, 810.0);
        assertThat(model.lateProbability("e0", now, 20, 0, 400)).isGreaterThan(0.9);
        model.observe("e0", now, 20, false, 100);
        assertThat(model.intervalMillis("e0", now, 20)).isLessThan(105);
    }

    /* Guards against an engine that is avoided for ever because of a wait that was reported once. */
    @Example
    void aWaitThatIsNotReportedAgainLosesItsEffect() {
        StreamIntervalModel model = steadyModel();
        model.observeAwaited("e0", STEADY_END, 20, 0, 800);
        assertThat(model.intervalMillis("e0", STEADY_END + 2_000 * NANOS_PER_MILLI, 20))
                .isLessThan(110);
    }

    /*
     * Guards against an idle engine that is taken for slow by mistake: it gets no streams any more, so that nothing
     * corrects the estimate.
     */
    @Example
    void theFactorOfAnUnusedEngineFallsBackToTheMeanOfItsService() {
        StreamIntervalModel model = steadyModel();
        long now = STEADY_END;
        for (int index = 0; index < 10; index++) {
            model.observe("e0", now, 20, false, 300);
        }
        assertThat(model.relativeFactor("e0", now)).isGreaterThan(2);
        assertThat(model.relativeFactor("e0", now + 3_000 * NANOS_PER_MILLI)).isLessThan(1.5);
        assertThat(model.relativeFactor("e0", now + 60_000 * NANOS_PER_MILLI)).isLessThan(1.05);
    }

    /* Guards against old reports of other entries that outweigh what this entry sees now. */
    @Example
    void ownIntervalsCorrectOutdatedReports() {
        StreamIntervalModel model = steadyModel();
        long now = STEADY_END;
        model.observeRemote("e0", now, 20, 250, 20, 0);
        assertThat(model.intervalMillis("e0", now, 20)).isGreaterThan(180);
        for (int index = 0; index < 8; index++) {
            model.observe("e0", now, 20, false, 100);
        }
        assertThat(model.intervalMillis("e0", now, 20)).isLessThan(125);
    }

    /*
     * Guards against a fit and factors that explain each other and drift apart, as slow periods raise the mean factor
     * of all engines: the factor of an engine that is eight times slower then exceeds its bound.
     */
    @Example
    void slowPeriodsOfAllEnginesDoNotMoveTheFit() {
        StreamIntervalModel model = StreamIntervalModel.create();
        long now = 0;
        for (int round = 0; round < 6_000; round++) {
            now += 50 * NANOS_PER_MILLI;
            for (int engine = 0; engine < 4; engine++) {
                boolean slow = (round / 12 + 2 * engine) % 7 == 0;
                model.observe("e" + engine, now, 20, false, slow ? 250 : 100);
            }
        }
        for (int index = 0; index < 20; index++) {
            now += 20 * NANOS_PER_MILLI;
            model.observe("e0", now, 20, false, 800);
        }
        assertThat(model.intervalMillis("e0", now, 20)).isGreaterThan(700);
    }
}
