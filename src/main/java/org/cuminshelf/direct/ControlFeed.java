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
final class ControlFeed {

    private static final long ASK_EVERY = Durations.nanos(500);
    private static final long ASK_EVERY_UNREADY = Durations.nanos(50);
    /** Time in which all upstreams announce themselves: two heartbeats of 1.2 s, for one that is late. */
    private static final long YOUNG = Durations.nanos(2_400);

    /** Silence of all control processes after which this entry may have missed a configuration: three questions. */
    private static final long OUT_OF_TOUCH = Durations.nanos(1_500);

    private final DirectSettings settings;
    private final RouteReader reader;
    private final ConfigSource source = new ConfigSource();
    private final UpstreamTable upstreams;
    private final PoisonSystem poison;
    private final UsageMeter usage;
    private final Invariants invariants;
    private final DecisionLog log;
    private final Set<Address> control = new TreeSet<>();
    private List<Address> seeds;
    private List<Address> entries = List.of();
    private long entriesHash;
    private volatile RouteTable routes = RouteTable.empty();
    private volatile long version;
    private volatile boolean ready;
    /** The version that a quorum confirmed to be the newest accepted when this entry asked; none yet if negative. */
    private long confirmed = -1;
    /** The highest version that could not be read, so that it is not fetched over and over. */
    private long unreadable;

    private long readySince = Core.NEVER;
    private final Map<String, OfferedWork> offered = new TreeMap<>();
    private long nextAsk;
    private long heardAt;

    ControlFeed(
            DirectSettings settings,
            RouteReader reader,
            UpstreamTable upstreams,
            PoisonSystem poison,
            UsageMeter usage,
            long now,
            Invariants invariants,
            DecisionLog log) {
        this.settings = settings;
        this.reader = reader;
        this.upstreams = upstreams;
        this.poison = poison;
        this.usage = usage;
        this.invariants = invariants;
        this.log = log;
        this.nextAsk = now;
        this.heardAt = now;
        this.seeds = settings.seeds();
        control.addAll(seeds);
    }

    RouteTable routes() {
        return routes;
    }

    long version() {
        return version;
    }

    /** Whether a quorum confirmed the routes in force, and there are any. */
    boolean isReady() {
        return ready && version > 0;
    }

    /** Whether upstreams may be there that announced themselves to nobody since the control processes started. */
    boolean isYoung(long now) {
        return now - readySince < YOUNG;
    }

    /** Whether a newer configuration is accepted, or may be, than the one in force here. */
    boolean mayBeBehind(long now) {
        return source.knowsNewer(held()) || now - heardAt > OUT_OF_TOUCH;
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
    void offered(String service, long readMicros, long runningMicros) {
        OfferedWork before = offered.getOrDefault(service, OfferedWork.getDefaultInstance());
        offered.put(
                service,
                OfferedWork.newBuilder()
                        .setModel(service)
                        .setPrefill(before.getPrefill() + readMicros)
                        .setDecode(before.getDecode() + runningMicros)
                        .build());
    }

    /** Takes other control processes to begin with, for the time when none of those known is left. */
    void seeds(List<Address> changed) {
        seeds = changed;
    }

    void onUpdate(long now, Address from, Update update) {
        if (!update.getControlList().isEmpty()) {
            control.clear();
            update.getControlList().forEach(address -> control.add(Address.of(address)));
        }
        if (!update.getEntryAddressesList().isEmpty()) {
            entries = update.getEntryAddressesList().stream().map(Address::of).toList();
            entriesHash = update.getEntriesHash();
        }
        heardAt = update.getVoter() ? now : heardAt;
        source.told(now, from, update.getConfigVersion());
        if (update.getConfirmed()) {
            confirmed = update.getConfigVersion();
        }
        becomeReady(now);
        upstreams.onUpdate(now, from, update);
        poison.onUpdate(now, from, update);
        usage.onUpdate(now, from, update);
    }

    private void becomeReady(long now) {
        if (!ready && confirmed >= 0 && confirmed <= version) {
            ready = true;
            readySince = now;
            log.note("control", "quorum", "state", "confirmed", "version", version);
        }
    }

    /** Takes the body of a configuration, which is read beside the way of requests. */
    void onBody(long now, Address from, ConfigBody body) {
        if (body.getDeflated().isEmpty() || body.getVersion() <= held()) {
            source.hasNone(from);
            return;
        }
        source.arrived();
        reader.read(body.getDeflated().toByteArray(), read -> {
            source.read();
            take(from, body.getVersion(), read);
            // Tells control that it is in force, and asks for what came in the meantime.
            nextAsk = now;
            becomeReady(now);
        });
    }

    /** The highest version that is not to be fetched again. */
    private long held() {
        return Math.max(version, unreadable);
    }

    private void take(Address from, long taken, Optional<RouteTable> read) {
        long before = version;
        if (taken <= before) {
            // The answer of a control process that was given up for silent came after that of the next.
            log.note("config", String.valueOf(taken), "state", "overtaken", "before", before, "told-by", from);
            return;
        }
        if (read.isEmpty()) {
            unreadable = taken;
            log.note("config", String.valueOf(taken), "state", "unreadable", "told-by", from);
            return;
        }
        log.note(
                "config",
                String.valueOf(taken),
                "state",
                "in-force",
                "before",
                version,
                "routes",
                read.get().routes().size(),
                "told-by",
                from);
        routes = read.get();
        version = taken;
        invariants.check(
                version > before,
                "configuration-never-goes-back",
                () -> "version " + before + " was followed by " + version);
    }

    void tick(long now, Outbox out) {
        source.next(now, held())
                .ifPresent(address -> out.send(
                        address,
                        Envelope.newBuilder()
                                .setConfigFetch(ConfigFetch.newBuilder().setHeldVersion(version))));
        if (now < Math.min(nextAsk, poison.tellDue())) {
            return;
        }
        nextAsk = now + (isReady() ? ASK_EVERY : ASK_EVERY_UNREADY);
        List<Address> asked = new ArrayList<>(control);
        seeds.stream().filter(seed -> !control.contains(seed)).forEach(asked::add);
        for (Address address : asked) {
            Subscribe.Builder subscribe = Subscribe.newBuilder()
                    .setConfigVersion(version)
                    .setDirectoryVersion(upstreams.directoryVersion(address))
                    .setDirectoryIncarnation(upstreams.directoryIncarnation(address))
                    .setConfirm(!ready)
                    .setRegion(settings.region())
                    .setVm(settings.vm())
                    .setWantsDirectory(true)
                    .setFetchesConfig(true)
                    .setEntriesHash(entriesHash)
                    .addAllOffered(offered.values());
            poison.describe(address, subscribe);
            usage.addReport(now, address, subscribe);
            out.send(address, Envelope.newBuilder().setSubscribe(subscribe));
        }
        poison.told(now);
    }

    long nextDue() {
        return Math.min(Math.min(nextAsk, poison.tellDue()), source.nextDue(held()));
    }
}
