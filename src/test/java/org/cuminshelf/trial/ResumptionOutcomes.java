package org.cuminshelf.trial;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.cuminshelf.direct.DecisionLog;

/** Counts the outcomes of resumptions that entries log; prints the lines themselves with -Dversions.trace=true. */
final class ResumptionOutcomes implements DecisionLog {

    private static final boolean TRACING = Boolean.getBoolean("versions.trace");

    private final Map<String, Integer> counts = new TreeMap<>();
    private final LongSupplier clock;

    ResumptionOutcomes(LongSupplier clock) {
        this.clock = clock;
    }

    @Override
    public void note(String kind, String id, Object... fields) {
        if (kind.equals("resumption")) {
            for (int index = 0; index + 1 < fields.length; index += 2) {
                if (fields[index].equals("outcome")) {
                    counts.merge(fields[index + 1].toString(), 1, Integer::sum);
                }
            }
        }
        if (kind.equals("resumption") || kind.equals("request")) {
            trace(kind, id, fields);
        }
    }

    /** Prints a line about a subject if lines are printed. */
    void trace(String kind, String id, Object... fields) {
        if (!TRACING) {
            return;
        }
        StringBuilder line = new StringBuilder();
        line.append(clock.getAsLong() / 1_000_000)
                .append(" ms ")
                .append(kind)
                .append('=')
                .append(id);
        for (int index = 0; index + 1 < fields.length; index += 2) {
            line.append(' ').append(fields[index]).append('=').append(fields[index + 1]);
        }
        System.out.println(line);
    }

    @Override
    public void noteCompletion(String id, Object... fields) {
        // Only resumptions are counted.
    }

    @Override
    public String toString() {
        return "outcomes " + counts;
    }
}
