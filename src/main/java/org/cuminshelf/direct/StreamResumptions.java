package org.cuminshelf.direct;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
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
        addOwnKnowledge(stream);
        addProcessesToAsk(stream);
        if (isNothingMoreExpected(stream)) {
            decideWithoutRecord(now, stream);
            return;
        }
        long number = nextNumber++;
        stream.nextRoundAtNanos = now;
        waiting.put(number, stream);
        rounds.set(number, now);
    }

    /**
     * Adds the holders of its record that were not asked before, as they may change, and the other control processes
     * while their answers may show that there is only one version.
     */
    private void addProcessesToAsk(ResumedStream stream) {
        control.recordHolders().of(stream.stream()).stream()
                .filter(holder -> !holder.equals(self) && !stream.answered.contains(holder))
                .forEach(stream.unanswered::add);
        if (stream.candidates.size() > 1) {
            return;
        }
        control.controlProcesses().stream()
                .filter(process -> !stream.unanswered.contains(process) && !stream.answered.contains(process))
                .forEach(stream.unansweredControl::add);
    }

    /** Adds the versions that this entry knows now, which may be more since the stream arrived. */
    private void addOwnKnowledge(ResumedStream stream) {
        stream.candidates.addAll(upstreams.versionsSince(stream.begunSinceNanos, stream.service));
    }

    /**
     * Returns the version that alone can have begun a stream, if that is certain: a majority of the control processes
     * has answered since the stream arrived here, and knows no other. A stream begins at a new version only once a
     * majority lists it, so one process belongs to both majorities.
     *
     * <p>Guards against an entry that has not noticed that it is out of step: what it heard lately is older than
     * streams that began meanwhile elsewhere, at upstreams that it does not know of. The same is true of other entries.
     */
    private Optional<String> onlyVersion(ResumedStream stream) {
        return control.isMajority(stream.informed) ? stream.singleCandidate() : Optional.empty();
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
                .addAllVersions(upstreams.versionsSince(sinceNanos, query.getService()));
        records.toMessage(now, query.getStream()).ifPresent(answer::setRecord);
        return answer.build();
    }

    /** Handles the answer of a process that was asked. */
    void onAnswer(long now, Address from, StreamAnswer answer) {
        ResumedStream stream = waiting.get(answer.getNumber());
        if (stream == null || stream.answered.contains(from)) {
            return;
        }
        stream.addAnswer(from, answer);
        if (answer.hasRecord()) {
            remove(answer.getNumber());
            StreamRecord record = answer.getRecord();
            records.onRecord(now, record);
            records.find(stream.stream())
                    .ifPresentOrElse(
                            begun -> onRecord(now, stream, begun, "record-by-answer"), () -> refuseUnsure(now, stream));
            return;
        }
        addOwnKnowledge(stream);
        boolean certain = anEntryHasAnswered(stream) && onlyVersion(stream).isPresent();
        if (certain || isNothingMoreExpected(stream)) {
            remove(answer.getNumber());
            decideWithoutRecord(now, stream);
        }
    }

    /** Returns whether no answer is missing that could still decide: a record, or one that shows the only version. */
    private static boolean isNothingMoreExpected(ResumedStream stream) {
        boolean severalVersions = stream.candidates.size() > 1;
        return stream.unanswered.isEmpty() && (severalVersions || stream.unansweredControl.isEmpty());
    }

    /**
     * Returns whether an entry that keeps the record has answered, or there is none but this one. Control processes get
     * records later than entries.
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
        addOwnKnowledge(stream);
        Optional<String> only = onlyVersion(stream);
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
        boolean mayBeOnly = stream.candidates.size() <= 1;
        if (!stream.unanswered.isEmpty() || mayBeOnly && !stream.unansweredControl.isEmpty()) {
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
                "informed",
                stream.informed.size(),
                "answers",
                stream.answered.size(),
                "unanswered",
                stream.unanswered.size() + stream.unansweredControl.size(),
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
        addProcessesToAsk(stream);
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
        Stream.concat(stream.unanswered.stream(), stream.unansweredControl.stream())
                .forEach(process -> out.send(process, Envelope.newBuilder().setStreamQuery(query)));
    }
}
