package org.cuminshelf.backpressure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates strategies to share one limit among entries, in virtual time, with calls at random times and delayed
 * reports between entries. The {@code main} method prints a table that compares them; a request that finds no permit
 * counts as sent to another upstream.
 */
final class LimitSharingSimulation {

    /** How an entry's share of a limit is calculated. */
    enum SharingStrategy {
        EQUAL,
        OWNERS,
        DEMAND
    }

    /** How calls are distributed over entries. */
    enum Traffic {
        EVEN,
        ONE_ENTRY,
        FEW_CALLS,
        TURNS
    }

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double STEP_NANOS = NANOS_PER_SECOND / 1_000;
    private static final double DURATION_SECONDS = 20;
    /** Calls per second at a usual entry, each of which may be sent to the upstream with the limit. */
    private static final double CALLS_PER_ENTRY_PER_SECOND = 14;

    private static final int REPORT_INTERVAL_STEPS = 100;
    private static final int DEMAND_SMOOTHING_STEPS = 1_000;

    private final int entries;
    private final double limit;
    private final SharingStrategy strategy;
    private final Traffic traffic;
    private final UniformRandomProvider random;
    private final PermitSchedule[] permits;
    private final double[] demand;
    private final double[] reportedDemand;
    private final Deque<Double> window = new ArrayDeque<>();
    private final List<Double> sent = new ArrayList<>();

    LimitSharingSimulation(int entries, double limit, SharingStrategy strategy, Traffic traffic, long seed) {
        this.entries = entries;
        this.limit = limit;
        this.strategy = strategy;
        this.traffic = traffic;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.permits = new PermitSchedule[entries];
        this.demand = new double[entries];
        this.reportedDemand = new double[entries];
    }

    private double callsPerSecond(int entry, double now) {
        double all = traffic == Traffic.FEW_CALLS ? limit / 2 : 4 * limit + CALLS_PER_ENTRY_PER_SECOND * entries;
        return switch (traffic) {
            case EVEN, FEW_CALLS -> all / entries;
            case ONE_ENTRY -> entry == 0 ? all : 0;
            case TURNS -> entry % 3 == (int) (now / NANOS_PER_SECOND / 3) % 3 ? 3 * all / entries : 0.1 * all / entries;
        };
    }

    private double share(int entry) {
        return switch (strategy) {
            case EQUAL -> limit / entries;
            case OWNERS -> {
                int owners = Math.min(entries, Math.max(1, (int) Math.ceil(limit)));
                yield entry < owners ? limit / owners : 0;
            }
            case DEMAND -> {
                double ownRate = Math.max(LimitSharing.MIN_CALLS_PER_SECOND, demand[entry]);
                double others = 0;
                for (int other = 0; other < entries; other++) {
                    others += other == entry ? 0 : Math.max(LimitSharing.MIN_CALLS_PER_SECOND, reportedDemand[other]);
                }
                yield limit * ownRate / (ownRate + others);
            }
        };
    }

    /**
     * The result of a simulation.
     *
     * @param used  fraction of the limit that was used, or of the calls if these were fewer
     * @param worst the largest number of requests within 4 s
     */
    record Outcome(double used, int worst) {}

    Outcome run() {
        for (int step = 0; step < DURATION_SECONDS * NANOS_PER_SECOND / STEP_NANOS; step++) {
            double now = step * STEP_NANOS;
            for (int entry = 0; entry < entries; entry++) {
                demand[entry] += (callsPerSecond(entry, now) - demand[entry]) / DEMAND_SMOOTHING_STEPS;
                if ((step + entry * 7) % REPORT_INTERVAL_STEPS == 0) {
                    reportedDemand[entry] = demand[entry];
                    refresh(entry, now);
                }
                if (random.nextDouble() < callsPerSecond(entry, now) * STEP_NANOS / NANOS_PER_SECOND) {
                    tryToSend(entry, now);
                }
            }
        }
        int worst = 0;
        for (double at : sent) {
            window.add(at);
            while (window.getFirst() <= at - 4 * NANOS_PER_SECOND) {
                window.removeFirst();
            }
            worst = Math.max(worst, window.size());
        }
        double expected = traffic == Traffic.FEW_CALLS ? limit / 2 : limit;
        return new Outcome(sent.size() / (expected * DURATION_SECONDS), worst);
    }

    private void refresh(int entry, double now) {
        double share = share(entry);
        if (share <= 0) {
            return;
        }
        double intervalNanos = NANOS_PER_SECOND / share;
        double lifetimeNanos = LimitSharing.permitLifetimeNanos(limit);
        if (permits[entry] == null) {
            permits[entry] = new PermitSchedule((long) now, intervalNanos, lifetimeNanos, (entry + 1.0) / entries);
        } else {
            permits[entry].changeInterval((long) now, intervalNanos, lifetimeNanos);
        }
    }

    private void tryToSend(int entry, double now) {
        if (permits[entry] != null && permits[entry].nextPermitTime((long) now) <= now) {
            permits[entry].takePermit((long) now);
            sent.add(now);
        }
    }

    /**
     * Prints the table.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        for (Traffic traffic : Traffic.values()) {
            for (int entries : new int[] {3, 33, 330}) {
                for (double limit : new double[] {0.5, 5, 50, 200}) {
                    StringBuilder line =
                            new StringBuilder(String.format(Locale.ROOT, "| %s | %d | %.1f ", traffic, entries, limit));
                    for (SharingStrategy strategy : SharingStrategy.values()) {
                        line.append("| ")
                                .append(new LimitSharingSimulation(entries, limit, strategy, traffic, 1).run())
                                .append(' ');
                    }
                    System.out.println(line.append('|'));
                }
            }
        }
    }
}
