package org.cuminshelf.planning;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cuminshelf.message.Role;

/**
 * Keeps engines in the roles in which the busier role has most room: with demands of {@code a} engines' worth of
 * reading and {@code b} of generation, {@code p} of {@code n} engines read such that the larger of {@code a / p} and
 * {@code b / (n - p)} is least.
 *
 * <p>A split that merely suffices on average is not good enough where the other role idles: prompts come in clumps, and
 * wait for each other long before the engines that read them are taken all the time.
 *
 * <p>A change costs seconds of an engine, so it is made only where it takes a part off the busier role's use that
 * matters.
 */
public final class BalancedPlanner implements RolePlanner {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_SECOND = 1e6;
    /** Seconds after which a change of the mix is mostly believed: some swings of three seconds. */
    private static final double SMOOTHING_SECONDS = 8;
    /**
     * Part of the busier role's use that a change must take off while that role is not overloaded. With a seventh
     * instead of three tenths, heavy days in which engines crashed were worth 0.09 less than without any change: the
     * engine moved was missed a few seconds later.
     */
    private static final double MIN_GAIN = 0.3;
    /** The same where the busier role can't do what it is asked for. */
    private static final double MIN_GAIN_OVERLOADED = 0.15;
    /** Use below which nothing waits: there a change wins nothing, whatever part it takes off. */
    private static final double MIN_UTILIZATION = 0.5;

    /**
     * Seconds in which a peak of the places asked for is mostly forgotten: longer than blocks of a mix last. Prompts
     * that come at once wait for each other, and engines that generate read some of them; streams that find no place
     * are refused. Without it one of four engines was left to generate 2 s before a burst of long answers, and a third
     * of all requests were refused in the 14 s after it; with it a ninth (one play each).
     */
    private static final double PEAK_DECAY_SECONDS = 16;

    /** Part of an engine's places that may be taken. */
    private static final double USABLE_SLOT_SHARE = 0.85;

    /**
     * Seconds after the first work offered until which caches are cold and what engines take is not learnt yet, so that
     * reading looks dearer than it is.
     */
    private static final int WARM_UP_SECONDS = 8;
    /**
     * Seconds of it that forecasts leave out: in the first ones after a restart of everything, reading looked three
     * times what it was, and forecasts showed it for 15 s.
     */
    private static final int COLD_START_SECONDS = 4;

    private final double usableSlotsPerEngine;
    private DemandForecast prefillForecast = DemandForecast.of(SMOOTHING_SECONDS);
    private DemandForecast slotForecast = DemandForecast.of(SMOOTHING_SECONDS);
    private DecayingPeak decodeLoad = DecayingPeak.of(PEAK_DECAY_SECONDS);
    private double firstDemandAt = -1;
    private String lastInputs = "";

    private BalancedPlanner(double usableSlotsPerEngine) {
        this.usableSlotsPerEngine = usableSlotsPerEngine;
    }

    /**
     * Makes a planner that has seen nothing. It takes demands in microseconds: of an engine that only reads prompts,
     * and of a place of one that generates.
     *
     * @param slotsPerEngine requests that one engine runs at once
     * @return the planner
     */
    public static BalancedPlanner of(int slotsPerEngine) {
        return new BalancedPlanner(USABLE_SLOT_SHARE * Math.max(1, slotsPerEngine));
    }

    @Override
    public List<RoleChange> plan(long now, List<EngineSnapshot> engines, CumulativeDemand demand) {
        double nowSeconds = now / NANOS_PER_SECOND;
        observe(nowSeconds, demand);
        lastInputs = describeInputs(engines);
        if (firstDemandAt < 0 || nowSeconds - firstDemandAt < WARM_UP_SECONDS || engines.size() < 2) {
            return List.of();
        }
        int present = prefillEngines(engines);
        int wanted = bestPrefillEngines(present, engines.size());
        if (wanted == present) {
            return List.of();
        }
        Role from = wanted > present ? Role.ROLE_DECODE : Role.ROLE_PREFILL;
        Role to = wanted > present ? Role.ROLE_PREFILL : Role.ROLE_DECODE;
        return changeIdlest(engines, from, to).stream().toList();
    }

    @Override
    public String lastInputs() {
        return lastInputs;
    }

    private String describeInputs(List<EngineSnapshot> engines) {
        int prefillEngines = prefillEngines(engines);
        return String.format(
                Locale.ROOT,
                "reading=%.2f generating=%.2f peak=%.2f readers=%d generators=%d",
                prefillLoad(),
                decodeLoad.last(),
                decodeLoad.peak(),
                prefillEngines,
                engines.size() - prefillEngines);
    }

    private static int prefillEngines(List<EngineSnapshot> engines) {
        return (int) engines.stream()
                .filter(engine -> engine.role() == Role.ROLE_PREFILL)
                .count();
    }

    private void observe(double nowSeconds, CumulativeDemand demand) {
        firstDemandAt = firstDemandAt < 0 && demand.prefill() + demand.decode() > 0 ? nowSeconds : firstDemandAt;
        if (nowSeconds - firstDemandAt < COLD_START_SECONDS) {
            prefillForecast = DemandForecast.of(SMOOTHING_SECONDS);
            slotForecast = DemandForecast.of(SMOOTHING_SECONDS);
            decodeLoad = DecayingPeak.of(PEAK_DECAY_SECONDS);
        }
        prefillForecast.observe(nowSeconds, demand.prefill());
        slotForecast.observe(nowSeconds, demand.decode());
        decodeLoad.observe(nowSeconds, slotForecast.rateAhead(0) / MICROS_PER_SECOND / usableSlotsPerEngine);
    }

    /** The number of engines that read, one more or less than there are if that gains enough. */
    private int bestPrefillEngines(int present, int engines) {
        double current = utilization(present, engines);
        double more = utilization(present + 1, engines);
        double less = utilization(present - 1, engines);
        double lowest = Math.min(more, less);
        double minGain = current > 1 ? MIN_GAIN_OVERLOADED : MIN_GAIN;
        boolean pays = current > MIN_UTILIZATION && lowest < (1 - minGain) * current;
        if (!pays) {
            return present;
        }
        return more <= less ? present + 1 : present - 1;
    }

    /** The use of the busier role, as a part of what it can do. */
    private double utilization(int prefillEngines, int engines) {
        if (prefillEngines < 1 || prefillEngines >= engines) {
            return Double.MAX_VALUE;
        }
        return Math.max(prefillLoad() / prefillEngines, decodeLoad.peak() / (engines - prefillEngines));
    }

    /** Reading that is asked for, in engines. */
    private double prefillLoad() {
        return prefillForecast.rateAhead(0) / MICROS_PER_SECOND;
    }

    /** The engine with the fewest streams: it is free soonest. */
    private static Optional<RoleChange> changeIdlest(List<EngineSnapshot> engines, Role from, Role to) {
        return engines.stream()
                .filter(engine -> engine.role() == from && engine.runningStreams() != Integer.MAX_VALUE)
                .min((left, right) -> Integer.compare(left.runningStreams(), right.runningStreams()))
                .map(engine -> new RoleChange(engine.name(), to));
    }
}
