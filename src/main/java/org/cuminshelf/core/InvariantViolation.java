package org.cuminshelf.core;

/** Thrown in randomised test runs when an invariant does not hold. */
public final class InvariantViolation extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final String invariant;

    /**
     * Creates an exception.
     *
     * @param invariant the name of the invariant
     * @param detail    the observed state that violates it
     */
    public InvariantViolation(String invariant, String detail) {
        super(invariant + ": " + detail);
        this.invariant = invariant;
    }

    /**
     * Returns the name of the violated invariant.
     *
     * @return the name
     */
    public String invariant() {
        return invariant;
    }
}
