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
import org.cuminshelf.message.StreamAnswer;
import org.cuminshelf.message.StreamQuery;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.poison.PoisonRegistry;
import org.cuminshelf.poison.Quarantine;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.Replica;
import org.cuminshelf.replica.ReplicaSettings;

/**
 * The deterministic core of a control process. It holds a replica of each of its groups, the directories of upstreams
 * and the subscribers, and routes messages and timer ticks to them. Times named {@code now} are monotonic nanoseconds.
 */
public final class ControlCore implements Core {

    private static final long HOUSEKEEPING_INTERVAL_NANOS = Durations.nanos(250);
    private static final long REQUEST_TIMEOUT_NANOS = Durations.nanos(5_000);
    private static final long NANOS_PER_MICRO = 1_000;

    /**
     * A request whose outcome is not yet known.
     *
     * @param requester  the sender, which gets the answer
     * @param requestId  number of the request at the requester
     * @param term       the term in which the request was proposed
     * @param receivedAt the time of arrival in nanoseconds
     */
    private record PendingRequest(Address requester, long requestId, long term, long receivedAt) {}

    /** The replica of a region group and the components that work with it. */
    private record RegionGroup(
            Replica replica,
            RegionStateMachine machine,
            SidecarOrderDispatcher orderDispatcher,
            SidecarRoleController roleController,
            EventPreloader eventPreloader) {}

    private final ControlSettings settings;
    private final Address self;
    private final Invariants invariants;
    private final Map<String, Replica> replicas = new LinkedHashMap<>();
    private final Map<String, RegionGroup> regions = new LinkedHashMap<>();
    private final GlobalStateMachine globalState = new GlobalStateMachine();
    private final SidecarDirectory directory;
    private final DirectUpstreamRegistry registry;
    private DutyLease dutyLease;
    private DirectRoleController directRoles;
    private Optional<UsageReporter> usageReporter = Optional.empty();
    private QuarantineManager quarantine;
    private final PoisonRegistry poison = new PoisonRegistry();
    private final SubscriberTable subscribers = new SubscriberTable();
    private final UpdatePublisher updatePublisher;
    private final StreamRecordStore streamRecords = new StreamRecordStore(subscribers);
    /** Administrators' changes proposed to the global group, by log index. */
    private final Map<Long, PendingRequest> pendingProposals = new HashMap<>();
    /** Claim requests by region group and log index. */
    private final Map<String, Map<Long, PendingRequest>> pendingClaims = new HashMap<>();
    /** Administrators' orders by region group and log index. */
    private final Map<String, Map<Long, PendingRequest>> pendingOrders = new HashMap<>();
    /** Subscribers that wait for a confirmed read, by token. */
    private final Map<Long, Address> pendingSubscriberReads = new HashMap<>();
    /** Administrators' confirmed reads of the configuration, by token. */
    private final Map<Long, PendingRequest> pendingConfigReads = new HashMap<>();
    /** Requests forwarded to the leader, by token. */
    private final Map<Long, PendingRequest> forwardedRequests = new HashMap<>();
    /**
     * Token of the next forwarded request or confirmed read. Tokens start at a value derived from the incarnation, so
     * that a late answer to a previous incarnation matches no pending request.
     */
    private long nextToken;

    private long nextHousekeeping;
    private boolean stopping;
    private FleetConfig parsedConfig = FleetConfig.empty();
    private long parsedVersion;
    /** The last reading of the wall clock in Unix milliseconds, 0 before the first. */
    private long wallMillis;
    /** The monotonic time of that reading in nanoseconds. */
    private long wallReadAt;

    private ControlCore(ControlSettings settings, Address self, long incarnation, long now, Invariants invariants) {
        this.settings = settings;
        this.self = self;
        this.invariants = invariants;
        this.directory = new SidecarDirectory(incarnation);
        this.registry = new DirectUpstreamRegistry(directory);
        this.nextToken = LongHashFunction.xx3().hashLong(incarnation) & Long.MAX_VALUE >> 1;
        this.nextHousekeeping = now;
        this.updatePublisher = new UpdatePublisher(
                settings.region(), replicas, globalState, directory, registry, subscribers, poison, now);
    }

    /**
     * Creates the core of a starting control process.
     *
     * @param settings    the settings of the process
     * @param self        the address of the process
     * @param incarnation the incarnation of the process
     * @param durable     the durable state of each group, by group name
     * @param now         the time in nanoseconds, or an earlier time since which no previous incarnation sent a message
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
            Replica replica = Replica.start(group, state, globalState, now, random, invariants);
            replicas.put(group.group(), replica);
            dutyLease = new DutyLease(replica, settings.duties().leaseMillis());
            VersionRoles versionRoles = new VersionRoles(new CrashHints(poison::hasCrashed));
            directRoles = new DirectRoleController(
                    replica, globalState.orders(), registry, subscribers, dutyLease, versionRoles);
            if (settings.duties().usageDeadlineMillis().isPresent()) {
                usageReporter =
                        Optional.of(new UsageReporter(replica, globalState.usage(), dutyLease, settings.duties()));
            }
            quarantine = new QuarantineManager(replica, globalState.quarantine(), poison, directory);
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
        pendingClaims.put(group.group(), new HashMap<>());
        pendingOrders.put(group.group(), new HashMap<>());
    }

    @Override
    public void accept(long now, Envelope input, Outbox out) {
        Address from = Address.of(input.getFrom());
        switch (input.getBodyCase()) {
            case ANNOUNCE -> onAnnounce(now, from, input.getIncarnation(), input.getAnnounce());
            case SUBSCRIBE -> onSubscribe(now, from, input.getIncarnation(), input.getSubscribe(), out);
            case CONFIG_FETCH -> updatePublisher.onConfigFetch(from, input.getConfigFetch(), out);
            case UPSTREAM_BEAT ->
                registry.onHeartbeat(now, wallMillis, input.getUpstreamBeat(), otherControlProcesses(), out);
            case ORDER_APPLIED -> directRoles.onOutcome(input.getOrderApplied());
            case USAGE_REPORTED ->
                usageReporter.ifPresent(reporter -> reporter.onReported(now, input.getUsageReported()));
            case CLAIM_REQUEST -> onClaim(now, from, input.getClaimRequest(), out);
            case ORDER_REPORT ->
                regions.values()
                        .forEach(region -> region.orderDispatcher().onReport(now, from, input.getOrderReport()));
            case ADMIN_REQUEST -> onAdmin(now, from, input.getAdminRequest(), out);
            case ADMIN_ANSWER -> onForwardedAnswer(input.getAdminAnswer(), out);
            case STREAM_RECORDS ->
                streamRecords.onRecords(now, input.getStreamRecords().getRecordsList());
            case STREAM_QUERY ->
                out.send(from, Envelope.newBuilder().setStreamAnswer(answerStreamQuery(now, input.getStreamQuery())));
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

    /** The wall clock in Unix microseconds, 0 before it was first read. */
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
        dutyLease.tick(now);
        quarantine.tick(now, wallMillis);
        usageReporter.ifPresent(reporter -> reporter.tick(now, out));
        answerProposals(out);
        regions.forEach((name, region) -> {
            answerClaims(name, region, out);
            answerOrders(name, region, out);
            region.eventPreloader().tick(now, wallMillis, acceptedConfig());
            region.roleController().tick(now, acceptedConfig(), globalState.version());
            region.orderDispatcher().tick(now, out);
        });
        answerConfirmedReads(out);
        directRoles.tick(now, out);
        updatePublisher.tick(now, out);
        streamRecords.tick(now, out);
        if (now >= nextHousekeeping) {
            nextHousekeeping = now + HOUSEKEEPING_INTERVAL_NANOS;
            directory.tick(now);
            registry.tick(now);
            subscribers.tick(now);
            streamRecords.expire(now);
            expireRequests(now, out);
        }
    }

    @Override
    public long nextDue() {
        long due = nextHousekeeping;
        for (Replica replica : replicas.values()) {
            due = Math.min(due, replica.nextDue());
        }
        return Math.min(due, Math.min(updatePublisher.nextDue(), streamRecords.nextDue()));
    }

    /**
     * Returns the version of the accepted configuration that this process knows.
     *
     * @return the version, 0 before the first configuration is accepted
     */
    public long configVersion() {
        return globalState.version();
    }

    /**
     * Returns the accepted configuration that this process knows.
     *
     * @return the configuration in its canonical form
     */
    public byte[] config() {
        return globalState.config().toByteArray();
    }

    /**
     * Counts the requests that are rejected because they crash the upstreams that run them. Callable from any thread.
     *
     * @return the number of quarantined requests that this process knows
     */
    public long quarantinedRequests() {
        return quarantine.quarantinedCount();
    }

    /** The quarantined requests, as committed to the log. */
    Quarantine durableQuarantine() {
        return globalState.quarantine();
    }

    /**
     * Returns the replica of a group.
     *
     * @param group the name of the group
     * @return the replica, or empty if this process has none of the group
     */
    public Optional<Replica> replica(String group) {
        return Optional.ofNullable(replicas.get(group));
    }

    // ---- membership and configuration
    // ----------------------------------------------------------------------------

    private void onAnnounce(long now, Address from, long incarnation, Announce announce) {
        directory.onAnnounce(now, from, incarnation, announce);
        if (announce.getRegion().equals(settings.region())) {
            regions.values().forEach(region -> region.orderDispatcher().onAnnounce(now, from, incarnation, announce));
        }
    }

    private void onSubscribe(long now, Address from, long incarnation, Subscribe subscribe, Outbox out) {
        SubscriberTable.Subscriber subscriber = subscribers.onSubscribe(now, from, incarnation, subscribe);
        quarantine.onSubscribe(now, subscribe);
        subscriber.receivedAtUnixMicros = unixMicros(now);
        if (subscriber.started && subscriber.wantsDirectory) {
            streamRecords.onEntryStarted(now, from);
        }
        usageReporter.ifPresent(reporter -> reporter.onSubscribe(now, subscriber, subscribe));
        if (subscribe.getConfirm()) {
            long token = nextToken++;
            if (replicas.get(ControlSettings.GLOBAL_GROUP).confirmRead(token)) {
                pendingSubscriberReads.put(token, from);
                return;
            }
        }
        updatePublisher.send(subscriber, false, out);
    }

    /**
     * Answers an entry that asks for the record of a stream with what this process knows of the versions that may have
     * begun it. The answer is complete only while this process follows or leads its group, as one that was removed from
     * the group no longer belongs to every majority.
     */
    private StreamAnswer.Builder answerStreamQuery(long now, StreamQuery query) {
        long sinceNanos = now - Durations.nanos(query.getWindowMs());
        boolean isInGroup = replicas.get(ControlSettings.GLOBAL_GROUP).leader().isPresent();
        return streamRecords
                .answer(now, query)
                .addAllVersions(registry.versionsSince(sinceNanos, query.getService()))
                .setComplete(isInGroup && updatePublisher.hasListenedSince(sinceNanos));
    }

    /** The other control processes, from the membership of the global group. */
    private List<Address> otherControlProcesses() {
        return replicas.get(ControlSettings.GLOBAL_GROUP).memberAddresses().stream()
                .filter(member -> !member.equals(self))
                .toList();
    }

    /** The accepted configuration in parsed form; parsed once per version. */
    private FleetConfig acceptedConfig() {
        if (parsedVersion != globalState.version()) {
            parsedVersion = globalState.version();
            parsedConfig = FleetConfig.parse(globalState.config().toByteArray()).getOrElse(parsedConfig);
        }
        return parsedConfig;
    }

    private void answerConfirmedReads(Outbox out) {
        for (long token : replicas.get(ControlSettings.GLOBAL_GROUP).takeConfirmedReads()) {
            PendingRequest configRead = pendingConfigReads.remove(token);
            if (configRead != null) {
                answerConfigRead(configRead.requester(), configRead.requestId(), out);
                continue;
            }
            Address requester = pendingSubscriberReads.remove(token);
            subscribers.all().stream()
                    .filter(subscriber -> subscriber.address.equals(requester))
                    .forEach(subscriber -> updatePublisher.send(subscriber, true, out));
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
        PendingRequest pending =
                new PendingRequest(from, request.getQuestion(), region.replica().term(), now);
        pendingClaims.get(request.getGroup()).put(index.get(), pending);
    }

    private static void answerClaim(Address to, long requestId, ClaimResult result, String leader, Outbox out) {
        ClaimAnswer answer = ClaimAnswer.newBuilder()
                .setQuestion(requestId)
                .setResult(result)
                .setLeader(leader)
                .build();
        out.send(to, Envelope.newBuilder().setClaimAnswer(answer));
    }

    private void answerClaims(String group, RegionGroup region, Outbox out) {
        long applied = region.replica().appliedIndex();
        pendingClaims.get(group).entrySet().removeIf(entry -> {
            if (entry.getKey() > applied) {
                return false;
            }
            PendingRequest request = entry.getValue();
            // After a change of term, the log index may hold another entry than the one proposed for the request.
            Optional<ClaimAnswer> outcome = region.replica().term() == request.term()
                    ? region.machine().takeClaimAnswer(entry.getKey())
                    : Optional.empty();
            outcome.ifPresent(answer -> out.send(
                    request.requester(),
                    Envelope.newBuilder().setClaimAnswer(answer.toBuilder().setQuestion(request.requestId()))));
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
                rejectAdmin(from, request.getQuestion(), AdminResult.ADMIN_UNKNOWN, "no such action", out);
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
            pendingConfigReads.put(token, new PendingRequest(from, request.getQuestion(), replica.term(), now));
        } else {
            forward(now, from, request, replica, out);
        }
    }

    private void answerConfigRead(Address to, long requestId, Outbox out) {
        answerAdmin(
                to,
                requestId,
                AdminAnswer.newBuilder().setVersion(globalState.version()).setConfig(globalState.config()),
                out);
    }

    private void onConfigApply(long now, Address from, AdminRequest request, Outbox out) {
        ConfigApply apply = request.getConfigApply();
        Optional<String> rejection =
                settings.configCheck().apply(apply.getConfig().toByteArray());
        if (rejection.isPresent()) {
            rejectAdmin(from, request.getQuestion(), AdminResult.ADMIN_BAD, rejection.get(), out);
            return;
        }
        Replica replica = replicas.get(ControlSettings.GLOBAL_GROUP);
        Optional<Long> index = replica.propose(now, LogEntry.newBuilder().setConfig(apply));
        if (index.isPresent()) {
            pendingProposals.put(index.get(), new PendingRequest(from, request.getQuestion(), replica.term(), now));
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
            rejectAdmin(from, request.getQuestion(), AdminResult.ADMIN_UNKNOWN, "no such request is quarantined", out);
            return;
        }
        replica.propose(now, LogEntry.newBuilder().setQuarantined(released.get()))
                .ifPresent(index -> pendingProposals.put(
                        index, new PendingRequest(from, request.getQuestion(), replica.term(), now)));
    }

    private void onOrderPlace(long now, Address from, AdminRequest request, Outbox out) {
        if (regions.isEmpty()) {
            rejectAdmin(from, request.getQuestion(), AdminResult.ADMIN_UNKNOWN, "no region group here", out);
            return;
        }
        Map.Entry<String, RegionGroup> region = regions.entrySet().iterator().next();
        OrderPlace place = request.getOrderPlace();
        Optional<Address> engine = findEngine(place.getEngine());
        if (engine.isEmpty()) {
            rejectAdmin(from, request.getQuestion(), AdminResult.ADMIN_UNKNOWN, "no such upstream", out);
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
                .ifPresent(index -> pendingOrders
                        .get(region.getKey())
                        .put(index, new PendingRequest(from, request.getQuestion(), replica.term(), now)));
    }

    private Optional<Address> findEngine(String name) {
        return directory.upstreams().stream()
                .filter(upstream -> upstream.member.getVm().equals(name)
                        || upstream.member.getAddress().equals(name))
                .map(upstream -> Address.of(upstream.member.getAddress()))
                .findFirst();
    }

    private void forward(long now, Address from, AdminRequest request, Replica replica, Outbox out) {
        Optional<Address> leader = replica.leader().filter(address -> !address.equals(self));
        if (leader.isEmpty() || !from.isLocal()) {
            rejectAdmin(from, request.getQuestion(), AdminResult.ADMIN_NOT_LEADER, "no leader is known", out);
            return;
        }
        long token = nextToken++;
        forwardedRequests.put(token, new PendingRequest(from, request.getQuestion(), 0, now));
        out.send(
                leader.get(),
                Envelope.newBuilder().setAdminRequest(request.toBuilder().setQuestion(token)));
    }

    private void onForwardedAnswer(AdminAnswer answer, Outbox out) {
        PendingRequest request = forwardedRequests.remove(answer.getQuestion());
        if (request != null) {
            answerAdmin(request.requester(), request.requestId(), answer.toBuilder(), answer.getResult(), out);
        }
    }

    private void answerProposals(Outbox out) {
        Replica replica = replicas.get(ControlSettings.GLOBAL_GROUP);
        pendingProposals.entrySet().removeIf(entry -> {
            if (entry.getKey() > replica.appliedIndex()) {
                return false;
            }
            PendingRequest request = entry.getValue();
            if (replica.term() == request.term()) {
                globalState
                        .takeAnswer(entry.getKey())
                        .ifPresent(answer -> answerAdmin(
                                request.requester(), request.requestId(), answer.toBuilder(), answer.getResult(), out));
            } else {
                rejectAdmin(
                        request.requester(),
                        request.requestId(),
                        AdminResult.ADMIN_UNAVAILABLE,
                        "the leader changed; send the same again",
                        out);
            }
            return true;
        });
    }

    private void answerOrders(String group, RegionGroup region, Outbox out) {
        pendingOrders.get(group).entrySet().removeIf(entry -> {
            if (entry.getKey() > region.replica().appliedIndex()) {
                return false;
            }
            PendingRequest request = entry.getValue();
            region.machine().takePlacementOutcome(entry.getKey()).ifPresent(placed -> {
                if (placed.isPresent()) {
                    answerAdmin(
                            request.requester(),
                            request.requestId(),
                            AdminAnswer.newBuilder().setVersion(placed.get().getNumber()),
                            out);
                } else {
                    rejectAdmin(
                            request.requester(),
                            request.requestId(),
                            AdminResult.ADMIN_CONFLICT,
                            "another order is pending there, or its sidecar just restarted",
                            out);
                }
            });
            return true;
        });
    }

    private void expireRequests(long now, Outbox out) {
        expire(now, pendingProposals, out);
        pendingOrders.values().forEach(requests -> expire(now, requests, out));
        expire(now, forwardedRequests, out);
        expire(now, pendingConfigReads, out);
        pendingClaims
                .values()
                .forEach(requests ->
                        requests.values().removeIf(request -> now - request.receivedAt() > REQUEST_TIMEOUT_NANOS));
        if (pendingSubscriberReads.size() > 10_000) {
            pendingSubscriberReads.clear();
        }
    }

    private void expire(long now, Map<Long, PendingRequest> requests, Outbox out) {
        requests.values().removeIf(request -> {
            boolean expired = now - request.receivedAt() > REQUEST_TIMEOUT_NANOS;
            if (expired) {
                rejectAdmin(
                        request.requester(),
                        request.requestId(),
                        AdminResult.ADMIN_UNAVAILABLE,
                        "no quorum answered; the outcome is unknown: send the same again",
                        out);
            }
            return expired;
        });
    }

    private static void answerAdmin(Address to, long requestId, AdminAnswer.Builder answer, Outbox out) {
        answerAdmin(to, requestId, answer, AdminResult.ADMIN_DONE, out);
    }

    private static void answerAdmin(
            Address to, long requestId, AdminAnswer.Builder answer, AdminResult result, Outbox out) {
        out.send(
                to,
                Envelope.newBuilder()
                        .setAdminAnswer(answer.setQuestion(requestId).setResult(result)));
    }

    private static void rejectAdmin(Address to, long requestId, AdminResult result, String detail, Outbox out) {
        answerAdmin(to, requestId, AdminAnswer.newBuilder().setDetail(detail), result, out);
    }

    private FleetStatus status() {
        FleetStatus.Builder status = FleetStatus.newBuilder()
                .setAddress(self.value())
                .setConfigVersion(globalState.version())
                .setLowestVersionInForce(subscribers.lowestVersion(globalState.version()))
                .setSubscribers(subscribers.all().size());
        replicas.values().forEach(replica -> status.addGroups(replica.status()));
        directory.upstreams().forEach(upstream -> status.addMembers(upstream.member));
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
     * Lists the groups in which this process has a replica.
     *
     * @return the names of the groups
     */
    public List<String> groups() {
        return List.copyOf(replicas.keySet());
    }
}
