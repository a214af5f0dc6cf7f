package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.ConfigBody;
import org.cuminshelf.message.ConfigFetch;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.routes.RouteTable;
import org.cuminshelf.streams.StreamRecordHolders;

/**
 * This entry's subscription to the control processes: receives the routes, the upstreams, the control processes and the
 * other entries, and reports the offered load, crashes and usage.
 *
 * <p>Failure it guards against: a restarted entry, which has no persistent state, installs outdated routes from a
 * control process that was cut off from the others. The entry is ready only once a quorum has confirmed a version to
 * it, and afterwards installs only higher versions.
 */
final class ControlSubscription {

    private static final long SUBSCRIBE_INTERVAL_NANOS = Durations.nanos(500);
    private static final long SUBSCRIBE_INTERVAL_NOT_READY_NANOS = Durations.nanos(50);
    /** Time in which all upstreams send a heartbeat: two intervals of 1.2 s, as one heartbeat may be late. */
    private static final long WARM_UP_NANOS = Durations.nanos(2_400);

    /** Time without a voter's update, three subscribe intervals, after which a configuration may have been missed. */
    private static final long MAX_CONTROL_SILENCE_NANOS = Durations.nanos(1_500);

    private final DirectSettings settings;
    private final RouteTableReader routeTableReader;
    private final ConfigSourceSelector configSourceSelector = new ConfigSourceSelector();
    private final UpstreamTable upstreams;
    private final PoisonGuard poisonGuard;
    private final UsageMeter usageMeter;
    private final Invariants invariants;
    private final DecisionLog log;
    private final Set<Address> controlProcesses = new TreeSet<>();
    /** The control processes according to their replicated log; empty until one has stated them. */
    private Set<Address> agreedControl = Set.of();

    private List<Address> seeds;
    private final EntryLists entryLists = new EntryLists(MAX_CONTROL_SILENCE_NANOS);
    private StreamRecordHolders recordHolders = StreamRecordHolders.among(Map.of());
    private volatile RouteTable routes = RouteTable.empty();
    private volatile long configVersion;
    private volatile boolean ready;
    /** The version that a quorum confirmed to be the latest accepted one; negative if none has been confirmed yet. */
    private long confirmedVersion = -1;
    /** The highest version that could not be parsed, which is not fetched again. */
    private long unreadableVersion;

    private long readySinceNanos = Core.NEVER;
    private final Map<String, OfferedWork> offeredWork = new TreeMap<>();
    /** The version in force at the last tick. */
    private long configVersionAtTick;

    /** When a tick first found that version in force, in nanoseconds. */
    private long configSinceNanos;

    private long nextSubscribeNanos;
    private long lastVoterUpdateNanos;

    ControlSubscription(
            DirectSettings settings,
            RouteTableReader routeTableReader,
            UpstreamTable upstreams,
            PoisonGuard poisonGuard,
            UsageMeter usageMeter,
            long now,
            Invariants invariants,
            DecisionLog log) {
        this.settings = settings;
        this.routeTableReader = routeTableReader;
        this.upstreams = upstreams;
        this.poisonGuard = poisonGuard;
        this.usageMeter = usageMeter;
        this.invariants = invariants;
        this.log = log;
        this.configSinceNanos = now;
        this.nextSubscribeNanos = now;
        this.lastVoterUpdateNanos = now;
        this.seeds = settings.seeds();
        controlProcesses.addAll(seeds);
    }

    RouteTable routes() {
        return routes;
    }

    long configVersion() {
        return configVersion;
    }

    /** Returns how long the installed configuration has been in force here, in milliseconds. */
    long configAgeMillis(long now) {
        return configVersionAtTick == configVersion ? Durations.millis(now - configSinceNanos) : 0;
    }

    /** Whether a quorum has confirmed the installed configuration, and there is one. */
    boolean isReady() {
        return ready && configVersion > 0;
    }

    /** Whether upstreams may exist that have not yet sent a heartbeat to the restarted control processes. */
    boolean isWarmingUp(long now) {
        return now - readySinceNanos < WARM_UP_NANOS;
    }

    /** Whether a newer configuration than the installed one is, or may be, accepted. */
    boolean mayBeOutdated(long now) {
        return configSourceSelector.knowsNewerThan(highestProcessedVersion())
                || now - lastVoterUpdateNanos > MAX_CONTROL_SILENCE_NANOS;
    }

    /** The addresses of all entries subscribed to any control process that is heard, including this one. */
    List<Address> entries() {
        return entryLists.entries();
    }

    /** Returns the largest number of entries that were listed at one time lately, 0 before the first list. */
    int largestEntryCount() {
        return entryLists.largestCount();
    }

    /**
     * Adds the work of a generation to the totals that are reported to control.
     *
     * @param service       the service that it is for
     * @param prefillMicros microseconds of a prefill engine
     * @param decodeMicros  microseconds of a slot of a decode engine
     */
    void addOfferedWork(String service, long prefillMicros, long decodeMicros) {
        OfferedWork previous = offeredWork.getOrDefault(service, OfferedWork.getDefaultInstance());
        offeredWork.put(
                service,
                OfferedWork.newBuilder()
                        .setModel(service)
                        .setPrefill(previous.getPrefill() + prefillMicros)
                        .setDecode(previous.getDecode() + decodeMicros)
                        .build());
    }

    /** Replaces the seeds, which are contacted in addition to the known control processes. */
    void replaceSeeds(List<Address> newSeeds) {
        seeds = newSeeds;
    }

    void onUpdate(long now, Address from, Update update) {
        if (!update.getControlList().isEmpty()) {
            controlProcesses.clear();
            update.getControlList().forEach(address -> controlProcesses.add(Address.of(address)));
            onMembers(Set.copyOf(controlProcesses));
        }
        if (entryLists.onUpdate(now, from, update)) {
            recordHolders = StreamRecordHolders.among(entryLists.zonesByEntry()).withControl(agreedControl);
        }
        lastVoterUpdateNanos = update.getVoter() ? now : lastVoterUpdateNanos;
        configSourceSelector.onVersionAnnounced(now, from, update.getConfigVersion());
        if (update.getConfirmed()) {
            confirmedVersion = update.getConfigVersion();
        }
        updateReadiness(now);
        upstreams.onUpdate(now, from, update);
        poisonGuard.onUpdate(now, from, update);
        usageMeter.onUpdate(now, from, update);
    }

    private void onMembers(Set<Address> members) {
        if (!members.equals(agreedControl)) {
            agreedControl = members;
            recordHolders = recordHolders.withControl(members);
        }
    }

    /** Returns which processes keep the records of streams. */
    StreamRecordHolders recordHolders() {
        return recordHolders;
    }

    /** Returns the number of control processes that are a majority of all. */
    int majority() {
        return controlProcesses.size() / 2 + 1;
    }

    /** The control processes, according to their replicated log once one has stated it. */
    Set<Address> controlProcesses() {
        return controlProcesses;
    }

    /** Whether the given processes contain a majority of the control processes. */
    boolean isMajority(Set<Address> processes) {
        return controlProcesses.stream().filter(processes::contains).count() >= majority();
    }

    private void updateReadiness(long now) {
        if (!ready && confirmedVersion >= 0 && confirmedVersion <= configVersion) {
            ready = true;
            readySinceNanos = now;
            log.note("control", "quorum", "state", "confirmed", "version", configVersion);
        }
    }

    /** Receives the body of a configuration, and installs it once the reader has parsed it off the request path. */
    void onConfigBody(long now, Address from, ConfigBody body) {
        if (body.getDeflated().isEmpty() || body.getVersion() <= highestProcessedVersion()) {
            configSourceSelector.onNoNewerBody(from);
            return;
        }
        configSourceSelector.onBodyReceived();
        routeTableReader.read(body.getDeflated().toByteArray(), parsed -> {
            configSourceSelector.onBodyParsed();
            install(from, body.getVersion(), parsed);
            // Reports the installed version to control at once, and learns of newer ones.
            nextSubscribeNanos = now;
            updateReadiness(now);
        });
    }

    /** The highest version that is installed or was found to be unreadable, and is not fetched again. */
    private long highestProcessedVersion() {
        return Math.max(configVersion, unreadableVersion);
    }

    private void install(Address from, long newVersion, Optional<RouteTable> parsed) {
        long previousVersion = configVersion;
        if (newVersion <= previousVersion) {
            // A control process that had timed out responded after the one that was asked instead.
            log.note(
                    "config",
                    String.valueOf(newVersion),
                    "state",
                    "overtaken",
                    "before",
                    previousVersion,
                    "told-by",
                    from);
            return;
        }
        if (parsed.isEmpty()) {
            unreadableVersion = newVersion;
            log.note("config", String.valueOf(newVersion), "state", "unreadable", "told-by", from);
            return;
        }
        log.note(
                "config",
                String.valueOf(newVersion),
                "state",
                "in-force",
                "before",
                configVersion,
                "routes",
                parsed.get().routes().size(),
                "told-by",
                from);
        routes = parsed.get();
        configVersion = newVersion;
        invariants.check(
                configVersion > previousVersion,
                "configuration-never-goes-back",
                () -> "version " + previousVersion + " was followed by " + configVersion);
    }

    void tick(long now, Outbox out) {
        if (configVersionAtTick != configVersion) {
            configVersionAtTick = configVersion;
            configSinceNanos = now;
        }
        configSourceSelector
                .selectSource(now, highestProcessedVersion())
                .ifPresent(address -> out.send(
                        address,
                        Envelope.newBuilder()
                                .setConfigFetch(ConfigFetch.newBuilder().setHeldVersion(configVersion))));
        if (now < Math.min(nextSubscribeNanos, poisonGuard.nextReportDue())) {
            return;
        }
        nextSubscribeNanos = now + (isReady() ? SUBSCRIBE_INTERVAL_NANOS : SUBSCRIBE_INTERVAL_NOT_READY_NANOS);
        List<Address> targets = new ArrayList<>(controlProcesses);
        seeds.stream().filter(seed -> !controlProcesses.contains(seed)).forEach(targets::add);
        for (Address address : targets) {
            Subscribe.Builder subscribe = Subscribe.newBuilder()
                    .setConfigVersion(configVersion)
                    .setDirectoryVersion(upstreams.directoryVersion(address))
                    .setDirectoryIncarnation(upstreams.directoryIncarnation(address))
                    .setConfirm(!ready)
                    .setRegion(settings.region())
                    .setVm(settings.vm())
                    .setWantsDirectory(true)
                    .setFetchesConfig(true)
                    .setEntriesHash(entryLists.hash(address))
                    .setZone(settings.zone())
                    .addAllOffered(offeredWork.values());
            poisonGuard.addChanges(address, subscribe);
            usageMeter.addReport(now, address, subscribe);
            out.send(address, Envelope.newBuilder().setSubscribe(subscribe));
        }
        poisonGuard.onReported(now);
    }

    long nextDue() {
        return Math.min(
                Math.min(nextSubscribeNanos, poisonGuard.nextReportDue()),
                configSourceSelector.nextDue(highestProcessedVersion()));
    }
}
