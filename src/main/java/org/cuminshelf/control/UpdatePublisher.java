package org.cuminshelf.control;

import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.ConfigBody;
import org.cuminshelf.message.ConfigFetch;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.GroupLeader;
import org.cuminshelf.message.Update;
import org.cuminshelf.poison.PoisonRegistry;
import org.cuminshelf.replica.Replica;

/**
 * Sends subscribers the updates they lack: the version of the configuration, changes of the directory, the control
 * processes and the entries. Changes are broadcast at once; lost updates are repeated in reply to the next request.
 */
final class UpdatePublisher {

    /** Minimum interval between two broadcasts, short compared to the seconds in which a change must be in force. */
    private static final long MIN_BROADCAST_INTERVAL_NANOS = Durations.nanos(20);

    /**
     * The list of entries that is sent to every entry.
     *
     * @param addresses the addresses, sorted
     * @param zones     their availability zones, in the same order
     * @param hash      hash of both, compared with that of the subscriber's list
     */
    private record EntryList(List<String> addresses, List<String> zones, long hash) {
        private static EntryList of(SubscriberTable subscribers) {
            List<String> addresses = subscribers.entryAddresses();
            List<String> zones = subscribers.entryZones();
            String all = String.join(",", addresses) + ';' + String.join(",", zones);
            return new EntryList(addresses, zones, LongHashFunction.xx3().hashChars(all));
        }
    }

    private final String region;
    private final Map<String, Replica> replicas;
    private final GlobalStateMachine config;
    private final SidecarDirectory directory;
    private final DirectUpstreamRegistry registry;
    private final SubscriberTable subscribers;
    private final PoisonRegistry poison;
    private final long startedNanos;
    private long lastTickNanos;
    private long nextBroadcast;
    private long broadcastConfigVersion;
    private long broadcastDirectoryVersion;

    UpdatePublisher(
            String region,
            Map<String, Replica> replicas,
            GlobalStateMachine config,
            SidecarDirectory directory,
            DirectUpstreamRegistry registry,
            SubscriberTable subscribers,
            PoisonRegistry poison,
            long now) {
        this.region = region;
        this.replicas = replicas;
        this.config = config;
        this.directory = directory;
        this.registry = registry;
        this.subscribers = subscribers;
        this.poison = poison;
        this.nextBroadcast = now;
        this.startedNanos = now;
        this.lastTickNanos = now;
    }

    /** Sends an entry the body of the configuration if it is newer than the version the entry holds. */
    void onConfigFetch(Address from, ConfigFetch fetch, Outbox out) {
        boolean newer = isSettledVoter() && config.version() > fetch.getHeldVersion();
        ConfigBody.Builder body = ConfigBody.newBuilder();
        if (newer) {
            body.setVersion(config.version()).setDeflated(config.deflated());
        }
        out.send(from, Envelope.newBuilder().setConfigBody(body));
    }

    /** Sends one subscriber what it lacks; {@code confirmed} states that a quorum confirmed the config version. */
    void send(SubscriberTable.Subscriber subscriber, boolean confirmed, Outbox out) {
        send(subscriber, confirmed, EntryList.of(subscribers), out);
    }

    private void send(SubscriberTable.Subscriber subscriber, boolean confirmed, EntryList entries, Outbox out) {
        boolean voter = isSettledVoter();
        Update.Builder update = Update.newBuilder()
                .setVoter(voter)
                .setConfigVersion(voter ? config.version() : 0)
                .setConfirmed(confirmed)
                .setRegion(region)
                .setEntries(entries.addresses.size());
        if (voter && !subscriber.fetchesConfig && subscriber.configVersion < config.version()) {
            update.setConfig(config.config());
        }
        if (subscriber.wantsDirectory) {
            addDirectory(subscriber, entries, update);
        }
        if (voter) {
            replicas.get(ControlSettings.GLOBAL_GROUP)
                    .memberAddresses()
                    .forEach(member -> update.addControl(member.value()));
        }
        long now = Math.max(subscriber.lastReceivedAt, lastTickNanos);
        update.setWatchedMs(Durations.millis(now - startedNanos))
                .setAskedAtNs(subscriber.requestClockNanos)
                .setTakenAtUs(subscriber.receivedAtUnixMicros)
                .setUsageHeard(subscriber.receivedUsageVersion)
                .setUsageSettled(config.usage().lastWindow());
        replicas.forEach((group, replica) -> replica.leader()
                .ifPresent(leader -> update.addLeaders(
                        GroupLeader.newBuilder().setGroup(group).setAddress(leader.value()))));
        out.send(subscriber.address, Envelope.newBuilder().setUpdate(update));
    }

    private void addDirectory(SubscriberTable.Subscriber subscriber, EntryList entries, Update.Builder update) {
        boolean complete = directory.addMissing(subscriber.directoryIncarnation, subscriber.directoryVersion, update);
        registry.addMissing(complete, subscriber.directoryVersion, update);
        addPoison(complete ? 0 : subscriber.directoryVersion, update);
        update.setPoisonHeard(subscriber.receivedPoisonVersion).setEntriesHash(entries.hash);
        if (subscriber.entriesHash != entries.hash) {
            update.addAllEntryAddresses(entries.addresses).addAllEntryZones(entries.zones);
        }
    }

    private void addPoison(long since, Update.Builder update) {
        update.addAllCrashes(poison.crashesChangedSince(since))
                .addAllQuarantined(poison.quarantine().changedSince(since));
    }

    /** Whether this process has listened to upstreams since a time in nanoseconds. */
    boolean hasListenedSince(long sinceNanos) {
        return startedNanos <= sinceNanos;
    }

    private boolean isSettledVoter() {
        return replicas.get(ControlSettings.GLOBAL_GROUP).isVoterWithDurableCommit();
    }

    /** Broadcasts changes: configuration changes to all subscribers, directory changes to those that want them. */
    void tick(long now, Outbox out) {
        if (!hasChanges() || now < nextBroadcast) {
            return;
        }
        nextBroadcast = now + MIN_BROADCAST_INTERVAL_NANOS;
        boolean configChanged = broadcastConfigVersion != config.version();
        broadcastConfigVersion = config.version();
        broadcastDirectoryVersion = directory.urgentVersion();
        lastTickNanos = now;
        EntryList entries = EntryList.of(subscribers);
        for (SubscriberTable.Subscriber subscriber : subscribers.all()) {
            if (configChanged || subscriber.wantsDirectory) {
                send(subscriber, false, entries, out);
            }
        }
    }

    long nextDue() {
        return hasChanges() ? nextBroadcast : Core.NEVER;
    }

    private boolean hasChanges() {
        return broadcastConfigVersion != config.version() || broadcastDirectoryVersion != directory.urgentVersion();
    }
}
