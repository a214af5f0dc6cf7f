package org.cuminshelf.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.message.AttemptRef;
import org.cuminshelf.message.Claim;
import org.cuminshelf.message.ClaimAnswer;
import org.cuminshelf.message.ClaimEnd;
import org.cuminshelf.message.ClaimMove;
import org.cuminshelf.message.ClaimRequest;
import org.cuminshelf.message.ClaimResult;
import org.cuminshelf.message.ClaimTake;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.OrderClosed;
import org.cuminshelf.message.OrderPlaced;
import org.cuminshelf.message.RegionMachineState;
import org.cuminshelf.message.UpstreamSeen;
import org.cuminshelf.replica.ReplicatedStateMachine;

/**
 * State machine of a region group: the claims of idempotency keys and the orders to the engines of the region.
 *
 * <p>Guarantees: a key is held by one attempt at a time and its answer, once recorded, never changes. An engine has at
 * most one pending order, and an order names the sidecar incarnation that it is addressed to.
 */
final class RegionStateMachine implements ReplicatedStateMachine {

    /** Time for which a key is kept, by the group's clock: 24 hours. */
    static final long CLAIM_RETENTION_MILLIS = 24L * 60 * 60 * 1000;

    /** Maximum number of claims; further claims are rejected, and none is evicted before it expires. */
    static final int MAX_CLAIMS = 200_000;

    /** Maximum number of outcomes kept; those of requests to other processes are never taken here. */
    private static final int MAX_RETAINED_OUTCOMES = 10_000;
    /** Maximum number of former incarnations kept per engine. */
    private static final int MAX_SUPERSEDED_INCARNATIONS = 8;

    private record ClaimKey(String organisation, String service, String key) {

        private static ClaimKey of(ClaimRequest request) {
            return new ClaimKey(request.getOrganisation(), request.getService(), request.getKey());
        }
    }

    private final Invariants invariants;
    private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();
    private final Map<String, Order> pendingByEngine = new TreeMap<>();
    private final Map<String, Long> incarnationByEngine = new TreeMap<>();
    private final Map<String, java.util.ArrayDeque<Long>> superseded = new HashMap<>();
    private final Map<Long, ClaimAnswer> claimAnswers = new LinkedHashMap<>();
    private final Map<Long, Optional<Order>> placementOutcomes = new LinkedHashMap<>();
    private long roleChanges;

    RegionStateMachine(Invariants invariants) {
        this.invariants = invariants;
    }

    Collection<Order> pendingOrders() {
        return pendingByEngine.values();
    }

    Optional<Order> pendingOrder(String engine) {
        return Optional.ofNullable(pendingByEngine.get(engine));
    }

    int claimCount() {
        return claims.size();
    }

    long roleChanges() {
        return roleChanges;
    }

    /** Returns whether an incarnation of an engine's sidecar is neither the current one nor a superseded one. */
    boolean isNew(String engine, long incarnation) {
        Long knownIncarnation = incarnationByEngine.get(engine);
        boolean isSuperseded =
                superseded.containsKey(engine) && superseded.get(engine).contains(incarnation);
        return !isSuperseded && (knownIncarnation == null || knownIncarnation != incarnation);
    }

    Optional<Long> incarnation(String engine) {
        return Optional.ofNullable(incarnationByEngine.get(engine));
    }

    Optional<ClaimAnswer> takeClaimAnswer(long index) {
        return Optional.ofNullable(claimAnswers.remove(index));
    }

    /**
     * Removes and returns the outcome of the order at a log index. The outer result is empty if this replica did not
     * apply the entry, the inner one if the order was rejected.
     */
    Optional<Optional<Order>> takePlacementOutcome(long index) {
        return Optional.ofNullable(placementOutcomes.remove(index));
    }

    @Override
    public void apply(LogEntry entry) {
        switch (entry.getCommandCase()) {
            case CLAIM -> {
                removeExpiredClaims(entry.getClockMs());
                retain(claimAnswers, entry.getIndex(), apply(entry, entry.getClaim()));
            }
            case ORDER -> retain(placementOutcomes, entry.getIndex(), placeOrder(entry, entry.getOrder()));
            case CLOSED -> closeOrder(entry.getClosed());
            case SEEN -> recordIncarnation(entry.getSeen());
            default -> {
                // Other commands do not concern the region group.
            }
        }
    }

    private static <V> void retain(Map<Long, V> outcomes, long index, V outcome) {
        outcomes.put(index, outcome);
        if (outcomes.size() > MAX_RETAINED_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    // ---- claims
    // --------------------------------------------------------------------------------------------------

    private ClaimAnswer apply(LogEntry entry, ClaimRequest request) {
        ClaimKey key = ClaimKey.of(request);
        Claim current = claims.get(key);
        return switch (request.getActionCase()) {
            case TAKE -> take(entry, key, current, request.getTake());
            case MOVE -> move(entry, key, current, request.getMove());
            case END -> end(entry, key, current, request.getEnd());
            case DROP -> {
                boolean isHolder = current != null
                        && !current.getAnswered()
                        && current.getAttempt().equals(request.getDrop().getAttempt());
                if (isHolder) {
                    claims.remove(key);
                }
                yield answerOf(ClaimResult.CLAIM_DONE);
            }
            case ACTION_NOT_SET -> answerOf(ClaimResult.CLAIM_UNAVAILABLE);
        };
    }

    private ClaimAnswer take(LogEntry entry, ClaimKey key, Claim current, ClaimTake take) {
        if (current != null && current.getBodyHash() != take.getBodyHash()) {
            return answerOf(ClaimResult.CLAIM_CONFLICT);
        }
        if (current != null) {
            return claimStatus(entry, current, take.getAttempt());
        }
        if (claims.size() >= MAX_CLAIMS) {
            return answerOf(ClaimResult.CLAIM_FULL);
        }
        claims.put(
                key,
                Claim.newBuilder()
                        .setOrganisation(key.organisation)
                        .setService(key.service)
                        .setKey(key.key)
                        .setBodyHash(take.getBodyHash())
                        .setAttempt(take.getAttempt())
                        .setTakenAtMs(entry.getClockMs())
                        .build());
        return answerOf(ClaimResult.CLAIM_GRANTED);
    }

    private ClaimAnswer move(LogEntry entry, ClaimKey key, Claim current, ClaimMove move) {
        if (current == null) {
            return answerOf(ClaimResult.CLAIM_UNAVAILABLE);
        }
        boolean movesFromHolder = !current.getAnswered() && current.getAttempt().equals(move.getFrom());
        if (movesFromHolder) {
            claims.put(
                    key,
                    current.toBuilder()
                            .setAttempt(move.getTo())
                            .setTakenAtMs(current.getTakenAtMs())
                            .build());
            return answerOf(ClaimResult.CLAIM_GRANTED);
        }
        return claimStatus(entry, current, move.getTo());
    }

    private ClaimAnswer end(LogEntry entry, ClaimKey key, Claim current, ClaimEnd end) {
        boolean isHolder = current != null && current.getAttempt().equals(end.getAttempt());
        if (!isHolder) {
            invariants.check(
                    current == null || !current.getAnswered(),
                    "one-answer-for-each-key",
                    () -> "a second attempt ended under key " + key.key);
            return current == null ? answerOf(ClaimResult.CLAIM_DONE) : claimStatus(entry, current, end.getAttempt());
        }
        if (!current.getAnswered()) {
            claims.put(
                    key,
                    current.toBuilder()
                            .setAnswered(true)
                            .setHead(end.getHead())
                            .setBody(end.getBody())
                            .build());
        }
        return answerOf(ClaimResult.CLAIM_DONE);
    }

    private static ClaimAnswer claimStatus(LogEntry entry, Claim current, AttemptRef requester) {
        if (current.getAnswered()) {
            return ClaimAnswer.newBuilder()
                    .setResult(ClaimResult.CLAIM_ANSWERED)
                    .setHead(current.getHead())
                    .setBody(current.getBody())
                    .build();
        }
        if (current.getAttempt().equals(requester)) {
            return answerOf(ClaimResult.CLAIM_GRANTED);
        }
        return ClaimAnswer.newBuilder()
                .setResult(ClaimResult.CLAIM_HELD)
                .setHolder(current.getAttempt())
                .setAgeMs(entry.getClockMs() - current.getTakenAtMs())
                .build();
    }

    private static ClaimAnswer answerOf(ClaimResult result) {
        return ClaimAnswer.newBuilder().setResult(result).build();
    }

    /** Removes expired claims. The map is ordered by the time at which claims were taken. */
    private void removeExpiredClaims(long clockMillis) {
        Iterator<Claim> oldest = claims.values().iterator();
        while (oldest.hasNext() && clockMillis - oldest.next().getTakenAtMs() > CLAIM_RETENTION_MILLIS) {
            oldest.remove();
        }
    }

    // ---- orders
    // --------------------------------------------------------------------------------------------------

    private Optional<Order> placeOrder(LogEntry entry, OrderPlaced request) {
        Long knownIncarnation = incarnationByEngine.get(request.getEngine());
        boolean upToDate = knownIncarnation != null && knownIncarnation == request.getIncarnation();
        if (!upToDate || pendingByEngine.containsKey(request.getEngine())) {
            return Optional.empty();
        }
        Order order = Order.newBuilder()
                .setEngine(request.getEngine())
                .setIncarnation(request.getIncarnation())
                .setTerm(entry.getTerm())
                .setNumber(entry.getIndex())
                .setBody(request.getBody())
                .setRequestedBy(request.getAuthor())
                .build();
        pendingByEngine.put(request.getEngine(), order);
        return Optional.of(order);
    }

    private void closeOrder(OrderClosed closed) {
        Order order = pendingByEngine.get(closed.getEngine());
        if (order == null || order.getNumber() != closed.getNumber()) {
            return;
        }
        pendingByEngine.remove(closed.getEngine());
        if (closed.getApplied() && order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE) {
            roleChanges++;
        }
    }

    /** Records a new incarnation and discards the pending order of the previous one, which the new one would reject. */
    private void recordIncarnation(UpstreamSeen seen) {
        if (!isNew(seen.getEngine(), seen.getIncarnation())) {
            return;
        }
        Long previous = incarnationByEngine.put(seen.getEngine(), seen.getIncarnation());
        if (previous != null) {
            java.util.ArrayDeque<Long> incarnations =
                    superseded.computeIfAbsent(seen.getEngine(), key -> new java.util.ArrayDeque<>());
            incarnations.add(previous);
            if (incarnations.size() > MAX_SUPERSEDED_INCARNATIONS) {
                incarnations.poll();
            }
        }
        pendingByEngine.remove(seen.getEngine());
    }

    // ---- snapshots
    // -----------------------------------------------------------------------------------------------

    @Override
    public ByteString save() {
        RegionMachineState.Builder state =
                RegionMachineState.newBuilder().addAllClaims(claims.values()).addAllPending(pendingByEngine.values());
        superseded.forEach((engine, incarnations) ->
                incarnations.forEach(incarnation -> state.addEngines(upstreamSeen(engine, incarnation))));
        incarnationByEngine.forEach((engine, incarnation) -> state.addEngines(upstreamSeen(engine, incarnation)));
        return state.setRoleChanges(roleChanges).build().toByteString();
    }

    private static UpstreamSeen upstreamSeen(String engine, long incarnation) {
        return UpstreamSeen.newBuilder()
                .setEngine(engine)
                .setIncarnation(incarnation)
                .build();
    }

    @Override
    public void load(ByteString saved) {
        try {
            RegionMachineState state = RegionMachineState.parseFrom(saved);
            claims.clear();
            pendingByEngine.clear();
            incarnationByEngine.clear();
            superseded.clear();
            claimAnswers.clear();
            placementOutcomes.clear();
            for (Claim claim : state.getClaimsList()) {
                claims.put(new ClaimKey(claim.getOrganisation(), claim.getService(), claim.getKey()), claim);
            }
            state.getEnginesList().forEach(this::recordIncarnation);
            state.getPendingList().forEach(order -> pendingByEngine.put(order.getEngine(), order));
            roleChanges = state.getRoleChanges();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("Malformed snapshot of a region group", e);
        }
    }
}
