package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.usage.FleetClock;
import org.cuminshelf.usage.UsageCounter;

/**
 * Counts the calls of organisations that began to run at this entry, in windows of the time agreed on by the fleet, and
 * reports the counts to all control processes.
 */
final class UsageMeter {

    /**
     * Time after the end of a window during which calls may still be counted in it: a plain call is counted when its
     * answer is received, for the time at which it was sent.
     */
    private static final long LATE_COUNT_NANOS = Durations.nanos(1_000);

    private final OptionalLong windowMillis;
    private final DecisionLog log;
    private final FleetClock clock = FleetClock.create();
    private final UsageCounter ledger = UsageCounter.create();
    /** The ledger version that each control process has acknowledged. */
    private final Map<Address, Long> acknowledged = new HashMap<>();

    UsageMeter(OptionalLong windowMillis, DecisionLog log) {
        this.windowMillis = windowMillis;
        this.log = log;
    }

    /** Receives a reading of the wall clock of this machine. */
    void onWallClock(long now, long unixMillis) {
        clock.addOwnReading(now, unixMillis);
    }

    /** Counts a call that began to run, once however often it is sent. */
    void recordStart(DirectCall call, long startedAt) {
        Optional<Organisation> organisation = call.organisation;
        if (call.usageCounted || organisation.isEmpty()) {
            return;
        }
        call.usageCounted = true;
        OptionalLong window = window(startedAt);
        if (window.isPresent()
                && !ledger.count(window.getAsLong(), organisation.get().name())) {
            log.note("usage", call.intent.id(), "outcome", "too-late", "window", window.getAsLong());
        }
    }

    private OptionalLong window(long nanos) {
        OptionalLong unixMillis = clock.unixMillis(nanos);
        return windowMillis.isPresent() && unixMillis.isPresent()
                ? OptionalLong.of(unixMillis.getAsLong() / windowMillis.getAsLong())
                : OptionalLong.empty();
    }

    /** Adds the counts that a control process has not acknowledged to the next message for it. */
    void addReport(long now, Address control, Subscribe.Builder subscribe) {
        if (windowMillis.isEmpty()) {
            return;
        }
        long since = acknowledged.getOrDefault(control, 0L);
        subscribe
                .setAskedAtNs(now)
                .setUsageVersion(ledger.version())
                .setUsageSince(since)
                .addAllUsage(ledger.changesSince(since))
                .setUsageUntil(window(now - LATE_COUNT_NANOS).orElse(0));
    }

    /** Receives the acknowledgement of a control process, and a reading of its clock. */
    void onUpdate(long now, Address control, Update update) {
        if (windowMillis.isEmpty()) {
            return;
        }
        acknowledged.put(control, update.getUsageHeard());
        ledger.discardThrough(update.getUsageSettled());
        if (update.getTakenAtUs() > 0) {
            clock.addRemoteReading(control, update.getAskedAtNs(), now, update.getTakenAtUs());
        }
    }
}
