package org.cuminshelf.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.DocumentCompression;
import org.cuminshelf.message.AcceptedConfig;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminResult;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.ConfigMachineState;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.poison.ChangeSequence;
import org.cuminshelf.poison.Quarantine;
import org.cuminshelf.replica.ReplicatedStateMachine;
import org.cuminshelf.usage.CommittedUsage;

/**
 * State machine of the global group: the accepted configuration, direct orders, quarantined requests and settled usage.
 *
 * <p>A configuration is accepted by compare-and-set on the base version or, where authors declare versions themselves,
 * if its version is the highest.
 *
 * <p>Failure it guards against: two operators apply different configurations to the same base version, or one resends
 * because the answer was lost. The first configuration for a base version is accepted. A resend of the same content for
 * the same base version gets the first answer. Any other gets a conflict with the current version. Where authors
 * declare versions, an older change that arrives late or again is acknowledged and ignored, so that an accepted
 * configuration is never reverted.
 */
final class GlobalStateMachine implements ReplicatedStateMachine {

    /** Number of log entries for which answers are kept, and of accepted configurations for which resends are known. */
    private static final int MAX_RETAINED_ANSWERS = 1_000;

    /** Identifies the submission of a configuration, so that a resend is recognised. */
    private record ConfigSubmission(long baseVersion, String hash) {}

    private final LastDirectOrders orders = new LastDirectOrders();
    private final Quarantine quarantine = new Quarantine();
    private final CommittedUsage usage = CommittedUsage.create();
    private final Map<Long, AdminAnswer> answers = new HashMap<>();
    private final Map<ConfigSubmission, Long> acceptedVersions = new HashMap<>();
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

    /** The accepted configuration in compressed form; compressed once per version. */
    ByteString deflated() {
        if (deflatedVersion != version) {
            deflated = DocumentCompression.deflate(config);
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

    /** The requests that are rejected because they crash upstreams, as committed to the log. */
    Quarantine quarantine() {
        return quarantine;
    }

    /** The settled usage, as committed to the log. */
    CommittedUsage usage() {
        return usage;
    }

    /** Removes and returns the outcome of the log entry at an index, if this replica applied it. */
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
        answers.keySet().removeIf(older -> older < index - MAX_RETAINED_ANSWERS);
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
        ConfigSubmission submission = new ConfigSubmission(apply.getBaseVersion(), apply.getHash());
        Long previousVersion = acceptedVersions.get(submission);
        if (previousVersion != null) {
            return answer(AdminResult.ADMIN_DONE, previousVersion);
        }
        if (apply.getBaseVersion() != version) {
            return answer(AdminResult.ADMIN_CONFLICT, version).toBuilder()
                    .setConfig(config)
                    .build();
        }
        version++;
        config = apply.getConfig();
        hash = apply.getHash();
        retain(AcceptedConfig.newBuilder()
                .setBaseVersion(apply.getBaseVersion())
                .setHash(apply.getHash())
                .setVersion(version)
                .build());
        return answer(AdminResult.ADMIN_DONE, version);
    }

    private void retain(AcceptedConfig acceptedConfig) {
        acceptedVersions.put(
                new ConfigSubmission(acceptedConfig.getBaseVersion(), acceptedConfig.getHash()),
                acceptedConfig.getVersion());
        acceptedInOrder.add(acceptedConfig);
        if (acceptedInOrder.size() > MAX_RETAINED_ANSWERS) {
            AcceptedConfig oldest = acceptedInOrder.poll();
            acceptedVersions.remove(new ConfigSubmission(oldest.getBaseVersion(), oldest.getHash()));
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
            acceptedVersions.clear();
            acceptedInOrder.clear();
            answers.clear();
            state.getAcceptedList().forEach(this::retain);
            orders.load(state.getOrdersList());
            usage.restore(state.getUsageSettled(), state.getUsageDueList());
            quarantine.clear();
            state.getQuarantinedList()
                    .forEach(acceptedConfig -> quarantine.merge(acceptedConfig, ChangeSequence.constant(0)));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("Malformed snapshot of the global group", e);
        }
    }
}
