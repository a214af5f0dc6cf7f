package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Update;
import org.cuminshelf.routes.Route;
import org.cuminshelf.streams.StreamRecordTable;

/**
 * Sends records of streams to the control processes that keep them: those of new streams in batches, and to a process
 * that has restarted or joined all that may still be asked for.
 *
 * <p>Guards against resumed streams whose version nobody knows after all entries, or all control processes, have lost
 * their memory.
 */
final class ControlRecordSender {

    /** Maximum rate of batches from all entries to one control process, as long as the interval is below its limit. */
    private static final long MAX_BATCHES_PER_SECOND = 1_500;

    private static final long MIN_INTERVAL_NANOS = Durations.nanos(5);
    private static final long MAX_INTERVAL_NANOS = Durations.nanos(250);

    private final Address self;
    private final ControlSubscription control;
    private final StreamRecordTable records;
    private final RecordBatches batches;
    /** Incarnation of each control process that has been sent all records, or is about to be. */
    private final Map<Address, Long> filledIncarnations = new HashMap<>();
    /** The members at the last update, which select the holders. */
    private Set<Address> members = Set.of();
    /** When each process is due to be sent all records. */
    private final Map<Address, Long> refillDueNanos = new HashMap<>();

    private boolean draining;

    ControlRecordSender(Address self, ControlSubscription control, StreamRecordTable records) {
        this.self = self;
        this.control = control;
        this.records = records;
        this.batches = new RecordBatches(records);
    }

    /** Adds a new record for the control processes that keep it. */
    void add(long now, String stream) {
        control.recordHolders().control(stream).forEach(holder -> batches.add(now, holder, stream, intervalNanos()));
    }

    private long intervalNanos() {
        if (draining) {
            return MIN_INTERVAL_NANOS;
        }
        long interval = control.entries().size() * Durations.nanos(1_000) / MAX_BATCHES_PER_SECOND;
        return Math.clamp(interval, MIN_INTERVAL_NANOS, MAX_INTERVAL_NANOS);
    }

    /** Schedules sending all records to a control process if its update states an incarnation that has none of them. */
    void onUpdate(long now, Address from, Update update) {
        if (!members.equals(control.recordHolders().controlProcesses())) {
            // Each change makes some members holders of records that others kept.
            members = Set.copyOf(control.recordHolders().controlProcesses());
            filledIncarnations.clear();
        }
        long incarnation = update.getDirectoryIncarnation();
        if (incarnation == 0 || !control.recordHolders().controlProcesses().contains(from)) {
            return;
        }
        Long filled = filledIncarnations.put(from, incarnation);
        if (filled == null || filled != incarnation) {
            // Spread over the interval, as all entries notice a restart at the same time.
            long phase = Math.floorMod(self.value().hashCode(), intervalNanos());
            refillDueNanos.put(from, now + phase);
        }
    }

    /** Shortens the interval, as this process is about to end. */
    void startDraining() {
        draining = true;
    }

    long nextDue() {
        long due = batches.nextDue();
        for (long refillDue : refillDueNanos.values()) {
            due = Math.min(due, refillDue);
        }
        return due;
    }

    void tick(long now, Outbox out) {
        batches.tick(now, out);
        Iterator<Map.Entry<Address, Long>> refills = refillDueNanos.entrySet().iterator();
        while (refills.hasNext()) {
            Map.Entry<Address, Long> refill = refills.next();
            if (now >= refill.getValue()) {
                refills.remove();
                refill(now, refill.getKey(), out);
            }
        }
    }

    /** Sends all that waits, due or not. */
    void sendAll(long now, Outbox out) {
        batches.sendAll(now, out);
    }

    /** Sends a process the records that it is to keep, of streams that may still be resumed. */
    private void refill(long now, Address process, Outbox out) {
        RecordBatches refill = new RecordBatches(records);
        records.forEachRecordedSince(now - resumableNanos(), stream -> {
            if (control.recordHolders().control(stream).contains(process)) {
                refill.add(now, process, stream, 0);
            }
        });
        refill.sendAll(now, out);
    }

    /** Returns the time after its last record for which a stream may be resumed, on any of the routes. */
    private long resumableNanos() {
        long longestTimeoutMillis = control.routes().routes().stream()
                .mapToLong(Route::timeoutMillis)
                .max()
                .orElse(Durations.millis(StreamRecordTable.RETENTION_NANOS));
        return Math.min(
                StreamRecordTable.RETENTION_NANOS,
                Durations.nanos(StreamResumptions.RESUMED_WITHIN_TIMEOUTS * longestTimeoutMillis));
    }
}
