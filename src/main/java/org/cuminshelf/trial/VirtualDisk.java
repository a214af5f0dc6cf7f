package org.cuminshelf.trial;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Persist;
import org.cuminshelf.message.Persisted;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.storage.GroupLog;
import org.cuminshelf.storage.LogDevice;

/** The disk of a virtual control process: what is not synced is lost, whole or in part, when the process is killed. */
final class VirtualDisk {

    private static final long SHORTEST_SYNC = Durations.nanos(1) / 2;
    private static final long LONGEST_OUTAGE = Durations.nanos(4_000);
    private static final long SYNC_SPREAD = Durations.nanos(8);

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Map<String, Device> devices = new HashMap<>();
    private final Map<String, GroupLog> logs = new HashMap<>();
    private boolean failNextSync;
    private long syncs;

    VirtualDisk(VirtualTime time, UniformRandomProvider random) {
        this.time = time;
        this.random = random;
    }

    long syncs() {
        return syncs;
    }

    /** Opens the log of a group for a new incarnation. */
    DurableState open(String group) {
        Device device = devices.computeIfAbsent(group, key -> new Device());
        try {
            long identity = Math.max(1, random.nextLong() & Long.MAX_VALUE);
            GroupLog log = GroupLog.open(device, group, identity);
            logs.put(group, log);
            return log.recovered();
        } catch (IOException e) {
            throw new IllegalStateException("a virtual disk can't be opened", e);
        }
    }

    /** Loses what is not synced: some part of it may have reached the disk, and its end may be garbage. */
    void crash() {
        devices.values().forEach(device -> device.crash(random));
    }

    /** Replaces the disk by an empty one. */
    void lose() {
        devices.clear();
        logs.clear();
    }

    /** The identity of the present disk in a group; 0 before its log was opened. */
    long identity(String group) {
        GroupLog log = logs.get(group);
        return log == null ? 0 : log.identity();
    }

    void failNextSync() {
        failNextSync = true;
    }

    /** Writes at once and reports when a sync later is done. */
    void persist(VirtualNode node, Envelope message) {
        Persist persist = message.getPersist();
        GroupLog log = logs.get(persist.getGroup());
        try {
            log.write(persist.getRecordsList());
        } catch (IOException e) {
            throw new IllegalStateException("a virtual disk can't be written", e);
        }
        long incarnation = node.incarnation();
        time.after(SHORTEST_SYNC + random.nextLong(SYNC_SPREAD), () -> sync(node, incarnation, log, persist));
    }

    private void sync(VirtualNode node, long incarnation, GroupLog log, Persist persist) {
        if (!node.isAlive() || node.incarnation() != incarnation) {
            return;
        }
        if (failNextSync) {
            failNextSync = false;
            node.kill();
            time.after(random.nextLong(LONGEST_OUTAGE), node::startIfDead);
            return;
        }
        try {
            log.sync();
            syncs++;
        } catch (IOException e) {
            throw new IllegalStateException("a virtual disk can't be synced", e);
        }
        Persisted persisted = Persisted.newBuilder()
                .setGroup(persist.getGroup())
                .setSequence(persist.getSequence())
                .build();
        node.deliverLocal(incarnation, Address.STORAGE, Envelope.newBuilder().setPersisted(persisted));
    }

    /** A log in memory. */
    static final class Device implements LogDevice {

        private byte[] content = new byte[0];
        private int synced;

        @Override
        public long length() {
            return content.length;
        }

        @Override
        public void read(long position, ByteBuffer target) {
            int start = (int) position;
            target.put(content, start, Math.min(target.remaining(), content.length - start));
        }

        @Override
        public void append(byte[] bytes) {
            int length = content.length;
            content = Arrays.copyOf(content, length + bytes.length);
            System.arraycopy(bytes, 0, content, length, bytes.length);
        }

        @Override
        public void sync() {
            synced = content.length;
        }

        @Override
        public void truncate(long length) {
            content = Arrays.copyOf(content, (int) length);
            synced = content.length;
        }

        @Override
        public Replacement startReplacement() {
            return new DeviceReplacement();
        }

        @Override
        public void close() {
            // Nothing is held.
        }

        /** New content of the log in memory. */
        private final class DeviceReplacement implements Replacement {

            private final ByteArrayOutputStream fresh = new ByteArrayOutputStream();

            @Override
            public void append(byte[] bytes) {
                fresh.writeBytes(bytes);
            }

            @Override
            public void sync() {
                // Durable with the commit.
            }

            @Override
            public void commit() {
                content = fresh.toByteArray();
                synced = content.length;
            }

            @Override
            public void close() {
                // Nothing is held.
            }
        }

        void crash(UniformRandomProvider random) {
            int tail = content.length - synced;
            int kept = tail == 0 ? 0 : random.nextInt(tail + 1);
            content = Arrays.copyOf(content, synced + kept);
            if (kept > 0 && random.nextBoolean()) {
                content[synced + random.nextInt(kept)] ^= 0x55;
            }
        }
    }
}
