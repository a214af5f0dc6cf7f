package org.cuminshelf.process;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;

/** A core that is due all the time and fails on request. */
final class FaultyCore implements Core {

    final AtomicInteger ticks = new AtomicInteger();
    final AtomicInteger messages = new AtomicInteger();
    /** Number of the next ticks that fail. */
    final AtomicInteger failingTicks = new AtomicInteger();
    /** Number of the next messages that fail. */
    final AtomicInteger failingMessages = new AtomicInteger();
    /** Runs in each tick that does not fail. */
    volatile Consumer<Outbox> onTick = out -> {};

    volatile long nextDueNanos = Long.MIN_VALUE;

    @Override
    public void accept(long now, Envelope input, Outbox out) {
        failIfAsked(failingMessages, "message");
        messages.incrementAndGet();
    }

    @Override
    public void tick(long now, Outbox out) {
        failIfAsked(failingTicks, "tick");
        ticks.incrementAndGet();
        nextDueNanos = now + 1_000_000;
        onTick.accept(out);
    }

    private static void failIfAsked(AtomicInteger remaining, String what) {
        if (remaining.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            throw new IllegalStateException("a " + what + " that fails in this test");
        }
    }

    @Override
    public long nextDue() {
        return nextDueNanos;
    }

    /** Waits until the core has been ticked that often more. */
    boolean awaitTicks(int count) throws InterruptedException {
        int target = ticks.get() + count;
        for (int poll = 0; poll < 1_000 && ticks.get() < target; poll++) {
            Thread.sleep(5);
        }
        return ticks.get() >= target;
    }
}
