package org.cuminshelf.poison;

/** Numbers changes, so that a listener can be told what changed since it last heard. */
public interface ChangeSequence {

    /**
     * Takes the next number.
     *
     * @param urgent whether listeners should hear of the change at once, rather than when they next ask
     * @return a number above all before, or the same one each time where changes need not be told apart
     */
    long next(boolean urgent);

    /**
     * Gives all changes one number.
     *
     * @param number the number
     * @return the numbers
     */
    static ChangeSequence constant(long number) {
        return urgent -> number;
    }
}
