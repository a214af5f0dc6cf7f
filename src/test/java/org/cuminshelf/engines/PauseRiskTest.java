package org.cuminshelf.engines;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Tests of the expected number of late streams, on engines with drawn parameters. */
class PauseRiskTest {

    private static final String ENGINE = "e";
    private static final long END = 20_000_000_000L;

    /** A model of engines with intervals of the given parts, known well. */
    private static StreamIntervalModel model(double constantMillis, double millisPerStream, double prefillMillis) {
        StreamIntervalModel model = StreamIntervalModel.create();
        for (int index = 0; index < 1_000; index++) {
            int streams = 1 + 7 * index % 60;
            double share = index % 3 / 2.0;
            double millis = constantMillis + millisPerStream * streams + prefillMillis * share;
            model.observe(ENGINE, index * END / 1_000, streams, share, millis);
        }
        return model;
    }

    private static PauseRisk risk(
            StreamIntervalModel model, int streams, double queuedMillis, double addedMillis, double limit) {
        return PauseRisk.of(model, END, new PauseRisk.EngineLoad(ENGINE, streams, queuedMillis), addedMillis, limit);
    }

    /* Guards against choices that change where gaps do not matter. */
    @Property(tries = 30, seed = "41")
    void farFromTheLimitNothingIsAtRisk(
            @ForAll @DoubleRange(min = 20, max = 80) double constantMillis,
            @ForAll @DoubleRange(min = 0.2, max = 1) double millisPerStream,
            @ForAll @IntRange(max = 60) int streams) {
        StreamIntervalModel model = model(constantMillis, millisPerStream, 40);
        double limit = 3 * (constantMillis + 61 * millisPerStream + 40);
        assertThat(risk(model, streams, 0, 500, limit)).isEqualTo(PauseRisk.NONE);
    }

    /*
     * Guards against a prompt that makes all streams of its engine late: near the limit, its risk is as large as the
     * number of streams beside which it is prefilled, and much smaller without prefill.
     */
    @Property(tries = 30, seed = "42")
    void aPromptThatWouldMakeAllStreamsLateCountsWithAllOfThem(
            @ForAll @DoubleRange(min = 20, max = 80) double constantMillis,
            @ForAll @DoubleRange(min = 0.2, max = 1) double millisPerStream,
            @ForAll @IntRange(min = 10, max = 60) int streams) {
        double beforeMillis = constantMillis + millisPerStream * streams;
        StreamIntervalModel model = model(constantMillis, millisPerStream, beforeMillis);
        double limit = 1.4 * beforeMillis;
        PauseRisk beside = risk(model, streams, 0, 1_000, limit);
        PauseRisk handedOver = risk(model, streams, 0, 0, limit);
        assertThat(beside.others()).isGreaterThan(0.8 * streams);
        assertThat(beside.own()).isGreaterThan(0.8);
        assertThat(handedOver.lateStreams()).isLessThan(0.2 * beside.lateStreams());
    }

    /*
     * Guards against spreading prompts over all engines in a burst, so that all streams are late: where the streams are
     * late anyway, one more prompt harms only its own.
     */
    @Property(tries = 30, seed = "43")
    void streamsThatAreLateAnywayDoNotCount(
            @ForAll @DoubleRange(min = 20, max = 80) double constantMillis,
            @ForAll @DoubleRange(min = 0.2, max = 1) double millisPerStream,
            @ForAll @IntRange(min = 10, max = 60) int streams) {
        double beforeMillis = constantMillis + millisPerStream * streams;
        StreamIntervalModel model = model(constantMillis, millisPerStream, beforeMillis);
        PauseRisk risk = risk(model, streams, 5_000, 1_000, 1.4 * beforeMillis);
        assertThat(risk.others()).isLessThan(0.1 * streams);
        assertThat(risk.own()).isGreaterThan(0.8);
    }

    /* Guards against decisions on gaps where callers state no limit, or before anything is known of the engines. */
    @Example
    void withoutALimitOrObservationsNothingIsAtRisk() {
        assertThat(risk(model(60, 1, 100), 60, 0, 1_000, 0)).isEqualTo(PauseRisk.NONE);
        assertThat(risk(StreamIntervalModel.create(), 60, 0, 1_000, 50)).isEqualTo(PauseRisk.NONE);
    }
}
