package org.cuminshelf.http;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.cuminshelf.message.AnswerEnd;

/** Prometheus metrics of an entry's calls. */
public final class CallMetrics {

    private final Counter calls;
    private final Counter outputTokens;
    private final Gauge openCalls;

    private CallMetrics(PrometheusRegistry registry) {
        calls = Counter.builder()
                .name("cuminshelf_calls")
                .help("Calls that were answered, by verdict and cause.")
                .labelNames("verdict", "cause", "whole")
                .register(registry);
        outputTokens = Counter.builder()
                .name("cuminshelf_output_tokens")
                .help("Output tokens sent to callers.")
                .register(registry);
        openCalls = Gauge.builder()
                .name("cuminshelf_open_calls")
                .help("Calls in progress.")
                .register(registry);
    }

    /**
     * Registers the metrics.
     *
     * @param registry registry to which they are added
     * @return the metrics
     */
    public static CallMetrics register(PrometheusRegistry registry) {
        return new CallMetrics(registry);
    }

    void onStarted() {
        openCalls.inc();
    }

    void onEnded(String verdict, AnswerEnd end) {
        openCalls.dec();
        outputTokens.inc(end.getOutputTokens());
        String cause = end.getCause().name().toLowerCase(Locale.ROOT);
        calls.labelValues(verdict, cause, String.valueOf(end.getWhole())).inc();
    }
}
