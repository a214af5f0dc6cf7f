package org.cuminshelf.bench;

import java.util.function.Supplier;

/** Heap in use, after collections. */
final class Heap {

    private static final int COLLECTIONS = 4;

    private Heap() {}

    /** The bytes that what a supplier makes keeps alive. */
    static long kept(Supplier<Object> made) {
        long before = used();
        Object alive = made.get();
        long after = used();
        java.lang.ref.Reference.reachabilityFence(alive);
        return after - before;
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
