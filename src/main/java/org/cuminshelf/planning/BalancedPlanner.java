package org.cuminshelf.planning;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cuminshelf.message.Role;

/**
 * Assigns roles so that the utilization of the busier role is lowest: with demands of {@code a} engines' worth of
 * prefill and {@code b} of decode, {@code p} of {@code n} engines prefill such that the larger of {@code a / p} and
 * {@code b / (n - p)} is least.
 *
 * <p>A split that merely suffices on average is not good enough while the other role is idle: prompts arrive in bursts
 * and queue long before the prefill engines are fully utilized.
 *
 * <p>A role change takes an engine out of service for seconds, so it is made only if it reduces the utilization of the
 * busier role by a sufficient fraction. A decision changes at most one engine.
 */
public final class BalancedPlanner implements RolePlanner {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_SECOND = 1e6;
    /** Time constant of the demand forecasts: a few times the three seconds for which the mix oscillates. */
    private static final double SMOOTHING_SECONDS = 8;
    /**
     * Fraction of the busier role's utilization that a change must remove while that role is not overloaded. With a
     * seventh instead of three tenths, heavy days in which engines crashed were worth 0.09 less than without any
     * change: the engine that was moved was needed in its old role a few seconds later.
     */
    private static final double MIN_GAIN = 0.3;
    /** The same fraction while the busier role is overloaded. */
    private static final double MIN_GAIN_OVERLOADED = 0.15;
    /** Utilization below which nothing queues, so that no change is an improvement, whatever fraction it removes. */
    private static final double MIN_UTILIZATION = 0.5;

    /**
     * Time constant with which a peak of the decode load decays: longer than one phase of the mix lasts. Prompts that
     * arrive at once queue, so some decode engines also prefill them, and streams that find no free slot are refused.
     * Without the peak only one of four engines was left to decode 2 s before a burst of long answers, and a third of
     * all requests were refused in the 14 s after it; with it a ninth (one run each).
     */
    private static final double PEAK_DECAY_SECONDS = 16;

    /** Fraction of an engine's slots that may be occupied. */
    private static final double USABLE_SLOT_SHARE = 0.85;

    /**
     * Seconds after the first demand in which no change is made: caches are cold and engine times are not yet fitted,
     * so prefill looks more expensive than it is.
     */
    private static final int WARM_UP_SECONDS = 8;
    /**
     * Seconds after the first demand that forecasts leave out: in the first seconds after a restart of everything
     * prefill looked three times as expensive as it was, which showed in the forecasts for 15 s.
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
     * Creates a planner without observations. Its demands are in microseconds: of prefill engine time, and of occupied
     * decode slots.
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

    /** Returns the number of prefill engines: one more or less than now if that is a sufficient improvement. */
    private int bestPrefillEngines(int present, int engines) {
        double current = utilization(present, engines);
        double more = utilization(present + 1, engines);
        double less = utilization(present - 1, engines);
        double lowest = Math.min(more, less);
        double minGain = current > 1 ? MIN_GAIN_OVERLOADED : MIN_GAIN;
        boolean worthwhile = current > MIN_UTILIZATION && lowest < (1 - minGain) * current;
        if (!worthwhile) {
            return present;
        }
        return more <= less ? present + 1 : present - 1;
    }

    /** Returns the utilization of the busier role; 1 is its capacity. */
    private double utilization(int prefillEngines, int engines) {
        if (prefillEngines < 1 || prefillEngines >= engines) {
            return Double.MAX_VALUE;
        }
        return Math.max(prefillLoad() / prefillEngines, decodeLoad.peak() / (engines - prefillEngines));
    }

    /** Returns the current prefill demand, in engines. */
    private double prefillLoad() {
        return prefillForecast.rateAhead(0) / MICROS_PER_SECOND;
    }

    /** Picks the engine with the fewest streams, which is free soonest. */
    private static Optional<RoleChange> changeIdlest(List<EngineSnapshot> engines, Role from, Role to) {
        return engines.stream()
                .filter(engine -> engine.role() == from && engine.runningStreams() != Integer.MAX_VALUE)
                .min((left, right) -> Integer.compare(left.runningStreams(), right.runningStreams()))
                .map(engine -> new RoleChange(engine.name(), to));
    }
}
