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

/** Hands answers to callers: each part once and in order, and one end. */
final class AnswerSystem {

    private final EntryState tables;
    private final List<CallRow> finished = new ArrayList<>();

    AnswerSystem(EntryState tables) {
        this.tables = tables;
    }

    /** Takes the calls finished since the last question. */
    List<CallRow> takeFinished() {
        if (finished.isEmpty()) {
            return List.of();
        }
        List<CallRow> taken = List.copyOf(finished);
        finished.clear();
        return taken;
    }

    void tokens(long now, CallRow call, long offset, List<String> tokens, Outbox out) {
        tables.invariants.check(
                offset == call.delivered.size(),
                "each-token-once-and-in-order",
                () -> "call " + call.id + " holds " + call.delivered.size() + " tokens and is given " + offset);
        if (call.delivered.isEmpty()) {
            call.firstTokenAt = now;
        }
        call.delivered.addAll(tokens);
        AnswerPart part = AnswerPart.newBuilder()
                .setCall(call.id)
                .setOffset(offset)
                .addAllTokens(tokens)
                .build();
        out.send(Address.CALLERS, Envelope.newBuilder().setAnswerPart(part));
    }

    void head(CallRow call, Outbox out) {
        if (call.headDelivered || call.head == null) {
            return;
        }
        call.headDelivered = true;
        AnswerHead head = AnswerHead.newBuilder()
                .setCall(call.id)
                .setStatus(call.head.getStatus())
                .addAllHeaders(call.head.getHeadersList())
                .build();
        out.send(Address.CALLERS, Envelope.newBuilder().setAnswerHead(head));
    }

    void body(CallRow call, ByteString bytes, Outbox out) {
        if (!bytes.isEmpty()) {
            AnswerPart part =
                    AnswerPart.newBuilder().setCall(call.id).setBody(bytes).build();
            out.send(Address.CALLERS, Envelope.newBuilder().setAnswerPart(part));
        }
    }

    /** Gives the final answer of a call that was answered in full. */
    void finishWhole(CallRow call, String finishReason, Outbox out) {
        AnswerEnd.Builder end = AnswerEnd.newBuilder()
                .setCall(call.id)
                .setRan(Ran.RAN)
                .setWhole(true)
                .setFinishReason(finishReason)
                .setOutputTokens(call.delivered.size());
        if (call.isGeneration()) {
            end.setPromptTokens(call.generation().getPromptTokens());
            tables.estimates.learn(
                    call.request.getOrganisation(), call.generation().getModel(), call.delivered.size());
        }
        finish(call, end.build(), out);
    }

    /** Gives the final answer of a call that was not answered in full, at once. */
    void finishFailed(CallRow call, Ran ran, Cause cause, long retryAfterMillis, String detail, Outbox out) {
        Ran told = call.delivered.isEmpty() && !call.headDelivered ? ran : Ran.RAN;
        AnswerEnd end = AnswerEnd.newBuilder()
                .setCall(call.id)
                .setRan(told)
                .setCause(cause)
                .setRetryAfterMs((int) Math.min(Integer.MAX_VALUE, retryAfterMillis))
                .setDetail(detail)
                .setOutputTokens(call.delivered.size())
                .build();
        finish(call, end, out);
    }

    private void finish(CallRow call, AnswerEnd end, Outbox out) {
        tables.invariants.check(
                call.phase != CallRow.Phase.DONE,
                "one-final-answer-for-each-call",
                () -> "call " + call.id + " was answered already");
        call.phase = CallRow.Phase.DONE;
        finished.add(call);
        tables.waiting.remove(call);
        tables.callDeadlines.clear(call.id);
        out.send(Address.CALLERS, Envelope.newBuilder().setAnswerEnd(end));
    }
}
