package org.cuminshelf.sidecar;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Announce;
import org.cuminshelf.message.AttemptState;
import org.cuminshelf.message.Cancel;
import org.cuminshelf.message.CancelUpstream;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Chunk;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Ended;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Received;
import org.cuminshelf.message.Refused;
import org.cuminshelf.message.Revoke;
import org.cuminshelf.message.RevokeAnswer;
import org.cuminshelf.message.SessionOpened;
import org.cuminshelf.message.StartUpstream;
import org.cuminshelf.message.Stopped;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.message.UpstreamPart;
import org.cuminshelf.message.UpstreamState;

/**
 * The deterministic core of a sidecar: sessions and attempts of entries, orders of control processes, and
 * announcements. Times are in nanoseconds of the local monotonic clock.
 */
public final class SidecarCore implements Core {

    private static final long ANNOUNCE_INTERVAL_NANOS = Durations.nanos(1_000);
    private static final long IDLE_CHECK_INTERVAL_NANOS = Durations.nanos(60_000);
    /** Generations are cancelled if {@link EntrySession#lastMessageAt} is older than this. */
    private static final long ENTRY_TIMEOUT_NANOS = Durations.nanos(30_000);

    private static final long MAX_ANSWER_BYTES = 1L << 20;
    private static final int RETRY_AFTER_BUSY_MILLIS = 250;

    private final SidecarSettings settings;
    private final Invariants invariants;
    private final AttemptJournal journal;
    private final OrderExecutor orders;
    private final InterTokenLatencyMeter interTokenLatency = new InterTokenLatencyMeter();
    private final PrefillRateMeter prefillRate = new PrefillRateMeter();
    /** The newest load report of the upstream. */
    private LoadReport upstreamLoad = LoadReport.getDefaultInstance();

    private boolean upstreamReachable;
    /** Whether this sidecar is shutting down. */
    private boolean leaving;

    private boolean stopReported;
    /** Whether the upstream took new work at the last tick. */
    private boolean wasAccepting;

    private long nextAnnounce;
    private long nextIdleCheck;
    private long promptTokensDone;
    private long outputTokensDone;
    private long configVersion;

    private SidecarCore(
            SidecarSettings settings, long incarnation, long now, UniformRandomProvider random, Invariants invariants) {
        this.settings = settings;
        this.invariants = invariants;
        this.journal = new AttemptJournal(random);
        this.orders = new OrderExecutor(settings, incarnation, now, invariants);
        this.nextAnnounce = now;
        this.nextIdleCheck = now + IDLE_CHECK_INTERVAL_NANOS;
    }

    /**
     * Creates the core of a starting sidecar.
     *
     * @param settings    the configuration
     * @param incarnation the incarnation of this process, never used before at this address
     * @param now         the time in nanoseconds
     * @param random      the seeded source of session ids
     * @param invariants  receives the results of invariant checks
     * @return the core
     */
    public static SidecarCore start(
            SidecarSettings settings, long incarnation, long now, UniformRandomProvider random, Invariants invariants) {
        return new SidecarCore(settings, incarnation, now, random, invariants);
    }

    @Override
    public void accept(long now, Envelope input, Outbox out) {
        Address from = Address.of(input.getFrom());
        switch (input.getBodyCase()) {
            case OPEN_SESSION -> onOpenSession(now, from, input.getIncarnation(), out);
            case DISPATCH -> onDispatch(now, from, input.getDispatch(), out);
            case CANCEL -> onCancel(input.getCancel(), out);
            case REVOKE -> onRevoke(now, from, input.getRevoke(), out);
            case RECEIVED -> onReceived(input.getReceived());
            case UPSTREAM_HEAD -> onHead(input.getUpstreamHead(), out);
            case UPSTREAM_PART -> onPart(now, input.getUpstreamPart(), out);
            case UPSTREAM_END -> onEnd(input.getUpstreamEnd(), out);
            case UPSTREAM_STATE -> onState(now, input.getUpstreamState(), out);
            case ORDER_SENT -> orders.onOrder(now, from, input.getOrderSent(), out);
            case ORDER_APPLIED -> orders.onApplied(now, input.getOrderApplied(), out);
            case UPDATE -> onUpdate(input.getUpdate());
            case STOP -> shutDown(now);
            default -> {
                // Not addressed to a sidecar.
            }
        }
    }

    @Override
    public void tick(long now, Outbox out) {
        boolean mustMoveAttempts = orders.tick(now, journal.runningCount(), out);
        if (mustMoveAttempts) {
            moveGenerations(out);
        }
        notifyAcceptingChange(now, out);
        announce(now, out);
        if (now >= nextIdleCheck) {
            journal.removeIdleSessions(now);
            cancelForUnresponsiveEntries(now, out);
            nextIdleCheck = now + IDLE_CHECK_INTERVAL_NANOS;
        }
        if (leaving && journal.runningCount() == 0 && !stopReported) {
            stopReported = true;
            out.send(Address.PROCESS, Envelope.newBuilder().setStopped(Stopped.getDefaultInstance()));
        }
    }

    @Override
    public long nextDue() {
        return Math.min(Math.min(nextAnnounce, nextIdleCheck), orders.nextDue());
    }

    /**
     * Returns how many attempts are running on the upstream.
     *
     * @return the number of attempts
     */
    public int runningAttempts() {
        return journal.runningCount();
    }

    /**
     * Returns whether a role change is in progress, during which the upstream takes no new work.
     *
     * @return true until the role change has ended
     */
    public boolean isRoleChangePending() {
        return orders.isRoleChangePending();
    }

    private void onOpenSession(long now, Address entry, long entryIncarnation, Outbox out) {
        EntrySession session = journal.open(now, entry, entryIncarnation);
        out.send(
                entry,
                Envelope.newBuilder()
                        .setSessionOpened(SessionOpened.newBuilder()
                                .setSession(session.id)
                                .setEntryIncarnation(entryIncarnation)
                                .setLoad(load(session))));
    }

    private void onDispatch(long now, Address entry, Dispatch dispatch, Outbox out) {
        Optional<EntrySession> knownSession = journal.session(dispatch.getSession());
        if (knownSession.isEmpty()) {
            refuse(entry, dispatch, Cause.UNKNOWN_SESSION, 0, null, out);
            return;
        }
        EntrySession session = knownSession.get();
        session.lastMessageAt = now;
        AttemptRecord earlierAttempt = session.attempts.get(dispatch.getNumber());
        if (earlierAttempt != null && earlierAttempt.state != AttemptRecord.State.FORBIDDEN) {
            return;
        }
        if (earlierAttempt != null || dispatch.getNumber() <= session.floor) {
            refuse(entry, dispatch, Cause.REVOKED, 0, session, out);
            return;
        }
        Optional<Cause> refusal = refusal(dispatch);
        if (refusal.isPresent()) {
            session.addAttempt(AttemptRecord.forbidden(session, dispatch.getNumber()));
            refuse(entry, dispatch, refusal.get(), RETRY_AFTER_BUSY_MILLIS, session, out);
            return;
        }
        start(now, session, dispatch, out);
    }

    /** The reason for which a dispatch must be refused, if there is one. */
    private Optional<Cause> refusal(Dispatch dispatch) {
        if (leaving || orders.isDraining()) {
            return Optional.of(Cause.LEAVING);
        }
        if (orders.isRoleChangePending() || mayReceiveEarlierOrder()) {
            return Optional.of(Cause.ROLE_CHANGING);
        }
        if (journal.runningCount() >= settings.slots()) {
            return Optional.of(Cause.OVERLOADED);
        }
        boolean isGeneration = dispatch.getWorkCase() == Dispatch.WorkCase.GENERATION;
        if (isGeneration != (settings.kind() == UpstreamKind.UPSTREAM_ENGINE)) {
            return Optional.of(Cause.UNKNOWN_SERVICE);
        }
        return Optional.empty();
    }

    /** Whether an order of an earlier sidecar process may still reach the upstream; plain services get no orders. */
    private boolean mayReceiveEarlierOrder() {
        return settings.kind() == UpstreamKind.UPSTREAM_ENGINE && !orders.isSettled();
    }

    private void start(long now, EntrySession session, Dispatch dispatch, Outbox out) {
        AttemptRecord attempt = AttemptRecord.running(journal.newAttemptId(), session, dispatch);
        prefillRate.promptQueued(now, journal.pendingPromptTokens());
        journal.attemptStarted(attempt);
        StartUpstream.Builder start = StartUpstream.newBuilder()
                .setAttempt(attempt.id)
                .setPriority(dispatch.getPriority())
                .setTraceParent(dispatch.getTraceParent());
        switch (dispatch.getWorkCase()) {
            case GENERATION -> start.setGeneration(dispatch.getGeneration());
            case EXCHANGE -> start.setExchange(dispatch.getExchange());
            case WORK_NOT_SET -> {
                // Refused by the caller of this method.
            }
        }
        out.send(Address.UPSTREAM, Envelope.newBuilder().setStartUpstream(start));
    }

    private void refuse(
            Address entry, Dispatch dispatch, Cause cause, int retryAfterMillis, EntrySession session, Outbox out) {
        Refused.Builder refused = Refused.newBuilder()
                .setSession(dispatch.getSession())
                .setNumber(dispatch.getNumber())
                .setCause(cause)
                .setRetryAfterMs(retryAfterMillis);
        if (session != null) {
            refused.setLoad(load(session));
        }
        out.send(entry, Envelope.newBuilder().setRefused(refused));
    }

    private void onCancel(Cancel cancel, Outbox out) {
        Optional<EntrySession> session = journal.session(cancel.getSession());
        if (session.isEmpty()) {
            return;
        }
        AttemptRecord attempt = session.get().attempts.get(cancel.getNumber());
        if (attempt == null) {
            if (cancel.getNumber() > session.get().floor) {
                session.get().addAttempt(AttemptRecord.forbidden(session.get(), cancel.getNumber()));
            }
            return;
        }
        boolean isGeneration = settings.kind() == UpstreamKind.UPSTREAM_ENGINE;
        if (attempt.state == AttemptRecord.State.RUNNING && isGeneration) {
            cancelUpstream(attempt, out);
            end(attempt, Ran.RAN, Cause.CANCELLED, "cancelled", out);
        }
    }

    private void onRevoke(long now, Address entry, Revoke revoke, Outbox out) {
        RevokeAnswer.Builder answer = RevokeAnswer.newBuilder()
                .setSession(revoke.getSession())
                .setNumber(revoke.getNumber())
                .setQuestion(revoke.getQuestion());
        Optional<EntrySession> knownSession = journal.session(revoke.getSession());
        if (knownSession.isEmpty()) {
            answer.setState(AttemptState.ATTEMPT_UNKNOWN);
            out.sendOnNewConnection(entry, Envelope.newBuilder().setRevokeAnswer(answer));
            return;
        }
        EntrySession session = knownSession.get();
        session.lastMessageAt = now;
        AttemptRecord attempt = session.attempts.get(revoke.getNumber());
        if (attempt == null && revoke.getNumber() <= session.floor) {
            answer.setState(AttemptState.ATTEMPT_UNKNOWN);
        } else if (attempt == null) {
            session.addAttempt(AttemptRecord.forbidden(session, revoke.getNumber()));
            answer.setState(AttemptState.ATTEMPT_NOT_RUN);
        } else {
            answer.setState(stateOf(attempt));
            if (attempt.state != AttemptRecord.State.FORBIDDEN) {
                addResult(attempt, entry, revoke, answer, out);
            }
        }
        out.sendOnNewConnection(entry, Envelope.newBuilder().setRevokeAnswer(answer));
    }

    private static AttemptState stateOf(AttemptRecord attempt) {
        return switch (attempt.state) {
            case FORBIDDEN -> AttemptState.ATTEMPT_NOT_RUN;
            case RUNNING -> AttemptState.ATTEMPT_RUNNING;
            case ENDED ->
                attempt.ended.getRan() == Ran.NOT_RUN ? AttemptState.ATTEMPT_NOT_RUN : AttemptState.ATTEMPT_ENDED;
        };
    }

    /** Adds the result of an attempt: its own entry gets the missing chunks again, another entry the whole answer. */
    private void addResult(
            AttemptRecord attempt, Address requester, Revoke revoke, RevokeAnswer.Builder answer, Outbox out) {
        if (requester.equals(attempt.session.entry)) {
            resend(attempt, revoke.getHeld(), out);
            return;
        }
        if (attempt.state == AttemptRecord.State.ENDED) {
            answer.setEnded(attempt.ended).setBody(attempt.body);
            if (attempt.head != null) {
                answer.setHead(attempt.head);
            }
        }
    }

    private void resend(AttemptRecord attempt, long held, Outbox out) {
        Chunk.Builder chunk = Chunk.newBuilder()
                .setSession(attempt.session.id)
                .setNumber(attempt.number)
                .setOffset(held);
        if (attempt.head != null) {
            chunk.setHead(attempt.head);
        }
        int skip = (int) Math.max(0, held - attempt.initialLength);
        if (skip < attempt.tokens.size()) {
            chunk.addAllTokens(attempt.tokens.subList(skip, attempt.tokens.size()));
        }
        if (skip < attempt.body.size()) {
            chunk.setBody(attempt.body.substring(skip));
        }
        if (chunk.hasHead() || chunk.getTokensCount() > 0 || !chunk.getBody().isEmpty()) {
            out.send(attempt.session.entry, Envelope.newBuilder().setChunk(chunk));
        }
        if (attempt.state == AttemptRecord.State.ENDED) {
            out.send(attempt.session.entry, Envelope.newBuilder().setEnded(attempt.ended));
        }
    }

    private void onReceived(Received received) {
        journal.attempt(received.getSession(), received.getNumber())
                .filter(attempt -> attempt.state == AttemptRecord.State.ENDED)
                .ifPresent(attempt -> {
                    attempt.tokens.clear();
                    attempt.body = com.google.protobuf.ByteString.EMPTY;
                });
    }

    private void onHead(org.cuminshelf.message.UpstreamHead head, Outbox out) {
        journal.runningAttempt(head.getAttempt()).ifPresent(attempt -> {
            attempt.head = head.getHead();
            out.send(
                    attempt.session.entry,
                    Envelope.newBuilder()
                            .setChunk(Chunk.newBuilder()
                                    .setSession(attempt.session.id)
                                    .setNumber(attempt.number)
                                    .setOffset(attempt.length())
                                    .setHead(attempt.head)));
        });
    }

    private void onPart(long now, UpstreamPart part, Outbox out) {
        Optional<AttemptRecord> found = journal.runningAttempt(part.getAttempt());
        if (found.isEmpty()) {
            return;
        }
        AttemptRecord attempt = found.get();
        Chunk.Builder chunk = Chunk.newBuilder()
                .setSession(attempt.session.id)
                .setNumber(attempt.number)
                .setOffset(attempt.length())
                .addAllTokens(part.getTokensList())
                .setBody(part.getBody());
        if (attempt.tokens.isEmpty() && part.getTokensCount() > 0) {
            promptTokensDone += attempt.promptTokens;
            prefillRate.promptProcessed(now, attempt.pendingPromptTokens);
            journal.promptProcessed(attempt);
            chunk.setLoad(load(attempt.session));
        }
        if (!attempt.tokens.isEmpty() && part.getTokensCount() > 0) {
            interTokenLatency.add(now - attempt.lastTokensAt, part.getTokensCount());
        }
        attempt.lastTokensAt = now;
        outputTokensDone += part.getTokensCount();
        out.send(attempt.session.entry, Envelope.newBuilder().setChunk(chunk));
        attempt.tokens.addAll(part.getTokensList());
        attempt.body = attempt.body.concat(part.getBody());
        if (attempt.body.size() > MAX_ANSWER_BYTES) {
            end(attempt, Ran.RAN, Cause.ANSWER_TOO_LARGE, "", out);
        }
    }

    private void onEnd(UpstreamEnd end, Outbox out) {
        journal.runningAttempt(end.getAttempt())
                .ifPresent(attempt -> end(attempt, end.getRan(), end.getCause(), end.getFinishReason(), out));
    }

    private void end(AttemptRecord attempt, Ran ran, Cause cause, String finishReason, Outbox out) {
        invariants.check(
                attempt.state == AttemptRecord.State.RUNNING,
                "an-attempt-ends-once",
                () -> "attempt " + attempt.number + " of session " + attempt.session.id + " ended twice");
        journal.attemptEnded(attempt);
        attempt.state = AttemptRecord.State.ENDED;
        Ended.Builder ended = Ended.newBuilder()
                .setSession(attempt.session.id)
                .setNumber(attempt.number)
                .setLength(attempt.length())
                .setRan(ran)
                .setCause(cause)
                .setFinishReason(finishReason);
        attempt.ended = ended.build();
        ended.setLoad(load(attempt.session));
        out.send(attempt.session.entry, Envelope.newBuilder().setEnded(ended));
    }

    private void onState(long now, UpstreamState state, Outbox out) {
        upstreamReachable = state.getReachable();
        if (state.getReachable()) {
            upstreamLoad = state.getLoad();
        }
        orders.onState(now, state, upstreamLoad, out);
    }

    /** Ignores versions that aren't newer, from a delayed message or an outdated process. */
    private void onUpdate(org.cuminshelf.message.Update update) {
        configVersion = Math.max(configVersion, update.getConfigVersion());
    }

    private void shutDown(long now) {
        leaving = true;
        nextAnnounce = now;
    }

    /** Ends the generations still running at the end of a drain time; their entries continue them on another engine. */
    private void moveGenerations(Outbox out) {
        for (AttemptRecord attempt : java.util.List.copyOf(copyOf(journal.runningAttempts()))) {
            if (!attempt.moved) {
                attempt.moved = true;
                cancelUpstream(attempt, out);
                end(attempt, Ran.RAN, Cause.MOVED, "", out);
            }
        }
    }

    private static java.util.Collection<AttemptRecord> copyOf(Iterable<AttemptRecord> attempts) {
        java.util.List<AttemptRecord> copy = new java.util.ArrayList<>();
        attempts.forEach(copy::add);
        return copy;
    }

    private void cancelForUnresponsiveEntries(long now, Outbox out) {
        if (settings.kind() != UpstreamKind.UPSTREAM_ENGINE) {
            return;
        }
        for (AttemptRecord attempt : copyOf(journal.runningAttempts())) {
            if (now - attempt.session.lastMessageAt > ENTRY_TIMEOUT_NANOS) {
                cancelUpstream(attempt, out);
                end(attempt, Ran.RAN, Cause.CANCELLED, "cancelled", out);
            }
        }
    }

    private static void cancelUpstream(AttemptRecord attempt, Outbox out) {
        out.send(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setCancelUpstream(CancelUpstream.newBuilder().setAttempt(attempt.id)));
    }

    /** Notifies entries and control processes at once when the upstream starts or stops taking new work. */
    private void notifyAcceptingChange(long now, Outbox out) {
        boolean isAccepting = upstreamReachable
                && !leaving
                && !orders.isDraining()
                && !orders.isRoleChangePending()
                && !mayReceiveEarlierOrder();
        if (isAccepting == wasAccepting) {
            return;
        }
        wasAccepting = isAccepting;
        nextAnnounce = now;
        for (EntrySession session : journal.sessions()) {
            out.send(session.entry, Envelope.newBuilder().setLoadReport(load(session)));
        }
    }

    private void announce(long now, Outbox out) {
        if (now < nextAnnounce) {
            return;
        }
        nextAnnounce = now + ANNOUNCE_INTERVAL_NANOS;
        if (!upstreamReachable && !leaving) {
            out.send(
                    Address.UPSTREAM,
                    Envelope.newBuilder().setReadUpstream(org.cuminshelf.message.ReadUpstream.getDefaultInstance()));
        }
        Announce announce = announcement();
        for (Address control : settings.control()) {
            out.send(control, Envelope.newBuilder().setAnnounce(announce));
            out.send(
                    control,
                    Envelope.newBuilder()
                            .setSubscribe(Subscribe.newBuilder()
                                    .setConfigVersion(configVersion)
                                    .setRegion(settings.region())
                                    .setVm(settings.vm())));
        }
    }

    private Announce announcement() {
        return Announce.newBuilder()
                .setService(settings.service())
                .setKind(settings.kind())
                .setRegion(settings.region())
                .setZone(settings.zone())
                .setVm(settings.vm())
                .setLoad(load(null))
                .setLeaving(leaving || orders.isDraining() || !upstreamReachable || mayReceiveEarlierOrder())
                .setChecksFence(settings.checksFence())
                .setLastOrder(orders.highestFencingNumber())
                .setConfigVersion(configVersion)
                .build();
    }

    private LoadReport load(EntrySession session) {
        LoadReport.Builder load = upstreamLoad.toBuilder()
                .setRunning(journal.runningCount())
                .setQueuedPromptTokens(journal.pendingPromptTokens())
                .setPrefillPerS(prefillRate.tokensPerSecond())
                .setTokenGapUs(interTokenLatency.micros(journal.runningCount()))
                .setSlots(settings.slots())
                .setLeaving(leaving || orders.isDraining())
                .setChanging(orders.isRoleChangePending() || !upstreamReachable || mayReceiveEarlierOrder())
                .setPromptTokensDone(promptTokensDone)
                .setOutputTokensDone(outputTokensDone);
        if (session != null) {
            load.setCounted(session.highestNumber);
        }
        return load.build();
    }
}
