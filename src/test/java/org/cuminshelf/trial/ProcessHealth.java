package org.cuminshelf.trial;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.core.Durations;

/** Tells which processes of a fleet were killed, started, stopped, cut off or late a short time ago. */
final class ProcessHealth {

    /** Time without harm after which a process counts as in touch. */
    private static final long STABLE_WINDOW_NANOS = Durations.nanos(3_000);

    private final DirectFleet fleet;
    private final Map<VirtualNode, Long> harmedUntil = new HashMap<>();
    private final Map<VirtualNode, Long> lastHarmed = new HashMap<>();

    ProcessHealth(DirectFleet fleet) {
        this.fleet = fleet;
    }

    /** Notes that a process is down, cut off or late from now on, for so long. */
    void harm(VirtualNode node, long nanos) {
        lastHarmed.put(node, fleet.time.now());
        fleet.resumptionOutcomes.trace("harm", node.address().value(), "ms", Durations.millis(nanos));
        harmedUntil.merge(node, fleet.time.now() + nanos, Math::max);
    }

    /** Whether neither an entry nor a control process has been harmed within the stable window. */
    boolean isInTouch(VirtualNode entry) {
        return entry.isAlive() && isStable(entry) && fleet.control.stream().allMatch(this::isStable);
    }

    /** Whether an entry or a control process has been harmed since a time. */
    boolean isHarmedSince(VirtualNode entry, long time) {
        return isNodeHarmedSince(entry, time)
                || fleet.control.stream().anyMatch(control -> isNodeHarmedSince(control, time));
    }

    private boolean isNodeHarmedSince(VirtualNode node, long time) {
        Long last = lastHarmed.get(node);
        return last != null && last >= time;
    }

    private boolean isStable(VirtualNode node) {
        Long until = harmedUntil.get(node);
        return until == null || fleet.time.now() - until >= STABLE_WINDOW_NANOS;
    }
}
