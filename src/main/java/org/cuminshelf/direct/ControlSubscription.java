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

/**
 * What this entry hears from control: the routes in force, the upstreams, the control processes and the other entries.
 *
 * <p>Failure it guards against: an entry without a disk restarts and is taught older routes by a control process that
 * was cut off. It is ready only once a quorum confirmed a version to it, and from then on takes only higher ones.
 */
final class ControlSubscription {

    private static final long SUBSCRIBE_INTERVAL_NANOS = Durations.nanos(500);
    private static final long SUBSCRIBE_INTERVAL_NOT_READY_NANOS = Durations.nanos(50);
    /** Time in which all upstreams announce themselves: two heartbeats of 1.2 s, for one that is late. */
    private static final long WARM_UP_NANOS = Durations.nanos(2_400);

    /** Silence of all control processes after which this entry may have missed a configuration: three questions. */
    private static final long MAX_CONTROL_SILENCE_NANOS = Durations.nanos(1_500);

    private final DirectSettings settings;
    private final RouteTableReader routeTableReader;
    private final ConfigSourceSelector configSource = new ConfigSourceSelector();
    private final UpstreamTable upstreams;
    private final PoisonGuard poisonGuard;
    private final UsageMeter usageMeter;
    private final Invariants invariants;
    private final DecisionLog log;
    private final Set<Address> controlProcesses = new TreeSet<>();
    private List<Address> seeds;
    private List<Address> entries = List.of();
    private long entriesHash;
    private volatile RouteTable routes = RouteTable.empty();
    private volatile long configVersion;
    private volatile boolean ready;
    /** The version that a quorum confirmed to be the newest accepted when this entry asked; none yet if negative. */
    private long confirmedVersion = -1;
    /** The highest version that could not be read, so that it is not fetched over and over. */
    private long unreadableVersion;

    private long readySinceNanos = Core.NEVER;
    private final Map<String, OfferedWork> offeredWork = new TreeMap<>();
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

    /** Whether a quorum confirmed the routes in force, and there are any. */
    boolean isReady() {
        return ready && configVersion > 0;
    }

    /** Whether upstreams may be there that announced themselves to nobody since the control processes started. */
    boolean isWarmingUp(long now) {
        return now - readySinceNanos < WARM_UP_NANOS;
    }

    /** Whether a newer configuration is accepted, or may be, than the one in force here. */
    boolean mayBeOutdated(long now) {
        return configSource.knowsNewerThan(highestProcessedVersion())
                || now - lastVoterUpdateNanos > MAX_CONTROL_SILENCE_NANOS;
    }

    /** The entries that control hears from, this one among them. */
    List<Address> entries() {
        return entries;
    }

    /**
     * Counts work that a generation asked of engines.
     *
     * @param service       the service it is for
     * @param readMicros    microseconds of an engine that only reads prompts
     * @param runningMicros microseconds of a place at an engine that generates
     */
    void addOfferedWork(String service, long readMicros, long runningMicros) {
        OfferedWork previous = offeredWork.getOrDefault(service, OfferedWork.getDefaultInstance());
        offeredWork.put(
                service,
                OfferedWork.newBuilder()
                        .setModel(service)
                        .setPrefill(previous.getPrefill() + readMicros)
                        .setDecode(previous.getDecode() + runningMicros)
                        .build());
    }

    /** Takes other control processes to begin with, for the time when none of those known is left. */
    void replaceSeeds(List<Address> newSeeds) {
        seeds = newSeeds;
    }

    void onUpdate(long now, Address from, Update update) {
        if (!update.getControlList().isEmpty()) {
            controlProcesses.clear();
            update.getControlList().forEach(address -> controlProcesses.add(Address.of(address)));
        }
        if (!update.getEntryAddressesList().isEmpty()) {
            entries = update.getEntryAddressesList().stream().map(Address::of).toList();
            entriesHash = update.getEntriesHash();
        }
        lastVoterUpdateNanos = update.getVoter() ? now : lastVoterUpdateNanos;
        configSource.onVersionAnnounced(now, from, update.getConfigVersion());
        if (update.getConfirmed()) {
            confirmedVersion = update.getConfigVersion();
        }
        updateReadiness(now);
        upstreams.onUpdate(now, from, update);
        poisonGuard.onUpdate(now, from, update);
        usageMeter.onUpdate(now, from, update);
    }

    private void updateReadiness(long now) {
        if (!ready && confirmedVersion >= 0 && confirmedVersion <= configVersion) {
            ready = true;
            readySinceNanos = now;
            log.note("control", "quorum", "state", "confirmed", "version", configVersion);
        }
    }

    /** Takes the body of a configuration, which is read beside the way of requests. */
    void onConfigBody(long now, Address from, ConfigBody body) {
        if (body.getDeflated().isEmpty() || body.getVersion() <= highestProcessedVersion()) {
            configSource.onNoNewerBody(from);
            return;
        }
        configSource.onBodyReceived();
        routeTableReader.read(body.getDeflated().toByteArray(), parsed -> {
            configSource.onBodyParsed();
            install(from, body.getVersion(), parsed);
            // Tells control that it is in force, and asks for what came in the meantime.
            nextSubscribeNanos = now;
            updateReadiness(now);
        });
    }

    /** The highest version that is not to be fetched again. */
    private long highestProcessedVersion() {
        return Math.max(configVersion, unreadableVersion);
    }

    private void install(Address from, long newVersion, Optional<RouteTable> parsed) {
        long previousVersion = configVersion;
        if (newVersion <= previousVersion) {
            // The answer of a control process that was given up for silent came after that of the next.
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
        configSource
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
                    .setEntriesHash(entriesHash)
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
                configSource.nextDue(highestProcessedVersion()));
    }
}
