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

/** The decisions of a sidecar. */
public final class SidecarCore implements Core {

    private static final long ANNOUNCE_EVERY = Durations.nanos(1_000);
    private static final long IDLE_CHECK_EVERY = Durations.nanos(60_000);
    private static final long ENTRY_SILENCE = Durations.nanos(30_000);
    private static final long LARGEST_ANSWER_BYTES = 1L << 20;
    private static final int RETRY_AFTER_BUSY_MILLIS = 250;

    private final SidecarSettings settings;
    private final Invariants invariants;
    private final AttemptJournal journal;
    private final OrderExecutor orders;
    private final InterTokenLatencyMeter gaps = new InterTokenLatencyMeter();
    private final PrefillRateMeter prefill = new PrefillRateMeter();
    private LoadReport upstreamLoad = LoadReport.getDefaultInstance();
    private boolean upstreamReachable;
    private boolean leaving;
    private boolean stopReported;
    private boolean wasOpen;
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
        this.nextIdleCheck = now + IDLE_CHECK_EVERY;
    }

    /**
     * Makes the core of a starting sidecar.
     *
     * @param settings    its place and upstream
     * @param incarnation the incarnation of this process, never used before at this address
     * @param now         the time in nanoseconds
     * @param random      the seeded source of session ids
     * @param invariants  receives the outcome of assertions
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
            case STOP -> leave(now);
            default -> {
                // Not a message for a sidecar.
            }
        }
    }

    @Override
    public void tick(long now, Outbox out) {
        boolean moveAll = orders.tick(now, journal.runningCount(), out);
        if (moveAll) {
            moveGenerations(out);
        }
        tellIfOpenChanged(now, out);
        announce(now, out);
        if (now >= nextIdleCheck) {
            journal.dropIdle(now);
            cancelForSilentEntries(now, out);
            nextIdleCheck = now + IDLE_CHECK_EVERY;
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
     * Tells how many attempts run on the upstream.
     *
     * @return their number
     */
    public int runningAttempts() {
        return journal.runningCount();
    }

    /**
     * Tells whether an order keeps new work from the upstream now.
     *
     * @return true while a role change is on its way
     */
    public boolean isRoleChangePending() {
        return orders.isChanging();
    }

    private void onOpenSession(long now, Address entry, long entryIncarnation, Outbox out) {
        EntrySession row = journal.open(now, entry, entryIncarnation);
        out.send(
                entry,
                Envelope.newBuilder()
                        .setSessionOpened(SessionOpened.newBuilder()
                                .setSession(row.id)
                                .setEntryIncarnation(entryIncarnation)
                                .setLoad(load(row))));
    }

    private void onDispatch(long now, Address entry, Dispatch dispatch, Outbox out) {
        Optional<EntrySession> known = journal.session(dispatch.getSession());
        if (known.isEmpty()) {
            refuse(entry, dispatch, Cause.UNKNOWN_SESSION, 0, null, out);
            return;
        }
        EntrySession session = known.get();
        session.lastHeard = now;
        AttemptRecord earlier = session.attempts.get(dispatch.getNumber());
        if (earlier != null && earlier.state != AttemptRecord.State.FORBIDDEN) {
            return;
        }
        if (earlier != null || dispatch.getNumber() <= session.floor) {
            refuse(entry, dispatch, Cause.REVOKED, 0, session, out);
            return;
        }
        Optional<Cause> refusal = refusal(dispatch);
        if (refusal.isPresent()) {
            session.remember(AttemptRecord.forbidden(session, dispatch.getNumber()));
            refuse(entry, dispatch, refusal.get(), RETRY_AFTER_BUSY_MILLIS, session, out);
            return;
        }
        start(now, session, dispatch, out);
    }

    private Optional<Cause> refusal(Dispatch dispatch) {
        if (leaving || orders.isDraining()) {
            return Optional.of(Cause.LEAVING);
        }
        if (orders.isChanging() || isUnsettled()) {
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

    /** An engine takes no work before every order of an earlier sidecar must have landed; services take no orders. */
    private boolean isUnsettled() {
        return settings.kind() == UpstreamKind.UPSTREAM_ENGINE && !orders.isSettled();
    }

    private void start(long now, EntrySession session, Dispatch dispatch, Outbox out) {
        AttemptRecord row = AttemptRecord.running(journal.newAttemptId(), session, dispatch);
        prefill.waiting(now, journal.promptWaiting());
        journal.started(row);
        StartUpstream.Builder start = StartUpstream.newBuilder()
                .setAttempt(row.id)
                .setPriority(dispatch.getPriority())
                .setTraceParent(dispatch.getTraceParent());
        switch (dispatch.getWorkCase()) {
            case GENERATION -> start.setGeneration(dispatch.getGeneration());
            case EXCHANGE -> start.setExchange(dispatch.getExchange());
            case WORK_NOT_SET -> {
                // Refused before.
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
        AttemptRecord row = session.get().attempts.get(cancel.getNumber());
        if (row == null) {
            if (cancel.getNumber() > session.get().floor) {
                session.get().remember(AttemptRecord.forbidden(session.get(), cancel.getNumber()));
            }
            return;
        }
        boolean isGeneration = settings.kind() == UpstreamKind.UPSTREAM_ENGINE;
        if (row.state == AttemptRecord.State.RUNNING && isGeneration) {
            cancelUpstream(row, out);
            end(row, Ran.RAN, Cause.CANCELLED, "cancelled", out);
        }
    }

    private void onRevoke(long now, Address entry, Revoke revoke, Outbox out) {
        RevokeAnswer.Builder answer = RevokeAnswer.newBuilder()
                .setSession(revoke.getSession())
                .setNumber(revoke.getNumber())
                .setQuestion(revoke.getQuestion());
        Optional<EntrySession> known = journal.session(revoke.getSession());
        if (known.isEmpty()) {
            answer.setState(AttemptState.ATTEMPT_UNKNOWN);
            out.sendOnNewConnection(entry, Envelope.newBuilder().setRevokeAnswer(answer));
            return;
        }
        EntrySession session = known.get();
        session.lastHeard = now;
        AttemptRecord row = session.attempts.get(revoke.getNumber());
        if (row == null && revoke.getNumber() <= session.floor) {
            answer.setState(AttemptState.ATTEMPT_UNKNOWN);
        } else if (row == null) {
            session.remember(AttemptRecord.forbidden(session, revoke.getNumber()));
            answer.setState(AttemptState.ATTEMPT_NOT_RUN);
        } else {
            answer.setState(stateOf(row));
            if (row.state != AttemptRecord.State.FORBIDDEN) {
                describe(row, entry, revoke, answer, out);
            }
        }
        out.sendOnNewConnection(entry, Envelope.newBuilder().setRevokeAnswer(answer));
    }

    private static AttemptState stateOf(AttemptRecord row) {
        return switch (row.state) {
            case FORBIDDEN -> AttemptState.ATTEMPT_NOT_RUN;
            case RUNNING -> AttemptState.ATTEMPT_RUNNING;
            case ENDED -> row.ended.getRan() == Ran.NOT_RUN ? AttemptState.ATTEMPT_NOT_RUN : AttemptState.ATTEMPT_ENDED;
        };
    }

    /** Tells the asker what it lacks: the owner gets the missing chunks again, another entry the whole answer. */
    private void describe(AttemptRecord row, Address asker, Revoke revoke, RevokeAnswer.Builder answer, Outbox out) {
        if (asker.equals(row.session.entry)) {
            resend(row, revoke.getHeld(), out);
            return;
        }
        if (row.state == AttemptRecord.State.ENDED) {
            answer.setEnded(row.ended).setBody(row.body);
            if (row.head != null) {
                answer.setHead(row.head);
            }
        }
    }

    private void resend(AttemptRecord row, long held, Outbox out) {
        Chunk.Builder chunk = Chunk.newBuilder()
                .setSession(row.session.id)
                .setNumber(row.number)
                .setOffset(held);
        if (row.head != null) {
            chunk.setHead(row.head);
        }
        int skip = (int) Math.max(0, held - row.firstOffset);
        if (skip < row.tokens.size()) {
            chunk.addAllTokens(row.tokens.subList(skip, row.tokens.size()));
        }
        if (skip < row.body.size()) {
            chunk.setBody(row.body.substring(skip));
        }
        if (chunk.hasHead() || chunk.getTokensCount() > 0 || !chunk.getBody().isEmpty()) {
            out.send(row.session.entry, Envelope.newBuilder().setChunk(chunk));
        }
        if (row.state == AttemptRecord.State.ENDED) {
            out.send(row.session.entry, Envelope.newBuilder().setEnded(row.ended));
        }
    }

    private void onReceived(Received received) {
        journal.attempt(received.getSession(), received.getNumber())
                .filter(row -> row.state == AttemptRecord.State.ENDED)
                .ifPresent(row -> {
                    row.tokens.clear();
                    row.body = com.google.protobuf.ByteString.EMPTY;
                });
    }

    private void onHead(org.cuminshelf.message.UpstreamHead head, Outbox out) {
        journal.runningAttempt(head.getAttempt()).ifPresent(row -> {
            row.head = head.getHead();
            out.send(
                    row.session.entry,
                    Envelope.newBuilder()
                            .setChunk(Chunk.newBuilder()
                                    .setSession(row.session.id)
                                    .setNumber(row.number)
                                    .setOffset(row.length())
                                    .setHead(row.head)));
        });
    }

    private void onPart(long now, UpstreamPart part, Outbox out) {
        Optional<AttemptRecord> found = journal.runningAttempt(part.getAttempt());
        if (found.isEmpty()) {
            return;
        }
        AttemptRecord row = found.get();
        Chunk.Builder chunk = Chunk.newBuilder()
                .setSession(row.session.id)
                .setNumber(row.number)
                .setOffset(row.length())
                .addAllTokens(part.getTokensList())
                .setBody(part.getBody());
        if (row.tokens.isEmpty() && part.getTokensCount() > 0) {
            promptTokensDone += row.promptTokens;
            prefill.taken(now, row.promptWaiting);
            journal.promptTaken(row);
            chunk.setLoad(load(row.session));
        }
        if (!row.tokens.isEmpty() && part.getTokensCount() > 0) {
            gaps.add(now - row.lastTokensAt, part.getTokensCount());
        }
        row.lastTokensAt = now;
        outputTokensDone += part.getTokensCount();
        out.send(row.session.entry, Envelope.newBuilder().setChunk(chunk));
        row.tokens.addAll(part.getTokensList());
        row.body = row.body.concat(part.getBody());
        if (row.body.size() > LARGEST_ANSWER_BYTES) {
            end(row, Ran.RAN, Cause.ANSWER_TOO_LARGE, "", out);
        }
    }

    private void onEnd(UpstreamEnd end, Outbox out) {
        journal.runningAttempt(end.getAttempt())
                .ifPresent(row -> end(row, end.getRan(), end.getCause(), end.getFinishReason(), out));
    }

    private void end(AttemptRecord row, Ran ran, Cause cause, String finishReason, Outbox out) {
        invariants.check(
                row.state == AttemptRecord.State.RUNNING,
                "an-attempt-ends-once",
                () -> "attempt " + row.number + " of session " + row.session.id + " ended twice");
        journal.ended(row);
        row.state = AttemptRecord.State.ENDED;
        Ended.Builder ended = Ended.newBuilder()
                .setSession(row.session.id)
                .setNumber(row.number)
                .setLength(row.length())
                .setRan(ran)
                .setCause(cause)
                .setFinishReason(finishReason);
        row.ended = ended.build();
        ended.setLoad(load(row.session));
        out.send(row.session.entry, Envelope.newBuilder().setEnded(ended));
    }

    private void onState(long now, UpstreamState state, Outbox out) {
        upstreamReachable = state.getReachable();
        if (state.getReachable()) {
            upstreamLoad = state.getLoad();
        }
        orders.onState(now, state, upstreamLoad, out);
    }

    /** A configuration is taken only where it is newer; whatever comes late or from a stale process changes nothing. */
    private void onUpdate(org.cuminshelf.message.Update update) {
        configVersion = Math.max(configVersion, update.getConfigVersion());
    }

    private void leave(long now) {
        leaving = true;
        nextAnnounce = now;
    }

    /** Ends the generations that outlast a change's patience; their entries go on with them on another engine. */
    private void moveGenerations(Outbox out) {
        for (AttemptRecord row : java.util.List.copyOf(asCollection(journal.running()))) {
            if (!row.moved) {
                row.moved = true;
                cancelUpstream(row, out);
                end(row, Ran.RAN, Cause.MOVED, "", out);
            }
        }
    }

    private static java.util.Collection<AttemptRecord> asCollection(Iterable<AttemptRecord> rows) {
        java.util.List<AttemptRecord> copy = new java.util.ArrayList<>();
        rows.forEach(copy::add);
        return copy;
    }

    private void cancelForSilentEntries(long now, Outbox out) {
        if (settings.kind() != UpstreamKind.UPSTREAM_ENGINE) {
            return;
        }
        for (AttemptRecord row : asCollection(journal.running())) {
            if (now - row.session.lastHeard > ENTRY_SILENCE) {
                cancelUpstream(row, out);
                end(row, Ran.RAN, Cause.CANCELLED, "cancelled", out);
            }
        }
    }

    private static void cancelUpstream(AttemptRecord row, Outbox out) {
        out.send(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setCancelUpstream(CancelUpstream.newBuilder().setAttempt(row.id)));
    }

    /** Tells entries and control at once when the upstream begins or ceases to take work. */
    private void tellIfOpenChanged(long now, Outbox out) {
        boolean isOpen =
                upstreamReachable && !leaving && !orders.isDraining() && !orders.isChanging() && !isUnsettled();
        if (isOpen == wasOpen) {
            return;
        }
        wasOpen = isOpen;
        nextAnnounce = now;
        for (EntrySession session : journal.sessions()) {
            out.send(session.entry, Envelope.newBuilder().setLoadReport(load(session)));
        }
    }

    private void announce(long now, Outbox out) {
        if (now < nextAnnounce) {
            return;
        }
        nextAnnounce = now + ANNOUNCE_EVERY;
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
                .setLeaving(leaving || orders.isDraining() || !upstreamReachable || isUnsettled())
                .setChecksFence(settings.checksFence())
                .setLastOrder(orders.lastOrder())
                .setConfigVersion(configVersion)
                .build();
    }

    private LoadReport load(EntrySession session) {
        LoadReport.Builder load = upstreamLoad.toBuilder()
                .setRunning(journal.runningCount())
                .setQueuedPromptTokens(journal.promptWaiting())
                .setPrefillPerS(prefill.perSecond())
                .setTokenGapUs(gaps.micros(journal.runningCount()))
                .setSlots(settings.slots())
                .setLeaving(leaving || orders.isDraining())
                .setChanging(orders.isChanging() || !upstreamReachable || isUnsettled())
                .setPromptTokensDone(promptTokensDone)
                .setOutputTokensDone(outputTokensDone);
        if (session != null) {
            load.setCounted(session.highestNumber);
        }
        return load.build();
    }
}
