package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.routes.RequestKind;

/** Tests gaps between events on engines of different speed, which slow down or hang. */
class EventGapsTest {

    private static final int CAPTION_TOKENS = 800;
    private static final int CAPTION_EVENTS = 20;
    /** Requests per second at which four engines of speed 1 have some 30 streams each. */
    private static final double USUAL_RATE = 75;

    private static SimulatedEngines fleet(double... speeds) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false, 8_000)).becomeReady();
        SimulatedEngines fleet = new SimulatedEngines(entry, CAPTION_TOKENS, CAPTION_EVENTS);
        for (int index = 0; index < speeds.length; index++) {
            fleet.add("d" + index, Role.ROLE_DECODE, speeds[index]);
        }
        return fleet;
    }

    private static SimulatedEngines usualFleet() {
        SimulatedEngines fleet = fleet(1, 1, 1, 1);
        fleet.run(5_000, USUAL_RATE);
        return fleet;
    }

    private static EntryLoad.Builder report(UpstreamLoad.Builder load) {
        return EntryLoad.newBuilder().addUpstreams(load);
    }

    /*
     * Guards against a burst in which all streams have gaps beyond the limit, as engines of different speed get equally
     * many and every prompt is admitted: faster engines take more, and what would make all late is refused.
     */
    @Example
    void captionsOfABurstLandWhereGapsStayWithinTheLimit() {
        SimulatedEngines fleet = fleet(0.7, 0.7, 0.7, 0.7, 1.7, 1.7);
        fleet.run(8_000, 75);
        fleet.clearEnded();
        fleet.run(5_000, 1.9 * 75);
        fleet.run(8_000, 0);
        assertThat(fleet.shareInTime()).isGreaterThan(0.95);
        assertThat(fleet.endedStreams()).isGreaterThan(640);
        assertThat(fleet.endedAt("d4")).isGreaterThan(2 * fleet.endedAt("d0"));
    }

    /*
     * Guards against prompts for an engine that is 2.5 times slower for 0.6 s: after 100 ms it gets hardly any more.
     * Guards also against an engine that stays avoided after that.
     */
    @Example
    void anEngineThatIsSlowNowAndThenIsAvoidedMeanwhileAndUsedAfterwards() {
        SimulatedEngines fleet = usualFleet();
        SimulatedEngines.Engine engine = fleet.engines.get("d0");
        int meanwhile = 0;
        int afterwards = 0;
        int rounds = 8;
        for (int round = 0; round < rounds; round++) {
            engine.speed = 0.4;
            fleet.run(100, USUAL_RATE);
            int before = engine.received;
            fleet.run(500, USUAL_RATE);
            meanwhile += engine.received - before;
            engine.speed = 1;
            fleet.run(200, USUAL_RATE);
            before = engine.received;
            fleet.run(1_800, USUAL_RATE);
            afterwards += engine.received - before;
        }
        double fairShare = USUAL_RATE / 4 * rounds;
        assertThat(meanwhile).isLessThan((int) (0.15 * 0.5 * fairShare));
        assertThat(afterwards).isGreaterThan((int) (0.7 * 1.8 * fairShare));
    }

    /* Guards against prompts for an engine that hangs: no event arrives from it, so nothing else tells. */
    @Example
    void anEngineThatHangsWithAllItsStreamsGetsNoMoreUntilItSendsEvents() {
        SimulatedEngines fleet = fleet(1, 1, 1, 1);
        fleet.run(5_000, 115);
        SimulatedEngines.Engine engine = fleet.engines.get("d0");
        assertThat(engine.streams()).isGreaterThan(50);
        engine.speed = 0;
        fleet.run(150, 115);
        int before = engine.received;
        fleet.run(400, 115);
        assertThat(engine.received - before).isLessThanOrEqualTo(1);
        engine.speed = 1;
        fleet.run(300, 115);
        before = engine.received;
        fleet.run(2_000, 115);
        assertThat(engine.received - before).isGreaterThan(15);
    }

    /*
     * Guards against streams for an engine that hangs and has no stream of this entry, and against one that is avoided
     * for ever because the reports were lost: the wait that another entry reported loses its effect.
     */
    @Example
    void aWaitReportedByAnotherEntryCountsUntilItIsOutdated() {
        SimulatedEngines fleet = usualFleet();
        fleet.add("d4", Role.ROLE_DECODE, 1);
        fleet.entry.reportLoad(report(UpstreamLoad.newBuilder().setId("d4").setAwaitedUs(900_000)));
        assertThat(fleet.entry.core.slowUpstreams()).isEqualTo(1);
        fleet.run(200, USUAL_RATE);
        assertThat(fleet.engines.get("d4").received).isZero();
        fleet.run(2_000, USUAL_RATE);
        assertThat(fleet.engines.get("d4").received).isGreaterThan(10);
        assertThat(fleet.entry.core.slowUpstreams()).isZero();
    }

    /* Guards against reports that arrive a second late and outweigh what this entry sees of the engine itself. */
    @Example
    void ownEventsOutweighReportsThatAreOneSecondOld() {
        SimulatedEngines fleet = usualFleet();
        fleet.entry.reportLoad(
                report(UpstreamLoad.newBuilder().setId("d0").setIntervals(60).setIntervalsUs(60 * 250_000)));
        assertThat(fleet.entry.core.slowUpstreams()).isEqualTo(1);
        fleet.run(150, USUAL_RATE);
        assertThat(fleet.entry.core.slowUpstreams()).isZero();
    }

    /*
     * Guards against entries that know too little of an engine, as each sees only some of its streams: each 100 ms a
     * report has the intervals that ended since, and the longest wait. Guards also against processor time spent on them
     * with each of hundreds of reports in a second.
     */
    @Example
    void reportsHaveTheIntervalsSinceTheLastOneAndTheLongestWait() {
        SimulatedEngines fleet = usualFleet();
        fleet.entry.setEntries(DirectFixture.SELF.value(), "10.0.1.2:7000");
        fleet.run(500, USUAL_RATE);
        fleet.entry.out.take(Envelope::hasEntryLoad);
        fleet.engines.get("d0").speed = 0;
        fleet.run(300, USUAL_RATE);
        List<Envelope> reports = fleet.entry.out.take(Envelope::hasEntryLoad);
        UpstreamLoad ofHanging = loadsOf("d0", reports).stream()
                .filter(load -> load.getAwaitedUs() > 0)
                .toList()
                .getLast();
        assertThat(ofHanging.getAwaitedUs()).isBetween(190_000, 500_000);
        assertThat(ofHanging.getIntervals()).isZero();
        List<UpstreamLoad> others = loadsOf("d1", reports);
        int intervals = others.stream().mapToInt(UpstreamLoad::getIntervals).sum();
        long micros = others.stream().mapToLong(UpstreamLoad::getIntervalsUs).sum();
        assertThat(intervals).isBetween(60, 200);
        assertThat(others.stream().filter(load -> load.getIntervals() > 0)).hasSizeLessThan(5);
        assertThat(micros / intervals).isBetween(50_000L, 150_000L);
    }

    private static List<UpstreamLoad> loadsOf(String engine, List<Envelope> reports) {
        return reports.stream()
                .flatMap(report -> report.getEntryLoad().getUpstreamsList().stream())
                .filter(load -> load.getId().equals(engine))
                .toList();
    }

    /** Returns the engine of a handover, given the streams of two engines and the factors of their intervals. */
    private static String handoverEngine(
            int streamsAtFirst, double firstFactor, int streamsAtSecond, double secondFactor) {
        SimulatedEngines fleet = usualFleet();
        fleet.run(3_000, 0);
        fleet.add("p0", Role.ROLE_PREFILL, 1);
        for (int report = 0; report < 3; report++) {
            fleet.entry.reportLoad(report(load("d0", streamsAtFirst, firstFactor))
                    .addUpstreams(load("d1", streamsAtSecond, secondFactor))
                    .addUpstreams(load("d2", 60, 1))
                    .addUpstreams(load("d3", 60, 1)));
        }
        fleet.entry.sendRequest("handover", "Tokens", "12000", "Deadline", "8000");
        fleet.entry.lastSent().respond(200, "handle");
        assertThat(fleet.entry.lastSent().request.headers().get("Cache")).isEqualTo("handle");
        return fleet.entry.lastSent().upstream;
    }

    private static UpstreamLoad.Builder load(String engine, int streams, double factor) {
        return UpstreamLoad.newBuilder()
                .setId(engine)
                .setRunning(streams)
                .setIntervals(100)
                .setIntervalsUs((int) (100_000 * factor * SimulatedEngines.intervalMillis(streams)));
    }

    /*
     * Guards against engines of different speed that get equally many streams, and against choices that follow noise
     * where engines are alike.
     */
    @Example
    void streamsCountByTheirIntervalsOnlyWhereEnginesDifferClearly() {
        assertThat(handoverEngine(40, 1, 38, 1)).isEqualTo("d1");
        assertThat(handoverEngine(40, 0.95, 38, 1.05)).isEqualTo("d1");
        assertThat(handoverEngine(40, 0.6, 38, 1)).isEqualTo("d0");
    }

    /* Guards against a handover to an engine with few streams that is so slow that they are late. */
    @Example
    void aHandoverAvoidsAnEngineWhoseStreamsAreLate() {
        assertThat(handoverEngine(10, 2.9, 32, 1)).isEqualTo("d1");
    }

    /*
     * Guards against prompts that separate engines prefill without regard to the engines that generate: these have free
     * slots, but no time for more streams.
     */
    @Example
    void promptsAreNotPrefilledForEnginesWhoseStreamsWouldAllBeLate() {
        SimulatedEngines fleet = fleet(0.4, 0.4, 0.4);
        fleet.add("p0", Role.ROLE_PREFILL, 4);
        fleet.run(8_000, 20);
        fleet.clearEnded();
        fleet.run(6_000, 45);
        fleet.run(8_000, 0);
        assertThat(fleet.shareInTime()).isGreaterThan(0.9);
        assertThat(fleet.endedStreams()).isGreaterThan(120);
        // They wait for streams to end before they are refused.
        assertThat(fleet.entry.linesWith("reason=gaps-too-long")).isNotEmpty();
        assertThat(fleet.entry.linesWith("reason=gaps-too-long", " ms=0")).isEmpty();
    }

    /* Guards against late streams of which no line tells whether their gaps were foreseen, and by what engine. */
    @Example
    void theLineOfACompletedStreamHasItsExpectedGap() {
        SimulatedEngines fleet = fleet(0.7, 1.7);
        fleet.run(8_000, 20);
        assertThat(fleet.entry.linesWith("outcome=200", "expected-pause-ms=", "engine-factor=1."))
                .isNotEmpty();
        assertThat(fleet.entry.linesWith("outcome=200", "expected-pause-ms=", "engine-factor=0."))
                .isNotEmpty();
        fleet.engines.values().forEach(engine -> engine.speed = 0);
        fleet.run(DirectFixture.PAUSE_MILLIS + 50, 0);
        fleet.engines.values().forEach(engine -> engine.speed = 1);
        fleet.run(5_000, 0);
        assertThat(fleet.entry.core.streamsWithLongGaps()).isPositive();
    }

    /*
     * Guards against entries whose processor time goes into decisions and observations of one another. With so many
     * entries, work for each of them dominates all other.
     */
    @Example
    void aRequestCostsTheSameWithFiveHundredTimesAsManyEntries() {
        double few = Double.MAX_VALUE;
        double many = Double.MAX_VALUE;
        for (int round = 0; round < 5; round++) {
            few = Math.min(few, processorNanos(4));
            many = Math.min(many, processorNanos(2_000));
        }
        assertThat(many).isLessThan(4 * few);
    }

    /** Returns the processor time of 0.2 s of traffic at an entry that knows the loads of some others. */
    private static double processorNanos(int others) {
        SimulatedEngines fleet = fleet(1, 1, 1, 1);
        for (int other = 0; other < others; other++) {
            EntryLoad.Builder load = EntryLoad.newBuilder();
            fleet.engines
                    .keySet()
                    .forEach(id -> load.addUpstreams(UpstreamLoad.newBuilder().setId(id)));
            fleet.entry.reportLoadFrom("10.0." + other / 200 + "." + other % 200 + ":7000", load);
        }
        fleet.run(50, USUAL_RATE);
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        fleet.run(200, USUAL_RATE);
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
    }
}
