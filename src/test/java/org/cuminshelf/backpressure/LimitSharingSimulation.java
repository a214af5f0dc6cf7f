package org.cuminshelf.backpressure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plays ways to share one limit among entries, in virtual time, with calls that come at random and news of each other
 * that is late. Run by hand for the table of the design note; a request that finds no permit goes to another upstream.
 */
final class LimitSharingSimulation {

    /** How an entry comes to its share of a limit. */
    enum SharingStrategy {
        EQUAL,
        OWNERS,
        DEMAND
    }

    /** How calls are spread over entries. */
    enum Traffic {
        EVEN,
        ONE_ENTRY,
        FEW_CALLS,
        TURNS
    }

    private static final double SECOND = 1e9;
    private static final double STEP = SECOND / 1_000;
    private static final double SECONDS = 20;
    /** Calls a second of a usual entry, each of which may go to the upstream with the limit. */
    private static final double CALLS_OF_ENTRY = 14;

    private static final int NEWS_EVERY = 100;
    private static final int DEMAND_SPAN = 1_000;

    private final int entries;
    private final double limit;
    private final SharingStrategy way;
    private final Traffic traffic;
    private final UniformRandomProvider random;
    private final PermitSchedule[] permits;
    private final double[] demand;
    private final double[] told;
    private final Deque<Double> window = new ArrayDeque<>();
    private final List<Double> sent = new ArrayList<>();

    LimitSharingSimulation(int entries, double limit, SharingStrategy way, Traffic traffic, long seed) {
        this.entries = entries;
        this.limit = limit;
        this.way = way;
        this.traffic = traffic;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.permits = new PermitSchedule[entries];
        this.demand = new double[entries];
        this.told = new double[entries];
    }

    private double calls(int entry, double now) {
        double all = traffic == Traffic.FEW_CALLS ? limit / 2 : 4 * limit + CALLS_OF_ENTRY * entries;
        return switch (traffic) {
            case EVEN, FEW_CALLS -> all / entries;
            case ONE_ENTRY -> entry == 0 ? all : 0;
            case TURNS -> entry % 3 == (int) (now / SECOND / 3) % 3 ? 3 * all / entries : 0.1 * all / entries;
        };
    }

    private double share(int entry) {
        return switch (way) {
            case EQUAL -> limit / entries;
            case OWNERS -> {
                int owners = Math.min(entries, Math.max(1, (int) Math.ceil(limit)));
                yield entry < owners ? limit / owners : 0;
            }
            case DEMAND -> {
                double own = Math.max(LimitSharing.MIN_CALLS_PER_SECOND, demand[entry]);
                double others = 0;
                for (int other = 0; other < entries; other++) {
                    others += other == entry ? 0 : Math.max(LimitSharing.MIN_CALLS_PER_SECOND, told[other]);
                }
                yield limit * own / (own + others);
            }
        };
    }

    /**
     * What came of a play.
     *
     * @param used  part of the limit that was used, or of the calls where there were fewer
     * @param worst requests in the worst 4 s
     */
    record Outcome(double used, int worst) {}

    Outcome play() {
        for (int step = 0; step < SECONDS * SECOND / STEP; step++) {
            double now = step * STEP;
            for (int entry = 0; entry < entries; entry++) {
                demand[entry] += (calls(entry, now) - demand[entry]) / DEMAND_SPAN;
                if ((step + entry * 7) % NEWS_EVERY == 0) {
                    told[entry] = demand[entry];
                    refresh(entry, now);
                }
                if (random.nextDouble() < calls(entry, now) * STEP / SECOND) {
                    call(entry, now);
                }
            }
        }
        int worst = 0;
        for (double at : sent) {
            window.add(at);
            while (window.getFirst() <= at - 4 * SECOND) {
                window.removeFirst();
            }
            worst = Math.max(worst, window.size());
        }
        double wanted = traffic == Traffic.FEW_CALLS ? limit / 2 : limit;
        return new Outcome(sent.size() / (wanted * SECONDS), worst);
    }

    private void refresh(int entry, double now) {
        double share = share(entry);
        if (share <= 0) {
            return;
        }
        double interval = SECOND / share;
        double lapse = LimitSharing.permitLifetimeNanos(limit);
        if (permits[entry] == null) {
            permits[entry] = new PermitSchedule((long) now, interval, lapse, (entry + 1.0) / entries);
        } else {
            permits[entry].changeInterval((long) now, interval, lapse);
        }
    }

    private void call(int entry, double now) {
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
                    for (SharingStrategy way : SharingStrategy.values()) {
                        line.append("| ")
                                .append(new LimitSharingSimulation(entries, limit, way, traffic, 1).play())
                                .append(' ');
                    }
                    System.out.println(line.append('|'));
                }
            }
        }
    }
}
