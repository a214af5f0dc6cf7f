package org.cuminshelf.platform;

import java.util.Set;

/** The platform's headers. */
final class PlatformHeaders {

    /** Names a request of a caller; each try of a caller has its own. Upstreams echo it. */
    static final String REQUEST_ID = "X-Cuminshelf-Request-Id";
    /** Milliseconds of patience left, a duration and not a time. */
    static final String DEADLINE = "X-Cuminshelf-Deadline-Ms";
    /** The parts of a prompt in order, as ID:TOKENS. */
    static final String PROMPT_PARTS = "X-Cuminshelf-Prompt-Prefix";
    /** Tokens of the prompt and most tokens of the output; no usage yet, in spite of the name. */
    static final String TOKENS = "X-Cuminshelf-Token-Usage";

    static final String MODEL = "X-Cuminshelf-Model";
    /** What the caller expects of output tokens. */
    static final String LENGTH_HINT = "X-Cuminshelf-Length-Hint";
    /** The last event that the receiver of a stream holds. */
    static final String LAST_EVENT = "Last-Event-Id";
    /** The key of the caller's organisation, on deployments that have keys; upstreams never get it. */
    static final String CALLER_KEY = "X-Cuminshelf-Credential";
    /** The name of the organisation in which a request runs, for its upstream. */
    static final String ORGANISATION = "X-Cuminshelf-Tenant";
    /** Marks an answer as that of a run. */
    static final String SEAL = "X-Cuminshelf-Response-Seal";
    /** Identity of the start of an upstream that is to answer. */
    static final String EXPECTED_START = "X-Cuminshelf-Expect-Instance";
    /** Identity of the start of an upstream that answered. */
    static final String ANSWERING_START = "X-Cuminshelf-Instance-Id";
    /** Present where the upstream states that the request did not run. */
    static final String NOT_EXECUTED = "X-Cuminshelf-Not-Executed";

    /** Requests a second that the answering upstream takes from all VMs together, a decimal number. */
    static final String RATE_LIMIT = "Server-Limit";

    /** Present where the answering upstream says that it leaves. */
    static final String LEAVING = "Server-Leaving";

    /** Place in the engine's queue, 0 to 9. */
    static final String PRIORITY = "X-Cuminshelf-Request-Priority";
    /** With the value {@link #PREFILL}: take in the prompt only. */
    static final String STAGE = "X-Cuminshelf-Stage";

    static final String PREFILL = "prefill";
    /** IP:PORT/HANDLE of the KV cache to fetch. */
    static final String CACHE_SOURCE = "X-Cuminshelf-Kv-Source";

    /** IP:PORT of another engine from which shared parts of the prompt are fetched. */
    static final String PART_SOURCE = "Kv-Fetch";

    /** Headers that are for the system or that only it sets; what a caller sends in them is not passed on. */
    static final Set<String> NOT_PASSED_ON = Set.of(
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
