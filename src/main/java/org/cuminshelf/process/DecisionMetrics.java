package org.cuminshelf.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashSet;
import java.util.Set;

/** Metrics of all logged decisions, including those whose log line was dropped by the rate limit. */
final class DecisionMetrics {

    private static final String OUTCOME = "outcome";
    private static final String FIRST_MILLIS = "first-ms";
    private static final String NONE = "none";
    private static final String ORGANISATION = "organisation";
    private static final String REQUEST = "request";
    private static final String OTHER_ORGANISATIONS = "(others)";
    /** Organisations with a label of their own, which keeps a scrape below some 100 KB; all others share one label. */
    private static final int MAX_ORGANISATION_LABELS = 500;

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final int STATUS_CODE_LENGTH = 3;
    /** Histogram bounds around the latency targets of the routes, 150 to 600 ms. */
    private static final double[] LATENCY_BOUNDS_SECONDS = {0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.4, 0.6, 1, 2, 4, 8};

    private final Counter decisions;
    private final Histogram timeToFirstAnswer;
    private final Counter organisationRequests;
    private final Set<String> labelledOrganisations = new HashSet<>();

    private DecisionMetrics(PrometheusRegistry registry) {
        decisions = Counter.builder()
                .name("cuminshelf_decisions")
                .help("Decisions on requests, attempts and upstream state, by kind and outcome.")
                .labelNames("kind", OUTCOME)
                .register(registry);
        organisationRequests = Counter.builder()
                .name("cuminshelf_organisation_requests")
                .help("Requests by organisation and whether they were answered successfully.")
                .labelNames(ORGANISATION, "answered")
                .register(registry);
        timeToFirstAnswer = Histogram.builder()
                .name("cuminshelf_first_answer_seconds")
                .help("Time from the arrival of a request to its answer or the first event of its stream.")
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
                .register(registry);
    }

    static DecisionMetrics register(PrometheusRegistry registry) {
        return new DecisionMetrics(registry);
    }

    /**
     * Counts a decision and, if it has a time to the first answer, records that.
     *
     * @param kind   kind of its subject, such as {@code request}
     * @param fields alternating names and values
     */
    void observe(String kind, Object... fields) {
        String outcome = NONE;
        String organisation = NONE;
        for (int index = 0; index + 1 < fields.length; index += 2) {
            if (OUTCOME.equals(fields[index])) {
                outcome = String.valueOf(fields[index + 1]);
            } else if (ORGANISATION.equals(fields[index])) {
                organisation = String.valueOf(fields[index + 1]);
            } else if (FIRST_MILLIS.equals(fields[index])) {
                timeToFirstAnswer.observe(((Number) fields[index + 1]).doubleValue() / MILLIS_PER_SECOND);
            }
        }
        decisions.labelValues(kind, outcome).inc();
        if (REQUEST.equals(kind) && !NONE.equals(organisation)) {
            organisationRequests
                    .labelValues(organisationLabel(organisation), String.valueOf(isSuccess(outcome)))
                    .inc();
        }
    }

    private String organisationLabel(String organisation) {
        if (labelledOrganisations.size() < MAX_ORGANISATION_LABELS) {
            labelledOrganisations.add(organisation);
        }
        return labelledOrganisations.contains(organisation) ? organisation : OTHER_ORGANISATIONS;
    }

    /** Returns whether an outcome is an HTTP status of the 2xx class. */
    private static boolean isSuccess(String outcome) {
        return outcome.length() == STATUS_CODE_LENGTH && outcome.startsWith("2");
    }
}
