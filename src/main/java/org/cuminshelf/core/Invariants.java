package org.cuminshelf.core;

import java.util.function.Supplier;

/**
 * Receives the outcome of the assertions that the cores make of themselves. Randomised runs stop at the first breach;
 * a serving process counts and logs it and goes on, since a crash would take the other requests with it.
 */
public interface Invariants {

    /**
     * Asserts that a promise holds.
     *
     * @param holds  whether it holds
     * @param name   the name of the invariant, as listed in docs/PROOF.md
     * @param detail what was seen; asked for only on a breach
     */
    void check(boolean holds, String name, Supplier<String> detail);

    /**
     * Makes a receiver that throws at the first breach.
     *
     * @return the receiver
     */
    static Invariants throwing() {
        return (holds, name, detail) -> {
            if (!holds) {
                throw new InvariantViolation(name, detail.get());
            }
        };
    }
}
