package org.cuminshelf.trial;

import org.HdrHistogram.Histogram;

/**
 * What came of one policy under one mix.
 *
 * @param contender   the policy
 * @param mix         the mix
 * @param engines     engines in the fleet
 * @param offered     calls offered
 * @param timely      calls answered in full and in time
 * @param late        calls answered in full, but late
 * @param refused     calls refused before they ran
 * @param cut         calls cut short
 * @param roleChanges role changes carried out
 * @param bound       the share of the offered work that a clairvoyant could serve
 * @param firstToken  time to the first token in milliseconds
 * @param gap         mean gap between tokens of each call in milliseconds
 * @param seconds     virtual seconds
 */
public record ExperimentResult(
        String contender,
        Mix mix,
        int engines,
        long offered,
        long timely,
        long late,
        long refused,
        long cut,
        long roleChanges,
        double bound,
        Histogram firstToken,
        Histogram gap,
        double seconds) {

    /** Head of the lines of {@link #csv()}. */
    public static final String CSV_HEAD = "mix,engines,policy,offered,goodput_per_s,share_of_bound,role_changes,late,"
            + "refused,cut,first_p50_ms,first_p95_ms,first_p99_ms,gap_p50_ms,gap_p95_ms,gap_p99_ms";

    /**
     * Goodput against what a clairvoyant could serve.
     *
     * @return 1 where nothing more was possible
     */
    public double shareOfBound() {
        return timely / (offered * bound);
    }

    /**
     * One line of a table.
     *
     * @return values separated by commas
     */
    public String csv() {
        return String.format(
                "%s,%d,%s,%d,%.2f,%.3f,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d",
                mix.title().replace(',', ';'),
                engines,
                contender.replace(',', ';'),
                offered,
                timely / seconds,
                shareOfBound(),
                roleChanges,
                late,
                refused,
                cut,
                firstToken.getValueAtPercentile(50),
                firstToken.getValueAtPercentile(95),
                firstToken.getValueAtPercentile(99),
                gap.getValueAtPercentile(50),
                gap.getValueAtPercentile(95),
                gap.getValueAtPercentile(99));
    }
}
