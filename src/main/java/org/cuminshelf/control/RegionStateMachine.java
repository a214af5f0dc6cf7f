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
import org.cuminshelf.replica.GroupMachine;

/**
 * The claims of idempotency keys and the orders to the engines of one region.
 *
 * <p>Promises kept here: a key is held by one attempt at a time and its answer, once recorded, never changes; an engine
 * has one order at a time, and an order names the incarnation of the sidecar it is meant for.
 */
final class RegionStateMachine implements GroupMachine {

    /** How long a key is remembered: 24 hours of the group's clock. */
    static final long CLAIM_KEPT_MILLIS = 24L * 60 * 60 * 1000;

    /** Claims held at most; more are refused, none is forgotten early. */
    static final int MOST_CLAIMS = 200_000;

    private static final int ANSWERS_REMEMBERED = 10_000;
    private static final int SUPERSEDED_REMEMBERED = 8;

    private record Key(String organisation, String service, String key) {

        private static Key of(ClaimRequest request) {
            return new Key(request.getOrganisation(), request.getService(), request.getKey());
        }
    }

    private final Invariants invariants;
    private final Map<Key, Claim> claims = new LinkedHashMap<>();
    private final Map<String, Order> pending = new TreeMap<>();
    private final Map<String, Long> engines = new TreeMap<>();
    private final Map<String, java.util.ArrayDeque<Long>> superseded = new HashMap<>();
    private final Map<Long, ClaimAnswer> claimAnswers = new LinkedHashMap<>();
    private final Map<Long, Optional<Order>> placed = new LinkedHashMap<>();
    private long roleChanges;

    RegionStateMachine(Invariants invariants) {
        this.invariants = invariants;
    }

    Collection<Order> pendingOrders() {
        return pending.values();
    }

    Optional<Order> pendingOrder(String engine) {
        return Optional.ofNullable(pending.get(engine));
    }

    int claimCount() {
        return claims.size();
    }

    long roleChanges() {
        return roleChanges;
    }

    /** Whether an incarnation of an engine's sidecar is still to be noted. */
    boolean isNew(String engine, long incarnation) {
        Long known = engines.get(engine);
        boolean old = superseded.containsKey(engine) && superseded.get(engine).contains(incarnation);
        return !old && (known == null || known != incarnation);
    }

    Optional<Long> incarnation(String engine) {
        return Optional.ofNullable(engines.get(engine));
    }

    Optional<ClaimAnswer> takeClaimAnswer(long index) {
        return Optional.ofNullable(claimAnswers.remove(index));
    }

    /** The order placed by the entry at an index: absent where it was not applied here, empty where refused. */
    Optional<Optional<Order>> takePlaced(long index) {
        return Optional.ofNullable(placed.remove(index));
    }

    @Override
    public void apply(LogEntry entry) {
        switch (entry.getCommandCase()) {
            case CLAIM -> {
                expire(entry.getClockMs());
                remember(claimAnswers, entry.getIndex(), apply(entry, entry.getClaim()));
            }
            case ORDER -> remember(placed, entry.getIndex(), place(entry, entry.getOrder()));
            case CLOSED -> close(entry.getClosed());
            case SEEN -> see(entry.getSeen());
            default -> {
                // Not for this machine.
            }
        }
    }

    private static <V> void remember(Map<Long, V> outcomes, long index, V outcome) {
        outcomes.put(index, outcome);
        if (outcomes.size() > ANSWERS_REMEMBERED) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    // ---- claims
    // --------------------------------------------------------------------------------------------------

    private ClaimAnswer apply(LogEntry entry, ClaimRequest request) {
        Key key = Key.of(request);
        Claim held = claims.get(key);
        return switch (request.getActionCase()) {
            case TAKE -> take(entry, key, held, request.getTake());
            case MOVE -> move(entry, key, held, request.getMove());
            case END -> end(entry, key, held, request.getEnd());
            case DROP -> {
                boolean holder = held != null
                        && !held.getAnswered()
                        && held.getAttempt().equals(request.getDrop().getAttempt());
                if (holder) {
                    claims.remove(key);
                }
                yield result(ClaimResult.CLAIM_DONE);
            }
            case ACTION_NOT_SET -> result(ClaimResult.CLAIM_UNAVAILABLE);
        };
    }

    private ClaimAnswer take(LogEntry entry, Key key, Claim held, ClaimTake take) {
        if (held != null && held.getBodyHash() != take.getBodyHash()) {
            return result(ClaimResult.CLAIM_CONFLICT);
        }
        if (held != null) {
            return describe(entry, held, take.getAttempt());
        }
        if (claims.size() >= MOST_CLAIMS) {
            return result(ClaimResult.CLAIM_FULL);
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
        return result(ClaimResult.CLAIM_GRANTED);
    }

    private ClaimAnswer move(LogEntry entry, Key key, Claim held, ClaimMove move) {
        if (held == null) {
            return result(ClaimResult.CLAIM_UNAVAILABLE);
        }
        boolean fromHolder = !held.getAnswered() && held.getAttempt().equals(move.getFrom());
        if (fromHolder) {
            claims.put(
                    key,
                    held.toBuilder()
                            .setAttempt(move.getTo())
                            .setTakenAtMs(held.getTakenAtMs())
                            .build());
            return result(ClaimResult.CLAIM_GRANTED);
        }
        return describe(entry, held, move.getTo());
    }

    private ClaimAnswer end(LogEntry entry, Key key, Claim held, ClaimEnd end) {
        boolean holder = held != null && held.getAttempt().equals(end.getAttempt());
        if (!holder) {
            invariants.check(
                    held == null || !held.getAnswered(),
                    "one-answer-for-each-key",
                    () -> "a second attempt ended under key " + key.key);
            return held == null ? result(ClaimResult.CLAIM_DONE) : describe(entry, held, end.getAttempt());
        }
        if (!held.getAnswered()) {
            claims.put(
                    key,
                    held.toBuilder()
                            .setAnswered(true)
                            .setHead(end.getHead())
                            .setBody(end.getBody())
                            .build());
        }
        return result(ClaimResult.CLAIM_DONE);
    }

    private static ClaimAnswer describe(LogEntry entry, Claim held, AttemptRef asker) {
        if (held.getAnswered()) {
            return ClaimAnswer.newBuilder()
                    .setResult(ClaimResult.CLAIM_ANSWERED)
                    .setHead(held.getHead())
                    .setBody(held.getBody())
                    .build();
        }
        if (held.getAttempt().equals(asker)) {
            return result(ClaimResult.CLAIM_GRANTED);
        }
        return ClaimAnswer.newBuilder()
                .setResult(ClaimResult.CLAIM_HELD)
                .setHolder(held.getAttempt())
                .setAgeMs(entry.getClockMs() - held.getTakenAtMs())
                .build();
    }

    private static ClaimAnswer result(ClaimResult result) {
        return ClaimAnswer.newBuilder().setResult(result).build();
    }

    /** Drops the claims whose time is over; they stand in the order in which they were taken. */
    private void expire(long clock) {
        Iterator<Claim> oldest = claims.values().iterator();
        while (oldest.hasNext() && clock - oldest.next().getTakenAtMs() > CLAIM_KEPT_MILLIS) {
            oldest.remove();
        }
    }

    // ---- orders
    // --------------------------------------------------------------------------------------------------

    private Optional<Order> place(LogEntry entry, OrderPlaced wanted) {
        Long known = engines.get(wanted.getEngine());
        boolean current = known != null && known == wanted.getIncarnation();
        if (!current || pending.containsKey(wanted.getEngine())) {
            return Optional.empty();
        }
        Order order = Order.newBuilder()
                .setEngine(wanted.getEngine())
                .setIncarnation(wanted.getIncarnation())
                .setTerm(entry.getTerm())
                .setNumber(entry.getIndex())
                .setBody(wanted.getBody())
                .setRequestedBy(wanted.getAuthor())
                .build();
        pending.put(wanted.getEngine(), order);
        return Optional.of(order);
    }

    private void close(OrderClosed closed) {
        Order order = pending.get(closed.getEngine());
        if (order == null || order.getNumber() != closed.getNumber()) {
            return;
        }
        pending.remove(closed.getEngine());
        if (closed.getApplied() && order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE) {
            roleChanges++;
        }
    }

    /** Notes a new incarnation. The order of the earlier one can't be carried out any more: the new one refuses it. */
    private void see(UpstreamSeen seen) {
        if (!isNew(seen.getEngine(), seen.getIncarnation())) {
            return;
        }
        Long before = engines.put(seen.getEngine(), seen.getIncarnation());
        if (before != null) {
            java.util.ArrayDeque<Long> old =
                    superseded.computeIfAbsent(seen.getEngine(), key -> new java.util.ArrayDeque<>());
            old.add(before);
            if (old.size() > SUPERSEDED_REMEMBERED) {
                old.poll();
            }
        }
        pending.remove(seen.getEngine());
    }

    // ---- snapshots
    // -----------------------------------------------------------------------------------------------

    @Override
    public ByteString save() {
        RegionMachineState.Builder state =
                RegionMachineState.newBuilder().addAllClaims(claims.values()).addAllPending(pending.values());
        superseded.forEach((engine, old) -> old.forEach(incarnation -> state.addEngines(seen(engine, incarnation))));
        engines.forEach((engine, incarnation) -> state.addEngines(seen(engine, incarnation)));
        return state.setRoleChanges(roleChanges).build().toByteString();
    }

    private static UpstreamSeen seen(String engine, long incarnation) {
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
            pending.clear();
            engines.clear();
            superseded.clear();
            claimAnswers.clear();
            placed.clear();
            for (Claim claim : state.getClaimsList()) {
                claims.put(new Key(claim.getOrganisation(), claim.getService(), claim.getKey()), claim);
            }
            state.getEnginesList().forEach(this::see);
            state.getPendingList().forEach(order -> pending.put(order.getEngine(), order));
            roleChanges = state.getRoleChanges();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("A snapshot of a region group can't be read", e);
        }
    }
}
