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
 * Counts the calls of organisations that began to run here, in windows of the time that the fleet agrees on, and tells
 * all control processes.
 */
final class UsageMeter {

    /**
     * Time after the end of a window in which calls of it may still be counted here: a plain call is counted when it is
     * answered, for the moment at which it was sent.
     */
    private static final long LATE_COUNTS = Durations.nanos(1_000);

    private final OptionalLong windowMillis;
    private final DecisionLog log;
    private final FleetClock clock = FleetClock.create();
    private final UsageCounter ledger = UsageCounter.create();
    /** Up to which of the changes here each control process has heard. */
    private final Map<Address, Long> heard = new HashMap<>();

    UsageMeter(OptionalLong windowMillis, DecisionLog log) {
        this.windowMillis = windowMillis;
        this.log = log;
    }

    /** Takes a reading of the own time of day. */
    void onWallClock(long now, long unixMillis) {
        clock.addOwnReading(now, unixMillis);
    }

    /** A call began to run; it counts once, however often it is sent. */
    void recordStart(DirectCall call, long at) {
        Optional<Organisation> organisation = call.organisation;
        if (call.usageCounted || organisation.isEmpty()) {
            return;
        }
        call.usageCounted = true;
        OptionalLong window = window(at);
        if (window.isPresent()
                && !ledger.count(window.getAsLong(), organisation.get().name())) {
            log.note("usage", call.intent.id(), "outcome", "too-late", "window", window.getAsLong());
        }
    }

    private OptionalLong window(long at) {
        OptionalLong time = clock.unixMillis(at);
        return windowMillis.isPresent() && time.isPresent()
                ? OptionalLong.of(time.getAsLong() / windowMillis.getAsLong())
                : OptionalLong.empty();
    }

    /** Adds what a control process has not heard yet. */
    void addReport(long now, Address control, Subscribe.Builder subscribe) {
        if (windowMillis.isEmpty()) {
            return;
        }
        long since = heard.getOrDefault(control, 0L);
        subscribe
                .setAskedAtNs(now)
                .setUsageVersion(ledger.version())
                .setUsageSince(since)
                .addAllUsage(ledger.changesSince(since))
                .setUsageUntil(window(now - LATE_COUNTS).orElse(0));
    }

    void onUpdate(long now, Address control, Update update) {
        if (windowMillis.isEmpty()) {
            return;
        }
        heard.put(control, update.getUsageHeard());
        ledger.discardThrough(update.getUsageSettled());
        if (update.getTakenAtUs() > 0) {
            clock.addRemoteReading(control, update.getAskedAtNs(), now, update.getTakenAtUs());
        }
    }
}
