package org.cuminshelf.trial;

import java.util.Map;
import java.util.TreeMap;

/**
 * What happened in one or more randomised runs.
 *
 * @param seed           the seed, the last one for several runs
 * @param virtualNanos   virtual time
 * @param events         events
 * @param messages       messages between processes
 * @param calls          calls made
 * @param whole          calls answered in full
 * @param lost           calls that ended in time with neither an answer nor a refusal, while their entry lived
 * @param configurations configurations accepted
 * @param orders         orders obeyed by engines
 * @param faults         faults injected, by kind
 */
public record CheckReport(
        long seed,
        long virtualNanos,
        long events,
        long messages,
        long calls,
        long whole,
        long lost,
        long configurations,
        long orders,
        Map<Fault, Long> faults) {

    /**
     * Adds up two reports.
     *
     * @param other the later one
     * @return the sum
     */
    public CheckReport plus(CheckReport other) {
        Map<Fault, Long> sum = new TreeMap<>(faults);
        other.faults.forEach((fault, count) -> sum.merge(fault, count, Long::sum));
        return new CheckReport(
                other.seed,
                virtualNanos + other.virtualNanos,
                events + other.events,
                messages + other.messages,
                calls + other.calls,
                whole + other.whole,
                lost + other.lost,
                configurations + other.configurations,
                orders + other.orders,
                sum);
    }

    @Override
    public String toString() {
        double hours = virtualNanos / 3.6e12;
        return String.format(
                "%.2f virtual hours, %d events, %d messages, %d calls (%d whole, %d lost), %d configurations, %d"
                        + " orders, faults %s",
                hours, events, messages, calls, whole, lost, configurations, orders, new TreeMap<>(faults));
    }
}
