package org.cuminshelf.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Persist;
import org.cuminshelf.message.Persisted;
import org.cuminshelf.storage.GroupLog;
import org.tinylog.Logger;

/**
 * Writes the log records of the replicas to disk. Requests that arrive during a sync are written together before the
 * next one, so a single sync covers many entries (group commit).
 *
 * <p>A failed sync is fatal and never retried: the operating system may have dropped the dirty pages, and a second sync
 * would report success for lost bytes.
 */
public final class StorageThread implements AutoCloseable {

    private static final String LOG = "storage: ";
    private static final int MAX_DRAINED_REQUESTS = 1_024;

    private final Map<String, GroupLog> logs;
    private final Consumer<Envelope> onPersisted;
    private final Runnable onFailure;
    private final boolean groupCommit;
    private final LinkedBlockingQueue<Persist> queue = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::run, "storage");
    private volatile boolean running = true;

    /**
     * Creates the thread, which is idle until {@link #start()}.
     *
     * @param logs        the log of each group, by group name; closed with this thread
     * @param onPersisted receives a {@link Persisted} message per group after each sync, on this thread
     * @param onFailure   called once when a write or sync fails; must end the process
     * @param groupCommit whether one sync may cover many entries; {@code false} only in benchmarks
     */
    public StorageThread(
            Map<String, GroupLog> logs, Consumer<Envelope> onPersisted, Runnable onFailure, boolean groupCommit) {
        this.logs = new HashMap<>(logs);
        this.onPersisted = onPersisted;
        this.onFailure = onFailure;
        this.groupCommit = groupCommit;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Queues a request of a core to persist log records. May be called from any thread.
     *
     * @param message a message whose body is a {@link Persist}
     */
    public void offer(Envelope message) {
        queue.add(message.getPersist());
    }

    @Override
    public void close() throws IOException {
        running = false;
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (GroupLog log : logs.values()) {
            log.close();
        }
    }

    private void run() {
        List<Persist> batch = new ArrayList<>();
        try {
            while (running) {
                batch.clear();
                batch.add(queue.take());
                if (groupCommit) {
                    queue.drainTo(batch, MAX_DRAINED_REQUESTS);
                }
                write(batch);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            Logger.error(LOG + "Writing or syncing a replication log failed; the process stops: {}.", e.getMessage());
            onFailure.run();
        }
    }

    private static void syncEachRecord(GroupLog log, Persist persist) throws IOException {
        for (LogRecord record : persist.getRecordsList()) {
            log.write(List.of(record));
            log.sync();
        }
    }

    private void write(List<Persist> batch) throws IOException {
        Map<String, Long> lastSequences = new HashMap<>();
        for (Persist persist : batch) {
            GroupLog log = logs.get(persist.getGroup());
            if (groupCommit) {
                log.write(persist.getRecordsList());
            } else {
                syncEachRecord(log, persist);
            }
            lastSequences.put(persist.getGroup(), persist.getSequence());
        }
        for (String group : lastSequences.keySet()) {
            logs.get(group).sync();
        }
        lastSequences.forEach((group, sequence) -> onPersisted.accept(Envelope.newBuilder()
                .setFrom(Address.STORAGE.value())
                .setPersisted(Persisted.newBuilder().setGroup(group).setSequence(sequence))
                .build()));
    }
}
