package org.cuminshelf.core;

/** Thrown in randomised runs when a promise does not hold. */
public final class InvariantViolation extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final String invariant;

    /**
     * Makes a breach.
     *
     * @param invariant the name of the invariant
     * @param detail    what was seen
     */
    public InvariantViolation(String invariant, String detail) {
        super(invariant + ": " + detail);
        this.invariant = invariant;
    }

    /**
     * Names the invariant that does not hold.
     *
     * @return its name
     */
    public String invariant() {
        return invariant;
    }
}
