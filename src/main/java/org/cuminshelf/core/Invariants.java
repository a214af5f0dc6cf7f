package org.cuminshelf.core;

import java.util.function.Supplier;

/**
 * Checks the invariants of the cores at run time. Randomised test runs stop at the first violation; a serving process
 * counts and logs it and continues, since a crash would lose all other requests.
 */
public interface Invariants {

    /**
     * Checks an invariant.
     *
     * @param holds  whether the invariant holds
     * @param name   the name of the invariant, as listed in docs/PROOF.md
     * @param detail supplies the observed state; called only on a violation
     */
    void check(boolean holds, String name, Supplier<String> detail);

    /**
     * Returns an implementation that throws {@link InvariantViolation} at the first violation.
     *
     * @return the implementation
     */
    static Invariants throwing() {
        return (holds, name, detail) -> {
            if (!holds) {
                throw new InvariantViolation(name, detail.get());
            }
        };
    }
}
