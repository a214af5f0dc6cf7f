package org.cuminshelf.outliers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;

/** Tests the estimate of additional errors at an upstream of 30 engines that answer 200 requests a second. */
class OutlierDetectorTest {

    private static final int ENGINES = 30;
    private static final int REQUESTS_PER_SECOND = 200;
    private static final String KIND = "route";

    private final OutlierDetector detector = OutlierDetector.create();
    private final Random random = new Random(7);
    private long now;
    private int outliers;

    /** Lets all engines answer for a time, and counts how often one has an excess of an outlier. */
    private void run(double seconds, double errorRate, double errorRateOfFirst) {
        for (int request = 0; request < seconds * REQUESTS_PER_SECOND; request++) {
            now += Durations.nanos(1_000) / REQUESTS_PER_SECOND;
            int engine = random.nextInt(ENGINES);
            double rate = engine == 0 ? errorRateOfFirst : errorRate;
            detector.observe("e" + engine, KIND, now, 1, random.nextDouble() < rate ? 1 : 0);
            outliers += excess("e" + engine) >= 0.3 ? 1 : 0;
        }
    }

    private double excess(String upstream) {
        return detector.excessErrorProbability(upstream, now);
    }

    /** Guards against sound engines that are avoided because 14 in 100 requests of their service fail by themselves. */
    @Example
    void aServiceOfWhichFourteenInAHundredRequestsFailEverywhereHasNoOutlier() {
        run(60, 0.14, 0.14);
        assertThat(outliers).isZero();
    }

    /** Guards against choices that follow chance where nothing fails but single requests. */
    @Example
    void singleErrorsHaveNoEffect() {
        for (int engine = 0; engine < ENGINES; engine++) {
            detector.observe("e" + engine, KIND, now, 1, engine % 10 == 0 ? 1 : 0);
            assertThat(excess("e" + engine)).isZero();
        }
        run(30, 0.01, 0.01);
        assertThat(outliers).isZero();
    }

    @Example
    void anEngineThatFailsMostRequestsIsKnownAfterThreeErrors() {
        run(5, 0.01, 0.01);
        detector.observe("e0", KIND, now, 3, 3);
        assertThat(excess("e0")).isGreaterThan(0.5);
        assertThat(detector.errorProbability("e0", now)).isBetween(0.5, 1.0);
        assertThat(excess("e1")).isZero();
    }

    /** Guards against an engine that hides its errors in the rate of its service, as it attracts most requests. */
    @Example
    void anEngineThatAttractsMostRequestsIsAnOutlier() {
        run(3, 0.0, 0.0);
        detector.observe("e0", KIND, now, 900, 770);
        detector.observe("e1", KIND, now, 900, 770);
        now += Durations.nanos(100);
        detector.observe("e1", KIND, now, 7, 6);
        assertThat(excess("e1")).isGreaterThan(0.5);
    }

    @Example
    void ifAllFailNoneIsAnOutlier() {
        run(15, 0.85, 0.85);
        outliers = 0;
        run(15, 0.85, 0.85);
        assertThat(outliers).isZero();
    }

    /** Guards against an engine that is avoided because it gets most of the requests that fail everywhere. */
    @Example
    void errorsOfARouteThatFailsEverywhereAreNotThoseOfAnUpstream() {
        for (int second = 0; second < 10; second++) {
            now += Durations.nanos(1_000);
            for (int engine = 0; engine < ENGINES; engine++) {
                int failing = engine == 0 ? 20 : 2;
                detector.observe("e" + engine, "failing", now, failing, failing * 8 / 10 + second % 2);
                detector.observe("e" + engine, "sound", now, 10, 0);
            }
        }
        assertThat(excess("e0")).isLessThan(0.3);
    }

    /** Guards against an engine that is kept out by its old errors after two answers in a row. */
    @Example
    void twoAnswersAfterAPauseClearAnUpstream() {
        run(3, 0.01, 0.01);
        detector.observe("e0", KIND, now, 10, 9);
        now += Durations.nanos(900);
        detector.observe("e0", KIND, now, 1, 0);
        assertThat(excess("e0")).isGreaterThan(0.1);
        now += Durations.nanos(500);
        detector.observe("e0", KIND, now, 1, 0);
        assertThat(excess("e0")).isLessThan(0.1);
    }

    @Example
    void withoutEvidenceASuspicionFades() {
        detector.observe("e0", KIND, now, 10, 9);
        assertThat(excess("e0")).isGreaterThan(0.5);
        now += Durations.nanos(12_000);
        assertThat(excess("e0")).isZero();
    }

    /** Guards against a report with more errors than answers, which is not a number of successes below zero. */
    @Example
    void aReportWithMoreErrorsThanAnswersCountsItsErrors() {
        detector.observeRemote("e0", KIND, now, 0, 3);
        assertThat(detector.evidenceOf("e0", now).orElseThrow().reportedAnswers())
                .isEqualTo(3);
        assertThat(excess("e0")).isBetween(0.5, 1.0);
    }

    /** Guards against a table that grows with each start of an upstream. */
    @Example
    void upstreamsThatAreGoneAreDropped() {
        detector.observe("e0", KIND, now, 10, 9);
        detector.retain(Set.of(), now);
        assertThat(excess("e0")).isZero();
        assertThat(detector.evidenceOf("e0", now)).isEmpty();
    }
}
