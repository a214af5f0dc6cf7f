package org.cuminshelf.entry;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.message.AttemptRef;
import org.cuminshelf.message.CallArrived;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Exchange;
import org.cuminshelf.message.ExchangeHead;
import org.cuminshelf.message.Generation;

/** The state of one call: a request of a caller, its attempts and its answer. */
final class CallRow {

    /** The phase of a call. */
    enum Phase {
        /** Waits for an upstream. */
        WAITING,
        /** Waits for the claim of its idempotency key. */
        CLAIMING,
        /** Queries the sidecar of the attempt that holds the key about that attempt. */
        QUERYING_HOLDER,
        /** An attempt was dispatched and runs, or may run. */
        RUNNING,
        /** The answer is complete and is being recorded under the idempotency key. */
        RECORDING,
        /** The final answer was delivered. */
        DONE
    }

    final long id;
    final CallArrived request;
    final long arrivedAtNanos;
    final long deadlineNanos;
    final int priority;
    Phase phase = Phase.WAITING;
    /** Start tag in the fair queue of waiting calls. */
    double startTag;

    /** Upstreams that this call is not sent to for now. */
    final Set<Address> excludedUpstreams = new HashSet<>();
    /** The current attempt; null if there is none. */
    AttemptRow attempt;

    int attemptCount;
    /** Whether the request may have run in an earlier attempt. */
    boolean mayHaveRun;

    /** Tokens delivered to the caller, in order. */
    final List<String> deliveredTokens = new ArrayList<>();

    /** Address of the sidecar whose engine holds the KV cache of this call after prefill; empty if there is none. */
    String kvCacheSource = "";

    long firstTokenAtNanos = Core.NEVER;
    /** Bytes of the answer body received in the current attempt of an exchange. */
    long receivedBytes;

    ExchangeHead answerHead;
    boolean headDelivered;
    /** Answer body of a call with an idempotency key, kept until it is recorded. */
    ByteString bufferedBody = ByteString.EMPTY;

    boolean callerDisconnected;

    // State of the claim of the call's idempotency key.
    boolean claimGranted;
    AttemptRef claimedAttempt;
    /** The attempt that holds the claim but did not run, so that the claim can move from it; null if there is none. */
    AttemptRef moveClaimFrom;

    Cause lastCause = Cause.CAUSE_NONE;
    long lastRetryAfterMillis;

    CallRow(CallArrived request, long now, long deadlineNanos, int priority) {
        this.id = request.getCall();
        this.request = request;
        this.arrivedAtNanos = now;
        this.deadlineNanos = deadlineNanos;
        this.priority = priority;
    }

    boolean isGeneration() {
        return request.getWorkCase() == CallArrived.WorkCase.GENERATION;
    }

    Generation generation() {
        return request.getGeneration();
    }

    Exchange exchange() {
        return request.getExchange();
    }

    /** Returns the service or model whose upstreams can serve this call. */
    String target() {
        return isGeneration() ? generation().getModel() : exchange().getService();
    }

    /** Returns whether the idempotency key must be claimed before the call is dispatched. */
    boolean requiresClaim() {
        return !isGeneration()
                && !request.getIdempotencyKey().isEmpty()
                && !exchange().getIdempotent();
    }

    /** Returns whether the request may run more than once. */
    boolean isRepeatable() {
        return isGeneration() || exchange().getIdempotent();
    }
}
