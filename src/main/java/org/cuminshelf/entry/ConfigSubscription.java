package org.cuminshelf.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;

/**
 * The configuration in force in this process, and its subscription at the control processes of its region.
 *
 * <p>Failure it guards against: a process without a disk restarts and receives an older configuration from a stale
 * control process, so that a limit or an event that was in force here is undone. A new process is ready only after a
 * quorum has confirmed a version. If no quorum can be reached, it is ready after every control process of its region
 * has answered as a voter: the earlier incarnation had its configuration only from these, each of which had stored
 * durably what it sent. A control process whose disk was replaced is no voter until a quorum has admitted it.
 */
final class ConfigSubscription {

    /** The replicated group that accepts configurations. */
    private static final String GLOBAL_GROUP = "global";

    private static final long SUBSCRIBE_INTERVAL_NANOS = Durations.nanos(1_000);
    private static final long SUBSCRIBE_INTERVAL_UNREADY_NANOS = Durations.nanos(200);
    /** Maximum age of an answer for the rule that every control process has answered. */
    private static final long MAX_ANSWER_AGE_NANOS = Durations.nanos(2_000);

    private final EntrySettings settings;
    private final Invariants invariants;
    private final UpstreamDirectory upstreams;
    /** When each control process last answered as a voter. */
    private final Map<Address, Long> answeredAtNanos = new HashMap<>();

    private final Map<String, Address> leaderByGroup = new HashMap<>();
    private volatile FleetConfig config = FleetConfig.empty();
    private volatile long version;
    private volatile boolean ready;
    private long nextSubscribeNanos;
    private int entryCount = 1;
    /** Generations offered since the start of this process, by model. */
    private final Map<String, OfferedWork> offeredByModel = new TreeMap<>();

    ConfigSubscription(EntrySettings settings, UpstreamDirectory upstreams, long now, Invariants invariants) {
        this.settings = settings;
        this.upstreams = upstreams;
        this.invariants = invariants;
        this.nextSubscribeNanos = now;
    }

    FleetConfig config() {
        return config;
    }

    long version() {
        return version;
    }

    /** Returns whether this process may serve calls. */
    boolean isReady() {
        return ready;
    }

    /** Returns the number of entries that share the rate limits. */
    int entryCount() {
        return entryCount;
    }

    /** Counts an offered generation. Refused ones count too, because the planner needs the whole demand. */
    void recordOffered(Generation generation, double outputTokens) {
        if (!config.models().containsKey(generation.getModel())) {
            return;
        }
        OfferedWork before = offeredByModel.getOrDefault(generation.getModel(), OfferedWork.getDefaultInstance());
        OfferedWork after = OfferedWork.newBuilder()
                .setModel(generation.getModel())
                .setPrefill(before.getPrefill() + generation.getPromptTokens())
                .setDecode(before.getDecode() + Math.round(outputTokens))
                .build();
        offeredByModel.put(generation.getModel(), after);
    }

    Address leaderOf(String group) {
        Address known = leaderByGroup.get(group);
        return known != null ? known : settings.controlAddresses().getFirst();
    }

    /** Switches to the next control process after a suspected leader did not answer. */
    void suspectLeader(String group, Address suspect) {
        int index = settings.controlAddresses().indexOf(suspect);
        leaderByGroup.put(
                group,
                settings.controlAddresses()
                        .get((index + 1) % settings.controlAddresses().size()));
    }

    /** Stores the leader that a control process reported; an empty address changes nothing. */
    void learnLeader(String group, String address) {
        if (!address.isEmpty()) {
            leaderByGroup.put(group, Address.of(address));
        }
    }

    void onUpdate(long now, Address control, Update update) {
        if (update.getVoter()) {
            answeredAtNanos.put(control, now);
        }
        entryCount = Math.max(1, update.getEntries());
        update.getLeadersList().forEach(leader -> learnLeader(leader.getGroup(), leader.getAddress()));
        long before = version;
        if (update.getConfigVersion() > version && !update.getConfig().isEmpty()) {
            FleetConfig.parse(update.getConfig().toByteArray()).peek(parsed -> {
                config = parsed;
                version = update.getConfigVersion();
            });
        }
        invariants.check(
                version >= before,
                "configuration-never-goes-back",
                () -> "version " + before + " was followed by " + version);
        if (update.getConfirmed() && update.getConfigVersion() <= version) {
            ready = true;
        }
        ready = ready || allControlProcessesAnswered(now);
    }

    void tick(long now, Outbox out) {
        if (now < nextSubscribeNanos) {
            return;
        }
        nextSubscribeNanos = now + (ready ? SUBSCRIBE_INTERVAL_NANOS : SUBSCRIBE_INTERVAL_UNREADY_NANOS);
        for (Address control : settings.controlAddresses()) {
            Subscribe subscribe = Subscribe.newBuilder()
                    .setConfigVersion(version)
                    .setDirectoryVersion(upstreams.directoryVersion(control))
                    .setDirectoryIncarnation(upstreams.directoryIncarnation(control))
                    .setConfirm(!ready)
                    .setRegion(settings.region())
                    .setVm(settings.vm())
                    .setWantsDirectory(true)
                    .addAllOffered(offeredByModel.values())
                    .build();
            out.send(control, Envelope.newBuilder().setSubscribe(subscribe));
        }
        Address leader = leaderByGroup.get(GLOBAL_GROUP);
        if (!ready && leader != null && !settings.controlAddresses().contains(leader)) {
            Subscribe subscribe = Subscribe.newBuilder()
                    .setConfigVersion(version)
                    .setConfirm(true)
                    .setRegion(settings.region())
                    .setVm(settings.vm())
                    .build();
            out.send(leader, Envelope.newBuilder().setSubscribe(subscribe));
        }
    }

    long nextDue() {
        return nextSubscribeNanos;
    }

    private boolean allControlProcessesAnswered(long now) {
        Set<Address> recent = new TreeSet<>();
        answeredAtNanos.forEach((control, at) -> {
            if (now - at <= MAX_ANSWER_AGE_NANOS) {
                recent.add(control);
            }
        });
        return recent.containsAll(settings.controlAddresses());
    }
}
