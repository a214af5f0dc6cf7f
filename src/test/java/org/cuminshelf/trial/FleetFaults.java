package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.List;
import org.cuminshelf.core.Durations;

/** What happens to all entries, all control processes or the network of a {@link VersionDay}. */
final class FleetFaults {

    private static final long SHORTEST_GAP_MILLIS = 200;
    private static final double LOST_SHARE = 0.03;

    private FleetFaults() {}

    /** All entries lose power at once; each is back after a time of its own. */
    static void cutPower(VersionDay day) {
        day.fleet.entries.stream()
                .filter(VirtualNode::isAlive)
                .forEach(entry -> day.restartEntry(entry, 300 + day.schedule.nextLong(1_700)));
    }

    /** Kills and restarts one entry after the other, with the same gap between all. */
    static void killInSeries(VersionDay day) {
        killNext(day, 0, SHORTEST_GAP_MILLIS + day.schedule.nextLong(2_801));
    }

    private static void killNext(VersionDay day, int index, long gapMillis) {
        if (day.isDisturbed()) {
            long downMillis = 300 + day.schedule.nextLong(700);
            day.restartEntry(entry(day, index), downMillis);
            day.fleet.time.after(Durations.nanos(downMillis + gapMillis), () -> killNext(day, index + 1, gapMillis));
        }
    }

    /** The same with so short a gap that all have restarted within seconds. */
    static void killInQuickSeries(VersionDay day) {
        killNext(day, 0, SHORTEST_GAP_MILLIS);
    }

    /** Stops and restarts one entry after the other, with the same gap between all. */
    static void stopInSeries(VersionDay day) {
        stopNext(day, 0, SHORTEST_GAP_MILLIS + day.schedule.nextLong(2_801));
    }

    /** The same with so short a gap that all have restarted within seconds. */
    static void stopInQuickSeries(VersionDay day) {
        stopNext(day, 0, SHORTEST_GAP_MILLIS);
    }

    private static void stopNext(VersionDay day, int index, long gapMillis) {
        if (day.isDisturbed()) {
            day.stopEntry(
                    entry(day, index),
                    300 + day.schedule.nextLong(700),
                    () -> day.fleet.time.after(Durations.nanos(gapMillis), () -> stopNext(day, index + 1, gapMillis)));
        }
    }

    private static VirtualNode entry(VersionDay day, int index) {
        return day.fleet.entries.get(index % day.fleet.entries.size());
    }

    /** Kills and restarts all control processes, and all entries once those have been back for 1 to 3 s. */
    static void loseControlThenEntries(VersionDay day) {
        long backMillis = loseControl(day);
        day.fleet.time.after(Durations.nanos(backMillis + oneToThreeSeconds(day)), () -> cutPower(day));
    }

    /** Kills and restarts all entries, and all control processes once those have been back for 1 to 3 s. */
    static void loseEntriesThenControl(VersionDay day) {
        cutPower(day);
        day.fleet.time.after(Durations.nanos(2_000 + oneToThreeSeconds(day)), () -> loseControl(day));
    }

    private static long oneToThreeSeconds(VersionDay day) {
        return 1_000 + day.schedule.nextLong(2_001);
    }

    /** Returns after how many milliseconds the last one is back. */
    private static long loseControl(VersionDay day) {
        long lastMillis = 0;
        for (VirtualNode control : day.fleet.control) {
            long downMillis = 300 + day.schedule.nextLong(700);
            day.health.harm(control, Durations.nanos(downMillis));
            day.fleet.restart(control, downMillis);
            lastMillis = Math.max(lastMillis, downMillis);
        }
        return lastMillis;
    }

    /** Cuts the entries in two halves; a control process hears the one, another the other, the third both. */
    static void split(VersionDay day) {
        Split split = new Split(day);
        split.cut(split.first, split.second);
        split.cut(split.second, split.first);
        split.cutFromControl(true, true);
    }

    /** The same where messages are lost in one direction only. */
    static void splitOneSided(VersionDay day) {
        Split split = new Split(day);
        split.cut(split.first, split.second);
        boolean toControl = day.schedule.nextBoolean();
        split.cutFromControl(toControl, !toControl);
    }

    /** Two halves of the entries that do not reach each other for a while. */
    private static final class Split {
        private final VersionDay day;
        private final List<VirtualNode> first;
        private final List<VirtualNode> second;
        private final long nanos;

        private Split(VersionDay day) {
            this.day = day;
            List<VirtualNode> all = new ArrayList<>(day.fleet.entries);
            for (int index = all.size() - 1; index > 0; index--) {
                all.set(index, all.set(day.schedule.nextInt(index + 1), all.get(index)));
            }
            int half = all.size() / 2;
            first = all.subList(0, half);
            second = all.subList(half, all.size());
            nanos = Durations.nanos(1_500 + day.schedule.nextLong(2_500));
            all.forEach(entry -> day.health.harm(entry, nanos));
        }

        private void cut(List<VirtualNode> from, List<VirtualNode> to) {
            from.forEach(sender -> to.forEach(receiver -> {
                day.fleet.network.cut(sender.address(), receiver.address());
                day.fleet.time.after(nanos, () -> day.fleet.network.restore(sender.address(), receiver.address()));
            }));
        }

        private void cutFromControl(boolean toControl, boolean fromControl) {
            int rotation = day.schedule.nextInt(day.fleet.control.size());
            cutFromControl(rotation, second, toControl, fromControl);
            cutFromControl(rotation + 1, first, toControl, fromControl);
        }

        private void cutFromControl(int index, List<VirtualNode> entries, boolean toControl, boolean fromControl) {
            List<VirtualNode> control = List.of(day.fleet.control.get(index % day.fleet.control.size()));
            if (toControl) {
                cut(entries, control);
            }
            if (fromControl) {
                cut(control, entries);
            }
        }
    }

    /** All entries handle their input every 50 to 300 ms only, timers before or after the input. */
    static void runLate(VersionDay day) {
        for (VirtualNode entry : day.fleet.entries) {
            day.health.harm(entry, day.disturbedForNanos());
            entry.runLate(new VirtualNode.Lateness() {
                @Override
                public long nextGapNanos() {
                    return Durations.nanos(50 + day.schedule.nextLong(251));
                }

                @Override
                public boolean runsTimersFirst() {
                    return day.schedule.nextBoolean();
                }
            });
            day.fleet.time.after(day.disturbedForNanos(), entry::runOnTime);
        }
    }

    /** Messages between processes are lost, 3 in 100. */
    static void loseMessages(VersionDay day) {
        day.fleet.network.weather(LOST_SHARE, 0, 0);
        day.fleet.time.after(day.disturbedForNanos(), () -> day.fleet.network.weather(0, 0, 0));
    }

    /** Exchanges one engine after the other for one of the other version, as a release does. */
    static void release(VersionDay day) {
        exchangeNext(day, 0);
    }

    private static void exchangeNext(VersionDay day, int index) {
        if (day.isDisturbed()) {
            day.exchangeEngine(day.fleet.engines.get(index % day.fleet.engines.size()));
            day.fleet.time.after(
                    Durations.nanos(2_000 + day.schedule.nextLong(1_000)), () -> exchangeNext(day, index + 1));
        }
    }
}
