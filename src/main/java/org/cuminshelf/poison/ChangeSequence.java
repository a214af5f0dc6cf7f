package org.cuminshelf.poison;

/** Numbers changes, so that a subscriber can be sent what changed since its last update. */
public interface ChangeSequence {

    /**
     * Returns the next number.
     *
     * @param urgent whether subscribers are to receive the change at once, instead of when they next poll
     * @return a number above all earlier ones, or the same one each time if changes need not be distinguished
     */
    long next(boolean urgent);

    /**
     * Creates a sequence that gives all changes one number.
     *
     * @param number the number
     * @return the sequence
     */
    static ChangeSequence constant(long number) {
        return urgent -> number;
    }
}
