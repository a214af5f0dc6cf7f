package org.cuminshelf.trial;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.config.MergedConfig;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.AdminResult;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.OrderPlace;
import org.cuminshelf.message.Role;

/** Operators in virtual time: they race each other on the same version, resend after lost answers, and place orders. */
final class VirtualOperators {

    private static final long CONFIG_EVERY = Durations.nanos(3_000);
    private static final long ORDER_EVERY = Durations.nanos(1_200);
    private static final long RESEND_AFTER = Durations.nanos(2_000);
    private static final Role[] ROLES = {Role.ROLE_MIXED, Role.ROLE_PREFILL, Role.ROLE_DECODE};

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Invariants invariants;
    private final List<VirtualNode> control;
    private final List<Address> engines;
    private final Map<Long, ConfigApply> asked = new HashMap<>();
    private final Map<Long, String> acceptedHash = new HashMap<>();
    private final Map<String, Long> acceptedVersion = new HashMap<>();
    private long nextQuestion = 1;
    private long knownVersion;
    private long accepted;
    private long conflicts;
    private boolean stopped;

    VirtualOperators(
            VirtualTime time,
            UniformRandomProvider random,
            Invariants invariants,
            List<VirtualNode> control,
            List<Address> engines) {
        this.time = time;
        this.random = random;
        this.invariants = invariants;
        this.control = control;
        this.engines = engines;
        control.forEach(node -> node.port(Address.ADMINISTRATORS, this::onAnswer));
        time.after(0, this::apply);
        time.after(ORDER_EVERY, this::order);
    }

    long accepted() {
        return accepted;
    }

    long conflicts() {
        return conflicts;
    }

    /** The highest version that an operator was told of. */
    long knownVersion() {
        return knownVersion;
    }

    void stop() {
        stopped = true;
    }

    private void apply() {
        if (stopped) {
            return;
        }
        ConfigApply first = change();
        send(first);
        if (random.nextInt(3) == 0) {
            send(change());
        }
        if (random.nextInt(4) == 0) {
            time.after(random.nextLong(RESEND_AFTER), () -> send(first));
        }
        time.after(CONFIG_EVERY / 2 + random.nextLong(CONFIG_EVERY), this::apply);
    }

    private ConfigApply change() {
        String text = "{\"models\":{\"cataloguer\":{}},\"services\":{\"registry\":{}},\"organisations\":{\"change\":"
                + "{\"weight\":" + (1 + random.nextInt(1_000_000)) + "}}}";
        ByteString config = ByteString.copyFromUtf8(text);
        return ConfigApply.newBuilder()
                .setBaseVersion(knownVersion)
                .setConfig(config)
                .setHash(MergedConfig.hash(config.toByteArray()))
                .build();
    }

    private void send(ConfigApply apply) {
        long question = nextQuestion++;
        asked.put(question, apply);
        ask(AdminRequest.newBuilder().setQuestion(question).setConfigApply(apply));
    }

    private void order() {
        if (stopped) {
            return;
        }
        OrderBody.Builder body = OrderBody.newBuilder();
        if (random.nextInt(4) == 0) {
            body.setLoadAdapter("adapter-" + random.nextInt(5));
        } else {
            body.setChangeRole(ROLES[random.nextInt(ROLES.length)]);
        }
        Address engine = engines.get(random.nextInt(engines.size()));
        ask(AdminRequest.newBuilder()
                .setQuestion(nextQuestion++)
                .setOrderPlace(OrderPlace.newBuilder().setEngine(engine.value()).setBody(body)));
        time.after(random.nextLong(ORDER_EVERY), this::order);
    }

    private void ask(AdminRequest.Builder request) {
        VirtualNode node = control.get(random.nextInt(control.size()));
        node.deliverLocal(
                node.incarnation(),
                Address.ADMINISTRATORS,
                Envelope.newBuilder().setAdminRequest(request));
    }

    private void onAnswer(Envelope message) {
        AdminAnswer answer = message.getAdminAnswer();
        ConfigApply apply = asked.remove(answer.getQuestion());
        if (apply == null) {
            return;
        }
        if (answer.getResult() == AdminResult.ADMIN_CONFLICT) {
            conflicts++;
            knownVersion = Math.max(knownVersion, answer.getVersion());
        } else if (answer.getResult() == AdminResult.ADMIN_DONE) {
            accepted++;
            knownVersion = Math.max(knownVersion, answer.getVersion());
            check(apply, answer.getVersion());
        }
    }

    private void check(ConfigApply apply, long version) {
        String before = acceptedHash.putIfAbsent(version, apply.getHash());
        invariants.check(
                before == null || before.equals(apply.getHash()),
                "one-configuration-for-each-version",
                () -> "two configurations were accepted as version " + version);
        String key = apply.getBaseVersion() + " " + apply.getHash();
        Long versionBefore = acceptedVersion.putIfAbsent(key, version);
        invariants.check(
                versionBefore == null || versionBefore == version,
                "a-resend-gets-the-first-answer",
                () -> "the same change was answered with versions " + versionBefore + " and " + version);
    }
}
