package org.cuminshelf.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.AdminResult;
import org.cuminshelf.message.Announce;
import org.cuminshelf.message.ClaimAnswer;
import org.cuminshelf.message.ClaimRequest;
import org.cuminshelf.message.ClaimResult;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.FleetStatus;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.OrderPlace;
import org.cuminshelf.message.OrderPlaced;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.Stopped;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.poison.PoisonRegistry;
import org.cuminshelf.poison.Quarantine;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.Replica;
import org.cuminshelf.replica.ReplicaSettings;

/** The decisions of a control process: a replica of each of its groups, the directory and the subscribers. */
public final class ControlCore implements Core {

    private static final long HOUSEKEEPING_EVERY = Durations.nanos(250);
    private static final long ADMIN_PATIENCE = Durations.nanos(5_000);
    private static final long NANOS_PER_MICRO = 1_000;

    /** Who waits for the outcome of an entry. */
    private record Waiter(Address asker, long question, long term, long since) {}

    private record RegionGroup(
            Replica replica,
            RegionStateMachine machine,
            SidecarOrderDispatcher orders,
            SidecarRoleController planning,
            EventPreloader events) {}

    private final ControlSettings settings;
    private final Address self;
    private final Invariants invariants;
    private final Map<String, Replica> replicas = new LinkedHashMap<>();
    private final Map<String, RegionGroup> regions = new LinkedHashMap<>();
    private final GlobalStateMachine config = new GlobalStateMachine();
    private final SidecarDirectory directory;
    private final DirectUpstreamRegistry registry;
    private DutyLease holder;
    private DirectRoleController stages;
    private Optional<UsageReporter> usage = Optional.empty();
    private QuarantineManager quarantine;
    private final PoisonRegistry poison = new PoisonRegistry();
    private final SubscriberTable subscribers = new SubscriberTable();
    private final UpdatePublisher updates;
    private final Map<Long, Waiter> configWaiters = new HashMap<>();
    private final Map<String, Map<Long, Waiter>> claimWaiters = new HashMap<>();
    private final Map<String, Map<Long, Waiter>> orderWaiters = new HashMap<>();
    private final Map<Long, Address> readWaiters = new HashMap<>();
    private final Map<Long, Waiter> configReads = new HashMap<>();
    private final Map<Long, Waiter> forwarded = new HashMap<>();
    /** Numbers of questions; they start at a place of this incarnation, so that a late answer finds no asker. */
    private long nextToken;

    private long nextHousekeeping;
    private boolean stopping;
    private FleetConfig typedConfig = FleetConfig.empty();
    private long typedVersion;
    private long wallMillis;
    private long wallReadAt;

    private ControlCore(ControlSettings settings, Address self, long incarnation, long now, Invariants invariants) {
        this.settings = settings;
        this.self = self;
        this.invariants = invariants;
        this.directory = new SidecarDirectory(incarnation);
        this.registry = new DirectUpstreamRegistry(directory);
        this.nextToken = LongHashFunction.xx3().hashLong(incarnation) & Long.MAX_VALUE >> 1;
        this.nextHousekeeping = now;
        this.updates =
                new UpdatePublisher(settings.region(), replicas, config, directory, registry, subscribers, poison, now);
    }

    /**
     * Makes the core of a starting control process.
     *
     * @param settings    its groups
     * @param self        its own address
     * @param incarnation the incarnation of this process
     * @param durable     what its disk holds of each group, by name
     * @param now         the time in nanoseconds, or an earlier one since which no former life has said anything
     * @param random      the seeded source of election timeouts
     * @param invariants  receives the outcome of assertions
     * @return the core
     */
    public static ControlCore start(
            ControlSettings settings,
            Address self,
            long incarnation,
            Map<String, DurableState> durable,
            long now,
            UniformRandomProvider random,
            Invariants invariants) {
        ControlCore core = new ControlCore(settings, self, incarnation, now, invariants);
        for (ReplicaSettings group : settings.groups()) {
            core.addGroup(group, durable.get(group.group()), now, random);
        }
        return core;
    }

    private void addGroup(ReplicaSettings group, DurableState state, long now, UniformRandomProvider random) {
        if (group.group().equals(ControlSettings.GLOBAL_GROUP)) {
            Replica replica = Replica.start(group, state, config, now, random, invariants);
            replicas.put(group.group(), replica);
            holder = new DutyLease(replica, settings.duties().leaseMillis());
            stages = new DirectRoleController(replica, config.orders(), registry, subscribers, holder);
            if (settings.duties().usageDeadlineMillis().isPresent()) {
                usage = Optional.of(new UsageReporter(replica, config.usage(), holder, settings.duties()));
            }
            quarantine = new QuarantineManager(replica, config.quarantine(), poison, directory);
            return;
        }
        RegionStateMachine machine = new RegionStateMachine(invariants);
        Replica replica = Replica.start(group, state, machine, now, random, invariants);
        replicas.put(group.group(), replica);
        regions.put(
                group.group(),
                new RegionGroup(
                        replica,
                        machine,
                        new SidecarOrderDispatcher(group.group(), replica, machine),
                        new SidecarRoleController(replica, machine, directory, subscribers),
                        new EventPreloader(replica, machine, directory)));
        claimWaiters.put(group.group(), new HashMap<>());
        orderWaiters.put(group.group(), new HashMap<>());
    }

    @Override
    public void accept(long now, Envelope input, Outbox out) {
        Address from = Address.of(input.getFrom());
        switch (input.getBodyCase()) {
            case ANNOUNCE -> onAnnounce(now, from, input.getIncarnation(), input.getAnnounce());
            case SUBSCRIBE -> onSubscribe(now, from, input.getIncarnation(), input.getSubscribe(), out);
            case CONFIG_FETCH -> updates.onConfigFetch(from, input.getConfigFetch(), out);
            case UPSTREAM_BEAT -> registry.onBeat(now, wallMillis, input.getUpstreamBeat(), otherControl(), out);
            case ORDER_APPLIED -> stages.onOutcome(input.getOrderApplied());
            case USAGE_REPORTED -> usage.ifPresent(system -> system.onReported(now, input.getUsageReported()));
            case CLAIM_REQUEST -> onClaim(now, from, input.getClaimRequest(), out);
            case ORDER_REPORT ->
                regions.values().forEach(region -> region.orders().onReport(now, from, input.getOrderReport()));
            case ADMIN_REQUEST -> onAdmin(now, from, input.getAdminRequest(), out);
            case ADMIN_ANSWER -> onForwardedAnswer(input.getAdminAnswer(), out);
            case WALL_CLOCK -> onWallClock(now, input.getWallClock());
            case STOP -> stop(out);
            default ->
                Optional.ofNullable(replicas.get(groupOf(input)))
                        .ifPresent(replica -> replica.accept(now, from, input, out));
        }
    }

    private void onWallClock(long now, WallClock clock) {
        wallMillis = clock.getEpochMs();
        wallReadAt = now;
        if (clock.getJumped()) {
            replicas.values().forEach(replica -> replica.onClockJump(now));
        }
    }

    /** The time of day, 0 before it was read. */
    private long unixMicros(long now) {
        return wallMillis == 0 ? 0 : TimeUnit.MILLISECONDS.toMicros(wallMillis) + (now - wallReadAt) / NANOS_PER_MICRO;
    }

    private static String groupOf(Envelope input) {
        return switch (input.getBodyCase()) {
            case FORMATION_QUERY -> input.getFormationQuery().getGroup();
            case FORMATION_ANSWER -> input.getFormationAnswer().getGroup();
            case JOIN_REQUEST -> input.getJoinRequest().getHeader().getGroup();
            case VOTE_REQUEST -> input.getVoteRequest().getHeader().getGroup();
            case VOTE_ANSWER -> input.getVoteAnswer().getHeader().getGroup();
            case APPEND_REQUEST -> input.getAppendRequest().getHeader().getGroup();
            case APPEND_ANSWER -> input.getAppendAnswer().getHeader().getGroup();
            case SNAPSHOT_PART -> input.getSnapshotPart().getHeader().getGroup();
            case SNAPSHOT_ANSWER -> input.getSnapshotAnswer().getHeader().getGroup();
            case PERSISTED -> input.getPersisted().getGroup();
            default -> "";
        };
    }

    @Override
    public void tick(long now, Outbox out) {
        replicas.values().forEach(replica -> replica.tick(now, out));
        holder.tick(now);
        quarantine.tick(now, wallMillis);
        usage.ifPresent(system -> system.tick(now, out));
        answerConfigWaiters(out);
        regions.forEach((name, region) -> {
            answerClaimWaiters(name, region, out);
            answerOrderWaiters(name, region, out);
            region.events().tick(now, wallMillis, acceptedConfig());
            region.planning().tick(now, acceptedConfig(), config.version());
            region.orders().tick(now, out);
        });
        answerReads(out);
        stages.tick(now, out);
        updates.tick(now, out);
        if (now >= nextHousekeeping) {
            nextHousekeeping = now + HOUSEKEEPING_EVERY;
            directory.tick(now);
            registry.tick(now);
            subscribers.tick(now);
            expireWaiters(now, out);
        }
    }

    @Override
    public long nextDue() {
        long due = nextHousekeeping;
        for (Replica replica : replicas.values()) {
            due = Math.min(due, replica.nextDue());
        }
        return Math.min(due, updates.nextDue());
    }

    /**
     * The version of the configuration accepted as far as this process knows.
     *
     * @return the version, 0 before the first
     */
    public long configVersion() {
        return config.version();
    }

    /**
     * The configuration accepted as far as this process knows.
     *
     * @return its canonical form
     */
    public byte[] config() {
        return config.config().toByteArray();
    }

    /**
     * Counts the requests that are refused because upstreams crash when they run them. Any thread may ask.
     *
     * @return their number, as far as this process knows
     */
    public long quarantinedRequests() {
        return quarantine.quarantined();
    }

    /** The requests that are refused as poison, as far as a quorum wrote them down. */
    Quarantine durableQuarantine() {
        return config.quarantine();
    }

    /**
     * The replica of a group.
     *
     * @param group the name of the group
     * @return the replica, if this process has one
     */
    public Optional<Replica> replica(String group) {
        return Optional.ofNullable(replicas.get(group));
    }

    // ---- membership and configuration
    // ----------------------------------------------------------------------------

    private void onAnnounce(long now, Address from, long incarnation, Announce announce) {
        directory.onAnnounce(now, from, incarnation, announce);
        if (announce.getRegion().equals(settings.region())) {
            regions.values().forEach(region -> region.orders().onAnnounce(now, from, incarnation, announce));
        }
    }

    private void onSubscribe(long now, Address from, long incarnation, Subscribe subscribe, Outbox out) {
        SubscriberTable.Row row = subscribers.onSubscribe(now, from, incarnation, subscribe);
        quarantine.onSubscribe(now, subscribe);
        row.takenAt = unixMicros(now);
        usage.ifPresent(system -> system.onSubscribe(now, row, subscribe));
        if (subscribe.getConfirm()) {
            long token = nextToken++;
            if (replicas.get(ControlSettings.GLOBAL_GROUP).confirmRead(token)) {
                readWaiters.put(token, from);
                return;
            }
        }
        updates.send(row, false, out);
    }

    /** The other control processes, by the log of the global group. */
    private List<Address> otherControl() {
        return replicas.get(ControlSettings.GLOBAL_GROUP).members().stream()
                .filter(member -> !member.equals(self))
                .toList();
    }

    /** The accepted configuration, typed; parsed once for each version. */
    private FleetConfig acceptedConfig() {
        if (typedVersion != config.version()) {
            typedVersion = config.version();
            typedConfig = FleetConfig.parse(config.config().toByteArray()).getOrElse(typedConfig);
        }
        return typedConfig;
    }

    private void answerReads(Outbox out) {
        for (long token : replicas.get(ControlSettings.GLOBAL_GROUP).takeConfirmedReads()) {
            Waiter reader = configReads.remove(token);
            if (reader != null) {
                answerConfigRead(reader.asker(), reader.question(), out);
                continue;
            }
            Address asker = readWaiters.remove(token);
            subscribers.rows().stream()
                    .filter(row -> row.address.equals(asker))
                    .forEach(row -> updates.send(row, true, out));
        }
    }

    // ---- claims
    // --------------------------------------------------------------------------------------------------

    private void onClaim(long now, Address from, ClaimRequest request, Outbox out) {
        RegionGroup region = regions.get(request.getGroup());
        if (region == null) {
            answerClaim(from, request.getQuestion(), ClaimResult.CLAIM_UNAVAILABLE, "", out);
            return;
        }
        LogEntry.Builder entry = LogEntry.newBuilder().setClaim(request);
        Optional<Long> index = region.replica().propose(now, entry);
        if (index.isEmpty()) {
            String leader = region.replica().leader().map(Address::value).orElse("");
            answerClaim(from, request.getQuestion(), ClaimResult.CLAIM_NOT_LEADER, leader, out);
            return;
        }
        Waiter waiter = new Waiter(from, request.getQuestion(), region.replica().term(), now);
        claimWaiters.get(request.getGroup()).put(index.get(), waiter);
    }

    private static void answerClaim(Address to, long question, ClaimResult result, String leader, Outbox out) {
        ClaimAnswer answer = ClaimAnswer.newBuilder()
                .setQuestion(question)
                .setResult(result)
                .setLeader(leader)
                .build();
        out.send(to, Envelope.newBuilder().setClaimAnswer(answer));
    }

    private void answerClaimWaiters(String group, RegionGroup region, Outbox out) {
        long applied = region.replica().applied();
        claimWaiters.get(group).entrySet().removeIf(entry -> {
            if (entry.getKey() > applied) {
                return false;
            }
            Waiter waiter = entry.getValue();
            // An entry of another term may have taken the place of the one proposed: its outcome is not
            // the asker's.
            Optional<ClaimAnswer> outcome = region.replica().term() == waiter.term()
                    ? region.machine().takeClaimAnswer(entry.getKey())
                    : Optional.empty();
            outcome.ifPresent(answer -> out.send(
                    waiter.asker(),
                    Envelope.newBuilder().setClaimAnswer(answer.toBuilder().setQuestion(waiter.question()))));
            return true;
        });
    }

    // ---- administration
    // ------------------------------------------------------------------------------------------

    private void onAdmin(long now, Address from, AdminRequest request, Outbox out) {
        switch (request.getActionCase()) {
            case CONFIG_APPLY -> onConfigApply(now, from, request, out);
            case ORDER_PLACE -> onOrderPlace(now, from, request, out);
            case STATUS ->
                answerAdmin(
                        from, request.getQuestion(), AdminAnswer.newBuilder().setStatus(status()), out);
            case CONFIG_READ -> onConfigRead(now, from, request, out);
            case QUARANTINE_LIST ->
                answerAdmin(
                        from,
                        request.getQuestion(),
                        AdminAnswer.newBuilder()
                                .setListsQuarantine(true)
                                .addAllQuarantined(poison.quarantine().all()),
                        out);
            case QUARANTINE_RELEASE -> onRelease(now, from, request, out);
            case VOTER_CHANGE, ACTION_NOT_SET ->
                refuseAdmin(from, request.getQuestion(), AdminResult.ADMIN_UNKNOWN, "no such action", out);
        }
    }

    private void onConfigRead(long now, Address from, AdminRequest request, Outbox out) {
        if (!request.getConfigRead().getConfirmed()) {
            answerConfigRead(from, request.getQuestion(), out);
            return;
        }
        Replica replica = replicas.get(ControlSettings.GLOBAL_GROUP);
        long token = nextToken++;
        if (replica.confirmRead(token)) {
            configReads.put(token, new Waiter(from, request.getQuestion(), replica.term(), now));
        } else {
            forward(now, from, request, replica, out);
        }
    }

    private void answerConfigRead(Address to, long question, Outbox out) {
        answerAdmin(
                to,
                question,
                AdminAnswer.newBuilder().setVersion(config.version()).setConfig(config.config()),
                out);
    }

    private void onConfigApply(long now, Address from, AdminRequest request, Outbox out) {
        ConfigApply apply = request.getConfigApply();
        Optional<String> wrong = settings.configCheck().apply(apply.getConfig().toByteArray());
        if (wrong.isPresent()) {
            refuseAdmin(from, request.getQuestion(), AdminResult.ADMIN_BAD, wrong.get(), out);
            return;
        }
        Replica replica = replicas.get(ControlSettings.GLOBAL_GROUP);
        Optional<Long> index = replica.propose(now, LogEntry.newBuilder().setConfig(apply));
        if (index.isPresent()) {
            configWaiters.put(index.get(), new Waiter(from, request.getQuestion(), replica.term(), now));
        } else {
            forward(now, from, request, replica, out);
        }
    }

    private void onRelease(long now, Address from, AdminRequest request, Outbox out) {
        Replica replica = replicas.get(ControlSettings.GLOBAL_GROUP);
        if (!replica.isLeader()) {
            forward(now, from, request, replica, out);
            return;
        }
        Optional<QuarantinedRequest> released = quarantine.release(wallMillis, request.getQuarantineRelease());
        if (released.isEmpty()) {
            refuseAdmin(from, request.getQuestion(), AdminResult.ADMIN_UNKNOWN, "no such request is quarantined", out);
            return;
        }
        replica.propose(now, LogEntry.newBuilder().setQuarantined(released.get()))
                .ifPresent(index ->
                        configWaiters.put(index, new Waiter(from, request.getQuestion(), replica.term(), now)));
    }

    private void onOrderPlace(long now, Address from, AdminRequest request, Outbox out) {
        if (regions.isEmpty()) {
            refuseAdmin(from, request.getQuestion(), AdminResult.ADMIN_UNKNOWN, "no region group here", out);
            return;
        }
        Map.Entry<String, RegionGroup> region = regions.entrySet().iterator().next();
        OrderPlace place = request.getOrderPlace();
        Optional<Address> engine = engine(place.getEngine());
        if (engine.isEmpty()) {
            refuseAdmin(from, request.getQuestion(), AdminResult.ADMIN_UNKNOWN, "no such upstream", out);
            return;
        }
        Replica replica = region.getValue().replica();
        if (!replica.isLeader()) {
            forward(now, from, request, replica, out);
            return;
        }
        long incarnation =
                region.getValue().machine().incarnation(engine.get().value()).orElse(0L);
        OrderPlaced placed = OrderPlaced.newBuilder()
                .setEngine(engine.get().value())
                .setIncarnation(incarnation)
                .setBody(place.getBody())
                .setAuthor(place.getAuthor())
                .build();
        replica.propose(now, LogEntry.newBuilder().setOrder(placed))
                .ifPresent(index -> orderWaiters
                        .get(region.getKey())
                        .put(index, new Waiter(from, request.getQuestion(), replica.term(), now)));
    }

    private Optional<Address> engine(String name) {
        return directory.rows().stream()
                .filter(row -> row.member.getVm().equals(name)
                        || row.member.getAddress().equals(name))
                .map(row -> Address.of(row.member.getAddress()))
                .findFirst();
    }

    private void forward(long now, Address from, AdminRequest request, Replica replica, Outbox out) {
        Optional<Address> leader = replica.leader().filter(address -> !address.equals(self));
        if (leader.isEmpty() || !from.isLocal()) {
            refuseAdmin(from, request.getQuestion(), AdminResult.ADMIN_NOT_LEADER, "no leader is known", out);
            return;
        }
        long token = nextToken++;
        forwarded.put(token, new Waiter(from, request.getQuestion(), 0, now));
        out.send(
                leader.get(),
                Envelope.newBuilder().setAdminRequest(request.toBuilder().setQuestion(token)));
    }

    private void onForwardedAnswer(AdminAnswer answer, Outbox out) {
        Waiter waiter = forwarded.remove(answer.getQuestion());
        if (waiter != null) {
            answerAdmin(waiter.asker(), waiter.question(), answer.toBuilder(), answer.getResult(), out);
        }
    }

    private void answerConfigWaiters(Outbox out) {
        Replica replica = replicas.get(ControlSettings.GLOBAL_GROUP);
        configWaiters.entrySet().removeIf(entry -> {
            if (entry.getKey() > replica.applied()) {
                return false;
            }
            Waiter waiter = entry.getValue();
            if (replica.term() == waiter.term()) {
                config.takeAnswer(entry.getKey())
                        .ifPresent(answer -> answerAdmin(
                                waiter.asker(), waiter.question(), answer.toBuilder(), answer.getResult(), out));
            } else {
                refuseAdmin(
                        waiter.asker(),
                        waiter.question(),
                        AdminResult.ADMIN_UNAVAILABLE,
                        "the leader changed; send the same again",
                        out);
            }
            return true;
        });
    }

    private void answerOrderWaiters(String group, RegionGroup region, Outbox out) {
        orderWaiters.get(group).entrySet().removeIf(entry -> {
            if (entry.getKey() > region.replica().applied()) {
                return false;
            }
            Waiter waiter = entry.getValue();
            region.machine().takePlaced(entry.getKey()).ifPresent(placed -> {
                if (placed.isPresent()) {
                    answerAdmin(
                            waiter.asker(),
                            waiter.question(),
                            AdminAnswer.newBuilder().setVersion(placed.get().getNumber()),
                            out);
                } else {
                    refuseAdmin(
                            waiter.asker(),
                            waiter.question(),
                            AdminResult.ADMIN_CONFLICT,
                            "another order is pending there, or its sidecar just restarted",
                            out);
                }
            });
            return true;
        });
    }

    private void expireWaiters(long now, Outbox out) {
        expire(now, configWaiters, out);
        orderWaiters.values().forEach(waiters -> expire(now, waiters, out));
        expire(now, forwarded, out);
        expire(now, configReads, out);
        claimWaiters.values().forEach(waiters -> waiters.values().removeIf(w -> now - w.since() > ADMIN_PATIENCE));
        if (readWaiters.size() > 10_000) {
            readWaiters.clear();
        }
    }

    private void expire(long now, Map<Long, Waiter> waiters, Outbox out) {
        waiters.values().removeIf(waiter -> {
            boolean late = now - waiter.since() > ADMIN_PATIENCE;
            if (late) {
                refuseAdmin(
                        waiter.asker(),
                        waiter.question(),
                        AdminResult.ADMIN_UNAVAILABLE,
                        "no quorum answered; the outcome is unknown: send the same again",
                        out);
            }
            return late;
        });
    }

    private static void answerAdmin(Address to, long question, AdminAnswer.Builder answer, Outbox out) {
        answerAdmin(to, question, answer, AdminResult.ADMIN_DONE, out);
    }

    private static void answerAdmin(
            Address to, long question, AdminAnswer.Builder answer, AdminResult result, Outbox out) {
        out.send(
                to,
                Envelope.newBuilder()
                        .setAdminAnswer(answer.setQuestion(question).setResult(result)));
    }

    private static void refuseAdmin(Address to, long question, AdminResult result, String detail, Outbox out) {
        answerAdmin(to, question, AdminAnswer.newBuilder().setDetail(detail), result, out);
    }

    private FleetStatus status() {
        FleetStatus.Builder status = FleetStatus.newBuilder()
                .setAddress(self.value())
                .setConfigVersion(config.version())
                .setLowestVersionInForce(subscribers.lowestVersion(config.version()))
                .setSubscribers(subscribers.rows().size());
        replicas.values().forEach(replica -> status.addGroups(replica.status()));
        directory.rows().forEach(row -> status.addMembers(row.member));
        regions.values().forEach(region -> {
            status.addAllPendingOrders(region.machine().pendingOrders());
            status.setClaims(status.getClaims() + region.machine().claimCount());
            status.setRoleChanges(status.getRoleChanges() + region.machine().roleChanges());
        });
        return status.build();
    }

    private void stop(Outbox out) {
        if (!stopping) {
            stopping = true;
            out.send(Address.PROCESS, Envelope.newBuilder().setStopped(Stopped.getDefaultInstance()));
        }
    }

    /**
     * Lists the groups of this process.
     *
     * @return their names
     */
    public List<String> groups() {
        return List.copyOf(replicas.keySet());
    }
}
