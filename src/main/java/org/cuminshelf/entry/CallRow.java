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

/** One caller's request on its way. */
final class CallRow {

    /** How far the call is. */
    enum Phase {
        /** Waits for an upstream. */
        WAITING,
        /** Waits for its idempotency key to be claimed. */
        CLAIMING,
        /** Asks the sidecar of another attempt that holds the key what became of it. */
        ASKING,
        /** Runs on an upstream, or may. */
        RUNNING,
        /** Has its whole answer, which is being recorded under its key. */
        RECORDING,
        /** The caller has its final answer. */
        DONE
    }

    final long id;
    final CallArrived request;
    final long arrivedAt;
    final long deadline;
    final int priority;
    Phase phase = Phase.WAITING;
    /** Position among the waiting calls. */
    double fairTag;

    final Set<Address> excluded = new HashSet<>();
    AttemptRow attempt;
    int attempts;
    /** Whether a request that may not be repeated could have run under an earlier attempt. */
    boolean mayHaveRun;

    /** Tokens handed to the caller, in order. */
    final List<String> delivered = new ArrayList<>();

    /** Sidecar of the engine that holds the KV cache of this call, after a handover. */
    String kvFrom = "";

    long firstTokenAt = Core.NEVER;
    /** Bytes of an exchange's answer handed on or gathered. */
    long receivedBytes;

    ExchangeHead head;
    boolean headDelivered;
    /** Answer of a call with a key, kept until it is recorded. */
    ByteString gathered = ByteString.EMPTY;

    boolean callerGone;

    // The claim of the call's idempotency key.
    boolean claimed;
    AttemptRef claimedAttempt;
    /** What the claim is to be moved from, where another attempt did not run. */
    AttemptRef moveFrom;

    Cause lastCause = Cause.CAUSE_NONE;
    long lastRetryAfterMillis;

    CallRow(CallArrived request, long now, long deadline, int priority) {
        this.id = request.getCall();
        this.request = request;
        this.arrivedAt = now;
        this.deadline = deadline;
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

    /** Name under which upstreams for this call announce themselves: a service, or a model. */
    String target() {
        return isGeneration() ? generation().getModel() : exchange().getService();
    }

    boolean hasKey() {
        return !isGeneration()
                && !request.getIdempotencyKey().isEmpty()
                && !exchange().getIdempotent();
    }

    boolean isRepeatable() {
        return isGeneration() || exchange().getIdempotent();
    }
}
