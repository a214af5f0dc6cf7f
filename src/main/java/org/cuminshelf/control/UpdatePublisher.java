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
 * Tells subscribers what they lack: the version of the configuration, what changed in the directory, the control
 * processes and the entries. Changes are told at once; those lost on the way are made up for when a subscriber asks.
 */
final class UpdatePublisher {

    /** Least time between two rounds of changes: short against the seconds in which a change must be in force. */
    private static final long SPREAD_EVERY = Durations.nanos(20);

    /**
     * The entries as all of them are told.
     *
     * @param addresses in order
     * @param hash      of the addresses, by which a subscriber's list is compared
     */
    private record EntryList(List<String> addresses, long hash) {
        private static EntryList of(List<String> addresses) {
            return new EntryList(addresses, LongHashFunction.xx3().hashChars(String.join(",", addresses)));
        }
    }

    private final String region;
    private final Map<String, Replica> replicas;
    private final GlobalStateMachine config;
    private final SidecarDirectory directory;
    private final DirectUpstreamRegistry registry;
    private final SubscriberTable subscribers;
    private final PoisonRegistry poison;
    private long nextSpread;
    private long spreadConfigVersion;
    private long spreadDirectoryVersion;

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
        this.nextSpread = now;
    }

    /** Gives an entry the body of the configuration, which it asks one control process for at a time. */
    void onConfigFetch(Address from, ConfigFetch fetch, Outbox out) {
        boolean newer = isSettledVoter() && config.version() > fetch.getHeldVersion();
        ConfigBody.Builder body = ConfigBody.newBuilder();
        if (newer) {
            body.setVersion(config.version()).setDeflated(config.deflated());
        }
        out.send(from, Envelope.newBuilder().setConfigBody(body));
    }

    /** Tells one subscriber what it lacks; {@code confirmed} says that a quorum confirmed the version told. */
    void send(SubscriberTable.Row row, boolean confirmed, Outbox out) {
        send(row, confirmed, EntryList.of(subscribers.entries()), out);
    }

    private void send(SubscriberTable.Row row, boolean confirmed, EntryList entries, Outbox out) {
        boolean voter = isSettledVoter();
        Update.Builder update = Update.newBuilder()
                .setVoter(voter)
                .setConfigVersion(voter ? config.version() : 0)
                .setConfirmed(confirmed)
                .setRegion(region)
                .setEntries(entries.addresses.size());
        if (voter && !row.fetchesConfig && row.configVersion < config.version()) {
            update.setConfig(config.config());
        }
        if (row.wantsDirectory) {
            describeDirectory(row, entries, update);
        }
        if (voter) {
            replicas.get(ControlSettings.GLOBAL_GROUP).members().forEach(member -> update.addControl(member.value()));
        }
        update.setAskedAtNs(row.askedAt)
                .setTakenAtUs(row.takenAt)
                .setUsageHeard(row.usageHeard)
                .setUsageSettled(config.usage().lastWindow());
        replicas.forEach((group, replica) -> replica.leader()
                .ifPresent(leader -> update.addLeaders(
                        GroupLeader.newBuilder().setGroup(group).setAddress(leader.value()))));
        out.send(row.address, Envelope.newBuilder().setUpdate(update));
    }

    private void describeDirectory(SubscriberTable.Row row, EntryList entries, Update.Builder update) {
        boolean whole = directory.describe(row.directoryIncarnation, row.directoryVersion, update);
        registry.describe(whole, row.directoryVersion, update);
        describePoison(whole ? 0 : row.directoryVersion, update);
        update.setPoisonHeard(row.poisonHeard).setEntriesHash(entries.hash);
        if (row.entriesHash != entries.hash) {
            update.addAllEntryAddresses(entries.addresses);
        }
    }

    private void describePoison(long since, Update.Builder update) {
        update.addAllCrashes(poison.crashesChangedSince(since))
                .addAllQuarantined(poison.quarantine().changedSince(since));
    }

    private boolean isSettledVoter() {
        return replicas.get(ControlSettings.GLOBAL_GROUP).isSettledVoter();
    }

    /** Tells all subscribers of changes. */
    void tick(long now, Outbox out) {
        if (!isDue() || now < nextSpread) {
            return;
        }
        nextSpread = now + SPREAD_EVERY;
        boolean configChanged = spreadConfigVersion != config.version();
        spreadConfigVersion = config.version();
        spreadDirectoryVersion = directory.urgentVersion();
        EntryList entries = EntryList.of(subscribers.entries());
        for (SubscriberTable.Row row : subscribers.rows()) {
            if (configChanged || row.wantsDirectory) {
                send(row, false, entries, out);
            }
        }
    }

    long nextDue() {
        return isDue() ? nextSpread : Core.NEVER;
    }

    private boolean isDue() {
        return spreadConfigVersion != config.version() || spreadDirectoryVersion != directory.urgentVersion();
    }
}
