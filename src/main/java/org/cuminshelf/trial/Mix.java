package org.cuminshelf.trial;

/** How the offered work moves over a run: its height, and the share of it that is prefill. */
public enum Mix {
    /** The mix stays. */
    STEADY("steady", 900) {
        @Override
        double prefillShare(double seconds) {
            return 0.45;
        }
    },
    /** The mix swings within minutes. */
    SWING("swing within minutes", 900) {
        @Override
        double prefillShare(double seconds) {
            return 0.45 + 0.25 * Math.sin(2 * Math.PI * seconds / 300);
        }
    },
    /** The mix moves by half, slowly. */
    DRIFT("drift by half in a day, a day in 40 minutes", 2_400) {
        @Override
        double prefillShare(double seconds) {
            return 0.45 + 0.225 * Math.sin(2 * Math.PI * seconds / 2_400);
        }
    },
    /** At the hour of an event the load jumps and turns to prompts. */
    BURST("burst at the hour of an event", 900) {
        @Override
        double prefillShare(double seconds) {
            return isEvent(seconds) ? 0.7 : 0.35;
        }

        @Override
        double load(double seconds) {
            return isEvent(seconds) ? 0.8 : 0.4;
        }

        private boolean isEvent(double seconds) {
            return seconds >= 300 && seconds < 600;
        }
    },
    /** A counter that compares long sheets most of the time. */
    SHEETS("sheet-heavy counter", 900) {
        @Override
        double prefillShare(double seconds) {
            return seconds % 180 < 120 ? 0.7 : 0.5;
        }
    },
    /** Twice the usual load. */
    OVERLOAD("twice the load", 600) {
        @Override
        double prefillShare(double seconds) {
            return 0.45;
        }

        @Override
        double load(double seconds) {
            return seconds >= 120 && seconds < 420 ? 1.3 : 0.65;
        }
    },
    /** The mix flaps faster than a change pays. */
    FLAPPING("adversarial flapping", 900) {
        @Override
        double prefillShare(double seconds) {
            return seconds % 40 < 20 ? 0.6 : 0.3;
        }
    };

    private static final double USUAL_LOAD = 0.65;

    private final String title;
    private final double seconds;

    Mix(String title, double seconds) {
        this.title = title;
        this.seconds = seconds;
    }

    /**
     * Says what the mix is.
     *
     * @return a few words
     */
    public String title() {
        return title;
    }

    /**
     * The length of a run.
     *
     * @return virtual seconds
     */
    public double seconds() {
        return seconds;
    }

    /** The share of the work that is prefill, in engine seconds. */
    abstract double prefillShare(double seconds);

    /** The offered work, in engines' worth for each engine of the fleet. */
    double load(double seconds) {
        return USUAL_LOAD;
    }
}
