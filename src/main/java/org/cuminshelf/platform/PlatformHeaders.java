package org.cuminshelf.platform;

import java.util.Set;

/** Names of the platform's HTTP headers. */
final class PlatformHeaders {

    /** Identifier of a caller's request; the caller uses a new one for each of its retries. Upstreams echo it. */
    static final String REQUEST_ID = "X-Cuminshelf-Request-Id";
    /** Time left for the response in milliseconds: a duration, not a point in time. */
    static final String DEADLINE = "X-Cuminshelf-Deadline-Ms";
    /** Segments of a prompt in order, each as ID:TOKENS, separated by commas. */
    static final String PROMPT_SEGMENTS = "X-Cuminshelf-Prompt-Prefix";
    /** Token count of the prompt and maximum of the output; a request header, in spite of its name. */
    static final String TOKEN_COUNTS = "X-Cuminshelf-Token-Usage";

    static final String MODEL = "X-Cuminshelf-Model";
    /** Number of output tokens that the caller expects. */
    static final String LENGTH_HINT = "X-Cuminshelf-Length-Hint";
    /** Id of the last event of a stream that the caller received; the stream resumes after it. */
    static final String LAST_EVENT_ID = "Last-Event-Id";
    /** Id of the caller's request that brought the first event of the stream that it resumes. */
    static final String RESUMES = "Resumes";
    /** API key of the caller's organisation, in deployments with keys; never forwarded to upstreams. */
    static final String API_KEY = "X-Cuminshelf-Credential";
    /** Name of the organisation for which the upstream runs the request. */
    static final String ORGANISATION = "X-Cuminshelf-Tenant";
    /** Present on a response that the upstream produced by executing the request. */
    static final String RESPONSE_SEAL = "X-Cuminshelf-Response-Seal";
    /** Id of the upstream instance that must handle the request; each start of an upstream is a new instance. */
    static final String EXPECTED_INSTANCE = "X-Cuminshelf-Expect-Instance";
    /** Id of the upstream instance that responded. */
    static final String RESPONDING_INSTANCE = "X-Cuminshelf-Instance-Id";
    /** Present if the upstream guarantees that it did not execute the request. */
    static final String NOT_EXECUTED = "X-Cuminshelf-Not-Executed";

    /** Requests per second that the responding upstream accepts from all VMs together, as a decimal number. */
    static final String RATE_LIMIT = "Server-Limit";

    /** Has the value 1 if the responding upstream is shutting down. */
    static final String LEAVING = "Server-Leaving";

    /** Priority in the engine's queue: 0 (first) to 9 (last). */
    static final String PRIORITY = "X-Cuminshelf-Request-Priority";
    /** With the value {@link #STAGE_PREFILL}: process the prompt only. */
    static final String STAGE = "X-Cuminshelf-Stage";

    static final String STAGE_PREFILL = "prefill";
    /** KV cache to fetch, as IP:PORT/HANDLE. */
    static final String KV_CACHE_SOURCE = "X-Cuminshelf-Kv-Source";

    /** Address (IP:PORT) of another engine from which the KV cache of shared prompt segments is fetched. */
    static final String PREFIX_SOURCE = "Kv-Fetch";

    /** Headers, in lower case, that only this system reads or sets; a caller's values are not forwarded. */
    static final Set<String> NOT_FORWARDED = Set.of(
            "x-cuminshelf-credential",
            "x-cuminshelf-tenant",
            "x-cuminshelf-deadline-ms",
            "x-cuminshelf-expect-instance",
            "x-cuminshelf-expect-version",
            "x-cuminshelf-request-priority",
            "x-cuminshelf-stage",
            "x-cuminshelf-kv-source",
            "x-cuminshelf-kv-backup",
            "x-cuminshelf-kv-hold",
            "x-cuminshelf-pin-ms",
            "kv-fetch",
            "x-cuminshelf-kv-fetch",
            "last-event-id");

    private PlatformHeaders() {}
}
