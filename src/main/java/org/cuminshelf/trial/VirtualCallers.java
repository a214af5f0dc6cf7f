package org.cuminshelf.trial;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.message.AnswerEnd;
import org.cuminshelf.message.AnswerPart;
import org.cuminshelf.message.CallArrived;
import org.cuminshelf.message.CallGone;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Exchange;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.Header;
import org.cuminshelf.message.Ran;
import org.cuminshelf.standin.StandInText;

/** Callers in virtual time: they send requests, resend some, and check every answer they get. */
final class VirtualCallers {

    private static final long MEAN_GAP = Durations.nanos(60);
    private static final long RESEND_AFTER = Durations.nanos(400);
    private static final int MOST_RESENDS = 4;
    private static final int GENERATION_DEADLINE_MILLIS = 30_000;
    private static final int EXCHANGE_DEADLINE_MILLIS = 6_000;

    private static final class Call {
        private final long id;
        private final VirtualNode entry;
        private final long incarnation;
        private final CallArrived request;
        private final int resends;
        private final long deadline;
        private final List<String> tokens = new ArrayList<>();
        private ByteString body = ByteString.EMPTY;

        private Call(VirtualNode entry, CallArrived request, int resends, long now) {
            this.id = request.getCall();
            this.entry = entry;
            this.incarnation = entry.incarnation();
            this.request = request;
            this.resends = resends;
            this.deadline = now + Durations.nanos(request.getDeadlineMs());
        }

        private String name() {
            return "call-" + id;
        }

        private String title() {
            return request.getExchange().getBody().toStringUtf8();
        }
    }

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Invariants invariants;
    private final List<VirtualNode> entries;
    private final VirtualService.Registry registry;
    private final Map<Long, Call> open = new TreeMap<>();
    private final List<Call> toldNotRun = new ArrayList<>();
    private final Map<Ran, Long> verdicts = new HashMap<>();
    private long nextCall = 1;
    private long nextTitle = 1;
    private long whole;
    private long broken;
    private long lost;
    private boolean stopped;

    VirtualCallers(
            VirtualTime time,
            UniformRandomProvider random,
            Invariants invariants,
            List<VirtualNode> entries,
            VirtualService.Registry registry) {
        this.time = time;
        this.random = random;
        this.invariants = invariants;
        this.entries = entries;
        this.registry = registry;
        for (VirtualNode entry : entries) {
            entry.port(Address.CALLERS, this::onAnswer);
            entry.onKill(() -> onEntryKilled(entry));
        }
        time.after(MEAN_GAP, this::next);
    }

    long calls() {
        return nextCall - 1;
    }

    long whole() {
        return whole;
    }

    long broken() {
        return broken;
    }

    /**
     * Calls that ended with neither an answer nor a refusal while their entry lived and their time was not up, other
     * than those whose service broke off. A resend is refused while the first request with its key runs.
     */
    long lost() {
        return lost;
    }

    Map<Ran, Long> verdicts() {
        return verdicts;
    }

    int openCalls() {
        return open.size();
    }

    void stop() {
        stopped = true;
    }

    /** Checks what can only be known at the end: nothing that was told "not run" ran later. */
    void checkAtEnd() {
        for (Call call : toldNotRun) {
            checkNotRun(call);
        }
    }

    private void next() {
        if (stopped) {
            return;
        }
        VirtualNode entry = entries.get(random.nextInt(entries.size()));
        if (random.nextInt(3) == 0) {
            send(entry, generation(), 0);
        } else {
            send(entry, exchange("title-" + nextTitle++, random.nextInt(10) < 7), 0);
        }
        time.after((long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP), this::next);
    }

    private CallArrived.Builder generation() {
        String prompt = "prompt " + random.nextInt(50);
        Generation.Builder generation = Generation.newBuilder()
                .setModel("cataloguer")
                .setPrompt(prompt)
                .setPromptTokens(50 + random.nextInt(2_000))
                .setMaxTokens(1 + random.nextInt(200));
        return CallArrived.newBuilder()
                .setGeneration(generation)
                .setDeadlineMs(GENERATION_DEADLINE_MILLIS)
                .setOrganisation("organisation-" + random.nextInt(3));
    }

    private CallArrived.Builder exchange(String title, boolean withKey) {
        Exchange.Builder exchange = Exchange.newBuilder()
                .setService("registry")
                .setMethod("POST")
                .setPath("/numbers")
                .setBody(ByteString.copyFromUtf8(title));
        return CallArrived.newBuilder()
                .setExchange(exchange)
                .setDeadlineMs(EXCHANGE_DEADLINE_MILLIS)
                .setOrganisation("organisation-" + random.nextInt(3))
                .setIdempotencyKey(withKey ? "key-of-" + title : "");
    }

    private void send(VirtualNode entry, CallArrived.Builder request, int resends) {
        if (!entry.isAlive()) {
            return;
        }
        long id = nextCall++;
        request.setCall(id);
        if (request.hasExchange()) {
            Exchange.Builder exchange = request.getExchange().toBuilder().clearHeaders();
            exchange.addHeaders(
                    Header.newBuilder().setName(VirtualService.CALL_HEADER).setValue("call-" + id));
            request.setExchange(exchange);
        }
        Call call = new Call(entry, request.build(), resends, time.now());
        open.put(id, call);
        entry.deliverLocal(
                call.incarnation, Address.CALLERS, Envelope.newBuilder().setCallArrived(call.request));
        if (random.nextInt(25) == 0) {
            time.after(random.nextLong(RESEND_AFTER), () -> leave(call));
        }
    }

    /** The caller hangs up without its answer. */
    private void leave(Call call) {
        if (open.remove(call.id) != null) {
            CallGone gone = CallGone.newBuilder().setCall(call.id).build();
            call.entry.deliverLocal(
                    call.incarnation, Address.CALLERS, Envelope.newBuilder().setCallGone(gone));
            maybeResend(call);
        }
    }

    private void onEntryKilled(VirtualNode entry) {
        for (Call call : List.copyOf(open.values())) {
            if (call.entry == entry && call.incarnation == entry.incarnation()) {
                open.remove(call.id);
                broken++;
                maybeResend(call);
            }
        }
    }

    private void maybeResend(Call call) {
        boolean hasKey = !call.request.getIdempotencyKey().isEmpty();
        if (hasKey && call.resends < MOST_RESENDS && !stopped) {
            VirtualNode other = entries.get(random.nextInt(entries.size()));
            time.after(random.nextLong(RESEND_AFTER), () -> send(other, call.request.toBuilder(), call.resends + 1));
        }
    }

    private void onAnswer(Envelope message) {
        switch (message.getBodyCase()) {
            case ANSWER_PART -> onPart(message.getAnswerPart());
            case ANSWER_END -> onEnd(message.getAnswerEnd());
            default -> {
                // A head says nothing to check.
            }
        }
    }

    private void onPart(AnswerPart part) {
        Call call = open.get(part.getCall());
        if (call == null) {
            return;
        }
        if (part.getTokensCount() > 0) {
            invariants.check(
                    part.getOffset() == call.tokens.size(),
                    "each-token-once-and-in-order",
                    () -> call.name() + " holds " + call.tokens.size() + " and is given " + part.getOffset());
        }
        call.tokens.addAll(part.getTokensList());
        call.body = call.body.concat(part.getBody());
    }

    private void onEnd(AnswerEnd end) {
        Call call = open.remove(end.getCall());
        if (call == null) {
            return;
        }
        verdicts.merge(end.getRan(), 1L, Long::sum);
        if (end.getWhole()) {
            whole++;
            checkWhole(call);
            return;
        }
        if (end.getRan() == Ran.NOT_RUN) {
            toldNotRun.add(call);
            checkNotRun(call);
        } else if (end.getCause() != Cause.KEY_IN_PROGRESS
                && time.now() < call.deadline
                && !registry.isBroken(call.title())) {
            lost++;
        }
        maybeResend(call);
    }

    private void checkWhole(Call call) {
        if (call.request.hasGeneration()) {
            Generation generation = call.request.getGeneration();
            List<String> expected = StandInText.answer(generation.getPrompt(), generation.getMaxTokens());
            invariants.check(
                    call.tokens.equals(expected),
                    "the-whole-answer-to-its-own-request",
                    () -> call.name() + " was given " + call.tokens.size() + " tokens, not its " + expected.size());
            return;
        }
        boolean hasKey = !call.request.getIdempotencyKey().isEmpty();
        String title = call.title();
        invariants.check(
                call.body.toStringUtf8().equals(Long.toString(registry.numberOf(title))),
                "the-whole-answer-to-its-own-request",
                () -> call.name() + " for " + title + " was given " + call.body.toStringUtf8() + ", not "
                        + registry.numberOf(title));
        checkRuns(call, hasKey);
    }

    private void checkRuns(Call call, boolean hasKey) {
        int runs = hasKey ? registry.runsOfTitle(call.title()) : registry.runsOfCall(call.name());
        invariants.check(runs <= 1, "at-most-once", () -> call.title() + " ran " + runs + " times");
    }

    private void checkNotRun(Call call) {
        if (call.request.hasExchange()) {
            int runs = registry.runsOfCall(call.name());
            invariants.check(
                    runs == 0,
                    "not-run-means-not-run",
                    () -> call.name() + " for " + call.title() + " was told not run and ran " + runs + " times");
        }
    }

    /** Asserts over all titles that none ran twice. */
    void checkAllTitles() {
        for (long title = 1; title < nextTitle; title++) {
            String name = "title-" + title;
            int runs = registry.runsOfTitle(name);
            invariants.check(runs <= 1, "at-most-once", () -> name + " ran " + runs + " times");
        }
    }

    /** Asserts that no call waits any more, once every deadline has passed in fair weather. */
    void checkNothingOpen() {
        for (Call call : open.values()) {
            invariants.check(false, "every-call-gets-its-final-answer", () -> call.name() + " got no final answer");
        }
    }
}
