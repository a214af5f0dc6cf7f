package org.cuminshelf.backpressure;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Durations;

/**
 * Rest that upstreams asked for when they refused a request, by the identity of their starts: a circuit breaker whose
 * time the upstream states.
 *
 * <p>Failure it guards against: an upstream in need refuses all that comes and asks for some seconds without requests,
 * and each entry tries it again with every call, or with all calls at once when the time is over. After a rest one
 * request goes at a time until an answer shows that the upstream takes them again. A success of what was sent before
 * ends no rest.
 *
 * <p>Rest is asked of one VM. What other entries were asked for is a reason to prefer another upstream, and no more.
 */
public final class Rests {

    /**
     * Rest that this entry was asked for, for the other entries.
     *
     * @param start     identity of the upstream's start
     * @param leftNanos how much of it is left
     */
    public record Left(String start, long leftNanos) {}

    /** Time after which one more request is tried after a rest: refusals come much sooner. */
    private static final long TRIAL_PATIENCE = Durations.nanos(250);

    /** Time without any request after which a rest that is over is forgotten. */
    private static final long KEPT = Durations.nanos(60_000);

    /** What one start asked for. */
    private static final class Rest {
        private long until;
        /** When the last request after the rest was tried; the rest goes on until one is answered. */
        private long triedAt = Long.MIN_VALUE / 2;

        private Rest(long until) {
            this.until = until;
        }

        private long next() {
            return Math.max(until, triedAt + TRIAL_PATIENCE);
        }
    }

    private final Map<String, Rest> rests = new HashMap<>();
    /** When the rest ends that other entries were asked for. */
    private final Map<String, Long> elsewhere = new HashMap<>();

    private Rests() {}

    /**
     * Makes a table in which no upstream rests.
     *
     * @return the table
     */
    public static Rests none() {
        return new Rests();
    }

    /**
     * Takes a refusal that asks for rest. A shorter one that comes later ends no longer one.
     *
     * @param now   when it came, in nanoseconds
     * @param start identity of the upstream's start
     * @param rest  how long it wants nothing from here
     */
    public void asked(long now, String start, Duration rest) {
        Rest known = rests.computeIfAbsent(start, key -> new Rest(now));
        known.until = Math.max(known.until, now + rest.toNanos());
    }

    /**
     * Takes any other answer. It ends a rest that is over in time, if its request was sent after that.
     *
     * @param start  identity of the upstream's start
     * @param sentAt when its request was sent, in nanoseconds
     */
    public void answered(String start, long sentAt) {
        Rest known = rests.get(start);
        if (known != null && sentAt >= known.until) {
            rests.remove(start);
        }
    }

    /**
     * Takes rest that another entry was asked for.
     *
     * @param now  the time in nanoseconds
     * @param left what is left of it
     */
    public void told(long now, Left left) {
        elsewhere.merge(left.start(), now + left.leftNanos(), Math::max);
    }

    /**
     * Tells when a request may be sent to an upstream.
     *
     * @param start identity of its start
     * @return a time in nanoseconds; {@link Long#MIN_VALUE} where it asked for nothing
     */
    public long next(String start) {
        Rest known = rests.get(start);
        return known == null ? Long.MIN_VALUE : known.next();
    }

    /**
     * Tells whether any upstream may have asked another entry for rest that isn't over.
     *
     * @return false if none did
     */
    public boolean isAnyAskedElsewhere() {
        return !elsewhere.isEmpty();
    }

    /**
     * Tells whether an upstream asked another entry for rest that isn't over.
     *
     * @param now   the time in nanoseconds
     * @param start identity of its start
     * @return true if it did
     */
    public boolean isAskedElsewhere(long now, String start) {
        return elsewhere.getOrDefault(start, Long.MIN_VALUE) > now;
    }

    /**
     * Takes note of a request that is sent.
     *
     * @param now   the time in nanoseconds
     * @param start identity of the upstream's start
     */
    public void use(long now, String start) {
        Rest known = rests.get(start);
        if (known != null) {
            known.triedAt = now;
        }
    }

    /**
     * Forgets what is over.
     *
     * @param now the time in nanoseconds
     */
    public void tick(long now) {
        elsewhere.values().removeIf(until -> until <= now);
        rests.values().removeIf(rest -> now - rest.next() > KEPT);
    }

    /**
     * What the other entries should hear.
     *
     * @param now the time in nanoseconds
     * @return rest that this entry was asked for and that isn't over
     */
    public List<Left> heardHere(long now) {
        return rests.entrySet().stream()
                .filter(entry -> entry.getValue().until > now)
                .map(entry -> new Left(entry.getKey(), entry.getValue().until - now))
                .toList();
    }

    /**
     * Counts the upstreams that asked this entry for rest which isn't over.
     *
     * @param now the time in nanoseconds
     * @return their number
     */
    public long resting(long now) {
        return rests.values().stream().filter(rest -> rest.until > now).count();
    }
}
