package org.cuminshelf.backpressure;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/** Test format of flow control signals: headers with minimal names, for simulated upstreams. */
public final class TestBackpressureHeaders {

    private TestBackpressureHeaders() {}

    /**
     * Reads the signals in the head of an answer.
     *
     * @param headers all headers
     * @return the signals
     */
    public static BackpressureSignals read(HttpFields headers) {
        String limit = headers.get("Limit");
        AdvertisedLimit stated = limit == null
                ? new AdvertisedLimit.Unlimited()
                : new AdvertisedLimit.PerSecond(Double.parseDouble(limit));
        Optional<Duration> rest =
                Optional.ofNullable(headers.get("Rest")).map(millis -> Duration.ofMillis(Long.parseLong(millis)));
        return new BackpressureSignals(stated, rest, headers.contains("Leaving"));
    }
}
