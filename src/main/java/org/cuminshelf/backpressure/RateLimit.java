package org.cuminshelf.backpressure;

import java.util.OptionalDouble;

/** The limit that one start of an upstream states. */
final class RateLimit {

    /**
     * What the upstream said last.
     *
     * @param perSecond requests a second; empty once it names no limit any more
     * @param at        when that was known to hold, in nanoseconds
     */
    record Statement(OptionalDouble perSecond, long at) {}

    private Statement newest = new Statement(OptionalDouble.empty(), Long.MIN_VALUE);

    /** Requests a second that it takes now, if it states a limit. */
    OptionalDouble perSecond() {
        return newest.perSecond();
    }

    Statement newest() {
        return newest;
    }

    /**
     * Takes what an answer says. An answer without a limit lifts one only if its request was sent after the limit was
     * last named: answers overtake each other, and the head of a long stream was written before.
     *
     * @param now    when the answer came, in nanoseconds
     * @param sentAt when its request was sent, in nanoseconds
     * @param stated what it says
     */
    void heard(long now, long sentAt, StatedLimit stated) {
        switch (stated) {
            case StatedLimit.PerSecond(double requests) -> take(new Statement(OptionalDouble.of(requests), now));
            case StatedLimit.Unlimited() -> take(new Statement(OptionalDouble.empty(), sentAt));
            case StatedLimit.Unreadable unreadable -> {
                // The upstream may still be in need: what was known of it stands.
            }
        }
    }

    private void take(Statement statement) {
        if (statement.at() > newest.at()) {
            newest = statement;
        }
    }
}
