package org.cuminshelf.trial;

/**
 * A time in which a sound engine sends nothing to some requests, before it goes on where it stopped.
 *
 * @param untilNanos when it is over
 * @param scope      which requests it concerns
 */
record EngineSilence(long untilNanos, Scope scope) {

    private static final int SOME_ONE_IN = 3;

    /** How far an engine is with a request. */
    enum Phase {
        UNREAD,
        BEFORE_HEAD,
        BETWEEN_EVENTS,
        WHOLE_ANSWER
    }

    /** Which requests a silence concerns. */
    enum Scope {
        /** All requests, also those that arrive meanwhile; connections are accepted and not read. */
        EVERYTHING,
        /** Streams whose first event is not sent. */
        BEFORE_HEAD,
        /** Streams that have begun. */
        BETWEEN_EVENTS,
        /** Requests that are answered as a whole. */
        WHOLE_ANSWERS,
        /** One request of three, wherever it is. */
        SOME_REQUESTS
    }

    boolean holds(Phase phase, String request) {
        return switch (scope) {
            case EVERYTHING -> true;
            case BEFORE_HEAD -> phase == Phase.BEFORE_HEAD;
            case BETWEEN_EVENTS -> phase == Phase.BETWEEN_EVENTS;
            case WHOLE_ANSWERS -> phase == Phase.WHOLE_ANSWER;
            case SOME_REQUESTS -> phase != Phase.UNREAD && Math.floorMod(request.hashCode(), SOME_ONE_IN) == 0;
        };
    }
}
