package org.cuminshelf.bench;

import java.util.function.Supplier;

/** Measures heap use after garbage collection. */
final class Heap {

    private static final int GC_CYCLES = 4;

    private Heap() {}

    /** Returns the number of heap bytes retained by the object that the factory creates. */
    static long retainedBytes(Supplier<Object> factory) {
        long before = usedBytesAfterGc();
        Object retained = factory.get();
        long after = usedBytesAfterGc();
        java.lang.ref.Reference.reachabilityFence(retained);
        return after - before;
    }

    private static long usedBytesAfterGc() {
        for (int i = 0; i < GC_CYCLES; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
