package org.cuminshelf.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import java.util.List;
import net.jqwik.api.Example;

/** What the metrics tell of decisions. */
class DecisionMetricsTest {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final DecisionMetrics metrics = DecisionMetrics.register(registry);

    private List<CounterSnapshot.CounterDataPointSnapshot> organisations() {
        return registry.scrape().stream()
                .filter(one -> one.getMetadata().getName().equals("cuminshelf_organisation_requests"))
                .flatMap(one -> ((CounterSnapshot) one).getDataPoints().stream())
                .toList();
    }

    private double count(String organisation, String answered) {
        Labels labels = Labels.of("organisation", organisation, "answered", answered);
        return organisations().stream()
                .filter(point -> point.getLabels().equals(labels))
                .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
                .sum();
    }

    @Example
    void anOrganisationsRequestsAreCountedByWhetherTheyWereAnswered() {
        metrics.count("request", "outcome", 200, "organisation", "acme");
        metrics.count("request", "outcome", "not-run", "organisation", "acme");
        metrics.count("request", "outcome", 500, "organisation", "acme");
        metrics.count("attempt", "outcome", "broken", "organisation", "acme");
        assertThat(count("acme", "true")).isEqualTo(1);
        assertThat(count("acme", "false")).isEqualTo(2);
    }

    /* The page of metrics grows without bound on a deployment of many thousand organisations. */
    @Example
    void onlySoManyOrganisationsHaveACountOfTheirOwn() {
        for (int number = 0; number < 2_000; number++) {
            metrics.count("request", "outcome", 200, "organisation", "o" + number);
        }
        assertThat(organisations()).hasSize(501);
        assertThat(count("(others)", "true")).isEqualTo(1_500);
    }
}
