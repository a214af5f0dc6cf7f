package org.cuminshelf.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Deflated;
import org.cuminshelf.message.AcceptedConfig;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminResult;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.ConfigMachineState;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.poison.ChangeSequence;
import org.cuminshelf.poison.Quarantine;
import org.cuminshelf.replica.GroupMachine;
import org.cuminshelf.usage.CommittedUsage;

/**
 * The accepted configuration: by compare-and-set, or, where authors give versions themselves, the highest given.
 *
 * <p>Failure it guards against: two operators apply different configurations on the same version, or one resends after
 * losing the answer. The first on a version wins; a resend of the same content on the same version is given the first
 * answer; any other gets a conflict with the version that stands. Where authors give versions, an older change that
 * arrives late or again is acknowledged and changes nothing, so that what was accepted never goes back.
 */
final class GlobalStateMachine implements GroupMachine {

    private static final int ANSWERS_REMEMBERED = 1_000;

    private record Key(long baseVersion, String hash) {}

    private final LastDirectOrders orders = new LastDirectOrders();
    private final Quarantine quarantine = new Quarantine();
    private final CommittedUsage usage = CommittedUsage.create();
    private final Map<Long, AdminAnswer> answers = new HashMap<>();
    private final Map<Key, Long> accepted = new HashMap<>();
    private final Deque<AcceptedConfig> acceptedInOrder = new ArrayDeque<>();
    private volatile long version;
    private volatile ByteString config = ByteString.EMPTY;
    private String hash = "";
    private ByteString deflated = ByteString.EMPTY;
    private long deflatedVersion;

    long version() {
        return version;
    }

    ByteString config() {
        return config;
    }

    /** The accepted configuration as it is sent to those that ask for it; made once for each version. */
    ByteString deflated() {
        if (deflatedVersion != version) {
            deflated = Deflated.deflate(config);
            deflatedVersion = version;
        }
        return deflated;
    }

    String hash() {
        return hash;
    }

    LastDirectOrders orders() {
        return orders;
    }

    /** The requests that are refused as poison, as far as a quorum wrote them down. */
    Quarantine quarantine() {
        return quarantine;
    }

    /** The usage that stands, as far as a quorum wrote it down. */
    CommittedUsage usage() {
        return usage;
    }

    /** The outcome of the entry at an index, once, on the replica that applied it. */
    Optional<AdminAnswer> takeAnswer(long index) {
        return Optional.ofNullable(answers.remove(index));
    }

    @Override
    public void apply(LogEntry entry) {
        if (entry.hasDirectOrder()) {
            orders.apply(entry);
        }
        if (entry.hasQuarantined()) {
            quarantine.merge(entry.getQuarantined(), ChangeSequence.constant(entry.getIndex()));
            answer(entry.getIndex(), answer(AdminResult.ADMIN_DONE, version));
        }
        if (entry.hasUsageSettled()) {
            usage.commit(entry.getUsageSettled());
        }
        if (entry.hasUsageReported()) {
            usage.acknowledge(entry.getUsageReported());
        }
        if (entry.hasConfig()) {
            answer(entry.getIndex(), accept(entry.getConfig()));
        }
    }

    private void answer(long index, AdminAnswer answer) {
        answers.put(index, answer);
        answers.keySet().removeIf(older -> older < index - ANSWERS_REMEMBERED);
    }

    private AdminAnswer accept(ConfigApply apply) {
        return apply.getDeclaredVersion() > 0 ? acceptHighest(apply) : acceptNext(apply);
    }

    private AdminAnswer acceptHighest(ConfigApply apply) {
        if (apply.getDeclaredVersion() > version) {
            version = apply.getDeclaredVersion();
            config = apply.getConfig();
            hash = apply.getHash();
        }
        return answer(AdminResult.ADMIN_DONE, version);
    }

    private AdminAnswer acceptNext(ConfigApply apply) {
        Key key = new Key(apply.getBaseVersion(), apply.getHash());
        Long before = accepted.get(key);
        if (before != null) {
            return answer(AdminResult.ADMIN_DONE, before);
        }
        if (apply.getBaseVersion() != version) {
            return answer(AdminResult.ADMIN_CONFLICT, version).toBuilder()
                    .setConfig(config)
                    .build();
        }
        version++;
        config = apply.getConfig();
        hash = apply.getHash();
        remember(AcceptedConfig.newBuilder()
                .setBaseVersion(apply.getBaseVersion())
                .setHash(apply.getHash())
                .setVersion(version)
                .build());
        return answer(AdminResult.ADMIN_DONE, version);
    }

    private void remember(AcceptedConfig row) {
        accepted.put(new Key(row.getBaseVersion(), row.getHash()), row.getVersion());
        acceptedInOrder.add(row);
        if (acceptedInOrder.size() > ANSWERS_REMEMBERED) {
            AcceptedConfig oldest = acceptedInOrder.poll();
            accepted.remove(new Key(oldest.getBaseVersion(), oldest.getHash()));
        }
    }

    private static AdminAnswer answer(AdminResult result, long answerVersion) {
        return AdminAnswer.newBuilder()
                .setResult(result)
                .setVersion(answerVersion)
                .build();
    }

    @Override
    public ByteString save() {
        return ConfigMachineState.newBuilder()
                .setVersion(version)
                .setConfig(config)
                .setHash(hash)
                .addAllAccepted(acceptedInOrder)
                .addAllOrders(orders.all())
                .addAllQuarantined(quarantine.all())
                .setUsageSettled(usage.lastWindow())
                .addAllUsageDue(usage.unacknowledged())
                .build()
                .toByteString();
    }

    @Override
    public void load(ByteString saved) {
        try {
            ConfigMachineState state = ConfigMachineState.parseFrom(saved);
            version = state.getVersion();
            config = state.getConfig();
            hash = state.getHash();
            accepted.clear();
            acceptedInOrder.clear();
            answers.clear();
            state.getAcceptedList().forEach(this::remember);
            orders.load(state.getOrdersList());
            usage.restore(state.getUsageSettled(), state.getUsageDueList());
            quarantine.clear();
            state.getQuarantinedList().forEach(row -> quarantine.merge(row, ChangeSequence.constant(0)));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("A snapshot of the global group can't be read", e);
        }
    }
}
