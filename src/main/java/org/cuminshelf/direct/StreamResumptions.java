package org.cuminshelf.direct;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.DeadlineQueue;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.StreamAnswer;
import org.cuminshelf.message.StreamQuery;
import org.cuminshelf.message.StreamRecord;

/**
 * Finds out which software version began a stream that its caller takes up again: by a record, here or at the entries
 * that keep it, or as no other version can have begun it. A stream whose version stays unknown is refused.
 *
 * <p>Guards against streams that hold events of two versions. While upstreams of one version serve, the entries asked
 * agree on that, and nothing depends on records.
 */
final class StreamResumptions {

    /** Receives the outcome of each resumption. */
    interface Listener {

        /** The version is known. */
        void onOriginKnown(long now, ResumedStream stream, String service, StreamOrigin origin);

        /** The version can't be known now; the stream has not been sent anywhere. */
        void onOriginUnknown(long now, ResumedStream stream);
    }

    /** Time after which holders of the record that have not answered are asked again: round trips between regions. */
    private static final long ASK_INTERVAL_NANOS = Durations.nanos(100);
    /** Rounds of questions that passed without delay of this process, after which no answer is expected any more. */
    private static final int MAX_ROUNDS = 5;
    /** The same where its caller has little time left. */
    private static final int MIN_ROUNDS = 2;
    /** Part of its caller's remaining time for which a stream waits for answers at most. */
    private static final double MAX_WAIT_SHARE = 0.5;
    /** Multiple of a route's timeout within which its callers have taken a stream up again. */
    static final int RESUMED_WITHIN_TIMEOUTS = 2;

    private final Address self;
    private final StreamRecords records;
    private final UpstreamTable upstreams;
    private final ControlSubscription control;
    private final Listener listener;
    private final DecisionLog log;
    private final Map<Long, ResumedStream> waiting = new HashMap<>();
    /** When the next round of questions of each stream is due. */
    private final DeadlineQueue<Long> rounds = DeadlineQueue.create();

    /** Starts at the time of start, so that an answer to a previous start of this process belongs to no stream. */
    private long nextNumber;

    StreamResumptions(
            Address self,
            StreamRecords records,
            UpstreamTable upstreams,
            ControlSubscription control,
            Listener listener,
            long now,
            DecisionLog log) {
        this.nextNumber = now;
        this.self = self;
        this.records = records;
        this.upstreams = upstreams;
        this.control = control;
        this.listener = listener;
        this.log = log;
    }

    int size() {
        return waiting.size();
    }

    /** Starts to find out the version of a stream; the listener is told at once if it is known here. */
    void add(long now, ResumedStream stream) {
        Optional<StreamRecords.BegunStream> own = records.find(stream.stream());
        if (own.isPresent()) {
            onRecord(now, stream, own.get(), "record-here");
            return;
        }
        stream.begunSinceNanos = now - windowNanos(stream);
        stream.waitEndsAtNanos = now + (long) (MAX_WAIT_SHARE * Math.max(0, stream.deadlineNanos() - now));
        addHolders(stream);
        if (stream.unanswered.isEmpty()) {
            decideWithoutRecord(now, stream);
            return;
        }
        long number = nextNumber++;
        stream.nextRoundAtNanos = now;
        waiting.put(number, stream);
        rounds.set(number, now);
    }

    /** Adds the holders of its record that were not asked before, as the entries and control processes may change. */
    private void addHolders(ResumedStream stream) {
        control.recordHolders().of(stream.stream()).stream()
                .filter(holder -> !holder.equals(self) && !stream.answered.contains(holder))
                .forEach(stream.unanswered::add);
    }

    /** Adds what this entry knows now, which may be more, or certain again, since the stream arrived. */
    private void addOwnKnowledge(long now, ResumedStream stream) {
        stream.addCandidates(
                upstreams.versionsSince(stream.begunSinceNanos, stream.service),
                control.knowsUpstreamsSince(now, stream.begunSinceNanos));
    }

    private static long windowNanos(ResumedStream stream) {
        return Math.min(
                StreamRecords.RETENTION_NANOS, Durations.nanos(RESUMED_WITHIN_TIMEOUTS * stream.route.timeoutMillis()));
    }

    // ---- messages

    /** Answers another entry that asks for a record. */
    StreamAnswer answer(long now, StreamQuery query) {
        long sinceNanos = now - Durations.nanos(query.getWindowMs());
        StreamAnswer.Builder answer = StreamAnswer.newBuilder()
                .setNumber(query.getNumber())
                .addAllVersions(upstreams.versionsSince(sinceNanos, query.getService()))
                .setComplete(control.knowsUpstreamsSince(now, sinceNanos));
        records.toMessage(now, query.getStream()).ifPresent(answer::setRecord);
        return answer.build();
    }

    /** Handles the answer of an entry that was asked. */
    void onAnswer(long now, Address from, StreamAnswer answer) {
        ResumedStream stream = waiting.get(answer.getNumber());
        if (stream == null || !stream.unanswered.remove(from)) {
            return;
        }
        stream.answered.add(from);
        stream.addCandidates(answer.getVersionsList(), answer.getComplete());
        if (answer.hasRecord()) {
            remove(answer.getNumber());
            StreamRecord record = answer.getRecord();
            records.onRecord(now, record);
            records.find(stream.stream())
                    .ifPresentOrElse(
                            begun -> onRecord(now, stream, begun, "record-by-answer"), () -> refuseUnsure(now, stream));
            return;
        }
        addOwnKnowledge(now, stream);
        if (stream.unanswered.isEmpty()
                || anEntryHasAnswered(stream) && stream.onlyCandidate().isPresent()) {
            remove(answer.getNumber());
            decideWithoutRecord(now, stream);
        }
    }

    /**
     * Returns whether an entry that keeps the record has answered, or there is none but this one. Control processes get
     * records later than entries and say nothing of versions, so that their answers alone show nothing.
     */
    private boolean anEntryHasAnswered(ResumedStream stream) {
        List<Address> entries = control.recordHolders().entries(stream.stream()).stream()
                .filter(entry -> !entry.equals(self))
                .toList();
        return entries.isEmpty() || entries.stream().anyMatch(stream.answered::contains);
    }

    private void remove(long number) {
        waiting.remove(number);
        rounds.clear(number);
    }

    // ---- outcomes

    private void onRecord(long now, ResumedStream stream, StreamRecords.BegunStream begun, String outcome) {
        StreamOrigin origin = new StreamOrigin(begun.version(), StreamOrigin.Source.RECORD, begun.sinceNanos());
        note(now, stream, outcome, origin.version(), Durations.millis(now - begun.sinceNanos()));
        listener.onOriginKnown(now, stream, begun.service(), origin);
    }

    /** Refuses a stream of which records state different versions. */
    private void refuseUnsure(long now, ResumedStream stream) {
        note(now, stream, "unknown-not-sure", "unknown", "none");
        listener.onOriginUnknown(now, stream);
    }

    private void decideWithoutRecord(long now, ResumedStream stream) {
        addOwnKnowledge(now, stream);
        Optional<String> only = stream.onlyCandidate();
        if (only.isEmpty()) {
            note(now, stream, unknownOutcome(stream), "unknown", "none");
            listener.onOriginUnknown(now, stream);
            return;
        }
        StreamOrigin origin = new StreamOrigin(only.get(), StreamOrigin.Source.ONLY_VERSION, now);
        note(now, stream, origin.source().label(), origin.version(), "none");
        listener.onOriginKnown(now, stream, stream.service, origin);
    }

    /** Returns why the version of a stream stays unknown: nobody knows it, an entry may know it, or nobody is sure. */
    private static String unknownOutcome(ResumedStream stream) {
        if (!stream.unanswered.isEmpty()) {
            return "unknown-unanswered";
        }
        return stream.candidates.size() == 1 ? "unknown-not-sure" : "unknown-no-record";
    }

    private void note(long now, ResumedStream stream, String outcome, String version, Object ageMillis) {
        log.note(
                "resumption",
                stream.intent.id(),
                "outcome",
                outcome,
                "resumes",
                stream.stream(),
                "version",
                version,
                "age-ms",
                ageMillis,
                "candidates",
                stream.candidates,
                "complete",
                stream.candidatesComplete,
                "answers",
                stream.answered.size(),
                "unanswered",
                stream.unanswered.size(),
                "wait-ms",
                Durations.millis(now - stream.arrivedAtNanos));
    }

    // ---- callers and time

    /** Drops the resumption of a caller that has disconnected. */
    void onDisconnect(CallerExchange exchange) {
        List<Long> numbers = waiting.entrySet().stream()
                .filter(entry -> entry.getValue().exchange == exchange)
                .map(Map.Entry::getKey)
                .toList();
        numbers.forEach(this::remove);
    }

    /** Refuses all that wait, as this process stops. */
    void refuseAll(long now) {
        List<ResumedStream> streams = List.copyOf(waiting.values());
        List.copyOf(waiting.keySet()).forEach(this::remove);
        streams.forEach(stream -> listener.onOriginUnknown(now, stream));
    }

    long nextDue() {
        return rounds.next();
    }

    void tick(long now, Outbox out) {
        Optional<Long> due = rounds.poll(now);
        while (due.isPresent()) {
            long number = due.get();
            Option.of(waiting.get(number)).forEach(stream -> onRoundDue(now, number, stream, out));
            due = rounds.poll(now);
        }
    }

    /**
     * Asks once more, or gives up. A round after which this process ran late does not count: the answers may have
     * arrived and not been read yet.
     */
    private void onRoundDue(long now, long number, ResumedStream stream, Outbox out) {
        Optional<StreamRecords.BegunStream> received = records.find(stream.stream());
        if (received.isPresent()) {
            remove(number);
            onRecord(now, stream, received.get(), "record-here");
            return;
        }
        boolean inTime = now - stream.nextRoundAtNanos < ASK_INTERVAL_NANOS;
        stream.roundsInTime += inTime ? 1 : 0;
        if (isOver(now, stream, inTime)) {
            remove(number);
            decideWithoutRecord(now, stream);
            return;
        }
        addHolders(stream);
        ask(number, stream, out);
        stream.nextRoundAtNanos = now + ASK_INTERVAL_NANOS;
        rounds.set(number, stream.nextRoundAtNanos);
    }

    private static boolean isOver(long now, ResumedStream stream, boolean inTime) {
        // The first round is due at once, and nothing was asked before it.
        boolean roundsOver = stream.roundsInTime > MAX_ROUNDS;
        boolean waitOver = inTime && stream.roundsInTime > MIN_ROUNDS && now >= stream.waitEndsAtNanos;
        return roundsOver || waitOver || now >= stream.deadlineNanos();
    }

    private static void ask(long number, ResumedStream stream, Outbox out) {
        StreamQuery query = StreamQuery.newBuilder()
                .setNumber(number)
                .setStream(stream.stream())
                .setService(stream.service)
                .setWindowMs(Durations.millis(windowNanos(stream)))
                .build();
        stream.unanswered.forEach(
                holder -> out.send(holder, Envelope.newBuilder().setStreamQuery(query)));
    }
}
