package org.cuminshelf.backpressure;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/** What a stand-in for an upstream asks for, in headers with the shortest names. */
public final class DemandHeaders {

    private DemandHeaders() {}

    /**
     * Reads what the head of an answer asks for.
     *
     * @param headers all headers
     * @return what they ask for
     */
    public static Demands read(HttpFields headers) {
        String limit = headers.get("Limit");
        StatedLimit stated =
                limit == null ? new StatedLimit.Unlimited() : new StatedLimit.PerSecond(Double.parseDouble(limit));
        Optional<Duration> rest =
                Optional.ofNullable(headers.get("Rest")).map(millis -> Duration.ofMillis(Long.parseLong(millis)));
        return new Demands(stated, rest, headers.contains("Leaving"));
    }
}
