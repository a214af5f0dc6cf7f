package org.cuminshelf.trial;

import java.util.Locale;

/**
 * Counts new streams and resumptions: all of them, those at entries in touch, and those after a loss. A resumption is
 * all tries of a caller since its last event; it goes on where one of them brings an event.
 */
final class ResumptionTally {

    /**
     * What holds of the entry that is asked, at the start or the end of a try.
     *
     * @param served  whether the entry lives and two engines of the stream's version serve
     * @param inTouch whether the entry is in touch
     * @param lost    whether the entry that began the stream, or control, has been harmed since
     */
    record Try(boolean served, boolean inTouch, boolean lost) {}

    /** Streams asked for and those of them that brought an event. */
    private static final class Count {
        private int asked;
        private int begun;

        private void add(boolean success) {
            asked++;
            begun += success ? 1 : 0;
        }

        private double share() {
            return asked == 0 ? 1 : (double) begun / asked;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%d of %d", begun, asked);
        }
    }

    /** The resumptions of one stream. */
    final class Series {
        private boolean served;
        private boolean inTouch;
        private boolean lost;

        private Series() {}

        /** Adds a try; one that failed counts only if what held at its start still holds at its end. */
        void add(Try start, Try end, boolean success, boolean isLast) {
            boolean wasServed = start.served && (success || end.served);
            boolean wasInTouch = wasServed && start.inTouch && (success || end.inTouch);
            if (wasInTouch) {
                triesInTouch.add(success);
            }
            served |= wasServed;
            inTouch |= wasInTouch;
            lost |= wasServed && start.lost;
            if (success || isLast) {
                if (served) {
                    resumed.add(success);
                }
                if (inTouch) {
                    resumedInTouch.add(success);
                }
                if (lost) {
                    resumedAfterLoss.add(success);
                }
                served = false;
                lost = false;
                inTouch = false;
            }
        }
    }

    private final Count fresh = new Count();
    private final Count freshInTouch = new Count();
    private final Count resumed = new Count();
    private final Count resumedInTouch = new Count();
    private final Count resumedAfterLoss = new Count();
    private final Count triesInTouch = new Count();

    Series newSeries() {
        return new Series();
    }

    /** Counts a new stream, asked of an entry that lived. */
    void countNew(Try start, Try end, boolean success) {
        if (start.served) {
            fresh.add(success);
        }
        if (start.inTouch && (success || end.inTouch)) {
            freshInTouch.add(success);
        }
    }

    int resumed() {
        return resumed.asked;
    }

    int resumedInTouch() {
        return resumedInTouch.asked;
    }

    int resumedAfterLoss() {
        return resumedAfterLoss.asked;
    }

    /** Share of the resumptions, at any entry, that go on, over that of new streams that begin. */
    double shareGoingOn() {
        return resumed.share() / fresh.share();
    }

    /** The same at entries in touch. */
    double shareGoingOnInTouch() {
        return resumedInTouch.share() / freshInTouch.share();
    }

    /** The same of streams whose first entry, or control, has been harmed since they began. */
    double shareGoingOnAfterLoss() {
        return resumedAfterLoss.share() / fresh.share();
    }

    @Override
    public String toString() {
        return "begun " + fresh + ", resumed " + resumed + ", after a loss " + resumedAfterLoss + "; in touch: begun "
                + freshInTouch + ", resumed " + resumedInTouch + ", tries " + triesInTouch;
    }
}
