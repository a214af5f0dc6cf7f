package org.cuminshelf.entry;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.AnswerEnd;
import org.cuminshelf.message.AnswerHead;
import org.cuminshelf.message.AnswerPart;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Ran;

/** Delivers answers to callers: each part once and in order, and exactly one end. */
final class AnswerSystem {

    private final EntryState state;
    private final List<CallRow> finished = new ArrayList<>();

    AnswerSystem(EntryState state) {
        this.state = state;
    }

    /** Returns the calls finished since the previous invocation. */
    List<CallRow> drainFinished() {
        if (finished.isEmpty()) {
            return List.of();
        }
        List<CallRow> drained = List.copyOf(finished);
        finished.clear();
        return drained;
    }

    void sendTokens(long now, CallRow call, long offset, List<String> tokens, Outbox out) {
        state.invariants.check(
                offset == call.deliveredTokens.size(),
                "each-token-once-and-in-order",
                () -> "call " + call.id + " holds " + call.deliveredTokens.size() + " tokens but received offset "
                        + offset);
        if (call.deliveredTokens.isEmpty()) {
            call.firstTokenAtNanos = now;
        }
        call.deliveredTokens.addAll(tokens);
        AnswerPart part = AnswerPart.newBuilder()
                .setCall(call.id)
                .setOffset(offset)
                .addAllTokens(tokens)
                .build();
        out.send(Address.CALLERS, Envelope.newBuilder().setAnswerPart(part));
    }

    /** Delivers the head of the answer, if it has arrived and was not delivered before. */
    void sendHead(CallRow call, Outbox out) {
        if (call.headDelivered || call.answerHead == null) {
            return;
        }
        call.headDelivered = true;
        AnswerHead head = AnswerHead.newBuilder()
                .setCall(call.id)
                .setStatus(call.answerHead.getStatus())
                .addAllHeaders(call.answerHead.getHeadersList())
                .build();
        out.send(Address.CALLERS, Envelope.newBuilder().setAnswerHead(head));
    }

    void sendBody(CallRow call, ByteString bytes, Outbox out) {
        if (!bytes.isEmpty()) {
            AnswerPart part =
                    AnswerPart.newBuilder().setCall(call.id).setBody(bytes).build();
            out.send(Address.CALLERS, Envelope.newBuilder().setAnswerPart(part));
        }
    }

    /** Finishes a call whose complete answer was delivered. */
    void finishComplete(CallRow call, String finishReason, Outbox out) {
        AnswerEnd.Builder end = AnswerEnd.newBuilder()
                .setCall(call.id)
                .setRan(Ran.RAN)
                .setWhole(true)
                .setFinishReason(finishReason)
                .setOutputTokens(call.deliveredTokens.size());
        if (call.isGeneration()) {
            end.setPromptTokens(call.generation().getPromptTokens());
            state.outputLengths.observe(
                    call.request.getOrganisation(), call.generation().getModel(), call.deliveredTokens.size());
        }
        finish(call, end.build(), out);
    }

    /**
     * Finishes a call without a complete answer.
     *
     * @param ran whether the request ran; replaced by {@link Ran#RAN} if part of the answer was delivered
     */
    void finishFailed(CallRow call, Ran ran, Cause cause, long retryAfterMillis, String detail, Outbox out) {
        Ran reported = call.deliveredTokens.isEmpty() && !call.headDelivered ? ran : Ran.RAN;
        AnswerEnd end = AnswerEnd.newBuilder()
                .setCall(call.id)
                .setRan(reported)
                .setCause(cause)
                .setRetryAfterMs((int) Math.min(Integer.MAX_VALUE, retryAfterMillis))
                .setDetail(detail)
                .setOutputTokens(call.deliveredTokens.size())
                .build();
        finish(call, end, out);
    }

    private void finish(CallRow call, AnswerEnd end, Outbox out) {
        state.invariants.check(
                call.phase != CallRow.Phase.DONE,
                "one-final-answer-for-each-call",
                () -> "call " + call.id + " already has its final answer");
        call.phase = CallRow.Phase.DONE;
        finished.add(call);
        state.waitingCalls.remove(call);
        state.callDeadlines.clear(call.id);
        out.send(Address.CALLERS, Envelope.newBuilder().setAnswerEnd(end));
    }
}
