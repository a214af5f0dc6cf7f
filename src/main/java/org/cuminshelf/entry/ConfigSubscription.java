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
 * The configuration in force in this process and the subscription that keeps it new.
 *
 * <p>Failure it guards against: a process without a disk restarts and is taught an older configuration by a stale
 * peer, so that a limit or an event that was in force here is undone. A fresh process is ready only after a quorum
 * confirmed a version to it, or, when no quorum can be reached, after every control process of its own region
 * answered as a voter: its earlier incarnation learnt from those alone, each of them durably knew what it told, and
 * one whose disk was replaced does not count before a quorum has taken it in.
 */
final class ConfigSubscription {

    /** The group that accepts configurations. */
    private static final String GLOBAL_GROUP = "global";

    private static final long ASK_EVERY = Durations.nanos(1_000);
    private static final long ASK_EVERY_UNREADY = Durations.nanos(200);
    /** Answers older than this do not count towards "every control process answered". */
    private static final long ANSWER_FRESH = Durations.nanos(2_000);

    private final EntrySettings settings;
    private final Invariants invariants;
    private final UpstreamDirectory upstreams;
    private final Map<Address, Long> answeredAt = new HashMap<>();
    private final Map<String, Address> leaders = new HashMap<>();
    private volatile FleetConfig config = FleetConfig.empty();
    private volatile long version;
    private volatile boolean ready;
    private long nextAsk;
    private int entries = 1;
    private final Map<String, OfferedWork> offered = new TreeMap<>();

    ConfigSubscription(EntrySettings settings, UpstreamDirectory upstreams, long now, Invariants invariants) {
        this.settings = settings;
        this.upstreams = upstreams;
        this.invariants = invariants;
        this.nextAsk = now;
    }

    FleetConfig config() {
        return config;
    }

    long version() {
        return version;
    }

    /** Whether this process may serve. */
    boolean isReady() {
        return ready;
    }

    /** Entries among which the limits are shared. */
    int entries() {
        return entries;
    }

    /** Counts a generation that was offered, whether or not it can be served: the planner must see what is refused. */
    void offered(Generation generation, double outputTokens) {
        if (!config.models().containsKey(generation.getModel())) {
            return;
        }
        OfferedWork before = offered.getOrDefault(generation.getModel(), OfferedWork.getDefaultInstance());
        OfferedWork after = OfferedWork.newBuilder()
                .setModel(generation.getModel())
                .setPrefill(before.getPrefill() + generation.getPromptTokens())
                .setDecode(before.getDecode() + Math.round(outputTokens))
                .build();
        offered.put(generation.getModel(), after);
    }

    Address leaderOf(String group) {
        Address known = leaders.get(group);
        return known != null ? known : settings.control().getFirst();
    }

    void suspectLeader(String group, Address suspect) {
        int index = settings.control().indexOf(suspect);
        leaders.put(
                group, settings.control().get((index + 1) % settings.control().size()));
    }

    void learnLeader(String group, String address) {
        if (!address.isEmpty()) {
            leaders.put(group, Address.of(address));
        }
    }

    void onUpdate(long now, Address control, Update update) {
        if (update.getVoter()) {
            answeredAt.put(control, now);
        }
        entries = Math.max(1, update.getEntries());
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
        ready = ready || allAnswered(now);
    }

    void tick(long now, Outbox out) {
        if (now < nextAsk) {
            return;
        }
        nextAsk = now + (ready ? ASK_EVERY : ASK_EVERY_UNREADY);
        for (Address control : settings.control()) {
            Subscribe subscribe = Subscribe.newBuilder()
                    .setConfigVersion(version)
                    .setDirectoryVersion(upstreams.directoryVersion(control))
                    .setDirectoryIncarnation(upstreams.directoryIncarnation(control))
                    .setConfirm(!ready)
                    .setRegion(settings.region())
                    .setVm(settings.vm())
                    .setWantsDirectory(true)
                    .addAllOffered(offered.values())
                    .build();
            out.send(control, Envelope.newBuilder().setSubscribe(subscribe));
        }
        Address leader = leaders.get(GLOBAL_GROUP);
        if (!ready && leader != null && !settings.control().contains(leader)) {
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
        return nextAsk;
    }

    private boolean allAnswered(long now) {
        Set<Address> fresh = new TreeSet<>();
        answeredAt.forEach((control, at) -> {
            if (now - at <= ANSWER_FRESH) {
                fresh.add(control);
            }
        });
        return fresh.containsAll(settings.control());
    }
}
