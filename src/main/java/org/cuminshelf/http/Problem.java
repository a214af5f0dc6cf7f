package org.cuminshelf.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.Locale;
import org.cuminshelf.message.Cause;
import org.cuminshelf.verdict.Verdict;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * An error response: problem JSON (RFC 9457) with the verdict and, if the request did not run, the time after which to
 * retry.
 *
 * @param status  HTTP status code
 * @param verdict whether the request may have run, and why it failed
 * @param detail  human-readable description
 */
public record Problem(int status, Verdict verdict, String detail) {

    /** Header with the verdict. */
    public static final String VERDICT_HEADER = "Cuminshelf-Verdict";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Creates the problem for a verdict.
     *
     * @param verdict whether the request may have run, and why it failed
     * @param detail  human-readable description, or empty for the default one of the cause
     * @return the problem
     */
    public static Problem of(Verdict verdict, String detail) {
        return new Problem(statusOf(verdict), verdict, detail.isEmpty() ? defaultDetail(verdict.cause()) : detail);
    }

    /**
     * Creates the problem for an invalid request.
     *
     * @param status HTTP status code
     * @param detail description of the error and how to correct it
     * @return the problem
     */
    public static Problem badRequest(int status, String detail) {
        return new Problem(status, new Verdict.NotRun(Cause.BAD_REQUEST, 0), detail);
    }

    /**
     * Writes the problem as the complete response.
     *
     * @param response response that isn't committed yet
     * @param callback completed when the response is written
     */
    public void write(Response response, Callback callback) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/problem+json");
        response.getHeaders().put(VERDICT_HEADER, verdict.label());
        if (verdict instanceof Verdict.NotRun notRun && notRun.retryAfterMillis() > 0) {
            long seconds = (notRun.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
        }
        response.write(true, ByteBuffer.wrap(json()), callback);
    }

    /**
     * Encodes the problem as JSON.
     *
     * @return JSON in UTF-8
     */
    public byte[] json() {
        ObjectNode body = JSON.createObjectNode()
                .put("type", "about:blank")
                .put("title", verdict.cause().name().toLowerCase(Locale.ROOT).replace('_', ' '))
                .put("status", status)
                .put("detail", detail)
                .put("verdict", verdict.label());
        if (verdict instanceof Verdict.NotRun notRun && notRun.retryAfterMillis() > 0) {
            body.put("retry_after_ms", notRun.retryAfterMillis());
        }
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The JSON object could not be encoded", e);
        }
    }

    private static int statusOf(Verdict verdict) {
        return switch (verdict.cause()) {
            case UNKNOWN_SERVICE, UNKNOWN_MODEL -> 404;
            case BAD_REQUEST -> 400;
            case KEY_CONFLICT -> 422;
            case KEY_IN_PROGRESS, KEY_UNRESOLVED -> 409;
            case LIMIT_REACHED -> 429;
            case DEADLINE_PASSED -> 504;
            case NO_UPSTREAM, OVERLOADED, LEAVING, NOT_READY, CLAIMS_FULL, CLAIMS_UNAVAILABLE, ROLE_CHANGING, REVOKED ->
                503;
            default -> 502;
        };
    }

    private static String defaultDetail(Cause cause) {
        return switch (cause) {
            case UNKNOWN_SERVICE -> "No such service is configured.";
            case UNKNOWN_MODEL -> "No such model is configured.";
            case NO_UPSTREAM -> "No upstream for this is there now.";
            case OVERLOADED -> "It can't be answered in time now.";
            case DEADLINE_PASSED -> "The deadline passed.";
            case LEAVING -> "This entry is leaving; try another.";
            case NOT_READY -> "This entry does not know the configuration yet.";
            case KEY_IN_PROGRESS -> "A request with this idempotency key is in progress.";
            case KEY_CONFLICT -> "This idempotency key was used with another request.";
            case KEY_UNRESOLVED ->
                "A request with this idempotency key may have run; its answer is lost. Check before a new"
                        + " key is used.";
            case LIMIT_REACHED -> "The organisation's limit is reached.";
            case CLAIMS_FULL, CLAIMS_UNAVAILABLE -> "Idempotency keys can't be claimed now.";
            case ANSWER_TOO_LARGE -> "It ran, but its answer is too large to keep.";
            default -> "The upstream did not answer in full.";
        };
    }
}
