package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrderApplied;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.StartUpstream;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamPart;
import org.cuminshelf.standin.EngineEvents;
import org.cuminshelf.standin.EngineModel;
import org.cuminshelf.standin.EngineSpeed;

/**
 * A stand-in engine beside a sidecar's core in an experiment. The first token goes on at once; later ones go on in
 * bundles, to save events, while the gaps are measured here where the tokens are made.
 */
final class ExperimentEngine implements EngineEvents {

    private static final long STATE_EVERY = Durations.nanos(250);
    private static final long HOP = Durations.nanos(1) / 2;
    private static final int BUNDLE = 24;

    /** One stream on the engine. */
    private static final class Stream {
        private final List<String> bundle = new ArrayList<>();
        private boolean first = true;
    }

    private final VirtualTime time;
    private final VirtualNode sidecar;
    private final EngineModel model;
    private final Map<Long, Stream> streams = new HashMap<>();
    private long wake;
    private long roleChanges;

    ExperimentEngine(VirtualTime time, VirtualNode sidecar, EngineSpeed speed, String modelName, Role role) {
        this.time = time;
        this.sidecar = sidecar;
        this.model = EngineModel.idle(speed, false, List.of(modelName), role);
        publishState();
    }

    long roleChanges() {
        return roleChanges;
    }

    EngineModel model() {
        return model;
    }

    void handle(Envelope message) {
        switch (message.getBodyCase()) {
            case START_UPSTREAM -> start(message.getStartUpstream());
            case CANCEL_UPSTREAM -> {
                long attempt = message.getCancelUpstream().getAttempt();
                streams.remove(attempt);
                model.cancel(attempt);
            }
            case READ_UPSTREAM -> sendState(message.getReadUpstream().getToken());
            case APPLY_ORDER -> apply(message);
            default -> {
                // Not for an engine.
            }
        }
    }

    private void start(StartUpstream start) {
        streams.put(start.getAttempt(), new Stream());
        model.start(time.now(), start.getAttempt(), start.getGeneration(), start.getPriority());
        scheduleWake();
    }

    private void apply(Envelope message) {
        var order = message.getApplyOrder().getOrder();
        Cause refusal = model.order(time.now(), order);
        if (refusal == Cause.CAUSE_NONE && order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE) {
            roleChanges++;
        }
        OrderApplied applied = OrderApplied.newBuilder()
                .setNumber(order.getNumber())
                .setAccepted(refusal == Cause.CAUSE_NONE)
                .setCause(refusal)
                .build();
        toSidecar(Envelope.newBuilder().setOrderApplied(applied));
        scheduleWake();
    }

    private void publishState() {
        sendState(0);
        time.after(STATE_EVERY, this::publishState);
    }

    private void sendState(long token) {
        toSidecar(Envelope.newBuilder()
                .setUpstreamState(model.state(time.now()).toBuilder().setToken(token)));
    }

    private void scheduleWake() {
        long token = ++wake;
        long due = model.nextDue();
        if (due != Core.NEVER) {
            time.at(due, () -> {
                if (token == wake) {
                    model.advance(time.now(), this);
                    scheduleWake();
                }
            });
        }
    }

    @Override
    public void tokens(long stream, List<String> tokens) {
        Stream open = streams.get(stream);
        if (open == null) {
            return;
        }
        open.bundle.addAll(tokens);
        if (open.first || open.bundle.size() >= BUNDLE) {
            open.first = false;
            flush(stream, open);
        }
    }

    @Override
    public void finished(long stream, String finishReason) {
        Stream open = streams.remove(stream);
        if (open == null) {
            return;
        }
        flush(stream, open);
        Cause cause = finishReason.equals(EngineModel.MOVED) ? Cause.MOVED : Cause.CAUSE_NONE;
        UpstreamEnd end = UpstreamEnd.newBuilder()
                .setAttempt(stream)
                .setRan(Ran.RAN)
                .setCause(cause)
                .setFinishReason(finishReason)
                .build();
        toSidecar(Envelope.newBuilder().setUpstreamEnd(end));
    }

    private void flush(long stream, Stream open) {
        if (open.bundle.isEmpty()) {
            return;
        }
        UpstreamPart part = UpstreamPart.newBuilder()
                .setAttempt(stream)
                .addAllTokens(open.bundle)
                .build();
        open.bundle.clear();
        toSidecar(Envelope.newBuilder().setUpstreamPart(part));
    }

    private void toSidecar(Envelope.Builder message) {
        time.after(HOP, () -> sidecar.deliverLocal(sidecar.incarnation(), Address.UPSTREAM, message));
    }
}
