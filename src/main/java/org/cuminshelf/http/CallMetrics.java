package org.cuminshelf.http;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.cuminshelf.message.AnswerEnd;

/** Counts an entry's calls. */
public final class CallMetrics {

    private final Counter calls;
    private final Counter tokens;
    private final Gauge open;

    private CallMetrics(PrometheusRegistry registry) {
        calls = Counter.builder()
                .name("cuminshelf_calls")
                .help("Calls answered, by verdict and cause.")
                .labelNames("verdict", "cause", "whole")
                .register(registry);
        tokens = Counter.builder()
                .name("cuminshelf_output_tokens")
                .help("Tokens given to callers.")
                .register(registry);
        open = Gauge.builder()
                .name("cuminshelf_open_calls")
                .help("Calls not answered yet.")
                .register(registry);
    }

    /**
     * Registers the counts.
     *
     * @param registry where
     * @return the counts
     */
    public static CallMetrics register(PrometheusRegistry registry) {
        return new CallMetrics(registry);
    }

    void started() {
        open.inc();
    }

    void ended(String verdict, AnswerEnd end) {
        open.dec();
        tokens.inc(end.getOutputTokens());
        String cause = end.getCause().name().toLowerCase(Locale.ROOT);
        calls.labelValues(verdict, cause, String.valueOf(end.getWhole())).inc();
    }
}
