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
 * Writes what the replicas persist. Everything that arrived while one sync ran is written before the next, so that one
 * sync serves many entries (group commit).
 *
 * <p>A failed sync is fatal and never retried: the system may have dropped the pages, and a second sync would report
 * success for bytes that are lost.
 */
public final class StorageThread implements AutoCloseable {

    private static final String LOG = "storage: ";
    private static final int MOST_AT_ONCE = 1_024;

    private final Map<String, GroupLog> logs;
    private final Consumer<Envelope> answers;
    private final Runnable onFailure;
    private final boolean groupCommit;
    private final LinkedBlockingQueue<Persist> queue = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::run, "storage");
    private volatile boolean running = true;

    /**
     * Makes the thread; nothing runs before {@link #start()}.
     *
     * @param logs        the log of each group
     * @param answers     takes what was persisted
     * @param onFailure   ends the process; called once
     * @param groupCommit whether one sync may serve many entries; off only to measure what it saves
     */
    public StorageThread(
            Map<String, GroupLog> logs, Consumer<Envelope> answers, Runnable onFailure, boolean groupCommit) {
        this.logs = new HashMap<>(logs);
        this.answers = answers;
        this.onFailure = onFailure;
        this.groupCommit = groupCommit;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Queues what a core persists.
     *
     * @param message a message that carries a {@link Persist}
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
                    queue.drainTo(batch, MOST_AT_ONCE);
                }
                write(batch);
            }
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            Logger.error(LOG + "A write or sync failed; this replica stops: {}.", e.getMessage());
            onFailure.run();
        }
    }

    private static void writeSingly(GroupLog log, Persist persist) throws IOException {
        for (LogRecord record : persist.getRecordsList()) {
            log.write(List.of(record));
            log.sync();
        }
    }

    private void write(List<Persist> batch) throws IOException {
        Map<String, Long> last = new HashMap<>();
        for (Persist persist : batch) {
            GroupLog log = logs.get(persist.getGroup());
            if (groupCommit) {
                log.write(persist.getRecordsList());
            } else {
                writeSingly(log, persist);
            }
            last.put(persist.getGroup(), persist.getSequence());
        }
        for (String group : last.keySet()) {
            logs.get(group).sync();
        }
        last.forEach((group, sequence) -> answers.accept(Envelope.newBuilder()
                .setFrom(Address.STORAGE.value())
                .setPersisted(Persisted.newBuilder().setGroup(group).setSequence(sequence))
                .build()));
    }
}
