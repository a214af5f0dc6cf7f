package org.cuminshelf.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import java.util.List;
import net.jqwik.api.Example;

/** Tests the counters of {@link DecisionMetrics}. */
class DecisionMetricsTest {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final DecisionMetrics metrics = DecisionMetrics.register(registry);

    private List<CounterSnapshot.CounterDataPointSnapshot> organisationPoints() {
        return registry.scrape().stream()
                .filter(snapshot -> snapshot.getMetadata().getName().equals("cuminshelf_organisation_requests"))
                .flatMap(snapshot -> ((CounterSnapshot) snapshot).getDataPoints().stream())
                .toList();
    }

    private double countOf(String organisation, String answered) {
        Labels labels = Labels.of("organisation", organisation, "answered", answered);
        return organisationPoints().stream()
                .filter(point -> point.getLabels().equals(labels))
                .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
                .sum();
    }

    @Example
    void requestsOfAnOrganisationAreCountedByWhetherTheyWereAnswered() {
        metrics.observe("request", "outcome", 200, "organisation", "acme");
        metrics.observe("request", "outcome", "not-run", "organisation", "acme");
        metrics.observe("request", "outcome", 500, "organisation", "acme");
        metrics.observe("attempt", "outcome", "broken", "organisation", "acme");
        assertThat(countOf("acme", "true")).isEqualTo(1);
        assertThat(countOf("acme", "false")).isEqualTo(2);
    }

    /* Guards against a metrics page that grows without bound on a deployment with many thousand organisations. */
    @Example
    void organisationsBeyondTheLimitShareOneCounter() {
        for (int index = 0; index < 2_000; index++) {
            metrics.observe("request", "outcome", 200, "organisation", "o" + index);
        }
        assertThat(organisationPoints()).hasSize(501);
        assertThat(countOf("(others)", "true")).isEqualTo(1_500);
    }
}
