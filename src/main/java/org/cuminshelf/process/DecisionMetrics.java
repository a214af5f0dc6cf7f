package org.cuminshelf.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashSet;
import java.util.Set;

/** Counts decisions, each of them, also those whose line the log left out under load. */
final class DecisionMetrics {

    private static final String OUTCOME = "outcome";
    private static final String FIRST_MILLIS = "first-ms";
    private static final String NONE = "none";
    private static final String ORGANISATION = "organisation";
    private static final String REQUEST = "request";
    private static final String OTHERS = "(others)";
    /** Organisations with a count of their own, so that the page stays below some 100 KB; the rest share one. */
    private static final int MOST_ORGANISATIONS = 500;

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final int STATUS_DIGITS = 3;
    /** Bounds around the targets of today's routes, 150 to 600 ms, in seconds. */
    private static final double[] BOUNDS = {0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 1, 2, 4, 8};

    private final Counter decisions;
    private final Histogram firstAnswer;
    private final Counter organisations;
    private final Set<String> named = new HashSet<>();

    private DecisionMetrics(PrometheusRegistry registry) {
        decisions = Counter.builder()
                .name("cuminshelf_decisions")
                .help("Decisions on requests, attempts and beliefs, by kind and outcome.")
                .labelNames("kind", OUTCOME)
                .register(registry);
        organisations = Counter.builder()
                .name("cuminshelf_organisation_requests")
                .help("Requests by the organisation in whose name they were made, and whether they were answered.")
                .labelNames(ORGANISATION, "answered")
                .register(registry);
        firstAnswer = Histogram.builder()
                .name("cuminshelf_first_answer_seconds")
                .help("Time from a request's arrival to its answer or the first event of its stream.")
                .classicOnly()
                .classicUpperBounds(BOUNDS)
                .register(registry);
    }

    static DecisionMetrics register(PrometheusRegistry registry) {
        return new DecisionMetrics(registry);
    }

    /** Counts a decision by its fields, names and values by turns. */
    void count(String kind, Object... fields) {
        String outcome = NONE;
        String organisation = NONE;
        for (int index = 0; index + 1 < fields.length; index += 2) {
            if (OUTCOME.equals(fields[index])) {
                outcome = String.valueOf(fields[index + 1]);
            } else if (ORGANISATION.equals(fields[index])) {
                organisation = String.valueOf(fields[index + 1]);
            } else if (FIRST_MILLIS.equals(fields[index])) {
                firstAnswer.observe(((Number) fields[index + 1]).doubleValue() / MILLIS_PER_SECOND);
            }
        }
        decisions.labelValues(kind, outcome).inc();
        if (REQUEST.equals(kind) && !NONE.equals(organisation)) {
            organisations
                    .labelValues(named(organisation), String.valueOf(isSuccess(outcome)))
                    .inc();
        }
    }

    private String named(String organisation) {
        if (named.size() < MOST_ORGANISATIONS) {
            named.add(organisation);
        }
        return named.contains(organisation) ? organisation : OTHERS;
    }

    /** Whether an outcome is the status of a success. */
    private static boolean isSuccess(String outcome) {
        return outcome.length() == STATUS_DIGITS && outcome.startsWith("2");
    }
}
