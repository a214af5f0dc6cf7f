package org.cuminshelf.trial;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.control.ControlCore;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.entry.EntryCore;

/** One randomised run: a fleet, its callers and operators, and faults, all from one seed. */
public final class CheckRun {

    private static final long WATCH_EVERY = Durations.nanos(200);
    private static final long CALM = Durations.nanos(60_000);

    private final long seed;
    private final VirtualTime time = new VirtualTime();
    private final Invariants invariants = Invariants.throwing();
    private final VirtualNetwork network;
    private final VirtualFleet fleet;
    private final VirtualCallers callers;
    private final VirtualOperators operators;
    private final FaultPlan faults;
    private final Map<Address, Long> highestInForce = new HashMap<>();

    private CheckRun(long seed, List<Fault> kinds) {
        this.seed = seed;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.network = new VirtualNetwork(time, split(random));
        this.fleet = new VirtualFleet(time, network, split(random), invariants);
        this.callers = new VirtualCallers(time, split(random), invariants, fleet.entries, fleet.registry);
        this.operators = new VirtualOperators(time, split(random), invariants, fleet.control, fleet.engineAddresses());
        this.faults = new FaultPlan(time, network, fleet, split(random), kinds);
        time.after(WATCH_EVERY, this::watch);
    }

    /**
     * Runs a seed.
     *
     * @param seed    the seed
     * @param seconds virtual seconds with faults; calm ones follow
     * @return what happened
     * @throws org.cuminshelf.core.InvariantViolation at the first promise that does not hold
     */
    public static CheckReport run(long seed, long seconds) {
        return run(seed, seconds, List.of(Fault.values()));
    }

    /** Runs a seed with faults of some kinds only. */
    static CheckReport run(long seed, long seconds, List<Fault> kinds) {
        CheckRun run = new CheckRun(seed, kinds);
        run.time.runUntil(Durations.nanos(seconds * 1_000));
        run.calmDown();
        return run.report();
    }

    private static UniformRandomProvider split(UniformRandomProvider random) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
    }

    /** The configuration in force on a VM never goes back, through restarts too. */
    private void watch() {
        for (VirtualNode node : fleet.entries) {
            node.core(EntryCore.class).filter(EntryCore::isReady).ifPresent(core -> watch(node, core.configVersion()));
        }
        time.after(WATCH_EVERY, this::watch);
    }

    private void watch(VirtualNode node, long version) {
        long before = highestInForce.getOrDefault(node.address(), 0L);
        invariants.check(
                version >= before,
                "configuration-never-goes-back",
                () -> node.address() + " serves with version " + version + " after " + before);
        highestInForce.put(node.address(), version);
    }

    /** Fair weather: everything must come back, and every call must have its answer. */
    private void calmDown() {
        faults.stopAndHeal();
        time.runUntil(time.now() + CALM / 2);
        long wholeBefore = callers.whole();
        time.runUntil(time.now() + CALM / 6);
        invariants.check(
                callers.whole() > wholeBefore, "service-comes-back", () -> "no call was answered after the faults");
        callers.stop();
        operators.stop();
        time.runUntil(time.now() + CALM);
        callers.checkNothingOpen();
        callers.checkAtEnd();
        callers.checkAllTitles();
        checkConverged();
    }

    private void checkConverged() {
        long version = -1;
        for (VirtualNode node : fleet.control) {
            ControlCore core = node.core(ControlCore.class).orElseThrow();
            long held = core.configVersion();
            long expected = version < 0 ? held : version;
            invariants.check(
                    held == expected && held >= operators.knownVersion(),
                    "accepted-configuration-is-in-force-everywhere",
                    () -> node.address() + " holds " + held + ", others " + expected + ", accepted "
                            + operators.knownVersion());
            version = held;
            invariants.check(
                    core.replica(ControlSettings.GLOBAL_GROUP)
                                    .orElseThrow()
                                    .status()
                                    .getVotersCount()
                            == 3,
                    "lost-disks-are-replaced",
                    () -> node.address() + " sees "
                            + core.replica(ControlSettings.GLOBAL_GROUP)
                                    .orElseThrow()
                                    .status());
        }
        long accepted = version;
        for (VirtualNode node : fleet.entries) {
            long held = node.core(EntryCore.class).orElseThrow().configVersion();
            invariants.check(
                    held == accepted,
                    "accepted-configuration-is-in-force-everywhere",
                    () -> node.address() + " has " + held + " in force, accepted is " + accepted);
        }
    }

    private CheckReport report() {
        long orders = fleet.engines.values().stream()
                .mapToLong(VirtualEngine::ordersAccepted)
                .sum();
        return new CheckReport(
                seed,
                time.now(),
                time.count(),
                network.messages(),
                callers.calls(),
                callers.whole(),
                callers.lost(),
                operators.accepted(),
                orders,
                faults.injected());
    }
}
