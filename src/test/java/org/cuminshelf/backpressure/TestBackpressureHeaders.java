package org.cuminshelf.backpressure;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/** What a stand-in for an upstream asks for, in headers with the shortest names. */
public final class TestBackpressureHeaders {

    private TestBackpressureHeaders() {}

    /**
     * Reads what the head of an answer asks for.
     *
     * @param headers all headers
     * @return what they ask for
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
