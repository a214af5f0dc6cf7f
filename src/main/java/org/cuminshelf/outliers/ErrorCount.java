package org.cuminshelf.outliers;

import org.cuminshelf.core.Durations;

/** Exponentially decaying numbers of answers and of the errors among them. */
final class ErrorCount {

    /** Time constant: long enough for some twenty answers of an engine, short compared with the time of a fault. */
    private static final double DECAY_NANOS = Durations.nanos(3_000);

    private double answers;
    private double errors;
    private long updatedAt;

    ErrorCount(long now) {
        updatedAt = now;
    }

    void add(long now, int newAnswers, int newErrors) {
        decay(now);
        answers += newAnswers;
        errors += newErrors;
    }

    void decay(long now) {
        double factor = Math.exp((updatedAt - now) / DECAY_NANOS);
        answers *= factor;
        errors *= factor;
        updatedAt = now;
    }

    /** Answers as of the last update, errors included. */
    double answers() {
        return answers;
    }

    /** Errors as of the last update. */
    double errors() {
        return errors;
    }
}
